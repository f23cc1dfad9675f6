import random

from endivelug import _rendezvous
from endivelug.membership import FORGET_AFTER_S, Membership


def make_membership():
    return Membership(
        vm="a", data_centre="dc1", address="a:1", incarnation=1, dead_after_s=5.0
    )


def beat(membership, vm, *, now, incarnation=1, leaving=False, data_centre="dc1"):
    return membership.record_heartbeat(
        vm=vm,
        data_centre=data_centre,
        incarnation=incarnation,
        leaving=leaving,
        revision=1,
        digest=1,
        now=now,
    )


def listed(*vms):
    return [(vm, "dc1", f"{vm}:1") for vm in vms]


# Guards against a lagging list that revives a dead agent or hides a live one.
def test_the_list_only_names_agents():
    membership = make_membership()
    membership.apply_list(listed("a", "b"), now=0.0)
    assert membership.live_agents() == ("a",)
    beat(membership, "b", now=1.0)
    membership.apply_list(listed("a"), now=2.0)
    assert membership.live_agents() == ("a", "b")
    assert membership.expire(now=7.0)
    membership.apply_list(listed("a", "b"), now=8.0)
    assert membership.live_agents() == ("a",)


# Guards against late messages of an earlier incarnation after a VM restarted, and
# against an old list that sends the dialler to the address of the earlier VM.
def test_a_restarted_vm_with_an_old_list():
    membership = make_membership()
    membership.record_greeting(
        vm="b", data_centre="dc1", incarnation=1, address="b:1", now=0.0
    )
    beat(membership, "b", now=1.0, leaving=True)
    assert membership.live_agents() == ("a",)
    assert membership.record_greeting(
        vm="b", data_centre="dc1", incarnation=2, address="b:2", now=2.0
    )
    assert membership.live_agents() == ("a", "b")
    assert not beat(membership, "b", now=3.0, incarnation=1, leaving=True)
    membership.apply_list(listed("a", "b"), now=3.0)
    assert membership.live_agents() == ("a", "b")
    assert membership.agents["b"].address == "b:2"
    assert membership.stale_rejected == 1


# Guards against a paused agent that keeps its work for ever or never gets it back.
def test_a_paused_agent_is_suspected_then_dead_then_back():
    membership = make_membership()
    beat(membership, "b", now=0.0)
    assert membership.expire(now=3.5)
    assert membership.responsive_agents() == ("a",)
    assert membership.live_agents() == ("a", "b")
    assert membership.expire(now=5.5)
    assert membership.live_agents() == ("a",)
    beat(membership, "b", now=20.0)
    assert membership.responsive_agents() == membership.live_agents() == ("a", "b")


# Guards against a resumed process that takes all of its peers for dead.
def test_the_own_pause_is_not_held_against_the_peers():
    membership = make_membership()
    beat(membership, "b", now=0.0)
    membership.compensate_pause(gap_s=60.0)
    assert not membership.expire(now=62.0)
    assert membership.expire(now=66.0) and membership.live_agents() == ("a",)


# Guards against probes that wait for the timeout after a crash closed the link.
def test_a_closed_link_moves_probes_at_once_and_ownership_later():
    membership = make_membership()
    beat(membership, "b", now=0.0)
    names = [f"e{number}" for number in range(50)]
    before = {name: membership.owner(f"engine:{name}") for name in names}
    membership.link_closed(vm="b", incarnation=1)
    assert all(membership.prober(name) == "a" for name in names)
    assert before == {name: membership.owner(f"engine:{name}") for name in names}
    membership.link_closed(vm="b", incarnation=0)
    assert not membership.expire(now=4.9)
    assert membership.expire(now=5.1) and membership.live_agents() == ("a",)


# Guards against this agent declaring itself dead because of a twin or an echo.
def test_signs_of_oneself_are_ignored():
    membership = make_membership()
    assert not beat(membership, "a", now=1.0, incarnation=9, leaving=True)
    assert membership.live_agents() == ("a",)
    membership.apply_list([], now=10_000.0)
    assert membership.live_agents() == ("a",)


# Guards against memory that grows with every VM that ever lived.
def test_dead_agents_that_no_list_names_are_forgotten():
    membership = make_membership()
    beat(membership, "b", now=0.0)
    membership.expire(now=6.0)
    membership.apply_list([], now=7.0)
    assert "b" in membership.agents
    membership.apply_list([], now=FORGET_AFTER_S + 7.0)
    assert "b" not in membership.agents


# Guards against cached owners that differ from the rendezvous over live agents, under
# random joins, restarts, pauses, departures and lists.
def test_owners_and_liveness_against_a_plain_model():
    rng = random.Random(7)
    membership = make_membership()
    heard, incarnations, leaving, now = {}, {}, set(), 0.0
    for _ in range(3000):
        now += rng.uniform(0, 0.7)
        vm = rng.choice("bcdefgh")
        match rng.randrange(4):
            case 0:
                incarnations[vm] = incarnations.get(vm, 0) + 1
                leaving.discard(vm)
                beat(membership, vm, now=now, incarnation=incarnations[vm])
                heard[vm] = now
            case 1 if vm in incarnations:
                stop = rng.random() < 0.1
                beat(
                    membership,
                    vm,
                    now=now,
                    incarnation=incarnations[vm],
                    leaving=stop,
                )
                heard[vm] = now
                leaving.update({vm} if stop else ())
            case 2 if incarnations.get(vm, 0) > 1:
                beat(membership, vm, now=now, incarnation=incarnations[vm] - 1)
            case 3:
                membership.apply_list(listed(*rng.sample("abcdefgh", 4)), now=now)
        membership.expire(now=now)
        live = sorted(
            {"a"} | {vm for vm, at in heard.items() if now - at <= 5.0} - leaving
        )
        assert list(membership.live_agents()) == live
        key = f"engine:{rng.randrange(30)}"
        assert membership.owner(key) == _rendezvous.owner(key, live)
