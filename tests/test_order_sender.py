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
    def initialize(self, world):
        self.world = world

    async def post(self):
        order = json.loads(self.request.body)
        self.world.orders.append(order)
        if self.world.drop and order["kind"] != "confirm":
            self.detach().close()
            return
        if order["kind"] == "load":
            self.world.models = [f"{order['model']}={order['version']}"]
        self.set_status(202)


class World:
    """One engine without a model, and one order giver that wants one there."""

    def __init__(self, table, url, checks):
        self.orders, self.models, self.drop, self.url = [], [], False, url
        lease = Lease(
            data_centre="dc1",
            vm="vm1",
            lease_s=2.0,
            clock_bound_s=0.05,
            order_timeout_s=0.2,
        )
        rng = random.Random(1)
        self.giver = OrderSender(
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

    async def until(self, holds):
        deadline = time.monotonic() + 5
        while not holds():
            assert time.monotonic() < deadline, self.orders
            await asyncio.sleep(0.02)


def in_world(body, *, checks=False):
    async def run():
        async with serving_platform(timeout_s=0.2) as (state, _, table):
            world = World(table, "", checks)
            handlers = [(r"/v1/orders", OrdersHandler, {"world": world})]
            async with serving(Application(handlers)) as url:
                world.url = url
                task = asyncio.create_task(world.giver.run())
                await body(world, state.table.values, task)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    asyncio.run(run())


# Guards against an engine that would still run an earlier holder's order.
def test_fencing_is_confirmed_before_the_first_order_and_slots_are_freed():
    async def body(world, rows, task):
        await world.until(lambda: world.models)
        assert [order["kind"] for order in world.orders[:2]] == ["confirm", "load"]
        await world.until(lambda: parse_slot(rows["loads/0"].value).engine == "")
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert parse_lease(rows["lease/dc1/orders"].value).holder == ""

    in_world(body, checks=True)


# Guards against a third load, and against a next holder that begins too early,
# while an order without an answer may be in progress.
def test_order_without_answer_keeps_its_slot_and_the_lease():
    async def body(world, rows, task):
        world.drop = True
        await world.until(lambda: world.giver.counts.unknown)
        assert parse_slot(rows["loads/0"].value).engine == "e"
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert parse_lease(rows["lease/dc1/orders"].value).holder == "vm1"
        assert len(world.orders) == 1

    in_world(body)


def test_unreachable_engine_frees_the_slot():
    async def body(world, rows, task):
        world.url = "http://127.0.0.1:1"
        await world.until(lambda: world.giver.counts.not_sent)
        await world.until(lambda: parse_slot(rows["loads/0"].value).engine == "")
        assert world.orders == []

    in_world(body)


# Guards F7: a plan that a pause carried over into a later lease of the same VM, and
# an order that would outlast the lease.
@pytest.mark.parametrize("later_lease", [True, False])
def test_plan_is_not_sent_under_another_lease_or_too_late(later_lease):
    async def body(world, rows, task):
        giver, take = world.giver, world.giver._acquire_slot

        async def pause_after(*args):
            taken = await take(*args)
            held = giver.lease.held_write
            if later_lease:
                held.record = type(held.record)(
                    holder="vm1", fencing=held.record.fencing + 1, nonce=b"later"
                )
            else:
                held.started = giver.keeper.clock() - 1.8
            return taken

        giver._acquire_slot = pause_after
        await world.until(lambda: giver.counts.not_sent)
        assert world.orders == []

    in_world(body)
