"""Reads one request of a caller within the memory account."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from http.client import responses
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from endivelug._caller_presence import closed_connections
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.head_check import (
    HeadAccepted,
    HeadCheck,
    HeadRefused,
)
from endivelug.forwarding.buffers.held_body import READ_BYTES, HeldBody
from endivelug.forwarding.buffers.memory_account import SMALL_BODY_BYTES
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON

# Interval in which a body that waits for room looks whether its caller has left.
CLOSED_CHECK_INTERVAL_S = 1.0
# Longer numbers are not converted; no body is as long.
MAX_LENGTH_DIGITS = 18
# The rest of a refused body is read and dropped while it comes, with pauses and in all
# up to these times. A connection that is closed before would be reset, and the caller
# could lose the answer.
LINGER_S = 2.0
MAX_LINGER_S = 30.0


class RequestReader(HTTPMessageDelegate):
    """Checks the head, reads the body, and passes the request on.

    Parameters
    ----------
    guard : ClientGuard
        Grants memory.
    check_head : callable or None
        Checks the head of a request that has a body.
    on_begun : callable
        Called once the head was received.
    on_closed : callable
        Called if the connection ends, or the request is refused, before the request is
        complete.
    on_complete : callable
        Called with the reader when the request is complete.

    Attributes
    ----------
    head_deadline : float
        Time at which a head that has begun must be complete; infinite before.
    """

    # One reader is made for each request; defaults of the class cost no time there.
    head_deadline: float = float("inf")
    accepted: HeadAccepted | None = None
    refused: HeadRefused | None = None
    body: HeldBody | None = None
    _received: bytes = b""
    _received_charge: int = 0
    _answered: bool = False
    _linger: asyncio.TimerHandle | None = None
    _linger_until: float = 0.0
    _dropped_bytes: int = 0

    def __init__(
        self,
        *,
        connection: HTTPConnection,
        guard: ClientGuard,
        check_head: HeadCheck | None,
        on_begun: Callable[["RequestReader"], None],
        on_closed: Callable[["RequestReader"], None],
        on_complete: Callable[["RequestReader"], None],
    ) -> None:
        self.connection = cast(HTTP1Connection, connection)
        self.guard = guard
        self.check_head = check_head
        self.on_begun = on_begun
        self.on_closed = on_closed
        self.on_complete = on_complete
        self.line: RequestStartLine
        self.headers: HTTPHeaders

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were read from the socket and not yet used."""
        stream: Any = self.connection.stream
        # Tornado has no public name for the size of its read buffer.
        return 0 if stream is None else stream._read_buffer_size

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check the head, and wait for room if there is a body."""
        assert isinstance(start_line, RequestStartLine)
        self.on_begun(self)
        self.line = start_line
        self.headers = headers
        length = _body_length(headers)
        if length == 0:
            return None
        organisation, limit = None, SMALL_BODY_BYTES
        if self.check_head is not None:
            checked = self._check(self.check_head, length or 0)
            if isinstance(checked, HeadRefused):
                self._refuse_head(checked, length)
            else:
                self.accepted = checked
                organisation, limit = checked.organisation, checked.body_limit
        if self._answered or (length is not None and self._take_received(length)):
            return None
        # The configured limit applies, with an answer of its own.
        self.connection.set_max_body_size(sys.maxsize)
        self.body = HeldBody(
            guard=self.guard,
            address=self.address,
            organisation=organisation,
            expected_bytes=length,
            limit_bytes=limit,
            close=self.close,
        )
        return None if self.refused is not None else self._wait_for_room()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Hold a part of the body, and wait for room for the next one."""
        body = self.body
        if self._answered:
            self._dropped_bytes += len(chunk)
            return None
        if body is None:
            if self._received_charge:
                self._received += chunk
            return None
        if self.refused is not None:
            self.guard.record_progress(body.holder, len(chunk))
            return None
        body.add(chunk)
        if body.too_long:
            self._answer(self._refusal(413, "the body is too long"))
            return None
        return self._wait_for_room()

    def finish(self) -> None:
        """Pass the complete request on."""
        if self._answered:
            self.close()
        else:
            self.on_complete(self)

    def on_connection_close(self) -> None:
        """Return the memory of a request whose connection closed before its end."""
        self.on_closed(self)
        self.release()

    def refuse(self, reason: str) -> None:
        """Refuse a request whose body is still being read; it is not run."""
        if not self._answered:
            self._answer(self.refused or self._refusal(503, reason))

    def close(self) -> None:
        """Close the connection."""
        self.release()
        self.connection.close()

    def take_over_close(self) -> bool:
        """Return whether the caller asked for the close, and keep tornado from it.

        Tornado closes the socket at once, so that a late byte would reset it.
        """
        connection: Any = self.connection
        # Tornado has no public name for this.
        asked = bool(connection._disconnect_on_finish)
        connection._disconnect_on_finish = False
        return asked

    def take_body(self) -> bytes:
        """Return the complete body; its charge stays until ``release``."""
        if self.body is not None:
            return self.body.complete()
        received, self._received = self._received, b""
        return received

    def release(self) -> None:
        """Return what the request has charged; a second call has no effect."""
        if self.body is not None:
            self.body.release()
        if self._received_charge:
            self.guard.release_bytes(self._received_charge)
            self._received_charge = 0
        if self._linger is not None:
            self._linger.cancel()

    @property
    def address(self) -> str:
        """IP address of the client."""
        return remote_address(self.connection)

    def _check(
        self, check_head: HeadCheck, body_bytes: int
    ) -> HeadRefused | HeadAccepted:
        line, fields = self.line, list(self.headers.get_all())
        try:
            return check_head(line.method, line.path, fields, body_bytes)
        except Exception as error:
            self.guard.log(
                "handler-failed",
                path=line.path[:MAX_LOGGED_REASON],
                reason=repr(error)[:MAX_LOGGED_REASON],
            )
            return HeadRefused(status=HTTPStatus.BAD_GATEWAY, headers=[], body=b"")

    def _take_received(self, length: int) -> bool:
        """Return whether a short body came with its head, so that nothing can stall."""
        if length > READ_BYTES or length > self.buffered_bytes:
            return False
        if self.refused is None:
            if not self.guard.try_charge(length):
                return False
            self._received_charge = length
        return True

    def _refuse_head(self, refused: HeadRefused, length: int | None) -> None:
        self.refused = refused
        expects = "Expect" in self.headers
        if expects or length is None or length > SMALL_BODY_BYTES:
            self._answer(refused)
        # A small body is read and dropped, and the connection stays usable.

    def _wait_for_room(self) -> Awaitable[None] | None:
        assert self.body is not None
        granted = self.body.request_room()
        return None if granted is None else self._finish_wait(granted)

    async def _finish_wait(self, granted: asyncio.Future[bool]) -> None:
        # Nothing is read meanwhile, so the end of the connection has to be looked for.
        while not (await asyncio.wait({granted}, timeout=CLOSED_CHECK_INTERVAL_S))[0]:
            if closed_connections([self.connection]):
                self.close()
        if not granted.result() and not self._answered:
            self._answer(self._refusal(503, "the memory for requests is used up"))

    def _refusal(self, status: int, reason: str) -> HeadRefused:
        if self.accepted is None:
            return HeadRefused(status=status, headers=[], body=b"")
        return self.accepted.refuse(status, reason)

    def _answer(self, refused: HeadRefused) -> None:
        """Send a refusal before the body is read, then drop the rest of it."""
        self._answered = True
        self.on_closed(self)
        self.release()
        stream = self.connection.stream
        if stream is None or stream.closed():
            return
        # Otherwise tornado would ask for the body, or answer that it is too long.
        if "Expect" in self.headers:
            del self.headers["Expect"]
        self.connection.set_max_body_size(sys.maxsize)
        fields = HTTPHeaders()
        for name, value in refused.headers:
            fields.add(name, value)
        fields["Connection"] = "close"
        fields["Content-Length"] = str(len(refused.body))
        line = ResponseStartLine(
            "HTTP/1.1", refused.status, responses.get(refused.status, "")
        )
        written = self.connection.write_headers(line, fields, refused.body)
        written.add_done_callback(lambda future: future.exception())
        self._linger_until = self.guard.clock() + MAX_LINGER_S
        self._wait_for_rest()

    def _wait_for_rest(self) -> None:
        """Close the connection once the caller sends nothing more, or for too long."""
        dropped = self._dropped_bytes

        def check() -> None:
            late = self.guard.clock() >= self._linger_until
            if late or self._dropped_bytes == dropped:
                self.close()
            else:
                self._wait_for_rest()

        loop = asyncio.get_running_loop()
        self._linger = loop.call_later(LINGER_S, check)


def remote_address(connection: HTTPConnection) -> str:
    """Return the IP address of a client."""
    context: Any = cast(HTTP1Connection, connection).context
    return str(getattr(context, "remote_ip", ""))


def _body_length(headers: HTTPHeaders) -> int | None:
    """Return the announced length of a body; None if it comes in chunks."""
    if "Transfer-Encoding" in headers:
        return None
    text = headers.get("Content-Length", "0").partition(",")[0].strip()
    # Tornado answers a malformed length with 400.
    if not text.isdecimal() or not text.isascii():
        return 0
    return int(text) if len(text) <= MAX_LENGTH_DIGITS else sys.maxsize
