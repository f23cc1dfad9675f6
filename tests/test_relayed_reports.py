"""Several routers in one process, linked through relays over loopback."""

import asyncio
import contextlib
import time
from dataclasses import replace

from endivelug.forwarding import overlay
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.peers import SILENT_S
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.row_store import StoredRow
from forwarding_builders import configuration_document, stored_row
from test_forwarding_path import free_port, wait_until
from test_peers import fill, make_peers


class Deployment:
    """Linked routers; those that joined first are the relays."""

    def __init__(self, routers, jobs):
        self.routers = routers
        self.jobs = jobs

    @property
    def relays(self):
        return [router for router in self.routers if router.overlay.is_relay]

    @property
    def members(self):
        return [router for router in self.routers if not router.overlay.is_relay]

    def heard_of_all(self):
        return all(router.vms == len(self.routers) for router in self.routers)


@contextlib.asynccontextmanager
async def deployment(data_centres=2, each=5):
    routers, listed = [], []
    for number in range(data_centres * each):
        name = f"vm{number:02}"
        data_centre = f"dc{number % data_centres}"
        router = make_peers(name, data_centre=data_centre)
        port = free_port()
        await router.listen(host="127.0.0.1", port=port)
        routers.append(router)
        listed.append(
            RegisteredVm(
                name=name,
                address=f"127.0.0.1:{port}",
                data_centre=data_centre,
                joined=number,
            )
        )
    for router in routers:
        router.list_vms(listed)
    jobs = [asyncio.create_task(router.run()) for router in routers]
    try:
        yield Deployment(list(routers), jobs)
    finally:
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        await asyncio.gather(*(router.close() for router in routers))


def run_scenario(scenario, **options):
    async def run():
        async with asyncio.timeout(20), deployment(**options) as system:
            await wait_until(system.heard_of_all, timeout_s=8)
            await scenario(system)

    asyncio.run(run())


# Guards against work that is counted twice or not at all on its way through relays.
def test_every_router_knows_the_work_of_all():
    async def scenario(system):
        assert len(system.relays) == 2 * overlay.RELAYS_PER_DATA_CENTRE
        for number, router in enumerate(system.routers):
            work = Work(request=f"q{number}", sent_at=0.0, uncached_tokens=10 + number)
            router.view.loads.begin("e1", work)
        expected = sum(10 + number for number in range(len(system.routers)))

        def all_know():
            now = time.monotonic()
            totals = [
                router.view.loads.of("e1").total("e1", now=now)
                for router in system.routers
            ]
            return all(
                (total.requests, total.uncached_tokens) == (10, expected)
                for total in totals
            )

        await wait_until(all_know, timeout_s=3)
        await asyncio.sleep(1.0)
        assert all_know()
        for number, router in enumerate(system.routers):
            router.view.loads.end("e1", f"q{number}")
        await wait_until(
            lambda: all(
                router.view.loads.of("e1").total("e1", now=time.monotonic()).requests
                == 0
                for router in system.routers
            )
        )

    run_scenario(scenario)


# Guards against a member that keeps an old configuration because its relay, and not the
# store, brings its rows.
def test_members_get_rows_from_their_relay_at_once():
    async def scenario(system):
        relay = system.relays[0]
        fill(relay.view, 7)
        await wait_until(lambda: all(router.view.complete for router in system.routers))
        for version in (12, 13, 14):
            document = configuration_document(version=version)
            row = stored_row("op", "config", document, 30 + version)
            for router in system.relays:
                router.view.apply([row], source="store")
                router.announce()
            await wait_until(
                lambda wanted=version: all(
                    router.view.configuration.version == wanted
                    for router in system.members
                ),
                timeout_s=0.6,
            )
        assert not any(router.follows_store() for router in system.members)
        assert all(router.follows_store() for router in system.relays)

    run_scenario(scenario)


