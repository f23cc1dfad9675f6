"""Counters and latency histograms of one router, with a bounded number of labels."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivelug.busiest import BusiestOrganisations
from endivelug.forwarding.calls import Call
from endivelug.forwarding.wait_reasons import WaitReason

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
# Further routes share the label ``OTHER_ROUTES``.
MAX_ROUTES = 40
OTHER_ROUTES = "other"
# Interval at which the organisations with a label of their own are chosen again.
ROTATE_LABELS_S = 60.0


class NodeMetrics:
    """Request metrics by route, and by organisation for the busiest ones.

    Parameters
    ----------
    busiest : BusiestOrganisations
        Selects the organisations that get a label of their own.

    Attributes
    ----------
    gauges : dict of str to callable
        Current values by name, exported as the state gauge; each part of the router
        registers its own.
    """

    def __init__(self, *, busiest: BusiestOrganisations) -> None:
        self.busiest = busiest
        self.registry = Registry()
        self.requests = Counter(
            "endivelug_forward_requests_total",
            "Requests by route and outcome.",
            registry=self.registry,
        )
        self.attempts_failed = Counter(
            "endivelug_forward_attempts_failed_total",
            "Attempts that failed, by service and ending.",
            registry=self.registry,
        )
        self.unplaced = Counter(
            "endivelug_forward_unplaced_total",
            "Calls that no instance could take, by service and main reason.",
            registry=self.registry,
        )
        self.refused_early = Counter(
            "endivelug_forward_refused_early_total",
            "Calls refused before their deadline because they would be sent too late.",
            registry=self.registry,
        )
        self.first_byte_s = Histogram(
            "endivelug_forward_first_byte_seconds",
            "Time from a request to the first byte of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.total_s = Histogram(
            "endivelug_forward_seconds",
            "Time from a request to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.organisation_s = Histogram(
            "endivelug_forward_organisation_seconds",
            "Time from a request to the end of its answer, by organisation.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.state = Gauge(
            "endivelug_forward_state",
            "Values of the process by name: dependencies, queue, versions.",
            registry=self.registry,
        )
        self.gauges: dict[str, Callable[[], float]] = {}
        # Metrics with the label ``organisation``.
        self.by_organisation: list[Counter | Histogram] = [self.organisation_s]
        self.in_progress = 0
        self._rotate_at: float | None = None
        self._routes: set[str] = set()

    def record_request(self, call: Call) -> None:
        """Count a request that was admitted."""
        self.in_progress += 1

    def record_first_byte(self, call: Call, *, now: float) -> None:
        """Observe the time to the first byte of a response."""
        labels = {"route": self._route_label(call)}
        self.first_byte_s.observe(labels, now - call.request.received_at)

    def record_end(self, call: Call, outcome: str, *, now: float) -> None:
        """Count a finished request by outcome, and observe its duration."""
        self.in_progress -= 1
        route = self._route_label(call)
        seconds = now - call.request.received_at
        self.requests.inc({"route": route, "outcome": outcome})
        self.total_s.observe({"route": route}, seconds)
        if call.organisation is not None:
            self.rotate_labels(now)
            label = self.busiest.record_request(call.organisation.name)
            self.organisation_s.observe({"organisation": label}, seconds)

    def record_over_quota(self, call: Call) -> None:
        """Count a request that is refused before it is admitted."""
        if call.organisation is not None:
            self.busiest.record_request(call.organisation.name)
        labels = {"route": self._route_label(call), "outcome": "over-quota"}
        self.requests.inc(labels)

    def record_failed_attempt(self, call: Call, ending: str) -> None:
        """Count a failed attempt."""
        labels = {"service": call.service, "ending": ending}
        self.attempts_failed.inc(labels)

    def record_unplaced(self, call: Call, reason: WaitReason) -> None:
        """Count a call that no instance could take."""
        labels = {"service": call.service, "reason": reason.name.lower()}
        self.unplaced.inc(labels)

    def record_refused_early(self, call: Call, *, arrived: bool) -> None:
        """Count a call that would be sent too late, refused on arrival or later."""
        labels = {"service": call.service, "when": "arrival" if arrived else "waiting"}
        self.refused_early.inc(labels)

    def page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        for name, value in self.gauges.items():
            self.state.set({"name": name}, float(value()))
        content, _ = render(self.registry, [])
        return content

    def rotate_labels(self, now: float) -> None:
        """Choose the busiest organisations, and remove the series of all others."""
        if self._rotate_at is None:
            self._rotate_at = now + ROTATE_LABELS_S
        if now < self._rotate_at:
            return
        self._rotate_at = now + ROTATE_LABELS_S
        dropped = self.busiest.rotate_labels()
        for metric in self.by_organisation:
            for labels in [
                labels
                for labels, _ in metric.get_all()
                if labels.get("organisation") in dropped
            ]:
                metric.values.pop(labels, None)

    def _route_label(self, call: Call) -> str:
        name = call.route.name
        if name not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._routes.add(name)
        return name
