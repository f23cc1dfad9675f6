"""Writes the response to one request of a caller."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from http.client import responses
from typing import Any

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from endivelug._caller_presence import closed_connections
from endivelug.exceptions import CallerLeft
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.request_reader import remote_address
from endivelug.forwarding.buffers.unread_response import WRITE_BYTES, UnreadResponse
from endivelug.forwarding.upstream_connection import Headers


class Writer:
    """Writes the response to one request of a caller.

    Parameters
    ----------
    guard : ClientGuard or None
        Closes a caller that does not read; None if none is closed.
    on_close_announced : callable
        Called when the response asks the caller to close the connection.

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
        on_close_announced: Callable[[], None] = lambda: None,
    ) -> None:
        self.connection = connection
        self.close_after = close_after
        self.guard = guard
        self.on_close_announced = on_close_announced
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
            self.on_close_announced()
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

    async def finish(self) -> None:
        """End a complete response, and wait until all of it is written."""
        if self.disconnected:
            return
        self.connection.finish()
        stream: Any = getattr(self.connection, "stream", None)
        if stream is not None and stream.writing():
            await self._finish_write(stream.write(b""), 0)

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
