"""Several routers in one process, linked through relays over loopback."""

import asyncio
import contextlib
import time
from dataclasses import replace

from measurements._ports import free_port

from endivelug.forwarding import overlay
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.peers import SILENT_S
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.row_store import StoredRow
from forwarding_builders import configuration_document, load_tables, stored_row
from router_process import wait_until
from test_peers import make_peers


class Deployment:
    """Linked routers, of which those that joined first are the relays."""

    def __init__(self, routers, jobs):
        self.routers = routers
        self.jobs = jobs

    @property
    def relays(self):
        return [router for router in self.routers if router.overlay.is_relay]

    @property
    def members(self):
        return [router for router in self.routers if not router.overlay.is_relay]

    def all_vms_known(self):
        return all(router.vms == len(self.routers) for router in self.routers)


@contextlib.asynccontextmanager
async def running_deployment(data_centres=2, vms_per_data_centre=5):
    routers, registered = [], []
    for number in range(data_centres * vms_per_data_centre):
        name = f"vm{number:02}"
        data_centre = f"dc{number % data_centres}"
        router = make_peers(name, data_centre=data_centre)
        port = free_port()
        await router.listen(host="127.0.0.1", port=port)
        routers.append(router)
        registered.append(
            RegisteredVm(
                name=name,
                address=f"127.0.0.1:{port}",
                data_centre=data_centre,
                joined=number,
            )
        )
    for router in routers:
        router.set_registered_vms(registered)
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
        async with asyncio.timeout(20), running_deployment(**options) as system:
            await wait_until(system.all_vms_known, timeout_s=8)
            await scenario(system)

    asyncio.run(run())


# Guards against requests that are counted twice or not at all if their report passes
# relays.
def test_every_router_knows_the_load_from_all_routers():
    async def scenario(system):
        assert len(system.relays) == 2 * overlay.RELAYS_PER_DATA_CENTRE
        for number, router in enumerate(system.routers):
            work = Work(request=f"q{number}", sent_at=0.0, uncached_tokens=10 + number)
            router.view.loads.add_work("e1", work)
        expected = sum(10 + number for number in range(len(system.routers)))

        def all_know():
            totals = [router.view.loads.total("e1") for router in system.routers]
            return all(
                (total.requests, total.uncached_tokens) == (10, expected)
                for total in totals
            )

        await wait_until(all_know, timeout_s=3)
        await asyncio.sleep(1.0)
        assert all_know()
        for number, router in enumerate(system.routers):
            router.view.loads.remove_work("e1", f"q{number}")
        await wait_until(
            lambda: all(
                router.view.loads.total("e1").requests == 0 for router in system.routers
            )
        )

    run_scenario(scenario)


# Guards against a member that keeps an old configuration because it gets its rows from
# its relay and not from the store.
def test_members_get_rows_from_their_relay_at_once():
    async def scenario(system):
        relay = system.relays[0]
        load_tables(relay.view, 7)
        await wait_until(lambda: all(router.view.complete for router in system.routers))
        for version in (12, 13, 14):
            document = configuration_document(version=version)
            row = stored_row("op", "config", document, 30 + version)
            for router in system.relays:
                router.view.apply([row], source="store")
                router.announce()
            await wait_until(
                lambda expected=version: all(
                    router.view.configuration.version == expected
                    for router in system.members
                ),
                timeout_s=0.6,
            )
        assert not any(router.follows_store() for router in system.members)
        followers = [router for router in system.relays if router.follows_store()]
        assert [router.overlay.data_centre for router in followers] == ["dc0", "dc1"]

    run_scenario(scenario)


# Guards against a data centre that has outdated rows after its first relay has lost the
# store: the second relay follows the store then, and the first must not rely on it.
def test_the_second_relay_follows_the_store_if_the_first_has_lost_it():
    async def scenario(system):
        first, second = [
            router for router in system.relays if router.overlay.data_centre == "dc0"
        ]
        await wait_until(lambda: not second.follows_store())
        first.store_connected = first.rows_source.store_connected = lambda: False
        await wait_until(second.follows_store)
        await asyncio.sleep(2.5)
        assert first.follows_store() and second.follows_store()

    run_scenario(scenario)


