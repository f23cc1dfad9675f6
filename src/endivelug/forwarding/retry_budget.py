"""Retry budget that all VMs share.

Load pattern: an upstream that refuses or loses many requests makes every VM retry at
the same time. The retries of all VMs together are bounded over a sliding window. Each
VM may use its own share of the budget and, within a tenth of a second, a part of what
its peers report as unused.
"""

from collections import deque
from dataclasses import dataclass, field

from endivelug.forwarding.neighbour_sums import NeighbourSums, RetryCount

# Share of the budget that is used; the rest covers retries that peers have not
# reported yet.
USABLE_SHARE = 0.7
# The unused budget is divided by the larger of this and the number of VMs over
# VMS_PER_DIVISOR. All VMs see the same unused budget at the same time, but few need it.
MIN_UNUSED_DIVISOR = 2
VMS_PER_DIVISOR = 4


@dataclass(slots=True, kw_only=True)
class WindowCount:
    """Count of events within a sliding window.

    Examples
    --------
    >>> count = WindowCount(window_s=10.0)
    >>> count.add(now=0.0); count.add(now=5.0)
    >>> count.total(now=9.0), count.total(now=12.0)
    (2, 1)
    """

    window_s: float
    events: deque[tuple[float, int]] = field(default_factory=deque)
    sum: int = 0

    def add(self, *, now: float, count: int = 1) -> None:
        """Add events at a time."""
        self.events.append((now, count))
        self.sum += count

    def total(self, *, now: float) -> int:
        """Drop expired events and return the number within the window."""
        while self.events and self.events[0][0] <= now - self.window_s:
            self.sum -= self.events.popleft()[1]
        return self.sum


@dataclass(slots=True, kw_only=True)
class RetryReport:
    """Requests and retries of one or several VMs to one service in the window."""

    service: str
    requests: int
    retries: int


@dataclass(slots=True, kw_only=True)
class _Counts:
    requests: WindowCount
    retries: WindowCount


@dataclass(slots=True, kw_only=True)
class SharedRetryBudget:
    """Part of the shared retry budget that is available to this VM, by service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request over the window.
    slack : float
        Retries allowed beyond that, for all VMs together.
    vms : int
        Number of VMs that share the budget. Each VM that does not report is assumed to
        use an equal share of the slack.
    counts : dict of str to _Counts
        Requests and retries of this VM by service.
    neighbours : NeighbourSums of RetryCount
        What the neighbours report, by service.
    represented_vms : dict of str to int
        Number of VMs that the reports of each neighbour cover.
    """

    ratio: float
    slack: float
    window_s: float
    vms: int = 1
    counts: dict[str, _Counts] = field(default_factory=dict)
    neighbours: NeighbourSums[RetryCount] = field(
        default_factory=lambda: NeighbourSums(zero=RetryCount())
    )
    represented_vms: dict[str, int] = field(default_factory=dict)

    def record_request(self, service: str, *, now: float) -> None:
        """Count a caller's request to a service."""
        self._counts_of(service).requests.add(now=now)

    def try_acquire(self, service: str, *, now: float) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        counts = self._counts_of(service)
        if self.used(service, now=now) + 1 > self.allowed(service, now=now):
            return False
        counts.retries.add(now=now)
        return True

    def used(self, service: str, *, now: float) -> float:
        """Return the number of retries by this VM in the window."""
        return self._counts_of(service).retries.total(now=now)

    def allowed(self, service: str, *, now: float) -> float:
        """Return how many retries this VM may send in the window.

        The budget that reporting peers leave unused is divided among all VMs. An equal
        share of the slack stays reserved for each VM that does not report.
        """
        own = self._counts_of(service).requests.total(now=now)
        others = self.neighbours.total(service)
        total = USABLE_SHARE * (self.ratio * (own + others.requests) + self.slack)
        vms = max(1, self.vms)
        share = USABLE_SHARE * (self.ratio * own + self.slack / vms)
        if not self.represented_vms:
            return share
        silent = max(0, vms - 1 - sum(self.represented_vms.values()))
        left = total - others.retries - silent * USABLE_SHARE * self.slack / vms
        used = self.used(service, now=now)
        divisor = max(MIN_UNUSED_DIVISOR, vms / VMS_PER_DIVISOR)
        allowance = used + (left - used) / divisor if left > used else 0.0
        return max(min(share, left), allowance)

    def requests_per_s(self, service: str, *, now: float) -> float:
        """Return the rate of the requests of all VMs in the window."""
        own = self._counts_of(service).requests.total(now=now)
        return (own + self.neighbours.total(service).requests) / self.window_s

    def request_share(self, service: str, *, now: float) -> float:
        """Return this VM's share of the requests of all VMs in the window."""
        # A request of this VM that comes now is not counted yet.
        own = max(1, self._counts_of(service).requests.total(now=now))
        return own / (own + max(0, self.neighbours.total(service).requests))

    def own(self, service: str, *, now: float) -> RetryCount:
        """Return the counts of this VM."""
        counts = self._counts_of(service)
        return RetryCount(
            requests=counts.requests.total(now=now),
            retries=counts.retries.total(now=now),
        )

    def forget(self, vm: str) -> None:
        """Remove the counts of a neighbour that is no longer linked."""
        self.neighbours.drop(vm)
        self.represented_vms.pop(vm, None)

    def _counts_of(self, service: str) -> _Counts:
        counts = self.counts.get(service)
        if counts is None:
            counts = _Counts(
                requests=WindowCount(window_s=self.window_s),
                retries=WindowCount(window_s=self.window_s),
            )
            self.counts[service] = counts
        return counts
