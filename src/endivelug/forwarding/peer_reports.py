"""Applies the reports of peers to this VM's cluster view."""

from collections.abc import Callable

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.peer_messages import HeldPart, NoticeKind, RouterReport
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import Neighbour
from endivelug.forwarding.retry_budget import SharedRetryBudget

# Longest time for which a peer's notice is valid.
MAX_NOTICE_S = 5.0
# A notice to avoid an instance is ignored if the instance answered this VM within this
# time: only the peer's network path to it may be broken.
RECENT_ANSWER_S = 0.5


class PeerReportApplier:
    """Applies reports to the cluster view, the retry budget and the refused callers.

    Attributes
    ----------
    last_order_at : dict of str to float
        By instance, when a peer last had a weights order in progress there.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        budget: SharedRetryBudget,
        refused: RefusedCallers,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.budget = budget
        self.clock = clock
        self.refused = refused
        self.last_order_at: dict[str, float] = {}

    def apply(self, vm: str, neighbour: Neighbour, report: RouterReport) -> bool:
        """Apply a peer's report; return whether a relay should forward it at once."""
        now = self.clock()
        urgent = self._update_neighbour(neighbour, report, now)
        self.view.loads.apply_reports(vm, report.work, now=now)
        self.budget.apply_reports(vm, report.retries, vms=report.vms)
        self._apply_notices(vm, report, now)
        self._apply_weights(report)
        for segment in report.parts:
            self._apply_segment(segment, now)
        for item in report.desired_weights:
            self.view.apply_weights_age(item.model, item.version, age_s=item.age_s)
        return urgent

    def _update_neighbour(
        self, neighbour: Neighbour, report: RouterReport, now: float
    ) -> bool:
        """Store what relays forward; return whether any of it has changed."""
        neighbour.last_received_at = now
        neighbour.reported = True
        neighbour.is_relay = report.relay
        neighbour.vms = report.vms
        neighbour.relays = frozenset(report.relays)
        neighbour.registry_lost = report.registry_lost
        neighbour.rows_current_at = now - report.rows_age_s
        neighbour.lease_until = now + report.lease_s if report.lease_s > 0 else 0.0
        notices = {
            (notice.name, notice.kind): now + min(notice.for_s, MAX_NOTICE_S)
            for notice in report.notices
        }
        weights = tuple(report.weights)
        urgent = (
            notices.keys() != neighbour.notices.keys()
            or weights != neighbour.weights
            or any(segment.prefill_s for segment in report.parts)
        )
        neighbour.notices, neighbour.weights = notices, weights
        return urgent

    def _apply_notices(self, vm: str, report: RouterReport, now: float) -> None:
        for load in self.view.loads.loads.values():
            load.orders.pop(vm, None)
        for notice in report.notices:
            until = now + min(notice.for_s, MAX_NOTICE_S)
            match notice.kind:
                case NoticeKind.ORDER:
                    self.view.loads.of(notice.name).orders[vm] = until
                    self.last_order_at[notice.name] = now
                case NoticeKind.AVOID:
                    load = self.view.loads.of(notice.name)
                    if now - load.last_byte_at > RECENT_ANSWER_S:
                        load.avoid_until = max(load.avoid_until, until)
                case NoticeKind.STORE_GONE:
                    self.view.avoid_cache_store(notice.name, until)
                case NoticeKind.REFUSED:
                    self.refused.record_refusal(notice.name, retry_at=until, now=now)

    def _apply_segment(self, segment: HeldPart, now: float) -> None:
        caches = self.view.caches
        segments = [PromptSegment(segment_id=segment.part, tokens=segment.tokens)]
        if segment.prefill_s > 0:
            caches.begin_prefill(
                segment.holder,
                namespace=segment.namespace,
                segments=segments,
                until=now + segment.prefill_s,
            )
        elif segment.prefill_s < 0:
            caches.cancel_prefill(
                segment.holder, namespace=segment.namespace, segments=segments
            )
        else:
            caches.record_use(
                segment.holder, namespace=segment.namespace, segments=segments
            )

    def _apply_weights(self, report: RouterReport) -> None:
        for reported in report.weights:
            instance = self.view.registry.get(reported.instance)
            if instance is not None and instance.started_ms == reported.started_ms:
                self.view.observe_weights(
                    instance, reported.model, reported.version, from_peer=True
                )
