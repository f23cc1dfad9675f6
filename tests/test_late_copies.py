"""Upstreams that send an answer once more, late, on a connection in use again."""

import asyncio
import os
import socket
import time

import pytest

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.connection_pool import MAX_REQUESTS, ConnectionPool
from endivelug.forwarding.engine_reach import Reach
from endivelug.forwarding.upstream_connection import RequestHead
from endivelug.forwarding.weights_rollout import OrderReply, WeightsOrder
from endivelug.platform.engine_calls import EngineCalls
from forwarding_builders import make_instance
from platform_standins import response_bytes, running_upstream
from router_process import metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]


class RepeatingUpstream:
    """Script that refuses a request first, and sends the refusal again later.

    The copy comes before the answer to the second attempt, if that comes on the same
    connection. Each request runs once.
    """

    def __init__(self, refusal):
        self.refusal = refusal
        self.refused = {}
        self.runs = []

    async def __call__(self, exchange):
        copy = self.refusal(exchange.id)
        if exchange.id not in self.refused:
            self.refused[exchange.id] = exchange.writer
            await exchange.send(copy)
            return
        if self.refused[exchange.id] is exchange.writer:
            await exchange.send(copy)
            await asyncio.sleep(0.05)
        self.runs.append(exchange.id)
        await exchange.respond()


def refusal(request_id, status=503):
    return response_bytes(request_id, b"", status=status, X_Not_Executed="1")


def refusal_without_id(request_id):
    return refusal("")


# Guards against an order that runs twice, or is refused as "not run" while it runs,
# because a late copy of the first refusal is taken for the answer to the next attempt.
@pytest.mark.parametrize("status", [503, 429, 421])
def test_a_late_copy_of_a_refusal_does_not_refuse_the_next_attempt(status):
    async def scenario(system):
        script = RepeatingUpstream(lambda request: refusal(request, status))
        (desk,) = system.desks
        desk.script = script
        # The connection is open before, so that the attempts meet on it.
        script.refused["warm-up"] = None
        await system.request("/a/orders/1", headers={"X-Request-Id": "warm-up"})
        response = await system.request("/a/orders/1")
        assert response.status == 200
        assert script.runs.count("q1") == 1

    run_scenario(scenario, desks=1)


# Guards against the same for a refusal that names no request: on a used connection
# nobody can tell to which attempt it belongs.
def test_a_refusal_without_an_id_on_a_used_connection_promises_nothing():
    async def scenario(system):
        script = RepeatingUpstream(refusal_without_id)
        (desk,) = system.desks
        desk.script = script
        script.refused["warm-up"] = None
        await system.request("/a/orders/1", headers={"X-Request-Id": "warm-up"})
        response = await system.request("/a/orders/1")
        assert response.status == 502
        assert len(desk.exchanges) == 2

    run_scenario(scenario, desks=1)


# Guards against the same on a connection that was idle before its first request: what
# came in the meantime, such as a refusal of the connection, answers no request.
def test_a_refusal_without_an_id_on_an_idle_connection_promises_nothing():
    async def scenario(system):
        runs = []

        async def script(exchange):
            await exchange.send(refusal_without_id(exchange.id))
            runs.append(exchange.id)
            await exchange.respond()

        for desk in system.desks:
            desk.script = script
            shown = await system.node.reach.check(desk.address, timeout_s=5.0)
            assert shown is Reach.ACCEPTS
        response = await system.request("/a/orders/1")
        assert response.status == 502
        assert runs == ["q1"]

    run_scenario(scenario)


# Guards against giving up a request because an upstream refuses it without its id.
def test_a_refusal_without_an_id_on_a_new_connection_is_believed():
    async def scenario(system):
        script = system.desks[0].script = RepeatingUpstream(refusal_without_id)
        response = await system.request("/a/orders/1")
        assert response.status == 200
        assert script.runs == ["q1"]

    run_scenario(scenario, desks=1)


def run_with_pool(scenario):
    async def run():
        pool = ConnectionPool(clock=time.monotonic)
        async with running_upstream() as upstream, asyncio.timeout(10):
            await scenario(pool, upstream)
        pool.close()

    asyncio.run(run())


