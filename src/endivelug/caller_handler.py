"""Base class of the HTTP handlers for callers: authentication, refusals, events."""

import asyncio
import json
import math
from dataclasses import dataclass
from typing import Any

from tornado.web import RequestHandler, stream_request_body

from endivelug._caller_presence import CALLER_CHECK_INTERVAL_S, closed_connections
from endivelug.authentication import Caller, authenticate
from endivelug.chat_routing import ChatRouting
from endivelug.drain import Drain
from endivelug.refusals import MayHaveRun, NotRun, Refusal, problem_document
from endivelug.router_state import RouterState
from endivelug.service_calls import ServiceCalls
from endivelug.settings import Settings
from endivelug.stream_events import RelayEvent, StreamFailed, StreamOpened, encode_sse


@dataclass(slots=True, kw_only=True)
class HandlerContext:
    """Objects of the router that its HTTP handlers share.

    Attributes
    ----------
    settings : Settings
        Settings of the VM.
    state : RouterState
        Configuration, agents and upstreams.
    routing : ChatRouting
        Components that route chat completions.
    service_calls : dict of str to ServiceCalls
        Clients of plain services, by pool name.
    drain_state : Drain
        Progress of a planned stop.
    in_flight : set of CallerHandler
        Handlers of the requests in flight.
    """

    settings: Settings
    state: RouterState
    routing: ChatRouting
    service_calls: dict[str, ServiceCalls]
    drain_state: Drain
    in_flight: set["CallerHandler"]


@stream_request_body
class CallerHandler(RequestHandler):
    """Base class of the handlers for callers: authentication and refusals.

    Callers are authenticated as soon as the headers are received, so that only callers
    with a key can make the router buffer a body. The body of a refused request is read
    and dropped, because closing the connection earlier can lose the response.
    """

    def initialize(self, context: HandlerContext) -> None:
        """Store the shared objects."""
        self.context = context
        self.caller: Caller | None = None
        self.early_refusal: Refusal | None = None
        self.body = bytearray()
        self.task: asyncio.Task[Any] | None = None

    def set_default_headers(self) -> None:
        """Remove the ``Server`` header with the library's version."""
        self.clear_header("Server")

    async def prepare(self) -> None:
        """Register the request and decide from its headers whether to serve it."""
        self.context.in_flight.add(self)
        refusal = self.context.state.refusal()
        drain_state = self.context.drain_state
        if not drain_state.ready:
            self.set_header("Connection", "close")
        if not drain_state.accepting:
            refusal = NotRun(
                kind="stopping",
                status=503,
                remedy="repeat the request on a new connection",
                retry_after_s=0.0,
            )
        if refusal is None:
            result = authenticate(
                self.context.state.configuration,
                self.request.headers.get("Authorization", ""),
            )
            if isinstance(result, Caller):
                self.caller = result
            else:
                refusal = result
        self.early_refusal = refusal

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body unless the request is refused."""
        if self.early_refusal is None:
            self.body += chunk

    def send_early_refusal(self) -> bool:
        """Send the refusal of ``prepare``, if any; return whether it was sent.

        Every HTTP method calls this first.
        """
        if self.early_refusal is not None:
            self.refuse(self.early_refusal)
        return self.early_refusal is not None

    def on_finish(self) -> None:
        """Remove the request from those in flight once its response is written."""
        stream: Any = getattr(self.request.connection, "stream", None)
        if stream is None or stream.closed() or not stream.writing():
            self.context.in_flight.discard(self)
            return
        # A slow caller has not taken everything that came before the empty write.
        written = stream.write(b"")
        written.add_done_callback(lambda _: self.context.in_flight.discard(self))

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that has disconnected."""
        self.context.in_flight.discard(self)
        if self.task is not None:
            self.task.cancel()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as a problem document."""
        status, document = problem_document(refusal)
        run = document["run"]
        self.context.routing.metrics.refusals.inc(
            {"kind": document["type"].rpartition("/")[2], "run": run}
        )
        self.set_status(status)
        self.set_header("Content-Type", "application/problem+json")
        retry_after_s = document.get("retry_after_s")
        if retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(retry_after_s)))
        if status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(json.dumps(document))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an unexpected error as a problem document."""
        if self._headers_written or self.send_early_refusal():
            return
        if status_code < 500:
            self.refuse(
                NotRun(
                    kind="request-invalid",
                    status=status_code,
                    remedy="see docs/api.md for the requests that are supported",
                )
            )
        else:
            # The request may already have been dispatched, so it may have run.
            self.refuse(MayHaveRun(kind="internal-error"))

    def end_unfinished(self) -> None:
        """Answer a request that is still in progress when the router stops.

        A stream that has begun is left to the close of its connection, which shows
        that it is not complete.
        """
        if not self._headers_written and not self._finished:
            self.set_header("Connection", "close")
            self.refuse(MayHaveRun(kind="stopped"))

    async def run_cancellable(self, work: Any) -> Any:
        """Await a coroutine that is cancelled when the caller disconnects.

        It does not start if the caller left before the request was read.
        """
        if closed_connections([self.request.connection]):
            work.close()
            return None
        self.task = asyncio.ensure_future(work)
        try:
            return await self.task
        except asyncio.CancelledError:
            return None
        finally:
            self.task = None

    def record_request(self, route: str, work_class: str) -> None:
        """Count a request by route, work class and plan."""
        if self.caller is not None:
            self.context.routing.metrics.requests.inc(
                {
                    "route": route,
                    "work_class": work_class,
                    "plan": self.caller.plan.name,
                }
            )

    def requested_deadline_s(self) -> float | None:
        """Return the value of ``X-Deadline-Seconds``; None if missing or invalid."""
        try:
            seconds = float(self.request.headers.get("X-Deadline-Seconds", "nan"))
        except ValueError:
            return None
        return seconds if 0 < seconds < math.inf else None

    async def send_event(self, event: RelayEvent) -> None:
        """Write one event of a stream and wait until the connection accepts it."""
        if not self._headers_written:
            if isinstance(event, StreamFailed):
                self.refuse(event.refusal)
                return
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
            if isinstance(event, StreamOpened):
                self.set_header("X-Stream-Id", event.stream_id)
        self.write(encode_sse(event))
        await self.flush()


async def watch_callers(handlers: set[CallerHandler]) -> None:
    """Cancel the work for callers that left unnoticed, until cancelled itself."""
    while True:
        await asyncio.sleep(CALLER_CHECK_INTERVAL_S)
        closed = closed_connections(item.request.connection for item in handlers)
        for handler in list(handlers):
            if handler.request.connection in closed:
                handler.on_connection_close()
