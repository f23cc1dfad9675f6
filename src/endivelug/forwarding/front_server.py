"""The HTTP/1.1 server for callers, built on tornado's server connections."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from http.client import responses
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from endivelug._caller_presence import CALLER_CHECK_INTERVAL_S, closed_connections
from endivelug.exceptions import CallerLeft
from endivelug.forwarding.cluster_view import MAX_LOGGED_REASON, LogLine
from endivelug.forwarding.upstream_connection import Headers

# Longer than the idle time that the configuration grants to callers; the limit of file
# descriptors of a VM already bounds the number of its idle connections.
IDLE_TIMEOUT_S = 300.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024


class Writer:
    """Writes the response to one request of a caller.

    Attributes
    ----------
    close_after : bool
        Whether the response asks the caller to close the connection.
    disconnected : bool
        Whether the caller closed the connection.
    """

    def __init__(self, *, connection: HTTPConnection, close_after: bool) -> None:
        self.connection = connection
        self.close_after = close_after
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
        written = self.connection.write_headers(line, fields, body or b"")
        self.head_sent = True
        await self._finish_write(written)
        if body is not None:
            self.connection.finish()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._finish_write(self.connection.write(data))

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

    async def _finish_write(self, written: Awaitable[None]) -> None:
        try:
            await written
        except StreamClosedError as error:
            self.disconnected = True
            raise CallerLeft("the connection is closed; drop the request") from error


def _default_reason(status: int) -> str:
    return responses.get(status, "Unknown")


Handler = Callable[[str, str, Headers, bytes, Writer], Awaitable[None]]


class _Request(HTTPMessageDelegate):
    """Reads one request and runs the handler in a separate task."""

    def __init__(self, *, server: "FrontServer", connection: HTTPConnection) -> None:
        self.server = server
        self.connection = connection
        self.body = bytearray()
        self.line: RequestStartLine
        self.headers: HTTPHeaders
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Store the request line and headers."""
        assert isinstance(start_line, RequestStartLine)
        self.server.idle.discard(self)
        self.line = start_line
        self.headers = headers
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Append a chunk of the body."""
        self.body += chunk
        return None

    def on_connection_close(self) -> None:
        """Remove a connection that closed before its request was complete."""
        self.server.idle.discard(self)

    def finish(self) -> None:
        """Start the handler of the complete request."""
        writer = Writer(connection=self.connection, close_after=self.server.closing)
        task = asyncio.get_running_loop().create_task(self._handle(writer))
        tasks = self.server.tasks
        tasks[writer] = task
        task.add_done_callback(lambda ended: tasks.pop(writer, None))

        def on_disconnect() -> None:
            writer.disconnected = True
            task.cancel()

        cast(HTTP1Connection, self.connection).set_close_callback(on_disconnect)

    async def _handle(self, writer: Writer) -> None:
        headers = list(self.headers.get_all())
        try:
            await self.server.handler(
                self.line.method, self.line.path, headers, bytes(self.body), writer
            )
        except CallerLeft:
            self.server.left_total += 1
        except Exception as error:
            self.server.log(
                "handler-failed",
                path=self.line.path[:MAX_LOGGED_REASON],
                reason=repr(error)[:MAX_LOGGED_REASON],
            )
            await writer.fail()


class FrontServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers and passes their requests to a handler.

    Attributes
    ----------
    closing : bool
        Whether each response asks the caller to close the connection.
    tasks : dict of Writer to asyncio.Task
        Requests in progress.
    left_total : int
        Callers that left while an answer was written that the handler does not log.
    idle : set of _Request
        Readers of connections on which no request has begun.
    """

    def __init__(self, *, handler: Handler, log: LogLine) -> None:
        self.handler = handler
        self.log = log
        self.closing = False
        self.tasks: dict[Writer, asyncio.Task[None]] = {}
        self.left_total = 0
        self.idle: set[_Request] = set()
        self.server = HTTPServer(
            self,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES + MAX_HEADER_BYTES,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection."""
        request = _Request(server=self, connection=request_conn)
        self.idle.add(request)
        return request

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

    def listen(self, address: str) -> None:
        """Listen on an IP address and port."""
        host, _, port = address.rpartition(":")
        self.server.listen(int(port), address=host, backlog=1024, reuse_port=False)

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self.server.stop()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for request in list(self.idle):
            self.idle.discard(request)
            cast(HTTP1Connection, request.connection).close()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.server.stop()
        await self.server.close_all_connections()
