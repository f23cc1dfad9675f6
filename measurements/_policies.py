"""Routers with one policy each, run on one trace in a simulated data centre."""

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
from measurements._model_parts import IMPORT_TOKENS_S, UNITS_S, Clock, Job, Piece
from measurements._trace import Deployment, Request

LOOKUP_LOSS = 0.01
LOOKUP_TIMEOUT_S = 0.005
ENGINE_LINK_S = 0.0005
RETRY_S = 0.02
BROKEN_S = 0.05
TTL_S = 60.0
WARM_UP_S = 30.0


@dataclass(slots=True, kw_only=True)
class Totals:
    """Sums of one run after the warm-up."""

    ttft: dict[str, list[float]] = field(
        default_factory=lambda: {INTERACTIVE: [], BATCH: []}
    )
    prompt: int = 0
    hit: int = 0
    imported: int = 0
    computed: int = 0
    refused: int = 0


class Router:
    """What one router knows."""

    def __init__(self, *, number: int, run: "Run", placement: Placement) -> None:
        self.number = number
        self.run = run
        self.placement = placement
        self.turn = number
        self.sent: dict[str, list[tuple[float, str, int]]] = {}
        self.candidates = {
            name: Candidate(
                name=name,
                incarnation=1,
                weights_version="1",
                owner=run.centre.owners[name],
                prefill_tokens_s=UNITS_S,
                import_tokens_s=IMPORT_TOKENS_S,
            )
            for name in run.centre.engines
        }

    def notice(self, name: str) -> None:
        """Learn the state of an engine and its owner."""
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

        While a version is being loaded, each engine takes its share of the prompts
        along, instead of all prompts becoming cold at once.
        """
        serving = [name for name, item in self.candidates.items() if item.serving]
        first = _rendezvous.owner(label, serving)
        return self.candidates[first].weights_version if first else "1"

    def sent_since(self, name: str, at: float, work_class: str) -> int:
        sent = self.sent.setdefault(name, [])
        while sent and sent[0][0] < at:
            sent.pop(0)
        return sum(tokens for _, kind, tokens in sent if kind == work_class)


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One request on its way."""

    request: Request
    router: Router
    id: bytes
    work_class: str
    output_left: int
    ask: PlacementRequest | None = None
    views: list[EngineView] = field(default_factory=list)
    first_at: float | None = None
    decision: Decision | None = None


Choice = Callable[["Run", Attempt, list[Candidate]], Decision | None]


