import random

from endivelug import _rendezvous
from endivelug.membership import FORGET_AFTER_S, Membership


def make_membership():
    return Membership(
        vm="a", data_centre="dc1", address="a:1", incarnation=1, dead_after_s=5.0
    )


def send_heartbeat(
    membership, vm, *, now, incarnation=1, leaving=False, data_centre="dc1"
):
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


# Guards against an outdated VM list that makes a dead agent live or removes a live one.
def test_the_vm_list_does_not_decide_liveness():
    membership = make_membership()
    membership.apply_list(listed("a", "b"), now=0.0)
    assert membership.live_agents() == ("a",)
    send_heartbeat(membership, "b", now=1.0)
    membership.apply_list(listed("a"), now=2.0)
    assert membership.live_agents() == ("a", "b")
    assert membership.expire(now=7.0)
    membership.apply_list(listed("a", "b"), now=8.0)
    assert membership.live_agents() == ("a",)


# Guards against late messages of the earlier incarnation after a VM has restarted, and
# against an outdated VM list that replaces the new address by the earlier one.
def test_a_restarted_vm_with_an_outdated_list():
    membership = make_membership()
    membership.record_greeting(
        vm="b", data_centre="dc1", incarnation=1, address="b:1", now=0.0
    )
    send_heartbeat(membership, "b", now=1.0, leaving=True)
    assert membership.live_agents() == ("a",)
    assert membership.record_greeting(
        vm="b", data_centre="dc1", incarnation=2, address="b:2", now=2.0
    )
    assert membership.live_agents() == ("a", "b")
    assert not send_heartbeat(membership, "b", now=3.0, incarnation=1, leaving=True)
    membership.apply_list(listed("a", "b"), now=3.0)
    assert membership.live_agents() == ("a", "b")
    assert membership.agents["b"].address == "b:2"
    assert membership.stale_rejected == 1


# Guards against a paused agent that keeps its upstreams for ever or never gets them
# back.
def test_a_paused_agent_is_suspected_then_dead_then_live():
    membership = make_membership()
    send_heartbeat(membership, "b", now=0.0)
    assert membership.expire(now=3.5)
    assert membership.responsive_agents() == ("a",)
    assert membership.live_agents() == ("a", "b")
    assert membership.expire(now=5.5)
    assert membership.live_agents() == ("a",)
    send_heartbeat(membership, "b", now=20.0)
    assert membership.responsive_agents() == membership.live_agents() == ("a", "b")


# Guards against a process that declares all its peers dead after a pause of its own.
def test_a_pause_of_this_process_does_not_count_as_silence_of_the_peers():
    membership = make_membership()
    send_heartbeat(membership, "b", now=0.0)
    membership.compensate_pause(gap_s=60.0)
    assert not membership.expire(now=62.0)
    assert membership.expire(now=66.0) and membership.live_agents() == ("a",)


# Guards against upstreams that are not probed until the timeout, although the crash of
# their prober has closed the link.
def test_a_closed_link_moves_probes_at_once_and_ownership_after_the_timeout():
    membership = make_membership()
    send_heartbeat(membership, "b", now=0.0)
    names = [f"e{number}" for number in range(50)]
    before = {name: membership.owner(f"engine:{name}") for name in names}
    membership.link_closed(vm="b", incarnation=1)
    assert all(membership.prober(name) == "a" for name in names)
    assert before == {name: membership.owner(f"engine:{name}") for name in names}
    membership.link_closed(vm="b", incarnation=0)
    assert not membership.expire(now=4.9)
    assert membership.expire(now=5.1) and membership.live_agents() == ("a",)


# Guards against an agent that declares itself dead because of a message under its own
# name, from a second process of that name or its own message sent back.
def test_messages_under_the_own_name_are_ignored():
    membership = make_membership()
    assert not send_heartbeat(membership, "a", now=1.0, incarnation=9, leaving=True)
    assert membership.live_agents() == ("a",)
    membership.apply_list([], now=10_000.0)
    assert membership.live_agents() == ("a",)


# Guards against memory that grows with the number of all VMs that ever existed.
def test_dead_unlisted_agents_are_removed():
    membership = make_membership()
    send_heartbeat(membership, "b", now=0.0)
    membership.expire(now=6.0)
    membership.apply_list([], now=7.0)
    assert "b" in membership.agents
    membership.apply_list([], now=FORGET_AFTER_S + 7.0)
    assert "b" not in membership.agents


# Guards against cached owners that differ from rendezvous hashing over the live agents,
# after random joins, restarts, pauses, departures and VM lists.
def test_owners_and_liveness_against_a_simple_model():
    rng = random.Random(7)
    membership = make_membership()
    last_seen_at, incarnations, leaving, now = {}, {}, set(), 0.0
    for _ in range(3000):
        now += rng.uniform(0, 0.7)
        vm = rng.choice("bcdefgh")
        match rng.randrange(4):
            case 0:
                incarnations[vm] = incarnations.get(vm, 0) + 1
                leaving.discard(vm)
                send_heartbeat(membership, vm, now=now, incarnation=incarnations[vm])
                last_seen_at[vm] = now
            case 1 if vm in incarnations:
                is_leaving = rng.random() < 0.1
                send_heartbeat(
                    membership,
                    vm,
                    now=now,
                    incarnation=incarnations[vm],
                    leaving=is_leaving,
                )
                last_seen_at[vm] = now
                leaving.update({vm} if is_leaving else ())
            case 2 if incarnations.get(vm, 0) > 1:
                send_heartbeat(
                    membership, vm, now=now, incarnation=incarnations[vm] - 1
                )
            case 3:
                membership.apply_list(listed(*rng.sample("abcdefgh", 4)), now=now)
        membership.expire(now=now)
        live = sorted(
            {"a"} | {vm for vm, at in last_seen_at.items() if now - at <= 5.0} - leaving
        )
        assert list(membership.live_agents()) == live
        key = f"engine:{rng.randrange(30)}"
        assert membership.owner(key) == _rendezvous.owner(key, live)
