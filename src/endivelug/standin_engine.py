"""HTTP interface of the stand-in engine: completions, load, cache events, faults."""

import asyncio
import contextlib
import json
import struct
import time
from collections.abc import Callable
from typing import Any

import cbor2
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from endivelug._standin_batching import EngineSpeed, expected_text
from endivelug._standin_state import (
    DONE,
    BadRequest,
    CompletionStream,
    EngineState,
    EventBatch,
    WeightStore,
)

__all__ = [
    "EngineSpeed",
    "EngineState",
    "WeightStore",
    "expected_text",
    "make_engine",
]

PUBLISH_INTERVAL_S = 0.01


async def _compute(state: EngineState) -> None:
    """Run the steps of the batch in real time."""
    step_end = time.monotonic()
    while True:
        batch = state.batch
        if not batch.waiting and not batch.running:
            state.work_available.clear()
            await state.work_available.wait()
            step_end = time.monotonic()
            continue
        step_end += batch.plan_step()
        now = time.monotonic()
        if now < state.faults.frozen_until:
            step_end = state.faults.frozen_until
        await asyncio.sleep(max(0.0, step_end - now))
        # Compensate a late wake-up, but at most 0.1 s of a pause of the process.
        step_end = max(step_end, time.monotonic() - 0.1)
        if state.batch is batch:
            state.advance()


async def _publish(state: EngineState) -> None:
    """Publish cache events, record load reports and expire streams."""
    while True:
        await asyncio.sleep(min(PUBLISH_INTERVAL_S, state.event_batch_s))
        now = time.monotonic()
        if now < state.faults.frozen_until or now < state.faults.down_until:
            continue
        if state.load_lag_s:
            state.load_history.append((now, state.current_load()))
        if now - state.last_batch_at >= state.event_batch_s or state.pending_batches:
            state.collect_events(now)
        state.expire_streams(now)


class _Handler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state

    async def prepare(self) -> None:
        """Apply the faults that affect all requests."""
        now = time.monotonic()
        if now < self.state.faults.down_until:
            self.detach().close()
            return
        await self.wait_while_frozen()

    async def wait_while_frozen(self) -> None:
        """Wait while the engine is frozen."""
        while (remaining_s := self.state.faults.frozen_until - time.monotonic()) > 0:
            await asyncio.sleep(remaining_s)

    def close_connection(self) -> None:
        """Close the connection without sending more data."""
        stream: Any = getattr(self.request.connection, "stream", None)
        if stream is not None:
            stream.close()

    def finish_with_error(self, status: int, reason: str) -> None:
        """Finish the response with an error document."""
        self.set_status(status)
        self.finish({"error": {"message": reason, "code": status}})

    def set_identity_headers(self, version: str, stream_id: str) -> None:
        """Set the headers that identify the incarnation, weights and stream."""
        self.set_header("X-Engine-Incarnation", str(self.state.incarnation))
        self.set_header("X-Weights-Version", version)
        self.set_header("X-Stream-Id", stream_id)

    async def send_events(self, stream: CompletionStream, after: int) -> None:
        """Send the events after number ``after`` as they are appended."""
        completion = stream.completion
        self.set_identity_headers(completion.version, completion.stream_id)
        self.set_header("Content-Type", "text/event-stream")
        state, incarnation = self.state, self.state.incarnation
        state.connection_closers.add(self.close_connection)
        stream.readers += 1
        number = after + 1
        try:
            await self.flush()
            while state.incarnation == incarnation:
                await self.wait_while_frozen()
                while number < len(stream.events):
                    self.write(f"id: {number}\ndata: {stream.events[number]}\n\n")
                    number += 1
                    await self.flush()
                if number and stream.events[number - 1] == DONE:
                    return
                if completion.stream_id not in state.streams:
                    self.close_connection()
                    return
                await stream.changed.wait()
        except StreamClosedError:
            pass
        finally:
            state.connection_closers.discard(self.close_connection)
            stream.readers -= 1
            stream.idle_since = time.monotonic()


class _CompletionsHandler(_Handler):
    async def post(self) -> None:
        state = self.state
        try:
            body = json.loads(self.request.body)
            model = body["model"]
        except (ValueError, KeyError, TypeError):
            self.finish_with_error(400, "send a JSON object with a model")
            return
        if model in state.loading:
            self.finish_with_error(503, "the model is being loaded")
            return
        if model not in state.models:
            self.finish_with_error(404, "the model is not served here")
            return
        expected_version = self.request.headers.get("X-Weights-Version")
        if expected_version is not None and expected_version != state.models[model]:
            self.set_identity_headers(state.models[model], "")
            self.finish_with_error(409, "other weights are in force")
            return
        try:
            stream = state.submit(body)
        except BadRequest as error:
            self.finish_with_error(400, str(error))
            return
        if stream is None:
            self.finish_with_error(429, "the queue is full")
        elif body.get("stream"):
            await self.send_events(stream, -1)
        else:
            await self.send_document(stream)

    async def send_document(self, stream: CompletionStream) -> None:
        """Send one document when the completion is done."""
        state, completion = self.state, stream.completion
        stream.readers += 1
        while not stream.finished and completion.stream_id in state.streams:
            await stream.changed.wait()
        await self.wait_while_frozen()
        if state.streams.pop(completion.stream_id, None) is not stream:
            self.close_connection()
            return
        chunks = [json.loads(event) for event in stream.events[:-1]]
        deltas = [chunk["choices"][0]["delta"] for chunk in chunks if chunk["choices"]]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.set_identity_headers(completion.version, completion.stream_id)
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": completion.finish_reason,
        }
        self.finish(
            {
                "id": completion.stream_id,
                "object": "chat.completion",
                "created": chunks[0]["created"],
                "model": completion.model,
                "choices": [choice],
                "usage": state.usage(completion),
            }
        )


