"""Cache evidence and outstanding work of the engines that one agent owns."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from endivelug.evidence import Applied, CacheBatch, EngineEvidence
from endivelug.homes import Demand, demand_key
from endivelug.messages import Announce, EngineView, Finish, Lookup, LookupReply
from endivelug.outstanding_work import BATCH, INTERACTIVE, OutstandingWork

# Routers can know of a move of ownership before the new owner does, so announced
# work is kept for engines of others too, up to this many.
MAX_OUTSTANDING = 1024


@dataclass(slots=True, kw_only=True)
class CacheIndex:
    """What the owner of engines knows of them; answers look-ups.

    Attributes
    ----------
    evidence : dict of str to EngineEvidence
        Of the engines that this agent owns.
    outstanding : dict of str to OutstandingWork
        Announced work, also of engines whose ownership is about to move here.
    unreachable : set of str
        Engines that are dead; their evidence is not relied on.
    demand : Demand
        Request rate of the pieces that choose the homes of prompts.
    """

    evidence: dict[str, EngineEvidence] = field(default_factory=dict)
    outstanding: dict[str, OutstandingWork] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    demand: Demand = field(default_factory=Demand)
    lookups: int = 0
    lookups_not_owned: int = 0
    announcements_dropped: int = 0
    gaps: int = 0

    def set_owned(self, engines: Iterable[str]) -> tuple[set[str], set[str]]:
        """Replace the engines owned; return those that joined and those that left.

        An engine that comes back starts without evidence, because the events in
        between went to another owner.
        """
        wanted = set(engines)
        joined = wanted - self.evidence.keys()
        left = self.evidence.keys() - wanted
        for engine in left:
            del self.evidence[engine]
            self.outstanding.pop(engine, None)
        for engine in joined:
            self.evidence[engine] = EngineEvidence()
        return joined, left

    def apply(self, engine: str, batch: CacheBatch, *, now: float) -> Applied | None:
        """Apply a batch of events; None where the engine is not owned."""
        evidence = self.evidence.get(engine)
        if evidence is None:
            return None
        if batch.incarnation > evidence.incarnation:
            self.observe_incarnation(engine, batch.incarnation)
        applied = evidence.apply(batch, now=now)
        self.gaps += applied is Applied.GAP
        return applied

    def observe_incarnation(self, engine: str, incarnation: int) -> None:
        """Discard evidence and work of an engine that has restarted."""
        evidence = self.evidence.get(engine)
        if evidence is None:
            return
        restarted = evidence.incarnation > 0
        if evidence.observe_incarnation(incarnation) and restarted:
            outstanding = self.outstanding.get(engine)
            if outstanding is not None:
                outstanding.clear()

    def resume_point(self, engine: str) -> tuple[int, int] | None:
        """Return incarnation and last sequence number applied, to resume after."""
        evidence = self.evidence.get(engine)
        if evidence is None:
            return None
        return evidence.incarnation, evidence.resume_after

    def lookup(self, message: Lookup, *, now: float) -> LookupReply:
        """Answer a look-up; engines not owned get a view that is not known."""
        self.lookups += 1
        homes = 1
        if message.keys:
            key = demand_key(message.keys)
            self.demand.record((key,), now=now)
            homes = self.demand.homes(key, now=now)
        views = [
            self._view(engine, message.keys, homes, now) for engine in message.engines
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
        """Drop work that expired, and entries of engines without any."""
        for engine, outstanding in list(self.outstanding.items()):
            outstanding.expire(now)
            if not outstanding.requests and not outstanding.announced_keys:
                del self.outstanding[engine]

    def keys_held(self) -> int:
        """Return the number of keys over all engines owned."""
        return sum(len(evidence) for evidence in self.evidence.values())

    def _view(self, engine: str, keys: list[int], homes: int, now: float) -> EngineView:
        evidence = self.evidence.get(engine)
        if evidence is None:
            self.lookups_not_owned += 1
            return EngineView(
                engine=engine,
                incarnation=0,
                depth=0,
                interactive_tokens=0,
                batch_tokens=0,
                streams=0,
                homes=homes,
                known=False,
                recent_tokens=0,
            )
        outstanding = self.outstanding.get(engine)
        if outstanding is not None:
            outstanding.expire(now)
        return EngineView(
            engine=engine,
            incarnation=evidence.incarnation,
            depth=evidence.depth(
                keys, now=now, soon=outstanding.announced_keys if outstanding else ()
            ),
            interactive_tokens=outstanding.tokens[INTERACTIVE] if outstanding else 0,
            batch_tokens=outstanding.tokens[BATCH] if outstanding else 0,
            streams=outstanding.request_count if outstanding else 0,
            homes=homes,
            known=evidence.is_known(now) and engine not in self.unreachable,
            recent_tokens=outstanding.recent_tokens(now) if outstanding else 0,
        )
