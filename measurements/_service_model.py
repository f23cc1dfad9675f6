"""Simulated engines, plain upstreams and callers around the product's own decisions.

Queue, choice of the upstream, admission and estimates of load and cache are the
product's; only the upstreams, the callers and the time are simulated.
"""

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from endivelug.forwarding.cache_tracker import CacheTracker
from endivelug.forwarding.calls import Call, Delivered
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.overload.control import Overloaded
from endivelug.forwarding.placement import Placement, Placer
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.routes import (
    CallerLimits,
    EngineLimits,
    Repeat,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)

PREFILL_TOKENS_PER_S = 40_000.0
STEP_S = 0.01
REPORT_S = 0.2
BASE_S = 0.04
# Shortest times that a call needs, as in the forwarder.
MIN_RUN_S = {True: 0.4, False: 0.1}
SERVICE = "s"


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            timer = self._scheduled[0]  # type: ignore[attr-defined]
            self.now = max(self.now, timer.when())
        super()._run_once()  # type: ignore[misc]


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """One kind of request, and its rate over all VMs.

    Attributes
    ----------
    shared_tokens, own_tokens, output_tokens : int
        Tokens of the segment that it shares with others, of its own, and of the output.
    shared_prompts : int
        Number of different shared segments.
    rate : callable
        Returns the requests per second at a time since the start.
    """

    name: str
    priority: int
    target_s: float
    timeout_s: float
    rate: Callable[[float], float]
    own_tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0
    shared_prompts: int = 1
    generates: bool = True
    returns: int = 0

    def route(self) -> Route:
        return Route(
            name=self.name,
            host="h",
            prefix="/",
            repeat=Repeat.SAFE,
            streaming=self.generates,
            resumable=False,
            timeout_s=self.timeout_s,
            target_s=self.target_s,
            gap_target_s=0.8,
            max_attempts=1,
            priority=self.priority,
            public=True,
            generates=self.generates,
            services=(WeightedService(service=SERVICE, weight=1.0),),
        )


@dataclass(slots=True, kw_only=True)
class Outcome:
    """How one request of a caller ended.

    Attributes
    ----------
    first_s : float or None
        Time from its arrival to the first event or answer; None if it was refused.
    refused_s : float or None
        Time from its arrival to the refusal.
    attempt : int
        0 for a new request, 1 for one that returned after a refusal, and so on.
    """

    kind: str
    arrived_at: float
    attempt: int
    first_s: float | None = None
    refused_s: float | None = None
    early: bool = False


class Upstream:
    """Engine or plain upstream with slots; a run prefills, then decodes or works.

    Prefills run one after the other. Requests beyond the slots or the memory wait.
    """

    def __init__(self, *, slots: int, cache_tokens: int, work_s: float = 0.0) -> None:
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.work_s = work_s
        self.running = 0
        self.memory = 0
        self.prefill_until = 0.0
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.cached: OrderedDict[str, int] = OrderedDict()

    async def run(self, call: Call, on_first: Callable[[], None]) -> None:
        request = call.request
        tokens = request.prompt_tokens + request.output_tokens
        await self._acquire(tokens)
        loop = asyncio.get_running_loop()
        try:
            if call.route.generates:
                uncached = sum(
                    segment.tokens
                    for segment in request.prompt
                    if segment.segment_id not in self.cached
                )
                start = max(loop.time(), self.prefill_until)
                self.prefill_until = start + uncached / PREFILL_TOKENS_PER_S
                await asyncio.sleep(self.prefill_until - loop.time() + BASE_S)
                for segment in request.prompt[:-1]:
                    self.cached[segment.segment_id] = segment.tokens
                on_first()
                await asyncio.sleep(STEP_S * request.output_tokens)
            else:
                await asyncio.sleep(self.work_s)
                on_first()
        finally:
            self._release(tokens)

    async def _acquire(self, tokens: int) -> None:
        if self.waiting or not self._fits(tokens):
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append((tokens, future))
            await future
            return
        self.running += 1
        self.memory += tokens

    def _release(self, tokens: int) -> None:
        self.running -= 1
        self.memory -= tokens
        while self.waiting and self._fits(self.waiting[0][0]):
            tokens, future = self.waiting.popleft()
            self.running += 1
            self.memory += tokens
            future.set_result(None)

    def _fits(self, tokens: int) -> bool:
        if self.running == 0:
            return True
        if self.running >= self.slots:
            return False
        return not self.cache_tokens or self.memory + tokens <= self.cache_tokens


class _NoRecords:
    tables: tuple[str, ...] = ()


