"""Base of the callers' HTTP handlers: authentication, refusals, events."""

import asyncio
import json
import math
from dataclasses import dataclass
from typing import Any

from tornado.web import RequestHandler, stream_request_body

from endivelug.callers import Caller, authenticate
from endivelug.chat_routing import ChatRouting
from endivelug.drain import Drain
from endivelug.refusals import MayHaveRun, NotRun, Refusal, problem_document
from endivelug.router_state import RouterState
from endivelug.service_calls import ServiceCalls
from endivelug.settings import Settings
from endivelug.stream_events import RelayEvent, StreamFailed, StreamOpened, encode_sse


@dataclass(slots=True, kw_only=True)
class RouterServices:
    """What the handlers use.

    Attributes
    ----------
    calls : dict of str to ServiceCalls
        Calls to the upstreams of each pool of services.
    stopping : Drain
        Steps of a planned stop.
    """

    settings: Settings
    state: RouterState
    routing: ChatRouting
    calls: dict[str, ServiceCalls]
    stopping: Drain
    in_flight: set["CallerHandler"]


@stream_request_body
class CallerHandler(RequestHandler):
    """Base of the callers' handlers: authentication and refusals.

    The caller is authenticated by the headers, so that only callers with a key can
    make the router hold a body. A refused caller's body is read and dropped, because a
    connection closed before that can lose the answer.
    """

    def initialize(self, services: RouterServices) -> None:
        """Take the shared parts."""
        self.services = services
        self.caller: Caller | None = None
        self.early_refusal: Refusal | None = None
        self.body = bytearray()
        self.task: asyncio.Task[Any] | None = None

    def set_default_headers(self) -> None:
        """Drop the library's version from the answer."""
        self.clear_header("Server")

    async def prepare(self) -> None:
        """Count the request and decide by its headers whether to serve it."""
        self.services.in_flight.add(self)
        refusal = self.services.state.refusal()
        stopping = self.services.stopping
        if not stopping.ready:
            self.set_header("Connection", "close")
        if not stopping.accepting:
            refusal = NotRun(
                kind="stopping",
                status=503,
                remedy="repeat the request on a new connection",
                retry_after_s=0.0,
            )
        if refusal is None:
            found = authenticate(
                self.services.state.configuration,
                self.request.headers.get("Authorization", ""),
            )
            if isinstance(found, Caller):
                self.caller = found
            else:
                refusal = found
        self.early_refusal = refusal

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body of a caller that is not refused."""
        if self.early_refusal is None:
            self.body += chunk

    def refused_early(self) -> bool:
        """Answer with the refusal of ``prepare``; every method begins with this."""
        if self.early_refusal is not None:
            self.refuse(self.early_refusal)
        return self.early_refusal is not None

    def on_finish(self) -> None:
        """Uncount the request."""
        self.services.in_flight.discard(self)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has gone."""
        self.services.in_flight.discard(self)
        if self.task is not None:
            self.task.cancel()

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a problem document."""
        status, document = problem_document(refusal)
        run = document["run"]
        self.services.routing.metrics.refusals.inc(
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
        """Answer an unexpected error with a problem document."""
        if self._headers_written or self.refused_early():
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
            # The error may have come after a dispatch, so nothing is claimed.
            self.refuse(MayHaveRun(kind="internal-error"))

    async def run_cancellable(self, work: Any) -> Any:
        """Await a coroutine that ends when the caller goes away."""
        self.task = asyncio.ensure_future(work)
        try:
            return await self.task
        except asyncio.CancelledError:
            return None
        finally:
            self.task = None

    def note(self, route: str, work_class: str) -> None:
        """Count a request by route, class and plan."""
        if self.caller is not None:
            self.services.routing.metrics.requests.inc(
                {
                    "route": route,
                    "work_class": work_class,
                    "plan": self.caller.plan.name,
                }
            )

    def wanted_seconds(self) -> float | None:
        """Return ``X-Deadline-Seconds``, or None."""
        try:
            seconds = float(self.request.headers.get("X-Deadline-Seconds", "nan"))
        except ValueError:
            return None
        return seconds if 0 < seconds < math.inf else None

    async def send_event(self, event: RelayEvent) -> None:
        """Write one event of a stream and wait until the connection took it."""
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
