import random

import pytest

from endivelug.forwarding.quotas.bucket import Bucket, OthersUse
from endivelug.forwarding.quotas.quota import Tolerance
from endivelug.forwarding.quotas.usage import BLOCK_S, OwnUse, ReportBounds
from quota_builders import make_bucket, make_quota

BOUNDS = ReportBounds.of(quota=make_quota(), tolerance=Tolerance(slack=0.0), vms=4)


# Guards against admitting what other VMs have admitted already.
def test_the_use_of_other_vms_lowers_the_level():
    bucket = make_bucket()
    bucket.advance(OthersUse(admitted=130.0, offered=130.0), now=1.0)
    assert bucket.level == pytest.approx(bucket.capacity - 30.0)


# Guards against counting on units that others may have used since their last report.
def test_requests_that_others_were_offered_are_subtracted_before_a_sure_admission():
    bucket = make_bucket()
    assert bucket.covers(40)
    assert not bucket.covers(40, OthersUse(offered=200.0))


# Guards against VMs that each admit the whole rate under overload.
def test_under_overload_each_vm_admits_the_share_of_the_rate_in_the_demand():
    bucket = make_bucket()
    bucket.level = 1.0
    others = OthersUse(admitted=75.0, offered=300.0)
    assert bucket.admission_probability(1, others, own_offered=100.0) == 0.25
    bucket.level = -100.0
    assert bucket.admission_probability(1, others, own_offered=100.0) == 0.0


# Guards against a refused caller that waited and is refused like a new one, and against
# a priority without bound.
def test_a_returning_caller_is_admitted_more_often():
    bucket = make_bucket()
    bucket.level = 1.0
    chances = [
        bucket.admission_probability(
            1, OthersUse(), own_offered=400.0, returning=returning
        )
        for returning in (False, True)
    ]
    assert chances == [0.25, 0.5]


# Guards against a large request that puts the bucket into debt for seconds, in which
# small requests within the quota are refused.
def test_a_large_request_needs_a_higher_level_than_a_small_one():
    bucket = make_bucket()
    bucket.level = 10.0
    for units, chance in ((1, 0.109), (60, 0.05), (bucket.capacity + 100, 0.03875)):
        found = bucket.admission_probability(units, OthersUse(), own_offered=1000.0)
        assert found == pytest.approx(chance)
    bucket.level = bucket.capacity
    found = bucket.admission_probability(500, OthersUse(), own_offered=1000.0)
    assert found == pytest.approx(0.1)


# Guards against starving requests larger than the burst, and against one that alone
# exceeds the limit of a window.
def test_a_request_larger_than_the_burst_has_a_chance_up_to_the_limit_of_a_window():
    bucket = make_bucket()
    largest = int((100.0 * 8 + 50.0) * 1.1)
    assert bucket.admission_probability(500, OthersUse(), own_offered=1000.0) > 0
    assert bucket.admission_probability(largest, OthersUse(), own_offered=1e3) > 0
    assert bucket.admission_probability(largest + 1, OthersUse(), own_offered=1e3) == 0


# Guards against two halves of a partition that use more than the limit and the
# allowance together, also where the allowance is larger than the limit.
@pytest.mark.parametrize("slack", [0.0, 100.0, 10_000.0])
@pytest.mark.parametrize("share", [0.5, 0.25, 1 / 7])
def test_the_parts_of_a_partition_stay_within_the_limit_together(slack, share):
    tolerance = Tolerance(slack=slack)
    bucket = Bucket.full(make_quota(), tolerance, now=0.0, share=share)
    window = bucket.rate * tolerance.window_s + bucket.capacity
    limit = tolerance.limit(bucket.quota) + tolerance.allowance(bucket.quota)
    assert window / share <= limit


# Guards against a level that a changed quota resets, or leaves above the new burst.
def test_a_changed_quota_keeps_the_level_up_to_the_new_burst():
    bucket = make_bucket()
    bucket.charge(40)
    level = bucket.level
    bucket.reconfigure(make_quota(burst=500.0))
    assert bucket.level == level
    bucket.reconfigure(make_quota(burst=1.0, rate=1.0))
    assert bucket.level == bucket.capacity < level


