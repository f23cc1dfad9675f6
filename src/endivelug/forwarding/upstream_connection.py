"""A persistent HTTP/1.1 client connection to an upstream.

Bytes that arrive without a pending request close the connection, and a response to
another request is skipped, so that neither reaches a caller. What one read brings is
parsed in several turns of the event loop, so that it can't keep other requests waiting.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import h11

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.buffers.memory_account import MemoryAccount
from endivelug.forwarding.connect_errors import connect_error
from endivelug.forwarding.response_parser import (
    BodyData,
    BodyEnd,
    Headers,
    ResponseEvent,
    ResponseHead,
    ResponseInvalid,
    ResponseParser,
    new_parser,
)
from endivelug.forwarding.socket_options import discard_unsent, has_unread, set_options

# Reading from the socket pauses when more received body bytes than this are unread:
# hundreds of events of a stream, while its caller pauses.
MAX_BUFFERED_BYTES = 64 * 1024
# The same while the memory for clients is used up.
MIN_BUFFERED_BYTES = 16 * 1024
# Longest body that is copied behind its head, to send both in one call.
COPY_BYTES = 16 * 1024
# Pause after a step of parsing, for each part that it found. It leaves most of the
# processor to other requests while an upstream sends tiny parts without end.
PART_PAUSE_S = 0.0001
_LOST = "the connection was lost before the answer was complete"

__all__ = [
    "BodyData",
    "BodyEnd",
    "Headers",
    "RequestHead",
    "ResponseEvent",
    "ResponseHead",
    "UpstreamConnection",
    "Use",
    "connect",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestHead:
    """Request line and headers of a request."""

    method: str
    target: str
    headers: Headers


class Use(Enum):
    """What a connection carries: requests of callers, or control calls."""

    CALLS = "calls"
    CONTROL = "control"


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time; ``connect`` creates it.

    Attributes
    ----------
    last_byte_at : float
        Clock time of the last received byte, or of the creation of the connection.
    idle_until : float
        Clock time after which an idle connection must not be reused.
    carried : set of int
        Hashes of the ids of the requests that it was given to carry.
    is_new : bool
        Whether it has not been idle yet, so that what arrives answers its request.
    account : MemoryAccount or None
        Charged for what is read from the upstream and not yet passed on.
    closed_by_peer : bool
        Whether the upstream closed or reset the connection.
    on_closed : callable or None
        Called once the socket is closed.
    kept_bytes : int
        Bytes of the response that its reader keeps until the connection is released.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.account: MemoryAccount | None = None
        self.kept_bytes = 0
        self._charged_bytes = 0
        self.last_byte_at = clock()
        self.idle_until = float("inf")
        self.use = Use.CALLS
        self.carried: set[int] = set()
        self.is_new = True
        self.closed = False
        self.closed_by_peer = False
        self.on_closed: Callable[[], None] | None = None
        self._transport: asyncio.Transport
        self._parser: ResponseParser | None = None
        self._next_step: asyncio.Handle | None = None
        self._lost = False
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
        set_options(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the response in progress."""
        aborted = self.closed
        # A peer that acknowledges nothing is a time-out and no connection error.
        self.closed_by_peer = not aborted and isinstance(exc, ConnectionError | None)
        self.closed = self._lost = True
        if self._parser is not None and aborted:
            self._fail(_LOST)
        elif self._parser is not None:
            if exc is None:
                self._parser.receive_end()
            if self._next_step is None:
                self._parse()
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
            self._close()
            return
        self._parser.receive(data)
        if self._next_step is None:
            self._parse()
        else:
            self._update_charge()

    def keep(self, count: int) -> None:
        """Charge bytes that the reader of the response keeps."""
        self.kept_bytes += count
        self._update_charge()

    def drop_kept(self) -> None:
        """Return the charge for what the reader of the response kept."""
        self.kept_bytes = 0
        self._update_charge()

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
        encoder = new_parser()
        # Headers of callers are bytes that were read as Latin-1.
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
        ]
        data = encoder.send(
            h11.Request(method=head.method, target=head.target, headers=headers)
        )
        assert data is not None
        tail = encoder.send(h11.Data(data=body)) if body else None
        end = encoder.send(h11.EndOfMessage())
        self._events.clear()
        self._buffered_bytes = 0
        self._failure = None
        self._parser = ResponseParser(
            parser=encoder, method=head.method, accepts=accepts
        )
        if tail is not None and len(tail) > COPY_BYTES:
            # One string of all parts would hold a long body twice.
            self._transport.writelines([data, tail, end or b""])
        else:
            self._transport.write(data + (tail or b"") + (end or b""))

    async def next_event(self) -> ResponseEvent:
        """Return the next event of the response.

        Raises
        ------
        UpstreamBroken
            If the response is incomplete or not valid HTTP.
        """
        while (event := self.take_event()) is None:
            await self.wait_for_event(timeout_s=None)
        return event

    def take_event(self) -> ResponseEvent | None:
        """Return the next event of the response if it has arrived, or None.

        Raises
        ------
        UpstreamBroken
            As for ``next_event``.
        """
        if not self._events:
            if self._failure is not None:
                raise self._failure
            return None
        event = self._events.popleft()
        if isinstance(event, BodyData):
            self._buffered_bytes -= len(event.data)
            self._update_reading()
        return event

    async def wait_for_event(self, *, timeout_s: float | None) -> None:
        """Wait until ``take_event`` has a result, at most for a time."""
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        # A stream waits for each event; a task and a time limit of asyncio cost several
        # times as much as a timer.
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, self._wake_reader)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

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

    @property
    def has_unread(self) -> bool:
        """Whether the upstream has sent or closed something that was not read yet."""
        return has_unread(self._transport)

    def abort(self) -> None:
        """Close at once, so that the upstream notices immediately.

        Nobody reads the response any more. What is unsent of a request is not sent.
        """
        self._close()
        if self.account is not None:
            self.account.add(-self._charged_bytes)
            self.account = None

    def _close(self) -> None:
        self.closed = True
        if self._parser is not None:
            discard_unsent(self._transport)
        self._transport.abort()

    def _update_charge(self) -> None:
        if self.account is None:
            return
        held = self.kept_bytes + self._buffered_bytes
        if self._parser is not None:
            held += self._parser.unparsed_bytes
        if held != self._charged_bytes:
            self.account.add(held - self._charged_bytes)
            self._charged_bytes = held

    def _parse(self) -> None:
        """Parse one step of what was received, and schedule the next one."""
        self._next_step = None
        parser = self._parser
        if parser is None:
            return
        try:
            events, parts = parser.step()
        except ResponseInvalid as error:
            self._fail(str(error))
            return
        for event in events:
            self._add_event(event)
        if parser.complete:
            self._complete(parser)
        elif parser.has_work:
            loop = asyncio.get_running_loop()
            self._next_step = loop.call_later(parts * PART_PAUSE_S, self._parse)
        elif self._lost:
            self._fail(_LOST)
        self._update_reading()

    def _complete(self, parser: ResponseParser) -> None:
        self._keep_alive = parser.keep_alive
        self._parser = None
        if not self._keep_alive:
            # Any further bytes would belong to no request.
            self._transport.abort()

    def _update_reading(self) -> None:
        """Read from the socket only while little is unparsed or unread."""
        self._update_charge()
        little = self._buffered_bytes <= MIN_BUFFERED_BYTES // 2
        if little and not self._paused and self._next_step is None:
            return
        if self._lost or self._transport.is_closing():
            return
        full = self.account is not None and self.account.is_full
        limit = MIN_BUFFERED_BYTES if full else MAX_BUFFERED_BYTES
        if self._paused:
            limit //= 2
        pause = self._next_step is not None or self._buffered_bytes > limit
        if pause and not self._paused:
            self._transport.pause_reading()
        elif self._paused and not pause:
            self._transport.resume_reading()
        self._paused = pause

    def _add_event(self, event: ResponseEvent) -> None:
        if isinstance(event, BodyData):
            self._buffered_bytes += len(event.data)
        self._events.append(event)
        self._wake_reader()

    def _fail(self, reason: str) -> None:
        if not self.closed:
            self._close()
        self._parser = None
        if self._next_step is not None:
            self._next_step.cancel()
            self._next_step = None
        self._failure = UpstreamBroken(f"{reason}; use another connection")
        # What had come before may still be read.
        self._update_charge()
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
    UpstreamUnreachable
        If no connection was made in time; nothing was sent. See ``connect_error``.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(clock=clock), host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise connect_error(address, error) from error
    return connection
