"""HTTP/1.1 client with persistent connections and bounded buffers."""

import asyncio
import socket
import ssl
import time
from collections import deque
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.tcpclient import TCPClient

from endivelug.exceptions import UpstreamBroken, UpstreamUnreachable

# At most 64 KiB of a response are in memory: half in the read buffer of the stream,
# half in chunks that were not read yet.
SOCKET_BUFFER_BYTES = 32 * 1024
READ_BYTES = 16 * 1024
PAUSE_BYTES = 16 * 1024
MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_S = 10.0


class Exchange(HTTPMessageDelegate):
    """One request and its response on a connection."""

    def __init__(self, *, stream: IOStream) -> None:
        self.stream = stream
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: deque[bytes] = deque()
        self.size = 0
        self.finished = False
        self.broken = False
        self.changed = asyncio.Event()
        self.drained: asyncio.Future[None] | None = None
        self.task: asyncio.Future[bool] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store status and headers; interim responses (1xx) are skipped."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= 200:
            self.status, self.headers = start_line.code, headers
            self.changed.set()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer a chunk of the body.

        At ``PAUSE_BYTES`` reading from the connection pauses until ``read`` has emptied
        the buffer.
        """
        self.chunks.append(chunk)
        self.size += len(chunk)
        self.changed.set()
        if self.size < PAUSE_BYTES:
            return None
        self.drained = asyncio.get_running_loop().create_future()
        return self.drained

    def finish(self) -> None:
        """Record the end of the response."""
        self.finished = True
        self.changed.set()

    def on_connection_close(self) -> None:
        """Record that the connection closed before the end of the response."""
        self.broken = True
        self.changed.set()

    async def run(self, connection: HTTP1Connection) -> bool:
        """Read the response; return whether the connection can be reused."""
        try:
            await connection.read_response(self)
        except (StreamClosedError, UnsatisfiableReadError, OSError, ValueError):
            pass
        if not self.finished:
            self.on_connection_close()
            self.stream.close()
        closing = self.headers.get("Connection", "").lower() == "close"
        return self.finished and not closing and not self.stream.closed()

    async def wait_for_headers(self) -> None:
        """Wait for the status and headers of the response."""
        while not self.status:
            if self.broken:
                raise UpstreamBroken("the connection broke; resume the stream")
            await self._wait()

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        while not self.chunks:
            if self.finished:
                return b""
            if self.broken:
                raise UpstreamBroken("the connection broke; resume the stream")
            await self._wait()
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.size = 0
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)
        return data

    async def _wait(self) -> None:
        self.changed.clear()
        await self.changed.wait()

    def abort(self) -> None:
        """Close the connection, even if the response is incomplete."""
        if self.task is not None:
            self.task.cancel()
        self.stream.close()
        self.on_connection_close()


class ConnectionPool:
    """Pool of connections to upstreams.

    An idle connection is reused only if the upstream has neither closed it nor sent
    bytes on it in the meantime.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit of a connection attempt, in seconds.
    tls : ssl.SSLContext, optional
        Client context; None for plain TCP.
    """

    def __init__(
        self, *, connect_timeout_s: float, tls: ssl.SSLContext | None = None
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.tls = tls
        self.tcp = TCPClient()
        self.idle: dict[str, deque[tuple[float, IOStream]]] = {}
        self.reused = 0

    def close(self) -> None:
        """Close idle connections."""
        for entries in self.idle.values():
            for _, stream in entries:
                stream.close()
        self.idle.clear()
        self.tcp.close()

    async def connect(self, *, address: str, deadline: float) -> IOStream:
        """Open a connection.

        Parameters
        ----------
        deadline : float
            End of the attempt, in seconds of ``time.monotonic``.

        Raises
        ------
        UpstreamUnreachable
            If the connection failed or timed out.
        """
        host, _, port = address.rpartition(":")
        timeout_s = min(self.connect_timeout_s, max(0.0, deadline - time.monotonic()))
        try:
            stream = await self.tcp.connect(
                host.strip("[]"),
                int(port),
                ssl_options=self.tls,
                max_buffer_size=SOCKET_BUFFER_BYTES,
                timeout=timeout_s,
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise UpstreamUnreachable(
                f"no connection to {address}; use another upstream"
            ) from error
        stream.set_nodelay(True)
        return stream

    def release(
        self, *, address: str, exchange: Exchange, task: "asyncio.Future[bool]"
    ) -> None:
        """Return a connection to the pool if it can be reused, otherwise close it.

        Parameters
        ----------
        task : asyncio.Future[bool]
            Finished ``Exchange.run`` of the exchange.
        """
        if task.cancelled() or task.exception() is not None or not task.result():
            exchange.stream.close()
            return
        entries = self.idle.setdefault(address, deque(maxlen=MAX_IDLE_PER_ADDRESS))
        if len(entries) == MAX_IDLE_PER_ADDRESS:
            entries.popleft()[1].close()
        entries.append((time.monotonic(), exchange.stream))

    def acquire_idle(self, address: str) -> IOStream | None:
        """Remove and return a reusable idle connection, or return None."""
        entries = self.idle.get(address)
        while entries:
            since, stream = entries.pop()
            if time.monotonic() - since < MAX_IDLE_S and self.is_reusable(stream):
                self.reused += 1
                return stream
            stream.close()
        return None

    @staticmethod
    def is_reusable(stream: IOStream) -> bool:
        """Return whether an idle connection is open and has no unread bytes."""
        if stream.closed():
            return False
        try:
            stream.socket.setblocking(False)
            if isinstance(stream.socket, ssl.SSLSocket):
                return stream.socket.pending() == 0
            stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False