# Guards against a pause of the process after which the refill exceeds the burst, and
# against a debt that refuses requests for longer than a window.
def test_level_and_debt_are_bounded():
    bucket = make_bucket()
    bucket.advance(OthersUse(), now=1000.0)
    assert bucket.level == bucket.capacity
    bucket.advance(OthersUse(admitted=10_000.0), now=2000.0)
    assert bucket.level == -(100.0 * 8 + 50.0)


# Guards against others that subtract more or less than was admitted, for rates that
# change and for small ones that are reported late.
def test_reported_rates_add_up_to_what_was_admitted():
    use, now, admitted, reported = OwnUse(), 0.0, 0.0, 0.0
    for block in range(40):
        units = (20, 30, 5, 0, 60)[block % 5] if block < 30 else 0
        use.record_admitted(units, BOUNDS)
        use.offered_units += units
        admitted += units
        reported += use.reported[0] * BLOCK_S
        now += BLOCK_S
        use.end_block(BOUNDS, others_offered=100.0, now=now)
    assert reported == pytest.approx(admitted, abs=BOUNDS.chunk)
    assert use.reported == (0, 0)


# Guards against rates that are reported although they are tolerated without a report.
def test_small_rates_are_not_reported_near_the_limit():
    use = OwnUse(far_below=False, backlog=0.5, offered_units=0.5)
    assert not use.end_block(BOUNDS, others_offered=90.0, now=BLOCK_S)
    use.backlog = use.offered_units = 4.0
    assert use.end_block(BOUNDS, others_offered=90.0, now=2 * BLOCK_S)


# Guards against an entry for each request of an organisation far below its limit, and
# against use that stays unknown because each VM has only a little of it.
def test_far_below_the_limit_use_is_reported_in_chunks():
    rng = random.Random(1)
    vms = [OwnUse(unchunked=rng.random() * BOUNDS.chunk) for _ in range(100)]
    chunks = 0
    for block in range(1, 41):
        use = rng.choice(vms)
        use.offered_units = 5.0
        use.record_admitted(5.0, BOUNDS)
        for use in vms:
            use.end_block(BOUNDS, others_offered=10.0, now=block * BLOCK_S)
            chunks += use.reported[0] * BLOCK_S / BOUNDS.chunk
    assert chunks == pytest.approx(40 * 5.0 / BOUNDS.chunk, rel=0.3)


# Guards against counts of a VM without others that grow without end, and are reported
# at once when a second VM appears.
def test_a_single_vm_keeps_no_backlog():
    use = OwnUse()
    for _ in range(100):
        use.backlog += 50.0
        use.offered_units += 50.0
        use.end_block_alone()
    assert (use.backlog, use.offered_per_s) == (0.0, 100.0)


# Guards against numbers of a peer's configuration or requests that no report can hold.
def test_reported_rates_are_bounded():
    use = OwnUse()
    use.backlog = use.offered_units = 1e300
    assert use.end_block(BOUNDS, others_offered=0.0, now=BLOCK_S)
    assert use.reported == (2**53, 2**53)


# Guards against a steep rise that the others hear of only after a block.
def test_a_steep_rise_is_reported_at_once():
    use = OwnUse()
    use.backlog = use.offered_units = 30.0
    assert not use.early_report(BOUNDS, now=0.05)
    assert use.early_report(BOUNDS, now=0.2)
    assert use.reported == (60, 60)


# Guards against rates that are not reported after a pause of the process, in which the
# others had dropped those of this VM.
def test_a_pause_of_the_process_counts_as_long_as_the_others_keep_the_rates():
    use = OwnUse(far_below=False, backlog=50.0, offered_units=50.0)
    assert use.end_block(BOUNDS, others_offered=100.0, now=BLOCK_S)
    assert use.reported == (100, 50)
    use.end_block(BOUNDS, others_offered=100.0, now=30.0)
    assert use.backlog == pytest.approx(50.0 - 2 * 100.0)
