"""Rates at which the calls of a service arrive at and leave one VM.

Counts are kept in short intervals, so that a rate costs the same at any load. The rate
at which waiting calls leave already contains what other VMs take of the same upstreams.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

# Length of an interval, and of the period over which rates are measured. The period is
# as long as a usual generation, so that runs that end together do not look like a
# standstill.
INTERVAL_S = 0.1
PERIOD_S = 4.0
_INTERVALS = round(PERIOD_S / INTERVAL_S)


@dataclass(slots=True, kw_only=True, frozen=True)
class Flow:
    """Calls of a service over a period in which calls as urgent as one call waited.

    Attributes
    ----------
    period_s : float
        Length of the period; 0 if nothing as urgent has waited.
    waiting_s : float
        Time for which calls have waited; may be longer than the period.
    sent, sent_tokens : int
        Calls of all priorities that were sent, and their tokens.
    overtaking, overtaking_late : int
        Calls that have come steadily and are sent before a call that can be on time
        (more urgent ones), and before a late one (equally urgent ones as well). It is
        twice the number in that half of the period in which fewer came, so that a burst
        does not count as a rate.
    less_urgent_sent : int
        Calls sent that were less urgent.
    """

    period_s: float
    waiting_s: float
    sent: int
    sent_tokens: int = 0
    overtaking: int = 0
    overtaking_late: int = 0
    less_urgent_sent: int = 0


@dataclass(slots=True, kw_only=True)
class _Interval:
    number: int
    arrived: Counter[int] = field(default_factory=Counter)
    sent: Counter[int] = field(default_factory=Counter)
    sent_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class FlowMeter:
    """Counts of one service by priority, and since when calls wait.

    Attributes
    ----------
    waiting : dict of int to int
        Number of waiting calls by priority.
    waiting_since : dict of int to float
        Time since which there has always been a waiting call of the priority.
    valid_from : float
        Time of the last change of the upstreams; older counts are of other upstreams.
    """

    intervals: deque[_Interval] = field(
        default_factory=lambda: deque(maxlen=_INTERVALS)
    )
    waiting: Counter[int] = field(default_factory=Counter)
    waiting_since: dict[int, float] = field(default_factory=dict)
    valid_from: float = 0.0

    def record_arrival(self, priority: int, *, now: float) -> None:
        """Count a call that is sent at once or begins to wait."""
        self._interval(now).arrived[priority] += 1

    def record_refusal(self, priority: int, *, now: float) -> None:
        """Take a refused call out of the arrivals: it takes no room."""
        self._interval(now).arrived[priority] -= 1

    def record_sent(self, priority: int, *, tokens: int, now: float) -> None:
        """Count a call that got an instance."""
        interval = self._interval(now)
        interval.sent[priority] += 1
        interval.sent_tokens += tokens

    def begin_waiting(self, priority: int, *, now: float) -> None:
        """Count a call that begins to wait."""
        self.waiting[priority] += 1
        self.waiting_since.setdefault(priority, now)

    def end_waiting(self, priority: int) -> None:
        """Count a call that no longer waits."""
        self.waiting[priority] -= 1
        if self.waiting[priority] <= 0:
            del self.waiting[priority]
            del self.waiting_since[priority]

    def restart(self, *, now: float) -> None:
        """Disregard the counts so far, because the upstreams have changed."""
        self.valid_from = now

    def flow(self, priority: int, *, now: float) -> Flow:
        """Return the counts while calls at least as urgent as ``priority`` waited."""
        since = min(
            (at for level, at in self.waiting_since.items() if level <= priority),
            default=now,
        )
        since = max(since, self.valid_from)
        current = int(now / INTERVAL_S)
        first = max(math.ceil(since / INTERVAL_S), current - _INTERVALS + 1)
        period_s = max(0.0, now - first * INTERVAL_S)
        middle = first + (current - first + 1) // 2
        sent = tokens = less_urgent = 0
        urgent, equal = [0, 0], [0, 0]
        for interval in self.intervals:
            if interval.number < first:
                continue
            tokens += interval.sent_tokens
            for level, count in interval.sent.items():
                sent += count
                less_urgent += count if level > priority else 0
            half = 0 if interval.number < middle else 1
            for level, count in interval.arrived.items():
                urgent[half] += count if level < priority else 0
                equal[half] += count if level == priority else 0
        return Flow(
            period_s=period_s,
            waiting_s=now - since,
            sent=sent,
            sent_tokens=tokens,
            overtaking=2 * max(0, min(urgent)),
            overtaking_late=2 * max(0, min(urgent[0] + equal[0], urgent[1] + equal[1])),
            less_urgent_sent=less_urgent,
        )

    def _interval(self, now: float) -> _Interval:
        number = int(now / INTERVAL_S)
        if not self.intervals or self.intervals[-1].number != number:
            self.intervals.append(_Interval(number=number))
        return self.intervals[-1]
