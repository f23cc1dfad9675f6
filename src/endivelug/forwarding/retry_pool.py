"""What one VM takes from the part of the retry budget that all VMs share.

All VMs see the same unused amount until their reports have crossed. Each of them takes
at most an equal part of what it sees, and takes again only after all reports have
arrived, so the parts together never exceed the pool.
"""

from dataclasses import dataclass

from endivelug.forwarding.window_count import WindowCount

# A VM takes from the pool once in this time; what it has not used by then goes back.
# This is about three times the age of a report that has passed two relays, and more
# than the silence after which VMs no longer take (``retry_budget_watch.CURRENT_S``).
GRANT_S = 0.8


@dataclass(slots=True, kw_only=True)
class PoolGrants:
    """Amounts that this VM has taken from the pool of one service.

    Attributes
    ----------
    spent : WindowCount
        Amounts used by retries that were sent.
    reserved : float
        Amounts used by retries that wait to be sent.
    granted_at : float
        Time of the last grant.
    unused : float
        What is left of it.
    """

    spent: WindowCount
    reserved: float = 0.0
    granted_at: float = float("-inf")
    unused: float = 0.0

    def used(self, *, now: float) -> float:
        """Return the amount that retries have used within the window."""
        return self.spent.total(now=now) + self.reserved

    def available(self, *, now: float) -> float:
        """Return what may still be used of the last grant."""
        return 0.0 if self.may_take(now=now) else self.unused

    def claimed(self, *, now: float) -> float:
        """Return what other VMs must not use."""
        return self.used(now=now) + self.available(now=now)

    def may_take(self, *, now: float) -> bool:
        """Return whether the other VMs know of the last grant."""
        return now >= self.granted_at + GRANT_S

    def take(self, amount: float, *, now: float) -> None:
        """Record a grant."""
        self.granted_at = now
        self.unused = amount

    def reserve(self, amount: float) -> None:
        """Use a part of the grant for a retry that waits to be sent."""
        self.unused -= amount
        self.reserved += amount
