"""Rows of a store that came back from an older copy, at one VM."""

import pytest

from endivelug.forwarding.instances import REREGISTRATION_S
from endivelug.forwarding.row_store import (
    RowPage,
    StoredRow,
    StoreVersion,
    WriterCount,
)
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    configuration_document,
    make_view,
    registration_document,
    stored_row,
)


def configuration_row(number, version, era=0, **changes):
    document = configuration_document(version=number, **changes)
    return stored_row("op", "config", document, version, era)


def weights_row(number, version, era=0):
    document = {"model": "m", "version": number}
    return stored_row("op", "version/m", document, version, era)


def entry_row(version, era=0, **changes):
    return stored_row("servers", "e1", registration_document(**changes), version, era)


def entry_2(version, era=1, **changes):
    document = registration_document(address="127.0.0.1:2", **changes)
    return stored_row("servers", "e2", document, version, era)


def removal(version, era=0, **changes):
    values = {"table": "servers", "key": "e1", "value": b"", "removed": True}
    return StoredRow(version=version, era=era, **{**values, **changes})


def restore(view, table, *rows, version=30, era=1):
    page = RowPage(rows=list(rows), version=version, era=era)
    view.replace_table(table, page, source="store")


def apply(view, *rows):
    view.apply(list(rows), source="store")


def serving(view):
    return [item.name for item in view.registry.of_service("engines")]


# Guards against a configuration that comes into force at no VM, because its version was
# given out before (incident "restored store").
def test_a_configuration_with_a_version_of_the_former_era_is_applied():
    view = make_view(ManualClock())
    apply(view, configuration_row(11, 70))
    restore(view, "op", configuration_row(8, 53, era=1))
    apply(view, configuration_row(14, 60, era=1))
    assert view.configuration.version == 14


# Guards against going back to the configuration or the weights of the copy, or to one
# that is written again before the newest.
def test_neither_configuration_nor_weights_go_back():
    log = LogRecorder()
    view = make_view(ManualClock(), log)
    apply(view, configuration_row(11, 70), weights_row(5, 71))
    restore(view, "op", configuration_row(4, 53, era=1), weights_row(2, 50, era=1))
    apply(view, configuration_row(8, 54, era=1), weights_row(4, 55, era=1))
    assert view.configuration.version == 11
    assert view.desired_weights["m"].version == 5
    assert view.rows.kept_rows() == 2
    apply(view, configuration_row(11, 56, era=1), weights_row(5, 57, era=1))
    assert view.rows.kept_rows() == 0
    ((_, fields),) = [line for line in log.lines if line[0] == "store-restored"]
    assert (fields["era"], fields["era_before"], fields["row_version"]) == (1, 0, 30)
    assert fields["kept"] == ["config 11", "version/m 5"]


# Guards against losing what is in force, because the copy is from before its first row.
def test_a_copy_without_the_operators_rows_changes_nothing():
    view = make_view(ManualClock())
    apply(view, configuration_row(11, 70), weights_row(5, 71))
    restore(view, "op")
    assert view.configuration.version == 11
    assert view.desired_weights["m"].version == 5
    rows = view.rows.rows_after("op", StoreVersion())
    assert {(row.row.key, row.row.removed, row.row.era) for row in rows} == {
        ("config", False, 1),
        ("version/m", False, 1),
    }


# Guards against a lower number that replaces a higher one in the same era, and against
# ignoring a corrected content of the same number.
def test_within_an_era_configurations_are_ordered_by_number():
    view = make_view(ManualClock())
    apply(view, configuration_row(11, 70))
    apply(view, configuration_row(9, 71))
    assert view.configuration.version == 11
    apply(view, configuration_row(11, 72, routes=[]))
    assert view.configuration.routes == {}


# Guards against VMs that copy the older content of the store from a VM that knows more.
def test_other_vms_get_the_known_content_under_the_version_of_the_copy():
    view = make_view(ManualClock())
    apply(view, configuration_row(11, 70), entry_row(72, state="draining", seq=9))
    restore(view, "op", configuration_row(8, 53, era=1))
    restore(view, "servers", entry_row(52, era=1, seq=6))
    (config,) = view.rows.rows_after("op", StoreVersion(era=1))
    assert (config.row.store_version, b'"version": 11' in config.row.value) == (
        StoreVersion(era=1, number=53),
        True,
    )
    (entry,) = view.rows.rows_after("servers", StoreVersion(era=1))
    assert b"draining" in entry.row.value


# Guards against members of a relay that stay in the former era, because no row differs.
def test_a_table_is_of_the_new_era_even_if_no_row_differs():
    view = make_view(ManualClock())
    restore(view, "servers", entry_row(2, era=1), version=2)
    assert view.latest_versions["servers"].era == 1
    view = make_view(ManualClock())
    restore(view, "servers", version=0)
    assert view.latest_versions["servers"].era == 1


# Guards against an answer of the former era that is applied after one of the new.
def test_an_answer_of_the_former_era_changes_nothing():
    view = make_view(ManualClock())
    restore(view, "op", configuration_row(8, 3, era=1))
    restore(view, "servers", entry_row(4, era=1))
    restore(view, "op", era=0, version=90)
    restore(view, "servers", era=0, version=90)
    apply(view, stored_row("servers", "e2", registration_document(), 91))
    apply(view, removal(92))
    assert serving(view) == ["e1"]
    assert view.latest_versions["servers"] == StoreVersion(era=1, number=4)


