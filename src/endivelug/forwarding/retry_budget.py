"""One retry budget for all VMs.

Load pattern: an upstream that refuses or loses many requests makes every VM retry at
the same time. What all of them send beyond first attempts is bounded over a sliding
window, so each VM uses its share of the budget and, within a tenth of a second, what
its peers report as unused.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

# Part of the budget that is kept back, because reports of peers are late.
SAFETY = 0.7
# Parts into which the unused rest is divided at least, and VMs to a part beyond that:
# all VMs see the same rest at the same time, but few need it.
REST_PARTS = 2
VMS_TO_A_PART = 4


@dataclass(slots=True, kw_only=True)
class WindowCount:
    """Events within a sliding window.

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
        """Count events."""
        self.events.append((now, count))
        self.sum += count

    def total(self, *, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self.events and self.events[0][0] <= now - self.window_s:
            self.sum -= self.events.popleft()[1]
        return self.sum


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryReport:
    """What one VM, or several, counted in the window for one service."""

    service: str
    requests: int
    retries: int


@dataclass(slots=True, kw_only=True)
class _Counts:
    requests: WindowCount
    retries: WindowCount


@dataclass(slots=True, kw_only=True)
class SharedRetryBudget:
    """Retries that this VM may send to each service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request over the window.
    slack : float
        Retries allowed beyond that, for all VMs together.
    vms : int
        VMs that share the budget; those that do not report count with an equal share.
    speaks_for : dict of str to int
        Number of VMs whose counts each neighbour reports.
    """

    ratio: float
    slack: float
    window_s: float
    vms: int = 1
    counts: dict[str, _Counts] = field(default_factory=dict)
    peers: dict[str, dict[str, RetryReport]] = field(default_factory=dict)
    speaks_for: dict[str, int] = field(default_factory=dict)

    def request(self, service: str, *, now: float) -> None:
        """Count a caller's request for a service."""
        self._of(service).requests.add(now=now)

    def take(self, service: str, *, now: float) -> bool:
        """Take one retry; False where the budget is used up."""
        counts = self._of(service)
        if self.used(service, now=now) + 1 > self.allowed(service, now=now):
            return False
        counts.retries.add(now=now)
        return True

    def used(self, service: str, *, now: float) -> float:
        """Return the retries of this VM in the window."""
        return self._of(service).retries.total(now=now)

    def allowed(self, service: str, *, now: float) -> float:
        """Return how many retries this VM may have in the window.

        The unused part of what the reporting peers could use is shared out; peers
        that are silent keep their equal share of the slack.
        """
        own = self._of(service).requests.total(now=now)
        reports = [peer[service] for peer in self.peers.values() if service in peer]
        requests = own + sum(report.requests for report in reports)
        total = SAFETY * (self.ratio * requests + self.slack)
        vms = max(1, self.vms)
        share = SAFETY * (self.ratio * own + self.slack / vms)
        if not reports:
            return share
        retries = sum(report.retries for report in reports)
        silent = max(0, vms - 1 - sum(self.speaks_for.values()))
        left = total - retries - silent * SAFETY * self.slack / vms
        used = self.used(service, now=now)
        parts = max(REST_PARTS, vms / VMS_TO_A_PART)
        rest = used + (left - used) / parts if left > used else 0.0
        return max(min(share, left), rest)

    def report(self, *, include: Collection[str] = (), now: float) -> list[RetryReport]:
        """Return the counts of this VM and of some neighbours, for another one."""
        services = set(self.counts)
        for vm in include:
            services.update(self.peers.get(vm, ()))
        return [self._sum_of(service, include, now=now) for service in sorted(services)]

    def heard(self, vm: str, reports: list[RetryReport], *, vms: int = 1) -> None:
        """Take in the counts of a neighbour, which may speak for several VMs."""
        self.peers[vm] = {report.service: report for report in reports}
        self.speaks_for[vm] = vms

    def forget(self, vm: str) -> None:
        """Drop the counts of a neighbour that is gone."""
        self.peers.pop(vm, None)
        self.speaks_for.pop(vm, None)

    def _sum_of(
        self, service: str, include: Collection[str], *, now: float
    ) -> RetryReport:
        counts = self._of(service)
        requests = counts.requests.total(now=now)
        retries = counts.retries.total(now=now)
        for vm in include:
            report = self.peers.get(vm, {}).get(service)
            if report is not None:
                requests += report.requests
                retries += report.retries
        return RetryReport(service=service, requests=requests, retries=retries)

    def _of(self, service: str) -> _Counts:
        counts = self.counts.get(service)
        if counts is None:
            counts = _Counts(
                requests=WindowCount(window_s=self.window_s),
                retries=WindowCount(window_s=self.window_s),
            )
            self.counts[service] = counts
        return counts
