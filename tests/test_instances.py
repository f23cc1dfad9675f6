import pytest

from endivelug.forwarding.instances import REREGISTRATION_S, InstanceRegistry
from forwarding_builders import make_instance


def registry_with(*instances):
    registry = InstanceRegistry()
    for version, instance in enumerate(instances, 1):
        registry.apply_entry(instance, row_version=version)
    return registry


# Guards against new requests to an upstream that has announced its stop.
def test_a_draining_instance_gets_no_new_requests():
    registry = registry_with(
        make_instance("a"), make_instance("b", draining=True, address="127.0.0.1:2")
    )
    assert [item.name for item in registry.of_service("engines")] == ["a"]


# Guards against an older row that adds a removed instance again.
def test_an_older_row_changes_nothing():
    registry = registry_with(make_instance("a"))
    registry.remove("a", row_version=5, now=0.0)
    registry.apply_entry(make_instance("a"), row_version=4)
    assert registry.all() == []
    registry.apply_entry(make_instance("a"), row_version=6)
    assert [item.name for item in registry.all()] == ["a"]


# Guards against keeping the state of an instance that restarted under the same name.
def test_a_restart_under_the_same_name_replaces_the_instance():
    registry = registry_with(make_instance("a", started_ms=1))
    before = registry.apply_entry(make_instance("a", started_ms=2), row_version=9)
    assert before is not None and before.started_ms == 1
    assert (
        registry.apply_entry(make_instance("a", started_ms=2), row_version=10) is None
    )


# Guards against removing all engines after an outage of the store, in which their
# leases expired although they kept running.
def test_removals_after_an_outage_wait_for_the_instance_to_register_again():
    registry = registry_with(
        make_instance("a"), make_instance("b", address="127.0.0.1:2")
    )
    registry.record_registry_lost()
    registry.record_registry_regained(now=10.0)
    assert registry.remove("a", row_version=11, now=10.1) is None
    assert registry.remove("b", row_version=12, now=10.1) is None
    assert len(registry.of_service("engines")) == 2
    registry.apply_entry(make_instance("a"), row_version=13)
    assert registry.expire(now=10.0 + REREGISTRATION_S - 0.1) == []
    removed = registry.expire(now=10.0 + REREGISTRATION_S)
    assert [item.name for item in removed] == ["b"]


# Guards against keeping an instance that was removed while the store was available.
@pytest.mark.parametrize("draining", [True, False])
def test_a_removal_without_an_outage_takes_effect_at_once(draining):
    registry = registry_with(make_instance("a", draining=draining))
    assert registry.remove("a", row_version=2, now=0.0) is not None
    assert registry.all() == []


# Guards against requests to a crashed instance after another one has started at its
# address: each was answered with "misdirected".
def test_the_last_started_instance_at_an_address_replaces_the_previous_one():
    old = make_instance("old", started_ms=1000)
    new = make_instance("new", started_ms=2000)
    registry = registry_with(new, old)
    assert [item.name for item in registry.of_service("engines")] == ["new"]
    assert [item.name for item in registry.all()] == ["new"]
