"""HTTP client of model engines: streams of typed events with backpressure."""

import asyncio
import contextlib
import json
import ssl
import time
from collections import deque
from collections.abc import Coroutine
from typing import Any, NoReturn

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine

from endivelug._exchange import READ_BYTES, ConnectionPool, Exchange
from endivelug._sse import DONE, EngineEvent, SseParser
from endivelug.exceptions import EndivelugError, UpstreamBroken, UpstreamRejected

__all__ = ["DONE", "EngineClient", "EngineEvent", "EngineStream"]

LAST_CHUNK_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CANCEL_RETRY_DELAYS_S = (0.0, 0.2, 1.0)

# Statuses of an engine's response to a request that it has not started.
REJECTIONS = {
    400: "the request is malformed",
    404: "the model or stream does not exist there",
    409: "another weights version is in force",
    412: "the fencing number is old",
    413: "the request is too large",
    416: "the event number is beyond the end of the stream",
    422: "the request is not acceptable",
    429: "the queue is full",
    503: "it accepts no requests at present",
}


class EngineStream:
    """An open stream of events; created by ``EngineClient``.

    Attributes
    ----------
    address, stream_id, version : str
        Address of the engine, id of its stream and weights version of the response.
    incarnation : int
        Incarnation of the engine, from the response.
    """

    def __init__(
        self,
        *,
        exchange: Exchange,
        address: str,
        stream_id: str,
        expected: int,
    ) -> None:
        self.exchange = exchange
        self.address = address
        self.stream_id = stream_id
        self.version = exchange.headers.get("X-Weights-Version", "")
        self.incarnation = int(exchange.headers.get("X-Engine-Incarnation", "0"))
        self.parser = SseParser(expected_number=expected, stream_id=stream_id)
        self.parsed: deque[EngineEvent] = deque()
        self.done = False

    async def next_event(self, *, deadline: float) -> EngineEvent:
        """Return the next event; the last one is ``[DONE]``.

        Parameters
        ----------
        deadline : float
            Monotonic time at which an overdue event counts as a failure.

        Raises
        ------
        UpstreamBroken
            If the stream cannot be read any further; the connection is closed.
        """
        try:
            while not self.parsed:
                async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                    data = await self.exchange.read()
                if not data:
                    raise UpstreamBroken("the stream ended early; resume it")
                try:
                    self.parsed.extend(self.parser.feed(data))
                except UpstreamBroken:
                    self.parsed.clear()
                    raise
        except TimeoutError as error:
            self.exchange.abort()
            raise UpstreamBroken("an event is overdue; resume the stream") from error
        except BaseException:
            self.exchange.abort()
            raise
        event = self.parsed.popleft()
        self.done = event.done
        return event

    def close(self) -> None:
        """Stop reading; the connection is reused only after a complete response."""
        exchange = self.exchange
        if self.done and not self.parsed and not exchange.finished:
            asyncio.get_running_loop().call_later(
                LAST_CHUNK_TIMEOUT_S, self._abort_unfinished
            )
        elif not self.done:
            exchange.abort()

    def _abort_unfinished(self) -> None:
        if not self.exchange.finished:
            self.exchange.abort()


