"""Metrics of the router, with bounded label cardinality.

Histograms are labelled by work class and plan. A second set is labelled by
organisation, but only for the busiest ones. docs/metrics.md explains each metric.
"""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivelug.busiest import BusiestOrganisations

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0, 30.0)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.027, 0.04, 0.08, 0.2, 1.0)
QUEUE_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 5.0, 20.0, 60.0)
TOKEN_BUCKETS = (0.0, 500.0, 2000.0, 4000.0, 8000.0, 16000.0, 32000.0)

Labels = dict[str, str]


class RouterMetrics:
    """Counters and histograms of one router.

    Parameters
    ----------
    busiest : BusiestOrganisations
        Selects the organisations with their own labels.
    """

    def __init__(self, *, busiest: BusiestOrganisations) -> None:
        self.busiest = busiest
        self.registry = Registry()
        self.first_token_s = self._histogram(
            "endivelug_first_token_seconds",
            "Time from the request to its first token.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.token_gap_s = self._histogram(
            "endivelug_token_gap_seconds",
            "Time between two events of a stream.",
            TOKEN_GAP_BUCKETS_S,
        )
        self.queue_s = self._histogram(
            "endivelug_queue_seconds",
            "Time a request waited for admission.",
            QUEUE_BUCKETS_S,
        )
        self.hit_tokens = self._histogram(
            "endivelug_hit_tokens",
            "Prompt tokens that an engine served from its cache.",
            TOKEN_BUCKETS,
        )
        self.computed_tokens = self._histogram(
            "endivelug_computed_tokens",
            "Prompt tokens that an engine computed.",
            TOKEN_BUCKETS,
        )
        self.organisation_first_token_s = self._histogram(
            "endivelug_organisation_first_token_seconds",
            "Time to first token of the busiest organisations.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.organisation_computed_tokens = self._histogram(
            "endivelug_organisation_computed_tokens",
            "Computed prompt tokens of the busiest organisations.",
            TOKEN_BUCKETS,
        )
        self.requests = self._counter(
            "endivelug_requests_total", "Requests by route, class and plan."
        )
        self.refusals = self._counter(
            "endivelug_refusals_total", "Refusals by kind and whether the call ran."
        )
        self.claims = self._counter(
            "endivelug_claims_total", "Outcomes of non-idempotent calls."
        )
        self.streams = self._counter(
            "endivelug_streams_total", "Streams by how they ended."
        )
        self.stream_recoveries = self._counter(
            "endivelug_stream_recoveries_total",
            "Streams resumed at their engine or continued on another one.",
        )
        self.lookups = self._counter(
            "endivelug_lookups_total", "Look-ups at owners by result."
        )
        self.placements = self._counter(
            "endivelug_placements_total", "Placement decisions by reason."
        )
        self.revision = self._gauge(
            "endivelug_revision", "Configuration revision in force."
        )
        self.in_flight = self._gauge("endivelug_in_flight", "Requests in flight.")
        self.upstreams = self._gauge("endivelug_upstreams", "Upstreams by state.")

    def observe_prompt_tokens(
        self, *, labels: Labels, organisation: str, hit: int, computed: int
    ) -> None:
        """Record the cached and the computed prompt tokens of one request."""
        self.hit_tokens.observe(labels, hit)
        self.computed_tokens.observe(labels, computed)
        self.organisation_computed_tokens.observe(
            {"organisation": organisation}, computed
        )

    def observe_first_token(
        self, *, labels: Labels, organisation: str, seconds: float
    ) -> None:
        """Record the time to first token of one request."""
        self.first_token_s.observe(labels, seconds)
        self.organisation_first_token_s.observe({"organisation": organisation}, seconds)

    def rotate_labels(self) -> None:
        """Update the labelled organisations and remove the labels of all others."""
        for organisation in self.busiest.rotate_labels():
            for metric in (
                self.organisation_first_token_s,
                self.organisation_computed_tokens,
            ):
                metric.values.pop({"organisation": organisation}, None)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its HTTP headers."""
        body, headers = render(self.registry, accept)
        return body, headers

    def _histogram(self, name: str, doc: str, buckets: Sequence[float]) -> Histogram:
        return Histogram(name, doc, registry=self.registry, buckets=list(buckets))

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)