# Guards against notices, cached segments and weights that are not passed on beyond the
# relay of the VM that reports them.
def test_notices_segments_and_weights_reach_members_of_other_relays():
    async def scenario(system):
        for router in system.routers:
            load_tables(router.view, 7)
            router.view.on_weights_observed = router.announce_weights
        reporter, others = system.members[0], system.routers
        reporter.send_notice("e2", NoticeKind.AVOID, 3.0)
        segment = PromptSegment(segment_id="g", tokens=900)
        reporter.announce_segments("e1", "m/1/", [segment], prefill_s=2.0)
        engine = reporter.view.registry.get("e1")
        reporter.view.observe_weights(engine, "m", 2)

        def has_received_all(router):
            view, now = router.view, time.monotonic()
            prefilling = view.caches.prefilling_engine(
                namespace="m/1/", segment_id="g", now=now
            )
            return (
                (router is reporter or view.loads.of("e2").avoid_until > now)
                and (router is reporter or prefilling == "e1")
                and view.weights_of(engine, "m") == 2
            )

        await wait_until(
            lambda: all(has_received_all(router) for router in others), timeout_s=1.0
        )

    run_scenario(scenario)


# Guards against members that receive no reports after the loss of their relay.
def test_members_move_to_another_relay_when_theirs_is_lost():
    async def scenario(system):
        lost_relay = system.relays[0]
        relay_members = [
            item
            for item in system.members
            if item.overlay.relay == lost_relay.identity.vm
        ]
        job = system.jobs[system.routers.index(lost_relay)]
        system.routers.remove(lost_relay)
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)
        await lost_relay.close()
        await wait_until(
            lambda: all(
                item.overlay.relay != lost_relay.identity.vm for item in relay_members
            )
        )
        await wait_until(system.all_vms_known, timeout_s=6)

    run_scenario(scenario)


# Guards against relays that close their links because each sees the other as silent:
# while nothing changes, a report to a member is no heartbeat to another relay.
def test_links_stay_open_while_nothing_changes():
    async def scenario(system):
        before = [dict(router.links) for router in system.routers]
        await asyncio.sleep(SILENT_S + 1.0)
        assert [router.links for router in system.routers] == before

    run_scenario(scenario)


# Guards against a member that dials its former relay ten times a second after that VM
# has joined again and is no relay any more.
def test_a_former_relay_is_not_redialled_for_a_while():
    async def scenario(system):
        member = system.members[0]
        former = next(
            relay
            for relay in system.relays
            if relay.identity.vm == member.overlay.relay
        )
        rejoined = replace(former.overlay.registered[former.identity.vm], joined=99)
        former.set_registered_vms([*former.overlay.registered.values(), rejoined])
        assert not former.overlay.is_relay
        opened = []
        former.server.on_open = opened.append
        await wait_until(lambda: member.overlay.relay != former.identity.vm)
        await asyncio.sleep(1.0)
        assert len(opened) <= len(system.routers)

    run_scenario(scenario)


# Guards against outdated keys and routes on the members of a frozen relay: its links
# stay open, but it sends nothing.
def test_members_follow_the_store_while_their_relay_is_frozen():
    async def scenario(system):
        relay = system.relays[0]
        relay_members = [
            item for item in system.members if item.overlay.relay == relay.identity.vm
        ]
        assert relay_members and not any(item.follows_store() for item in relay_members)
        system.jobs[system.routers.index(relay)].cancel()
        await wait_until(
            lambda: all(item.follows_store() for item in relay_members), timeout_s=1.5
        )

    run_scenario(scenario)


# Guards against members that remove live instances whose leases expired in an outage of
# the store: they get the removals through their relay, which treats them as
# provisional.
def test_members_treat_removals_after_an_outage_as_provisional():
    async def scenario(system):
        relay = system.relays[0]
        for router in system.routers:
            load_tables(router.view, 7)
        relay_members = [
            item for item in system.members if item.overlay.relay == relay.identity.vm
        ]
        relay.registry_connected = lambda: False
        infinity = float("inf")
        await wait_until(
            lambda: all(
                item.view.registry.provisional_until == infinity
                for item in relay_members
            )
        )
        row = StoredRow(table="servers", key="e1", value=b"", version=50, removed=True)
        relay.view.registry.record_registry_lost()
        relay.registry_connected = lambda: True
        relay.view.registry.record_registry_regained(now=time.monotonic())
        relay.view.apply([row], source="store")
        await wait_until(
            lambda: all(
                item.view.latest_versions["servers"].number >= 50
                for item in relay_members
            ),
            timeout_s=2,
        )
        assert all(item.view.registry.get("e1") is not None for item in relay_members)

    run_scenario(scenario)
