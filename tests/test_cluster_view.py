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


# Guards against reverting to an older configuration, whichever source delivers it.
def test_an_older_row_is_never_applied():
    view = make_view(ManualClock())
    apply(view, stored_row("op", "config", configuration_document(version=9), 8))
    apply(view, stored_row("op", "config", configuration_document(version=7), 5))
    assert view.configuration.version == 9


# Guards against an unreadable row that replaces the last valid one.
def test_an_unreadable_row_is_logged_and_changes_nothing():
    log = LogRecorder()
    view = make_view(ManualClock(), log)
    apply(view, stored_row("op", "config", b"{", 8))
    apply(view, stored_row("servers", "e1", b"\xff", 9))
    assert view.configuration.version == 7
    assert view.registry.get("e1") is not None
    assert log.events().count("row-unreadable") == 2


# Guards against keeping rows that were removed in a part of the change history that is
# lost: a full read does not contain them.
def test_a_full_read_removes_rows_that_it_does_not_contain():
    view = make_view(ManualClock())
    row = stored_row("servers", "e2", registration_document(), 12)
    view.replace_table("servers", RowPage(rows=[row], version=12), source="store")
    assert [item.name for item in view.registry.all()] == ["e2"]


# Guards against using outdated weights for the whole time limit after a restart: a VM
# that did not observe the announcement does not know its age.
def test_an_announcement_that_nobody_observed_has_the_assumed_age():
    clock = ManualClock(100.0)
    view = make_view(clock)
    view.assumed_weights_age_s = 7.0
    view.loaded_tables.discard("op")
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    assert view.desired_weights["m"].outdated_at(1) == 93.0
    view.apply_weights_age("m", 2, age_s=1.0)
    assert view.desired_weights["m"].outdated_at(1) == 99.0
    view.apply_weights_age("m", 2, age_s=4.0)
    assert view.desired_weights["m"].outdated_at(1) == 96.0


# Guards against a time limit that does not start when this VM reads the announcement,
# for example a late one because the VM was cut off from the store.
def test_an_observed_announcement_has_its_actual_age():
    clock = ManualClock(100.0)
    view = make_view(clock)
    view.assumed_weights_age_s = 7.0
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    assert view.desired_weights["m"].outdated_at(1) == 100.0


# Guards against counting on cached segments after an engine has loaded new weights.
def test_new_weights_empty_the_cache_of_an_engine():
    view = make_view(ManualClock())
    instance = view.registry.get("e1")
    caches = view.caches
    segments = [type("P", (), {"segment_id": "g", "tokens": 10})()]
    caches.record_use("e1", namespace="m/1/", segments=segments)
    assert caches.cached_tokens("e1", namespace="m/1/", segments=segments) == 10
    view.observe_weights(instance, "m", 2)
    assert caches.cached_tokens("e1", namespace="m/1/", segments=segments) == 0
    assert view.weights_of(instance, "m") == 2


# Guards against applying the weights observed before a restart to the restarted engine.
def test_a_restart_discards_the_observed_weights():
    view = make_view(ManualClock())
    view.observe_weights(view.registry.get("e1"), "m", 5)
    apply(view, stored_row("servers", "e1", registration_document(born=2000), 30))
    assert view.weights_of(view.registry.get("e1"), "m") == 1


# Guards against restarting the time limit of old weights with each announcement: the
# limit of version 1 starts when version 2 is announced, also after version 3.
def test_each_announced_version_has_its_own_limit():
    clock = ManualClock(100.0)
    view = make_view(clock)
    apply(view, stored_row("op", "version/m", WEIGHTS, 20))
    clock.now = 107.0
    apply(view, stored_row("op", "version/m", {"model": "m", "version": 3}, 21))
    desired = view.desired_weights["m"]
    assert desired.outdated_at(1) == 100.0
    assert desired.outdated_at(2) == 107.0
    assert desired.outdated_at(3) is None


# Guards against a late time limit on a VM that read only the newest row and therefore
# does not know when earlier versions were announced.
def test_peers_report_the_age_of_earlier_versions():
    view = make_view(ManualClock(100.0))
    apply(view, stored_row("op", "version/m", {"model": "m", "version": 3}, 21))
    view.apply_weights_age("m", 2, age_s=9.0)
    assert view.desired_weights["m"].outdated_at(1) == 91.0
    assert view.desired_weights["m"].version == 3


# Guards against prefilling shared segments again and again: VMs that read the registry
# before the configuration lost every record of what an engine has cached.
def test_engines_registered_before_the_configuration_have_cached_segments():
    clock = ManualClock()
    view = ClusterView(records=PlatformRecords(), clock=clock, log=LogRecorder())
    segment = PromptSegment(segment_id="g", tokens=900)
    registration = stored_row("servers", "e1", registration_document(), 1)
    configuration = stored_row("op", "config", configuration_document(), 2)
    view.apply([registration], source="store")
    view.apply([configuration], source="store")
    view.caches.record_use("e1", namespace="m/1/", segments=[segment])
    assert view.caches.cached_tokens("e1", namespace="m/1/", segments=[segment]) == 900


# Guards against sending the heartbeats of upstreams to every VM (load: 34 upstreams
# rewrite their registration every 1.2 s).
def test_a_heartbeat_is_not_sent_to_peers():
    view = make_view(ManualClock())
    before = view.latest_versions["servers"]
    heartbeat = stored_row("servers", "e1", registration_document(seq=5), 20)
    assert not view.apply([heartbeat], source="store")
    assert view.latest_versions["servers"] == before
    assert view.rows.rows_after("servers", before) == []
    draining = stored_row("servers", "e1", registration_document(state="draining"), 21)
    assert view.apply([draining], source="store")
    assert [row.changed.number for row in view.rows.rows_after("servers", before)] == [
        21
    ]
