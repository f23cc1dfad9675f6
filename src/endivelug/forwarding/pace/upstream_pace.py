"""Applies what upstreams state and how they respond to where requests are sent."""

from collections.abc import Callable

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.pace.stated_pauses import stated_pause
from endivelug.forwarding.requests import ResponseInfo

# An upstream whose answers all state an unusable time gets one log line in this time.
FAULT_LOG_INTERVAL_S = 10.0


class UpstreamPace:
    """Pauses, departures and pace of the upstreams, as this VM knows them."""

    def __init__(self, *, view: ClusterView, clock: Callable[[], float]) -> None:
        self.view = view
        self.clock = clock
        self._fault_logged_at: dict[str, float] = {}

    def record_head(self, instance: Instance, info: ResponseInfo) -> None:
        """Record what the head of a response from an instance asks for."""
        if info.retry_after_s is not None or info.invalid_retry_after is not None:
            self._record_pause(instance, info)

    def paused(self) -> int:
        """Return the number of upstreams that want no requests from this VM."""
        now = self.clock()
        return sum(load.paused_until > now for load in self.view.loads.loads.values())

    def _record_pause(self, instance: Instance, info: ResponseInfo) -> None:
        pause = stated_pause(info)
        if pause is None:
            return
        name, now = instance.name, self.clock()
        if pause.fault is not None:
            self._log_fault(name, pause.fault, now)
        load = self.view.loads.of(name)
        until = now + pause.seconds
        useless = pause.seconds <= 0 or until <= load.paused_until
        if useless or self._is_replaced(instance):
            return
        if load.paused_until <= now:
            self.view.log("upstream-paused", instance=name, for_s=pause.seconds)
        # The latest time counts: answers to requests in progress may come in any order.
        load.paused_until = until
        self.view.on_change()

    def _is_replaced(self, instance: Instance) -> bool:
        """Return whether the registry has another incarnation of an instance."""
        known = self.view.registry.get(instance.name)
        return known is not None and known.incarnation != instance.incarnation

    def _log_fault(self, name: str, fault: str, now: float) -> None:
        if now < self._fault_logged_at.get(name, float("-inf")) + FAULT_LOG_INTERVAL_S:
            return
        self._fault_logged_at = {
            logged: at
            for logged, at in self._fault_logged_at.items()
            if now < at + FAULT_LOG_INTERVAL_S
        }
        self._fault_logged_at[name] = now
        self.view.log("pause-unusable", instance=name, fault=fault)
