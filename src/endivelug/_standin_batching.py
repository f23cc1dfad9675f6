"""Batching and prefix cache of the stand-in engine, without I/O."""

import hashlib
import json
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

# Length of a completion whose request sets no limit.
DEFAULT_TOKENS = 48


@dataclass(slots=True, kw_only=True)
class EngineSpeed:
    """Speed and capacity of one engine.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens that an otherwise idle engine prefills per second.
    decode_token_s : float
        Seconds that each decoding stream adds to a step.
    step_overhead_s : float
        Minimum duration of a step in seconds.
    step_tokens : int
        Maximum number of prompt tokens in one step.
    cache_tokens : int
        Capacity of the prefix cache in tokens.
    max_running, max_waiting : int
        Maximum number of requests in the batch and in its queue.
    import_ratio : float
        Cost of an imported prompt token relative to a computed one.
    """

    prefill_tokens_s: float = 8000.0
    decode_token_s: float = 0.0002
    step_overhead_s: float = 0.004
    step_tokens: int = 256
    cache_tokens: int = 200_000
    max_running: int = 64
    max_waiting: int = 512
    import_ratio: float = 0.1


def prompt_digest(*, messages: Any, model: str, version: str) -> bytes:
    """Return the digest from which the generated text is derived."""
    text = json.dumps([model, version, messages], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=16).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return the text of generated token ``index``.

    Examples
    --------
    >>> token_text(b"", 0) == token_text(b"", 0) != token_text(b"", 1)
    True
    """
    seed = digest + index.to_bytes(4, "big")
    return hashlib.blake2b(seed, digest_size=3).hexdigest() + " "


def expected_text(
    *, messages: Any, model: str, version: str, tokens: int = DEFAULT_TOKENS
) -> str:
    """Return the complete text that an engine generates for a prompt."""
    digest = prompt_digest(messages=messages, model=model, version=version)
    return "".join(token_text(digest, index) for index in range(tokens))


def count_generated_tokens(digest: bytes, text: str) -> int | None:
    """Return the number of generated tokens in ``text``.

    Return None if ``text`` is not a prefix of the generated text.
    """
    count = position = 0
    while position < len(text):
        token = token_text(digest, count)
        if not text.startswith(token, position):
            return None
        position += len(token)
        count += 1
    return count


@dataclass(slots=True, kw_only=True)
class Completion:
    """State of one completion request in the engine.

    Attributes
    ----------
    prefix : list of tuple
        Key and tokens of each prompt segment, root first.
    importable_keys : frozenset of int
        Keys of segments that may be imported from the stored KV cache.
    position : int
        Index of the next token to generate.
    end : int
        Index after the last token.
    prefill_left : float
        Prompt tokens left to compute; negative before the request first starts.
    """

    stream_id: str
    model: str
    version: str
    priority: int
    arrival: int
    digest: bytes
    prefix: list[tuple[int, int]]
    importable_keys: frozenset[int]
    prompt_tokens: int
    position: int
    end: int
    finish_reason: str
    cached_tokens: int = 0
    generated: int = 0
    prefill_left: float = -1.0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key of completions; the engine runs the lowest first."""
        return self.priority, self.arrival

    @property
    def done(self) -> bool:
        """Whether all tokens were generated."""
        return self.position >= self.end


class PrefixCache:
    """LRU cache of prompt segments, limited by their number of tokens."""

    def __init__(self, *, budget: int) -> None:
        self.budget = budget
        self.tokens = 0
        self.segments: OrderedDict[int, int] = OrderedDict()
        self.added: list[int] = []
        self.removed: list[int] = []

    def depth(self, keys: Iterable[int]) -> int:
        """Return the number of leading keys that are cached."""
        count = 0
        for key in keys:
            if key not in self.segments:
                break
            count += 1
        return count

    def insert(self, prefix: list[tuple[int, int]]) -> None:
        """Add a prefix, with its root as the most recently used segment."""
        for key, tokens in reversed(prefix):
            if key not in self.segments:
                self.segments[key] = tokens
                self.tokens += tokens
                self.added.append(key)
            self.segments.move_to_end(key)
        while self.tokens > self.budget:
            key, tokens = self.segments.popitem(last=False)
            self.tokens -= tokens
            self.removed.append(key)

    def clear(self) -> None:
        """Remove all segments."""
        self.removed.extend(self.segments)
        self.segments.clear()
        self.tokens = 0

    def pop_changes(self) -> tuple[list[int], list[int]]:
        """Return the net added and removed keys since the last call."""
        added = [key for key in dict.fromkeys(self.added) if key in self.segments]
        removed = [
            key for key in dict.fromkeys(self.removed) if key not in self.segments
        ]
        self.added.clear()
        self.removed.clear()
        return added, removed


