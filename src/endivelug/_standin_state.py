"""State of a stand-in engine: streams, cache events, models and faults."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from endivelug._standin_batching import (
    DEFAULT_TOKENS,
    Batch,
    Completion,
    EngineSpeed,
    PrefixCache,
    count_generated_tokens,
    prompt_digest,
    token_text,
)

DONE = "[DONE]"
# Batches of cache events that a subscriber can request again.
MAX_RETAINED_BATCHES = 256


@dataclass(slots=True, kw_only=True)
class WeightStore:
    """Weight store shared by engines; more than two concurrent loads are slower."""

    loading: int = 0

    def duration_factor(self) -> float:
        """Return the factor by which a load that starts now takes longer."""
        return max(1.0, self.loading / 2)


@dataclass(slots=True, kw_only=True)
class EngineFaults:
    """Faults of the stand-in engine; times are monotonic seconds.

    Attributes
    ----------
    down_until : float
        Time until which connections are closed without a response.
    frozen_until : float
        Time until which nothing is computed, read or sent.
    drop_events : int
        Number of upcoming batches of cache events to lose.
    """

    down_until: float = 0.0
    frozen_until: float = 0.0
    drop_events: int = 0


@dataclass(slots=True, kw_only=True)
class EventBatch:
    """Cache changes with one sequence number."""

    number: int
    added: list[int]
    removed: list[int]


@dataclass(slots=True)
class CompletionStream:
    """Events of one completion, retained so that a client can resume the stream."""

    completion: Completion
    events: list[str] = field(default_factory=list)
    include_usage: bool = False
    created: int = field(default_factory=lambda: int(time.time()))
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0
    idle_since: float = 0.0

    def notify_readers(self) -> None:
        """Wake all readers that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        """Whether the final event was appended."""
        return bool(self.events) and self.events[-1] == DONE


class BadRequest(Exception):
    """The request body is invalid."""


