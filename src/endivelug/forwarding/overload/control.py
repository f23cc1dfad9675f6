"""Applies the admission decision to the calls that wait at this VM."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.engine_choice import MAX_MEMORY_SHARE
from endivelug.forwarding.overload.admission import (
    MIN_TAKEN_SHARE,
    Capacity,
    Estimate,
    WaitingCall,
    late_at_rate,
    late_estimate,
)
from endivelug.forwarding.overload.answer_time import AnswerTime
from endivelug.forwarding.overload.flow import Flow, FlowMeter
from endivelug.forwarding.request_queue import (
    QueueAhead,
    QueuedRequest,
    RequestQueue,
)
from endivelug.forwarding.stated_limits.stated_limits import StatedLimits
from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# Interval at which the waiting calls of a service are judged again. Each review costs
# time in proportion to the queue.
REVIEW_INTERVAL_S = 0.1
# Random addition to a Retry-After time, as a share of it: all VMs of an overloaded
# service estimate about the same time.
RETRY_AFTER_SPREAD = 0.25


@dataclass(slots=True, kw_only=True)
class Overloaded(NoPlacement):
    """A call cannot be sent in time and is refused before its deadline.

    Attributes
    ----------
    retry_after_s : float
        Time after which the call is expected to be sent at once if it is repeated.
    taken_share : float
        Share of the upstreams' capacity that is taken.
    arrived : bool
        Whether it is refused on arrival; otherwise after it has waited.
    """

    estimate: Estimate
    retry_after_s: float
    taken_share: float
    arrived: bool

    def __str__(self) -> str:
        """Return the estimate in words."""
        return (
            f"it would be sent too late: {self.estimate.ahead} requests are ahead, and "
            f"{self.estimate.rate:.1f} leave the queue in a second"
        )

    def spread_retry_after_s(self, rng: random.Random) -> float:
        """Return the time after which this caller should return."""
        return self.retry_after_s * (1.0 + RETRY_AFTER_SPREAD * rng.random())

    def log_fields(self) -> dict[str, object]:
        """Return the estimate and its inputs for the log."""
        estimate = self.estimate
        return {
            "early": "arrival" if self.arrived else "waiting",
            "ahead": estimate.ahead,
            "wait_s": round(estimate.wait_s, 3),
            "shortest_wait_s": round(estimate.shortest_wait_s, 3),
            "remaining_s": round(estimate.remaining_s, 3),
            "rate": round(estimate.rate, 2),
            "sent": estimate.sent,
            "period_s": round(estimate.period_s, 2),
            "taken_share": round(self.taken_share, 2),
        }


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """What is known of one service.

    Attributes
    ----------
    instances : frozenset of (str, int) or None
        Names and start times of the upstreams that can be reached, as last seen.
    next_return_at : float
        Time at which the next refused caller may be asked to return.
    reviewed_at : float
        Time of the last review of the waiting calls.
    """

    meter: FlowMeter = field(default_factory=FlowMeter)
    answer_time: AnswerTime = field(default_factory=AnswerTime)
    instances: frozenset[tuple[str, int]] | None = None
    next_return_at: float = 0.0
    reviewed_at: float = 0.0


class AdmissionControl:
    """Refuses calls that would be sent too late.

    Parameters
    ----------
    queue : RequestQueue
        The waiting calls of this VM.
    limits : StatedLimits
        Limits that upstreams state, at which they are full without any slot taken.

    Attributes
    ----------
    enabled : bool
        Whether calls are refused early, except by the limits that upstreams state.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        queue: RequestQueue,
        limits: StatedLimits,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.queue = queue
        self.limits = limits
        self.clock = clock
        self.enabled = True
        self.services: dict[str, _ServiceState] = {}

    def record_arrival(self, call: Call) -> None:
        """Count a call that asks for an instance."""
        meter = self._service(call.service).meter
        meter.record_arrival(call.priority, now=self.clock())

    def record_sent(self, call: Call) -> None:
        """Count a call that got an instance."""
        meter = self._service(call.service).meter
        meter.record_sent(call.priority, tokens=tokens_of(call), now=self.clock())

    def record_answer(self, call: Call, seconds: float) -> None:
        """Record how long an upstream took for the whole answer of a call."""
        if not call.route.generates:
            self._service(call.service).answer_time.observe(seconds)

    def begin_waiting(self, call: Call, item: QueuedRequest) -> Overloaded | None:
        """Count a call that was queued; return why it is refused at once, if it is."""
        state, now = self._service(call.service), self.clock()
        if state.instances is None:
            self._have_upstreams_changed(call.service, state)
        state.meter.begin_waiting(item.priority, now=now)
        flow = state.meter.flow(item.priority, now=now)
        ahead = self.queue.ahead_of(item.request, now=now)
        estimate = self._late_estimate(call, item, state, ahead, flow, now=now)
        if estimate is None or self._have_upstreams_changed(call.service, state):
            return None
        return self._refuse(call, state, estimate, arrived=True)

    def end_waiting(self, item: QueuedRequest) -> None:
        """Count a call that no longer waits."""
        self._service(item.service).meter.end_waiting(item.priority)

    def review(
        self, service: str, calls: Callable[[str], Call | None]
    ) -> list[tuple[QueuedRequest, Overloaded]]:
        """Return the waiting calls of a service that are refused now.

        Parameters
        ----------
        calls : callable
            Returns the call of a queued request, or None if its outcome is known.
        """
        state, now = self._service(service), self.clock()
        if now < state.reviewed_at + REVIEW_INTERVAL_S:
            return []
        state.reviewed_at = now
        if self._have_upstreams_changed(service, state):
            return []
        refused: list[tuple[QueuedRequest, Overloaded]] = []
        flows: dict[int, Flow] = {}
        requests = tokens = 0
        for item in self.queue.in_send_order(service, now=now):
            call = calls(item.request)
            if call is None:
                continue
            flow = flows.get(item.priority)
            if flow is None:
                flow = flows[item.priority] = state.meter.flow(item.priority, now=now)
            ahead = QueueAhead(requests=requests, tokens=tokens)
            estimate = self._late_estimate(call, item, state, ahead, flow, now=now)
            refusal = (
                self._refuse(call, state, estimate, arrived=False)
                if estimate is not None
                else None
            )
            if refusal is not None:
                refused.append((item, refusal))
                continue
            requests += 1
            tokens += item.tokens
        return refused

    def _late_estimate(
        self,
        call: Call,
        item: QueuedRequest,
        state: _ServiceState,
        ahead: QueueAhead,
        flow: Flow,
        *,
        now: float,
    ) -> Estimate | None:
        """Return when a call would be sent if that is clearly too late, or None.

        Parameters
        ----------
        now : float
            Time at which the queue was ordered; at a later one, calls that have become
            late would move while a review goes through the queue.
        """
        if call.runs or call.streaming:
            # The caller could not be told that it did not run.
            return None
        limited_rate = self.limits.rate_for(call)
        if not self.enabled and limited_rate is None:
            return None
        needed_s = (
            item.expected_s if call.route.generates else state.answer_time.short_s
        )
        limit = min(call.deadline, call.caller_abandons_at)
        waiting = WaitingCall(
            ahead=ahead,
            ahead_when_late=self.queue.ahead_when_late(item.request, now=now),
            tokens=item.tokens,
            until_late_s=item.late_at - now,
            remaining_s=min(item.expires_at, limit - needed_s) - now,
        )
        if limited_rate is not None:
            return late_at_rate(waiting, flow=flow, rate=limited_rate)
        return late_estimate(waiting, flow=flow)

    def _refuse(
        self, call: Call, state: _ServiceState, estimate: Estimate, *, arrived: bool
    ) -> Overloaded | None:
        """Return the refusal of a call, or None if the upstreams have room."""
        share = self._capacity(call.service).taken_share
        if share < MIN_TAKEN_SHARE and self.limits.rate_for(call) is None:
            return None
        now = self.clock()
        state.meter.record_refusal(call.priority, now=now)
        return Overloaded(
            reasons=Counter({WaitReason.OVERLOADED: 1}),
            estimate=estimate,
            retry_after_s=_retry_after_s(call, state, estimate, now=now),
            taken_share=share,
            arrived=arrived,
        )

    def _capacity(self, service: str) -> Capacity:
        """Return the capacity of the upstreams that accept requests."""
        configuration, now = self.view.configuration, self.clock()
        entry = configuration.services.get(service) if configuration else None
        engine = entry.engine if entry else None
        slots = memory = taken_slots = taken_tokens = 0
        for instance in self.view.registry.of_service(service):
            load = self.view.loads.of(instance.name)
            if load.silent or now < load.avoid_until:
                continue
            total = self.view.loads.total(instance.name)
            own_slots = engine.slots if engine else instance.slots
            if self.limits.is_limited(instance):
                # Its free slots and memory are of no use.
                own_slots = min(own_slots, total.requests)
            slots += own_slots
            taken_slots += min(own_slots, total.requests)
            if engine is not None and not self.limits.is_limited(instance):
                memory += int(MAX_MEMORY_SHARE * engine.cache_tokens)
                taken_tokens += total.memory_tokens
        return Capacity(
            slots=slots,
            taken_slots=taken_slots,
            memory_tokens=memory,
            taken_tokens=taken_tokens,
        )

    def _have_upstreams_changed(self, service: str, state: _ServiceState) -> bool:
        """Return whether upstreams came or went; the counts then begin anew."""
        reachable = frozenset(
            (instance.name, instance.started_ms)
            for instance in self.view.registry.of_service(service)
            if not self.view.loads.of(instance.name).silent
        )
        before, state.instances = state.instances, reachable
        if before is None or before == reachable:
            return False
        state.meter.restart(now=self.clock())
        return True

    def _service(self, name: str) -> _ServiceState:
        state = self.services.get(name)
        if state is None:
            state = self.services[name] = _ServiceState()
        return state


def tokens_of(call: Call) -> int:
    """Return the tokens of a call's prompt and output."""
    return call.request.prompt_tokens + call.request.output_tokens


def _retry_after_s(
    call: Call, state: _ServiceState, estimate: Estimate, *, now: float
) -> float:
    """Return when a refused caller should return.

    Refused callers return one after the other at the rate at which calls leave the
    queue, because they are sent before new ones.
    """
    interval_s = estimate.wait_s / (estimate.ahead + 1)
    return_at = max(now + estimate.wait_s, state.next_return_at)
    latest_at = now + call.route.timeout_s
    state.next_return_at = min(return_at + interval_s, latest_at)
    return min(return_at, latest_at) - now
