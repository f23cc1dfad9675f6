import asyncio
import contextlib
import random
import time

from builders import SETTINGS, make_identity, serving_platform
from endivelug.agent import Agent
from endivelug.links import open_link
from endivelug.messages import LocalState, Status, StatusRequest, Subscribe
from endivelug.settings import parse_settings


def agent_settings(vm, *, data_centre="dc1", url="http://127.0.0.1:1", peers=""):
    text = SETTINGS.replace("name = vm1", f"name = {vm}")
    text = text.replace("data_centre = dc1", f"data_centre = {data_centre}")
    text = text.replace("vm_list = http://127.0.0.1:1", f"vm_list = {url}")
    fast = f"heartbeat_s = 0.2\ndead_after_s = 0.8\nprobe_s = 0.2\npeers = {peers}"
    return parse_settings(text.replace("[links]", f"{fast}\n[links]"))


def make_agent(vm, *, incarnation=1, **settings):
    return Agent(
        settings=agent_settings(vm, **settings),
        rng=random.Random(vm),
        incarnation=incarnation,
    )


@contextlib.asynccontextmanager
async def running(*agents):
    for agent in agents:
        await agent.start()
    try:
        yield
    finally:
        await asyncio.gather(*(agent.abort() for agent in agents))


async def wait_until(condition, *, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def live_vms(agent):
    return list(agent.context.membership.live_agents())


async def subscribe(agent, received):
    async def handler(link, message):
        if isinstance(message, LocalState):
            received.append(message)

    link = await open_link(
        address=agent.context.membership.own_record.address,
        identity=make_identity("vm1", role="router"),
        handler=handler,
    )
    task = asyncio.create_task(link.run())
    link.send(Subscribe(held=0))
    return link, task


# Guards against a single agent that sends its router no state, and against agents with
# one common seed that never form a full mesh.
def test_agents_discover_each_other_and_update_their_routers():
    async def run():
        first = make_agent("vm1")
        await first.start()
        received = []
        link, task = await subscribe(first, received)
        await wait_until(lambda: received)
        assert [entry.vm for entry in received[0].agents] == ["vm1"]
        assert received[0].connected is False
        seed = first.context.membership.own_record.address
        others = [make_agent(f"vm{number}", peers=seed) for number in (2, 3)]
        async with running(*others):
            for agent in (first, *others):
                await wait_until(
                    lambda agent=agent: live_vms(agent) == ["vm1", "vm2", "vm3"]
                )
            await wait_until(lambda: len(received[-1].agents) == 3)
            await others[0].stop()
            await wait_until(lambda: live_vms(first) == ["vm1", "vm3"])
        await link.close()
        await task
        await first.abort()

    asyncio.run(run())


# Guards against a status report that lacks the revisions of other data centres.
def test_status_lists_the_vms_of_every_data_centre():
    async def run():
        async with serving_platform() as (state, url, _):
            agents = [
                make_agent(vm, data_centre=data_centre, url=url)
                for vm, data_centre in [("a1", "dc1"), ("a2", "dc1"), ("b1", "dc2")]
            ]
            async with running(*agents):
                document = [
                    {
                        "targets": [agent.context.membership.own_record.address],
                        "labels": {
                            "vm": agent.context.membership.vm,
                            "data_centre": agent.context.membership.data_centre,
                            "kind": "agent",
                            "state": "live",
                        },
                    }
                    for agent in agents
                ]
                state.set_vm_list(document, time.monotonic())
                await wait_until(
                    lambda: all(agent.mesh.remote_links() for agent in agents)
                )
                link = await open_link(
                    address=agents[0].context.membership.own_record.address,
                    identity=make_identity("ctl", role="operator"),
                    handler=agents[0].dispatch,
                )
                task = asyncio.create_task(link.run())
                status = await link.request(StatusRequest(), timeout_s=3)
                assert isinstance(status, Status)
                assert {vm.vm for vm in status.vms} == {"a1", "a2", "b1"}
                await link.close()
                await task

    asyncio.run(run())
