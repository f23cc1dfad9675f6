"""Estimate of which prompt parts each engine and cache store keeps.

Engines evict the least recently used parts, so the estimate is an LRU list per holder
with the holder's capacity. A namespace separates weights versions and isolated
organisations; a part is never looked up under another namespace.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Running requests use a part of the memory, so less than all of it caches parts.
CACHED_SHARE = 0.75


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptPart:
    """One part of a prompt; requests share leading parts."""

    part: str
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Holder:
    capacity_tokens: float
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    tokens: int = 0


@dataclass(slots=True, kw_only=True)
class _Reader:
    holder: str
    until: float


@dataclass(slots=True, kw_only=True)
class PromptCaches:
    """Parts by holder, which is an engine's name or a store's address.

    A part that an engine is reading is not held yet, but requests that share it may
    follow the first one to that engine, and need not be read by another one.

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

    holders: dict[str, _Holder] = field(default_factory=dict)
    readers: dict[tuple[str, str], _Reader] = field(default_factory=dict)

    def add_holder(self, name: str, *, capacity_tokens: float) -> None:
        """Add a holder, or change its capacity."""
        capacity = capacity_tokens * CACHED_SHARE
        holder = self.holders.get(name)
        if holder is None:
            self.holders[name] = _Holder(capacity_tokens=capacity)
        else:
            holder.capacity_tokens = capacity

    def clear(self, name: str) -> None:
        """Forget the parts of a holder that restarted or dropped them."""
        holder = self.holders.get(name)
        if holder is not None:
            holder.parts.clear()
            holder.tokens = 0

    def remove_holder(self, name: str) -> None:
        """Forget a holder."""
        self.holders.pop(name, None)

    def note(self, name: str, *, namespace: str, parts: Iterable[PromptPart]) -> None:
        """Note that a holder has just used or stored parts."""
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
        """Note that an engine reads parts; it is done before ``until`` or failed."""
        for part in parts:
            key = (namespace, part.part)
            self.readers[key] = _Reader(holder=name, until=until)

    def stop_reading(
        self, name: str, *, namespace: str, parts: Iterable[PromptPart]
    ) -> None:
        """Note that an engine did not read parts after all."""
        for part in parts:
            reader = self.readers.get((namespace, part.part))
            if reader is not None and reader.holder == name:
                del self.readers[namespace, part.part]

    def reader_of(self, *, namespace: str, part: str, now: float) -> str | None:
        """Return the engine that is reading a part, or None."""
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
        """Return the tokens of the leading parts that a holder keeps."""
        holder = self.holders.get(name)
        if holder is None:
            return 0
        tokens = 0
        for part in parts:
            if (namespace, part.part) not in holder.parts:
                break
            tokens += part.tokens
        return tokens
