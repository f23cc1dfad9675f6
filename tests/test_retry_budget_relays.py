"""A retry budget of VMs that hear of each other through relays."""

import pytest

from endivelug.forwarding.peers import SILENT_S
from endivelug.forwarding.retry_budget_watch import RetryBudgetWatch
from retry_vms import SERVICE, SLACK, STEP_S, WINDOW_S
from test_report_exchange import SimulatedNetwork

# As long as a relay keeps a link on which nothing arrives.
LATE_S = SILENT_S - STEP_S


class RetryingNetwork(SimulatedNetwork):
    """Routers that share a retry budget; reports of some of them arrive late."""

    def __init__(self):
        super().__init__()
        self.late = []
        self.retries = 0
        self.watches = []
        for router in self.routers.values():
            router.budget.slack, router.budget.window_s = SLACK, WINDOW_S
            watch = RetryBudgetWatch(
                budget=router.budget,
                neighbours=router.neighbours,
                count_vms=lambda: len(self.routers),
                count_registered=lambda: len(self.routers),
                clock=self.clock,
            )
            router.budget.reports_current = watch.is_current
            self.watches.append(watch)

    def deliver(self, **options):
        held = {
            (name, target): link.messages.copy()
            for name in self.late
            for target, link in self.routers[name].links.items()
        }
        for name, target in held:
            self.routers[name].links[target].messages.clear()
        super().deliver(**options)
        for (name, target), messages in held.items():
            self.routers[name].links[target].messages.extendleft(reversed(messages))

    def run(self, seconds, *, retry):
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_S
            for watch in self.watches:
                watch.check(now=self.clock.now)
            for router in self.routers.values():
                if retry:
                    self._retry(router)
                router.send_reports()
            self.deliver()

    def _retry(self, router):
        while router.budget.try_acquire(SERVICE, now=self.clock.now):
            self.retries += 1


# Guards against VMs that take from the pool what others have taken: the reports of some
# members reach their relays late, and all others hear their relays.
@pytest.mark.parametrize("late", [1, 4, 8])
def test_late_reports_of_members_do_not_multiply_the_budget(late):
    network = RetryingNetwork()
    network.run(1.0, retry=False)
    network.late = [f"member{number}" for number in range(late)]
    network.run(LATE_S, retry=True)
    network.late = []
    network.run(WINDOW_S - LATE_S - STEP_S, retry=True)
    assert network.retries <= SLACK
