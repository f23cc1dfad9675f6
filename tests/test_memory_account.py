"""Decisions of the memory account and of the bounds on descriptors."""

import pytest

from endivelug.forwarding.buffers.descriptors import DescriptorBounds
from endivelug.forwarding.buffers.memory_account import (
    BODY_PROGRESS,
    MEBIBYTE,
    STALL_S,
    Holder,
    HolderKind,
    MemoryAccount,
    account_bytes,
)

BODY_BYTES = 4 * MEBIBYTE


def make_body(account, *, held=0, started_at=0.0, **fields):
    values = {"kind": HolderKind.BODY, "expected_bytes": BODY_BYTES, **fields}
    holder = Holder(**values)
    BODY_PROGRESS.start(holder, now=started_at)
    account.charge(holder, held)
    return holder


# Guards against an account without room for the largest body, or for the process.
@pytest.mark.parametrize("memory_mb", [1, 64, 160, 552])
def test_the_account_holds_the_largest_body_in_any_vm(memory_mb):
    account = MemoryAccount(total_bytes=account_bytes(memory_mb))
    assert account.fits(make_body(account), BODY_BYTES)
    if memory_mb >= 160:
        assert account.total_bytes < (memory_mb - 64) * MEBIBYTE


# Guards against small requests that are refused because large bodies fill the account,
# and against bodies that wait for each other for good.
def test_reserves_for_small_requests_and_for_completion():
    account = MemoryAccount(total_bytes=account_bytes(160))
    large = make_body(account)
    while account.fits(large, MEBIBYTE):
        account.charge(large, MEBIBYTE)
    small = make_body(account, expected_bytes=1000)
    assert account.fits(small, 1000)
    assert not account.fits(large, MEBIBYTE)
    assert account.fits(large, BODY_BYTES, completing=True)


# Guards against a client that is let go on by sending a byte now and then, and against
# closing one that sends at the minimum rate.
def test_the_deadline_follows_the_minimum_rate():
    account = MemoryAccount(total_bytes=BODY_BYTES)
    dribbling, steady = make_body(account), make_body(account)
    for second in range(1, 60):
        BODY_PROGRESS.record(dribbling, 1, now=float(second))
        BODY_PROGRESS.record(steady, int(BODY_PROGRESS.min_rate), now=float(second))
        if second == BODY_PROGRESS.pause_s - 1:
            assert account.overdue(now=float(second)) == []
    assert account.overdue(now=60.0) == [dribbling]
    # Credit for a fast beginning does not allow a longer pause later.
    BODY_PROGRESS.record(steady, BODY_BYTES, now=60.0)
    assert steady.deadline == 60.0 + BODY_PROGRESS.pause_s


# Guards against closing a client whose bytes this process does not read.
def test_the_time_of_a_paused_body_stands_still():
    account = MemoryAccount(total_bytes=BODY_BYTES)
    body = make_body(account, held=100)
    BODY_PROGRESS.pause(body, now=1.0)
    assert account.overdue(now=1000.0) == []
    assert account.victim(None, now=1000.0) is None
    BODY_PROGRESS.resume(body, now=1000.0)
    assert body.deadline == BODY_PROGRESS.pause_s + 999.0


# Guards against closing another body than the one without progress for longest, or a
# complete one, or one that only met a short loss.
def test_the_body_without_progress_for_longest_is_closed_first():
    account = MemoryAccount(total_bytes=BODY_BYTES)
    complete = make_body(account, held=100)
    complete.deadline = float("inf")
    recent = make_body(account, held=100, started_at=9.5)
    stalled = [make_body(account, held=100, started_at=at) for at in (3.0, 1.0, 2.0)]
    waiting = make_body(account, started_at=10.0)
    closed = []
    while (victim := account.victim(waiting, now=10.0)) is not None:
        closed.append(victim)
        account.release(victim)
    assert closed == [stalled[1], stalled[2], stalled[0]]
    assert account.victim(waiting, now=9.5 + STALL_S) is recent


# Guards against cutting off a response, whose request has run, before a stopped body.
def test_bodies_are_closed_before_responses():
    account = MemoryAccount(total_bytes=BODY_BYTES)
    response = make_body(account, held=100, kind=HolderKind.RESPONSE)
    body = make_body(account, held=100, started_at=5.0)
    assert account.victim(None, now=10.0) is body
    account.release(body)
    assert account.victim(None, now=10.0) is response


# Guards against one address or organisation that keeps the account while others wait,
# and against closing a party for the sake of one that holds as much.
@pytest.mark.parametrize("field", ["address", "organisation"])
def test_a_party_over_its_share_gives_way(field):
    account = MemoryAccount(total_bytes=1000)
    bodies = [
        make_body(account, held=300, started_at=at, **{field: "large"})
        for at in (9.8, 9.6, 9.9)
    ]
    waiting = make_body(account, started_at=10.0, **{field: "other"})
    assert account.victim(waiting, now=10.0) is bodies[1]
    own = make_body(account, started_at=10.0, **{field: "large"})
    assert account.victim(own, now=10.0) is None
    account.charge(waiting, 600)
    assert account.victim(waiting, now=10.0) is None


# Guards against charges that are returned twice or not at all.
def test_a_charge_is_returned_once():
    account = MemoryAccount(total_bytes=1000)
    body = make_body(account, held=300)
    account.charge(body, 200)
    account.release(body)
    account.release(body)
    assert (account.held_bytes, account.peak_bytes, account.holders) == (0, 500, set())


# Guards against callers that take the descriptors of upstreams and of the operators.
def test_callers_and_upstreams_share_the_descriptors():
    bounds = DescriptorBounds(max_fds=1638)
    for upstreams in (0, 300, 1000, 2000):
        callers = bounds.max_callers(upstreams=upstreams)
        assert callers >= 1
        assert callers + upstreams < 1638 or callers == 1
    assert bounds.upstream_fits(callers=700, upstreams=700)
    assert not bounds.upstream_fits(callers=800, upstreams=800)
    unbounded = DescriptorBounds(max_fds=0)
    assert unbounded.max_callers(upstreams=5000) == 0
    assert unbounded.upstream_fits(callers=5000, upstreams=5000)
