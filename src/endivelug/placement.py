"""The decision which engine gets a request.

A router calls `Placement.plan`, sends the look-ups that it names, and calls
`Placement.choose` with the replies that arrived in time. No reply is needed: without
one the computed homes and the router's own memory decide.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from endivelug._engine_memory import EngineMemory
from endivelug._placement_types import (
    OBJECTIVES,
    Candidate,
    Decision,
    Objective,
    PlacementRequest,
)
from endivelug.homes import (
    ROOT_PIECES,
    Demand,
    RankCache,
    demand_key,
    narrowing_keys,
    nested_homes,
)
from endivelug.messages import EngineView
from endivelug.outstanding_work import INTERACTIVE

__all__ = [
    "OBJECTIVES",
    "Candidate",
    "Decision",
    "Objective",
    "Placement",
    "PlacementRequest",
]

MAX_OWNERS = 2
MAX_ENGINES = 8
# Comparing all of 53 engines takes more than the 300 us that a decision may take.
MAX_COMPARED = 8
# A router that has just started knows no loads and no demand, so it asks more owners.
STARTING_OWNERS = 4
STARTING_S = 10.0
# One decoding stream takes about 1% of an engine at 25 streams per engine.
DECODE_SHARE = 0.01
MIN_PREFILL_SHARE = 0.3
IMPORT_LATENCY_S = 0.03
# Preference among engines that are no homes ends with the third.
MAX_DISTANCE = 3
# Engines that compute less than this part of their speed are not compared.
PRESSURE_SHARE = 0.12


@dataclass(slots=True, kw_only=True)
class _Context:
    """One decision in progress.

    Attributes
    ----------
    missed : list of int
        Tokens after each depth, from 0 to the number of keys.
    depths : dict of str to int
        Depth expected in each engine's cache; 0 where absent.
    homes : dict of str to int
        Distance of each engine from the homes of the prefix.
    pressure : dict of str to float
        Relative excess of the tokens that engines compute.
    anywhere : int
        Greatest depth seen in any engine, so also in the store of kept KV cache.
    """

    request: PlacementRequest
    now: float
    eligible: dict[str, Candidate]
    missed: list[int]
    homes: dict[str, int]
    pressure: dict[str, float]
    depths: dict[str, int]
    anywhere: int


@dataclass(slots=True, kw_only=True)
class Placement:
    """Decisions of one router for the engines of one model.

    Attributes
    ----------
    objective : Objective
        One of `OBJECTIVES`.
    routers : int
        Live routers of the data centre; each sees a random share of the traffic.
    started_at : float
        Time in seconds at which the router started.
    demand : Demand
        Demand seen by this router; its ``scale`` is the number of routers.
    memory : EngineMemory
        What the router remembers of the engines.
    ranks : RankCache
        Rankings of recent prefixes.
    """

    objective: Objective = field(default_factory=lambda: OBJECTIVES["latency"])
    routers: int = 1
    started_at: float = 0.0
    demand: Demand = field(default_factory=Demand)
    memory: EngineMemory = field(default_factory=EngineMemory)
    ranks: RankCache = field(default_factory=RankCache)

    def plan(
        self, request: PlacementRequest, candidates: Iterable[Candidate], *, now: float
    ) -> dict[str, list[str]]:
        """Return the owners to ask before choosing, with the engines to ask about.

        Parameters
        ----------
        request : PlacementRequest
            Keys, tokens, class and weights version.
        candidates : iterable of Candidate
            Engines of the model.
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to list of str
            At most 2 owners (4 in the first 10 s) and 8 engines.
        """
        context = self._context(request, candidates, (), now)
        if not context.eligible:
            return {}
        costs = {name: self._cost(context, name)[0] for name in context.eligible}
        order = sorted(costs, key=costs.__getitem__)
        # The first home is asked in any case, so that all routers find one another's
        # placements of the prefix and its merged demand.
        first = next(name for name in context.homes if name in costs)
        order.remove(first)
        order.insert(0, first)
        starting = now - self.started_at < STARTING_S
        limit = STARTING_OWNERS if starting else MAX_OWNERS
        asked: dict[str, list[str]] = {}
        total = 0
        for name in order:
            owner = context.eligible[name].owner
            if total < MAX_ENGINES and (owner in asked or len(asked) < limit):
                asked.setdefault(owner, []).append(name)
                total += 1
        return asked

    def choose(
        self,
        request: PlacementRequest,
        candidates: Iterable[Candidate],
        *,
        views: Iterable[EngineView] = (),
        now: float,
    ) -> Decision | None:
        """Return the engine for a request and remember the placement.

        Parameters
        ----------
        request : PlacementRequest
            Keys, tokens, class and weights version.
        candidates : iterable of Candidate
            Engines of the model.
        views : iterable of EngineView
            Replies of the owners that arrived in time.
        now : float
            Time in seconds.

        Returns
        -------
        Decision or None
            None where no engine serves the weights version.
        """
        self.demand.record(request.home_keys or request.keys, now=now)
        context = self._context(request, candidates, views, now)
        if not context.eligible:
            return None
        costs = {name: self._cost(context, name) for name in context.eligible}
        name = min(costs, key=lambda name: (costs[name][0], name))
        _, ttft, importing = costs[name]
        candidate = context.eligible[name]
        depth = context.depths.get(name, 0)
        reached = context.anywhere if importing else depth
        compute = context.missed[reached]
        for key in request.keys:
            self.memory.remember(key, name, candidate.incarnation, now=now)
        self.memory.placed(name, request.work_class, compute, now=now)
        # Evidence may be late, so the engine gets all keys and skips those it holds.
        shared = request.keys[:-1]
        return Decision(
            engine=name,
            incarnation=candidate.incarnation,
            depth=depth,
            import_keys=list(shared) if candidate.import_tokens_s else [],
            compute_tokens=compute,
            announce_keys=list(request.keys[depth:]),
            expected_ttft_s=ttft,
        )

    def forget(self, engine: str) -> None:
        """Drop what is remembered of an engine that crashed or was removed."""
        self.memory.forget(engine)

    def _context(
        self,
        request: PlacementRequest,
        candidates: Iterable[Candidate],
        views: Iterable[EngineView],
        now: float,
    ) -> _Context:
        eligible = {
            candidate.name: candidate
            for candidate in candidates
            if candidate.serving
            and candidate.weights_version == request.weights_version
        }
        missed = [sum(request.tokens)]
        for count in request.tokens:
            missed.append(missed[-1] - count)
        for view in views:
            candidate = eligible.get(view.engine)
            # A view of another incarnation describes a cache that is gone.
            if candidate is not None and view.incarnation == candidate.incarnation:
                self.memory.learn(request.keys, view, now=now)
                if request.keys:
                    key = demand_key(request.home_keys or request.keys)
                    self.memory.learn_homes(key, view.homes, now=now)
        incarnations = {name: item.incarnation for name, item in eligible.items()}
        depths = self.memory.depths(request.keys, incarnations, now=now)
        homes = self._homes(request, eligible, now)
        considered = self._shortlist(request, homes, depths)
        return _Context(
            request=request,
            now=now,
            eligible={name: eligible[name] for name in considered},
            missed=missed,
            homes=homes,
            pressure=self.memory.pressure(
                considered,
                tokens_s=PRESSURE_SHARE
                * min((item.prefill_tokens_s for item in eligible.values()), default=0),
                now=now,
            ),
            depths=depths,
            anywhere=max(depths.values(), default=0),
        )

    def _shortlist(
        self, request: PlacementRequest, homes: dict[str, int], depths: dict[str, int]
    ) -> list[str]:
        """Return the engines to compare: near homes and those that hold most."""
        names = list(homes)
        if len(names) <= MAX_COMPARED:
            return names
        # A very hot prefix has more homes than are compared; its prompts start at
        # different ones.
        nearest = sum(1 for distance in homes.values() if distance == 0)
        if nearest > MAX_COMPARED and request.keys:
            start = request.keys[-1] % nearest
            names = names[start:nearest] + names[:start]
        holders = sorted(depths, key=depths.__getitem__, reverse=True)[:MAX_ENGINES]
        return list(dict.fromkeys(names[:MAX_COMPARED] + holders))

    def _homes(
        self, request: PlacementRequest, eligible: Mapping[str, Candidate], now: float
    ) -> dict[str, int]:
        keys = request.home_keys or request.keys
        # The last piece is the caller's own question, which nobody shares.
        narrowing = narrowing_keys(keys)
        counts = [self.demand.homes(key, now=now) for key in narrowing]
        if counts:
            merged = self.memory.homes_of(narrowing[0], now=now)
            counts[0] = max(counts[0], merged)
        return nested_homes(narrowing, counts, list(eligible), ranks=self.ranks)

    def _cost(self, context: _Context, name: str) -> tuple[float, float, bool]:
        """Return cost, expected TTFT and whether to import kept cache."""
        candidate = context.eligible[name]
        load = self.memory.load(
            name,
            candidate.incarnation,
            candidate.private,
            prefill_tokens_s=candidate.prefill_tokens_s,
            routers=self.routers,
            now=context.now,
        )
        share = max(MIN_PREFILL_SHARE, 1.0 - DECODE_SHARE * load.streams)
        rate = candidate.prefill_tokens_s * share
        wait_s = load.interactive / rate
        wait_cost = wait_s
        if context.request.work_class != INTERACTIVE:
            wait_s += load.batch / rate
            wait_cost = wait_s * self.objective.batch_wait_weight
        depth = context.depths.get(name, 0)
        compute_s = context.missed[depth] / rate
        import_s = 0.0
        importing = False
        if candidate.import_tokens_s and context.anywhere > depth:
            left = context.missed[context.anywhere]
            moved = context.missed[depth] - left
            moved_s = moved / candidate.import_tokens_s + IMPORT_LATENCY_S
            if moved_s < moved / rate:
                importing, import_s, compute_s = True, moved_s, left / rate
        cost = wait_cost + import_s + compute_s * (1.0 + self.objective.compute_weight)
        # Where more than the house rules are held, no new copy is made.
        if depth <= ROOT_PIECES:
            # One step away weighs as much as computing twice the mean: a new prefix
            # avoids homes that compute, and so evict, more than others.
            distance = min(context.homes[name], MAX_DISTANCE)
            cost += self.objective.away_s * (distance + context.pressure[name])
        return cost, wait_s + import_s + compute_s, importing