class _StreamHandler(_Handler):
    async def get(self, stream_id: str) -> None:
        stream = self.state.streams.get(stream_id)
        if stream is None:
            self.finish_with_error(404, "the stream is not held here")
            return
        try:
            after = int(self.request.headers.get("Last-Event-ID", "-1"))
        except ValueError:
            self.finish_with_error(400, "send a number in Last-Event-ID")
            return
        if not -1 <= after < len(stream.events):
            self.finish_with_error(416, "no such event yet")
            return
        await self.send_events(stream, after)

    def delete(self, stream_id: str) -> None:
        self.set_status(204 if self.state.cancel(stream_id) else 404)


class _LoadHandler(_Handler):
    def get(self) -> None:
        self.write(self.state.load_report(time.monotonic()))


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.write({"incarnation": self.state.incarnation})


class _ModelsHandler(_Handler):
    def get(self) -> None:
        rows = [{"id": model, "object": "model"} for model in self.state.models]
        self.write({"object": "list", "data": rows})


class _OrdersHandler(_Handler):
    def post(self) -> None:
        try:
            order = json.loads(self.request.body)
            accepted = self.state.apply_order(order)
        except (ValueError, KeyError, TypeError):
            self.finish_with_error(
                400, "send fencing, timeout_s, kind and what is wanted"
            )
            return
        if accepted:
            self.set_status(202)
            self.write(self.state.current_load())
        else:
            self.finish_with_error(412, "the fencing number is old")


class _FaultsHandler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state

    def post(self) -> None:
        state, body = self.state, json.loads(self.request.body)
        now = time.monotonic()
        if "crash" in body:
            state.crash(restart_s=float(body["crash"]))
        if "drop_events" in body:
            state.faults.drop_events = int(body["drop_events"])
        if "freeze_s" in body:
            state.faults.frozen_until = now + float(body["freeze_s"])
        if "cut_streams" in body:
            count = body["cut_streams"]
            state.close_connections(None if count is True else int(count))
        if "leaving" in body:
            state.set_leaving(bool(body["leaving"]))

    def get(self) -> None:
        state = self.state
        self.write(
            {
                "accepted": state.accepted,
                "accepted_after_leaving": state.accepted_after_leaving,
                "computed_tokens": state.batch.computed_tokens,
                "generated_tokens": state.batch.generated_tokens,
                "streams": len(state.streams),
                "orders": state.orders,
            }
        )


def pack_keys(keys: list[int]) -> bytes:
    """Encode keys as 8-byte big-endian integers, as in cache events.

    Examples
    --------
    >>> pack_keys([1]).hex()
    '0000000000000001'
    """
    return struct.pack(f">{len(keys)}Q", *keys)


class _CacheEventsHandler(WebSocketHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state
        self.close_connection: Callable[[], None] = lambda: None

    async def prepare(self) -> None:
        if time.monotonic() < self.state.faults.down_until:
            self.detach().close()

    def open(self, *args: str, **kwargs: str) -> None:
        stream: Any = getattr(self.ws_connection, "stream", None)
        self.close_connection = stream.close
        state = self.state
        state.connection_closers.add(self.close_connection)
        incarnation = int(self.get_query_argument("incarnation", "0"))
        number = int(self.get_query_argument("after", "0"))
        batches = state.retained_after(incarnation=incarnation, number=number)
        if batches is None:
            last = state.last_batch_number - len(state.pending_batches)
            full = EventBatch(number=last, added=list(state.published_keys), removed=[])
            self.send(full, snapshot=True)
        for batch in batches or []:
            self.send(batch)
        state.event_subscribers.add(self.send)

    def send(self, batch: EventBatch, *, snapshot: bool = False) -> None:
        """Send one batch; do nothing if the subscriber has disconnected."""
        document: dict[str, Any] = {
            "incarnation": self.state.incarnation,
            "first": batch.number,
            "added": pack_keys(batch.added),
            "removed": pack_keys(batch.removed),
        }
        if snapshot:
            document["snapshot"] = True
        with contextlib.suppress(WebSocketClosedError):
            self.write_message(cbor2.dumps(document), binary=True)

    def on_message(self, message: str | bytes) -> None:
        """Ignore messages of the subscriber."""

    def on_close(self) -> None:
        """Remove the subscriber."""
        self.state.event_subscribers.discard(self.send)
        self.state.connection_closers.discard(self.close_connection)


def make_engine(state: EngineState) -> Application:
    """Return the web application of a stand-in engine and start its tasks.

    This must be called in a running event loop; the tasks end with the loop.

    Parameters
    ----------
    state : EngineState
        State of the engine; tests read and change it directly.
    """
    loop = IOLoop.current().asyncio_loop  # type: ignore[attr-defined]
    options = {"state": state}
    application = Application(
        [
            (r"/v1/chat/completions", _CompletionsHandler, options),
            (r"/v1/streams/([^/]+)", _StreamHandler, options),
            (r"/v1/load", _LoadHandler, options),
            (r"/v1/models", _ModelsHandler, options),
            (r"/v1/orders", _OrdersHandler, options),
            (r"/v1/cache_events", _CacheEventsHandler, options),
            (r"/healthz", _HealthHandler, options),
            (r"/faults", _FaultsHandler, options),
        ]
    )
    tasks = [loop.create_task(_compute(state)), loop.create_task(_publish(state))]
    # The event loop keeps only weak references to tasks.
    application.settings["tasks"] = tasks
    return application
