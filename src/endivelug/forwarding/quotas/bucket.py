"""Estimate of an organisation's token bucket over all VMs, and the admission from it.

Load pattern: the requests of one organisation reach all VMs, evenly or not, and the
VMs hear of each other's admissions up to a second late. Each VM subtracts its own
admissions at once and those of the others continuously, at the rates that they report.
Below the limit the level covers every request. Above it each VM admits the same share
of its requests, so that all VMs together admit the rate without oscillating.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from endivelug.forwarding.quotas.quota import Quota, Tolerance

# Time for which admissions of other VMs are not yet in the reports.
REPORT_AGE_S = 0.5
# The level is spent or restored within about this time. Shorter times oscillate,
# because the admissions of the other VMs arrive later than that.
LEVEL_TIME_S = 1.0
# Share of the allowance that the level may hold beyond the burst, for admissions of
# other VMs that arrive while the bucket is full.
HEADROOM_SHARE = 0.25
# Share of the allowance that is divided among the VMs with the limit while some VMs do
# not report, so that one stopped VM does not lower the limit of the others.
PARTITION_SHARE = 0.25
# Smaller limits would overflow in divisions.
MIN_LIMIT = 1e-9
# Weight of callers that were refused and waited, compared with new ones.
RETURNING_WEIGHT = 2.0


class OthersUse(NamedTuple):
    """What the other VMs report about an organisation, in units per second."""

    admitted: float = 0.0
    offered: float = 0.0


NO_USE = OthersUse()


@dataclass(slots=True, kw_only=True)
class Bucket:
    """Estimate of the level of one organisation's bucket.

    Attributes
    ----------
    level : float
        Units that may be used at once; below 0 after large requests or late reports.
    updated_at : float
        Time up to which refills and the use of other VMs are in the level.
    share : float
        Part of the limit that the VMs which report to each other may use.
    rate : float
        Units per second that these VMs may use.
    capacity, lowest : float
        Bounds of the level.
    largest : float
        Units of the largest request that is ever admitted.
    """

    quota: Quota
    tolerance: Tolerance
    level: float
    updated_at: float
    share: float = 1.0
    rate: float = field(init=False)
    capacity: float = field(init=False)
    lowest: float = field(init=False)
    largest: float = field(init=False)

    @classmethod
    def full(
        cls, quota: Quota, tolerance: Tolerance, *, now: float, share: float = 1.0
    ) -> "Bucket":
        """Return the bucket of a new quota.

        Examples
        --------
        >>> from endivelug.forwarding.quotas.quota import QuotaUnit
        >>> quota = Quota(rate=10.0, burst=20.0, unit=QuotaUnit.REQUESTS)
        >>> bucket = Bucket.full(quota, Tolerance(slack=0.0), now=0.0)
        >>> bucket.charge(21); bucket.covers(2), bucket.covers(1)
        (False, True)
        """
        bucket = cls(
            quota=quota, tolerance=tolerance, level=0.0, updated_at=now, share=share
        )
        bucket.level = bucket.capacity
        return bucket

    def __post_init__(self) -> None:
        self._update_bounds()

    def _update_bounds(self) -> None:
        """Derive the bounds of the level, which each decision needs.

        Without reports of all VMs, the share of the limit is raised by that of a part
        of the allowance. The shares of groups of VMs that do not hear of each other add
        up to at most 1, so all groups stay within the limit and this part together.
        """
        limit = max(MIN_LIMIT, self.tolerance.limit(self.quota))
        allowance = self.tolerance.allowance(self.quota)
        usable = min(1.0, self.share * (1.0 + PARTITION_SHARE * allowance / limit))
        headroom = min(self.quota.rate * LEVEL_TIME_S, HEADROOM_SHARE * allowance)
        self.rate = max(MIN_LIMIT, self.quota.rate * usable)
        self.capacity = (self.quota.burst + headroom) * usable
        self.largest = limit + allowance
        # After a debt of a whole window no request of that window counts any more.
        self.lowest = -limit

    def advance(self, others: OthersUse, *, now: float) -> None:
        """Add the refill since the last call, and subtract the use of other VMs."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at = now
        level = self.level + elapsed_s * (self.rate - others.admitted)
        self.level = max(min(level, self.capacity), self.lowest)

    def charge(self, units: float) -> None:
        """Subtract units that this VM has admitted."""
        self.level -= units

    def refund(self, units: float) -> None:
        """Add units that did not run."""
        self.level = min(self.level + units, self.capacity)

    def set_share(self, share: float) -> None:
        """Set the part of the limit to use; a smaller part holds less."""
        if share == self.share:
            return
        self.share = share
        self._update_bounds()
        self.level = min(self.level, self.capacity)

    def reconfigure(self, quota: Quota) -> None:
        """Apply a changed quota; the level is kept, up to the new burst."""
        self.quota = quota
        self._update_bounds()
        self.level = min(self.level, self.capacity)

    def covers(self, units: float, others: OthersUse = NO_USE) -> bool:
        """Return whether the level covers a request for certain.

        What the others may have admitted since their reports is subtracted.
        """
        return self.level - others.offered * REPORT_AGE_S >= units

    def admission_probability(
        self,
        units: float,
        others: OthersUse,
        *,
        own_offered: float,
        returning: bool = False,
    ) -> float:
        """Return the probability with which to admit a request that is not covered.

        All VMs admit the same share of what they are offered. A large request needs a
        higher level, as in an exact bucket; otherwise one of them would put the bucket
        into debt for seconds, in which small requests within the quota are refused. A
        full bucket admits the rate also where all requests are larger than the burst.
        One that exceeds the limit of a whole window is never admitted.

        Parameters
        ----------
        own_offered : float
            Units per second that this VM is offered, this request included.
        returning : bool
            Whether the caller was refused before and waited as long as it was told.
        """
        if units > self.largest:
            return 0.0
        spare = self.level - min(units, self.capacity)
        usable = self.rate + spare / LEVEL_TIME_S
        offered = own_offered + others.offered
        weight = RETURNING_WEIGHT if returning else 1.0
        if offered <= 0:
            return 1.0 if usable > 0 else 0.0
        return min(1.0, max(0.0, weight * usable / offered))

    def room_in_s(self, units: float, others: OthersUse) -> float:
        """Return the time until the level covers a request if nobody else uses it."""
        wanted = min(units, self.capacity)
        missing = wanted + others.admitted * REPORT_AGE_S - self.level
        return max(0.0, missing) / self.rate
