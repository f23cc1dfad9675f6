"""Feeds that are lost and regained, one table after the other."""

import asyncio
import random

from endivelug.exceptions import TableUnavailable
from endivelug.forwarding.instances import REREGISTRATION_S
from endivelug.forwarding.row_store import RowPage
from endivelug.forwarding.state_sync import StateSync
from forwarding_builders import LogRecorder, ManualClock, make_view


class FeedStandIn:
    """A store whose answers a test holds back; it notes how long feeds may wait."""

    def __init__(self):
        self.down = False
        self.waits = []

    async def read(self, table, **bounds):
        return await self.changes(table, after=0, wait_s=0.0)

    async def changes(self, table, *, after, wait_s):
        self.waits.append((table, wait_s))
        await asyncio.sleep(0.01)
        if self.down:
            raise TableUnavailable("down")
        if table == "op" and wait_s:
            # Nothing changes, so the answer comes at the end of the wait.
            await asyncio.sleep(30.0)
        return RowPage(rows=[], version=10)


async def follow(use):
    store, clock = FeedStandIn(), ManualClock()
    view = make_view(clock)
    sync = StateSync(store=store, view=view, rng=random.Random(1), log=LogRecorder())
    job = asyncio.create_task(sync.run())
    try:
        async with asyncio.timeout(10):
            await use(store, view, sync, clock)
    finally:
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)


# Guards against an upstream that leaves soon after a partition has healed and gets
# requests for four more seconds: its removal stayed provisional until the quiet table
# of the operator had answered as well (hunt of skm, mix --seed 322123038365, DRAIN).
def test_removals_are_provisional_only_until_the_registry_is_back():
    async def use(store, view, sync, clock):
        sync._feed_lost("op", TableUnavailable("cut"))
        sync._feed_lost("servers", TableUnavailable("cut"))
        assert view.registry.provisional_until == float("inf")
        sync._feed_regained("servers")
        assert view.registry.provisional_until == clock.now + REREGISTRATION_S
        assert sync.registry_connected and not sync.connected

    asyncio.run(follow(use))


def test_the_loss_of_another_table_makes_no_removal_provisional():
    async def use(store, view, sync, clock):
        sync._feed_lost("op", TableUnavailable("cut"))
        assert view.registry.provisional_until == 0.0

    asyncio.run(follow(use))


# Guards against a feed that counts as lost until its next change, or the end of a wait.
def test_a_lost_feed_is_asked_for_an_answer_at_once():
    async def use(store, view, sync, clock):
        store.down = True
        while len(sync.lost_since) < 2:
            await asyncio.sleep(0.01)
        store.down = False
        async with asyncio.timeout(2.0):
            while sync.lost_since:
                await asyncio.sleep(0.01)

    asyncio.run(follow(use))
