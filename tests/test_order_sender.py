import asyncio
import contextlib
import json
import random
import time

import pytest
from tornado.web import Application, RequestHandler

from builders import serving, serving_platform
from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease, parse_lease
from endivelug.load_slots import parse_slot
from endivelug.messages import UpstreamEntry
from endivelug.order_sender import OrderSender
from endivelug.orders import DesiredModel
from endivelug.settings import PoolSettings


class OrdersHandler(RequestHandler):
    def initialize(self, env):
        self.env = env

    async def post(self):
        order = json.loads(self.request.body)
        self.env.orders.append(order)
        if self.env.drop_responses and order["kind"] != "confirm":
            self.detach().close()
            return
        if order["kind"] == "load":
            self.env.models = [f"{order['model']}={order['version']}"]
        self.set_status(202)


class Environment:
    """An engine without a model, and an order sender that has to load one there."""

    def __init__(self, table, url, checks):
        self.orders, self.models, self.drop_responses, self.url = [], [], False, url
        lease = Lease(
            data_centre="dc1",
            vm="vm1",
            lease_s=2.0,
            clock_bound_s=0.05,
            order_timeout_s=0.2,
        )
        rng = random.Random(1)
        self.sender = OrderSender(
            keeper=LeaseKeeper(table=table, lease=lease, renew_s=0.1, rng=rng),
            table=table,
            data_centre="dc1",
            desired_models=lambda: [DesiredModel(model="a", version="1")],
            observed_upstreams=self.observed,
            pools={"chat": PoolSettings(kind="engine", checks_fencing=checks)},
            rng=rng,
            period_s=0.02,
        )

    def observed(self):
        return [
            UpstreamEntry(
                name="e",
                address=self.url.removeprefix("http://"),
                kind="engine",
                pool="chat",
                models=self.models,
                adapters=[],
                incarnation=1,
                state="live",
            )
        ]

    async def wait_until(self, condition):
        deadline = time.monotonic() + 5
        while not condition():
            assert time.monotonic() < deadline, self.orders
            await asyncio.sleep(0.02)


def run_in_environment(scenario, *, checks=False):
    async def run():
        async with serving_platform(timeout_s=0.2) as (state, _, table):
            env = Environment(table, "", checks)
            handlers = [(r"/v1/orders", OrdersHandler, {"env": env})]
            async with serving(Application(handlers)) as url:
                env.url = url
                task = asyncio.create_task(env.sender.run())
                await scenario(env, state.table.values, task)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    asyncio.run(run())


# Guards against an engine that still runs an order of an earlier lease holder.
def test_fencing_is_confirmed_before_the_first_order_and_slots_are_freed():
    async def scenario(env, rows, task):
        await env.wait_until(lambda: env.models)
        assert [order["kind"] for order in env.orders[:2]] == ["confirm", "load"]
        await env.wait_until(lambda: parse_slot(rows["loads/0"].value).engine == "")
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert parse_lease(rows["lease/dc1/orders"].value).holder == ""

    run_in_environment(scenario, checks=True)


# Guards against a third concurrent load, and against a next lease holder that starts
# too early, while an order without a response may still be in progress.
def test_order_without_response_keeps_its_slot_and_the_lease():
    async def scenario(env, rows, task):
        env.drop_responses = True
        await env.wait_until(lambda: env.sender.counts.unknown)
        assert parse_slot(rows["loads/0"].value).engine == "e"
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert parse_lease(rows["lease/dc1/orders"].value).holder == "vm1"
        assert len(env.orders) == 1

    run_in_environment(scenario)


def test_unreachable_engine_frees_the_slot():
    async def scenario(env, rows, task):
        env.url = "http://127.0.0.1:1"
        await env.wait_until(lambda: env.sender.counts.not_sent)
        await env.wait_until(lambda: parse_slot(rows["loads/0"].value).engine == "")
        assert env.orders == []

    run_in_environment(scenario)


# Guards F7: a pause between plan and order, after which the same VM holds a later lease
# or the order would outlast the lease.
@pytest.mark.parametrize("later_lease", [True, False])
def test_plan_is_not_sent_under_another_lease_or_too_late(later_lease):
    async def scenario(env, rows, task):
        sender, acquire_slot = env.sender, env.sender._acquire_slot

        async def acquire_after_pause(*args):
            slot = await acquire_slot(*args)
            lease_write = sender.lease.held_write
            if later_lease:
                lease_write.record = type(lease_write.record)(
                    holder="vm1", fencing=lease_write.record.fencing + 1, nonce=b"later"
                )
            else:
                lease_write.started = sender.keeper.clock() - 1.8
            return slot

        sender._acquire_slot = acquire_after_pause
        await env.wait_until(lambda: sender.counts.not_sent)
        assert env.orders == []

    run_in_environment(scenario)
