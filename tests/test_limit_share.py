"""What several VMs use of the limit of one upstream, on a virtual clock."""

import pytest

from limit_builders import SimulatedVms

# The rule: from 3 s on, one and a half times the limit and 5 requests in 4 s.
SETTLED_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
MARGIN = 5
SECONDS = 24.0
LIMITS = (0.1, 1.4, 20.0)


def most_in_a_window(arrivals):
    """Return the largest number of arrivals in a window that the rule counts."""
    counted = [at for at in arrivals if at >= SETTLED_S]
    most = first = 0
    for number, at in enumerate(counted):
        while counted[first] <= at - WINDOW_S:
            first += 1
        most = max(most, number + 1 - first)
    return most


def assert_limit_is_kept(vms):
    allowed = FACTOR * vms.limit * WINDOW_S + MARGIN
    assert most_in_a_window(vms.arrivals) <= allowed


def heavy(limit):
    return lambda now: max(40.0, 8 * limit)


def jump(limit):
    return lambda now: 0.2 * limit if now < 12.0 else max(200.0, 10 * limit)


def waves(limit):
    return lambda now: 10 * limit if now // 3 % 2 else 0.0


# Guards against VMs that together exceed the limit: by one token for each of many VMs,
# by late reports, by a sudden demand, or by one that comes and goes.
@pytest.mark.parametrize("vms", [1, 6, 79, 490])
@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("demand", [heavy, jump, waves])
@pytest.mark.parametrize("wait_s", [0.0, 2.0])
def test_all_vms_together_keep_the_limit(vms, limit, demand, wait_s):
    simulated = SimulatedVms(vms=vms, limit=limit)
    simulated.play(demand(limit), seconds=SECONDS, wait_s=wait_s)
    assert_limit_is_kept(simulated)


# Guards against a mean above the limit under a steady demand, which a bound on each
# window does not show, and against a limit of which most stays unused while calls wait.
@pytest.mark.parametrize("vms", [1, 6, 79, 490])
@pytest.mark.parametrize("limit", [1.4, 20.0])
@pytest.mark.parametrize("uneven", [False, True])
def test_waiting_calls_use_the_limit_and_no_more(vms, limit, uneven):
    weights = [20.0 * vms] + [1.0] * (vms - 1) if uneven else None
    simulated = SimulatedVms(vms=vms, limit=limit)
    simulated.play(heavy(limit), seconds=SECONDS, wait_s=2.0, weights=weights)
    assert_limit_is_kept(simulated)
    settled = [at for at in simulated.arrivals if at >= SETTLED_S]
    allowed = limit * (SECONDS - SETTLED_S)
    assert allowed / 2 <= len(settled) <= allowed + MARGIN


# Guards against a limit that a VM without links, or each part of a partition, uses as
# a whole.
@pytest.mark.parametrize("parts", [2, 6])
@pytest.mark.parametrize("limit", LIMITS)
def test_parts_without_links_keep_their_shares(parts, limit):
    simulated = SimulatedVms(vms=6, limit=limit)
    simulated.group_of = lambda vm, now: vm % parts if 8.0 <= now < 16.0 else 0
    simulated.play(heavy(limit), seconds=SECONDS, wait_s=1.0)
    assert_limit_is_kept(simulated)


# Guards against VMs that start anew, have forgotten what they sent, and begin with a
# whole part again.
@pytest.mark.parametrize("vms", [6, 79])
@pytest.mark.parametrize("limit", LIMITS)
def test_restarts_do_not_add_to_the_limit(vms, limit):
    simulated = SimulatedVms(vms=vms, limit=limit)
    simulated.play(heavy(limit), seconds=SECONDS, wait_s=1.0, restart_s=2.0)
    assert_limit_is_kept(simulated)


# Guards against calls that wait although the upstream has been idle and nobody else has
# calls.
def test_a_single_vm_sends_at_once_what_the_limit_allows():
    simulated = SimulatedVms(vms=1, limit=1.0)
    simulated.play(lambda now: 0.0, seconds=2.0)
    assert simulated.try_send(0, 2.0)
    assert not simulated.try_send(0, 2.1)
    assert simulated.try_send(0, 3.0)