@dataclass(slots=True)
class Batch:
    """Waiting and running requests of one engine.

    Attributes
    ----------
    stored_keys : set of int
        Keys of the segments in the stored KV cache, which survives a crash.
    prefill_chunks : list of tuple
        Requests that the planned step prefills, with their number of tokens.
    decoding : list of Completion
        Requests for which the planned step generates a token.
    """

    speed: EngineSpeed
    cache: PrefixCache
    waiting: list[Completion] = field(default_factory=list)
    running: list[Completion] = field(default_factory=list)
    stored_keys: set[int] = field(default_factory=set)
    computed_tokens: int = 0
    generated_tokens: int = 0
    prefill_chunks: list[tuple[Completion, float]] = field(default_factory=list)
    decoding: list[Completion] = field(default_factory=list)

    def add(self, completion: Completion) -> bool:
        """Queue a request and return True, or return False if the queue is full."""
        if len(self.waiting) >= self.speed.max_waiting:
            return False
        self.waiting.append(completion)
        return True

    def remove(self, completion: Completion) -> None:
        """Remove a request, whether it is waiting or running."""
        for group in (self.waiting, self.running):
            if completion in group:
                group.remove(completion)

    def plan_step(self) -> float:
        """Plan the next step and return its duration in seconds."""
        self._start_waiting()
        self.decoding = [item for item in self.running if item.prefill_left <= 0]
        self.prefill_chunks = []
        budget = float(self.speed.step_tokens)
        for item in sorted(self.running, key=lambda item: item.sort_key):
            if item.prefill_left > 0 and budget > 0:
                chunk = min(item.prefill_left, budget)
                self.prefill_chunks.append((item, chunk))
                budget -= chunk
        prefill = self.speed.step_tokens - budget
        return (
            self.speed.step_overhead_s
            + prefill / self.speed.prefill_tokens_s
            + len(self.decoding) * self.speed.decode_token_s
        )

    def finish_step(self) -> list[Completion]:
        """Apply the planned step and return the requests that generated a token."""
        advanced = []
        for item, chunk in self.prefill_chunks:
            if item not in self.running:
                continue
            item.prefill_left -= chunk
            self.computed_tokens += int(chunk)
            if item.prefill_left <= 0:
                self.cache.insert(item.prefix)
                self.stored_keys.update(key for key, _ in item.prefix)
                advanced.append(item)
        advanced += [item for item in self.decoding if item in self.running]
        for item in advanced:
            item.position += 1
            item.generated += 1
            self.generated_tokens += 1
            if item.done:
                self.running.remove(item)
        return advanced

    def counts_by_priority(self) -> tuple[dict[int, int], dict[int, int]]:
        """Return the number of waiting and of running requests by priority."""
        counted: tuple[dict[int, int], dict[int, int]] = ({}, {})
        for group, result in zip((self.waiting, self.running), counted, strict=True):
            for item in group:
                result[item.priority] = result.get(item.priority, 0) + 1
        return counted

    def _start_waiting(self) -> None:
        self.waiting.sort(key=lambda item: item.sort_key)
        while self.waiting:
            if len(self.running) >= self.speed.max_running:
                preemptible = max(self.running, key=lambda item: item.sort_key)
                if preemptible.priority <= self.waiting[0].priority:
                    return
                # A preempted request loses its computed KV cache, as in real engines.
                self.running.remove(preemptible)
                self.waiting.append(preemptible)
            item = self.waiting.pop(0)
            self._start_request(item)
            self.running.append(item)
            self.waiting.sort(key=lambda item: item.sort_key)

    def _start_request(self, item: Completion) -> None:
        depth = self.cache.depth(key for key, _ in item.prefix)
        self.cache.insert(item.prefix[:depth])
        cached = sum(tokens for _, tokens in item.prefix[:depth])
        imported = 0
        for key, tokens in item.prefix[depth:]:
            if key not in item.importable_keys or key not in self.stored_keys:
                break
            imported += tokens
        if item.prefill_left < 0:
            item.cached_tokens = cached + imported
        uncached = item.prompt_tokens + item.generated - cached - imported
        item.prefill_left = max(1.0, uncached + imported * self.speed.import_ratio)
