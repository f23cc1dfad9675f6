import asyncio
import contextlib
import json
import time

from tornado.httpclient import AsyncHTTPClient

from builders import serving, serving_platform
from endivelug.messages import Lookup
from endivelug.standin_engine import EngineState, make_engine
from test_agent import make_agent, running, wait_until

VMS = ["vm1", "vm2", "vm3"]


def publish(state, agents, engines, *, leaving=()):
    rows = [
        (
            agent.context.membership.vm,
            agent.context.membership.own_record.address,
            "agent",
        )
        for agent in agents
    ]
    rows += [(name, url.removeprefix("http://"), "engine") for name, url in engines]
    document = [
        {
            "targets": [address],
            "labels": {
                "vm": vm,
                "data_centre": "dc1",
                "kind": kind,
                "pool": "chat",
                "state": "leaving" if vm in leaving else "live",
            },
        }
        for vm, address, kind in rows
    ]
    state.set_vm_list(document, time.monotonic() - 60)


@contextlib.asynccontextmanager
async def three_agents():
    """Yield the platform, three agents that see a live engine, and the engine."""
    async with contextlib.AsyncExitStack() as stack:
        state, url, _ = await stack.enter_async_context(serving_platform())
        engine = EngineState(event_lag_s=0.0)
        engine_url = await stack.enter_async_context(serving(make_engine(engine)))
        agents = [make_agent(vm, url=url) for vm in VMS]
        await stack.enter_async_context(running(*agents))
        publish(state, agents, [("e1", engine_url)])
        for agent in agents:
            await wait_until(lambda agent=agent: state_of_engine(agent) == "live")
            await wait_until(
                lambda agent=agent: len(agent.context.membership.live_agents()) == 3
            )
        yield state, agents, engine, engine_url


def state_of_engine(agent):
    states = {entry.name: entry.state for entry in agent.context.upstreams.entries()}
    return states.get("e1")


def owner_of(agents):
    owner = agents[0].context.membership.owner("engine:e1")
    return next(agent for agent in agents if agent.context.membership.vm == owner)


async def inject_faults(url, **faults):
    await AsyncHTTPClient().fetch(
        f"{url}/faults", method="POST", body=json.dumps(faults)
    )


# Guards against new work for a leaving or dead engine more than 3 s after its change of
# state: every agent has to learn of it, although only one agent probes the engine.
def test_each_state_change_reaches_every_agent_in_time():
    async def run():
        async with three_agents() as (state, agents, _, url):
            # Handing the probes over to the owner takes one probe period.
            await wait_until(
                lambda: (
                    [agent for agent in agents if agent.probes.reports]
                    == [owner_of(agents)]
                )
            )
            for source, expected in (("load", "leaving"), ("list", "leaving")):
                started = time.monotonic()
                if source == "load":
                    await inject_faults(url, leaving=True)
                else:
                    publish(state, agents, [("e1", url)], leaving=["e1"])
                for agent in agents:
                    await wait_until(
                        lambda agent=agent, want=expected: (
                            state_of_engine(agent) == want
                        )
                    )
                assert time.monotonic() - started < 3.0, source
                await inject_faults(url, leaving=False)
                publish(state, agents, [("e1", url)])
                for agent in agents:
                    await wait_until(
                        lambda agent=agent: state_of_engine(agent) == "live"
                    )
            started = time.monotonic()
            await inject_faults(url, crash=60)
            for agent in agents:
                await wait_until(lambda agent=agent: state_of_engine(agent) == "dead")
            assert time.monotonic() - started < 3.0

    asyncio.run(run())


# Guards against an engine that no agent probes after its owner has crashed, where the
# engine fails at the same time.
def test_simultaneous_crash_of_owner_and_engine_is_detected():
    async def run():
        async with three_agents() as (_, agents, _, url):
            owner = owner_of(agents)
            others = [agent for agent in agents if agent is not owner]
            started = time.monotonic()
            await asyncio.gather(owner.abort(), inject_faults(url, crash=60))
            for agent in others:
                await wait_until(lambda agent=agent: state_of_engine(agent) == "dead")
            assert time.monotonic() - started < 3.0

    asyncio.run(run())


def look_up(agent):
    message = Lookup(
        request=b"request.", engines=["e1"], keys=[1], work_class="interactive"
    )
    return agent.index.index.lookup(message, now=time.monotonic()).views[0]


# Guards against a new owner without cached keys of the engine, and against cached keys
# from before a restart of the engine during the change of owners.
def test_the_next_owner_resynchronises_also_after_a_restart():
    async def run():
        async with three_agents() as (_, agents, engine, url):
            owner = owner_of(agents)
            await wait_until(lambda: look_up(owner).known)
            others = [agent for agent in agents if agent is not owner]
            assert not any(look_up(agent).known for agent in others)
            await asyncio.gather(owner.stop(), inject_faults(url, crash=0.3))
            await wait_until(lambda: any(look_up(agent).known for agent in others))
            (view,) = [look_up(agent) for agent in others if look_up(agent).known]
            assert view.incarnation == engine.incarnation

    asyncio.run(run())
