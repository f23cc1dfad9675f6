"""Passes registrations, outcomes and the evidence of other VMs to the controller."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from endivelug.forwarding.calls import (
    AttemptOutcome,
    Call,
    Failed,
    Lost,
    NotRun,
    NotSent,
)
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.pace.controller import (
    Cause,
    PaceController,
    SlowStart,
    WorkSize,
    is_good,
    window_share,
)
from endivelug.forwarding.peer_messages import incarnation_name
from endivelug.forwarding.shared_amounts import SharedAmounts

# An upstream that is avoided for less has refused one request; it was busy, and a limit
# would keep it from being used.
MIN_AVOIDED_S = 0.5
# A VM that has started within this time does not know how long the others have used an
# upstream that is new to it.
STARTUP_S = 3.0


class Traffic(Protocol):
    """Traffic of all VMs."""

    def requests_per_s(self, service: str, /) -> float:
        """Return the rate of the requests of all VMs to a service."""


@dataclass(slots=True, kw_only=True)
class Evidence:
    """Responses to this VM in the current interval."""

    good: int = 0
    late: int = 0
    failed: int = 0


class SlowStarts:
    """The upstreams in slow start, as this VM sees them.

    Parameters
    ----------
    traffic : Traffic
        A service without traffic needs no slow start: no burst of requests can reach
        its upstreams.

    Attributes
    ----------
    enabled : bool
        Whether upstreams get a slow start at all.
    evidence : SharedAmounts or None
        Good, late and failed responses in the current interval, by upstream in slow
        start; None while this VM is not connected to others.
    share : callable
        Returns this VM's share of the requests of all VMs to a service.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        traffic: Traffic,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.traffic = traffic
        self.clock = clock
        self.rng = rng
        self.controller = PaceController()
        self.enabled = True
        self.evidence: SharedAmounts | None = None
        self.share: Callable[[str], float] = lambda service: 1.0
        self.created_at = clock()
        self._own: dict[str, Evidence] = {}
        self._keys: dict[str, str] = {}
        self._applied: dict[str, tuple[int, ...]] = {}
        view.on_registered.append(self._registered)
        view.on_avoided = self._avoided
        view.on_new_weights = self._changed_weights

    def is_active(self) -> bool:
        """Return whether any upstream is in slow start."""
        return bool(self.controller.starts)

    def count(self) -> int:
        """Return the number of upstreams in slow start."""
        return len(self.controller.starts)

    def held_back(self, service: str, sizes: dict[str, WorkSize]) -> set[str]:
        """Return which of some usable upstreams do not get a request.

        Parameters
        ----------
        sizes : dict of str to WorkSize
            Size of the request at each usable upstream of the service.
        """
        starts = self.controller.starts
        return self.controller.held_back(
            list(sizes),
            sizes=sizes,
            used={
                name: self.view.loads.total(name).requests
                for name in sizes
                if name in starts
            },
            share=window_share(
                share=self.share(service),
                requests_per_s=self.traffic.requests_per_s(service),
            ),
            now=self.clock(),
            rng=self.rng,
        )

    def record_sent(self, name: str) -> None:
        """Count a request that is sent to an upstream."""
        start = self.controller.starts.get(name)
        if start is not None:
            start.record_sent(now=self.clock())

    def record_ended(self, name: str) -> None:
        """Count a request of this VM that has ended."""
        start = self.controller.starts.get(name)
        if start is not None:
            start.record_ended()

    def record_first_byte(self, call: Call, name: str, work: Work) -> None:
        """Record the first byte of the response to a request."""
        start = self.controller.starts.get(name)
        if start is None or work.started:
            return
        now = self.clock()
        slowdown = self.view.loads.of(name).current_slowdown(now=now)
        good = is_good(
            seconds=now - work.sent_at,
            expected_s=work.expected_s / slowdown,
            target_s=call.route.target_s,
        )
        own = self._own[name]
        own.good += good
        own.late += not good
        start.record_answers(good=int(good), late=int(not good), now=now)
        self._end_if_warm(name, start, now)

    def record_failure(self, name: str, outcome: AttemptOutcome) -> None:
        """Record an attempt that brought no response, or an error of the upstream."""
        start = self.controller.starts.get(name)
        if start is None:
            return
        match outcome:
            case NotSent(local=True):
                # This VM had no descriptor left.
                return
            case NotRun() | NotSent() | Lost():
                pass
            case Failed(head=head) if head.status >= 500:
                pass
            case _:
                return
        self._own[name].failed += 1
        # The others are told at once, and not at the end of the interval.
        self._publish(name)
        if start.record_failure(now=self.clock()):
            self._log(name, start, type(outcome).__name__)

    def exchange(self) -> None:
        """Apply the evidence of the other VMs, publish that of this one."""
        now = self.clock()
        for name, start in list(self.controller.starts.items()):
            instance = self.view.registry.get(name)
            if instance is None or instance.draining:
                self._drop(name)
                continue
            if self.evidence is not None:
                self._apply_others(name, start, self.evidence, now)
            # Requests of this VM may hang there, unless it answers.
            loads = self.view.loads
            running = (
                loads.total(name) if start.answers else loads.neighbours.total(name)
            )
            start.record_running(running.requests, now=now)
            self._publish(name)
            self._own[name] = Evidence()
            self._end_if_warm(name, start, now)

    def _apply_others(
        self, name: str, start: SlowStart, evidence: SharedAmounts, now: float
    ) -> None:
        others = evidence.others(self._keys[name])
        # A value that stands because a report is late or its VM is frozen counts once.
        if others == self._applied.get(name):
            return
        self._applied[name] = others
        good, late, failed, *_ = (max(0, value) for value in (*others, 0, 0, 0))
        start.record_answers(good=good, late=late, now=now)
        if failed and start.record_failure(now=now):
            self._log(name, start, "failures at other VMs")

    def _publish(self, name: str) -> None:
        if self.evidence is not None:
            own = self._own[name]
            values = (own.good, own.late, own.failed)
            self.evidence.set_own(self._keys[name], values)

    def _registered(self, known: Instance | None, current: Instance) -> None:
        """Begin the slow start of an upstream that is new or takes requests again."""
        self._drop(current.name)
        if current.draining or not self.view.complete:
            return
        others = self.view.loads.neighbours.total(current.name).requests
        if others and self.clock() < self.created_at + STARTUP_S:
            return
        same = known is not None and known.incarnation == current.incarnation
        self._begin(current, Cause.DRAIN_CANCELLED if same else Cause.STARTED)

    def _changed_weights(self, instance: Instance) -> None:
        if not instance.draining and instance.name not in self.controller.starts:
            self._begin(instance, Cause.NEW_WEIGHTS)

    def _avoided(self, name: str, for_s: float) -> None:
        """Record that an upstream gets nothing for a while, because it failed."""
        if for_s < MIN_AVOIDED_S:
            return
        instance = self.view.registry.get(name)
        if instance is None or instance.draining:
            return
        if name not in self.controller.starts:
            self._begin(instance, Cause.AVOIDED)
        start = self.controller.starts.get(name)
        if start is not None:
            now = self.clock()
            start.record_avoided(until=now + for_s, now=now)

    def _begin(self, instance: Instance, cause: Cause) -> None:
        has_traffic = self.traffic.requests_per_s(instance.service) > 0
        if not self.enabled or not has_traffic:
            return
        name = instance.name
        start = self.controller.begin(
            name,
            cause,
            slots=self._slots(instance),
            used=self.view.loads.total(name).requests,
            now=self.clock(),
        )
        self._own[name] = Evidence()
        self._keys[name] = incarnation_name(name, instance.started_ms)
        self._log(name, start, cause.value)

    def _slots(self, instance: Instance) -> int:
        configuration = self.view.configuration
        service = configuration and configuration.services.get(instance.service)
        if service and service.engine is not None:
            return service.engine.slots
        return instance.slots

    def _end_if_warm(self, name: str, start: SlowStart, now: float) -> None:
        if start.is_warm(now=now):
            self._log(name, start, "warm")
            self._drop(name)
            self.view.on_change()

    def _drop(self, name: str) -> None:
        if self.controller.starts.pop(name, None) is None:
            return
        self._own[name] = Evidence()
        self._publish(name)
        del self._own[name]
        self._keys.pop(name, None)

    def _log(self, name: str, start: SlowStart, why: str) -> None:
        now = self.clock()
        age_s = now - start.evidence_at
        self.view.log(
            "pace-changed",
            instance=name,
            limit=round(start.limit, 1),
            used=self.view.loads.total(name).requests,
            slots=start.slots,
            why=why,
            evidence_age_s=round(age_s, 2) if start.answers else None,
        )
