"""Size and traffic of all VMs together, as far as this VM knows."""

from collections.abc import Callable

from endivelug.forwarding.retry_budget import SharedRetryBudget


class Fleet:
    """Counts over all VMs, from the reports that the retry budget keeps.

    Attributes
    ----------
    vms : int
        Number of live VMs.
    """

    def __init__(
        self, *, budget: SharedRetryBudget, clock: Callable[[], float]
    ) -> None:
        self.budget = budget
        self.clock = clock
        self.vms = 1

    def requests_per_s(self, service: str) -> float:
        """Return the rate of the requests of all VMs to a service."""
        return self.budget.requests_per_s(service, now=self.clock())

    def waiting(self, service: str, *, long: bool) -> tuple[int, int]:
        """Return how many requests wait for a service here, and at all VMs.

        Parameters
        ----------
        long : bool
            Whether those with long prompts are counted, or those with short ones.
        """
        own = self.budget.own(service, now=self.clock())
        everywhere = own.plus(self.budget.neighbours.total(service))
        if long:
            return own.waiting_long, everywhere.waiting_long
        return own.waiting, everywhere.waiting
