"""Takes what a peer reports into this VM's view."""

from collections.abc import Callable

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.peer_messages import HeldPart, RouterReport
from endivelug.forwarding.prompt_cache import PromptPart
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
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.budget = budget
        self.clock = clock
        self.ordered_by_peers: dict[str, float] = {}

    def apply(self, vm: str, report: RouterReport) -> None:
        """Apply the report of a peer."""
        now = self.clock()
        self.view.loads.heard(vm, report.work, now=now)
        self.budget.heard(vm, report.retries)
        self._marks(vm, report, now)
        self._weights(report)
        for part in report.parts:
            self._part(part, now)
        for item in report.wanted:
            self.view.heard_weights(item.model, item.version, age_s=item.age_s)

    def _marks(self, vm: str, report: RouterReport, now: float) -> None:
        for load in self.view.loads.loads.values():
            load.orders.pop(vm, None)
        for mark in report.marks:
            load = self.view.loads.of(mark.instance)
            until = now + min(mark.for_s, MARK_MAX_S)
            if mark.kind == "order":
                load.orders[vm] = until
                self.ordered_by_peers[mark.instance] = now
            elif now - load.last_answer_at > CONTRADICTED_S:
                load.avoid_until = max(load.avoid_until, until)

    def _part(self, part: HeldPart, now: float) -> None:
        caches = self.view.caches
        parts = [PromptPart(part=part.part, tokens=part.tokens)]
        if part.reading_s > 0:
            caches.begin_reading(
                part.holder,
                namespace=part.namespace,
                parts=parts,
                until=now + part.reading_s,
            )
        elif part.reading_s < 0:
            caches.stop_reading(part.holder, namespace=part.namespace, parts=parts)
        else:
            caches.note(part.holder, namespace=part.namespace, parts=parts)

    def _weights(self, report: RouterReport) -> None:
        for seen in report.weights:
            instance = self.view.registry.get(seen.instance)
            if instance is not None and instance.started_ms == seen.started_ms:
                self.view.observe_weights(instance, seen.model, seen.version, told=True)
