"""How many VMs may be using a quota, reporting or not.

A VM that is cut off goes on serving with its share, so the others keep its share free.
A VM that was replaced or removed never returns, and nothing tells it from one that is
cut off; after a period without it, its share is used by the others.
"""

from dataclasses import dataclass

# A VM that has been cut off for longer may be counted as gone. Both parts of a
# partition then use the whole quota, until they are linked again.
FORGET_AFTER_S = 600.0
# Until its links are up, a VM that has just started assumes that all registered VMs
# live.
LINKING_S = 5.0


@dataclass(slots=True, kw_only=True)
class KnownVms:
    """Largest number of VMs that were seen within one to two periods.

    Attributes
    ----------
    linked_at : float
        Time from which the links of this VM should be up.
    period_until : float
        End of the current period.

    Examples
    --------
    >>> known = KnownVms(linked_at=0.0, period_until=600.0)
    >>> [known.record(vms, registered=9, now=now)
    ...  for vms, now in ((1, -1.0), (7, 1.0), (5, 700.0), (5, 1500.0))]
    [9, 7, 7, 5]
    """

    linked_at: float
    period_until: float
    largest: int = 0
    largest_before: int = 0

    def record(self, vms: int, *, registered: int, now: float) -> int:
        """Record the number of VMs seen now; return how many may be live.

        Parameters
        ----------
        registered : int
            Registered VMs, some of which may be long gone.
        """
        if now >= self.period_until:
            skipped = now >= self.period_until + FORGET_AFTER_S
            self.largest_before = 0 if skipped else self.largest
            self.largest = 0
            self.period_until = now + FORGET_AFTER_S
        self.largest = max(self.largest, vms)
        known = max(self.largest, self.largest_before)
        return max(known, registered) if now < self.linked_at else known
