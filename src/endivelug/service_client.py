"""HTTP client for calls to plain services (upstreams that are not engines).

Every call has its own connection, which is closed after the response or at the
deadline. A late response can therefore never be taken for that of another call. The
cost is one TCP handshake per call inside a data centre (about 1 ms).
"""

import asyncio
import secrets
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from endivelug._address_resolver import AddressResolver
from endivelug._response_memory import ResponseMemory
from endivelug.exceptions import UpstreamBroken, UpstreamUnreachable

MAX_CONCURRENT_CALLS = 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Bound on what the responses to all calls hold while they are read: two of the longest.
MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES
REQUEST_ID_HEADER = "X-Request-Id"
# Messages of tornado's timeout errors that are raised before anything was sent.
CONNECT_TIMEOUT_MESSAGES = frozenset(
    {"Timeout in request queue", "Timeout while connecting"}
)
# Request headers that are not forwarded: hop-by-hop headers (RFC 9110 section 7.6.1),
# credentials, and headers that the client sets itself. Accept-Encoding is not forwarded
# either, because duplicates that accept other codings get the recorded response too.
NOT_FORWARDED = frozenset(
    {
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


@dataclass(slots=True, kw_only=True)
class ServiceRequest:
    """One call to a plain service.

    Attributes
    ----------
    service : str
        Name of the service, which is the name of its pool.
    method : str
        HTTP method.
    target : str
        Path and query at the service, beginning with a slash.
    headers : dict of str to str
        Headers of the caller; those in ``NOT_FORWARDED`` are not sent.
    body : bytes
        Request body; empty for none.
    """

    service: str
    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True, kw_only=True)
class ServiceResponse:
    """The complete response of a service."""

    status: int
    content_type: str
    body: bytes


class GuardedConnector(TCPClient):
    """Connects, reports failures as "not sent", and runs a check before sending.

    Parameters
    ----------
    guard : callable or None
        Called once the connection is established, before anything is sent. It raises
        an exception to prevent the call.
    """

    def __init__(self, guard: Callable[[], None] | None = None) -> None:
        super().__init__(resolver=AddressResolver())
        self.guard = guard

    async def connect(self, *args: Any, **options: Any) -> IOStream:
        """Connect; the arguments are those of ``TCPClient.connect``.

        Raises
        ------
        UpstreamUnreachable
            If no connection was established.
        """
        try:
            stream = await super().connect(*args, **options)
        except (OSError, StreamClosedError) as error:
            raise UpstreamUnreachable(
                f"cannot connect to the upstream ({error}); use another one"
            ) from error
        if self.guard is not None:
            try:
                self.guard()
            except BaseException:
                stream.close()
                raise
        return stream


class ServiceClient:
    """Sends each call to a plain service once.

    Parameters
    ----------
    credential : str
        Bearer token of the pool; empty for none.
    tls : ssl.SSLContext or None
        Client context for ``https``.
    clock : callable
        Returns monotonic seconds.
    memory : ResponseMemory or None
        Bounds the responses of all clients that share it; None for one of its own.
    """

    def __init__(
        self,
        *,
        credential: str = "",
        tls: ssl.SSLContext | None = None,
        clock: Callable[[], float] = time.monotonic,
        memory: ResponseMemory | None = None,
    ) -> None:
        self.tls = tls
        self.clock = clock
        self.memory = memory or ResponseMemory(limit_bytes=MAX_HELD_BYTES)
        self._credential = credential
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        self._client.tcp_client = GuardedConnector()

    async def send(
        self, request: ServiceRequest, *, url: str, deadline: float
    ) -> ServiceResponse:
        """Send a call once, without a retry.

        Parameters
        ----------
        request : ServiceRequest
            The call.
        url : str
            Base URL of one upstream of the service.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        UpstreamUnreachable
            If nothing was sent.
        UpstreamBroken
            If the call may have been sent but there is no complete response; it may
            have run.
        """
        remaining_s = deadline - self.clock()
        if remaining_s <= 0:
            raise UpstreamUnreachable("the deadline passed before the call was sent")
        request_id = secrets.token_hex(8)
        headers = HTTPHeaders(
            {
                name: value
                for name, value in request.headers.items()
                if name.lower() not in NOT_FORWARDED
            }
        )
        headers[REQUEST_ID_HEADER] = request_id
        if self._credential:
            headers["Authorization"] = f"Bearer {self._credential}"
        # Redirects are off because following one would send the call a second time.
        fetch = HTTPRequest(
            url.rstrip("/") + request.target,
            method=request.method,
            headers=headers,
            body=request.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=remaining_s,
            request_timeout=remaining_s,
            follow_redirects=False,
            decompress_response=False,
            ssl_options=self.tls,
        )
        try:
            response, content = await self._fetch(fetch)
        except (UpstreamUnreachable, UpstreamBroken):
            raise
        except Exception as error:
            if (
                isinstance(error, HTTPTimeoutError)
                and error.message in CONNECT_TIMEOUT_MESSAGES
            ):
                raise UpstreamUnreachable(
                    f"cannot connect to the service ({error}); use another upstream"
                ) from error
            raise UpstreamBroken(
                f"no complete response from the service ({error}); it may have run"
            ) from error
        response_id = response.headers.get(REQUEST_ID_HEADER, request_id)
        if response_id != request_id:
            raise UpstreamBroken("the response has the request id of another call")
        if not is_delimited(request.method, response.code, response.headers):
            raise UpstreamBroken(
                "the response has no Content-Length or Transfer-Encoding header, so it "
                "may be truncated"
            )
        return ServiceResponse(
            status=response.code,
            content_type=response.headers.get("Content-Type", ""),
            body=content,
        )

    async def _fetch(self, request: HTTPRequest) -> tuple[HTTPResponse, bytes]:
        """Return a response and its body, which is read within the memory."""
        body = self.memory.open()
        request.streaming_callback = body.add
        fetching = self._client.fetch(request, raise_error=False)
        try:
            either: set[asyncio.Future[Any]] = {fetching, body.ended}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if body.ended.done():
                raise UpstreamBroken(
                    "no memory is left for so long a response; look at the service"
                )
            return fetching.result(), body.take()
        finally:
            fetching.cancel()
            self.memory.close(body)

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()


def is_delimited(method: str, status: int, headers: HTTPHeaders) -> bool:
    """Return whether the response is delimited by its headers.

    A response that ends when its connection is closed cannot be distinguished from a
    truncated one.
    """
    if method == "HEAD" or status in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers
