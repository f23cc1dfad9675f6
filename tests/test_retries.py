import random

import pytest

from endivelug.ejection import RAMP_S, Ejector
from endivelug.retries import BACKOFF_MAX_S, RetryBudget, RetryPolicy, backoff_s


def make_ejected(*, seed=1, routers=1):
    ejector = Ejector(rng=random.Random(seed), routers=routers)
    for _ in range(3):
        ejector.record_failure("u", now=0.0)
    assert ejector.is_ejected("u")
    return ejector


def first_usable(ejector, start, step=0.01):
    now = start
    while not ejector.is_usable("u", now=now):
        now += step
    return now


# Guards against more retries than a tenth of the first attempts, at any time from the
# first attempt on.
def test_budgets_limit_the_retries_of_all_routers_together():
    budgets = [RetryBudget() for _ in range(70)]
    rng = random.Random(1)
    first = retries = 0
    for _ in range(20_000):
        budget = rng.choice(budgets)
        budget.record_first_attempt()
        first += 1
        retries += budget.try_acquire() + budget.try_acquire()
        assert retries <= 0.1 * first + 1e-6
    assert retries > 0.09 * first


# Guards against running a call a second time after a first attempt that may have run.
@pytest.mark.parametrize(
    ("dispatched", "idempotent", "retried"),
    [(True, False, False), (False, False, True), (True, True, True)],
)
def test_no_retry_after_dispatch_of_a_non_idempotent_call(
    dispatched, idempotent, retried
):
    policy = RetryPolicy(rng=random.Random(1), budget=RetryBudget(credit=5.0))
    at = policy.next_attempt_at(
        retry=1, dispatched=dispatched, idempotent=idempotent, deadline=99.0, now=1.0
    )
    assert (at is not None) is retried
    assert policy.budget.credit == (4.0 if retried else 5.0)


def test_no_retry_past_the_deadline_or_the_maximum():
    policy = RetryPolicy(rng=random.Random(1), budget=RetryBudget(credit=5.0))
    for retry, deadline in [(1, 1.0), (3, 99.0)]:
        at = policy.next_attempt_at(
            retry=retry, dispatched=False, idempotent=True, deadline=deadline, now=1.0
        )
        assert at is None
    assert policy.budget.credit == 5.0


# Guards against synchronised retries after a failure that hit many requests at once.
def test_backoff_has_full_jitter_and_a_maximum():
    rng = random.Random(1)
    waits = sorted(backoff_s(retry=2, rng=rng) for _ in range(1000))
    assert waits[50] < 0.02 and waits[950] > 0.08
    assert max(backoff_s(retry=5000, rng=rng) for _ in range(100)) <= BACKOFF_MAX_S


def test_isolated_failures_do_not_eject():
    ejector = Ejector(rng=random.Random(1))
    for now in range(100):
        ejector.record_failure("u", now=now)
        ejector.record_success("u", now=now)
    assert ejector.is_usable("u", now=100.0)


def test_one_probe_at_a_time_before_the_ramp():
    ejector = make_ejected()
    # The success of a request sent before the ejection does not end the ejection.
    ejector.record_success("u", now=0.05)
    assert ejector.is_ejected("u")
    now = first_usable(ejector, 0.0)
    ejector.record_dispatch("u", now=now)
    assert not any(ejector.is_usable("u", now=now + 0.1 * k) for k in range(50))
    ejector.record_success("u", now=now)
    early = sum(ejector.is_usable("u", now=now) for _ in range(1000))
    late = sum(ejector.is_usable("u", now=now + 0.7 * RAMP_S) for _ in range(1000))
    assert 50 < early < 160 and 600 < late < 850
    ejector.record_success("u", now=now + RAMP_S)
    assert all(ejector.is_usable("u", now=now + RAMP_S) for _ in range(100))


# Guards against an upstream that stays in use when it fails again, or that is never
# probed any more.
def test_failure_during_the_ramp_ejects_at_once_and_waits_longer():
    ejector = make_ejected()
    probes = []
    now = 0.0
    for _ in range(6):
        began = now
        now = first_usable(ejector, now)
        probes.append(now - began)
        ejector.record_dispatch("u", now=now)
        ejector.record_success("u", now=now)
        ejector.record_failure("u", now=now + 0.1)
        assert ejector.is_ejected("u")
    assert probes[0] <= 0.26 < 0.5 <= min(probes[3:]) <= max(probes) <= 1.11


# Guards against an upstream that stays ejected because a probe never ended, also if the
# clock jumps during the probe.
@pytest.mark.parametrize("jump", [11.0, 1e6])
def test_lost_probe_is_repeated(jump):
    ejector = make_ejected()
    now = first_usable(ejector, 0.0)
    ejector.record_dispatch("u", now=now)
    assert not ejector.is_usable("u", now=now + 9.0)
    assert first_usable(ejector, now + jump) <= now + jump + 1.01


# Guards against simultaneous probes by 70 routers of an upstream that fails and
# recovers twice.
def test_probes_of_many_routers_are_spread():
    ejectors = [make_ejected(seed=seed, routers=70) for seed in range(70)]
    probes = []
    for ejector in ejectors:
        now = 0.0
        while now < 20.0:
            now = first_usable(ejector, now, step=0.05)
            ejector.record_dispatch("u", now=now)
            ejector.record_failure("u", now=now)
            probes.append(now)
    later = [now for now in probes if 10.0 <= now < 20.0]
    assert len(later) / 10.0 <= 35.0
    assert max(sum(a <= now < a + 0.5 for now in later) for a in later) <= 35
