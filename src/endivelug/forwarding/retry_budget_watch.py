"""Keeps the retry budget informed of which VMs there are, and what is known of them."""

import asyncio
from collections.abc import Callable, Mapping

from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.retry_budget import SharedRetryBudget

CHECK_INTERVAL_S = 0.25
# Heartbeats come 0.5 s apart. A neighbour that was not heard for longer than this may
# have taken from the pool, and a VM that did not run for longer has not heard of it.
CURRENT_S = 0.75
# Until the list of VMs was read, the VM uses no slack for this long after each check.
UNLISTED_S = 1.0


class RetryBudgetWatch:
    """Counts the VMs that share a retry budget, and judges whether reports are current.

    Parameters
    ----------
    neighbours : mapping of str to Neighbour
        Linked VMs by name.
    count_vms, count_registered : callable
        Return the number of live VMs that this VM knows of, and of the registered ones.
    """

    def __init__(
        self,
        *,
        budget: SharedRetryBudget,
        neighbours: Mapping[str, Neighbour],
        count_vms: Callable[[], int],
        count_registered: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.budget = budget
        self.neighbours = neighbours
        self.count_vms = count_vms
        self.count_registered = count_registered
        self.clock = clock
        self.checked_at = clock()
        self.current_from = self.checked_at

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check(now=self.clock())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, *, now: float) -> None:
        """Count the VMs, and notice a pause of this process."""
        if now - self.checked_at > CURRENT_S:
            # Reports from before and during the pause are read first.
            self.current_from = now + CURRENT_S
        self.checked_at = now
        self.is_current()
        registered = self.count_registered()
        if not registered:
            cautious_until = max(self.budget.cautious_until, now + UNLISTED_S)
            self.budget.cautious_until = cautious_until
        # A VM that is cut off goes on to use its share, and may be counted by nobody.
        self.budget.vms = max(self.budget.vms, self.count_vms(), registered)

    def is_current(self) -> bool:
        """Return whether what this VM and the others took from the pool is known."""
        now = self.clock()
        if now - self.checked_at > CURRENT_S:
            return False
        if not all(_is_heard(item, now=now) for item in self.neighbours.values()):
            # What was late passes a relay before all know it.
            self.current_from = max(self.current_from, now + CURRENT_S)
        return now >= self.current_from


def _is_heard(neighbour: Neighbour, *, now: float) -> bool:
    """Return whether the amounts of a neighbour and of this VM have arrived."""
    return (
        neighbour.received_sequence > 0
        and not neighbour.missed
        and now - neighbour.last_received_at <= CURRENT_S
        and neighbour.knows_reports_since(now - CURRENT_S)
    )


def make_retry_budget_watch(peers: Peers) -> RetryBudgetWatch:
    """Return the watch of one VM, connected to its links and its budget."""
    watch = RetryBudgetWatch(
        budget=peers.budget,
        neighbours=peers.neighbours,
        count_vms=lambda: peers.vms,
        count_registered=lambda: len(peers.overlay.registered),
        clock=peers.clock,
    )
    peers.budget.reports_current = watch.is_current
    peers.budget.on_taken = peers.rounds.note_change
    return watch
