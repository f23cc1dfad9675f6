import asyncio
import contextlib
import random
from types import SimpleNamespace

import pytest

from builders import (
    SETTINGS,
    config_store,
    make_identity,
    make_lists,
    serving_platform,
)
from endivelug.agent import Agent
from endivelug.config_follower import ConfigFollower
from endivelug.config_server import SNAPSHOT_PART_BYTES, ConfigServer
from endivelug.configuration import Configuration, build_configuration
from endivelug.exceptions import LinkClosed
from endivelug.links import LinkKeeper
from endivelug.messages import (
    ConfigDelta,
    ConfigHead,
    ConfigRequest,
    Contact,
    Subscribe,
)
from endivelug.settings import parse_settings
from endivelug.staleness import PLATFORM, Staleness
from test_configuration import make_history


async def wait_until(condition, *, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def make_agents(url, **counts):
    agents = []
    for data_centre, count in counts.items():
        for number in range(count):
            text = SETTINGS.replace("vm1", f"{data_centre}-vm{number}")
            text = text.replace("data_centre = dc1", f"data_centre = {data_centre}")
            text = text.replace("http://127.0.0.1:1", url)
            fast = "heartbeat_s = 0.2\ndead_after_s = 0.8\nhead_poll_s = 0.1\n[links]"
            text = text.replace("[links]", fast)
            agents.append(Agent(settings=parse_settings(text), rng=random.Random(1)))
    return agents


def in_force(agents, revision):
    return all(agent.config.revision_and_digest()[0] == revision for agent in agents)


@contextlib.asynccontextmanager
async def running(agents):
    for agent in agents:
        await agent.start()
    records = [agent.context.membership.own_record for agent in agents]
    for agent in agents:
        for own in records:
            agent.context.membership.record_address(
                vm=own.vm, data_centre=own.data_centre, address=own.address
            )
    try:
        yield
    finally:
        await asyncio.gather(*(agent.abort() for agent in agents))


def make_follower(configuration=None, **options):
    return ConfigFollower(
        configuration=configuration or Configuration(),
        staleness=Staleness(data_centre="dc1", stale_limit_s=10.0),
        clock=lambda: 100.0,
        rng=random.Random(1),
        **options,
    )


class PeerLink:
    """Link to a peer in this process; ``fail`` numbers the requests that fail."""

    def __init__(self, configuration, *, fail=()):
        self.server = ConfigServer(configuration=configuration, clock=lambda: 0.0)
        self.peer = SimpleNamespace(data_centre="dc2", vm="peer", role="agent")
        self.fail = fail
        self.requests = []

    async def request(self, message, *, timeout_s):
        self.requests.append(message)
        if len(self.requests) in self.fail:
            raise LinkClosed("the peer restarted")
        held = self.server.configuration
        head = ConfigHead(revision=held.revision, digest=held.digest)
        return self.server.build_reply(message) or head


# Guards against an edit that reaches only the agents that poll the table, and against a
# router that stays at the old revision.
def test_edit_reaches_agents_and_routers():
    async def run():
        async with serving_platform() as (_, url, _):
            agents = make_agents(url, dc1=3, dc2=2)
            store = config_store(url)
            async with running(agents):
                await store.commit(base=0, lists=make_lists(organisations=3))
                await wait_until(lambda: in_force(agents, 1))
                follower = make_follower()

                async def handler(link, message):
                    if isinstance(message, follower.message_types):
                        await follower.handle(link=link, message=message)

                keeper = LinkKeeper(
                    address=agents[0].context.membership.own_record.address,
                    identity=make_identity("vm1", role="router"),
                    handler=handler,
                    rng=random.Random(1),
                    on_open=lambda link: link.send(Subscribe(held=0)),
                )
                task = asyncio.create_task(keeper.run())
                router = follower.configuration
                await wait_until(
                    lambda: router.organisation_by_key("key 2") is not None
                )
                await store.commit(base=1, lists=make_lists(organisations=2))
                await wait_until(lambda: in_force(agents, 2) and router.revision == 2)
                # The revoked organisation has been removed everywhere.
                copies = [agent.config.configuration for agent in agents]
                for copy in (router, *copies):
                    assert copy.organisation_by_key("key 2") is None
                assert follower.staleness.is_stale([], now=100.0) is False
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            store.close()

    asyncio.run(run())


# Guards against a data centre that cannot reach the platform and does not follow its
# peers, also for an agent that starts there meanwhile (F9, F10).
def test_data_centre_cut_off_from_the_platform_follows_peers():
    async def run():
        async with serving_platform() as (_, url, _):
            agents = make_agents(url, dc1=2)
            isolated = make_agents("http://127.0.0.1:1", dc2=3)
            store = config_store(url)
            async with running([*agents, *isolated[:2]]):
                await store.commit(base=0, lists=make_lists(organisations=1))
                await wait_until(lambda: in_force([*agents, *isolated[:2]], 1))
                first = isolated[0].context.membership.own_record.address
                isolated[2].mesh.seeds = [first]
                await isolated[2].start()
                await store.commit(base=1, lists=make_lists(organisations=2))
                await wait_until(lambda: in_force([*agents, *isolated], 2))
                await isolated[2].abort()
            store.close()

    asyncio.run(run())


# Guards against an agent that fails to start, or loses its configuration, during an
# outage of the table (F5).
def test_outage_of_the_table_keeps_the_configuration():
    async def run():
        async with serving_platform() as (state, url, _):
            agents = make_agents(url, dc1=2)
            store = config_store(url)
            await store.commit(base=0, lists=make_lists())
            state.faults.outage_until = float("inf")
            async with running(agents[:1]):
                await wait_until(lambda: agents[0].config.table_failures > 0)
                state.faults.outage_until = 0.0
                await wait_until(lambda: in_force(agents[:1], 1))
                state.faults.outage_until = float("inf")
                address = agents[0].context.membership.own_record.address
                agents[1].mesh.seeds = [address]
                await agents[1].start()
                await wait_until(lambda: in_force(agents, 1))
                await agents[1].abort()
            store.close()

    asyncio.run(run())


def test_late_delta_is_filled_from_the_peer():
    async def run():
        bodies, states = make_history()
        peer = Configuration()
        peer.apply_deltas(1, bodies)
        applied = []
        follower = make_follower(on_applied=lambda before, link: applied.append(before))
        follower.configuration.apply_deltas(1, bodies[:2])
        link = PeerLink(peer)
        late = ConfigDelta(first=6, last=6, digest=peer.digest, bodies=[bodies[5]])
        await follower.handle(link=link, message=late)
        assert (follower.configuration.revision, applied) == (6, [2])
        # A stale push causes neither a revert nor a request.
        stale = ConfigDelta(first=2, last=2, digest=states[2][0], bodies=[bodies[1]])
        await follower.handle(link=link, message=stale)
        head = ConfigHead(revision=3, digest=states[3][0])
        await follower.handle(link=link, message=head)
        assert follower.configuration.lists() == states[6][1]
        # After the gap was filled, one more request checks that nothing is missing.
        assert [request.held for request in link.requests] == [2, 6]

    asyncio.run(run())


# Guards against a snapshot that is assembled from parts of two revisions or two peers.
@pytest.mark.parametrize("fail", [(), (1,), (2,), (3,)])
def test_restart_during_a_snapshot_transfer(fail):
    async def run():
        source = build_configuration(make_lists(organisations=12_000))
        source.revision = 300
        peer = Configuration()
        peer.apply_snapshot(300, source.digest, source.snapshot())
        assert len(source.snapshot()) > 2 * SNAPSHOT_PART_BYTES
        follower = make_follower()
        assert await follower.pull(PeerLink(peer, fail=fail)) is not bool(fail)
        assert follower.configuration.revision == (0 if fail else 300)
        restarted = PeerLink(peer)
        original = restarted.request

        async def request(message, *, timeout_s):
            if len(restarted.requests) == 2:
                # The peer restarts with a newer snapshot between two parts.
                newer = build_configuration(make_lists(organisations=12_500))
                restarted.server = ConfigServer(
                    configuration=Configuration(), clock=lambda: 0.0
                )
                restarted.server.configuration.apply_snapshot(
                    301, newer.digest, newer.snapshot()
                )
            return await original(message, timeout_s=timeout_s)

        restarted.request = request
        follower = make_follower()
        await follower.pull(restarted)
        assert follower.configuration.revision == 301
        assert follower.configuration.organisation_count() == 12_500

    asyncio.run(run())


# Guards against a damaged copy that spreads to peers or is never detected.
def test_other_content_of_the_same_revision_requires_a_table_read():
    async def run():
        follower = make_follower(build_configuration(make_lists()))
        held = follower.configuration
        link = PeerLink(held)
        wrong = ConfigDelta(first=1, last=1, digest=1, bodies=[b"\x83\x41t\x01\x80"])
        await follower.handle(link=link, message=wrong)
        assert (held.revision, held.rejected) == (0, 1)
        assert follower.needs_table_read
        follower.needs_table_read = False
        head = ConfigHead(revision=0, digest=held.digest ^ 1)
        await follower.handle(link=link, message=head)
        assert follower.needs_table_read
        assert ConfigRequest(held=0) not in link.requests

    asyncio.run(run())


# Guards against two isolated data centres that confirm each other without end, and
# against all of them becoming stale while only the table is down.
@pytest.mark.parametrize(
    ("heard", "stale_at"),
    [
        ({}, float("-inf")),
        ({PLATFORM: 5.0}, 15.0),
        ({"b": 90.0}, float("-inf")),
        ({PLATFORM: 5.0, "b": 90.0, "c": 3.0}, 15.0),
        ({PLATFORM: 5.0, "b": 90.0, "c": 80.0}, 90.0),
    ],
)
def test_staleness(heard, stale_at):
    staleness = Staleness(data_centre="a", stale_limit_s=10.0)
    for name, at in heard.items():
        staleness.record_contact(name, at)
    assert staleness.stale_at(["b", "c"]) == stale_at
    # A peer merges the contacts with their ages, and no contact becomes newer.
    peer = Staleness(data_centre="d", stale_limit_s=10.0)
    peer.merge_contacts(staleness.contacts(now=100.0), now=100.0)
    peer.merge_contacts([Contact(name=PLATFORM, age_s=99.0)], now=100.0)
    assert peer.stale_at(["b", "c"]) == max(stale_at, 11.0)


# Guards against a contact that offers a newer configuration and yet confirms the old
# one.
def test_contact_with_newer_content_does_not_confirm_the_old():
    async def run():
        bodies, _ = make_history()
        peer = Configuration()
        peer.apply_deltas(1, bodies)
        follower = make_follower()
        link = PeerLink(peer, fail=(1,))
        head = ConfigHead(
            revision=6,
            digest=peer.digest,
            contacts=[Contact(name=PLATFORM, age_s=0.0)],
        )
        await follower.handle(link=link, message=head)
        assert follower.staleness.is_stale([], now=100.0)
        await follower.handle(link=link, message=head)
        assert follower.configuration.revision == 6
        assert not follower.staleness.is_stale([], now=100.0)

    asyncio.run(run())
