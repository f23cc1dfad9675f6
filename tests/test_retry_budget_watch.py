import pytest

from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.retry_budget_watch import (
    CURRENT_S,
    RetryBudgetWatch,
    make_retry_budget_watch,
)
from forwarding_builders import ManualClock
from retry_vms import SERVICE, make_budget
from test_peers import make_peers


def make_watch(clock, neighbours, *, registered=2):
    return RetryBudgetWatch(
        budget=make_budget(),
        neighbours=neighbours,
        count_vms=lambda: 1 + len(neighbours),
        count_registered=lambda: registered,
        clock=clock,
    )


# Guards against taking from the pool before a new neighbour, or one whose report was
# lost, has told what it has taken.
@pytest.mark.parametrize(
    ("changes", "is_current"),
    [
        ({"received_sequence": 1}, True),
        ({}, False),
        ({"received_sequence": 4, "missed": True}, False),
    ],
)
def test_only_complete_reports_are_current(changes, is_current):
    clock = ManualClock()
    neighbour = Neighbour(last_received_at=clock.now, **changes)
    assert make_watch(clock, {"vm2": neighbour}).is_current() == is_current


# Guards against a VM that is partitioned and takes from the pool until its links close.
def test_a_silent_neighbour_is_not_current():
    clock = ManualClock()
    neighbour = Neighbour(last_received_at=clock.now, received_sequence=1)
    watch = make_watch(clock, {"vm2": neighbour})
    for _ in range(4):
        clock.now += CURRENT_S / 3
        watch.check(now=clock.now)
    assert not watch.is_current()


# Guards against a VM that takes itself for the only one while it cannot read the list
# of VMs, and uses the budget of all.
def test_no_retries_are_sent_before_the_list_of_vms_was_read():
    clock = ManualClock()
    watch = make_watch(clock, {}, registered=0)
    watch.check(now=clock.now)
    assert not watch.budget.try_acquire(SERVICE, now=clock.now)
    watch = make_watch(clock, {}, registered=1)
    watch.check(now=clock.now)
    assert watch.budget.try_acquire(SERVICE, now=clock.now)


# Guards against a part of the pool that the other VMs hear of with the next heartbeat
# only, because a retry that waits changes no load.
def test_taking_from_the_pool_is_reported_in_the_next_round():
    peers = make_peers("vm1")
    make_retry_budget_watch(peers)
    assert peers.budget.on_taken == peers.rounds.note_change
    budget, taken = make_budget(), []
    budget.on_taken = lambda: taken.append(budget.own(SERVICE, now=0.0).retries)
    while budget.reserve(SERVICE, now=0.0) is not None:
        pass
    assert len(taken) == 1
    assert taken[0] > 0
