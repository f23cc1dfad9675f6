"""Requests that wait at many VMs when one engine becomes free, replayed on the rule."""

import random

import pytest

from endivelug.forwarding.slot_shares import SlotShares

SLOTS = 12
VMS = 85
STEP_S = 0.05
REPORT_S = 0.25
RUN_S = 0.5


def release(*, waiting_each, divided, seed, seconds=20.0):
    """Let VMs send their waiting requests to one engine that has become free.

    Each VM knows its own requests at once, and those of the others as of the last
    report. Return the most requests at the engine, and when the last one was sent.
    """
    rng = random.Random(seed)
    shares = [SlotShares(rng=random.Random(rng.random())) for _ in range(VMS)]
    waiting = [waiting_each] * VMS
    running = []
    reported, reported_waiting = 0, sum(waiting)
    own_since_report = [0] * VMS
    most, now, done_at = 0, 0.0, None
    while now < seconds and done_at is None:
        if int(now / REPORT_S) != int((now - STEP_S) / REPORT_S):
            running = [end for end in running if end > now]
            reported, reported_waiting = len(running), sum(waiting)
            own_since_report = [0] * VMS
        for vm in rng.sample(range(VMS), VMS):
            while waiting[vm] and reported + own_since_report[vm] < SLOTS:
                free = SLOTS - reported - own_since_report[vm]
                if divided and not shares[vm].may_send(
                    "e1",
                    long=False,
                    free=free,
                    waiting=waiting[vm],
                    waiting_everywhere=reported_waiting,
                    now=now,
                ):
                    break
                shares[vm].record_sent("e1", long=False, now=now)
                waiting[vm] -= 1
                own_since_report[vm] += 1
                running.append(now + RUN_S)
        most = max(most, sum(end > now for end in running))
        if not any(waiting):
            done_at = now
        now += STEP_S
    return most, done_at


# Guards against a burst of the requests of all VMs to an engine that has just loaded
# new weights: it got 235 within half a second and rejected 182 of them.
@pytest.mark.parametrize("seed", range(10))
def test_waiting_requests_of_all_vms_do_not_overrun_a_free_engine(seed):
    most, done_at = release(waiting_each=3, divided=True, seed=seed)
    assert most <= 3 * SLOTS
    assert done_at is not None


# Shows that the load above overruns the engine without the rule.
def test_without_shares_the_engine_is_overrun():
    most, _ = release(waiting_each=3, divided=False, seed=1)
    assert most > 48


# Guards against leaving a free engine idle because parts below one slot are rounded.
def test_parts_below_one_slot_add_up():
    sent = 0
    for seed in range(400):
        shares = SlotShares(rng=random.Random(seed))
        sent += shares.may_send(
            "e1", long=False, free=10, waiting=1, waiting_everywhere=400, now=0.0
        )
    assert 4 <= sent <= 20


# Guards against holding requests back where no other VM has any that wait.
def test_a_vm_that_waits_alone_takes_all_free_slots():
    shares = SlotShares(rng=random.Random(1))
    for _ in range(10):
        assert shares.may_send(
            "e1", long=False, free=1, waiting=2, waiting_everywhere=2, now=0.0
        )
        shares.record_sent("e1", long=False, now=0.0)


# Guards against a VM that may never send again after it has used its part once.
def test_a_new_window_begins_after_the_reports():
    shares = SlotShares(rng=random.Random(1))
    crowd = {"long": True, "free": 1, "waiting": 1, "waiting_everywhere": 2}
    results = []
    for step in range(40):
        allowed = shares.may_send("e1", now=step * 0.3, **crowd)
        results.append(allowed)
        if allowed:
            shares.record_sent("e1", long=True, now=step * 0.3)
            assert not shares.may_send("e1", now=step * 0.3, **crowd)
    assert 10 <= sum(results) <= 30