@dataclass(slots=True, kw_only=True)
class EngineState:
    """In-memory state of one stand-in engine.

    Attributes
    ----------
    models : dict
        Weights version in force by model name.
    stored_keys : set of int
        Keys of the stored KV cache, which survives a crash.
    event_lag_s, load_lag_s : float
        Age of cache events and of load reports when they are sent, in seconds.
    stream_retention_s : float
        Seconds for which a stream without a reader is retained and still generated.
    accepted_after_leaving : list of float
        Seconds from the leaving notice to each request that was still accepted.
    """

    models: dict[str, str] = field(default_factory=lambda: {"chat": "1"})
    adapters: list[str] = field(default_factory=list)
    role: str = "mixed"
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    weight_store: WeightStore = field(default_factory=WeightStore)
    stored_keys: set[int] = field(default_factory=set)
    load_s: float = 1.0
    checks_fencing: bool = True
    event_lag_s: float = 0.3
    event_batch_s: float = 0.05
    keepalive_s: float = 2.0
    load_lag_s: float = 0.0
    stream_retention_s: float = 5.0
    faults: EngineFaults = field(default_factory=EngineFaults)
    incarnation: int = 0
    leaving: bool = False
    leaving_since: float = 0.0
    accepted_after_leaving: list[float] = field(default_factory=list)
    accepted: int = 0
    fencing: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)
    loading: dict[str, str] = field(default_factory=dict)
    batch: Batch = field(init=False)
    streams: dict[str, CompletionStream] = field(init=False)
    retained_batches: deque[EventBatch] = field(init=False)
    published_keys: dict[int, None] = field(init=False)
    last_batch_number: int = field(init=False)
    pending_batches: deque[tuple[float, EventBatch]] = field(init=False)
    load_history: deque[tuple[float, dict[str, Any]]] = field(init=False)
    last_batch_at: float = field(init=False)
    connection_closers: set[Callable[[], None]] = field(default_factory=set)
    event_subscribers: set[Callable[[EventBatch], None]] = field(default_factory=set)
    work_available: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Start a new incarnation with empty state."""
        self.incarnation = max(self.incarnation + 1, time.time_ns() // 1000)
        cache = PrefixCache(budget=self.speed.cache_tokens)
        self.batch = Batch(self.speed, cache, stored_keys=self.stored_keys)
        self.streams = {}
        self.retained_batches = deque(maxlen=MAX_RETAINED_BATCHES)
        self.published_keys = {}
        self.last_batch_number = 0
        self.pending_batches = deque()
        self.load_history = deque(maxlen=1024)
        self.last_batch_at = time.monotonic()
        self.loading = {}
        self.fencing = 0

    def crash(self, *, restart_s: float) -> None:
        """Lose all state and close connections for ``restart_s`` seconds."""
        self.faults.down_until = time.monotonic() + restart_s
        streams = list(self.streams.values())
        self.reset()
        self.close_connections()
        for stream in streams:
            stream.notify_readers()

    def close_connections(self, count: int | None = None) -> None:
        """Close ``count`` open connections, or all of them by default."""
        for close in list(self.connection_closers)[:count]:
            close()

    def set_leaving(self, leaving: bool) -> None:
        """Set or clear the notice that the engine is about to stop."""
        self.leaving = leaving
        self.leaving_since = time.monotonic()

    def submit(self, body: dict[str, Any]) -> CompletionStream | None:
        """Queue a completion and return its stream, or None if the queue is full.

        Raises
        ------
        BadRequest
            If the body is invalid.
        """
        try:
            completion = self._completion(body)
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequest(f"unusable body: {error!r}") from error
        options = body.get("stream_options") or {}
        stream = CompletionStream(completion)
        stream.include_usage = bool(options.get("include_usage"))
        stream.idle_since = time.monotonic()
        if not completion.done and not self.batch.add(completion):
            return None
        self.accepted += 1
        if self.leaving:
            age = time.monotonic() - self.leaving_since
            self.accepted_after_leaving.append(age)
        self.streams[completion.stream_id] = stream
        self._append(stream, {"role": "assistant", "content": ""}, None)
        if completion.done:
            self._finish(stream)
        self.work_available.set()
        return stream

    def _completion(self, body: dict[str, Any]) -> Completion:
        model, messages = body["model"], list(body["messages"])
        version = self.models[model]
        partial = ""
        if body.get("continue_final_message"):
            partial = messages.pop()["content"]
        digest = prompt_digest(messages=messages, model=model, version=version)
        position = count_generated_tokens(digest, partial)
        if position is None:
            raise ValueError("the final message is not a beginning of the answer")
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        end = (
            position + int(max_tokens) if max_tokens else max(DEFAULT_TOKENS, position)
        )
        prefix = [(int(key, 16), int(size)) for key, size in body.get("prefix", [])]
        size = sum(tokens for _, tokens in prefix) or len(json.dumps(messages)) // 4
        return Completion(
            stream_id=body.get("stream_id") or f"chatcmpl-{time.time_ns():x}",
            model=model,
            version=version,
            priority=int(body.get("priority", 0)),
            arrival=time.monotonic_ns(),
            digest=digest,
            prefix=prefix,
            importable_keys=frozenset(
                int(key, 16) for key in body.get("import_keys", [])
            ),
            prompt_tokens=max(1, size) + position,
            position=position,
            end=end,
            finish_reason="length" if max_tokens else "stop",
        )

    def advance(self) -> None:
        """Apply the planned step and append its events to the streams."""
        for completion in self.batch.finish_step():
            stream = self.streams[completion.stream_id]
            text = token_text(completion.digest, completion.position - 1)
            self._append(stream, {"content": text}, None)
            if completion.done:
                self._finish(stream)
            stream.notify_readers()

    def usage(self, completion: Completion) -> dict[str, Any]:
        """Return the ``usage`` member of a response."""
        return {
            "prompt_tokens": completion.prompt_tokens,
            "completion_tokens": completion.generated,
            "total_tokens": completion.prompt_tokens + completion.generated,
            "prompt_tokens_details": {"cached_tokens": completion.cached_tokens},
        }

    def _chunk(self, stream: CompletionStream, choices: list[Any]) -> dict[str, Any]:
        return {
            "id": stream.completion.stream_id,
            "object": "chat.completion.chunk",
            "created": stream.created,
            "model": stream.completion.model,
            "choices": choices,
        }

    def _append(
        self, stream: CompletionStream, delta: dict[str, str], finish: str | None
    ) -> None:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        stream.events.append(json.dumps(self._chunk(stream, [choice])))

    def _finish(self, stream: CompletionStream) -> None:
        self._append(stream, {}, stream.completion.finish_reason)
        if stream.include_usage:
            chunk = self._chunk(stream, [])
            chunk["usage"] = self.usage(stream.completion)
            stream.events.append(json.dumps(chunk))
        stream.events.append(DONE)

    def cancel(self, stream_id: str) -> bool:
        """Cancel a completion; return False if it is unknown."""
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return False
        self.batch.remove(stream.completion)
        stream.notify_readers()
        return True

    def expire_streams(self, now: float) -> None:
        """Cancel the streams that had no reader for ``stream_retention_s`` seconds."""
        for stream_id, stream in list(self.streams.items()):
            if not stream.readers and now - stream.idle_since > self.stream_retention_s:
                self.cancel(stream_id)

    def load_report(self, now: float) -> dict[str, Any]:
        """Return the load report of ``load_lag_s`` seconds ago."""
        while (
            len(self.load_history) > 1
            and self.load_history[1][0] <= now - self.load_lag_s
        ):
            self.load_history.popleft()
        if self.load_lag_s and self.load_history:
            return self.load_history[0][1]
        return self.current_load()

    def current_load(self) -> dict[str, Any]:
        """Return the current load report."""
        waiting, running = self.batch.counts_by_priority()
        serving = {m: v for m, v in self.models.items() if m not in self.loading}
        return {
            "incarnation": self.incarnation,
            "models": serving,
            "loading": self.loading,
            "adapters": self.adapters,
            "role": self.role,
            "leaving": self.leaving,
            "waiting": waiting,
            "running": running,
        }

    def collect_events(self, now: float) -> None:
        """Queue the cache changes as a numbered batch, and publish the batches due."""
        added, removed = self.batch.cache.pop_changes()
        if added or removed or now - self.last_batch_at >= self.keepalive_s:
            self.last_batch_number += 1
            batch = EventBatch(
                number=self.last_batch_number, added=added, removed=removed
            )
            self.pending_batches.append((now + self.event_lag_s, batch))
            self.last_batch_at = now
        while self.pending_batches and self.pending_batches[0][0] <= now:
            self._publish(self.pending_batches.popleft()[1])

    def _publish(self, batch: EventBatch) -> None:
        for key in batch.removed:
            self.published_keys.pop(key, None)
        self.published_keys.update(dict.fromkeys(batch.added))
        if self.faults.drop_events > 0:
            self.faults.drop_events -= 1
            return
        self.retained_batches.append(batch)
        for subscriber in list(self.event_subscribers):
            subscriber(batch)

    def retained_after(
        self, *, incarnation: int, number: int
    ) -> list[EventBatch] | None:
        """Return the batches after ``number``, or None if one is no longer retained."""
        last = self.last_batch_number - len(self.pending_batches)
        batches = [batch for batch in self.retained_batches if batch.number > number]
        complete = len(batches) == last - number
        return batches if incarnation == self.incarnation and complete else None

    def apply_order(self, order: dict[str, Any]) -> bool:
        """Apply a declarative order; return False if its fencing number is old."""
        if self.checks_fencing and int(order["fencing"]) < self.fencing:
            return False
        self.fencing = max(self.fencing, int(order["fencing"]))
        self.orders.append(order)
        model, version = order.get("model") or "", order.get("version") or ""
        if order.get("adapter"):
            if order["adapter"] not in self.adapters:
                self.adapters.append(order["adapter"])
        elif order.get("role"):
            self.role = order["role"]
        elif model and not version:
            self.models.pop(model, None)
        elif (
            model
            and self.models.get(model) != version
            and self.loading.get(model) != version
        ):
            self.loading[model] = version
            timeout_s = float(order.get("timeout_s") or 60.0)
            task = asyncio.ensure_future(self._load_weights(model, version, timeout_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return True

    async def _load_weights(self, model: str, version: str, timeout_s: float) -> None:
        incarnation = self.incarnation
        self.weight_store.loading += 1
        duration = self.load_s * self.weight_store.duration_factor()
        try:
            await asyncio.sleep(min(duration, timeout_s))
        finally:
            self.weight_store.loading -= 1
            if incarnation == self.incarnation:
                self.loading.pop(model, None)
        if incarnation == self.incarnation and duration <= timeout_s:
            self.models[model] = version
            self.batch.cache.clear()
