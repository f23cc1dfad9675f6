"""Cached keys and outstanding work of the engines that one agent owns."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from endivelug.cached_keys import BatchOutcome, CacheBatch, CachedKeys
from endivelug.messages import Announce, EngineView, Finish, Lookup, LookupReply
from endivelug.outstanding_work import BATCH, INTERACTIVE, OutstandingWork
from endivelug.preferred_engines import Demand, demand_key

# Routers can learn of an ownership change before the new owner does, so announced
# work is also kept for engines that are not owned, up to this number of engines.
MAX_OUTSTANDING = 1024


@dataclass(slots=True, kw_only=True)
class CacheIndex:
    """Index of the engines that an agent owns; answers look-ups of routers.

    Attributes
    ----------
    cached_keys : dict of str to CachedKeys
        Cached keys of each engine that this agent owns.
    outstanding : dict of str to OutstandingWork
        Announced work, also of engines that this agent is about to own.
    unreachable : set of str
        Engines that are dead; their cached keys are not used.
    demand : Demand
        Request rate of the segments that select preferred engines.
    """

    cached_keys: dict[str, CachedKeys] = field(default_factory=dict)
    outstanding: dict[str, OutstandingWork] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    demand: Demand = field(default_factory=Demand)
    lookups: int = 0
    lookups_not_owned: int = 0
    announcements_dropped: int = 0
    gaps: int = 0

    def set_owned(self, engines: Iterable[str]) -> tuple[set[str], set[str]]:
        """Replace the set of owned engines; return the added and the removed ones.

        An engine that is owned again starts without cached keys, because another
        owner received the events in between.
        """
        owned = set(engines)
        added = owned - self.cached_keys.keys()
        removed = self.cached_keys.keys() - owned
        for engine in removed:
            del self.cached_keys[engine]
            self.outstanding.pop(engine, None)
        for engine in added:
            self.cached_keys[engine] = CachedKeys()
        return added, removed

    def apply(
        self, engine: str, batch: CacheBatch, *, now: float
    ) -> BatchOutcome | None:
        """Apply a batch of events; return None if the engine is not owned."""
        cached_keys = self.cached_keys.get(engine)
        if cached_keys is None:
            return None
        if batch.incarnation > cached_keys.incarnation:
            self.observe_incarnation(engine, batch.incarnation)
        applied = cached_keys.apply(batch, now=now)
        self.gaps += applied is BatchOutcome.GAP
        return applied

    def observe_incarnation(self, engine: str, incarnation: int) -> None:
        """Discard cached keys and work of an engine that has restarted."""
        cached_keys = self.cached_keys.get(engine)
        if cached_keys is None:
            return
        restarted = cached_keys.incarnation > 0
        if cached_keys.observe_incarnation(incarnation) and restarted:
            outstanding = self.outstanding.get(engine)
            if outstanding is not None:
                outstanding.clear()

    def resume_point(self, engine: str) -> tuple[int, int] | None:
        """Return the incarnation and last sequence number applied, to resume from."""
        cached_keys = self.cached_keys.get(engine)
        if cached_keys is None:
            return None
        return cached_keys.incarnation, cached_keys.resume_after

    def lookup(self, message: Lookup, *, now: float) -> LookupReply:
        """Answer a look-up; views of engines not owned have ``known`` false."""
        self.lookups += 1
        preferred_count = 1
        if message.keys:
            key = demand_key(message.keys)
            self.demand.record((key,), now=now)
            preferred_count = self.demand.preferred_count(key, now=now)
        views = [
            self._view(engine, message.keys, preferred_count, now)
            for engine in message.engines
        ]
        return LookupReply(request=message.request, views=views)

    def announce(self, message: Announce, *, now: float) -> None:
        """Add announced work of an engine."""
        outstanding = self.outstanding.get(message.engine)
        if outstanding is None:
            if len(self.outstanding) >= MAX_OUTSTANDING:
                self.expire(now)
            if len(self.outstanding) >= MAX_OUTSTANDING:
                self.announcements_dropped += 1
                return
            outstanding = self.outstanding[message.engine] = OutstandingWork()
        outstanding.add(
            request=message.request,
            work_class=message.work_class,
            tokens=message.tokens,
            keys=message.keys,
            ttl_s=message.ttl_s,
            now=now,
        )

    def finish(self, message: Finish, *, now: float) -> None:
        """Record progress of announced work."""
        outstanding = self.outstanding.get(message.engine)
        if outstanding is not None:
            outstanding.finish(request=message.request, over=message.over, now=now)

    def expire(self, now: float) -> None:
        """Remove expired work, and entries of engines without work."""
        for engine, outstanding in list(self.outstanding.items()):
            outstanding.expire(now)
            if not outstanding.requests and not outstanding.announced_keys:
                del self.outstanding[engine]

    def key_count(self) -> int:
        """Return the number of cached keys over all owned engines."""
        return sum(len(cached_keys) for cached_keys in self.cached_keys.values())

    def _view(
        self, engine: str, keys: list[int], preferred_count: int, now: float
    ) -> EngineView:
        cached_keys = self.cached_keys.get(engine)
        if cached_keys is None:
            self.lookups_not_owned += 1
            return EngineView(
                engine=engine,
                incarnation=0,
                depth=0,
                interactive_tokens=0,
                batch_tokens=0,
                streams=0,
                preferred_count=preferred_count,
                known=False,
                recent_tokens=0,
            )
        outstanding = self.outstanding.get(engine)
        if outstanding is not None:
            outstanding.expire(now)
        return EngineView(
            engine=engine,
            incarnation=cached_keys.incarnation,
            depth=cached_keys.depth(
                keys,
                now=now,
                announced_keys=outstanding.announced_keys if outstanding else (),
            ),
            interactive_tokens=outstanding.tokens[INTERACTIVE] if outstanding else 0,
            batch_tokens=outstanding.tokens[BATCH] if outstanding else 0,
            streams=outstanding.request_count if outstanding else 0,
            preferred_count=preferred_count,
            known=cached_keys.is_known(now) and engine not in self.unreachable,
            recent_tokens=outstanding.recent_tokens(now) if outstanding else 0,
        )
