"""Quotas at VMs that have just started."""

import random

import pytest

from endivelug.forwarding.quotas.quota import Tolerance
from endivelug.forwarding.quotas.quota_limiter import KIND, QuotaLimiter
from endivelug.forwarding.shared_amounts import SharedAmounts, SharedAmountTable
from quota_builders import make_quota

START = 100.0
WINDOW_S = Tolerance(slack=0.0).window_s
STEP_S = 0.05


def started_limiter(now):
    limiter = QuotaLimiter(
        shared=SharedAmounts(kind=KIND, table=SharedAmountTable()),
        tolerance=Tolerance(slack=0.0),
        rng=random.Random(1),
    )
    limiter.assume_predecessor(now=now)
    return limiter


def count_vms(limiter, quota, *, vms, now):
    limiter.vms, limiter.represented_vms, limiter.counted = vms, 1, True
    limiter.end_block({"a": quota}, now=now)


def admitted(limiter, quota, *, since, until):
    """Offer far more than the limit; return what is admitted."""
    count, now = 0, since
    while now < until:
        count += sum(
            limiter.admit("a", quota, 1, now=now) is None
            for _ in range(int(quota.rate * STEP_S * 10))
        )
        now += STEP_S
    return count


# Guards against a burst that is admitted again by each process that starts: a window
# would hold the bursts of all of them.
@pytest.mark.parametrize("restarts", [1, 4])
def test_restarts_do_not_renew_the_burst(restarts):
    quota = make_quota(rate=100.0, burst=200.0)
    life_s = WINDOW_S / restarts
    count = 0
    for number in range(restarts):
        since = START + number * life_s
        limiter = started_limiter(since)
        count_vms(limiter, quota, vms=1, now=since)
        count += admitted(limiter, quota, since=since, until=since + life_s)
    assert count <= quota.rate * WINDOW_S + quota.burst


# Guards against bursts that are refused for longer than the window after a start.
def test_the_burst_is_admitted_once_the_window_has_passed():
    quota = make_quota(rate=100.0, burst=200.0)
    limiter = started_limiter(START)
    count_vms(limiter, quota, vms=1, now=START)
    later = START + WINDOW_S
    assert admitted(limiter, quota, since=later, until=later + STEP_S / 2) >= 40


# Guards against a VM that takes itself for the only one until it has the list of VMs.
def test_nothing_is_admitted_before_the_vms_are_counted():
    quota = make_quota()
    limiter = started_limiter(START)
    assert admitted(limiter, quota, since=START, until=START + 1.0) == 0
    count_vms(limiter, quota, vms=4, now=START + 1.0)
    share = admitted(limiter, quota, since=START + 1.0, until=START + 3.0)
    assert 0 < share <= quota.rate * 2 / 4 * 1.25
