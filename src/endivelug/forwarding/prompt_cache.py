"""Estimates which prompt segments each engine and cache store has cached.

Engines evict the least recently used segments, so the estimate is one LRU list per
cache, limited to the capacity of that cache. A namespace separates weights versions and
isolated organisations; a segment is never looked up under another namespace.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Share of an engine's memory that caches segments; running requests use the rest.
ENGINE_CACHE_SHARE = 0.75
# Share of a store's capacity that is relied on: the VMs see uses in another order, so
# the store may evict a segment earlier than they expect.
STORE_CACHE_SHARE = 0.9


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptSegment:
    """One segment of a prompt; different prompts may share leading segments."""

    segment_id: str
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Cache:
    capacity_tokens: float
    segments: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    tokens: int = 0


@dataclass(slots=True, kw_only=True)
class _Prefill:
    engine: str
    until: float


@dataclass(slots=True, kw_only=True)
class PromptCaches:
    """Cached segments by cache: an engine's name or a cache store's address.

    A segment that an engine is prefilling is not cached yet. It is tracked separately,
    so that requests that share it can follow the first one to that engine instead of
    prefilling it on another.

    Examples
    --------
    >>> caches = PromptCaches()
    >>> caches.add_cache("e1", capacity_tokens=1000)
    >>> shared = PromptSegment(segment_id="g", tokens=500)
    >>> own = PromptSegment(segment_id="o", tokens=100)
    >>> caches.record_use("e1", namespace="v1", segments=[shared, own])
    >>> caches.cached_tokens("e1", namespace="v1", segments=[shared, own])
    600
    >>> caches.cached_tokens("e1", namespace="v2", segments=[shared, own])
    0
    """

    caches: dict[str, _Cache] = field(default_factory=dict)
    prefills: dict[tuple[str, str], _Prefill] = field(default_factory=dict)

    def add_cache(self, name: str, *, capacity_tokens: float) -> None:
        """Add a cache, or change its capacity."""
        cache = self.caches.get(name)
        if cache is None:
            self.caches[name] = _Cache(capacity_tokens=capacity_tokens)
        else:
            cache.capacity_tokens = capacity_tokens

    def clear(self, name: str) -> None:
        """Remove all segments of a cache that restarted or dropped them."""
        cache = self.caches.get(name)
        if cache is not None:
            cache.segments.clear()
            cache.tokens = 0

    def remove_cache(self, name: str) -> None:
        """Remove a cache with its segments."""
        self.caches.pop(name, None)

    def record_use(
        self, name: str, *, namespace: str, segments: Iterable[PromptSegment]
    ) -> None:
        """Record that a cache has just used or stored segments."""
        cache = self.caches.get(name)
        if cache is None:
            return
        for segment in segments:
            key = (namespace, segment.segment_id)
            cache.tokens += segment.tokens - cache.segments.pop(key, 0)
            cache.segments[key] = segment.tokens
            self.prefills.pop(key, None)
        while cache.tokens > cache.capacity_tokens and cache.segments:
            cache.tokens -= cache.segments.popitem(last=False)[1]

    def begin_prefill(
        self,
        name: str,
        *,
        namespace: str,
        segments: Iterable[PromptSegment],
        until: float,
    ) -> None:
        """Record that an engine prefills segments.

        The record expires at ``until``; the prefill has ended or failed by then.
        """
        for segment in segments:
            key = (namespace, segment.segment_id)
            self.prefills[key] = _Prefill(engine=name, until=until)

    def cancel_prefill(
        self, name: str, *, namespace: str, segments: Iterable[PromptSegment]
    ) -> None:
        """Record that an engine stopped without having prefilled the segments."""
        for segment in segments:
            prefill = self.prefills.get((namespace, segment.segment_id))
            if prefill is not None and prefill.engine == name:
                del self.prefills[namespace, segment.segment_id]

    def prefilling_engine(
        self, *, namespace: str, segment_id: str, now: float
    ) -> str | None:
        """Return the engine that is prefilling a segment, or None."""
        prefill = self.prefills.get((namespace, segment_id))
        if prefill is None:
            return None
        if prefill.until < now:
            del self.prefills[namespace, segment_id]
            return None
        return prefill.engine

    def cached_tokens(
        self, name: str, *, namespace: str, segments: Iterable[PromptSegment]
    ) -> int:
        """Return the number of leading prompt tokens that a cache has."""
        cache = self.caches.get(name)
        if cache is None:
            return 0
        tokens = 0
        for segment in segments:
            if (namespace, segment.segment_id) not in cache.segments:
                break
            tokens += segment.tokens
        return tokens