class Vm:
    """Decisions of one VM."""

    def __init__(
        self, *, model: "ServiceModel", name: str, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.view = ClusterView(
            records=_NoRecords(),  # type: ignore[arg-type]
            clock=clock,
            log=lambda *event, **fields: None,
        )
        self.view.configuration = model.configuration
        self.placer = Placer(
            view=self.view,
            data_centre="dc",
            weights_limit_s=60.0,
            clock=clock,
            rng=random.Random(model.rng.random()),
        )
        self.placer.fleet.vms = model.vms
        self.dispatcher = Dispatcher(placer=self.placer, clock=clock)
        self.tracker = CacheTracker(
            view=self.view, announce=model.announcer(self), clock=clock
        )
        self.returning: set[str] = set()


@dataclass(kw_only=True)
class ServiceModel:
    """A service of equal upstreams that several VMs share.

    Attributes
    ----------
    prepare : callable
        Called with each VM before the run, to replace a decision by a baseline.
    events : list of (float, callable)
        What happens at a time since the start.
    """

    kinds: list[Kind]
    upstreams: int
    slots: int
    seed: int
    seconds: float
    vms: int = 1
    cache_tokens: int = 0
    work_s: float = 0.0
    prepare: Callable[[Vm], None] = lambda vm: None
    events: list[tuple[float, Callable[["ServiceModel"], None]]] = field(
        default_factory=list
    )
    outcomes: list[Outcome] = field(default_factory=list)

    def run(self) -> list[Outcome]:
        """Play the load and return how each request ended."""
        run_virtual(self._play())
        return self.outcomes

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream from the registry of all VMs."""
        for vm in self.all_vms:
            vm.view.registry.remove(name, row_version=2, now=0.0)

    def announcer(self, sender: Vm) -> Callable[..., None]:
        """Return a function that tells the other VMs of segments after a while."""

        def announce(
            cache: str, namespace: str, segments: list[PromptSegment], for_s: float
        ) -> None:
            loop = asyncio.get_running_loop()
            for vm in self.all_vms:
                if vm is not sender:
                    loop.call_later(
                        REPORT_S, _apply_segments, vm, cache, namespace, segments, for_s
                    )

        return announce

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        self.rng = random.Random(self.seed)
        engine = None
        if self.cache_tokens:
            engine = EngineLimits(
                slots=self.slots,
                cache_tokens=self.cache_tokens,
                token_bytes=0.0,
                link_mbps=1.0,
                models=("m",),
            )
        service = Service(name=SERVICE, max_connections=100_000, engine=engine)
        self.configuration = RoutingConfiguration(
            version=1,
            limits=CallerLimits(
                header_bytes=1, body_bytes=1, header_timeout_s=3.0, idle_timeout_s=1.0
            ),
            services={SERVICE: service},
        )
        self.nodes: dict[str, Upstream] = {}
        self.all_vms: list[Vm] = []
        for number in range(self.vms):
            vm = Vm(model=self, name=f"vm{number}", clock=loop.time)
            self.prepare(vm)
            self.all_vms.append(vm)
        for number in range(self.upstreams):
            self._add_upstream(f"u{number}")
        started = loop.time()
        jobs = [asyncio.create_task(vm.dispatcher.run()) for vm in self.all_vms]
        if self.vms > 1:
            jobs.append(asyncio.create_task(self._report()))
        for at, event in self.events:
            loop.call_at(started + at, event, self)
        arrivals = [
            asyncio.create_task(self._arrive(kind, started, random.Random(number)))
            for number, kind in enumerate(self.kinds, start=1000 * self.seed)
        ]
        calls = [call for found in await asyncio.gather(*arrivals) for call in found]
        await asyncio.gather(*calls)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    def _add_upstream(self, name: str) -> None:
        self.nodes[name] = Upstream(
            slots=self.slots, cache_tokens=self.cache_tokens, work_s=self.work_s
        )
        instance = Instance(
            name=name,
            service=SERVICE,
            address=name,
            data_centre="dc",
            slots=self.slots,
            draining=False,
            started_ms=1,
            model_versions=(("m", 1),),
        )
        for vm in self.all_vms:
            vm.view.registry.apply_entry(instance, row_version=1)
            if self.cache_tokens:
                vm.view.caches.add_cache(name, capacity_tokens=0.75 * self.cache_tokens)

    async def _arrive(
        self, kind: Kind, started: float, rng: random.Random
    ) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < started + self.seconds:
            rate = kind.rate(loop.time() - started)
            if rate <= 0:
                await asyncio.sleep(0.02)
                continue
            await asyncio.sleep(rng.expovariate(rate))
            number = f"{kind.name}{len(tasks)}"
            shared = f"{kind.name}-shared{rng.randrange(kind.shared_prompts)}"
            tasks.append(asyncio.create_task(self._caller(kind, number, shared, rng)))
        return tasks

    async def _caller(
        self, kind: Kind, number: str, shared: str, rng: random.Random
    ) -> None:
        for attempt in range(1 + kind.returns):
            vm = rng.choice(self.all_vms)
            retry_after_s = await self._request(vm, kind, number, shared, attempt, rng)
            if retry_after_s is None:
                return
            await asyncio.sleep(retry_after_s)

    async def _request(
        self,
        vm: Vm,
        kind: Kind,
        number: str,
        shared: str,
        attempt: int,
        rng: random.Random,
    ) -> float | None:
        """Play one request; return its Retry-After time if it is refused."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        prompt = [PromptSegment(segment_id=number, tokens=kind.own_tokens)]
        if kind.shared_tokens:
            prompt.insert(
                0, PromptSegment(segment_id=shared, tokens=kind.shared_tokens)
            )
        request = InboundRequest(
            id=number,
            method="POST",
            target="/",
            host="h",
            headers=[],
            key=None,
            received_at=now,
            deadline=float("inf"),
            model="m" if kind.generates else None,
            prompt=prompt if kind.generates else [],
            prompt_tokens=kind.own_tokens + kind.shared_tokens,
            output_tokens=kind.output_tokens,
        )
        call = Call(
            request=request,
            route=kind.route(),
            organisation=None,
            service=SERVICE,
            configuration_version=1,
            target_at=now + kind.target_s,
            deadline=now + kind.timeout_s,
        )
        expires_at = min(call.deadline, call.caller_abandons_at)
        outcome = Outcome(kind=kind.name, arrived_at=now, attempt=attempt)
        self.outcomes.append(outcome)
        result = await vm.dispatcher.place(
            call,
            expires_at=expires_at - MIN_RUN_S[kind.generates],
            returning=attempt > 0,
        )
        if not isinstance(result, Placement):
            outcome.refused_s = loop.time() - now
            outcome.early = isinstance(result, Overloaded)
            if isinstance(result, Overloaded):
                return result.spread_retry_after_s(rng)
            return 0.25 + 0.35 * rng.random()
        await self._send(vm, call, result, outcome)
        return None

    async def _send(
        self, vm: Vm, call: Call, placement: Placement, outcome: Outcome
    ) -> None:
        loop = asyncio.get_running_loop()
        name, sent_at = placement.instance.name, loop.time()
        vm.tracker.attempt_started(placement)

        def record_first() -> None:
            outcome.first_s = loop.time() - call.request.received_at
            vm.view.loads.record_first_byte(name, call.key, now=loop.time())
            if placement.namespace is not None:
                vm.tracker.record_cached(name, placement.namespace, call)
            vm.dispatcher.schedule_assignment()

        await self.nodes[name].run(call, record_first)
        vm.view.loads.remove_work(name, call.key)
        vm.tracker.attempt_ended(call, placement, Delivered())
        vm.dispatcher.admission.record_answer(call, loop.time() - sent_at)
        vm.dispatcher.schedule_assignment()

    async def _report(self) -> None:
        """Tell all VMs of the loads of the others, late by one interval."""
        before: dict[str, dict[str, Load]] = {}
        while True:
            await asyncio.sleep(REPORT_S)
            now = asyncio.get_running_loop().time()
            for vm in self.all_vms:
                for other, loads in before.items():
                    if other != vm.name:
                        vm.view.loads.apply_changes(other, loads, now=now)
                vm.dispatcher.schedule_assignment()
            before = {
                vm.name: {name: vm.view.loads.own(name) for name in self.nodes}
                for vm in self.all_vms
            }


def _apply_segments(
    vm: Vm, cache: str, namespace: str, segments: list[PromptSegment], for_s: float
) -> None:
    caches = vm.view.caches
    if for_s > 0:
        until = asyncio.get_running_loop().time() + for_s
        caches.begin_prefill(cache, namespace=namespace, segments=segments, until=until)
    elif for_s == 0:
        caches.record_use(cache, namespace=namespace, segments=segments)


def share_in_target(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share of the requests of a kind whose first event came in time."""
    found = [item for item in outcomes if item.kind == kind.name]
    in_time = sum(
        1
        for item in found
        if item.first_s is not None and item.first_s <= kind.target_s
    )
    return in_time / max(1, len(found))


def share_served(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share of the requests of a kind that were served in their time."""
    found = [item for item in outcomes if item.kind == kind.name]
    served = sum(
        1
        for item in found
        if item.first_s is not None and item.first_s <= kind.timeout_s
    )
    return served / max(1, len(found))


def share_refused_late(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share that was refused after three quarters of its time."""
    found = [item for item in outcomes if item.kind == kind.name]
    late = sum(
        1
        for item in found
        if item.refused_s is not None and item.refused_s >= 0.75 * kind.timeout_s
    )
    return late / max(1, len(found))


def without_admission(vm: Vm) -> None:
    """Let calls wait until their deadline, as without admission control."""
    vm.dispatcher.admission.begin_waiting = (  # type: ignore[method-assign]
        lambda call, item: None
    )
    vm.dispatcher.admission.end_waiting = (  # type: ignore[method-assign]
        lambda item: None
    )
    vm.dispatcher.admission.review = (  # type: ignore[method-assign]
        lambda service, calls: []
    )