# Guards against new requests to an upstream that the copy lists as ready although it is
# known to be draining, or gone; and against one that stays unused after it is back.
@pytest.mark.parametrize("known", ["draining", "removed"])
def test_the_copy_does_not_revive_a_draining_or_removed_upstream(known):
    view = make_view(ManualClock())
    apply(view, entry_row(60, seq=8))
    if known == "draining":
        apply(view, entry_row(61, seq=9, state="draining"))
    else:
        apply(view, removal(61))
    restore(view, "servers", entry_row(52, era=1, seq=8 if known == "removed" else 6))
    assert serving(view) == []
    apply(view, entry_row(53, era=1, seq=7))
    assert serving(view) == []
    restore(view, "servers", entry_row(51, era=2, seq=5), era=2)
    assert serving(view) == []
    apply(view, entry_row(55, era=2, seq=10))
    assert serving(view) == ["e1"]


# Guards against a VM that takes the copy for newer, because its relay passed on no
# heartbeats before it passed on the removal.
def test_a_removal_from_a_peer_has_the_peers_sequence_number():
    view = make_view(ManualClock())
    apply(view, entry_row(60, seq=5))
    known = WriterCount(started_ms=1000, number=90)
    apply(view, removal(80, count=known))
    restore(view, "servers", entry_row(52, era=1, seq=88))
    assert serving(view) == []


# Guards against dropping an upstream that registered after the copy was taken, before
# it had the time to register again; and against keeping one that does not.
@pytest.mark.parametrize("seq", [4, 5])
@pytest.mark.parametrize("returns", [True, False])
def test_an_upstream_that_the_copy_lacks_has_time_to_register(returns, seq):
    clock = ManualClock()
    view = make_view(clock)
    restore(view, "servers")
    clock.now += REREGISTRATION_S - 0.1
    view.expire()
    assert serving(view) == ["e1"]
    if returns:
        apply(view, entry_row(31, era=1, seq=seq))
    clock.now += 0.2
    view.expire()
    assert serving(view) == (["e1"] if returns else [])


# Guards against a second restoration that ends the time to register of the first.
def test_a_second_restoration_gives_the_time_again():
    clock = ManualClock()
    view = make_view(clock)
    restore(view, "servers")
    clock.now += REREGISTRATION_S - 0.1
    restore(view, "servers", era=2, version=29)
    clock.now += REREGISTRATION_S - 0.1
    view.expire()
    assert serving(view) == ["e1"]
    clock.now += 0.2
    view.expire()
    assert serving(view) == []


# Guards against an upstream that restarted after the copy was taken, and is replaced by
# its former run.
def test_the_copy_does_not_bring_back_a_former_run():
    view = make_view(ManualClock())
    apply(view, entry_row(60, born=2000, seq=1, address="127.0.0.1:9"))
    restore(view, "servers", entry_row(52, era=1, seq=80))
    assert view.registry.get("e1").started_ms == 2000


# Guards against a drain in the new era that is taken for an entry of the copy.
def test_entries_of_the_new_era_are_applied_in_their_order():
    view = make_view(ManualClock())
    restore(view, "servers", entry_row(2, era=1))
    apply(view, entry_row(3, era=1, state="draining"))
    assert serving(view) == []
    apply(view, removal(4, era=1))
    assert view.registry.get("e1") is None


# Guards against new requests to an upstream of which this VM was told only that it is
# gone, and which the copy of a later era lists.
def test_the_copy_does_not_list_an_upstream_whose_removal_alone_was_read():
    view = make_view(ManualClock())
    count = WriterCount(started_ms=1000, number=90)
    view.apply([removal(61, key="e2", count=count)], source="peer/vm2")
    restore(view, "servers", entry_row(50, era=1), entry_2(52, seq=88))
    assert serving(view) == ["e1"]
    apply(view, entry_2(56, seq=91))
    assert serving(view) == ["e1", "e2"]


# Guards against an upstream that stays in use although the store lost it twice, because
# a peer of the first era tells a later entry of that one.
def test_an_entry_of_a_former_era_does_not_end_a_provisional_removal():
    clock = ManualClock()
    view = make_view(clock)
    restore(view, "servers", entry_row(20, era=1, seq=6))
    restore(view, "servers", era=2)
    view.apply([entry_row(70, seq=9)], source="peer/vm2")
    clock.now += REREGISTRATION_S + 0.1
    view.expire()
    assert serving(view) == []


# Guards against an older entry that is written again and revives a draining upstream
# which the copy lacks.
def test_an_older_entry_does_not_revive_a_draining_upstream_that_the_copy_lacks():
    view = make_view(ManualClock())
    apply(view, entry_row(61, seq=9, state="draining"))
    restore(view, "servers")
    apply(view, entry_row(53, era=1, seq=7))
    assert serving(view) == []


# Guards against rows of two eras in one table: a peer takes the highest number of all
# rows for the version of the page, and would drop rows that it lacks.
def test_removals_of_the_former_era_are_filed_under_the_new_one():
    view = make_view(ManualClock())
    apply(view, removal(90))
    restore(view, "servers")
    rows = view.rows.rows_after("servers", StoreVersion())
    assert {row.row.store_version for row in rows} == {StoreVersion(era=1, number=30)}


# Guards against an upstream of a former era that this VM takes for a new one.
def test_an_unknown_entry_of_the_former_era_is_ignored():
    view = make_view(ManualClock())
    restore(view, "servers")
    view.apply([entry_2(90, era=0)], source="peer/vm2")
    assert view.registry.get("e2") is None


# Guards against dropping upstreams in an outage, because a peer read a restored store.
def test_a_restoration_read_from_a_peer_does_not_end_an_outage_of_the_registry():
    clock = ManualClock()
    view = make_view(clock)
    view.registry.record_registry_lost()
    restore(view, "servers")
    clock.now += REREGISTRATION_S + 0.1
    view.expire()
    assert serving(view) == ["e1"]
