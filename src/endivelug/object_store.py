"""HTTP client of the platform's object store, which keeps immutable named objects."""

import ssl
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from endivelug._address_resolver import AddressResolver
from endivelug.exceptions import ObjectStoreUnavailable
from endivelug.service_client import is_delimited


class ObjectStore:
    """Reads objects and writes new ones.

    Parameters
    ----------
    url : str
        Base URL of the object store.
    timeout_s : float
        Seconds to wait for each response.
    credential : str
        Bearer token; empty for none.
    tls : ssl.SSLContext or None
        Client context for ``https``.
    """

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float = 5.0,
        credential: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.tls = tls
        self._headers = {"Authorization": f"Bearer {credential}"} if credential else {}
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=16,
            max_body_size=256 * 1024 * 1024,
            resolver=AddressResolver(),
        )

    async def put(self, name: str, body: bytes) -> None:
        """Write an object; an existing object of the same name stays unchanged.

        Raises
        ------
        ObjectStoreUnavailable
            If the write failed or its outcome is unknown; writing again is safe.
        """
        headers = {**self._headers, "If-None-Match": "*"}
        await self._fetch(name, method="PUT", body=body, headers=headers)

    async def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist.

        Raises
        ------
        ObjectStoreUnavailable
            If the object could not be read.
        """
        return await self._fetch(name, method="GET", body=None, headers=self._headers)

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def _fetch(
        self, name: str, *, method: str, body: bytes | None, headers: dict[str, str]
    ) -> bytes | None:
        request = HTTPRequest(
            f"{self.url}/objects/{quote(name, safe='')}",
            method=method,
            headers=headers,
            body=body,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            ssl_options=self.tls,
        )
        try:
            response = await self._client.fetch(request)
        except HTTPClientError as error:
            if error.code == 404:
                return None
            # The object exists already (If-None-Match).
            if error.code == 412 and method == "PUT":
                return None
            raise ObjectStoreUnavailable(
                f"the object store responded with status {error.code}; retry later"
            ) from error
        except OSError as error:
            raise ObjectStoreUnavailable(
                f"the object store cannot be reached ({error}); retry later"
            ) from error
        if method == "GET" and not is_delimited(
            method, response.code, response.headers
        ):
            raise ObjectStoreUnavailable(
                "the object has no Content-Length or Transfer-Encoding header, so it "
                "may be truncated; look at the object store"
            )
        return response.body
