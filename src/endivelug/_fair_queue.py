"""Weighted fair queue: largest deficit first, then earliest deadline.

The organisation with the lowest recent service is served next, and of its items the
one with the earliest deadline. Recent service is an exponentially decayed sum of
tokens, divided by the organisation's weight. Deficit round robin (Shreedhar and
Varghese, 1996) was tried first. It gives no credit for idle time, so organisations
below their share still waited a whole round of long prompts, and many missed their
deadlines.
"""

import bisect
import itertools
import math
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Time constant of the decay. At 30 s, organisations below their share lost a tenth of
# it, because work arrives at each router in bursts.
DECAY_TAU_S = 120.0
# An organisation that was idle is served alone for at most this many tokens per unit of
# weight.
MAX_CREDIT_TOKENS = 32768.0
MIN_WEIGHT = 0.05
# Service is stored in units that grow with time, so entries need no decay of their own;
# at this scale, all entries are converted to the current unit.
MAX_SCALE = 1e6
# Smaller entries are dropped at the conversion.
MIN_SERVICE_TOKENS = 1.0
# A flow's own service rate is used once it has had items for this long.
MIN_RATE_AGE_S = 4.0
# Maximum factor by which that rate raises a wait: the rate of an unserved flow is 0.
MAX_WAIT_FACTOR = 3.0
# Older service is halved, so that the rate follows recent service.
RATE_WINDOW_S = 20.0


