import random
import tracemalloc

import pytest

from builders import make_lists
from endivelug._config_records import Delta, pack_delta
from endivelug.configuration import (
    Applied,
    Configuration,
    Gap,
    Ignored,
    Rejected,
    build_configuration,
)
from endivelug.lists import (
    OrganisationRemoved,
    OrganisationSet,
    diff_lists,
    key_digest,
)


def make_history(*, revisions=6, seed=1):
    """Return the deltas of random edits, and digest and lists after each edit."""
    rng = random.Random(seed)
    lists = make_lists(organisations=20)
    state = Configuration()
    bodies, states = [], [(0, state.lists())]
    for _ in range(revisions):
        changes = diff_lists(state.lists(), lists)
        body = pack_delta(
            Delta(token=b"t", digest=state.digest_after(changes), changes=changes)
        )
        assert isinstance(state.apply_deltas(state.revision + 1, [body]), Applied)
        assert state.lists() == lists
        assert state.digest == build_configuration(lists).digest
        bodies.append(body)
        states.append((state.digest, state.lists()))
        name = rng.choice(sorted(lists.organisations))
        if rng.random() < 0.3 and len(lists.organisations) > 5:
            del lists.organisations[name]
        else:
            # The length varies, so that records move and leave holes.
            plan = rng.choice(sorted(lists.plans))
            keys = tuple(sorted(rng.randbytes(32) for _ in range(rng.randint(1, 3))))
            lists.organisations[name].plan = plan
            lists.organisations[name].keys = keys
    return bodies, states


def test_authenticates_by_caller_key():
    configuration = build_configuration(make_lists(organisations=50))
    assert configuration.organisation_by_key("key 7").name == "org-7"
    assert configuration.organisation_by_key("key 50") is None
    assert configuration.plan_of("org-7").name == "counter"
    assert configuration.plan_of("org-50") is None
    assert configuration.desired_versions() == {"base": "v1"}


@pytest.mark.parametrize("seed", range(5))
def test_deltas_and_snapshots_give_the_same_content(seed):
    bodies, states = make_history(revisions=40, seed=seed)
    follower = Configuration()
    follower.apply_deltas(1, bodies[:20])
    joined = Configuration()
    joined.apply_snapshot(20, follower.digest, follower.snapshot())
    assert (joined.digest, joined.lists()) == states[20]
    joined.apply_deltas(15, bodies[14:])
    assert (joined.revision, joined.digest, joined.lists()) == (40, *states[40])


# Guards against a stale push that reverts an edit (I9).
def test_lower_or_equal_revision_is_never_applied():
    bodies, states = make_history()
    old = Configuration()
    old.apply_deltas(1, bodies[:3])
    configuration = Configuration()
    configuration.apply_deltas(1, bodies)
    for outcome in (
        configuration.apply_deltas(1, bodies[:3]),
        configuration.apply_snapshot(3, old.digest, old.snapshot()),
        configuration.apply_snapshot(3, old.digest, old.snapshot(), from_table=True),
        configuration.apply_snapshot(6, old.digest, old.snapshot()),
    ):
        assert isinstance(outcome, Ignored)
    assert (configuration.digest, configuration.lists()) == states[6]


def test_late_delta_leaves_a_gap():
    bodies, states = make_history()
    configuration = Configuration()
    configuration.apply_deltas(1, bodies[:2])
    assert configuration.apply_deltas(4, bodies[3:]) == Gap(held=2)
    assert (configuration.digest, configuration.lists()) == states[2]
    assert configuration.apply_deltas(2, bodies[1:]) == Applied(revision=6)


# Guards against damaged or forged deltas and snapshots that are applied in part.
def test_content_that_does_not_match_its_digest_changes_nothing():
    bodies, states = make_history()
    configuration = Configuration()
    configuration.apply_deltas(1, bodies[:2])
    wrong = pack_delta(
        Delta(token=b"t", digest=1, changes=[OrganisationRemoved(name="org-1")])
    )
    for outcome in (
        configuration.apply_deltas(3, [wrong]),
        configuration.apply_deltas(3, [bodies[2][:-1]]),
        configuration.apply_deltas(3, [b"\x83\x01\x02\x81\x81\x05"]),
        configuration.apply_snapshot(9, 5, configuration.snapshot()),
        configuration.apply_snapshot(9, 5, configuration.snapshot()[:-3]),
        configuration.apply_snapshot(9, 5, b""),
    ):
        assert isinstance(outcome, Rejected)
    assert (configuration.digest, configuration.lists()) == states[2]


# Guards against two copies of one revision that differ permanently.
def test_damaged_copy_is_replaced_only_by_the_table():
    bodies, states = make_history()
    good, damaged = Configuration(), Configuration()
    good.apply_deltas(1, bodies)
    damaged.apply_deltas(1, bodies)
    damaged.digest ^= 1
    table_copy = (6, good.digest, good.snapshot())
    assert isinstance(damaged.apply_snapshot(*table_copy), Ignored)
    assert isinstance(damaged.apply_snapshot(*table_copy, from_table=True), Applied)
    assert damaged.digest == states[6][0]


def test_number_of_stored_deltas_is_bounded():
    bodies, _ = make_history(revisions=300)
    configuration = Configuration()
    configuration.apply_deltas(1, bodies)
    assert configuration.deltas_after(300) == []
    assert configuration.deltas_after(200) == bodies[200:]
    assert configuration.deltas_after(100) is None


# Guards against an agent that exceeds its 26 MB of state with 35,000 organisations.
def test_memory_at_the_design_size():
    source = build_configuration(make_lists(organisations=35_000))
    snapshot = source.snapshot()
    configuration = Configuration()
    tracemalloc.start()
    try:
        configuration.apply_snapshot(1, source.digest, snapshot)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert configuration.organisation_count() == 35_000
    assert configuration.organisation_by_key("key 34999").name == "org-34999"
    assert used_bytes < 5e6
    assert len(snapshot) < 3e6


# Guards against unused space that grows without a bound while records are replaced.
def test_replaced_records_reuse_memory():
    configuration = build_configuration(make_lists(organisations=100))
    size = len(configuration._organisations.buffer)
    for number in range(2000):
        updated = configuration.organisation(f"org-{number % 100}")
        updated.keys = (key_digest(f"new {number}"),)
        configuration._apply_change(OrganisationSet(organisation=updated))
    assert len(configuration._organisations.buffer) < 1.1 * size
    assert configuration.organisation_by_key("new 1999").name == "org-99"
