"""Many VMs with delayed and lost reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from measurements._quota_model import Arrival, conforming

from endivelug.forwarding.quotas.quota import Tolerance
from quota_builders import make_arrivals, make_quota, make_vms

SEEDS = st.integers(0, 10_000)
VMS = st.sampled_from([1, 2, 7, 20])
# Units of one second of the rate. A rise of the demand to a multiple of the limit is
# known to all VMs after about this time, and only the slack covers it until then.
SLACK_S = 1.5


def make_tolerance(quota, overload):
    return Tolerance(slack=SLACK_S * overload * quota.rate)


# Guards against VMs that together admit more than the limit and its tolerance in any
# window, for even and uneven demand and requests of different sizes.
@settings(max_examples=24, deadline=None, derandomize=True)
@given(
    seed=SEEDS,
    vms=VMS,
    overload=st.sampled_from([1.0, 1.5, 4.0]),
    burst=st.sampled_from([0.0, 50.0, 400.0]),
    units=st.sampled_from([1, 10]),
    uneven=st.booleans(),
)
def test_no_window_exceeds_the_limit(seed, vms, overload, burst, units, uneven):
    quota = make_quota(rate=200.0, burst=burst)
    tolerance = make_tolerance(quota, overload)
    simulated = make_vms(seed, vms=vms, quota=quota, tolerance=tolerance)
    arrivals = make_arrivals(
        seed,
        vms=vms,
        per_s=overload * quota.rate / units,
        until=14.0,
        units=units,
        uneven=uneven,
    )
    course = simulated.run(arrivals, until=14.0)
    assert course.excess(quota, tolerance.window_s) <= tolerance.allowance(quota)


# Guards against refusing requests that an exact bucket with a tenth less would admit.
@settings(max_examples=30, deadline=None, derandomize=True)
@given(
    seed=SEEDS, vms=VMS, demand=st.sampled_from([0.5, 1.0, 3.0]), uneven=st.booleans()
)
def test_nothing_below_the_limit_is_refused(seed, vms, demand, uneven):
    quota = make_quota(rate=200.0, burst=100.0)
    simulated = make_vms(
        seed, vms=vms, quota=quota, tolerance=make_tolerance(quota, 1.0)
    )
    arrivals = make_arrivals(
        seed,
        vms=vms,
        per_s=demand * quota.rate,
        until=15.0,
        units=1,
        uneven=uneven,
    )
    below = conforming(arrivals, quota=quota, share=0.9)
    assert simulated.run(below, until=15.0).refused == []


# Guards against the two halves of a partition that each use the whole limit.
@settings(max_examples=10, deadline=None, derandomize=True)
@given(seed=SEEDS, cut_off=st.integers(1, 6))
def test_a_partition_stays_within_the_limit(seed, cut_off):
    quota = make_quota(rate=200.0, burst=100.0)
    tolerance = make_tolerance(quota, 4.0)
    simulated = make_vms(
        seed,
        vms=7,
        quota=quota,
        tolerance=tolerance,
        groups=lambda vm, at: int(vm < cut_off),
    )
    simulated.settle()
    arrivals = make_arrivals(
        seed, vms=7, per_s=800.0, until=14.0, units=1, uneven=False
    )
    course = simulated.run(arrivals, until=14.0)
    assert course.excess(quota, 8.0) <= tolerance.allowance(quota)


# Guards against a limit that stays lowered after a partition has healed, and against
# one that is lowered while all VMs report.
def test_all_vms_use_the_whole_limit_again_after_a_partition():
    quota = make_quota(rate=200.0, burst=100.0)
    simulated = make_vms(
        1,
        vms=6,
        quota=quota,
        groups=lambda vm, at: int(vm < 3 and 5.0 <= at < 10.0),
    )
    simulated.cut_at(5.0)
    simulated.cut_at(10.0)
    arrivals = make_arrivals(1, vms=6, per_s=400.0, until=30.0, units=1, uneven=False)
    course = simulated.run(arrivals, until=30.0)
    late = sum(units for at, units in course.admitted if at >= 14.0)
    assert late >= 0.9 * quota.rate * 16.0


# Guards against a request beyond the limit of a whole window, which takes the place of
# others in the demand, and against a single VM that admits ever less.
def test_a_single_vm_admits_the_rate_beside_requests_that_are_too_large():
    quota = make_quota(rate=200.0, burst=0.0)
    simulated = make_vms(1, vms=1, quota=quota)
    arrivals = make_arrivals(1, vms=1, per_s=400.0, until=30.0, units=1, uneven=False)
    too_large = [Arrival(at=number / 2, vm=0, units=10**15) for number in range(60)]
    course = simulated.run(
        sorted([*arrivals, *too_large], key=lambda item: item.at), until=30.0
    )
    assert max(units for _, units in course.admitted) == 1
    late = [at for at, _ in course.admitted if at >= 10.0]
    assert len(late) == pytest.approx(200 * 20, rel=0.1)


# Guards against a request that is refused because the same was refused before: what
# was refused takes nothing from the bucket.
def test_a_burst_at_one_vm_is_admitted_and_the_next_waits_for_the_refill():
    quota = make_quota(rate=10.0, burst=20.0)
    simulated = make_vms(1, vms=5, quota=quota)
    for _ in range(20):
        simulated.offer(Arrival(at=1.0, vm=2, units=1))
    assert simulated.course.refused == []
    for _ in range(200):
        simulated.offer(Arrival(at=1.0, vm=2, units=1))
    assert len(simulated.course.refused) > 150
    simulated.run([], until=9.0)
    simulated.offer(Arrival(at=9.0, vm=2, units=1))
    assert simulated.course.admitted[-1] == (9.0, 1)
