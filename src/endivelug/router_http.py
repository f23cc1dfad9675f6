"""HTTP handlers and application of the router for callers."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError
from tornado.web import Application

from endivelug.admin_http import HealthHandler
from endivelug.caller_handler import CallerHandler, HandlerContext
from endivelug.chat_calls import ChatCall, make_chat_call
from endivelug.chat_request import RequestInvalid, parse_chat_request
from endivelug.exceptions import StreamTokenInvalid
from endivelug.lists import CHAT_ROUTE
from endivelug.refusals import NotRun
from endivelug.service_http import ServiceHandler
from endivelug.stream_relay import StreamRelay

# Longest time for which a resumed stream is relayed; its own deadline is unknown.
MAX_RESUME_S = 600.0


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve a chat completion."""
        if self.send_early_refusal():
            return
        call = self.make_call()
        if isinstance(call, NotRun):
            self.refuse(call)
            return
        self.record_request(CHAT_ROUTE, call.work.work_class)
        await self.run_cancellable(self.serve(call))

    def make_call(self) -> ChatCall | NotRun:
        """Parse the request and create the call, or return a refusal."""
        assert self.caller is not None
        try:
            request = parse_chat_request(bytes(self.body))
        except RequestInvalid as error:
            return NotRun(kind="request-invalid", status=400, remedy=str(error))
        return make_chat_call(
            routing=self.context.routing,
            request=request,
            caller=self.caller,
            deadlines_s=self.context.settings.router.deadlines_s(),
            requested_s=self.requested_deadline_s(),
            requested_class=self.request.headers.get("X-Work-Class", ""),
        )

    async def serve(self, call: ChatCall) -> None:
        """Admit the call and send its response."""
        refusal = await call.admit()
        if refusal is not None:
            self.refuse(refusal)
            return
        if call.request.stream:
            await self.stream(call)
            return
        response = await call.collect()
        if isinstance(response, dict):
            self.set_header("Content-Type", "application/json")
            await self.finish(json.dumps(response))
        else:
            self.refuse(response)

    async def stream(self, call: ChatCall) -> None:
        """Send the events of a streamed response."""
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
    """``GET /v1/streams/{id}``: resumes a stream at any router."""

    async def get(self, stream_id: str) -> None:
        """Resume a stream after the event in ``Last-Event-ID``."""
        if self.send_early_refusal():
            return
        assert self.caller is not None
        routing = self.context.routing
        try:
            after = int(self.request.headers.get("Last-Event-ID", "-1"))
            address = routing.stream_id_signer.verify(
                stream_id, organisation=self.caller.organisation
            )
            relay = StreamRelay(
                client=routing.client,
                stream_id_signer=routing.stream_id_signer,
                organisation=self.caller.organisation,
                choose=_no_other_engine,
                deadline=routing.clock() + MAX_RESUME_S,
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
        self.record_request("stream", "resume")
        await self.run_cancellable(self.resume(relay))

    async def resume(self, relay: StreamRelay) -> None:
        """Send the remaining events of the stream."""
        try:
            await relay.run(self.send_event)
        except StreamClosedError:
            return
        if not self._finished:
            await self.finish()


async def _no_other_engine(attempt: object) -> None:
    # The stream id does not contain the request, so only the engine that runs the
    # stream can resume it.
    return None


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models and adapters that the caller's plan may use."""
        if self.send_early_refusal():
            return
        assert self.caller is not None
        plan = self.caller.plan
        served = self.context.routing.engines.models()
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
    context: HandlerContext, *, ready: Callable[[], bool]
) -> Application:
    """Create the application that serves callers."""
    options = {"context": context}
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
