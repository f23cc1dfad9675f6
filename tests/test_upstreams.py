import dataclasses

import pytest

from endivelug import _rendezvous
from endivelug.messages import UpstreamEntry
from endivelug.upstreams import DEAD, LEAVING, LIVE, Upstreams
from endivelug.vm_list import ListedVm

ENTRY = UpstreamEntry(
    name="e1",
    address="x:1",
    kind="engine",
    pool="chat",
    models=["base=v1"],
    adapters=[],
    incarnation=5,
    state=LIVE,
)


def listed(*, leaving=False, address="x:1"):
    return ListedVm(
        vm="e1",
        address=address,
        data_centre="dc1",
        kind="engine",
        pool="chat",
        leaving=leaving,
    )


def make_upstreams(*, reporter="a", live=("a", "b"), **entry):
    upstreams = Upstreams()
    upstreams.apply_vm_list([listed()], live=live)
    upstreams.apply_report(
        dataclasses.replace(ENTRY, **entry), reporter=reporter, live=live
    )
    return upstreams


def state(upstreams):
    return [entry.state for entry in upstreams.entries()]


# Guards against work for an upstream that no probe has reached yet.
def test_listed_upstreams_are_dead_until_probed():
    upstreams = Upstreams()
    upstreams.apply_vm_list([listed()], live=("a",))
    assert state(upstreams) == [DEAD]


# Guards against new work after each of the three signs of leaving.
@pytest.mark.parametrize("sign", ["list", "load", "probe", "removed"])
def test_each_sign_takes_effect_at_once(sign):
    upstreams = make_upstreams()
    assert state(upstreams) == [LIVE]
    match sign:
        case "list":
            upstreams.apply_vm_list([listed(leaving=True)], live=("a", "b"))
            assert state(upstreams) == [LEAVING]
        case "removed":
            upstreams.apply_vm_list([], live=("a", "b"))
            assert state(upstreams) == [LEAVING]
        case "load" | "probe":
            said = LEAVING if sign == "load" else DEAD
            entry = dataclasses.replace(ENTRY, state=said)
            upstreams.apply_report(entry, reporter="a", live=("a", "b"))
            assert state(upstreams) == [said]


# Guards against an old list that keeps a restarted engine out of use, and against a
# list that lets the announced incarnation back in.
def test_leaving_by_list_ends_with_a_new_incarnation():
    upstreams = make_upstreams()
    upstreams.apply_vm_list([listed(leaving=True)], live=("a", "b"))
    upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert state(upstreams) == [LEAVING]
    restarted = dataclasses.replace(ENTRY, incarnation=6)
    upstreams.apply_report(restarted, reporter="a", live=("a", "b"))
    upstreams.apply_vm_list([listed(leaving=True)], live=("a", "b"))
    assert state(upstreams) == [LIVE]
    assert not upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert state(upstreams) == [LIVE]


# Guards against the late report of a paused prober over that of its successor.
def test_the_prober_that_ranks_highest_among_the_live_decides():
    first, second = _rendezvous.rank("engine:e1", ["a", "b"])
    dead = dataclasses.replace(ENTRY, state=DEAD)
    upstreams = make_upstreams(reporter=first)
    upstreams.apply_report(dead, reporter=second, live=(first, second))
    assert state(upstreams) == [LIVE]
    upstreams.merge_all(live=(second,))
    assert state(upstreams) == [DEAD]
    upstreams.apply_report(ENTRY, reporter=first, live=(second,))
    assert state(upstreams) == [DEAD]


# Guards against an upstream that is forgotten while streams still run on it, and
# against reports on an earlier VM at another address.
def test_removed_upstreams_go_once_dead_and_addresses_change():
    upstreams = make_upstreams()
    upstreams.apply_vm_list([], live=("a", "b"))
    upstreams.apply_report(
        dataclasses.replace(ENTRY, state=DEAD), reporter="a", live=("a", "b")
    )
    upstreams.apply_vm_list([], live=("a", "b"))
    assert upstreams.entries() == []
    upstreams.apply_vm_list([listed(address="x:2")], live=("a", "b"))
    assert not upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert state(upstreams) == [DEAD]
