import pytest

from endivelug.forwarding.instances import REREGISTRATION_S, InstanceRegistry
from forwarding_builders import make_instance


def registry_with(*instances):
    registry = InstanceRegistry()
    for version, instance in enumerate(instances, 1):
        registry.apply_entry(instance, row_version=version)
    return registry


# Guards against new work for an upstream that announced its stop.
def test_a_draining_instance_gets_no_new_requests():
    registry = registry_with(
        make_instance("a"), make_instance("b", draining=True, address="127.0.0.1:2")
    )
    assert [item.name for item in registry.of_service("engines")] == ["a"]


# Guards against an older row that puts an instance back.
def test_an_older_row_changes_nothing():
    registry = registry_with(make_instance("a"))
    registry.remove("a", row_version=5, now=0.0)
    registry.apply_entry(make_instance("a"), row_version=4)
    assert registry.all() == []
    registry.apply_entry(make_instance("a"), row_version=6)
    assert [item.name for item in registry.all()] == ["a"]


# Guards against beliefs about an instance that started again under its name.
def test_a_new_start_under_the_same_name_replaces_the_instance():
    registry = registry_with(make_instance("a", started_ms=1))
    before = registry.apply_entry(make_instance("a", started_ms=2), row_version=9)
    assert before is not None and before.started_ms == 1
    assert (
        registry.apply_entry(make_instance("a", started_ms=2), row_version=10) is None
    )


# Guards against losing every engine when leases lapse while the store is down.
def test_removals_after_an_outage_wait_until_the_instance_may_be_back():
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
    gone = registry.expire(now=10.0 + REREGISTRATION_S)
    assert [item.name for item in gone] == ["b"]


# Guards against keeping an instance that left while the store was healthy.
@pytest.mark.parametrize("draining", [True, False])
def test_a_removal_without_an_outage_takes_effect_at_once(draining):
    registry = registry_with(make_instance("a", draining=draining))
    assert registry.remove("a", row_version=2, now=0.0) is not None
    assert registry.all() == []


# Guards against requests to an instance that crashed: another one started at its
# address, and each send was answered "misdirected".
def test_what_started_last_at_an_address_replaces_what_was_there():
    old = make_instance("old", started_ms=1000)
    new = make_instance("new", started_ms=2000)
    registry = registry_with(new, old)
    assert [item.name for item in registry.of_service("engines")] == ["new"]
    assert [item.name for item in registry.all()] == ["new"]
