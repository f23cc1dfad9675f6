"""Simulated clock, requests and the KV cache store of the engine model."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

# Work that an engine processes, in units per second.
UNITS_PER_S = 8000.0
IMPORT_LATENCY_S = 0.03
IMPORT_TOKENS_S = 25_000.0


class Clock:
    """Simulated time; runs scheduled callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        self._count += 1
        heapq.heappush(self._calls, (self.now + delay_s, self._count, callback, args))

    def run(self, until: float) -> None:
        while self._calls and self._calls[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._calls)
            callback(*args)
        self.now = until


@dataclass(slots=True, kw_only=True)
class Segment:
    """One segment of a prompt.

    Attributes
    ----------
    key : int
        Cache key, as the router computes it.
    tokens : int
        Tokens of the segment.
    identity : tuple
        Organisation, weights version and content up to here. The model compares it to
        detect keys that match different content.
    """

    key: int
    tokens: int
    identity: tuple[Any, ...]


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request at an engine.

    Attributes
    ----------
    may_import : bool
        Whether the engine may import segments from the cache store.
    relied_depth, relied_incarnation : int
        Cached segments and incarnation of the engine on which the placement relied.
    on_first_token, on_end, on_failed : callable
        Called at the first token, at the end, and if the engine gives the job back.
    segment_index : int
        Index of the next segment to use or compute.
    remaining_tokens : int
        Tokens of that segment left to compute.
    started : bool
        Whether the job has started: its prompt was compared with the cache.
    ready_at : float
        Time at which the import is complete.
    pinned_keys : list of int
        Keys that must stay cached until the request ends.
    """

    segments: list[Segment]
    interactive: bool
    output_tokens: int
    may_import: bool
    relied_depth: int
    relied_incarnation: int
    organisation: str
    version: str
    on_first_token: Callable[["Job"], None]
    on_end: Callable[["Job"], None]
    on_failed: Callable[["Job"], None]
    segment_index: int = 0
    remaining_tokens: int = 0
    started: bool = False
    hit_tokens: int = 0
    imported_tokens: int = 0
    computed_tokens: int = 0
    ready_at: float = 0.0
    pinned_keys: list[int] = field(default_factory=list)


class CacheStore:
    """KV cache store: an LRU of segments with bounded size and shared bandwidth."""

    def __init__(self, *, capacity: int, tokens_s: float) -> None:
        self.capacity = capacity
        self.tokens_s = tokens_s
        self.entries: OrderedDict[int, Segment] = OrderedDict()
        self.used_tokens = 0
        self.free_at = 0.0

    def insert(self, segment: Segment) -> None:
        if segment.key in self.entries:
            self.entries.move_to_end(segment.key)
            return
        self.entries[segment.key] = segment
        self.used_tokens += segment.tokens
        while self.used_tokens > self.capacity:
            _, evicted = self.entries.popitem(last=False)
            self.used_tokens -= evicted.tokens

    def reserve_import(self, segments: list[Segment], now: float) -> float | None:
        """Reserve bandwidth for an import and return its duration in seconds.

        Reserves nothing and returns None if prefill would be faster.
        """
        tokens = sum(segment.tokens for segment in segments)
        free_at = max(self.free_at, now) + tokens / self.tokens_s
        seconds = max(IMPORT_LATENCY_S + tokens / IMPORT_TOKENS_S, free_at - now)
        if seconds > tokens / UNITS_PER_S:
            return None
        self.free_at = free_at
        for segment in segments:
            self.entries.move_to_end(segment.key)
        return seconds
