"""Model of VMs that send plain calls to upstreams which start, fail and come back.

The VMs use the product's placement with its pace, load table and shared amounts. Time
advances in steps; reports carry sums and arrive late. An upstream shares its capacity
among its requests, and has a part of it until it is warm.
"""

import random
from collections.abc import Callable

from endivelug.forwarding.calls import Call
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.pace.slow_starts import SlowStarts
from endivelug.forwarding.pace.upstream_pace import ROUND_S
from endivelug.forwarding.records import (
    ConfigurationRecord,
    InstanceRecord,
    InstanceRemoved,
    Record,
)
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.routes import (
    CallerLimits,
    Repeat,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from endivelug.forwarding.shared_amounts import (
    Amounts,
)
from measurements._pace_vms import (
    ATTEMPTS,
    REPORT_DELAY_S,
    Ended,
    Records,
    Sent,
    Upstream,
    Vm,
)

STEP_S = 0.02
REPORT_INTERVAL_S = 0.1
SERVICE = "desk"
FAILURE_S = 0.02
FULL_USE = 0.8


class PaceModel:
    """VMs, upstreams and callers of one service in simulated time.

    Parameters
    ----------
    reports_lost : float
        Share of the reports that do not arrive.
    """

    def __init__(
        self,
        *,
        vms: int,
        requests_per_s: float,
        kind: type[SlowStarts] = SlowStarts,
        target_s: float = 1.0,
        timeout_s: float = 3.0,
        reports_lost: float = 0.0,
        report_delay_s: float = REPORT_DELAY_S,
        seed: int = 1,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 100.0
        self.clock: Callable[[], float] = lambda: self.now
        self.vm_count = vms
        self.requests_per_s = requests_per_s
        self.target_s = target_s
        self.timeout_s = timeout_s
        self.reports_lost = reports_lost
        self.report_delay_s = report_delay_s
        self.upstreams: dict[str, Upstream] = {}
        self.owner: dict[str, Vm] = {}
        self.ends: list[Ended] = []
        self.peak: dict[str, int] = {}
        self.notices: list[tuple[float, Vm, str, float]] = []
        self.version = 0
        self.calls = 0
        self._addresses: dict[str, str] = {}
        self._due = 0.0
        self._report_at = 0.0
        self.route = _route(target_s, timeout_s)
        self.vms = [Vm(self, f"vm{number}", kind) for number in range(vms)]
        self._apply(
            ConfigurationRecord(configuration=_configuration(self.route)), "config"
        )

    def add(self, upstream: Upstream) -> Upstream:
        """Register an upstream, or a new start or state of it."""
        known = self.upstreams.get(upstream.name)
        if known is not None and known is not upstream:
            for sent in known.running:
                vm = self.owner.pop(sent.call.key)
                vm.ended(sent.call, known.name, outcome="lost")
        self.upstreams[upstream.name] = upstream
        instance = Instance(
            name=upstream.name,
            service=SERVICE,
            address=self._addresses.setdefault(
                upstream.name, f"127.0.0.1:{1 + len(self._addresses)}"
            ),
            data_centre="dc1",
            slots=upstream.slots,
            draining=upstream.draining,
            started_ms=max(0, round(upstream.started_at * 1000)),
        )
        self._apply(InstanceRecord(instance=instance), upstream.name)
        return upstream

    def load_tables(self) -> None:
        """Mark the tables as read; what registers later has just started."""
        for vm in self.vms:
            vm.view.loaded_tables.update(Records.tables)
            vm.pace.created_at = self.now - 60.0

    def remove(self, name: str) -> None:
        """Remove an upstream; its requests are lost."""
        upstream = self.upstreams.pop(name)
        self._apply(InstanceRemoved(name=name), name)
        for sent in upstream.running:
            vm = self.owner.pop(sent.call.key)
            vm.ended(sent.call, name, outcome="lost")

    def crash(self, name: str, *, until: float) -> None:
        """Stop an upstream whose requests are lost, and which comes back."""
        upstream = self.upstreams[name]
        upstream.down_until = until
        for sent in upstream.running:
            vm = self.owner.pop(sent.call.key)
            vm.ended(sent.call, name, outcome="lost")
        upstream.running.clear()

    def run(self, seconds: float, *, traffic: bool = True) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_S
            self._exchange()
            if traffic:
                self._arrive()
            for upstream in list(self.upstreams.values()):
                self._work(upstream)
            for vm in self.vms:
                if vm.waiting:
                    vm.try_waiting()
                if self.now >= vm.round_at:
                    vm.round_at += ROUND_S
                    vm.pace.exchange()
            for name, upstream in self.upstreams.items():
                running = len(upstream.running)
                self.peak[name] = max(self.peak.get(name, 0), running)

    def record_end(self, call: Call, *, answered: bool) -> None:
        """Record the end of a call."""
        after_s = self.now - call.request.received_at
        self.ends.append(
            Ended(
                arrived_at=call.request.received_at,
                after_s=after_s,
                answered=answered,
            )
        )

    def lost_and_late(self, since: float, until: float) -> tuple[int, int, int]:
        """Return the calls of a time, and those of them that were lost or late."""
        ends = [item for item in self.ends if since <= item.arrived_at < until]
        lost = sum(not item.answered for item in ends)
        late = sum(item.answered and item.after_s > self.target_s for item in ends)
        return len(ends), lost, late

    def full_use_s(self, name: str, since: float) -> float | None:
        """Return when an upstream first served its part of the calls, in half seconds.

        Its part is ``FULL_USE`` of an equal share of all upstreams.
        """
        upstream = self.upstreams[name]
        needed = FULL_USE * self.requests_per_s / len(self.upstreams) * 0.5
        for number in range(60):
            begin = since + 0.25 * number
            served = sum(
                good and begin <= at < begin + 0.5 for at, good in upstream.ended
            )
            if served >= needed:
                return 0.25 * number
        return None

    def _apply(self, record: Record, key: str) -> None:
        self.version += 1
        for vm in self.vms:
            vm.apply(record, key, self.version)

    def _arrive(self) -> None:
        self._due += self.requests_per_s * STEP_S
        while self._due >= 1.0:
            self._due -= 1.0
            self.calls += 1
            vm = self.rng.choice(self.vms)
            vm.waiting.append(self._call())

    def _call(self) -> Call:
        request = InboundRequest(
            id=f"q{self.calls}",
            method="GET",
            target="/x",
            host="h",
            headers=[],
            key=None,
            received_at=self.now,
            deadline=self.now + self.timeout_s,
        )
        return Call(
            request=request,
            route=self.route,
            organisation=None,
            service=SERVICE,
            configuration_version=1,
            target_at=self.now + self.target_s,
            deadline=request.deadline,
        )

    def _work(self, upstream: Upstream) -> None:
        if not upstream.running:
            return
        failing = self.now < upstream.fails_until
        share = min(1.0, upstream.capacity(self.now) / len(upstream.running))
        done: list[tuple[Sent, str]] = []
        kept = []
        for sent in upstream.running:
            sent.left -= share * STEP_S / upstream.base_s
            if failing and self.now >= sent.sent_at + FAILURE_S:
                done.append((sent, "failed"))
            elif sent.left <= 0:
                done.append((sent, "good"))
            elif self.now >= sent.call.deadline:
                done.append((sent, "lost"))
            else:
                kept.append(sent)
        upstream.running = kept
        for sent, outcome in done:
            upstream.ended.append((self.now, outcome == "good"))
            vm = self.owner.pop(sent.call.key)
            vm.ended(sent.call, upstream.name, outcome=outcome)

    def _exchange(self) -> None:
        """Deliver the sums of all VMs, some time after they were taken."""
        if self.now >= self._report_at:
            self._report_at = self.now + REPORT_INTERVAL_S
            self._take_reports()
        for vm in self.vms:
            while vm.reports and vm.reports[0][0] <= self.now:
                _, loads, amounts = vm.reports.popleft()
                if self.rng.random() >= self.reports_lost:
                    vm.apply_report(loads, amounts)
        due = [item for item in self.notices if item[0] <= self.now]
        self.notices = [item for item in self.notices if item[0] > self.now]
        for _, origin, name, for_s in due:
            for vm in self.vms:
                if vm is not origin:
                    vm.take_notice(name, for_s)

    def _take_reports(self) -> None:
        """Send each VM the sums of the others; the delays of the VMs differ."""
        names = list(self.upstreams)
        totals = dict.fromkeys(names, Load())
        sums: dict[str, Amounts] = {}
        for vm in self.vms:
            for name in names:
                totals[name] = totals[name].plus(vm.view.loads.own(name))
            for key, values in vm.shared.own.items():
                sums[key] = sums.get(key, Amounts()).plus(values)
        for vm in self.vms:
            own = vm.view.loads.own
            loads = {name: totals[name].minus(own(name)) for name in names}
            amounts = {key: sums[key].minus(vm.shared.own_of(key)) for key in sums}
            vm.reports.append((self.now + vm.report_delay_s, loads, amounts))


def _route(target_s: float, timeout_s: float) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        repeat=Repeat.SAFE,
        streaming=False,
        resumable=False,
        timeout_s=timeout_s,
        target_s=target_s,
        gap_target_s=0.0,
        max_attempts=ATTEMPTS,
        priority=1,
        public=True,
        generates=False,
        services=(WeightedService(service=SERVICE, weight=1.0),),
    )


def _configuration(route: Route) -> RoutingConfiguration:
    configuration = RoutingConfiguration(
        version=1,
        limits=CallerLimits(
            header_bytes=16384,
            body_bytes=4194304,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
        services={SERVICE: Service(name=SERVICE, max_connections=10**6, engine=None)},
    )
    configuration.add_route(route)
    return configuration
