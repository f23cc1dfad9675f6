"""Client of the platform's VM list (Prometheus HTTP service discovery format)."""

import json
import ssl
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from endivelug.exceptions import EndivelugError


class VmListUnavailable(EndivelugError):
    """The VM list could not be fetched; keep the last one and retry later."""


@dataclass(slots=True, kw_only=True)
class ListedVm:
    """One VM of the VM list.

    Attributes
    ----------
    kind : str
        ``agent``, ``engine`` or ``service``.
    pool : str
        Pool of the upstream; empty for an agent.
    leaving : bool
        Whether the platform is about to stop the VM.
    """

    vm: str
    address: str
    data_centre: str
    kind: str
    pool: str
    leaving: bool


def parse_vm_list(document: Any) -> list[ListedVm]:
    """Parse a VM list; entries without the required labels are skipped.

    Parameters
    ----------
    document : list of dict
        ``[{"targets": ["ip:port"], "labels": {...}}]``.

    Examples
    --------
    >>> labels = {"vm": "a", "data_centre": "d", "kind": "agent", "state": "live"}
    >>> [vm.address for vm in parse_vm_list([{"targets": ["::1"], "labels": labels}])]
    ['::1']
    """
    listed = []
    for group in document if isinstance(document, list) else []:
        labels = group.get("labels", {})
        for target in group.get("targets", []):
            if not {"vm", "data_centre", "kind", "state"} <= labels.keys():
                continue
            listed.append(
                ListedVm(
                    vm=labels["vm"],
                    address=target,
                    data_centre=labels["data_centre"],
                    kind=labels["kind"],
                    pool=labels.get("pool", ""),
                    leaving=labels["state"] == "leaving",
                )
            )
    return listed


class VmListClient:
    """Client that uses ETags to download the list only when it has changed.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout_s : float
        Time limit of a fetch in seconds.
    credential : str
        Bearer token; empty for none.
    tls : ssl.SSLContext or None
        Client context; None for the default one.
    """

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float = 2.0,
        credential: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.url = f"{url.rstrip('/')}/v1/vms"
        self.timeout_s = timeout_s
        self.tls = tls
        self._headers = {"Authorization": f"Bearer {credential}"} if credential else {}
        self._etag = ""

    async def fetch(self) -> list[ListedVm] | None:
        """Fetch and parse the list; return None if it has not changed.

        Raises
        ------
        VmListUnavailable
            If there is no response, or none that can be parsed.
        """
        headers = dict(self._headers)
        if self._etag:
            headers["If-None-Match"] = self._etag
        request = HTTPRequest(
            self.url,
            headers=headers,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            ssl_options=self.tls,
        )
        try:
            response = await AsyncHTTPClient().fetch(request, raise_error=False)
            if response.code == 304:
                return None
            response.rethrow()
            listed = parse_vm_list(json.loads(response.body))
        except (HTTPClientError, OSError, ValueError, RecursionError) as error:
            raise VmListUnavailable(
                f"VM list unavailable ({error}); keep the last one"
            ) from error
        self._etag = response.headers.get("ETag", "")
        return listed


async def fetch_vm_list(
    *,
    url: str,
    timeout_s: float = 2.0,
    credential: str = "",
    tls: ssl.SSLContext | None = None,
) -> list[ListedVm]:
    """Fetch and parse the VM list once.

    Raises
    ------
    VmListUnavailable
        If there is no response, or none that can be parsed.
    """
    client = VmListClient(url=url, timeout_s=timeout_s, credential=credential, tls=tls)
    return await client.fetch() or []