# Guards against marks and cached parts that end at the relay of the one who tells them.
def test_marks_parts_and_weights_reach_members_of_other_relays():
    async def scenario(system):
        for router in system.routers:
            fill(router.view, 7)
            router.view.on_weights_observed = router.announce_weights
        teller, others = system.members[0], system.routers
        teller.send_notice("e2", "avoid", 3.0)
        part = PromptSegment(segment_id="g", tokens=900)
        teller.announce_segments("e1", "m/1/", [part], prefill_s=2.0)
        engine = teller.view.registry.get("e1")
        teller.view.observe_weights(engine, "m", 2)

        def known(router):
            view, now = router.view, time.monotonic()
            reader = view.caches.prefilling_engine(
                namespace="m/1/", segment_id="g", now=now
            )
            return (
                (router is teller or view.loads.of("e2").avoid_until > now)
                and (router is teller or reader == "e1")
                and view.weights_of(engine, "m") == 2
            )

        await wait_until(lambda: all(known(router) for router in others), timeout_s=1.0)

    run_scenario(scenario)


# Guards against members that are blind after the loss of their relay.
def test_members_move_to_another_relay_when_theirs_is_lost():
    async def scenario(system):
        lost = system.relays[0]
        mine = [
            item for item in system.members if item.overlay.relay == lost.identity.vm
        ]
        job = system.jobs[system.routers.index(lost)]
        system.routers.remove(lost)
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)
        await lost.close()
        await wait_until(
            lambda: all(item.overlay.relay != lost.identity.vm for item in mine)
        )
        await wait_until(system.heard_of_all, timeout_s=6)

    run_scenario(scenario)


# Guards against relays that take each other for silent: while nothing changes, a report
# to a member is no heartbeat to another relay.
def test_links_stay_open_while_nothing_changes():
    async def scenario(system):
        before = [dict(router.links) for router in system.routers]
        await asyncio.sleep(SILENT_S + 1.0)
        assert [router.links for router in system.routers] == before

    run_scenario(scenario)


# Guards against a member that dials the same VM ten times a second, although that one
# joined again and is no relay any more.
def test_a_vm_that_is_no_relay_is_left_for_a_while():
    async def scenario(system):
        member = system.members[0]
        former = next(
            relay
            for relay in system.relays
            if relay.identity.vm == member.overlay.relay
        )
        own = replace(former.overlay.registered[former.identity.vm], joined=99)
        former.list_vms([*former.overlay.registered.values(), own])
        assert not former.overlay.is_relay
        opened = []
        former.server.on_open = opened.append
        await wait_until(lambda: member.overlay.relay != former.identity.vm)
        await asyncio.sleep(1.0)
        assert len(opened) <= len(system.routers)

    run_scenario(scenario)


# Guards against old keys and routes on the members of a relay that is frozen: its links
# stay open, but nothing comes.
def test_members_follow_the_store_while_their_relay_is_frozen():
    async def scenario(system):
        relay = system.relays[0]
        mine = [
            item for item in system.members if item.overlay.relay == relay.identity.vm
        ]
        assert mine and not any(item.follows_store() for item in mine)
        system.jobs[system.routers.index(relay)].cancel()
        await wait_until(
            lambda: all(item.follows_store() for item in mine), timeout_s=1.5
        )

    run_scenario(scenario)


# Guards against members that drop live instances whose leases lapsed in an outage of
# the store: they see the removals through a relay that knows better.
def test_members_take_removals_after_an_outage_as_provisional():
    async def scenario(system):
        relay = system.relays[0]
        for router in system.routers:
            fill(router.view, 7)
        mine = [
            item for item in system.members if item.overlay.relay == relay.identity.vm
        ]
        relay.registry_connected = lambda: False
        lost = float("inf")
        await wait_until(
            lambda: all(item.view.registry.provisional_until == lost for item in mine)
        )
        row = StoredRow(table="servers", key="e1", value=b"", version=50, removed=True)
        relay.view.registry.record_registry_lost()
        relay.registry_connected = lambda: True
        relay.view.registry.record_registry_regained(now=time.monotonic())
        relay.view.apply([row], source="store")
        await wait_until(
            lambda: all(item.view.latest_versions["servers"] >= 50 for item in mine),
            timeout_s=2,
        )
        assert all(item.view.registry.get("e1") is not None for item in mine)

    run_scenario(scenario)
