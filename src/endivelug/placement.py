"""Selection of the engine that serves a request.

A router calls `Placement.plan_lookups` to get the look-ups to send, and then
`Placement.choose` with the replies that arrived in time. Replies are optional: without
any, the computed preferred engines and the router's own estimates decide.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from endivelug._engine_estimates import EngineEstimates
from endivelug._placement_types import (
    OBJECTIVES,
    Candidate,
    Decision,
    Objective,
    PlacementRequest,
)
from endivelug.messages import EngineView
from endivelug.outstanding_work import INTERACTIVE
from endivelug.preferred_engines import (
    ROOT_SEGMENTS,
    Demand,
    RankCache,
    demand_key,
    preference_distances,
    selection_keys,
)

__all__ = [
    "OBJECTIVES",
    "Candidate",
    "Decision",
    "Objective",
    "Placement",
    "PlacementRequest",
]

# Limits of the look-ups for one request.
MAX_LOOKUP_OWNERS = 2
MAX_LOOKUP_ENGINES = 8
# Comparing all of 53 engines exceeds the limit of 300 us per decision.
MAX_COMPARED_ENGINES = 8
# A router that has just started has no estimates of load and demand, so it sends
# look-ups to more owners.
STARTUP_LOOKUP_OWNERS = 4
STARTUP_S = 10.0
# Each decoding stream uses about 1% of an engine, at 25 streams per engine.
DECODE_SHARE_PER_STREAM = 0.01
MIN_PREFILL_SHARE = 0.3
IMPORT_LATENCY_S = 0.03
# Beyond the third engine after the preferred ones, distance adds no more cost.
MAX_DISTANCE = 3
# Least mean prefill rate, as a share of the engines' prefill speed, by which the
# differences between engines are scaled: a few placements in an idle data centre
# make no difference.
MIN_MEAN_PREFILL_SHARE = 0.12


@dataclass(slots=True, kw_only=True)
class _DecisionInputs:
    """Inputs of one decision.

    Attributes
    ----------
    uncached_tokens : list of int
        Tokens left to compute for each cached depth, from 0 to the number of keys.
    cached_depths : dict of str to int
        Number of leading segments expected in each engine's cache; 0 if absent.
    distances : dict of str to int
        Distance of each engine from the preferred engines of the prefix.
    prefill_excess : dict of str to float
        Recent prefill tokens of each engine, relative to the mean: 0 at the mean.
    max_depth : int
        Greatest depth in any engine's cache; the KV cache store has it as well.
    """

    request: PlacementRequest
    now: float
    eligible: dict[str, Candidate]
    uncached_tokens: list[int]
    distances: dict[str, int]
    prefill_excess: dict[str, float]
    cached_depths: dict[str, int]
    max_depth: int


@dataclass(slots=True, kw_only=True)
class Placement:
    """Selects engines of one model for the requests of one router.

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
    estimates : EngineEstimates
        Estimated cache content and load of the engines.
    ranks : RankCache
        Rankings of recent prefixes.
    """

    objective: Objective = field(default_factory=lambda: OBJECTIVES["latency"])
    routers: int = 1
    started_at: float = 0.0
    demand: Demand = field(default_factory=Demand)
    estimates: EngineEstimates = field(default_factory=EngineEstimates)
    ranks: RankCache = field(default_factory=RankCache)

    def plan_lookups(
        self, request: PlacementRequest, candidates: Iterable[Candidate], *, now: float
    ) -> dict[str, list[str]]:
        """Return the look-ups to send before `choose`: engines by owner.

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
        inputs = self._collect_inputs(request, candidates, (), now)
        if not inputs.eligible:
            return {}
        costs = {name: self._cost(inputs, name)[0] for name in inputs.eligible}
        order = sorted(costs, key=costs.__getitem__)
        # The first preferred engine is always looked up, so that all routers see each
        # other's placements of the prefix and the total demand for it.
        first = next(name for name in inputs.distances if name in costs)
        order.remove(first)
        order.insert(0, first)
        starting_up = now - self.started_at < STARTUP_S
        limit = STARTUP_LOOKUP_OWNERS if starting_up else MAX_LOOKUP_OWNERS
        engines_by_owner: dict[str, list[str]] = {}
        engine_count = 0
        for name in order:
            owner = inputs.eligible[name].owner
            if engine_count < MAX_LOOKUP_ENGINES and (
                owner in engines_by_owner or len(engines_by_owner) < limit
            ):
                engines_by_owner.setdefault(owner, []).append(name)
                engine_count += 1
        return engines_by_owner

    def choose(
        self,
        request: PlacementRequest,
        candidates: Iterable[Candidate],
        *,
        views: Iterable[EngineView] = (),
        now: float,
    ) -> Decision | None:
        """Return the engine for a request and record the placement.

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
            None if no engine serves the weights version.
        """
        self.demand.record(request.unversioned_keys or request.keys, now=now)
        inputs = self._collect_inputs(request, candidates, views, now)
        if not inputs.eligible:
            return None
        costs = {name: self._cost(inputs, name) for name in inputs.eligible}
        name = min(costs, key=lambda name: (costs[name][0], name))
        _, ttft, importing = costs[name]
        candidate = inputs.eligible[name]
        depth = inputs.cached_depths.get(name, 0)
        available_depth = inputs.max_depth if importing else depth
        compute = inputs.uncached_tokens[available_depth]
        for key in request.keys:
            self.estimates.record_cached(key, name, candidate.incarnation, now=now)
        self.estimates.record_placement(name, request.work_class, compute, now=now)
        # Cache events can be late, so the engine gets all keys and skips cached ones.
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
        """Remove the estimates of an engine that crashed or was removed."""
        self.estimates.forget(engine)

    def _collect_inputs(
        self,
        request: PlacementRequest,
        candidates: Iterable[Candidate],
        views: Iterable[EngineView],
        now: float,
    ) -> _DecisionInputs:
        eligible = {
            candidate.name: candidate
            for candidate in candidates
            if candidate.serving
            and candidate.weights_version == request.weights_version
        }
        uncached_tokens = [sum(request.tokens)]
        for count in request.tokens:
            uncached_tokens.append(uncached_tokens[-1] - count)
        for view in views:
            candidate = eligible.get(view.engine)
            # A view of another incarnation describes a cache that no longer exists.
            if candidate is not None and view.incarnation == candidate.incarnation:
                self.estimates.apply_view(request.keys, view, now=now)
                if request.keys:
                    key = demand_key(request.unversioned_keys or request.keys)
                    self.estimates.record_preferred_count(
                        key, view.preferred_count, now=now
                    )
        incarnations = {name: item.incarnation for name, item in eligible.items()}
        cached_depths = self.estimates.cached_depths(
            request.keys, incarnations, now=now
        )
        distances = self._preference_distances(request, eligible, now)
        considered = self._shortlist(request, distances, cached_depths)
        return _DecisionInputs(
            request=request,
            now=now,
            eligible={name: eligible[name] for name in considered},
            uncached_tokens=uncached_tokens,
            distances=distances,
            prefill_excess=self.estimates.prefill_excess(
                considered,
                tokens_s=MIN_MEAN_PREFILL_SHARE
                * min((item.prefill_tokens_s for item in eligible.values()), default=0),
                now=now,
            ),
            cached_depths=cached_depths,
            max_depth=max(cached_depths.values(), default=0),
        )

    def _shortlist(
        self,
        request: PlacementRequest,
        distances: dict[str, int],
        cached_depths: dict[str, int],
    ) -> list[str]:
        """Return the engines to compare: the nearest and those that cache most."""
        ranked_names = list(distances)
        if len(ranked_names) <= MAX_COMPARED_ENGINES:
            return ranked_names
        # A very hot prefix has more preferred engines than can be compared, so each
        # prompt starts at an engine that depends on its last key.
        preferred_count = sum(1 for distance in distances.values() if distance == 0)
        if preferred_count > MAX_COMPARED_ENGINES and request.keys:
            start = request.keys[-1] % preferred_count
            ranked_names = ranked_names[start:preferred_count] + ranked_names[:start]
        caching = sorted(cached_depths, key=cached_depths.__getitem__, reverse=True)[
            :MAX_LOOKUP_ENGINES
        ]
        return list(dict.fromkeys(ranked_names[:MAX_COMPARED_ENGINES] + caching))

    def _preference_distances(
        self, request: PlacementRequest, eligible: Mapping[str, Candidate], now: float
    ) -> dict[str, int]:
        keys = request.unversioned_keys or request.keys
        # The last segment is the caller's own question, which no other prompt shares.
        selected = selection_keys(keys)
        counts = [self.demand.preferred_count(key, now=now) for key in selected]
        if counts:
            merged = self.estimates.preferred_count(selected[0], now=now)
            counts[0] = max(counts[0], merged)
        return preference_distances(selected, counts, list(eligible), ranks=self.ranks)

    def _cost(self, inputs: _DecisionInputs, name: str) -> tuple[float, float, bool]:
        """Return the cost, the expected TTFT and whether to import KV cache."""
        candidate = inputs.eligible[name]
        load = self.estimates.load(
            name,
            candidate.incarnation,
            candidate.own_work,
            prefill_tokens_s=candidate.prefill_tokens_s,
            routers=self.routers,
            now=inputs.now,
        )
        share = max(MIN_PREFILL_SHARE, 1.0 - DECODE_SHARE_PER_STREAM * load.streams)
        rate = candidate.prefill_tokens_s * share
        wait_s = load.interactive / rate
        wait_cost = wait_s
        if inputs.request.work_class != INTERACTIVE:
            wait_s += load.batch / rate
            wait_cost = wait_s * self.objective.batch_wait_weight
        depth = inputs.cached_depths.get(name, 0)
        compute_s = inputs.uncached_tokens[depth] / rate
        import_s = 0.0
        importing = False
        if candidate.import_tokens_s and inputs.max_depth > depth:
            remaining = inputs.uncached_tokens[inputs.max_depth]
            imported = inputs.uncached_tokens[depth] - remaining
            transfer_s = imported / candidate.import_tokens_s + IMPORT_LATENCY_S
            if transfer_s < imported / rate:
                importing, import_s, compute_s = True, transfer_s, remaining / rate
        cost = wait_cost + import_s + compute_s * (1.0 + self.objective.compute_weight)
        # An engine that caches more than the root segment needs no new copy.
        if depth <= ROOT_SEGMENTS:
            # One step of distance costs as much as computing twice the mean: a new
            # prefix avoids preferred engines that compute, and so evict, more than
            # others.
            distance = min(inputs.distances[name], MAX_DISTANCE)
            cost += self.objective.distance_cost_s * (
                distance + inputs.prefill_excess[name]
            )
        return cost, wait_s + import_s + compute_s, importing