class Run:
    """One policy on one trace."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        policy: str,
        requests: list[Request],
        routers: int,
        capacity: int,
        kept: int,
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
            kept=kept,
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
            attempt = Attempt(
                request=request,
                router=self.routers[request.router],
                id=number.to_bytes(8, "big"),
                work_class=INTERACTIVE if request.interactive else BATCH,
                output_left=request.output_tokens,
            )
            self.clock.after(request.at, self._arrive, attempt)

    def _notice(self, name: str) -> None:
        for router in self.routers:
            self.clock.after(LINK_S, router.notice, name)

    def keys(self, request: Request, version: str) -> list[int]:
        space = Namespace(
            organisation=request.organisation, model="m", weights_version=version
        )
        return chain_keys(
            self.secret, space, [text.encode() for text in request.contents]
        )

    def _arrive(self, attempt: Attempt) -> None:
        request = attempt.request
        version = attempt.router.version(request.contents[request.shared - 1])
        attempt.ask = PlacementRequest(
            keys=self.keys(request, version),
            unversioned_keys=self.keys(request, ""),
            tokens=request.tokens,
            work_class=attempt.work_class,
            weights_version=version,
        )
        attempt.views = []
        if self.policy in ("round_robin", "least_loaded", "hash_affinity"):
            self._dispatch(attempt, self._baseline(attempt))
        elif self.policy in ("ours", "lagging_load", "exact_cache_lagging_load"):
            self._look_up(attempt)
        else:
            names = list(self.centre.engines)
            attempt.views = [
                self.centre.true_view(name, list(attempt.ask.keys)) for name in names
            ]
            self._choose(attempt)

    # The product's policy and its variants.

    def _look_up(self, attempt: Attempt) -> None:
        assert attempt.ask is not None
        router = attempt.router
        asked = router.placement.plan_lookups(
            attempt.ask, router.candidates.values(), now=self.clock.now
        )
        lost = False
        for owner, names in asked.items():
            if owner in self.centre.dead_agents or self.rng.random() < LOOKUP_LOSS:
                lost = True
                continue
            self.clock.after(LINK_S, self._answer, attempt, names)
        wait = LOOKUP_TIMEOUT_S if lost else 2 * LINK_S
        if asked:
            self.clock.after(wait + 1e-6, self._choose, attempt)
        else:
            self.clock.after(RETRY_S, self._arrive, attempt)

    def _answer(self, attempt: Attempt, names: list[str]) -> None:
        assert attempt.ask is not None
        keys = list(attempt.ask.keys)
        for number, name in enumerate(names):
            view = self.centre.view(name, keys, count_demand=number == 0)
            if self.policy == "exact_cache_lagging_load":
                view.depth = self.centre.true_view(name, keys).depth
            if self.policy != "ours":
                report = self.centre.reports[name]
                since = attempt.router.sent_since
                view.interactive_tokens = report.tokens[INTERACTIVE] + since(
                    name, report.at, INTERACTIVE
                )
                view.batch_tokens = report.tokens[BATCH] + since(name, report.at, BATCH)
                view.streams = report.streams
            attempt.views.append(view)

    def _choose(self, attempt: Attempt) -> None:
        assert attempt.ask is not None
        router = attempt.router
        decision = router.placement.choose(
            attempt.ask,
            router.candidates.values(),
            views=attempt.views,
            now=self.clock.now,
        )
        self._dispatch(attempt, decision)

    # The baselines.

    def _baseline(self, attempt: Attempt) -> Decision | None:
        assert attempt.ask is not None
        router, ask = attempt.router, attempt.ask
        serving = [
            candidate
            for candidate in router.candidates.values()
            if candidate.serving and candidate.weights_version == ask.weights_version
        ]
        if not serving:
            return None
        if self.policy == "round_robin":
            router.turn += 1
            chosen = serving[router.turn % len(serving)]
        elif self.policy == "hash_affinity":
            # The first two pieces identify house rules and guide.
            key = ask.unversioned_keys[1]
            ranked = rank_engines(key, [candidate.name for candidate in serving])
            chosen = router.candidates[ranked[0]]
        else:
            chosen = min(serving, key=lambda item: self._reported(attempt, item.name))
        return Decision(
            engine=chosen.name,
            incarnation=chosen.incarnation,
            depth=0,
            import_keys=list(ask.keys),
            compute_tokens=sum(ask.tokens),
            announce_keys=[],
            expected_ttft_s=0.0,
        )

    def _reported(self, attempt: Attempt, name: str) -> tuple[float, float]:
        report = self.centre.reports[name]
        router = attempt.router
        ahead = report.tokens[INTERACTIVE] + router.sent_since(
            name, report.at, INTERACTIVE
        )
        if attempt.work_class == BATCH:
            ahead += report.tokens[BATCH] + router.sent_since(name, report.at, BATCH)
        return float(ahead), report.streams + self.rng.random()

    # Dispatch and progress.

    def _dispatch(self, attempt: Attempt, decision: Decision | None) -> None:
        if decision is None:
            self.clock.after(RETRY_S, self._arrive, attempt)
            return
        assert attempt.ask is not None
        attempt.decision = decision
        router, now = attempt.router, self.clock.now
        name = decision.engine
        router.sent.setdefault(name, []).append(
            (now, attempt.work_class, decision.compute_tokens)
        )
        work: dict[str, Any] = {
            "request": attempt.id,
            "work_class": attempt.work_class,
            "tokens": decision.compute_tokens,
            "keys": decision.announce_keys,
            "ttl_s": TTL_S,
        }
        router.candidates[name].own_work.add(**work, now=now)
        self.clock.after(LINK_S, self._announce, name, work)
        self.clock.after(ENGINE_LINK_S, self._submit, attempt, decision)

    def _announce(self, name: str, work: dict[str, Any]) -> None:
        if self.centre.owners[name] not in self.centre.dead_agents:
            self.centre.owned[name].outstanding.add(**work, now=self.clock.now)

    def _finish(self, attempt: Attempt, *, over: bool) -> None:
        assert attempt.decision is not None
        name = attempt.decision.engine
        attempt.router.candidates[name].own_work.finish(
            request=attempt.id, over=over, now=self.clock.now
        )
        self.clock.after(LINK_S, self._finish_at_owner, name, attempt.id, over)

    def _finish_at_owner(self, name: str, request: bytes, over: bool) -> None:
        if self.centre.owners[name] not in self.centre.dead_agents:
            self.centre.owned[name].outstanding.finish(
                request=request, over=over, now=self.clock.now
            )

    def _submit(self, attempt: Attempt, decision: Decision) -> None:
        request, ask = attempt.request, attempt.ask
        assert ask is not None
        truth = (request.organisation, ask.weights_version)
        job = Job(
            pieces=[
                Piece(
                    key=key, tokens=tokens, truth=(*truth, *request.contents[: n + 1])
                )
                for n, (key, tokens) in enumerate(
                    zip(ask.keys, request.tokens, strict=True)
                )
            ],
            interactive=request.interactive,
            output_tokens=attempt.output_left,
            importing=bool(decision.import_keys),
            relied_depth=decision.depth,
            relied_incarnation=decision.incarnation,
            organisation=request.organisation,
            version=ask.weights_version,
            on_first=lambda job: self._first(attempt, job),
            on_over=lambda job: self._finish(attempt, over=True),
            on_failed=lambda job: self._failed(attempt),
        )
        if not self.centre.engines[decision.engine].submit(job):
            self.totals.refused += 1
            router = attempt.router
            self._finish(attempt, over=True)
            router.candidates[decision.engine].serving = False
            self.clock.after(PROBE_S, router.notice, decision.engine)
            self.clock.after(RETRY_S, self._arrive, attempt)

    def _first(self, attempt: Attempt, job: Job) -> None:
        now = self.clock.now
        self._finish(attempt, over=False)
        if attempt.request.at >= WARM_UP_S:
            self.totals.prompt += sum(piece.tokens for piece in job.pieces)
            self.totals.hit += job.hit_tokens
            self.totals.imported += job.imported_tokens
            self.totals.computed += job.computed_tokens
            if attempt.first_at is None:
                waited = now + ENGINE_LINK_S - attempt.request.at
                self.totals.ttft[attempt.work_class].append(waited)
        attempt.first_at = attempt.first_at or now

    def _failed(self, attempt: Attempt) -> None:
        self._finish(attempt, over=True)
        self.clock.after(BROKEN_S, self._arrive, attempt)
