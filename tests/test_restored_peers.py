"""A restored store at VMs that get their rows from each other."""

import asyncio

from endivelug.forwarding.instances import REREGISTRATION_S
from endivelug.forwarding.row_store import RowPage
from forwarding_builders import (
    configuration_document,
    load_tables,
    registration_document,
    stored_row,
)
from router_process import wait_until
from test_peers import run_scenario as run_two_routers
from test_relayed_reports import run_scenario as run_deployment


def configuration_row(number, version, era=0):
    document = configuration_document(version=number)
    return stored_row("op", "config", document, version, era)


def weights_row(number, version, era=0):
    document = {"model": "m", "version": number}
    return stored_row("op", "version/m", document, version, era)


def entry_row(version, era=0, **changes):
    return stored_row("servers", "e1", registration_document(**changes), version, era)


def restore(router, table, *rows, version=50, era=1):
    page = RowPage(rows=list(rows), version=version, era=era)
    router.view.replace_table(table, page, source="store")


# Guards against a VM that started after the return of the store, and forwards by the
# older configuration of the copy: its row has the same version as those of its peers.
def test_a_vm_that_read_the_copy_gets_the_configuration_in_force_from_a_peer():
    async def scenario(one, two):
        load_tables(one.view, 7)
        one.view.apply([configuration_row(11, 60)], source="store")
        restore(one, "op", configuration_row(8, 40, era=1))
        restore(one, "servers", entry_row(41, era=1))
        restore(two, "op", configuration_row(8, 40, era=1))
        restore(two, "servers", entry_row(41, era=1))
        assert two.view.configuration.version == 8
        await wait_until(lambda: two.view.configuration.version == 11, 2.0)
        assert one.view.configuration.version == 11

    run_two_routers(scenario)


# Guards against losing a configuration that only a VM of the former era still knows.
def test_a_configuration_of_the_former_era_is_taken_from_a_peer_by_its_number():
    async def scenario(one, two):
        load_tables(one.view, 7)
        one.view.apply([configuration_row(11, 60)], source="store")
        restore(two, "op", configuration_row(8, 40, era=1))
        restore(two, "servers", entry_row(41, era=1))
        await wait_until(lambda: two.view.configuration.version == 11, 2.0)
        await wait_until(lambda: one.view.latest_versions["op"].era == 1, 2.0)
        assert one.view.configuration.version == 11
        assert two.view.latest_versions["op"].era == 1
        assert two.view.rows.kept_rows() == 1

    run_two_routers(scenario)


# Guards against a VM that started after the return of the store, and takes weights for
# the newest that have been replaced; and against one that counts their age from then.
def test_a_vm_that_read_the_copy_gets_the_desired_weights_from_a_peer():
    async def scenario(one, two):
        load_tables(one.view, 7)
        one.view.apply([weights_row(4, 60), weights_row(5, 61)], source="store")
        one.view.apply_weights_age("m", 5, age_s=3.0)
        announced_at = one.view.desired_weights["m"].outdated_at(4)
        for router in (one, two):
            restore(router, "op", configuration_row(7, 40, 1), weights_row(4, 41, 1))
            restore(router, "servers", entry_row(42, era=1))
        await wait_until(lambda: two.view.desired_weights["m"].version == 5, 2.0)
        await wait_until(
            lambda: (
                abs(two.view.desired_weights["m"].outdated_at(4) - announced_at) < 0.3
            )
        )

    run_two_routers(scenario)


# Guards against a VM that keeps the rows of the former era, because it is cut off from
# the store and the versions of its peer are lower than its own.
def test_a_vm_that_is_cut_off_gets_the_rows_of_the_new_era_from_a_peer():
    async def scenario(one, two):
        load_tables(one.view, 30)
        await wait_until(lambda: two.view.complete)
        restore(one, "op", configuration_row(30, 20, era=1))
        restore(one, "servers", entry_row(21, era=1), version=21)
        one.view.apply([configuration_row(31, 22, era=1)], source="store")
        await wait_until(lambda: two.view.configuration.version == 31, 2.0)
        assert two.view.eras.newest == 1
        await wait_until(lambda: two.view.latest_versions["servers"].era == 1, 2.0)

    run_two_routers(scenario)


# Guards against members of a relay that miss a configuration of the new era, go back to
# one of the copy, revive a draining upstream or drop one that is not in the copy.
def test_members_meet_the_new_era_through_their_relay():
    async def scenario(system):
        relay = system.relays[0]
        load_tables(relay.view, 7)
        other = registration_document(address="127.0.0.1:2")
        relay.view.apply([stored_row("servers", "e2", other, 9)], source="store")
        relay.view.apply([configuration_row(11, 60)], source="store")
        draining = entry_row(61, seq=9, state="draining")
        relay.view.apply([draining], source="store")

        def all_have(number, era):
            return all(
                router.view.configuration is not None
                and router.view.configuration.version == number
                and router.view.latest_versions["servers"].era == era
                and router.view.registry.get("e1").draining
                for router in system.members
            )

        await wait_until(lambda: all_have(11, 0), 2.0)
        for router in system.relays:
            # The other relays follow the store as well.
            restore(router, "op", configuration_row(8, 40, era=1))
            restore(router, "servers", entry_row(41, era=1, seq=6))
        await wait_until(lambda: all_have(11, 1), 2.0)
        for router in system.members:
            assert set(router.view.registry.entries) == {"e1", "e2"}
        await asyncio.sleep(REREGISTRATION_S)
        for router in system.routers:
            router.view.expire()
            assert set(router.view.registry.entries) == {"e1"}
        for router in system.relays:
            router.view.apply([configuration_row(14, 45, era=1)], source="store")
            router.announce()
        await wait_until(lambda: all_have(14, 1), 2.0)

    run_deployment(scenario)


# Guards against a member that takes an entry for newer which the store lists after the
# copy, but which is older than what its relay had told it.
def test_an_entry_that_is_written_again_does_not_revive_an_upstream_at_a_member():
    async def scenario(one, two):
        load_tables(one.view, 7)
        one.view.apply([entry_row(60, seq=9, state="draining")], source="store")
        restore(one, "op", configuration_row(7, 40, era=1))
        restore(one, "servers", entry_row(41, era=1, seq=5))
        await wait_until(lambda: two.view.complete)
        await wait_until(lambda: two.view.registry.get("e1").draining)
        two.view.apply([entry_row(43, era=1, seq=7)], source="store")
        assert two.view.registry.get("e1").draining
        two.view.apply([entry_row(44, era=1, seq=10)], source="store")
        assert not two.view.registry.get("e1").draining

    run_two_routers(scenario)
