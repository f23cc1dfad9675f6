"""The HTTP/1.1 server for callers, built on tornado's server connections."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream

from endivelug._caller_presence import CALLER_CHECK_INTERVAL_S, closed_connections
from endivelug.exceptions import CallerLeft
from endivelug.forwarding.buffers.acceptor import Acceptor
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.head_check import HeadCheck
from endivelug.forwarding.buffers.held_body import READ_BYTES
from endivelug.forwarding.buffers.idle_connections import IdleConnections
from endivelug.forwarding.buffers.lingering_close import LingeringCloser
from endivelug.forwarding.buffers.request_reader import RequestReader
from endivelug.forwarding.response_writer import Writer
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON, LogLine
from endivelug.forwarding.upstream_connection import Headers

# Longer than the idle time that the configuration grants to callers; the limit of file
# descriptors of a VM already bounds the number of its idle connections.
IDLE_TIMEOUT_S = 300.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024


class ConnectionServer(HTTPServer):
    """Server that also tells its delegate of connections that have ended.

    Tornado tells only the reader of a request whose head has come.
    """

    def on_close(self, server_conn: object) -> None:
        """Forget a connection, and pass its end on."""
        super().on_close(server_conn)
        delegate = self.request_callback
        assert isinstance(delegate, HTTPServerConnectionDelegate)
        delegate.on_close(server_conn)


Handler = Callable[[str, str, Headers, bytes, Writer], Awaitable[None]]


class FrontServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers and passes their requests to a handler.

    Parameters
    ----------
    guard : ClientGuard
        Grants memory for bodies.
    check_head : callable or None
        Checks requests that have a body by their head; None if all are handled.
    max_connections : callable
        Returns how many connections are accepted; 0 for any number.
    header_timeout_s : callable
        Returns the time for a head from its first byte.
    max_head_bytes : callable
        Returns the longest head that is read.

    Attributes
    ----------
    closing : bool
        Whether each response asks the caller to close the connection, which is closed
        after it.
    tasks : dict of Writer to asyncio.Task
        Requests in progress.
    left_total : int
        Callers that left while an answer was written that the handler does not log.
    idle : IdleConnections
        Readers of connections on which no request has begun.
    arriving : dict of RequestReader to None
        Readers of requests whose bodies are still being read.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        log: LogLine,
        guard: ClientGuard,
        check_head: HeadCheck | None = None,
        max_connections: Callable[[], int] = lambda: 0,
        header_timeout_s: Callable[[], float] = lambda: IDLE_TIMEOUT_S,
        max_head_bytes: Callable[[], int] = lambda: MAX_HEADER_BYTES,
    ) -> None:
        self.handler = handler
        self.log = log
        self.guard = guard
        self.check_head = check_head
        self.max_connections = max_connections
        self.max_head_bytes = max_head_bytes
        self.closing = False
        self.tasks: dict[Writer, asyncio.Task[None]] = {}
        self.left_total = 0
        self._streams: set[IOStream] = set()
        self.idle = IdleConnections(guard=guard, header_timeout_s=header_timeout_s)
        self.arriving: dict[RequestReader, None] = {}
        self._readers: dict[object, RequestReader] = {}
        self.closer = LingeringCloser(clock=guard.clock)
        self._announced: set[IOStream] = set()
        self.server = ConnectionServer(
            self,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_BYTES,
        )
        self.acceptor = Acceptor(
            has_room=self._has_room,
            on_accepted=self._accepted,
            max_buffer_size=2 * MAX_HEADER_BYTES,
            read_chunk_size=READ_BYTES,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection."""
        reader = RequestReader(
            connection=request_conn,
            guard=self.guard,
            check_head=self.check_head,
            on_begun=self._head_received,
            on_closed=self._discard,
            on_complete=self._begin,
        )
        self.idle.add(reader)
        self._readers[server_conn] = reader
        stream = reader.connection.stream
        if stream in self._announced:
            # The caller was told that no further request is read here.
            self._announced.discard(stream)
            self.closer.close(stream)
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forget the reader of a connection that has ended."""
        reader = self._readers.pop(server_conn, None)
        if reader is not None:
            self._discard(reader)

    async def watch_callers(self) -> None:
        """Cancel the requests whose callers have left, until cancelled itself."""
        while True:
            await asyncio.sleep(CALLER_CHECK_INTERVAL_S)
            closed = closed_connections(writer.connection for writer in self.tasks)
            for writer, task in self.tasks.items():
                if writer.connection in closed:
                    writer.disconnected = True
                    task.cancel()
            self.guard.sweep()
            self.idle.sweep(connections=self.connections)
            # The parameters are shared by all connections.
            self.server.conn_params.max_header_size = self.max_head_bytes()

    @property
    def max_open(self) -> int:
        """Largest number that ``connections`` can return now."""
        return len(self._streams) + len(self.closer)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        self._streams = {item for item in self._streams if not item.closed()}
        self._announced &= self._streams
        return len(self._streams) + len(self.closer)

    def listen(self, address: str) -> None:
        """Listen on an IP address and port."""
        host, _, port = address.rpartition(":")
        self.acceptor.listen(host, int(port))

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self.acceptor.stop()

    async def end_requests(self, *, timeout_s: float) -> None:
        """Cancel the requests in progress, and wait until they have ended."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def begin_closing(self) -> None:
        """Announce in each response from now on that its connection is closed."""
        self.closing = True
        for writer in self.tasks:
            writer.close_after = True

    def refuse_arriving(self) -> None:
        """Refuse the requests whose bodies are still being read."""
        for reader in list(self.arriving):
            reader.refuse("this VM is stopping")

    def close_idle(self, *, with_begun: bool) -> None:
        """Close the connections on which no request arrives.

        Parameters
        ----------
        with_begun : bool
            Whether to close also those on which a part of a head has arrived.
        """
        for reader in self.idle.quiet(with_begun=with_begun):
            self.idle.discard(reader)
            self.closer.close(reader.connection.stream)

    async def close(self, *, until: float = float("-inf")) -> None:
        """Stop listening and close every connection.

        Parameters
        ----------
        until : float
            Time until which callers may read what was written to them.
        """
        self.acceptor.stop()
        self.closer.until = until
        streams = [stream for stream in self._streams if not stream.closed()]
        writing = [stream.write(b"") for stream in streams if stream.writing()]
        if writing:
            await asyncio.wait(writing, timeout=max(0.0, until - self.guard.clock()))
        for stream in streams:
            if not stream.writing():
                self.closer.close(stream)
            stream.close()
        await self.closer.wait(until=until)
        await self.server.close_all_connections()

    def _accepted(self, stream: IOStream, address: tuple[str, int]) -> None:
        self._streams.add(stream)
        self.server.handle_stream(stream, address)

    def _has_room(self) -> bool:
        """Return whether a connection may be accepted; at the bound, make room."""
        limit = self.max_connections()
        if not limit or self.max_open < limit or self.connections < limit:
            return True
        if self.idle.close_oldest():
            return True
        # In a stop, callers that still read their answers come before new ones.
        if not self.closing and self.closer.close_oldest():
            return True
        return self.guard.close_slowest()

    def _head_received(self, reader: RequestReader) -> None:
        self.idle.discard(reader)
        self.arriving[reader] = None

    def _discard(self, reader: RequestReader) -> None:
        self.idle.discard(reader)
        self.arriving.pop(reader, None)

    def _begin(self, reader: RequestReader) -> None:
        """Start the handler of a complete request in a separate task."""
        self.arriving.pop(reader, None)
        writer = Writer(
            connection=reader.connection,
            close_after=reader.take_over_close() or self.closing,
            guard=self.guard,
            on_close_announced=partial(self._announced.add, reader.connection.stream),
        )
        task = asyncio.get_running_loop().create_task(self._handle(reader, writer))
        tasks = self.tasks
        tasks[writer] = task

        def on_end(ended: asyncio.Task[None]) -> None:
            tasks.pop(writer, None)
            writer.release()
            reader.release()

        task.add_done_callback(on_end)

        def on_disconnect() -> None:
            writer.disconnected = True
            task.cancel()

        reader.connection.set_close_callback(on_disconnect)

    async def _handle(self, reader: RequestReader, writer: Writer) -> None:
        line, refused = reader.line, reader.refused
        try:
            body = reader.take_body()
            if refused is not None:
                await writer.start(refused.status, "", refused.headers, refused.body)
            elif reader.accepted is not None:
                await reader.accepted.serve(body, writer)
            else:
                headers = list(reader.headers.get_all())
                await self.handler(line.method, line.path, headers, body, writer)
        except CallerLeft:
            self.left_total += 1
        except Exception as error:
            self.log(
                "handler-failed",
                path=line.path[:MAX_LOGGED_REASON],
                reason=repr(error)[:MAX_LOGGED_REASON],
            )
            await writer.fail()