# Guards against a request that is lost, or answered by what came before it, on a
# connection that its upstream has closed or written to; a pause delays the news of it.
@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 408 \r\n\r\n"], ids=["end", "bytes"])
def test_a_connection_with_something_unread_is_not_used_again(data):
    async def scenario(pool, upstream):
        writers = []

        async def script(exchange):
            writers.append(exchange.writer)
            await exchange.respond()

        upstream.script = script
        head = RequestHead(method="GET", target="/", headers=[("Host", "h")])
        await pool.request(upstream.address, head, timeout_s=5.0)
        peer = writers[0].get_extra_info("socket")
        if data:
            os.write(peer.fileno(), data)
        else:
            peer.shutdown(socket.SHUT_WR)
        # The event loop does not run in between.
        await pool.acquire(upstream.address, timeout_s=5.0)
        assert pool.opened_total == 2

    run_with_pool(scenario)


# Guards against a connection that carries a request twice, while one that can carry it
# is left unused.
def test_a_connection_is_given_to_other_requests_only():
    async def scenario(pool, upstream):
        async def acquire(request_id):
            return await pool.acquire(
                upstream.address, timeout_s=1.0, request_id=request_id
            )

        first = await acquire("a")
        pool.release(upstream.address, first, idle_s=None)
        assert await acquire("b") is first
        pool.release(upstream.address, first, idle_s=None)
        second = await acquire("a")
        assert second is not first
        pool.release(upstream.address, second, idle_s=None)
        assert await acquire("b") is second
        assert await acquire("c") is first
        assert pool.opened_total == 2

    run_with_pool(scenario)


# Guards against a memory of requests that grows with the age of a connection, and
# against forgetting those that it has carried.
def test_a_connection_is_closed_when_it_has_carried_all_that_it_remembers():
    async def scenario(pool, upstream):
        connections = set()
        for number in range(MAX_REQUESTS + 1):
            connection = await pool.acquire(
                upstream.address, timeout_s=1.0, request_id=f"q{number}"
            )
            connections.add(connection)
            pool.release(upstream.address, connection, idle_s=None)
        assert len(connections) == 2

    run_with_pool(scenario)


# Guards against taking a late answer to a caller's request for that to a control call,
# which names none, and the other way round.
def test_control_calls_and_requests_share_no_connection():
    async def scenario(pool, upstream):
        for _ in range(3):
            control = await pool.acquire(upstream.address, timeout_s=1.0)
            call = await pool.acquire(upstream.address, timeout_s=1.0, request_id="a")
            assert control is not call
            pool.release(upstream.address, control, idle_s=None)
            pool.release(upstream.address, call, idle_s=None)
        assert await pool.acquire(upstream.address, timeout_s=1.0) is control

    run_with_pool(scenario)


# Guards against a second copy of an engine's report that is taken for the answer to an
# order, so that the weights count as loaded.
def test_a_late_copy_of_a_report_does_not_answer_an_order():
    order = WeightsOrder(model="m", version=2, holder="a", fencing=1, expected_orders=0)

    async def scenario(pool, upstream):
        async def script(exchange):
            if exchange.target == "/report":
                await exchange.respond(b'{"models": [], "seq": 0}')
                return
            if upstream.exchanges[0].writer is exchange.writer:
                await exchange.respond(b'{"models": [], "seq": 0}')
            await exchange.respond(b"{}", status=202)

        upstream.script = script
        engines = EngineCalls(pool=pool)
        instance = make_instance(address=upstream.address)
        await engines.report(instance)
        reply = await engines.order_weights(instance, order, may_send=lambda: True)
        assert reply is OrderReply.ACCEPTED
        with pytest.raises(UpstreamUnreachable):
            await engines.order_weights(instance, order, may_send=lambda: False)
        assert [item.method for item in upstream.exchanges] == ["GET", "POST"]

    run_with_pool(scenario)


# Guards against calls of two callers that chose the same id and are taken for one: the
# one that waits first would never be placed, and the work of the other is forgotten.
def test_calls_whose_ids_collide_are_told_apart(monkeypatch):
    async def scenario(system):
        async def slow(exchange):
            await asyncio.sleep(0.2)
            await exchange.respond()

        for desk in system.desks:
            desk.script = slow
        dispatcher = system.node.dispatcher
        monkeypatch.setattr(dispatcher, "_must_queue", lambda call: True)
        tasks = [asyncio.ensure_future(system.request("/look/it")) for _ in range(4)]
        loads = system.node.view.loads.loads
        await wait_until(lambda: sum(len(load.work) for load in loads.values()) == 4)
        found = await asyncio.gather(*tasks)
        assert [response.status for response in found] == [200] * 4
        assert not any(load.work for load in loads.values())
        assert not dispatcher.waiters

    run_scenario(scenario)
