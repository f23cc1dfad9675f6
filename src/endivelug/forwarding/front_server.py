"""The HTTP/1.1 server for callers, built on tornado's server connections."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from http.client import responses
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from endivelug._caller_presence import CALLER_CHECK_INTERVAL_S, closed_connections
from endivelug.exceptions import CallerLeft
from endivelug.forwarding.buffers.acceptor import Acceptor
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.head_check import HeadCheck
from endivelug.forwarding.buffers.held_body import READ_BYTES
from endivelug.forwarding.buffers.idle_connections import IdleConnections
from endivelug.forwarding.buffers.request_reader import RequestReader, remote_address
from endivelug.forwarding.buffers.unread_response import WRITE_BYTES, UnreadResponse
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON, LogLine
from endivelug.forwarding.upstream_connection import Headers

# Longer than the idle time that the configuration grants to callers; the limit of file
# descriptors of a VM already bounds the number of its idle connections.
IDLE_TIMEOUT_S = 300.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024


class Writer:
    """Writes the response to one request of a caller.

    Parameters
    ----------
    guard : ClientGuard or None
        Closes a caller that does not read; None if none is closed.

    Attributes
    ----------
    close_after : bool
        Whether the response asks the caller to close the connection.
    disconnected : bool
        Whether the caller closed the connection.
    """

    def __init__(
        self,
        *,
        connection: HTTPConnection,
        close_after: bool,
        guard: ClientGuard | None = None,
    ) -> None:
        self.connection = connection
        self.close_after = close_after
        self.guard = guard
        self.unread: UnreadResponse | None = None
        self.disconnected = False
        self.head_sent = False

    async def start(
        self, status: int, reason: str, headers: Headers, body: bytes | None = None
    ) -> None:
        """Send the head; with a ``body``, send the complete response."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self.close_after:
            fields["Connection"] = "close"
        if body is not None:
            fields["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, reason or _default_reason(status))
        first = (body or b"")[:WRITE_BYTES]
        written = self.connection.write_headers(line, fields, first)
        self.head_sent = True
        await self._finish_write(written, len(first))
        if body is not None:
            for start in range(WRITE_BYTES, len(body), WRITE_BYTES):
                await self.write(body[start : start + WRITE_BYTES])
            self.connection.finish()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._finish_write(self.connection.write(data), len(data))

    def check_connected(self) -> None:
        """Look whether the caller has closed its connection.

        The event loop learns of it only in one of its next turns, and a busy one much
        later.

        Raises
        ------
        CallerLeft
            If the caller has closed the connection.
        """
        if self.disconnected or closed_connections([self.connection]):
            raise CallerLeft("the caller closed the connection; drop the request")

    def finish(self) -> None:
        """End a complete response."""
        if not self.disconnected:
            self.connection.finish()

    async def fail(self) -> None:
        """End a response that a fault of the program keeps from being given."""
        try:
            if not self.head_sent:
                await self.start(HTTPStatus.BAD_GATEWAY, "", [], b"")
                return
        except CallerLeft:
            pass
        self.abort()

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        stream: Any = getattr(self.connection, "stream", None)
        if stream is not None:
            stream.close()

    def release(self) -> None:
        """Return the memory that is charged for the response."""
        if self.unread is not None:
            self.unread.release()

    async def _finish_write(self, written: asyncio.Future[None], count: int) -> None:
        try:
            if written.done() or self.guard is None:
                await written
                return
            if self.unread is None:
                self.unread = UnreadResponse(
                    guard=self.guard,
                    address=remote_address(self.connection),
                    close=self.abort,
                )
            await self.unread.wait(written, count)
        except StreamClosedError as error:
            self.disconnected = True
            raise CallerLeft("the connection is closed; drop the request") from error


def _default_reason(status: int) -> str:
    return responses.get(status, "Unknown")


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
        Whether each response asks the caller to close the connection.
    tasks : dict of Writer to asyncio.Task
        Requests in progress.
    left_total : int
        Callers that left while an answer was written that the handler does not log.
    idle : IdleConnections
        Readers of connections on which no request has begun.
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
        self.server = HTTPServer(
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
            on_begun=self.idle.discard,
            on_complete=self._begin,
        )
        self.idle.add(reader)
        return reader

    def on_close(self, server_conn: object) -> None:
        """Ignore the end of a connection; each request has its own close callback."""

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
        return len(self._streams)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        self._streams = {item for item in self._streams if not item.closed()}
        return len(self._streams)

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

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        self.idle.close_all()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.acceptor.stop()
        await self.server.close_all_connections()

    def _accepted(self, stream: IOStream, address: tuple[str, int]) -> None:
        self._streams.add(stream)
        self.server.handle_stream(stream, address)

    def _has_room(self) -> bool:
        """Return whether a connection may be accepted; at the bound, make room."""
        limit = self.max_connections()
        if not limit or self.max_open < limit or self.connections < limit:
            return True
        return self.idle.close_oldest() or self.guard.close_slowest()

    def _begin(self, reader: RequestReader) -> None:
        """Start the handler of a complete request in a separate task."""
        writer = Writer(
            connection=reader.connection, close_after=self.closing, guard=self.guard
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
