import asyncio
import contextlib

import pytest

from builders import make_identity
from endivelug import _rendezvous
from endivelug.exceptions import LinkClosed
from endivelug.limits import Limits, RouterLimiter
from endivelug.links import LinkServer, open_link
from endivelug.messages import Failure, ShareDemand, ShareLoan, ShareRequest
from endivelug.shares import ShareClient, ShareComponent

LIMITS = Limits(requests_s=200.0, tokens_s=1e6, streams=40)
AGENTS = {"a1": "dc1", "a2": "dc1", "b1": "dc2"}
ORG = "org"


class Network:
    """Agents of two data centres; a2 is the only gateway of dc1."""

    def __init__(self, vm):
        self.vm = vm
        self.links = {}
        self.live = {vm for vm, dc in AGENTS.items() if dc == AGENTS[self.vm]}

    def agents(self):
        return sorted(self.live)

    def data_centres(self):
        return ["dc1", "dc2"]

    def link(self, vm):
        if vm not in self.links:
            raise LinkClosed("no link")
        return self.links[vm]

    def link_to(self, data_centre):
        for vm, dc in AGENTS.items():
            if dc == data_centre and {vm, self.vm} == {"a2", "b1"}:
                return self.link(vm)
        raise LinkClosed("no link")

    def gateways(self):
        return ["a2"] if AGENTS[self.vm] == "dc1" else ["b1"]


@contextlib.asynccontextmanager
async def running_agents():
    """Run three agents with real links; yield their components and ``connect``."""
    now = asyncio.get_running_loop().time
    started = now() - 60.0
    tasks, servers, components, ports = [], [], {}, {}

    def identity(vm, role="agent"):
        own = make_identity(vm, role=role)
        own.data_centre = AGENTS[vm]
        return own

    for vm, dc in AGENTS.items():
        component = ShareComponent(
            vm=vm,
            data_centre=dc,
            network=Network(vm),
            limits_of=lambda name: LIMITS if name.startswith(ORG) else None,
            clock=now,
        )
        # Makes the membership unchanged for a minute, so that owners grant shares.
        component._past_memberships = [(started, [])]
        component._agents = component.network.agents()

        async def handler(link, message, component=component):
            return await component.handle(link=link, message=message)

        server = LinkServer(identity=identity(vm), handler=handler)
        ports[vm] = await server.start(host="127.0.0.1", port=0)
        servers.append(server)
        components[vm] = component
        tasks.append(asyncio.create_task(component.run()))

    async def connect(vm, peer, role="agent"):
        async def handler(link, message):
            return await components[vm].handle(link=link, message=message)

        link = await open_link(
            address=f"127.0.0.1:{ports[peer]}",
            identity=identity(vm, role),
            handler=handler,
        )
        tasks.append(asyncio.create_task(link.run()))
        return link

    for vm, peer in [("a1", "a2"), ("a2", "a1"), ("a2", "b1"), ("b1", "a2")]:
        components[vm].network.links[peer] = await connect(vm, peer)
    try:
        yield components, connect
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            await server.stop()


def organisation_owned_by(owner):
    names = (f"{ORG}{k}" for k in range(100))
    return next(
        name
        for name in names
        if _rendezvous.owner(f"org:{name}", ["a1", "a2"]) == owner
    )


def request(name, sequence=1):
    return ShareRequest(
        organisation=name,
        sequence=sequence,
        requests_s=300.0,
        tokens_s=1000.0,
        streams=5,
        open_streams=0,
        lent=[],
    )


# Guards against a loan that does not reach an owner without a link to the lender, and
# against a demand that agents with different views of the membership forward to each
# other for ever.
def test_loan_reaches_an_owner_that_is_not_a_gateway():
    async def run():
        async with running_agents() as (components, connect):
            name = organisation_owned_by("a1")
            router = await connect("a1", "a1", role="router")
            granted = 0.0
            for sequence in range(1, 30):
                grant = await router.request(request(name, sequence), timeout_s=1.0)
                granted = max(granted, grant.requests_s)
                if granted > 150.0:
                    break
                await asyncio.sleep(0.1)
            assert granted > 150.0
            other = await connect("a2", "a2", role="router")
            refused = await other.request(request(name), timeout_s=1.0)
            assert isinstance(refused, Failure) and refused.kind == "not-owner"
            demand = ShareDemand(
                organisation=name,
                sequence=1,
                data_centre="dc2",
                lender="dc1",
                requests_s=1.0,
                tokens_s=1.0,
                streams=0,
                ttl_s=0.5,
            )
            link = components["b1"].network.links["a2"]
            assert isinstance(await link.request(demand, timeout_s=1.0), ShareLoan)
            components["a2"].network.live = {"a1", "a2"}
            components["a1"].network.live = {"a2"}
            reply = await link.request(demand, timeout_s=1.0)
            assert reply.kind == "not-owner"

    asyncio.run(run())


# Guards against a new owner whose grants add to those of its crashed predecessor.
def test_a_new_owner_grants_nothing_at_first():
    async def run():
        async with running_agents() as (components, connect):
            name = organisation_owned_by("a1")
            router = await connect("a2", "a2", role="router")
            components["a2"].network.live = {"a2"}
            reply = await router.request(request(name), timeout_s=1.0)
            assert isinstance(reply, Failure) and reply.kind == "owner-is-new"

    asyncio.run(run())


# Guards against requests that wait for an owner that has crashed.
@pytest.mark.parametrize("owner_lives", [True, False])
def test_client_requests_one_grant_and_falls_back_without_an_owner(owner_lives):
    async def run():
        async with running_agents() as (_, connect):
            name = organisation_owned_by("a1")
            link = await connect("a1", "a1", role="router")
            requested = []

            def link_to_owner(organisation):
                requested.append(organisation)
                if not owner_lives:
                    raise LinkClosed("no owner")
                return link

            clock = asyncio.get_running_loop().time
            client = ShareClient(
                limiter=RouterLimiter(data_centre=(0, 2), router=(0, 2)),
                link_to_owner=link_to_owner,
                limits_of=lambda _: LIMITS,
                clock=clock,
            )
            started = clock()
            refusals = await asyncio.gather(
                *(client.acquire(name, limits=LIMITS, tokens=10) for _ in range(2))
            )
            assert refusals == [None, None]
            assert requested == [name]
            assert clock() - started < (0.3 if owner_lives else 1.0)
            share = client.limiter.share(name, now=clock())
            assert (share[0] == 50.0) is not owner_lives
            if owner_lives:
                assert client.limiter.has_grant(name, now=clock())

    asyncio.run(run())


# Guards against status 429 for two simultaneous requests of an organisation that is far
# below its plan: its token bucket starts with one request.
def test_a_short_burst_waits_instead_of_being_refused():
    async def run():
        def no_owner(organisation):
            raise LinkClosed("no link")

        client = ShareClient(
            limiter=RouterLimiter(data_centre=(0, 1)),
            link_to_owner=no_owner,
            limits_of=lambda name: LIMITS,
            clock=asyncio.get_running_loop().time,
        )
        burst = [client.acquire(ORG, limits=LIMITS, tokens=100) for _ in range(10)]
        assert await asyncio.gather(*burst) == [None] * 10
        flood = [client.acquire(ORG, limits=LIMITS, tokens=1) for _ in range(400)]
        refused = [item for item in await asyncio.gather(*flood) if item is not None]
        assert len(refused) > 250

    asyncio.run(run())
