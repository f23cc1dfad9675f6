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


def make_listed_vm(*, leaving=False, address="x:1"):
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
    upstreams.apply_vm_list([make_listed_vm()], live=live)
    upstreams.apply_report(
        dataclasses.replace(ENTRY, **entry), reporter=reporter, live=live
    )
    return upstreams


def states(upstreams):
    return [entry.state for entry in upstreams.entries()]


# Guards against new work for an upstream that no probe has reached yet.
def test_listed_upstreams_are_dead_until_probed():
    upstreams = Upstreams()
    upstreams.apply_vm_list([make_listed_vm()], live=("a",))
    assert states(upstreams) == [DEAD]


# Guards against new work for an upstream that leaves or fails according to any of the
# three sources: the VM list, the load that it reports, and the probes.
@pytest.mark.parametrize("sign", ["list", "load", "probe", "removed"])
def test_each_state_change_takes_effect_at_once(sign):
    upstreams = make_upstreams()
    assert states(upstreams) == [LIVE]
    match sign:
        case "list":
            upstreams.apply_vm_list([make_listed_vm(leaving=True)], live=("a", "b"))
            assert states(upstreams) == [LEAVING]
        case "removed":
            upstreams.apply_vm_list([], live=("a", "b"))
            assert states(upstreams) == [LEAVING]
        case "load" | "probe":
            reported_state = LEAVING if sign == "load" else DEAD
            entry = dataclasses.replace(ENTRY, state=reported_state)
            upstreams.apply_report(entry, reporter="a", live=("a", "b"))
            assert states(upstreams) == [reported_state]


# Guards against an outdated VM list that keeps a restarted engine out of use, and
# against new work for the incarnation that the list announced as leaving.
def test_leaving_by_the_vm_list_ends_with_a_new_incarnation():
    upstreams = make_upstreams()
    upstreams.apply_vm_list([make_listed_vm(leaving=True)], live=("a", "b"))
    upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert states(upstreams) == [LEAVING]
    restarted = dataclasses.replace(ENTRY, incarnation=6)
    upstreams.apply_report(restarted, reporter="a", live=("a", "b"))
    upstreams.apply_vm_list([make_listed_vm(leaving=True)], live=("a", "b"))
    assert states(upstreams) == [LIVE]
    assert not upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert states(upstreams) == [LIVE]


# Guards against a late report of a paused prober that overrides its successor's report.
def test_the_report_of_the_highest_ranked_live_prober_decides():
    first, second = _rendezvous.rank("engine:e1", ["a", "b"])
    dead = dataclasses.replace(ENTRY, state=DEAD)
    upstreams = make_upstreams(reporter=first)
    upstreams.apply_report(dead, reporter=second, live=(first, second))
    assert states(upstreams) == [LIVE]
    upstreams.merge_all(live=(second,))
    assert states(upstreams) == [DEAD]
    upstreams.apply_report(ENTRY, reporter=first, live=(second,))
    assert states(upstreams) == [DEAD]


# Guards against removing an upstream while streams still run on it, and against reports
# about an earlier VM at another address.
def test_unlisted_upstreams_are_removed_once_dead_and_addresses_change():
    upstreams = make_upstreams()
    upstreams.apply_vm_list([], live=("a", "b"))
    upstreams.apply_report(
        dataclasses.replace(ENTRY, state=DEAD), reporter="a", live=("a", "b")
    )
    upstreams.apply_vm_list([], live=("a", "b"))
    assert upstreams.entries() == []
    upstreams.apply_vm_list([make_listed_vm(address="x:2")], live=("a", "b"))
    assert not upstreams.apply_report(ENTRY, reporter="a", live=("a", "b"))
    assert states(upstreams) == [DEAD]
