"""Model of VMs that send plain calls to upstreams which start, fail and come back.

The VMs use the product's placement with its pace, load table and shared amounts. Time
advances in steps; reports carry sums and arrive late. An upstream shares its capacity
among its requests, and has a part of it until it is warm.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.calls import Call, Failed, Lost, NotSent
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.forwarder import (
    FAILED_AVOID_S,
    FAILURES_TO_AVOID,
    UNREACHABLE_AVOID_S,
)
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.pace.controller import Cause, WorkSize
from endivelug.forwarding.pace.slow_starts import SlowStarts
from endivelug.forwarding.pace.upstream_pace import ROUND_S
from endivelug.forwarding.peer_reports import RECENT_ANSWER_S
from endivelug.forwarding.placement import Placement, Placer
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
from endivelug.forwarding.row_store import StoredRow
from endivelug.forwarding.shared_amounts import (
    Amounts,
    SharedAmounts,
    SharedAmountTable,
)
from endivelug.forwarding.upstream_connection import ResponseHead

STEP_S = 0.02
REPORT_INTERVAL_S = 0.1
REPORT_DELAY_S = 0.15
SERVICE = "desk"
RELAY = "relay"
FAILURE_S = 0.02
ATTEMPTS = 2
FULL_USE = 0.8


class _Records:
    """Decoder of rows whose record the model keeps itself."""

    tables = ("op", "servers")
    instance_table = "servers"

    def __init__(self) -> None:
        self.records: dict[int, Record] = {}

    def decode(self, row: StoredRow) -> Record:
        return self.records[row.version]


@dataclass(slots=True, kw_only=True)
class Upstream:
    """An upstream with a number of slots.

    Attributes
    ----------
    warm_s : float
        Time from its start until it has its whole capacity.
    cold_share : float
        Share of its capacity that it has at its start.
    fails_until : float
        Time until which it answers every request with an error.
    down_until : float
        Time until which it accepts no connection.
    """

    name: str
    started_at: float = -1e6
    slots: int = 16
    base_s: float = 0.4
    warm_s: float = 0.0
    cold_share: float = 0.1
    fails_until: float = float("-inf")
    down_until: float = float("-inf")
    draining: bool = False
    running: list["Sent"] = field(default_factory=list)
    ended: list[tuple[float, bool]] = field(default_factory=list)

    def capacity(self, now: float) -> float:
        """Return how many requests it can run at full speed."""
        age_s = now - self.started_at
        if age_s >= self.warm_s:
            return float(self.slots)
        share = self.cold_share + (1 - self.cold_share) * age_s / self.warm_s
        return self.slots * share


@dataclass(slots=True, kw_only=True)
class Sent:
    """A request at an upstream."""

    call: Call
    sent_at: float
    left: float = 1.0


@dataclass(slots=True, kw_only=True)
class Ended:
    """How one call ended."""

    arrived_at: float
    after_s: float
    answered: bool


class NoSlowStart(SlowStarts):
    """Baseline: no upstream is limited."""

    def _begin(self, instance: Instance, cause: Cause) -> None:
        pass


class FixedRamp(SlowStarts):
    """Baseline: the limit grows with time alone, over 5 s."""

    RAMP_S = 5.0

    def held_back(self, service: str, sizes: dict[str, WorkSize]) -> set[str]:
        for name, start in list(self.controller.starts.items()):
            age_s = self.clock() - start.began_at
            start.limit = max(1.0, start.slots * age_s / self.RAMP_S)
            start.failed_at, start.answers = float("-inf"), 1
            self._end_if_warm(name, start, self.clock())
        cold = self.controller.starts
        if all(name in cold for name in sizes):
            return set()
        return super().held_back(service, sizes)


class Vm:
    """One VM: the product's placement, and what the forwarder does with outcomes."""

    def __init__(self, model: "PaceModel", name: str, kind: type[SlowStarts]) -> None:
        self.model = model
        self.records = _Records()
        self.view = ClusterView(records=self.records, clock=model.clock, log=self._log)
        rng = random.Random(f"{model.seed}/{name}")
        self.placer = Placer(
            view=self.view,
            data_centre="dc1",
            weights_limit_s=10.0,
            clock=model.clock,
            rng=rng,
        )
        self.placer.fleet.vms = model.vm_count
        self.placer.fleet.requests_per_s = lambda service: model.requests_per_s
        self.pace = kind(
            view=self.view, traffic=self.placer.fleet, clock=model.clock, rng=rng
        )
        self.placer.pace.slow_starts = self.pace
        self.shared = SharedAmountTable()
        self.pace.evidence = SharedAmounts(kind="pace", table=self.shared)
        self.pace.share = lambda service: 1.0 / model.vm_count
        self.waiting: deque[Call] = deque()
        self.round_at = model.now + rng.random() * ROUND_S
        self.changes: list[str] = []
        self.report_delay_s = model.report_delay_s * rng.uniform(0.5, 1.5)
        self.reports: deque[tuple[float, dict[str, Load], dict[str, Amounts]]] = deque()

    def _log(self, event: str, **fields: object) -> None:
        if event == "pace-changed":
            self.changes.append(str(fields["why"]))

    def apply(self, record: Record, key: str, version: int) -> None:
        """Apply a row."""
        self.records.records[version] = record
        table = "op" if isinstance(record, ConfigurationRecord) else "servers"
        removed = isinstance(record, InstanceRemoved)
        row = StoredRow(
            table=table, key=key, value=b"", version=version, removed=removed
        )
        self.view.apply([row], source="store")

    def try_waiting(self) -> None:
        """Send what can be sent, and give up calls whose time is over."""
        now = self.model.now
        for _ in range(len(self.waiting)):
            call = self.waiting.popleft()
            if now >= call.deadline:
                self.model.record_end(call, answered=False)
                continue
            placement = self.placer.place(call)
            if isinstance(placement, Placement):
                self._send(call, placement.instance.name)
            else:
                self.waiting.append(call)

    def _send(self, call: Call, name: str) -> None:
        now = self.model.now
        self.pace.record_sent(name)
        self.view.loads.add_work(name, Work(request=call.key, sent_at=now))
        upstream = self.model.upstreams[name]
        if now < upstream.down_until:
            self.view.loads.remove_work(name, call.key)
            self.pace.record_ended(name)
            self.pace.record_failure(name, NotSent(reason="refused"))
            self._avoid(name, UNREACHABLE_AVOID_S)
            self.waiting.append(call)
            return
        call.runs += 1
        upstream.running.append(Sent(call=call, sent_at=now))
        self.model.owner[call.key] = self

    def _avoid(self, name: str, for_s: float) -> None:
        load = self.view.loads.of(name)
        load.avoid_until = max(load.avoid_until, self.model.now + for_s)
        self.view.on_avoided(name, for_s)
        self.model.notices.append((self.model.now + REPORT_DELAY_S, self, name, for_s))

    def apply_report(self, loads: dict[str, Load], amounts: dict[str, Amounts]) -> None:
        """Apply the sums of the other VMs."""
        self.view.loads.apply_changes(RELAY, loads, now=self.model.now)
        known = self.shared.neighbours.amounts.get(RELAY, {})
        for key in set(known) | set(amounts):
            self.shared.neighbours.set(RELAY, key, amounts.get(key, Amounts()))

    def take_notice(self, name: str, for_s: float) -> None:
        """Apply another VM's notice to avoid an upstream."""
        load = self.view.loads.of(name)
        if self.model.now - load.last_byte_at > RECENT_ANSWER_S:
            until = self.model.now + for_s
            load.avoid_until = max(load.avoid_until, until)
            self.view.on_avoided(name, for_s)

    def ended(self, call: Call, name: str, *, outcome: str) -> None:
        """Record the end of an attempt."""
        self.pace.record_ended(name)
        now, load = self.model.now, self.view.loads.of(name)
        work = load.work.get(call.key)
        if outcome == "good":
            if work is not None:
                self.pace.record_first_byte(call, name, work)
            self.view.loads.record_first_byte(name, call.key, now=now)
            self.view.loads.remove_work(name, call.key)
            self.model.record_end(call, answered=True)
            return
        self.view.loads.remove_work(name, call.key)
        head = ResponseHead(status=500, reason="", headers=[])
        lost = Lost(reason="reset", closed=True)
        failed = Failed(head=head, body=b"")
        self.pace.record_failure(name, lost if outcome == "lost" else failed)
        load.failures += 1
        call.excluded_instances.add(name)
        if load.failures >= FAILURES_TO_AVOID:
            self._avoid(name, FAILED_AVOID_S)
        if call.runs < ATTEMPTS:
            self.waiting.append(call)
        else:
            self.model.record_end(call, answered=False)


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
            vm.view.loaded_tables.update(_Records.tables)
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
