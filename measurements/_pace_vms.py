"""VMs and upstreams of the pace model, around the product's own placement."""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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
    InstanceRemoved,
    Record,
)
from endivelug.forwarding.row_store import StoredRow
from endivelug.forwarding.shared_amounts import (
    Amounts,
    SharedAmounts,
    SharedAmountTable,
)
from endivelug.forwarding.upstream_connection import ResponseHead

if TYPE_CHECKING:
    from measurements._pace_model import PaceModel

REPORT_DELAY_S = 0.15
RELAY = "relay"
ATTEMPTS = 2


class Records:
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
        self.records = Records()
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
