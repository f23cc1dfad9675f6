"""Records the head and the first byte of each response.

The head of any response tells that the upstream lives, which weights it has and what it
asks for; the first byte of a successful one changes load, metrics and cached segments.
"""

from collections.abc import Callable

from endivelug.forwarding.cache_tracker import CacheTracker
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.placement import Placement, Placer
from endivelug.forwarding.requests import ResponseInfo


class FirstByteRecorder:
    """Records the first byte of a response and the segments that are now cached.

    Parameters
    ----------
    on_cached : callable
        Called after the segments of a prompt are known to be cached.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        placer: Placer,
        metrics: NodeMetrics,
        cache_tracker: CacheTracker,
        on_cached: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.placer = placer
        self.metrics = metrics
        self.cache_tracker = cache_tracker
        self.on_cached = on_cached
        self.clock = clock

    def record_head(self, call: Call, placement: Placement, info: ResponseInfo) -> None:
        """Record what the head of a response states, also that of a refusal."""
        instance, model = placement.instance, call.request.model
        self.view.loads.record_byte(instance.name, now=self.clock())
        if info.weights is not None and model is not None:
            self.view.observe_weights(instance, model, info.weights)
        self.placer.pace.record_head(instance, info, request=call.key)

    def record(self, call: Call, placement: Placement) -> None:
        """Record the first byte of the response to a call."""
        now = self.clock()
        name, request = placement.instance.name, call.request
        work = self.view.loads.of(name).work.get(call.key)
        alone = self.view.loads.total(name).requests == 1
        if work is not None and alone and request.prompt_tokens:
            rate = self.placer.prefill_rate(call.service)
            rate.observe(tokens=work.uncached_tokens, seconds=now - work.sent_at)
        if work is not None:
            self.placer.pace.slow_starts.record_first_byte(call, name, work)
        self.view.loads.record_first_byte(name, call.key, now=now)
        self.metrics.record_first_byte(call, now=now)
        if placement.namespace is None:
            return
        self.cache_tracker.record_cached(name, placement.namespace, call)
        self.on_cached()
