"""Quotas at a VM whose process was paused while another one used them."""

import random

import pytest

from endivelug.forwarding.quotas.quota import Tolerance
from endivelug.forwarding.quotas.quota_limiter import KIND, QuotaLimiter
from endivelug.forwarding.quotas.usage import BLOCK_S
from endivelug.forwarding.shared_amounts import SharedAmounts, SharedAmountTable
from quota_builders import make_quota

STEP_S = 0.05
QUIET_S = 5.0
PAUSE_S = 4.0
TOLERANCE = Tolerance(slack=0.0)
# Within a window that begins before the pause.
AFTER_PAUSE_S = TOLERANCE.window_s - PAUSE_S - STEP_S
KEY = f"{KIND}:a"


class TwoVms:
    """Two linked VMs of one organisation; reports arrive within a step."""

    def __init__(self, quota):
        self.quota = quota
        self.now = 0.0
        self.block_at = 0.0
        self.tables = [SharedAmountTable(), SharedAmountTable()]
        self.limiters = [
            QuotaLimiter(
                shared=SharedAmounts(kind=KIND, table=table),
                tolerance=TOLERANCE,
                rng=random.Random(1),
            )
            for table in self.tables
        ]
        for limiter in self.limiters:
            limiter.vms = limiter.represented_vms = 2

    def run(self, seconds, *, runs, offered):
        """Let the VMs ``runs`` work; return what they admit of ``offered`` a step."""
        admitted, until = 0, self.now + seconds
        while self.now < until:
            admitted += sum(self._offer(vm, offered[vm]) for vm in runs)
            if self.now >= self.block_at:
                self.block_at += BLOCK_S
                for vm in runs:
                    self.limiters[vm].end_block({"a": self.quota}, now=self.now)
            for vm in runs:
                self.limiters[vm].advance("a", now=self.now)
                values = self.tables[1 - vm].own_of(KEY)
                self.tables[vm].set_neighbour("other", KEY, values)
            self.now += STEP_S
        return admitted

    def _offer(self, vm, count):
        limiter = self.limiters[vm]
        return sum(
            limiter.admit("a", self.quota, 1, now=self.now) is None
            for _ in range(count)
        )


# Guards against a burst that is admitted again by a VM that was paused while the others
# used it: their reports of then show only what they use now.
@pytest.mark.parametrize("before", [0, 1], ids=["no-demand", "demand"])
def test_a_paused_vm_admits_no_burst_that_was_used_meanwhile(before):
    quota = make_quota(rate=100.0, burst=600.0)
    vms = TwoVms(quota)
    vms.run(QUIET_S, runs=[0, 1], offered=[before, before])
    count = vms.run(PAUSE_S, runs=[1], offered=[0, 50])
    count += vms.run(AFTER_PAUSE_S, runs=[0, 1], offered=[50, 50])
    assert count <= TOLERANCE.limit(quota) + TOLERANCE.allowance(quota)


# Guards against a VM that refuses what is within the quota because it was paused.
def test_a_paused_vm_admits_what_is_within_the_rate():
    quota = make_quota(rate=100.0, burst=600.0)
    vms = TwoVms(quota)
    vms.run(QUIET_S, runs=[0, 1], offered=[1, 1])
    vms.run(PAUSE_S, runs=[1], offered=[0, 1])
    steps = round(AFTER_PAUSE_S / STEP_S)
    assert vms.run(AFTER_PAUSE_S, runs=[0, 1], offered=[1, 1]) >= 0.9 * 2 * steps
