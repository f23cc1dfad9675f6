"""Decides when this VM may send to an upstream that limits the requests of all VMs.

Load pattern: an upstream takes few requests a second from all VMs together, often far
fewer than one a VM, while any VM may have calls for it and hears of the sends of the
others up to half a second late. Time is cut into short windows. A VM that has a call
opens one, and takes its part of what all VMs may send in a window, by its weight among
the VMs that have opened windows lately. Counts of the requests of some seconds correct
the rate, as a proportional controller does, so that errors of the parts do not add up.
"""

import math
from dataclasses import dataclass, field

from endivelug.forwarding.window_count import WindowCount

# Part of the limit that is used; the rest covers weights that have risen since the last
# reports.
USABLE_PART = 0.95
# Length of a window: about the age of a report.
WINDOW_S = 0.25
# Period over which opened windows are counted.
OPENED_S = 0.5
# Period over which requests are counted.
SENT_S = 4.0
# Time in which a surplus of requests is taken back. Shorter times oscillate, because
# requests of other VMs are known only about half a second after they were sent.
CORRECTION_S = 2.0
# Unused requests count for at most what the limit allows in this time, so that no burst
# follows an idle time.
UNUSED_S = 0.5
# Time after its first window until a VM knows which others have begun with it.
NEWCOMER_S = 0.75
# Part of the requests of a counting period that all VMs together may send with their
# first windows, before they know of each other.
FIRST_PART = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class OthersUse:
    """What the other VMs report about one upstream.

    Attributes
    ----------
    sent : int
        Their requests within the counting period.
    opened : int
        Weights of the windows that they have opened within the period for these.
    vms : int
        Number of VMs that report, this one included.
    share : float
        Part of the limit that these VMs may use together.
    """

    sent: int = 0
    opened: int = 0
    vms: int = 1
    share: float = 1.0


@dataclass(slots=True, kw_only=True)
class LimitShare:
    """What this VM may use of the limit of one upstream.

    Attributes
    ----------
    limit : float
        Requests a second that the upstream takes from all VMs; above 0.
    credit : float
        Part of a request, below 1, that earlier windows left over. It begins at random,
        so that VMs with equal parts do not all send their first request at once.
    rate : float
        Requests a second that the VMs which report may send, as of the last window.
    sent, opened : WindowCount
        Requests of this VM, and weights of the windows that it has opened.
    active_since : float
        Time since which this VM has opened windows without a pause.
    window_ends, allotment : float, int
        End of the current window, and the requests that may still be sent in it.
    next_at : float
        Time from which the next request is due, if no VM but this one has calls.
    """

    limit: float
    credit: float
    rate: float = field(init=False)
    sent: WindowCount = field(default_factory=lambda: WindowCount(window_s=SENT_S))
    opened: WindowCount = field(default_factory=lambda: WindowCount(window_s=OPENED_S))
    active_since: float = float("-inf")
    window_ends: float = float("-inf")
    allotment: int = 0
    next_at: float = float("-inf")
    _others_sent: int = 0

    def __post_init__(self) -> None:
        self.rate = USABLE_PART * self.limit

    def has_window(self, *, now: float) -> bool:
        """Return whether a window is open."""
        return now < self.window_ends

    def open_window(self, others: OthersUse, *, weight: int, now: float) -> None:
        """Begin a window, and take this VM's part of it.

        Parameters
        ----------
        weight : int
            Weight of this VM: about the number of its calls; at least 1.
        """
        is_first = not self.opened.total(now=now)
        if is_first:
            self.active_since = now
        self.window_ends = now + WINDOW_S
        self.opened.add(now=now, count=weight)
        self.rate = USABLE_PART * self.limit * others.share
        self._follow_others(others, now=now)
        competing = self.competing(others, weight=weight, now=now)
        total = self._window_total(others, now=now)
        if others.vms > 1 and now < self.active_since + NEWCOMER_S:
            part = self._newcomer_part(others, total, competing, is_first=is_first)
        elif competing > 1.0:
            part = total / competing
        else:
            part = float(self._due_alone(others, now=now))
        self.credit += part
        self.allotment = math.floor(self.credit)
        self.credit -= self.allotment

    def record_sent(self, *, now: float) -> None:
        """Count a request of this VM, which may also exceed its part."""
        self.allotment -= 1
        self.sent.add(now=now)
        self._delay_next(1, now=now)

    def competing(self, others: OthersUse, *, weight: int, now: float) -> float:
        """Return the mean weight of all VMs with a window, in multiples of this one."""
        opened = self.opened.total(now=now) + others.opened
        return max(1.0, opened * WINDOW_S / OPENED_S / weight)

    def _window_total(self, others: OthersUse, *, now: float) -> float:
        """Return how many requests all VMs that report may send in one window."""
        unused = self.rate * SENT_S - self.sent.total(now=now) - others.sent
        unused = min(unused, self.rate * UNUSED_S)
        return max(0.0, self.rate + unused / CORRECTION_S) * WINDOW_S

    def _newcomer_part(
        self, others: OthersUse, total: float, competing: float, *, is_first: bool
    ) -> float:
        """Return the part of a VM that does not know yet which others have calls.

        Calls may have come to many VMs at the same moment. As many of them as the
        square root of their number are expected besides those known: fewer would leave
        the upstream idle where few calls come to many VMs.
        """
        expected = max(competing, min(competing + math.sqrt(others.vms), others.vms))
        part = total / expected
        if not is_first:
            return part
        room = max(0.0, self.rate * SENT_S - self.sent.sum - others.sent)
        return max(part, min(1.0, FIRST_PART * room / others.vms))

    def _due_alone(self, others: OthersUse, *, now: float) -> int:
        """Return the requests that are due in this window if no other VM has calls."""
        window_ends = now + WINDOW_S
        if self.next_at > window_ends:
            return 0
        earliest = max(self.next_at, now - WINDOW_S)
        due = 1 + math.floor((window_ends - earliest) * self.rate)
        # What others sent before counts as well.
        room = self.rate * SENT_S + 1.0 - self.sent.total(now=now) - others.sent
        return max(0, min(due, math.floor(room)))

    def _follow_others(self, others: OthersUse, *, now: float) -> None:
        more = others.sent - self._others_sent
        self._others_sent = others.sent
        if more > 0:
            self._delay_next(more, now=now)

    def _delay_next(self, requests: int, *, now: float) -> None:
        self.next_at = max(self.next_at, now - WINDOW_S) + requests / self.rate
