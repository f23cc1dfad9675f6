"""Decides whether a call may wait for an upstream or is refused at once.

Load pattern: for some seconds, more calls arrive than the upstreams can serve. A call
that is refused at once can be repeated elsewhere or later; one that is refused at its
deadline has lost its time. When the call would be sent follows from the calls ahead of
it and the rate at which waiting calls leave. The rate is a count over a short period,
so a call is refused only if the highest rate that is compatible with the count is too
low as well; with few or no counts that rate is high, and the call waits.
"""

import math
from dataclasses import dataclass

from endivelug.forwarding.overload.flow import Flow
from endivelug.forwarding.request_queue import QueueAhead

# Quantile of the normal distribution for one-sided confidence of 95 %.
CONFIDENCE_QUANTILE = 1.645
# No call is refused while a smaller share of the capacity is taken.
MIN_TAKEN_SHARE = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Capacity:
    """What the upstreams of a service have, and what requests of all VMs take of it.

    Attributes
    ----------
    slots, memory_tokens : int
        Slots, and tokens of KV cache that requests may reserve; 0 for plain services.
    taken_slots, taken_tokens : int
        Those taken.
    """

    slots: int
    taken_slots: int
    memory_tokens: int = 0
    taken_tokens: int = 0

    @property
    def taken_share(self) -> float:
        """Share that is taken of whatever is scarcer; 0 without any upstream.

        Examples
        --------
        >>> Capacity(
        ...     slots=8, taken_slots=2, memory_tokens=8, taken_tokens=6
        ... ).taken_share
        0.75
        """
        shares = [
            taken / total
            for taken, total in (
                (self.taken_slots, self.slots),
                (self.taken_tokens, self.memory_tokens),
            )
            if total > 0
        ]
        return max(shares, default=0.0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Estimate:
    """When a call would be sent.

    Attributes
    ----------
    ahead : int
        Calls that are sent before it.
    wait_s : float
        Expected time in which those ahead are sent; a caller that returns then goes
        before new ones.
    shortest_wait_s : float
        Time until it is sent at the highest rate that is compatible with the counts.
    rate : float
        Calls per second that leave the queue, without those that overtake it.
    sent : int
        Number of calls from which the rate was measured.
    period_s : float
        Time over which they were counted.
    remaining_s : float
        Time that remains until the call must be sent.
    """

    ahead: int
    wait_s: float
    shortest_wait_s: float
    rate: float
    sent: int
    period_s: float
    remaining_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class WaitingCall:
    """A call that waits, and what is sent before it.

    Attributes
    ----------
    ahead, ahead_when_late : QueueAhead
        What is sent before it now, and once its target can no longer be met.
    tokens : int
        Tokens of its prompt and output.
    until_late_s : float
        Time from which its target can no longer be met; calls that can be on time are
        then sent before it.
    remaining_s : float
        Time until which it must be sent for its caller to be served.
    """

    ahead: QueueAhead
    ahead_when_late: QueueAhead
    tokens: int
    until_late_s: float
    remaining_s: float


def late_estimate(call: WaitingCall, *, flow: Flow) -> Estimate | None:
    """Return when a call would be sent if it clearly cannot be sent in time, or None.

    A call is never refused for lack of room that less urgent calls have got meanwhile.

    Examples
    --------
    >>> flow = Flow(period_s=2.0, waiting_s=2.0, sent=20)
    >>> ahead = QueueAhead(requests=39, tokens=0)
    >>> call = WaitingCall(ahead=ahead, ahead_when_late=ahead, tokens=0,
    ...                    until_late_s=0.5, remaining_s=1.0)
    >>> late_estimate(call, flow=flow).wait_s
    4.0
    """
    if flow.less_urgent_sent > 0 or flow.period_s <= 0:
        return None
    ahead = call.ahead
    if call.until_late_s > 0:
        estimate = _estimate(call, ahead, flow, flow.overtaking)
        if estimate.shortest_wait_s <= min(call.until_late_s, call.remaining_s):
            return None
        ahead = call.ahead_when_late
    estimate = _estimate(call, ahead, flow, flow.overtaking_late)
    if estimate.shortest_wait_s <= max(0.0, call.remaining_s):
        return None
    return estimate


def late_at_rate(call: WaitingCall, *, flow: Flow, rate: float) -> Estimate | None:
    """Return when a call would be sent at a known rate if that is too late, or None.

    Examples
    --------
    >>> ahead = QueueAhead(requests=1, tokens=0)
    >>> call = WaitingCall(ahead=ahead, ahead_when_late=ahead, tokens=0,
    ...                    until_late_s=0.5, remaining_s=3.0)
    >>> flow = Flow(period_s=0.0, waiting_s=0.0, sent=0)
    >>> late_at_rate(call, flow=flow, rate=0.5).wait_s
    4.0
    >>> late_at_rate(call, flow=flow, rate=1.0)
    """
    wait_s = (call.ahead.requests + 1) / rate
    if flow.less_urgent_sent > 0 or wait_s <= call.remaining_s:
        return None
    return Estimate(
        ahead=call.ahead.requests,
        wait_s=wait_s,
        shortest_wait_s=wait_s,
        rate=rate,
        sent=flow.sent,
        period_s=flow.period_s,
        remaining_s=call.remaining_s,
    )


def _estimate(
    call: WaitingCall, ahead: QueueAhead, flow: Flow, overtaking: int
) -> Estimate:
    """Return when a call would be sent.

    The time follows from the number of the calls ahead or from their tokens, whichever
    takes longer: a few long prompts take the room of many short ones. Calls that
    overtake are expected for as long as the queue has existed; a peak may end then.
    """
    room = max(0, flow.sent - overtaking)
    rate = _highest_rate(room, flow.sent + overtaking, flow.period_s)
    rate_without = _highest_rate(flow.sent, flow.sent, flow.period_s)
    units = ahead.requests + 1.0
    if flow.sent_tokens > 0 and call.tokens > 0:
        # Calls of average size that need as much room as those ahead and the call. A
        # call passes larger ones for which there is no room, so these count as much as
        # itself. What may have been missed by chance counts as much as well.
        missed = _margin(flow.sent)
        average = (flow.sent_tokens + missed * call.tokens) / (flow.sent + missed)
        tokens = min(ahead.tokens, ahead.requests * call.tokens) + call.tokens
        units = max(units, tokens / average)
    shortest_s = units / rate
    if shortest_s > flow.waiting_s:
        left = units - rate * flow.waiting_s
        shortest_s = flow.waiting_s + left / rate_without
    # Once the queue is worked off, a caller that returns goes before new ones.
    wait_s = units * flow.period_s / flow.sent if flow.sent else shortest_s
    return Estimate(
        ahead=ahead.requests,
        wait_s=wait_s,
        shortest_wait_s=shortest_s,
        rate=room / flow.period_s,
        sent=flow.sent,
        period_s=flow.period_s,
        remaining_s=call.remaining_s,
    )


def _highest_rate(count: int, counted: int, period_s: float) -> float:
    """Return the highest rate that is compatible with a count, also with none.

    The count is a sum or difference of Poisson counts of ``counted`` events in all.
    """
    return (count + _margin(counted)) / period_s


def _margin(counted: int) -> float:
    """Return by how much a count of events may be too low by chance."""
    return CONFIDENCE_QUANTILE * math.sqrt(counted) + CONFIDENCE_QUANTILE**2
