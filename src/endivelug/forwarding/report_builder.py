"""Builds the reports to the neighbours from this VM's state and received reports.

A relay passes on the reports of its members to the other relays, and all reports to its
members. Nothing is passed from one relay to another, so that the work of each VM is
counted once.
"""

from collections.abc import Callable, Collection
from dataclasses import replace

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.neighbour import NO_MEMBER
from endivelug.forwarding.peer_messages import (
    EngineWeights,
    HeldPart,
    Mark,
    NoticeKind,
    RouterReport,
    TableVersion,
    WantedAge,
)
from endivelug.forwarding.report_stream import PendingNotice, ReportStream, Standing
from endivelug.forwarding.reported_amounts import Audience, ReportedAmounts
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.row_store import StoreVersion
from endivelug.forwarding.shared_amounts import SharedAmountTable

# Observed weights are reported for this long. After that the registry lists them,
# because the engine's next heartbeat carries the new version.
WEIGHTS_REPORTED_S = 2.5
# Age limit of reported announcements of desired weights; every VM treats older ones as
# expired anyway.
MAX_REPORTED_AGE_S = 60
# Lifetime of an order notice, and the interval at which it is repeated while the order
# is in progress.
ORDER_NOTICE_S = 1.0
ORDER_NOTICE_REPEAT_S = 0.4
# Interval at which expired notices and weights are dropped.
EXPIRE_S = 1.0


