"""Records which prompt segments each attempt caches, in this VM and at its peers."""

from collections.abc import Callable, Iterable

from endivelug.forwarding.calls import AttemptOutcome, Call, Delivered
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.prompt_cache import PromptSegment

# Requests that share a segment wait for the engine that prefills it for this long plus
# twice the expected time.
PREFILL_MARGIN_S = 0.5
# Smaller segments are not announced: they are prefilled before the peers could learn of
# it.
MIN_ANNOUNCED_TOKENS = 256
# The last segment belongs to one request; a long one is announced because it takes the
# space of others.
MIN_LAST_TOKENS = 1000
# Announced instead of a duration if an engine stopped before the end of the prefill.
PREFILL_STOPPED = -1.0

# Called with a cache (engine or store), a namespace, segments, and the seconds that the
# engine needs to prefill them (0: they are cached, negative: the prefill stopped).
AnnounceSegments = Callable[[str, str, list[PromptSegment], float], None]


class CacheTracker:
    """Updates the estimate of cached segments when attempts start and end.

    Parameters
    ----------
    announce : callable
        Announces segments to the peers.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        announce: AnnounceSegments,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.announce = announce
        self.clock = clock

    def attempt_started(self, placement: Placement) -> None:
        """Record and announce the shared segments that an engine starts to prefill."""
        segments = _large_segments(placement.uncached_segments)
        if placement.namespace is None or not segments:
            return
        name = placement.instance.name
        prefill_s = PREFILL_MARGIN_S + 2 * placement.expected_s
        self.view.caches.begin_prefill(
            name,
            namespace=placement.namespace,
            segments=segments,
            until=self.clock() + prefill_s,
        )
        self.announce(name, placement.namespace, segments, prefill_s)

    def attempt_ended(
        self, call: Call, placement: Placement, outcome: AttemptOutcome | None
    ) -> None:
        """Record what an attempt has cached, or that its prefill stopped."""
        if placement.namespace is None:
            return
        if isinstance(outcome, Delivered):
            self._record_store_use(call, placement)
        segments = _large_segments(placement.uncached_segments)
        if isinstance(outcome, Delivered) or not segments:
            return
        name = placement.instance.name
        self.view.caches.cancel_prefill(
            name, namespace=placement.namespace, segments=segments
        )
        self.announce(name, placement.namespace, segments, PREFILL_STOPPED)

    def _record_store_use(self, call: Call, placement: Placement) -> None:
        """Record segments that a store was sent, or that were copied from it."""
        assert placement.namespace is not None
        if placement.save_to is not None:
            # The engine saves all segments to the store once it has prefilled them.
            segments = call.request.prompt
            self._record_use(placement.save_to, placement.namespace, segments)
            return
        stores = {store.address for store in self.view.cache_stores()}
        if placement.fetch_from in stores:
            shared = call.request.prompt[:-1]
            self._record_use(placement.fetch_from, placement.namespace, shared)

    def record_cached(self, cache: str, namespace: str, call: Call) -> None:
        """Record that a cache holds the segments of a call, and announce large ones."""
        self._record_use(cache, namespace, call.request.prompt)

    def _record_use(
        self, cache: str, namespace: str, segments: list[PromptSegment]
    ) -> None:
        self.view.caches.record_use(cache, namespace=namespace, segments=segments)
        # Announced on each use, so that peers know the order of last use.
        announced = [
            *_large_segments(segments[:-1]),
            *(item for item in segments[-1:] if item.tokens >= MIN_LAST_TOKENS),
        ]
        if announced:
            self.announce(cache, namespace, announced, 0.0)


def _large_segments(segments: Iterable[PromptSegment]) -> list[PromptSegment]:
    return [segment for segment in segments if segment.tokens >= MIN_ANNOUNCED_TOKENS]
