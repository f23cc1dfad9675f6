from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.row_store import RowPage
from endivelug.platform.records import PlatformRecords
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    configuration_document,
    make_view,
    registration_document,
    stored_row,
)

WEIGHTS = {"model": "m", "version": 2}


def apply(view, *rows):
    view.apply(list(rows), source="store")


# Guards against a configuration that goes back, whoever offers the older one.
def test_an_older_row_is_never_applied():
    view = make_view(ManualClock())
    apply(view, stored_row("op", "config", configuration_document(version=9), 8))
    apply(view, stored_row("op", "config", configuration_document(version=7), 5))
    assert view.configuration.version == 9


# Guards against an unreadable row that takes the last good one out of force.
def test_an_unreadable_row_is_logged_and_changes_nothing():
    log = LogRecorder()
    view = make_view(ManualClock(), log)
    apply(view, stored_row("op", "config", b"{", 8))
    apply(view, stored_row("servers", "e1", b"\xff", 9))
    assert view.configuration.version == 7
    assert view.registry.get("e1") is not None
    assert log.events().count("row-unreadable") == 2


# Guards against rows that a full read no longer has, after lost history.
def test_a_full_read_removes_what_it_lacks():
    view = make_view(ManualClock())
    row = stored_row("servers", "e2", registration_document(), 12)
    view.replace_table("servers", RowPage(rows=[row], version=12), source="store")
    assert [item.name for item in view.registry.all()] == ["e2"]


# Guards against requests on old weights for the whole limit after a restart: a VM that
# did not see the change does not know how old it is.
def test_weights_that_nobody_saw_named_count_as_old():
    clock = ManualClock(100.0)
    view = make_view(clock)
    view.assumed_weights_age_s = 7.0
    view.loaded_tables.discard("op")
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    assert view.weights["m"].outdated_at(1) == 93.0
    view.apply_weights_age("m", 2, age_s=1.0)
    assert view.weights["m"].outdated_at(1) == 99.0
    view.apply_weights_age("m", 2, age_s=4.0)
    assert view.weights["m"].outdated_at(1) == 96.0


# Guards against a limit that starts late because this VM was cut off from the store.
def test_weights_that_were_seen_named_have_their_age():
    clock = ManualClock(100.0)
    view = make_view(clock)
    view.assumed_weights_age_s = 7.0
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    assert view.weights["m"].outdated_at(1) == 100.0


# Guards against cached parts that are relied on after an engine took new weights.
def test_new_weights_empty_the_cache_of_an_engine():
    view = make_view(ManualClock())
    instance = view.registry.get("e1")
    caches = view.caches
    parts = [type("P", (), {"segment_id": "g", "tokens": 10})()]
    caches.record_use("e1", namespace="m/1/", segments=parts)
    assert caches.cached_tokens("e1", namespace="m/1/", segments=parts) == 10
    view.observe_weights(instance, "m", 2)
    assert caches.cached_tokens("e1", namespace="m/1/", segments=parts) == 0
    assert view.weights_of(instance, "m") == 2


# Guards against weights of an earlier start of the same engine.
def test_a_new_start_forgets_what_was_observed():
    view = make_view(ManualClock())
    view.observe_weights(view.registry.get("e1"), "m", 5)
    apply(view, stored_row("servers", "e1", registration_document(born=2000), 30))
    assert view.weights_of(view.registry.get("e1"), "m") == 1


# Guards against a new limit for old weights with each version named: engines on version
# 1 are judged from the naming of version 2, also after version 3.
def test_each_version_named_has_its_own_limit():
    clock = ManualClock(100.0)
    view = make_view(clock)
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    clock.now = 107.0
    apply(view, stored_row("op", "version/m", {"model": "m", "version": 3}, 21))
    wanted = view.weights["m"]
    assert wanted.outdated_at(1) == 100.0
    assert wanted.outdated_at(2) == 107.0
    assert wanted.outdated_at(3) is None


# Guards against a VM that read only the newest row and does not know the former limits.
def test_peers_tell_of_versions_named_before():
    view = make_view(ManualClock(100.0))
    apply(view, stored_row("op", "version/m", {"model": "m", "version": 3}, 21))
    view.apply_weights_age("m", 2, age_s=9.0)
    assert view.weights["m"].outdated_at(1) == 91.0
    assert view.weights["m"].version == 3


# Guards against shared prompts that are read again and again through VMs which read the
# registry before the configuration: they forgot every part that an engine keeps.
def test_engines_registered_before_the_configuration_keep_parts():
    clock = ManualClock()
    view = ClusterView(records=PlatformRecords(), clock=clock, log=LogRecorder())
    part = PromptSegment(segment_id="g", tokens=900)
    registration = stored_row("servers", "e1", registration_document(), 1)
    configuration = stored_row("op", "config", configuration_document(), 2)
    view.apply([registration], source="store")
    view.apply([configuration], source="store")
    view.caches.record_use("e1", namespace="m/1/", segments=[part])
    assert view.caches.cached_tokens("e1", namespace="m/1/", segments=[part]) == 900


# Guards against heartbeats of upstreams that are sent on to every VM (load: 34
# upstreams write their entry every 1.2 s).
def test_a_heartbeat_is_no_change_for_the_peers():
    view = make_view(ManualClock())
    before = view.latest_versions["servers"]
    beat = stored_row("servers", "e1", registration_document(seq=5), 20)
    assert not view.apply([beat], source="store")
    assert view.latest_versions["servers"] == before
    assert view.rows_after("servers", before) == []
    draining = stored_row("servers", "e1", registration_document(state="draining"), 21)
    assert view.apply([draining], source="store")
    assert [held.changed for held in view.rows_after("servers", before)] == [21]