class ReportBuilder:
    """Builder of reports; stores the notices and observed weights of this VM.

    Parameters
    ----------
    lease_remaining_s : callable
        Returns the time for which this VM certainly holds the order lease.
    ordered_engines : callable
        Returns the engines at which this VM has an order in progress.

    Attributes
    ----------
    streams : dict of Audience to ReportStream
        What each audience has not been told yet.
    notices : dict of (str, NoticeKind) to (PendingNotice, bool)
        Notices in force, and whether they came from a relay.
    weights : dict of EngineWeights to (float, bool)
        Observed weights with the time until which they are reported, and whether they
        came from a relay.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        budget: SharedRetryBudget,
        shared: SharedAmountTable,
        lease_remaining_s: Callable[[], float],
        ordered_engines: Callable[[], list[str]],
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.budget = budget
        self.shared = shared
        self.amounts = ReportedAmounts(view=view, budget=budget, shared=shared)
        self.lease_remaining_s = lease_remaining_s
        self.ordered_engines = ordered_engines
        self.clock = clock
        self.streams = {audience: ReportStream() for audience in Audience}
        self.notices: dict[tuple[str, NoticeKind], tuple[PendingNotice, bool]] = {}
        self.weights: dict[EngineWeights, tuple[float, bool]] = {}
        self._expire_at = 0.0
        self._orders: dict[str, float] = {}

    def add_notice(
        self,
        name: str,
        kind: NoticeKind,
        *,
        until: float,
        origin: int = NO_MEMBER,
        from_relay: bool = False,
    ) -> None:
        """Add a notice of this VM, or one that it passes on."""
        notice = PendingNotice(name=name, kind=kind, until=until, origin=origin)
        self.notices[name, kind] = (notice, from_relay)
        for stream in self._streams_for(from_relay=from_relay):
            stream.notices.append(notice)

    def add_weights(self, observed: EngineWeights, *, from_relay: bool = False) -> None:
        """Add the observed weights of an engine."""
        until = self.clock() + WEIGHTS_REPORTED_S
        self.weights[observed] = (until, from_relay)
        for stream in self._streams_for(from_relay=from_relay):
            stream.weights.append(observed)

    def add_segments(
        self,
        segments: Collection[HeldPart],
        *,
        origin: int = NO_MEMBER,
        from_relay: bool = False,
    ) -> None:
        """Add changes to cached prompt segments."""
        segments = [replace(segment, origin=origin) for segment in segments]
        for stream in self._streams_for(from_relay=from_relay):
            stream.segments.extend(segments)

    def has_changes(self) -> bool:
        """Return whether the last reports have left something to be sent."""
        return any(stream.has_changes for stream in self.streams.values())

    def is_due(self, audience: Audience, standing: Standing) -> bool:
        """Return whether an audience has to be told anything before the heartbeat."""
        stream = self.streams[audience]
        return (
            stream.has_changes
            or stream.standing != standing
            or stream.tables != self.view.latest_versions
            or not stream.announced.issuperset(self._observed_announcements())
        )

    def collect_changes(self) -> None:
        """Move what has changed since the last call to the streams."""
        self._collect_orders()
        self.amounts.collect_retries(now=self.clock())
        if self.clock() >= self._expire_at:
            self._expire(self.clock())
        for stream in self.streams.values():
            stream.loads |= self.view.loads.neighbours.changed
            stream.retries |= self.budget.neighbours.changed
            stream.shared |= self.shared.neighbours.changed
        self.view.loads.neighbours.changed.clear()
        self.budget.neighbours.changed.clear()
        self.shared.neighbours.changed.clear()

    def build_changes(
        self, audience: Audience, standing: Standing, *, acknowledged: list[int]
    ) -> RouterReport:
        """Return the next report to an audience."""
        stream, now = self.streams[audience], self.clock()
        stream.sequence += 1
        stream.sent_at = now
        tables = _table_versions(
            {
                table: version
                for table, version in self.view.latest_versions.items()
                if stream.tables.get(table) != version
            }
        )
        stream.tables = dict(self.view.latest_versions)
        before, stream.standing = stream.standing, standing
        known = before is not None and before.relays == standing.relays
        report = RouterReport(
            sequence=stream.sequence,
            full=False,
            number=NO_MEMBER,
            acknowledged=acknowledged,
            relay=standing.relay,
            vms=self._vms(audience),
            relays=[] if known else list(standing.relays),
            registry_lost=standing.registry_lost,
            follows_store=standing.follows_store,
            rows_age_s=float(standing.rows_age_s),
            lease_s=round(self.lease_remaining_s(), 1),
            tables=tables,
            store_era=standing.store_era,
            configuration=standing.configuration,
            work=self.amounts.loads(audience, stream.loads),
            retries=self.amounts.retries(audience, stream.retries, now=now),
            amounts=self.amounts.amounts(audience, stream.shared),
            notices=[_mark(notice, now) for notice in stream.take_notices()],
            weights=list(stream.weights),
            parts=stream.take_segments(),
            desired_weights=self._desired_weights(now, known=stream.announced),
        )
        stream.announced.update(self._observed_announcements())
        stream.loads.clear()
        stream.retries.clear()
        stream.shared.clear()
        stream.weights.clear()
        return report

    def build_full(
        self,
        audience: Audience,
        standing: Standing,
        *,
        acknowledged: list[int],
        number: int,
    ) -> RouterReport:
        """Return a report with everything that the audience was told so far."""
        stream, now = self.streams[audience], self.clock()
        self._expire(now)
        members_only = audience is Audience.RELAYS
        return RouterReport(
            sequence=stream.sequence,
            full=True,
            number=number,
            acknowledged=acknowledged,
            relay=standing.relay,
            vms=self._vms(audience),
            relays=list(standing.relays),
            registry_lost=standing.registry_lost,
            follows_store=standing.follows_store,
            rows_age_s=float(standing.rows_age_s),
            lease_s=round(self.lease_remaining_s(), 1),
            tables=_table_versions(self.view.latest_versions),
            store_era=standing.store_era,
            configuration=standing.configuration,
            work=self.amounts.all_loads(audience),
            retries=self.amounts.all_retries(audience, now=now),
            amounts=self.amounts.all_amounts(audience),
            notices=[
                _mark(notice, now)
                for notice, from_relay in self.notices.values()
                if not (from_relay and members_only)
            ],
            weights=[
                observed
                for observed, (_, from_relay) in self.weights.items()
                if not (from_relay and members_only)
            ],
            parts=[],
            desired_weights=self._desired_weights(now, known=set()),
        )

    def build_greeting(self, standing: Standing) -> RouterReport:
        """Return the first report on a link, before the peer's role is known."""
        return RouterReport(
            sequence=0,
            full=False,
            number=NO_MEMBER,
            acknowledged=[],
            relay=standing.relay,
            vms=1,
            relays=list(standing.relays),
            registry_lost=standing.registry_lost,
            follows_store=standing.follows_store,
            rows_age_s=float(standing.rows_age_s),
            lease_s=round(self.lease_remaining_s(), 1),
            tables=[],
            store_era=standing.store_era,
            configuration=standing.configuration,
            work=[],
            retries=[],
            amounts=[],
            notices=[],
            weights=[],
            parts=[],
            desired_weights=[],
        )

    def _streams_for(self, *, from_relay: bool) -> list[ReportStream]:
        if from_relay:
            return [self.streams[Audience.MEMBERS]]
        return list(self.streams.values())

    def _collect_orders(self) -> None:
        """Announce orders that begin, go on or have ended."""
        now = self.clock()
        ordered = self.ordered_engines()
        for name in ordered:
            if now >= self._orders.get(name, 0.0) + ORDER_NOTICE_REPEAT_S:
                self._orders[name] = now
                self.add_notice(name, NoticeKind.ORDER, until=now + ORDER_NOTICE_S)
        for name in [name for name in self._orders if name not in ordered]:
            del self._orders[name]
            self.add_notice(name, NoticeKind.ORDER, until=now)

    def _vms(self, audience: Audience) -> int:
        represented = self.budget.represented_vms
        relays = self.budget.neighbours.relays
        return 1 + sum(
            count
            for vm, count in represented.items()
            if audience is Audience.MEMBERS or vm not in relays
        )

    def _observed_announcements(self) -> list[tuple[str, int]]:
        """Return the announced versions of which this VM knows the age."""
        return [
            (model, version)
            for model, desired in self.view.desired_weights.items()
            for version, announced in desired.announced.items()
            if announced.observed
        ]

    def _desired_weights(
        self, now: float, *, known: set[tuple[str, int]]
    ) -> list[WantedAge]:
        return [
            WantedAge(model=model, version=version, age_s=age_s)
            for model, desired in self.view.desired_weights.items()
            for version, announced in desired.announced.items()
            if announced.observed
            and (model, version) not in known
            and (age_s := now - announced.announced_at) < MAX_REPORTED_AGE_S
        ]

    def _expire(self, now: float) -> None:
        self._expire_at = now + EXPIRE_S
        self.notices = {
            key: item for key, item in self.notices.items() if item[0].until > now
        }
        self.weights = {
            observed: item for observed, item in self.weights.items() if item[0] > now
        }


def engine_weights(instance: Instance, model: str, version: int) -> EngineWeights:
    """Return the message for the observed weights of an engine."""
    return EngineWeights(
        instance=instance.name,
        started_ms=instance.started_ms,
        model=model,
        version=version,
    )


def _table_versions(versions: dict[str, StoreVersion]) -> list[TableVersion]:
    return [
        TableVersion(table=table, version=version.number, era=version.era)
        for table, version in versions.items()
    ]


def _mark(notice: PendingNotice, now: float) -> Mark:
    return Mark(
        name=notice.name,
        kind=str(notice.kind),
        for_s=round(max(0.0, notice.until - now), 2),
        origin=notice.origin,
    )
