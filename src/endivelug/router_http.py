"""HTTP interface of the router for callers."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError
from tornado.web import Application

from endivelug.admin_http import HealthHandler
from endivelug.caller_handler import CallerHandler, RouterServices
from endivelug.chat_calls import ChatCall, make_chat_call
from endivelug.chat_request import RequestInvalid, parse_chat_request
from endivelug.exceptions import StreamTokenInvalid
from endivelug.lists import CHAT_ROUTE
from endivelug.refusals import NotRun
from endivelug.service_http import ServiceHandler
from endivelug.stream_relay import StreamRelay

RESUME_LIMIT_S = 600.0


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve a chat completion."""
        if self.refused_early():
            return
        call = self.make_call()
        if isinstance(call, NotRun):
            self.refuse(call)
            return
        self.note(CHAT_ROUTE, call.work.work_class)
        await self.run_cancellable(self.serve(call))

    def make_call(self) -> ChatCall | NotRun:
        """Check the request and return the call."""
        assert self.caller is not None
        try:
            request = parse_chat_request(bytes(self.body))
        except RequestInvalid as error:
            return NotRun(kind="request-invalid", status=400, remedy=str(error))
        return make_chat_call(
            routing=self.services.routing,
            request=request,
            caller=self.caller,
            deadlines_s=self.services.settings.router.deadlines_s(),
            requested_s=self.wanted_seconds(),
            requested_class=self.request.headers.get("X-Work-Class", ""),
        )

    async def serve(self, call: ChatCall) -> None:
        """Admit the call and send its answer."""
        refusal = await call.admit()
        if refusal is not None:
            self.refuse(refusal)
            return
        if call.request.stream:
            await self.stream(call)
            return
        answer = await call.collect()
        if isinstance(answer, dict):
            self.set_header("Content-Type", "application/json")
            await self.finish(json.dumps(answer))
        else:
            self.refuse(answer)

    async def stream(self, call: ChatCall) -> None:
        """Send the events of a streamed answer."""
        deadline = call.relay.deadline
        async with contextlib.aclosing(call.events()) as events:
            async for event in events:
                try:
                    async with asyncio.timeout_at(
                        asyncio.get_running_loop().time()
                        + max(0.0, deadline - time.monotonic())
                    ):
                        await self.send_event(event)
                except (StreamClosedError, TimeoutError):
                    return
        if not self._finished:
            await self.finish()


class StreamHandler(CallerHandler):
    """``GET /v1/streams/{id}``: the rest of a stream, at any router."""

    async def get(self, stream_id: str) -> None:
        """Resume a stream after ``Last-Event-ID``."""
        if self.refused_early():
            return
        assert self.caller is not None
        routing = self.services.routing
        try:
            after = int(self.request.headers.get("Last-Event-ID", "-1"))
            address = routing.tokens.read(
                stream_id, organisation=self.caller.organisation
            )
            relay = StreamRelay(
                client=routing.client,
                tokens=routing.tokens,
                organisation=self.caller.organisation,
                choose=_no_other_engine,
                deadline=routing.clock() + RESUME_LIMIT_S,
                resume=address,
                after=after,
            )
        except (StreamTokenInvalid, ValueError):
            self.refuse(
                NotRun(
                    kind="stream-not-found",
                    status=404,
                    remedy="send the stream id and the last event id as received",
                )
            )
            return
        self.note("stream", "resume")
        await self.run_cancellable(self.resume(relay))

    async def resume(self, relay: StreamRelay) -> None:
        """Send the rest of the stream."""
        try:
            await relay.run(self.send_event)
        except StreamClosedError:
            return
        if not self._finished:
            await self.finish()


async def _no_other_engine(attempt: object) -> None:
    # Only the engine of the stream id has the stream; the prompt is not known here.
    return None


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models and adapters that the caller's plan may use."""
        if self.refused_early():
            return
        assert self.caller is not None
        plan = self.caller.plan
        served = self.services.routing.engines.models()
        names = [name for name in plan.models if name in served]
        names += [
            f"{model}:{adapter}" for model in names.copy() for adapter in plan.adapters
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "endivelug"}
            for name in names
        ]
        self.write({"object": "list", "data": data})


def make_router_application(
    services: RouterServices, *, ready: Callable[[], bool]
) -> Application:
    """Return the callers' application."""
    options = {"services": services}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, options),
            (r"/v1/models", ModelsHandler, options),
            (r"/v1/streams/([^/]+)", StreamHandler, options),
            (r"/services/([^/]+)/(.*)", ServiceHandler, options),
            (r"/healthz", HealthHandler, {"ready": lambda: True}),
            (r"/readyz", HealthHandler, {"ready": ready}),
        ],
        log_function=lambda handler: None,
    )
