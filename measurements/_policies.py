"""Run of one placement policy on one trace in a simulated data centre."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from endivelug import _rendezvous
from endivelug.messages import EngineView
from endivelug.outstanding_work import BATCH, INTERACTIVE
from endivelug.placement import (
    OBJECTIVES,
    Candidate,
    Decision,
    Placement,
    PlacementRequest,
)
from endivelug.preferred_engines import Demand, rank_engines
from endivelug.prefix import Namespace, chain_keys
from measurements._data_centre import LINK_S, PROBE_S, DataCentre
from measurements._simulation import IMPORT_TOKENS_S, UNITS_PER_S, Clock, Job, Segment
from measurements._trace import Deployment, Request

LOOKUP_LOSS = 0.01
LOOKUP_TIMEOUT_S = 0.005
ENGINE_LINK_S = 0.0005
RETRY_S = 0.02
FAILURE_RETRY_S = 0.05
WORK_TTL_S = 60.0
WARM_UP_S = 30.0


@dataclass(slots=True, kw_only=True)
class Totals:
    """Sums over the requests of one run that arrived after the warm-up.

    Attributes
    ----------
    ttft : dict of str to list of float
        Seconds to the first token of each request, by work class.
    prompt, hit, imported, computed : int
        Prompt tokens: all, cached, imported from the cache store, and computed.
    """

    ttft: dict[str, list[float]] = field(
        default_factory=lambda: {INTERACTIVE: [], BATCH: []}
    )
    prompt: int = 0
    hit: int = 0
    imported: int = 0
    computed: int = 0
    refused: int = 0


class Router:
    """State of one router: engines, own placements and the work it has sent."""

    def __init__(self, *, number: int, run: "PolicyRun", placement: Placement) -> None:
        self.number = number
        self.run = run
        self.placement = placement
        self.round_robin_index = number
        # Time, work class and tokens of the work sent to each engine.
        self.sent_work: dict[str, list[tuple[float, str, int]]] = {}
        self.candidates = {
            name: Candidate(
                name=name,
                incarnation=1,
                weights_version="1",
                owner=run.centre.owners[name],
                prefill_tokens_s=UNITS_PER_S,
                import_tokens_s=IMPORT_TOKENS_S,
            )
            for name in run.centre.engines
        }

    def refresh_candidate(self, name: str) -> None:
        """Update the candidate of an engine to its current state and owner."""
        engine = self.run.centre.engines[name]
        candidate = self.candidates[name]
        candidate.owner = self.run.centre.owners[name]
        candidate.serving = engine.serving
        candidate.weights_version = engine.version
        if not engine.alive or candidate.incarnation != engine.incarnation:
            candidate.incarnation = engine.incarnation
            candidate.own_work.clear()
            self.placement.forget(name)

    def version(self, label: str) -> str:
        """Return the version of the engine that ranks first for a label.

        While engines load a new version one by one, each moves only its share of the
        prompts to that version, so that not all prompts become uncached at once.
        """
        serving = [name for name, item in self.candidates.items() if item.serving]
        first = _rendezvous.owner(label, serving)
        return self.candidates[first].weights_version if first else "1"

    def sent_since(self, name: str, at: float, work_class: str) -> int:
        """Return the tokens of a class sent to an engine since a time."""
        sent_work = self.sent_work.setdefault(name, [])
        while sent_work and sent_work[0][0] < at:
            sent_work.pop(0)
        return sum(
            tokens for _, sent_class, tokens in sent_work if sent_class == work_class
        )


@dataclass(slots=True, kw_only=True, eq=False)
class ActiveRequest:
    """One request from its arrival to its end, over all placements."""

    request: Request
    router: Router
    id: bytes
    work_class: str
    output_tokens: int
    placement_request: PlacementRequest | None = None
    views: list[EngineView] = field(default_factory=list)
    first_at: float | None = None
    decision: Decision | None = None


Choice = Callable[["PolicyRun", ActiveRequest, list[Candidate]], Decision | None]


class PolicyRun:
    """One policy on one trace, with routers, engines and totals."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        policy: str,
        requests: list[Request],
        routers: int,
        capacity: int,
        store_capacity: int,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.clock = Clock()
        self.rng = random.Random(f"run {seed}")
        self.secret = f"a secret of seed {seed}".encode()
        self.centre = DataCentre(
            clock=self.clock,
            rng=random.Random(f"centre {seed}"),
            capacity=capacity,
            store_capacity=store_capacity,
            load_s=deployment.weights_load_s,
        )
        self.totals = Totals()
        self.oracle = policy == "oracle"
        objective = OBJECTIVES[deployment.objective]
        shared = Placement(objective=objective)
        self.routers = [
            Router(
                number=number,
                run=self,
                placement=shared
                if self.oracle
                else Placement(
                    objective=objective,
                    routers=routers,
                    demand=Demand(scale=float(routers)),
                ),
            )
            for number in range(routers)
        ]
        self.centre.on_notice = self._notice
        for number, request in enumerate(requests):
            active = ActiveRequest(
                request=request,
                router=self.routers[request.router],
                id=number.to_bytes(8, "big"),
                work_class=INTERACTIVE if request.interactive else BATCH,
                output_tokens=request.output_tokens,
            )
            self.clock.call_later(request.at, self._place, active)

    def _notice(self, name: str) -> None:
        for router in self.routers:
            self.clock.call_later(LINK_S, router.refresh_candidate, name)

    def keys(self, request: Request, version: str) -> list[int]:
        space = Namespace(
            organisation=request.organisation, model="m", weights_version=version
        )
        return chain_keys(
            self.secret, space, [text.encode() for text in request.contents]
        )

    def _place(self, active: ActiveRequest) -> None:
        request = active.request
        version = active.router.version(request.contents[request.shared_segments - 1])
        active.placement_request = PlacementRequest(
            keys=self.keys(request, version),
            unversioned_keys=self.keys(request, ""),
            tokens=request.tokens,
            work_class=active.work_class,
            weights_version=version,
        )
        active.views = []
        if self.policy in ("round_robin", "least_loaded", "hash_affinity"):
            self._dispatch(active, self._choose_baseline(active))
        elif self.policy in ("ours", "lagging_load", "exact_cache_lagging_load"):
            self._look_up(active)
        else:
            names = list(self.centre.engines)
            active.views = [
                self.centre.true_view(name, list(active.placement_request.keys))
                for name in names
            ]
            self._choose(active)

    # The policy of endivelug and its variants.

    def _look_up(self, active: ActiveRequest) -> None:
        assert active.placement_request is not None
        router = active.router
        lookups = router.placement.plan_lookups(
            active.placement_request, router.candidates.values(), now=self.clock.now
        )
        lost = False
        for owner, names in lookups.items():
            if owner in self.centre.dead_agents or self.rng.random() < LOOKUP_LOSS:
                lost = True
                continue
            self.clock.call_later(LINK_S, self._apply_reply, active, names)
        wait = LOOKUP_TIMEOUT_S if lost else 2 * LINK_S
        if lookups:
            self.clock.call_later(wait + 1e-6, self._choose, active)
        else:
            self.clock.call_later(RETRY_S, self._place, active)

    def _apply_reply(self, active: ActiveRequest, names: list[str]) -> None:
        assert active.placement_request is not None
        keys = list(active.placement_request.keys)
        for number, name in enumerate(names):
            view = self.centre.view(name, keys, count_demand=number == 0)
            if self.policy == "exact_cache_lagging_load":
                view.depth = self.centre.true_view(name, keys).depth
            if self.policy != "ours":
                report = self.centre.reports[name]
                since = active.router.sent_since
                view.interactive_tokens = report.tokens[INTERACTIVE] + since(
                    name, report.at, INTERACTIVE
                )
                view.batch_tokens = report.tokens[BATCH] + since(name, report.at, BATCH)
                view.streams = report.streams
            active.views.append(view)

    def _choose(self, active: ActiveRequest) -> None:
        assert active.placement_request is not None
        router = active.router
        decision = router.placement.choose(
            active.placement_request,
            router.candidates.values(),
            views=active.views,
            now=self.clock.now,
        )
        self._dispatch(active, decision)

    def _choose_baseline(self, active: ActiveRequest) -> Decision | None:
        assert active.placement_request is not None
        router, placement_request = active.router, active.placement_request
        serving = [
            candidate
            for candidate in router.candidates.values()
            if candidate.serving
            and candidate.weights_version == placement_request.weights_version
        ]
        if not serving:
            return None
        if self.policy == "round_robin":
            router.round_robin_index += 1
            chosen = serving[router.round_robin_index % len(serving)]
        elif self.policy == "hash_affinity":
            # The first two segments identify the house rules and the guide.
            key = placement_request.unversioned_keys[1]
            ranked = rank_engines(key, [candidate.name for candidate in serving])
            chosen = router.candidates[ranked[0]]
        else:
            chosen = min(
                serving, key=lambda item: self._reported_load(active, item.name)
            )
        return Decision(
            engine=chosen.name,
            incarnation=chosen.incarnation,
            depth=0,
            import_keys=list(placement_request.keys),
            compute_tokens=sum(placement_request.tokens),
            announce_keys=[],
            expected_ttft_s=0.0,
        )

    def _reported_load(self, active: ActiveRequest, name: str) -> tuple[float, float]:
        report = self.centre.reports[name]
        router = active.router
        ahead = report.tokens[INTERACTIVE] + router.sent_since(
            name, report.at, INTERACTIVE
        )
        if active.work_class == BATCH:
            ahead += report.tokens[BATCH] + router.sent_since(name, report.at, BATCH)
        return float(ahead), report.streams + self.rng.random()

    # Dispatch and progress.

    def _dispatch(self, active: ActiveRequest, decision: Decision | None) -> None:
        if decision is None:
            self.clock.call_later(RETRY_S, self._place, active)
            return
        assert active.placement_request is not None
        active.decision = decision
        router, now = active.router, self.clock.now
        name = decision.engine
        router.sent_work.setdefault(name, []).append(
            (now, active.work_class, decision.compute_tokens)
        )
        work: dict[str, Any] = {
            "request": active.id,
            "work_class": active.work_class,
            "tokens": decision.compute_tokens,
            "keys": decision.announce_keys,
            "ttl_s": WORK_TTL_S,
        }
        router.candidates[name].own_work.add(**work, now=now)
        self.clock.call_later(LINK_S, self._announce_work, name, work)
        self.clock.call_later(ENGINE_LINK_S, self._submit_to_engine, active, decision)

    def _announce_work(self, name: str, work: dict[str, Any]) -> None:
        if self.centre.owners[name] not in self.centre.dead_agents:
            self.centre.owner_states[name].outstanding.add(**work, now=self.clock.now)

    def _finish(self, active: ActiveRequest, *, over: bool) -> None:
        assert active.decision is not None
        name = active.decision.engine
        active.router.candidates[name].own_work.finish(
            request=active.id, over=over, now=self.clock.now
        )
        self.clock.call_later(LINK_S, self._finish_at_owner, name, active.id, over)

    def _finish_at_owner(self, name: str, request: bytes, over: bool) -> None:
        if self.centre.owners[name] not in self.centre.dead_agents:
            self.centre.owner_states[name].outstanding.finish(
                request=request, over=over, now=self.clock.now
            )

    def _submit_to_engine(self, active: ActiveRequest, decision: Decision) -> None:
        request, placement_request = active.request, active.placement_request
        assert placement_request is not None
        identity = (request.organisation, placement_request.weights_version)
        job = Job(
            segments=[
                Segment(
                    key=key,
                    tokens=tokens,
                    identity=(*identity, *request.contents[: n + 1]),
                )
                for n, (key, tokens) in enumerate(
                    zip(placement_request.keys, request.tokens, strict=True)
                )
            ],
            interactive=request.interactive,
            output_tokens=active.output_tokens,
            may_import=bool(decision.import_keys),
            relied_depth=decision.depth,
            relied_incarnation=decision.incarnation,
            organisation=request.organisation,
            version=placement_request.weights_version,
            on_first_token=lambda job: self._record_first_token(active, job),
            on_end=lambda job: self._finish(active, over=True),
            on_failed=lambda job: self._handle_failure(active),
        )
        if not self.centre.engines[decision.engine].submit(job):
            self.totals.refused += 1
            router = active.router
            self._finish(active, over=True)
            router.candidates[decision.engine].serving = False
            self.clock.call_later(PROBE_S, router.refresh_candidate, decision.engine)
            self.clock.call_later(RETRY_S, self._place, active)

    def _record_first_token(self, active: ActiveRequest, job: Job) -> None:
        now = self.clock.now
        self._finish(active, over=False)
        if active.request.at >= WARM_UP_S:
            self.totals.prompt += sum(segment.tokens for segment in job.segments)
            self.totals.hit += job.hit_tokens
            self.totals.imported += job.imported_tokens
            self.totals.computed += job.computed_tokens
            if active.first_at is None:
                waited = now + ENGINE_LINK_S - active.request.at
                self.totals.ttft[active.work_class].append(waited)
        active.first_at = active.first_at or now

    def _handle_failure(self, active: ActiveRequest) -> None:
        self._finish(active, over=True)
        self.clock.call_later(FAILURE_RETRY_S, self._place, active)
