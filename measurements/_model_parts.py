"""Simulated clock, requests and the KV cache store of the engine model."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

UNITS_S = 8000.0
IMPORT_LATENCY_S = 0.03
IMPORT_TOKENS_S = 25_000.0


class Clock:
    """Simulated time; runs scheduled callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._calls, (self.now + delay, self._count, call, args))

    def run(self, until: float) -> None:
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now = until


@dataclass(slots=True, kw_only=True)
class Piece:
    """One segment of a prompt.

    Attributes
    ----------
    key : int
        Cache key, as the router computes it.
    tokens : int
        Tokens of the segment.
    truth : tuple
        Organisation, weights version and content up to here. The model compares it to
        detect keys that match different content.
    """

    key: int
    tokens: int
    truth: tuple[Any, ...]


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request at an engine.

    Attributes
    ----------
    importing : bool
        Whether the engine may import segments from the cache store.
    relied_depth, relied_incarnation : int
        Cached segments and incarnation of the engine on which the placement relied.
    on_first, on_over, on_failed : callable
        Called at the first token, at the end, and if the engine gives the job back.
    place : int
        Index of the next segment to use or compute.
    left : int
        Tokens of that segment left to compute.
    matched : bool
        Whether the job has started: its prompt was compared with the cache.
    ready_at : float
        Time at which the import is complete.
    pinned : list of int
        Keys that must stay cached until the request ends.
    """

    pieces: list[Piece]
    interactive: bool
    output_tokens: int
    importing: bool
    relied_depth: int
    relied_incarnation: int
    organisation: str
    version: str
    on_first: Callable[["Job"], None]
    on_over: Callable[["Job"], None]
    on_failed: Callable[["Job"], None]
    place: int = 0
    left: int = 0
    matched: bool = False
    hit_tokens: int = 0
    imported_tokens: int = 0
    computed_tokens: int = 0
    ready_at: float = 0.0
    pinned: list[int] = field(default_factory=list)


class KeptStore:
    """KV cache store: an LRU of segments with bounded size and shared bandwidth."""

    def __init__(self, *, capacity: int, tokens_s: float) -> None:
        self.capacity = capacity
        self.tokens_s = tokens_s
        self.segments: OrderedDict[int, Piece] = OrderedDict()
        self.used = 0
        self.free_at = 0.0

    def put(self, piece: Piece) -> None:
        if piece.key in self.segments:
            self.segments.move_to_end(piece.key)
            return
        self.segments[piece.key] = piece
        self.used += piece.tokens
        while self.used > self.capacity:
            _, evicted = self.segments.popitem(last=False)
            self.used -= evicted.tokens

    def fetch_s(self, pieces: list[Piece], now: float) -> float | None:
        """Reserve bandwidth for an import and return its duration in seconds.

        Reserves nothing and returns None if prefill would be faster.
        """
        tokens = sum(piece.tokens for piece in pieces)
        free_at = max(self.free_at, now) + tokens / self.tokens_s
        seconds = max(IMPORT_LATENCY_S + tokens / IMPORT_TOKENS_S, free_at - now)
        if seconds > tokens / UNITS_S:
            return None
        self.free_at = free_at
        for piece in pieces:
            self.segments.move_to_end(piece.key)
        return seconds
