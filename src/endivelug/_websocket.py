"""WebSocket connections on top of the sans-I/O protocol of the websockets library.

The library's own asyncio connections wake a task for each message. At the 170
messages/s of one agent, that took a third of its CPU time. Here the transport passes
each message to its receiver in a direct call.
"""

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from endivelug.exceptions import LinkClosed

CLOSE_TIMEOUT_S = 0.5
UNSUPPORTED_DATA = 1003  # WebSocket close code
# VMs are replaced 350 times a day. Without keepalive probes, the connections to a VM
# that loses power would stay open.
KEEPALIVE_IDLE_S = 20
UNACKNOWLEDGED_TIMEOUT_MS = 15_000
# Reading from the peer pauses while this many messages are waiting to be received.
MAX_INBOX_MESSAGES = 64


class WebSocket(asyncio.Protocol):
    """One WebSocket connection.

    Parameters
    ----------
    protocol : ClientProtocol or ServerProtocol
        Protocol state machine of the library.
    headers : mapping of str to str or None
        Additional headers of a client's opening request.
    on_open : callable or None
        Called when the opening handshake is complete.
    """

    def __init__(
        self,
        protocol: ClientProtocol | ServerProtocol,
        *,
        headers: Mapping[str, str] | None = None,
        on_open: Callable[["WebSocket"], None] | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.protocol = protocol
        self.headers = headers or {}
        self.on_open = on_open
        self.on_writable: Callable[[], None] | None = None
        self.writable = True
        self.opened: asyncio.Future[None] = loop.create_future()
        self.closed: asyncio.Future[None] = loop.create_future()
        self._transport: Any = None
        self._inbox: deque[bytes] = deque()
        self._receiver: Callable[[bytes], None] | None = None
        self._message_waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keepalive; as a client, start the opening handshake."""
        self._transport = transport
        _enable_keepalive(transport.get_extra_info("socket"))
        if isinstance(self.protocol, ClientProtocol):
            request = self.protocol.connect()
            request.headers.update(self.headers)
            self.protocol.send_request(request)
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Pass received data to the protocol and handle its events."""
        self.protocol.receive_data(data)
        self._handle_events()

    def eof_received(self) -> bool:
        """Pass the end of the stream to the protocol and handle its events."""
        self.protocol.receive_eof()
        self._handle_events()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Resolve the futures that wait for the connection or a message."""
        if not self.opened.done():
            self.opened.set_exception(
                LinkClosed("the connection closed during the handshake; retry")
            )
            self.opened.exception()
        if not self.closed.done():
            self.closed.set_result(None)
        self._wake_receiver()

    def pause_writing(self) -> None:
        """Mark the connection as not writable while the transport's buffer is full."""
        self.writable = False

    def resume_writing(self) -> None:
        """Mark the connection as writable again."""
        self.writable = True
        if self.on_writable is not None:
            self.on_writable()

    def pause_reading(self) -> None:
        """Stop reading from the peer, which applies back pressure."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the peer."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def send(self, data: bytes) -> None:
        """Send one binary message.

        Raises
        ------
        LinkClosed
            If the connection is closed or closing.
        """
        if self.protocol.state is not State.OPEN or self.closed.done():
            raise LinkClosed("the connection is closed; use a fallback")
        self.protocol.send_binary(data)
        self._flush()

    def set_receiver(self, receiver: Callable[[bytes], None]) -> None:
        """Pass all waiting and future messages to a function."""
        self._receiver = receiver
        if len(self._inbox) >= MAX_INBOX_MESSAGES:
            self.resume_reading()
        while self._inbox:
            receiver(self._inbox.popleft())

    async def recv(self) -> bytes:
        """Return the next message.

        Raises
        ------
        LinkClosed
            If the connection is closed.
        """
        while not self._inbox:
            if self.closed.done():
                raise LinkClosed("the peer closed the connection; retry")
            self._message_waiter = asyncio.get_running_loop().create_future()
            await self._message_waiter
        data = self._inbox.popleft()
        if len(self._inbox) == MAX_INBOX_MESSAGES - 1:
            self.resume_reading()
        return data

    def close_soon(self, code: int = 1000) -> None:
        """Start the closing handshake; abort if it takes too long."""
        if self._transport is None or self.closed.done():
            return
        if self.protocol.state is State.OPEN:
            self.protocol.send_close(code)
            self._flush()
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        if self._transport is not None:
            self._transport.abort()

    async def close(self, code: int = 1000) -> None:
        """Close the connection and wait until it is closed."""
        self.close_soon(code)
        if self._transport is not None:
            await asyncio.wait([self.closed], timeout=2 * CLOSE_TIMEOUT_S)

    def _handle_events(self) -> None:
        for event in self.protocol.events_received():
            match event:
                case Frame(opcode=Opcode.BINARY, fin=True):
                    self._deliver(bytes(event.data))
                case Frame(opcode=Opcode.BINARY | Opcode.TEXT | Opcode.CONT):
                    # Links only use unfragmented binary messages.
                    self.protocol.fail(UNSUPPORTED_DATA, "send whole binary messages")
                case Request():
                    assert isinstance(self.protocol, ServerProtocol)
                    self.protocol.send_response(self.protocol.accept(event))
                    if self.protocol.state is State.OPEN:
                        self._complete_handshake()
                case Response():
                    if self.protocol.state is State.OPEN:
                        self._complete_handshake()
        self._flush()

    def _complete_handshake(self) -> None:
        if not self.opened.done():
            self.opened.set_result(None)
            if self.on_open is not None:
                self._flush()
                self.on_open(self)

    def _deliver(self, data: bytes) -> None:
        if self._receiver is not None:
            self._receiver(data)
            return
        self._inbox.append(data)
        if len(self._inbox) == MAX_INBOX_MESSAGES:
            self.pause_reading()
        self._wake_receiver()

    def _wake_receiver(self) -> None:
        if self._message_waiter is not None and not self._message_waiter.done():
            self._message_waiter.set_result(None)

    def _flush(self) -> None:
        transport = self._transport
        chunks = self.protocol.data_to_send()
        if not chunks or transport.is_closing():
            return
        if chunks[-1] != b"":
            transport.write(chunks[0] if len(chunks) == 1 else b"".join(chunks))
            return
        # An empty last chunk means the end of the stream. TLS transports do not support
        # half-close, so the transport is closed.
        transport.write(b"".join(chunks))
        transport.close()


def _enable_keepalive(tcp_socket: Any) -> None:
    """Make the kernel close a connection whose peer has become unreachable."""
    if tcp_socket is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S // 2),
        (socket.TCP_KEEPCNT, 3),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)


async def connect(
    uri: str,
    *,
    headers: Mapping[str, str] | None = None,
    tls: ssl.SSLContext | None = None,
    max_size: int,
    timeout_s: float,
) -> WebSocket:
    """Open a client connection.

    Parameters
    ----------
    uri : str
        ``ws`` or ``wss`` URI with an IP address and a port.
    headers : mapping of str to str or None
        Additional headers of the opening request.
    max_size : int
        Longest message in bytes.
    timeout_s : float
        Timeout for the connection and the opening handshake together.

    Raises
    ------
    LinkClosed
        If no connection could be established in time.
    """
    parsed = parse_uri(uri)
    protocol = ClientProtocol(parsed, max_size=max_size)
    loop = asyncio.get_running_loop()
    transport: asyncio.BaseTransport | None = None
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: WebSocket(protocol, headers=headers),
                parsed.host,
                parsed.port,
                ssl=tls,
            )
            await connection.opened
    except (OSError, TimeoutError, InvalidHandshake, LinkClosed) as error:
        if transport is not None:
            transport.abort()  # type: ignore[attr-defined]
        raise LinkClosed(f"cannot reach {uri} ({error}); retry later") from error
    except BaseException:
        if transport is not None:
            transport.abort()  # type: ignore[attr-defined]
        raise
    return connection


async def listen(
    on_accept: Callable[[WebSocket], Awaitable[None]],
    *,
    host: str,
    port: int,
    tls: ssl.SSLContext | None = None,
    max_size: int,
    opening_timeout_s: float,
) -> asyncio.Server:
    """Listen for connections and handle each one in its own task."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Future[None]] = set()

    async def handle(connection: WebSocket) -> None:
        try:
            await on_accept(connection)
        finally:
            await connection.close()

    def start_handler(connection: WebSocket) -> None:
        task = asyncio.ensure_future(handle(connection))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def make_connection() -> WebSocket:
        connection = WebSocket(ServerProtocol(max_size=max_size), on_open=start_handler)
        loop.call_later(opening_timeout_s, _abort_if_not_open, connection)
        return connection

    return await loop.create_server(make_connection, host, port, ssl=tls)


def _abort_if_not_open(connection: WebSocket) -> None:
    if not connection.opened.done():
        connection.abort()
