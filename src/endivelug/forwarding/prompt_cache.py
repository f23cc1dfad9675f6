"""Estimates which prompt segments each engine and cache store has cached.

Engines evict the least recently used segments, so the estimate is one LRU list per
cache, limited to the capacity of that cache. A namespace separates weights versions and
isolated organisations; a segment is never looked up under another namespace.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Share of an engine's memory that caches segments; running requests use the rest.
CACHE_MEMORY_SHARE = 0.75


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptPart:
    """One segment of a prompt; different prompts may share leading segments."""

    part: str
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Cache:
    capacity_tokens: float
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    tokens: int = 0


@dataclass(slots=True, kw_only=True)
class _Prefill:
    holder: str
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
    >>> caches.add_holder("e1", capacity_tokens=1000)
    >>> guide = PromptPart(part="g", tokens=500)
    >>> own = PromptPart(part="o", tokens=100)
    >>> caches.note("e1", namespace="v1", parts=[guide, own])
    >>> caches.held_tokens("e1", namespace="v1", parts=[guide, own])
    600
    >>> caches.held_tokens("e1", namespace="v2", parts=[guide, own])
    0
    """

    holders: dict[str, _Cache] = field(default_factory=dict)
    readers: dict[tuple[str, str], _Prefill] = field(default_factory=dict)

    def add_holder(self, name: str, *, capacity_tokens: float) -> None:
        """Add a cache, or change its capacity."""
        capacity = capacity_tokens * CACHE_MEMORY_SHARE
        holder = self.holders.get(name)
        if holder is None:
            self.holders[name] = _Cache(capacity_tokens=capacity)
        else:
            holder.capacity_tokens = capacity

    def clear(self, name: str) -> None:
        """Remove all segments of a cache that restarted or dropped them."""
        holder = self.holders.get(name)
        if holder is not None:
            holder.parts.clear()
            holder.tokens = 0

    def remove_holder(self, name: str) -> None:
        """Remove a cache with its segments."""
        self.holders.pop(name, None)

    def note(self, name: str, *, namespace: str, parts: Iterable[PromptPart]) -> None:
        """Record that a cache has just used or stored segments."""
        holder = self.holders.get(name)
        if holder is None:
            return
        for part in parts:
            key = (namespace, part.part)
            holder.tokens += part.tokens - holder.parts.pop(key, 0)
            holder.parts[key] = part.tokens
            self.readers.pop(key, None)
        while holder.tokens > holder.capacity_tokens and holder.parts:
            holder.tokens -= holder.parts.popitem(last=False)[1]

    def begin_reading(
        self, name: str, *, namespace: str, parts: Iterable[PromptPart], until: float
    ) -> None:
        """Record that an engine prefills segments.

        The record expires at ``until``, when the prefill has ended or failed.
        """
        for part in parts:
            key = (namespace, part.part)
            self.readers[key] = _Prefill(holder=name, until=until)

    def stop_reading(
        self, name: str, *, namespace: str, parts: Iterable[PromptPart]
    ) -> None:
        """Record that an engine stopped without having prefilled the segments."""
        for part in parts:
            reader = self.readers.get((namespace, part.part))
            if reader is not None and reader.holder == name:
                del self.readers[namespace, part.part]

    def reader_of(self, *, namespace: str, part: str, now: float) -> str | None:
        """Return the engine that is prefilling a segment, or None."""
        reader = self.readers.get((namespace, part))
        if reader is None:
            return None
        if reader.until < now:
            del self.readers[namespace, part]
            return None
        return reader.holder

    def held_tokens(
        self, name: str, *, namespace: str, parts: Iterable[PromptPart]
    ) -> int:
        """Return the number of leading prompt tokens that a cache has."""
        holder = self.holders.get(name)
        if holder is None:
            return 0
        tokens = 0
        for part in parts:
            if (namespace, part.part) not in holder.parts:
                break
            tokens += part.tokens
        return tokens
