"""Retry budget that all VMs share.

Load pattern: an upstream that refuses or loses many requests makes every VM retry at
the same time. The retries of all VMs together are bounded over a sliding window, also
while VMs start, pause, or do not hear of each other.

Each VM uses its own part of the budget without asking: a share of the retries that its
own requests allow, and of the slack. The rest is a pool (``retry_pool``), from which a
VM takes only while it knows what the others have taken.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.neighbour_sums import NeighbourSums, RetryCount
from endivelug.forwarding.retry_pool import PoolGrants
from endivelug.forwarding.window_count import WindowCount

# Part of the budget that is used. Requests are counted up to now, and the rule counts
# them in windows that end later, which differ by the noise of the arrivals.
USABLE_SHARE = 0.95
# Part of it that VMs use without asking; the rest is the pool.
OWN_PART = 0.3
# Upper bound of the time from the start of an attempt to its arrival: connecting takes
# up to 0.35 s. A retry counts for this long beyond the window.
ARRIVAL_MARGIN_S = 0.5
# From this number of VMs, an equal part of the pool of a service with few requests is
# less than one retry, and few VMs need one at the same moment. Each may then take one
# while at least half of the pool is unused.
MANY_VMS = 32
ROUNDING_ERROR = 1e-9


@dataclass(slots=True, kw_only=True)
class RetryReport:
    """Requests of one or several VMs, and what they claim of the pool."""

    service: str
    requests: int
    retries: int


@dataclass(slots=True, kw_only=True)
class RetryReservation:
    """A retry that is counted.

    Attributes
    ----------
    from_pool : float
        What it uses of the pool.
    sent_at : float or None
        Start of its attempt; None while it waits.
    """

    service: str
    from_pool: float
    sent_at: float | None = None


@dataclass(slots=True, kw_only=True)
class _Counts:
    requests: WindowCount
    retries: WindowCount
    pool: PoolGrants
    departed: WindowCount
    waiting: int = 0

    def used(self, *, now: float) -> float:
        return self.retries.total(now=now) + self.waiting


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
        Number of VMs that may be using the budget, reporting or not.
    cautious_until : float
        Until then the VM sends no retries.
    reports_current : callable
        Whether this VM knows what the VMs that report to it have taken from the pool.
    on_taken : callable
        Called after this VM has taken from the pool, so that the others hear of it.
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
    cautious_until: float = float("-inf")
    reports_current: Callable[[], bool] = lambda: True
    on_taken: Callable[[], None] = lambda: None
    counts: dict[str, _Counts] = field(default_factory=dict)
    neighbours: NeighbourSums[RetryCount] = field(
        default_factory=lambda: NeighbourSums(zero=RetryCount())
    )
    represented_vms: dict[str, int] = field(default_factory=dict)

    def record_request(self, service: str, *, now: float) -> None:
        """Count a caller's request to a service."""
        self._counts_of(service).requests.add(now=now)

    def reserve(self, service: str, *, now: float) -> RetryReservation | None:
        """Count a retry that is to be sent, or return None if none is allowed.

        It counts until it was sent, however long it waits, and within the window after
        that: retries that waited for an upstream arrive together.
        """
        if now < self.cautious_until:
            return None
        counts = self._counts_of(service)
        allowed = self._own_share(counts, now=now) + counts.pool.used(now=now)
        from_pool = max(0.0, counts.used(now=now) + 1 - allowed)
        if from_pool < ROUNDING_ERROR:
            from_pool = 0.0
        else:
            self._take_from_pool(service, counts, now=now)
            if counts.pool.available(now=now) + ROUNDING_ERROR < from_pool:
                return None
            counts.pool.reserve(from_pool)
        counts.waiting += 1
        return RetryReservation(service=service, from_pool=from_pool)

    def allows(self, service: str, *, now: float) -> bool:
        """Return whether a retry would be allowed; none is counted."""
        reservation = self.reserve(service, now=now)
        if reservation is not None:
            self.release(reservation)
        return reservation is not None

    def record_sent(self, reservation: RetryReservation, *, now: float) -> None:
        """Count a retry from the start of its attempt."""
        self.release(reservation)
        reservation.sent_at = now
        counts = self._counts_of(reservation.service)
        counts.retries.add(now=now)
        if reservation.from_pool:
            counts.pool.spent.add(now=now, count=reservation.from_pool)

    def record_not_sent(self, reservation: RetryReservation) -> None:
        """Let a retry wait again whose attempt has reached no upstream."""
        if reservation.sent_at is None:
            return
        counts, sent_at = self._counts_of(reservation.service), reservation.sent_at
        counts.retries.remove(at=sent_at)
        counts.pool.spent.remove(at=sent_at, count=reservation.from_pool)
        reservation.sent_at = None
        counts.waiting += 1
        counts.pool.reserved += reservation.from_pool

    def release(self, reservation: RetryReservation) -> None:
        """Stop counting a retry unless it was sent."""
        if reservation.sent_at is None:
            counts = self._counts_of(reservation.service)
            counts.waiting -= 1
            counts.pool.reserved -= reservation.from_pool

    def try_acquire(self, service: str, *, now: float) -> bool:
        """Count a retry that is sent now; return False if none is allowed."""
        reservation = self.reserve(service, now=now)
        if reservation is None:
            return False
        self.record_sent(reservation, now=now)
        return True

    def used(self, service: str, *, now: float) -> float:
        """Return the retries of this VM that count: sent in the window, or waiting."""
        return self._counts_of(service).used(now=now)

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
        """Return the requests of this VM, and what it claims of the pool."""
        counts = self._counts_of(service)
        return RetryCount(
            requests=int(counts.requests.total(now=now)),
            retries=math.ceil(counts.pool.claimed(now=now) - ROUNDING_ERROR),
        )

    def assume_predecessor(self, *, now: float) -> None:
        """Send no retries while those of a former process of this VM may count.

        It may have used its whole share, and taken from the pool without a report.
        """
        self.cautious_until = now + self.window_s + ARRIVAL_MARGIN_S

    def forget(self, vm: str, *, now: float) -> None:
        """Remove the counts of a neighbour that is no longer linked.

        What the VMs that it reported for have taken from the pool counts until the
        window has passed, with a part that they may have taken without a report.
        """
        represented = self.represented_vms.get(vm, 1)
        amounts = self.neighbours.amounts.get(vm, {})
        for service, count in amounts.items():
            counts = self._counts_of(service)
            reporting = 1 + sum(self.represented_vms.values())
            unreported = represented * self._pool(service, now=now) / reporting
            counts.departed.add(now=now, count=count.retries + unreported)
        self.neighbours.drop(vm)
        self.represented_vms.pop(vm, None)

    def _own_share(self, counts: _Counts, *, now: float) -> float:
        """Return how many retries this VM may send in the window without asking."""
        return OWN_PART * self._equal_share(counts, now=now)

    def _equal_share(self, counts: _Counts, *, now: float) -> float:
        """Return what the requests of this VM and its share of the slack allow."""
        slack = self.slack / self._known_vms()
        return USABLE_SHARE * (self.ratio * counts.requests.total(now=now) + slack)

    def _known_vms(self) -> int:
        return max(self.vms, 1 + sum(self.represented_vms.values()))

    def _pool(self, service: str, *, now: float) -> float:
        """Return the pool of this VM and those that report to it."""
        own = self._counts_of(service).requests.total(now=now)
        requests = own + self.neighbours.total(service).requests
        reporting = 1 + sum(self.represented_vms.values())
        slack = self.slack * reporting / self._known_vms()
        return (1 - OWN_PART) * USABLE_SHARE * (self.ratio * requests + slack)

    def _take_from_pool(self, service: str, counts: _Counts, *, now: float) -> None:
        """Take an equal part of what is unused in the pool, if that is known."""
        if not (counts.pool.may_take(now=now) and self.reports_current()):
            return
        pool = self._pool(service, now=now)
        claimed = self.neighbours.total(service).retries
        departed = counts.departed.total(now=now)
        used = counts.pool.used(now=now)
        left = pool - claimed - departed - used
        reporting = 1 + sum(self.represented_vms.values())
        part = left / reporting
        if reporting >= MANY_VMS and left >= max(1.0, pool / 2):
            part = max(1.0, part)
        if reporting < self._known_vms():
            part = min(part, self._largest_cut_off(counts, now=now) - used)
        if part > 0:
            counts.pool.take(part, now=now)
            self.on_taken()

    def _largest_cut_off(self, counts: _Counts, *, now: float) -> float:
        """Return what this VM may use of the pool while VMs do not report to it.

        They may know of each other but not of this VM, so each keeps to the part that
        its own requests and its share of the slack add to the pool.
        """
        part = (1 - OWN_PART) * self._equal_share(counts, now=now)
        return max(1.0, part) if self._known_vms() >= MANY_VMS else part

    def _counts_of(self, service: str) -> _Counts:
        counts = self.counts.get(service)
        if counts is None:
            counted_s = self.window_s + ARRIVAL_MARGIN_S
            counts = _Counts(
                requests=WindowCount(window_s=self.window_s),
                retries=WindowCount(window_s=counted_s),
                pool=PoolGrants(spent=WindowCount(window_s=counted_s)),
                departed=WindowCount(window_s=counted_s),
            )
            self.counts[service] = counts
        return counts