class EngineClient:
    """HTTP client for engines; one instance serves a whole process.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit of a connection attempt.
    tls : ssl.SSLContext, optional
        TLS settings; None for plain connections.
    credential : str
        Bearer token; empty for none.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
        credential: str = "",
    ) -> None:
        self.pool = ConnectionPool(connect_timeout_s=connect_timeout_s, tls=tls)
        self.credential = credential
        self.tasks: set[asyncio.Future[Any]] = set()

    async def open(
        self, *, address: str, body: dict[str, Any], version: str, deadline: float
    ) -> EngineStream:
        """Start a completion and return its stream.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        body : dict
            Chat completion request; ``stream_id`` is required.
        version : str
            Weights version that the engine must serve.
        deadline : float
            Monotonic time by which the engine must respond.

        Raises
        ------
        UpstreamUnreachable, UpstreamRejected
            The engine has not started the request.
        UpstreamBroken
            The engine may be running the request.
        """
        headers = {"X-Weights-Version": version, "Content-Type": "application/json"}
        content = json.dumps({**body, "stream": True}).encode()
        exchange = await self._send(
            address, "POST", "/v1/chat/completions", headers, content, deadline
        )
        return self._open_stream(exchange, address, body["stream_id"], 0, version, None)

    async def resume(
        self,
        *,
        address: str,
        stream_id: str,
        incarnation: int | None,
        after: int,
        deadline: float,
    ) -> EngineStream:
        """Resume an engine's stream after event ``after``; -1 for the whole stream.

        Raises
        ------
        UpstreamUnreachable, UpstreamRejected, UpstreamBroken
            As for ``open``; also if the engine has restarted since.
        """
        headers = {"Last-Event-ID": str(after)} if after >= 0 else {}
        path = f"/v1/streams/{stream_id}"
        exchange = await self._send(address, "GET", path, headers, b"", deadline)
        return self._open_stream(
            exchange, address, stream_id, after + 1, None, incarnation
        )

    def cancel(self, *, address: str, stream_id: str) -> None:
        """Cancel a completion in the background; ignore unreachable engines."""
        self._spawn(self._cancel(address, stream_id))

    async def close(self) -> None:
        """Finish pending cancellations and close idle connections."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CANCEL_TIMEOUT_S)
        for task in list(self.tasks):
            task.cancel()
        self.pool.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _cancel(self, address: str, stream_id: str) -> None:
        for delay_s in CANCEL_RETRY_DELAYS_S:
            # A cancellation can arrive before its request, so it is repeated on error.
            await asyncio.sleep(delay_s)
            deadline = time.monotonic() + CANCEL_TIMEOUT_S
            with contextlib.suppress(EndivelugError):
                path = f"/v1/streams/{stream_id}"
                exchange = await self._send(address, "DELETE", path, {}, b"", deadline)
                exchange.abort()
                return

    def _open_stream(
        self,
        exchange: Exchange,
        address: str,
        stream_id: str,
        expected: int,
        version: str | None,
        incarnation: int | None,
    ) -> EngineStream:
        def fail(reason: str) -> NoReturn:
            exchange.abort()
            raise UpstreamBroken(f"{reason}; use another engine")

        try:
            stream = EngineStream(
                exchange=exchange,
                address=address,
                stream_id=stream_id,
                expected=expected,
            )
        except ValueError:
            fail("the response has an invalid X-Engine-Incarnation header")
        if exchange.headers.get("X-Stream-Id", stream_id) != stream_id:
            fail("the response is for another stream")
        if version is not None and stream.version != version:
            fail("the response is from another weights version")
        if incarnation is not None and stream.incarnation != incarnation:
            fail("the engine has restarted")
        return stream

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        content: bytes,
        deadline: float,
    ) -> Exchange:
        stream = self.pool.acquire_idle(address)
        if stream is None:
            stream = await self.pool.connect(address=address, deadline=deadline)
        exchange = Exchange(stream=stream)
        connection = HTTP1Connection(
            stream,
            True,
            HTTP1ConnectionParameters(
                chunk_size=READ_BYTES, max_header_size=READ_BYTES, max_body_size=1 << 40
            ),
        )
        request_headers = HTTPHeaders({"Host": address, **headers})
        if self.credential:
            request_headers["Authorization"] = f"Bearer {self.credential}"
        if method == "POST":
            request_headers["Content-Length"] = str(len(content))
        start = RequestStartLine(method, path, "")
        try:
            # A write error also ends the connection, which is handled below.
            connection.write_headers(
                start, request_headers, content or None
            ).add_done_callback(lambda future: future.exception())
            connection.finish()
            exchange.task = asyncio.ensure_future(exchange.run(connection))
            exchange.task.add_done_callback(
                lambda task: self.pool.release(
                    address=address, exchange=exchange, task=task
                )
            )
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await exchange.wait_for_headers()
        except TimeoutError as error:
            exchange.abort()
            raise UpstreamBroken(
                "the response is overdue; resume the stream"
            ) from error
        except BaseException:
            exchange.abort()
            raise
        if exchange.status != 200:
            exchange.abort()
            reason = REJECTIONS.get(exchange.status)
            if reason is not None:
                raise UpstreamRejected(status=exchange.status, reason=reason)
            if exchange.status != 204:
                raise UpstreamBroken(
                    f"the engine answered {exchange.status}; use another engine"
                )
        return exchange
