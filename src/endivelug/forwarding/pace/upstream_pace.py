"""Applies what upstreams state and how they respond to where requests are sent."""

import asyncio
import random
from collections.abc import Callable

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.pace.leaving_notices import LeavingNotices
from endivelug.forwarding.pace.slow_starts import SlowStarts, Traffic
from endivelug.forwarding.pace.stated_pauses import stated_pause
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.requests import ResponseInfo
from endivelug.forwarding.shared_amounts import SharedAmounts
from endivelug.forwarding.stated_limits.stated_limits import Links, StatedLimits

# An upstream whose answers all state an unusable time gets one log line in this time.
FAULT_LOG_INTERVAL_S = 10.0
# Interval at which notices are checked and evidence is exchanged.
ROUND_S = 0.25


class UpstreamPace:
    """Pauses, departures and pace of the upstreams, as this VM knows them."""

    def __init__(
        self,
        *,
        view: ClusterView,
        fleet: Traffic,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.clock = clock
        self.notices = LeavingNotices(
            registry=view.registry, send=lambda name, for_s: None, rng=rng
        )
        self.slow_starts = SlowStarts(view=view, traffic=fleet, clock=clock, rng=rng)
        self.limits = StatedLimits(view=view, clock=clock, rng=rng)
        view.on_leaving = self._announce_leaving
        self._fault_logged_at: dict[str, float] = {}

    def connect(self, peers: Links) -> None:
        """Exchange what is known with the other VMs."""
        self.slow_starts.evidence = SharedAmounts(kind="pace", table=peers.shared)
        self.slow_starts.share = lambda service: peers.budget.request_share(
            service, now=self.clock()
        )
        self.notices.send = lambda name, for_s: peers.send_notice(
            name, NoticeKind.LEAVING, for_s
        )
        self.limits.connect(peers)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the current values for the metrics, by name."""
        return {
            "upstreams_paused": self.paused,
            "upstreams_leaving": self.leaving,
            "upstreams_in_slow_start": self.slow_starts.count,
            "upstreams_limited": self.limits.count,
        }

    async def run(self) -> None:
        """Repeat notices and exchange evidence until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S)
            self.notices.repeat(now=self.clock())
            self.slow_starts.exchange()
            self.limits.exchange()

    def record_head(
        self, instance: Instance, info: ResponseInfo, *, request: str
    ) -> None:
        """Record what the head of a response from an instance asks for.

        Parameters
        ----------
        request : str
            Key of the call that it answers.
        """
        self.limits.record_head(instance, info, request=request)
        if info.leaving:
            self.view.record_leaving(instance.name, instance.started_ms)
        if info.retry_after_s is not None or info.invalid_retry_after is not None:
            self._record_pause(instance, info)

    def paused(self) -> int:
        """Return the number of upstreams that want no requests from this VM."""
        now = self.clock()
        return sum(load.paused_until > now for load in self.view.loads.loads.values())

    def leaving(self) -> int:
        """Return the number of registered upstreams that stated that they leave."""
        registry = self.view.registry
        return sum(registry.is_leaving(instance) for instance in registry.all())

    def _announce_leaving(self, name: str, started_ms: int) -> None:
        self.notices.announce((name, started_ms), now=self.clock())

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
