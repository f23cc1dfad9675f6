"""Takes what a peer reports into this VM's view."""

from collections.abc import Callable

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.peer_messages import HeldPart, NoticeKind, RouterReport
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import Neighbour
from endivelug.forwarding.retry_budget import SharedRetryBudget

MARK_MAX_S = 5.0
# A mark is ignored where the instance has just answered this VM: the path of the peer
# may be what is broken.
CONTRADICTED_S = 0.5


class ReportReader:
    """Applies reports.

    Attributes
    ----------
    ordered_by_peers : dict of str to float
        When a peer last had an order in progress at an instance.
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
        self.ordered_by_peers: dict[str, float] = {}

    def apply(self, vm: str, neighbour: Neighbour, report: RouterReport) -> bool:
        """Apply the report of a peer; return whether others should know it at once."""
        now = self.clock()
        urgent = self._keep(neighbour, report, now)
        self.view.loads.apply_reports(vm, report.work, now=now)
        self.budget.apply_reports(vm, report.retries, vms=report.vms)
        self._marks(vm, report, now)
        self._weights(report)
        for part in report.parts:
            self._part(part, now)
        for item in report.desired_weights:
            self.view.apply_weights_age(item.model, item.version, age_s=item.age_s)
        return urgent

    def _keep(self, neighbour: Neighbour, report: RouterReport, now: float) -> bool:
        """Keep what is passed on; return whether there is anything new."""
        neighbour.last_received_at = now
        neighbour.reported = True
        neighbour.relay = report.relay
        neighbour.vms = report.vms
        neighbour.relays = frozenset(report.relays)
        neighbour.registry_lost = report.registry_lost
        neighbour.rows_current_at = now - report.rows_age_s
        neighbour.lease_until = now + report.lease_s if report.lease_s > 0 else 0.0
        notices = {
            (mark.name, mark.kind): now + min(mark.for_s, MARK_MAX_S)
            for mark in report.notices
        }
        weights = tuple(report.weights)
        urgent = (
            notices.keys() != neighbour.notices.keys()
            or weights != neighbour.weights
            or any(part.prefill_s for part in report.parts)
        )
        neighbour.notices, neighbour.weights = notices, weights
        return urgent

    def _marks(self, vm: str, report: RouterReport, now: float) -> None:
        for load in self.view.loads.loads.values():
            load.orders.pop(vm, None)
        for mark in report.notices:
            until = now + min(mark.for_s, MARK_MAX_S)
            match mark.kind:
                case NoticeKind.ORDER:
                    self.view.loads.of(mark.name).orders[vm] = until
                    self.ordered_by_peers[mark.name] = now
                case NoticeKind.AVOID:
                    load = self.view.loads.of(mark.name)
                    if now - load.last_answer_at > CONTRADICTED_S:
                        load.avoid_until = max(load.avoid_until, until)
                case NoticeKind.STORE_GONE:
                    self.view.avoid_cache_store(mark.name, until)
                case NoticeKind.REFUSED:
                    self.refused.record_refusal(mark.name, retry_at=until, now=now)

    def _part(self, part: HeldPart, now: float) -> None:
        caches = self.view.caches
        parts = [PromptSegment(segment_id=part.part, tokens=part.tokens)]
        if part.prefill_s > 0:
            caches.begin_prefill(
                part.holder,
                namespace=part.namespace,
                segments=parts,
                until=now + part.prefill_s,
            )
        elif part.prefill_s < 0:
            caches.cancel_prefill(part.holder, namespace=part.namespace, segments=parts)
        else:
            caches.record_use(part.holder, namespace=part.namespace, segments=parts)

    def _weights(self, report: RouterReport) -> None:
        for seen in report.weights:
            instance = self.view.registry.get(seen.instance)
            if instance is not None and instance.started_ms == seen.started_ms:
                self.view.observe_weights(
                    instance, seen.model, seen.version, from_peer=True
                )
