"""Simulated engines, plain upstreams and callers around the product's own decisions.

Queue, choice of the upstream, admission and estimates of load and cache are the
product's; only the upstreams, the callers and the time are simulated.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.calls import Call, Delivered
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.overload.control import Overloaded
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.routes import (
    CallerLimits,
    EngineLimits,
    RoutingConfiguration,
    Service,
)
from measurements._service_parts import (
    SERVICE,
    Kind,
    Outcome,
    Upstream,
    Vm,
)
from measurements._virtual_loop import run_virtual

REPORT_S = 0.2
# Shortest times that a call needs, as in the forwarder.
MIN_RUN_S = {True: 0.4, False: 0.1}


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
