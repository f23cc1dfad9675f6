"""A persistent HTTP/1.1 client connection to an upstream.

Responses are parsed by h11. Bytes that arrive without a pending request close the
connection, and a response to another request is skipped, so that neither reaches a
caller.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import h11

from endivelug.exceptions import (
    UpstreamBroken,
    UpstreamNotListening,
    UpstreamUnreachable,
)

# Reading from the socket pauses when more received body bytes than this are unread.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
# The kernel closes a connection whose peer acknowledges nothing for this long.
USER_TIMEOUT_MS = 4000

Headers = list[tuple[str, str]]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestHead:
    """Request line and headers of a request."""

    method: str
    target: str
    headers: Headers


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseHead:
    """Status line and headers of a response; header names are in lower case."""

    status: int
    reason: str
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks."""
        return (
            self.get("content-length") is None and self.get("transfer-encoding") is None
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyData:
    """A chunk of the response body."""

    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyEnd:
    """The end of a complete response."""


ResponseEvent = ResponseHead | BodyData | BodyEnd


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time; ``connect`` creates it.

    Attributes
    ----------
    last_byte_at : float
        Clock time of the last received byte, or of the creation of the connection.
    idle_until : float
        Clock time after which an idle connection must not be reused.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.last_byte_at = clock()
        self.idle_until = float("inf")
        self.closed = False
        self.on_closed: Callable[[], None] | None = None
        self._transport: asyncio.Transport
        self._parser: h11.Connection | None = None
        self._accepts: Callable[[ResponseHead], bool] = lambda head: True
        self._skipping = False
        self._method = "GET"
        self._events: deque[ResponseEvent] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._failure: UpstreamBroken | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._keep_alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the new socket."""
        # uvloop's transports have the methods of the base class but do not inherit it.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
                )
            except OSError:
                # Not available on every platform; the timeouts of requests still apply.
                pass

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the response in progress."""
        self.closed = True
        parser = self._parser
        if parser is not None and self._failure is None:
            if exc is None:
                self._receive(b"")
            if self._parser is not None:
                self._fail("the connection was lost before the answer was complete")
        if self.on_closed is not None:
            self.on_closed()

    def eof_received(self) -> bool | None:
        """Close after the peer; ``connection_lost`` then completes the response."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.last_byte_at = self.clock()
        if self._parser is None:
            # No request is pending, so the bytes belong to none.
            self.abort()
            return
        self._receive(data)

    def send(
        self,
        head: RequestHead,
        body: bytes,
        *,
        accepts: Callable[[ResponseHead], bool],
    ) -> None:
        """Send a request; ``next_event`` returns its response.

        Parameters
        ----------
        accepts : callable
            Returns whether a response belongs to this request; others are skipped.

        Raises
        ------
        UpstreamBroken
            If the connection is closed; nothing was sent.
        """
        if self.closed or self._transport.is_closing():
            raise UpstreamBroken("the connection is closed; use another one")
        self._accepts = accepts
        self._method = head.method
        self._events.clear()
        self._buffered_bytes = 0
        self._failure = None
        self._skipping = False
        parser = self._new_parser()
        data = parser.send(
            h11.Request(method=head.method, target=head.target, headers=head.headers)
        )
        assert data is not None
        tail = parser.send(h11.Data(data=body)) if body else b""
        end = parser.send(h11.EndOfMessage())
        self._parser = parser
        self._transport.write(data + (tail or b"") + (end or b""))

    async def next_event(self) -> ResponseEvent:
        """Return the next event of the response.

        Raises
        ------
        UpstreamBroken
            If the response is incomplete or not valid HTTP.
        """
        while not self._events:
            if self._failure is not None:
                raise self._failure
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, BodyData):
            self._buffered_bytes -= len(event.data)
            if self._paused and self._buffered_bytes < MAX_BUFFERED_BYTES // 2:
                self._paused = False
                if not self.closed:
                    self._transport.resume_reading()
        return event

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            not self.closed
            and not self._transport.is_closing()
            and self._parser is None
            and self._keep_alive
            and self._transport.get_write_buffer_size() == 0
        )

    def abort(self) -> None:
        """Close at once without flushing, so that the upstream notices immediately."""
        self.closed = True
        self._transport.abort()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def _receive(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._fail(f"the answer is not valid HTTP ({error})")

    def _parse(self) -> None:
        while self._parser is not None:
            event = self._parser.next_event()
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_end()
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                return

    def _on_head(self, event: h11.Response) -> None:
        head = ResponseHead(
            status=event.status_code,
            reason=bytes(event.reason).decode("latin-1"),
            headers=[
                (bytes(name).decode("latin-1"), bytes(value).decode("latin-1"))
                for name, value in event.headers
            ],
        )
        self._skipping = not self._accepts(head)
        if not self._skipping:
            self._add_event(head)

    def _on_data(self, data: bytes) -> None:
        if self._skipping or not data:
            return
        self._buffered_bytes += len(data)
        self._add_event(BodyData(data=data))
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _on_end(self) -> None:
        assert self._parser is not None
        parser = self._parser
        trailing, closed = parser.trailing_data
        if self._skipping:
            self._parse_next_response(trailing, closed)
            return
        self._keep_alive = (
            parser.their_state is h11.DONE
            and parser.our_state is h11.DONE
            and not trailing
        )
        self._parser = None
        self._add_event(BodyEnd())
        if not self._keep_alive:
            # Any further bytes would belong to no request.
            self._transport.abort()

    def _parse_next_response(self, trailing: bytes, closed: bool) -> None:
        """Start to parse the response that follows a skipped one."""
        self._skipping = False
        parser = self._new_parser()
        parser.send(
            h11.Request(method=self._method, target="/", headers=[("host", "skipped")])
        )
        parser.send(h11.EndOfMessage())
        self._parser = parser
        if trailing:
            parser.receive_data(trailing)
        if closed:
            parser.receive_data(b"")

    def _add_event(self, event: ResponseEvent) -> None:
        self._events.append(event)
        self._wake_reader()

    def _fail(self, reason: str) -> None:
        self._parser = None
        self._failure = UpstreamBroken(f"{reason}; use another connection")
        if not self.closed:
            self.abort()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(
    address: str, *, timeout_s: float, clock: Callable[[], float]
) -> UpstreamConnection:
    """Connect to an upstream.

    Raises
    ------
    UpstreamNotListening
        If nothing listens at the address; nothing was sent.
    UpstreamUnreachable
        If no connection was made in time; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(clock=clock), host, int(port)
            )
    except ConnectionRefusedError as error:
        raise UpstreamNotListening(
            f"no connection to {address} ({error}); use another upstream"
        ) from error
    except (OSError, TimeoutError, ValueError) as error:
        raise UpstreamUnreachable(
            f"no connection to {address} ({error or 'timeout'}); use another upstream"
        ) from error
    return connection