@dataclass(slots=True, kw_only=True)
class _Flow(Generic[T]):
    """Queued items of one organisation.

    An item is (deadline, sequence, cost, item, latest start).

    Attributes
    ----------
    since : float
        Start of the period over which ``served`` is counted.
    served : float
        Tokens served since ``since``; the flow has had items all that time.
    tokens : float
        Cost of all queued items.
    """

    weight: float
    since: float
    served: float = 0.0
    tokens: float = 0.0
    items: list[tuple[float, int, float, T, float]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Queue that divides service fairly between organisations with items.

    An organisation without items and without recent service has no state.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._service: dict[str, float] = {}
        self._scale_start = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(len(flow.items) for flow in self._flows.values())

    def push(
        self,
        item: T,
        *,
        organisation: str,
        weight: float,
        cost: float,
        deadline: float,
        latest_start: float,
        now: float,
    ) -> None:
        """Add an item.

        Parameters
        ----------
        weight : float
            Share of the organisation relative to the others.
        cost : float
            Cost in tokens.
        deadline : float
            Absolute deadline; items of one organisation are served in this order.
        latest_start : float
            Latest time of service that still meets the deadline.
        """
        flow = self._flows.get(organisation)
        weight = max(MIN_WEIGHT, weight)
        if flow is None:
            self._limit_credit(organisation, weight, now)
            flow = self._flows[organisation] = _Flow(weight=weight, since=now)
        flow.weight = weight
        cost = max(1.0, cost)
        bisect.insort(
            flow.items, (deadline, next(self._sequence), cost, item, latest_start)
        )
        flow.tokens += cost

    def has_items(self, organisation: str) -> bool:
        """Return whether an organisation has items."""
        return organisation in self._flows

    def head(self) -> T | None:
        """Return the next item without removing it, or None if the queue is empty."""
        if not self._flows:
            return None
        return self._flows[self._next_organisation()].items[0][3]

    def pop(self, *, now: float) -> T | None:
        """Remove and return the next item, and charge its organisation."""
        if not self._flows:
            return None
        organisation = self._next_organisation()
        flow = self._flows[organisation]
        _, _, cost, item, _ = flow.items.pop(0)
        flow.tokens -= cost
        flow.served += cost
        self._charge(organisation, cost, now)
        self._drop_if_empty(organisation)
        return item

    def refund(self, *, organisation: str, cost: float, now: float) -> None:
        """Reverse the charge of an item that was popped but not served."""
        cost = max(1.0, cost)
        self._charge(organisation, -cost, now)
        if organisation in self._flows:
            flow = self._flows[organisation]
            flow.served = max(0.0, flow.served - cost)

    def remove(self, item: T, *, organisation: str) -> bool:
        """Remove an item; return False if it is not queued."""
        flow = self._flows.get(organisation)
        if flow is None:
            return False
        for index, entry in enumerate(flow.items):
            if entry[3] is item:
                del flow.items[index]
                flow.tokens -= entry[2]
                self._drop_if_empty(organisation)
                return True
        return False

    def wait_s(
        self,
        *,
        organisation: str,
        weight: float,
        deadline: float,
        rate: float,
        now: float,
    ) -> float:
        """Return the expected wait of a new item in seconds.

        Parameters
        ----------
        organisation, weight, deadline
            Values with which the new item would be pushed.
        rate : float
            Tokens served per second for all organisations.
        """
        flow = self._flows.get(organisation)
        own_tokens = 0.0
        if flow is not None:
            own_tokens = sum(entry[2] for entry in flow.items if entry[0] <= deadline)
        return self._wait_s(organisation, weight, own_tokens, rate, now)

    def causes_late_start(
        self,
        *,
        organisation: str,
        weight: float,
        cost: float,
        deadline: float,
        rate: float,
        now: float,
    ) -> bool:
        """Return whether a new item would make a queued item start too late.

        Only items of the same organisation with a later deadline are checked,
        because items of other organisations are served at their own rate.
        """
        flow = self._flows.get(organisation)
        if flow is None or flow.items[-1][0] <= deadline:
            return False
        total = flow.tokens + cost
        s_per_token = self._wait_s(organisation, weight, total, rate, now) / total
        ahead = cost
        for entry in flow.items:
            if entry[0] > deadline:
                latest_start = entry[4]
                start_without = now + s_per_token * (ahead - cost)
                # Ignores items that are late even without the new one.
                if start_without <= latest_start < now + s_per_token * ahead:
                    return True
            ahead += entry[2]
        return False

    def _wait_s(
        self,
        organisation: str,
        weight: float,
        own_tokens: float,
        rate: float,
        now: float,
    ) -> float:
        """Return the seconds until ``own_tokens`` of an organisation are served."""
        flow = self._flows.get(organisation)
        weight = max(MIN_WEIGHT, weight)
        scale = self._scale(now)
        level = (self._service.get(organisation, 0.0) / scale + own_tokens) / weight
        ahead = own_tokens
        for name, other in self._flows.items():
            if name != organisation:
                service = self._service.get(name, 0.0) / scale
                served_before = level * other.weight - service
                ahead += min(other.tokens, max(0.0, served_before))
        wait_s = ahead / max(1.0, rate)
        if flow is not None and now - flow.since > MIN_RATE_AGE_S:
            # Work that arrives later takes some of the service; the flow's past rate
            # includes this effect.
            own_rate = flow.served / (now - flow.since)
            own_rate_wait_s = own_tokens / max(1.0, own_rate)
            wait_s = max(wait_s, min(own_rate_wait_s, MAX_WAIT_FACTOR * wait_s))
            if now - flow.since > RATE_WINDOW_S:
                flow.since = (flow.since + now) / 2.0
                flow.served /= 2.0
        return wait_s

    def _limit_credit(self, organisation: str, weight: float, now: float) -> None:
        if not self._flows:
            return
        least = self._next_organisation()
        level = self._service.get(least, 0.0) / self._flows[least].weight
        level -= MAX_CREDIT_TOKENS * self._scale(now)
        service = max(self._service.get(organisation, 0.0), level * weight)
        if service > 0.0:
            self._service[organisation] = service

    def _next_organisation(self) -> str:
        return min(
            self._flows,
            key=lambda name: self._service.get(name, 0.0) / self._flows[name].weight,
        )

    def _scale(self, now: float) -> float:
        return math.exp(max(0.0, min(700.0, (now - self._scale_start) / DECAY_TAU_S)))

    def _charge(self, organisation: str, cost: float, now: float) -> None:
        scale = self._scale(now)
        if scale > MAX_SCALE:
            self._service = {
                name: service / scale
                for name, service in self._service.items()
                if service / scale > MIN_SERVICE_TOKENS
            }
            self._scale_start = now
            scale = 1.0
        service = self._service.get(organisation, 0.0) + cost * scale
        self._service[organisation] = max(0.0, service)

    def _drop_if_empty(self, organisation: str) -> None:
        if not self._flows[organisation].items:
            del self._flows[organisation]
