"""Upstreams that state a limit, and several linked routers that send to them."""

import asyncio
import time

import pytest

from endivelug.forwarding.stated_limits.known_limits import NOTICE_S
from forwarding_builders import registration_document
from linked_nodes import running_nodes
from router_process import PROMPT, metrics_port, run_scenario, wait_until
from test_stream_recovery import crash_after, unrepeatable_streams

__all__ = ["metrics_port"]

# The rule: from 3 s after an upstream first stated its limit, it gets in 4 s at most
# one and a half times what the limit allows, and 5 requests.
SETTLED_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
MARGIN = 5
LIMIT = 1.4


def limited(arrivals, limit=LIMIT):
    """Return a script that states a limit, and records when requests arrive."""

    async def respond(exchange):
        arrivals.append(time.monotonic())
        await exchange.respond(Server_Limit=str(limit))

    return respond


def most_in_a_window(arrivals):
    """Return the largest number of arrivals in a window that the rule counts."""
    counted = [at for at in arrivals if at >= arrivals[0] + SETTLED_S]
    return max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )


# Guards against an upstream that states a limit and gets what it got without: no VM
# reads the statement, or each applies the whole limit by itself.
def test_all_routers_together_keep_the_limit_that_an_upstream_states():
    async def scenario():
        async with asyncio.timeout(60), running_nodes(nodes=4, desks=2) as system:
            arrivals = []
            system.desks[0].script = limited(arrivals)
            responses = await system.offer(
                per_node_per_s=10, seconds=SETTLED_S + WINDOW_S + 1.0
            )
            assert {response.status for response in responses} == {200}
            assert most_in_a_window(arrivals) > 0
            assert most_in_a_window(arrivals) <= FACTOR * LIMIT * WINDOW_S + MARGIN

    asyncio.run(scenario())


def limits_of(node):
    return node.placer.pace.limits


async def wait_for_counts(nodes, count):
    await wait_until(lambda: all(limits_of(node).count() == count for node in nodes), 8)


# Guards against requests that wait until their deadline for an upstream that will not
# take them, and against refusals that do not say when to retry.
def test_requests_beyond_the_limit_of_all_upstreams_are_refused_early():
    async def scenario():
        async with asyncio.timeout(60), running_nodes(nodes=2, desks=1) as system:
            system.desks[0].script = limited([], limit=0.1)
            await system.request(0, "first")
            await wait_for_counts(system.nodes, 1)
            responses = await system.offer(per_node_per_s=10, seconds=2.0)
            refused = [item for item in responses if item.status == 503]
            assert len(refused) >= len(responses) - MARGIN
            assert all(float(item.headers["retry-after"]) > 0 for item in refused)
            early = [
                fields
                for log in system.logs
                for event, fields in log.lines
                if event == "refused" and "early" in fields
            ]
            # A few have begun to wait before the limit is known.
            assert len(early) == len(refused)

    asyncio.run(scenario())


# Guards against a limit that holds on at a VM that gets no answers of the upstream
# after it has ended, or that a new start of the upstream inherits.
@pytest.mark.parametrize("ends_by", ["answer", "restart"])
def test_the_end_of_a_limit_is_known_to_all_vms(ends_by):
    async def scenario():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            desk = system.desks[0]
            desk.script = limited([], limit=1000)
            await system.request(0, "first")
            await wait_for_counts(system.nodes, 1)
            desk.script = lambda exchange: exchange.respond()
            if ends_by == "answer":
                await system.request(1, "second")
            else:
                document = registration_document(
                    address=desk.address, service="desk", models=[], born=2000
                )
                system.store.put("servers", "i0", document)
            await wait_for_counts(system.nodes, 0)
            for log in system.logs:
                (event,) = [item for item in log.events() if item == "limit-ended"]
                assert event

    asyncio.run(scenario())


# Guards against continuations of broken streams that an engine gets beyond its limit,
# and against streams that break although it has room.
@pytest.mark.parametrize(("limit", "continues"), [("0.1", False), ("1000", True)])
def test_continuations_respect_the_limit(limit, continues):
    async def scenario(system):
        limits = limits_of(system.node)

        def state_limit(copy_address):
            (copy,) = [
                instance
                for instance in system.node.view.registry.all()
                if instance.address == copy_address
            ]
            notice = f"{limit}/{copy.started_ms}/{copy.name}"
            limits.apply_notice(notice, NOTICE_S)
            limits.may_send(copy)
            limits.record_sent(copy)

        for engine in system.engines:
            crash = crash_after(engine, 2)

            async def script(exchange, crash=crash):
                if "x-kv-backup" in exchange.headers:
                    state_limit(exchange.headers["x-kv-backup"])
                await crash(exchange)

            engine.script = script
        response = await system.request(headers=PROMPT)
        assert response.complete is continues
        continued = [item for item in system.attempts() if "kv-from" in item.headers]
        assert len(continued) == continues

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against a VM without links that uses more than its share of a limit.
def test_a_vm_without_links_uses_its_share():
    async def scenario():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            *_, cut = system.nodes
            cut.peers.targets.update = lambda *targets, **linked: None
            await cut.peers.close()
            await wait_until(
                lambda: limits_of(cut).vms_share() == pytest.approx(1 / 3), 15
            )
            system.desks[0].script = limited([], limit=3)
            await system.request(2, "first")
            await wait_for_counts([cut], 1)
            (instance,) = cut.view.registry.of_service("desk")
            limits_of(cut).may_send(instance)
            (share,) = limits_of(cut).shares.values()
            assert share.rate <= 3 / 3

    asyncio.run(scenario())
