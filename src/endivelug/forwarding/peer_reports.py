"""Applies the reports of peers to this VM's cluster view."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instance_load import load_of_report
from endivelug.forwarding.neighbour import NO_MEMBER, Neighbour
from endivelug.forwarding.neighbour_sums import (
    Amount,
    NeighbourSums,
    RetryCount,
    SentAmounts,
)
from endivelug.forwarding.peer_messages import (
    EngineWeights,
    HeldPart,
    Mark,
    NoticeKind,
    RouterReport,
    incarnation_of,
)
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import MAX_REPORTED_AGE_S, ReportBuilder
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.row_store import StoreVersion
from endivelug.forwarding.shared_amounts import Amounts, SharedAmountTable

# Longest time for which a peer's notice is valid.
MAX_NOTICE_S = 5.0
# A notice to avoid an instance is ignored if the instance answered this VM within this
# time: only the peer's network path to it may be broken.
RECENT_ANSWER_S = 0.5

NOTICE_KINDS = frozenset(NoticeKind)

Item = TypeVar("Item", Mark, HeldPart)


class PeerReportApplier:
    """Applies reports to the cluster view, the retry budget and the refused callers.

    Parameters
    ----------
    builder : ReportBuilder
        Gets what this VM passes on, if it is a relay.

    Attributes
    ----------
    last_order_at : dict of str to float
        By instance, when a peer last had a weights order in progress there.
    on_limit_notice : callable
        Called with the name of a notice on a stated limit and its remaining lifetime.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        budget: SharedRetryBudget,
        shared: SharedAmountTable,
        refused: RefusedCallers,
        builder: ReportBuilder,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.budget = budget
        self.shared = shared
        self.builder = builder
        self.clock = clock
        self.refused = refused
        self.last_order_at: dict[str, float] = {}
        self.on_limit_notice: Callable[[str, float], None] = lambda name, for_s: None

    def apply(
        self, vm: str, neighbour: Neighbour, report: RouterReport, *, forwards: bool
    ) -> bool:
        """Apply a peer's report; return whether to pass it on at once.

        Parameters
        ----------
        forwards : bool
            Whether this VM is a relay that passes on the reports of others.
        """
        self._update_neighbour(neighbour, report)
        self.view.eras.hear(report.store_era, peer=vm)
        for version in neighbour.tables.values():
            # Logs one that cannot be used; the versions are checked when they are.
            self.view.eras.accepts(version.era, peer=vm)
        is_upstream = neighbour.is_relay or not forwards
        self.set_upstream(vm, is_upstream)
        self.budget.represented_vms[vm] = neighbour.vms
        if self._is_next(neighbour, report):
            self._apply_amounts(vm, neighbour, report)
        known_kinds = [item for item in report.notices if item.kind in NOTICE_KINDS]
        notices = _from_others(known_kinds, neighbour)
        segments = _from_others(report.parts, neighbour)
        self._apply_notices(vm, notices)
        news = [item for item in report.weights if self._is_news(item)]
        for item in news:
            self._apply_weights(item)
        for segment in segments:
            self._apply_segment(segment)
        for aged in report.desired_weights:
            announced_at = self.clock() - aged.age_s
            neighbour.announcements[aged.model, aged.version] = announced_at
        self.apply_announcements(neighbour)
        if not forwards:
            return False
        self._forward(neighbour, notices, segments, news)
        urgent_notices = any(item.kind != NoticeKind.REFUSED for item in notices)
        prefills = any(segment.prefill_s for segment in segments)
        return bool(urgent_notices or news or prefills)

    def apply_announcements(self, neighbour: Neighbour) -> None:
        """Apply when desired weights were announced, once this VM knows them."""
        now, unknown = self.clock(), {}
        for (model, version), announced_at in neighbour.announcements.items():
            desired = self.view.desired_weights.get(model)
            if desired is not None and version <= desired.version:
                age_s = now - announced_at
                self.view.apply_weights_age(model, version, age_s=age_s)
            elif now - announced_at < MAX_REPORTED_AGE_S:
                unknown[model, version] = announced_at
        neighbour.announcements = unknown

    def set_upstream(self, vm: str, is_upstream: bool) -> None:
        """Set whether the amounts of a neighbour are not passed on to relays."""
        self.view.loads.neighbours.set_relay(vm, is_upstream)
        self.budget.neighbours.set_relay(vm, is_upstream)
        self.shared.neighbours.set_relay(vm, is_upstream)

    def _update_neighbour(self, neighbour: Neighbour, report: RouterReport) -> None:
        now = self.clock()
        neighbour.last_received_at = now
        neighbour.reported = True
        neighbour.is_relay = report.relay
        if report.full:
            neighbour.own_number = report.number
        # A relay counts its members, one of which is this VM.
        is_member = neighbour.own_number != NO_MEMBER
        neighbour.vms = max(1, report.vms - 1) if is_member else report.vms
        if report.relays or not report.relay:
            neighbour.relays = frozenset(report.relays)
        neighbour.registry_lost = report.registry_lost
        neighbour.follows_store = report.follows_store
        neighbour.rows_current_at = now - report.rows_age_s
        neighbour.lease_until = now + report.lease_s if report.lease_s > 0 else 0.0
        neighbour.configuration = report.configuration
        for item in report.tables:
            neighbour.tables[item.table] = StoreVersion(
                era=item.era, number=item.version
            )

    def _is_next(self, neighbour: Neighbour, report: RouterReport) -> bool:
        """Return whether the amounts of a report follow those already applied."""
        received = neighbour.received_sequence
        if report.full or (received and report.sequence == received + 1):
            neighbour.received_sequence = report.sequence
            neighbour.missed = False
            return True
        neighbour.missed = report.sequence > received
        return False

    def _apply_amounts(
        self, vm: str, neighbour: Neighbour, report: RouterReport
    ) -> None:
        acknowledged = 0
        if 0 <= neighbour.own_number < len(report.acknowledged):
            acknowledged = report.acknowledged[neighbour.own_number]
            neighbour.acknowledge(acknowledged)
        loads = _changes(
            self.view.loads.neighbours,
            vm,
            stated=neighbour.stated_loads,
            changed={item.instance: load_of_report(item) for item in report.work},
            full=report.full,
            sent=neighbour.sent_loads,
            acknowledged=acknowledged,
        )
        self.view.loads.apply_changes(vm, loads, now=self.clock())
        retries = _changes(
            self.budget.neighbours,
            vm,
            stated=neighbour.stated_retries,
            changed={
                item.service: RetryCount(item.requests, item.retries)
                for item in report.retries
            },
            full=report.full,
            sent=neighbour.sent_retries,
            acknowledged=acknowledged,
        )
        for service, count in retries.items():
            self.budget.neighbours.set(vm, service, count)
        shared = _changes(
            self.shared.neighbours,
            vm,
            stated=neighbour.stated_shared,
            changed={item.key: Amounts.of(item.values) for item in report.amounts},
            full=report.full,
            sent=neighbour.sent_shared,
            acknowledged=acknowledged,
        )
        for key, values in shared.items():
            self.shared.set_neighbour(vm, key, values)

    def _apply_notices(self, vm: str, notices: list[Mark]) -> None:
        now = self.clock()
        for notice in notices:
            until = now + min(notice.for_s, MAX_NOTICE_S)
            match notice.kind:
                case NoticeKind.ORDER:
                    orders = self.view.loads.of(notice.name).orders
                    if notice.for_s > 0:
                        orders[vm] = until
                    else:
                        orders.pop(vm, None)
                    self.last_order_at[notice.name] = now
                case NoticeKind.AVOID:
                    load = self.view.loads.of(notice.name)
                    if now - load.last_byte_at > RECENT_ANSWER_S:
                        load.avoid_until = max(load.avoid_until, until)
                        self.view.on_avoided(notice.name, until - now)
                case NoticeKind.STORE_GONE:
                    self.view.avoid_cache_store(notice.name, until)
                case NoticeKind.REFUSED:
                    self.refused.record_refusal(notice.name, retry_at=until, now=now)
                case NoticeKind.LEAVING:
                    incarnation = incarnation_of(notice.name)
                    if incarnation is not None:
                        self.view.record_leaving(*incarnation, from_peer=True)
                case NoticeKind.LIMIT:
                    self.on_limit_notice(notice.name, notice.for_s)

    def _apply_segment(self, segment: HeldPart) -> None:
        caches = self.view.caches
        segments = [PromptSegment(segment_id=segment.part, tokens=segment.tokens)]
        if segment.prefill_s > 0:
            caches.begin_prefill(
                segment.holder,
                namespace=segment.namespace,
                segments=segments,
                until=self.clock() + segment.prefill_s,
            )
        elif segment.prefill_s < 0:
            caches.cancel_prefill(
                segment.holder, namespace=segment.namespace, segments=segments
            )
        else:
            caches.record_use(
                segment.holder, namespace=segment.namespace, segments=segments
            )

    def _is_news(self, reported: EngineWeights) -> bool:
        """Return whether this VM does not know yet of these weights."""
        instance = self.view.registry.get(reported.instance)
        if instance is None or instance.started_ms != reported.started_ms:
            return False
        known = self.view.weights_of(instance, reported.model)
        return known is None or known < reported.version

    def _apply_weights(self, reported: EngineWeights) -> None:
        instance = self.view.registry.get(reported.instance)
        assert instance is not None
        self.view.observe_weights(
            instance, reported.model, reported.version, from_peer=True
        )

    def _forward(
        self,
        neighbour: Neighbour,
        notices: list[Mark],
        segments: list[HeldPart],
        weights: list[EngineWeights],
    ) -> None:
        now, from_relay, origin = self.clock(), neighbour.is_relay, neighbour.number
        for notice in notices:
            self.builder.add_notice(
                notice.name,
                NoticeKind(notice.kind),
                until=now + min(notice.for_s, MAX_NOTICE_S),
                origin=origin,
                from_relay=from_relay,
            )
        if segments:
            self.builder.add_segments(segments, origin=origin, from_relay=from_relay)
        for observed in weights:
            self.builder.add_weights(observed, from_relay=from_relay)


def _from_others(items: Iterable[Item], neighbour: Neighbour) -> list[Item]:
    """Return the items that did not come from this VM itself."""
    if neighbour.own_number == NO_MEMBER:
        return list(items)
    return [item for item in items if item.origin != neighbour.own_number]


def _changes(
    sums: NeighbourSums[Amount],
    vm: str,
    *,
    stated: dict[str, Amount],
    changed: dict[str, Amount],
    full: bool,
    sent: SentAmounts[Amount],
    acknowledged: int,
) -> dict[str, Amount]:
    """Return the changed amounts from those that a neighbour states.

    What this VM has reported to the neighbour itself, if that is its relay, is
    subtracted.
    """
    keys = set(changed)
    if full:
        keys.update(stated, sums.amounts.get(vm, ()))
        stated.clear()
    stated.update(changed)
    keys |= sent.acknowledge(acknowledged)
    return {key: sent.subtract(key, stated.get(key, sums.zero)) for key in keys}
