"""Loss and recovery of the feeds of single tables."""

import asyncio
import random

from endivelug.exceptions import TableUnavailable
from endivelug.forwarding.instances import REREGISTRATION_S
from endivelug.forwarding.row_store import RowPage
from endivelug.forwarding.state_sync import StateSync
from forwarding_builders import LogRecorder, ManualClock, make_view


class FeedStandIn:
    """Store that a test can take down; it records the long-poll wait of each call."""

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
            # Nothing changes, so the response comes at the end of the long poll.
            await asyncio.sleep(30.0)
        return RowPage(rows=[], version=10)


async def run_with_sync(scenario):
    store, clock = FeedStandIn(), ManualClock()
    view = make_view(clock)
    sync = StateSync(store=store, view=view, rng=random.Random(1), log=LogRecorder())
    job = asyncio.create_task(sync.run())
    try:
        async with asyncio.timeout(10):
            await scenario(store, view, sync, clock)
    finally:
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)


# Guards against sending requests for four more seconds to an upstream that is removed
# soon after a partition has healed: its removal stayed provisional until the feed of
# the operator's idle table had responded as well (hunt of skm, mix --seed
# 322123038365, DRAIN).
def test_removals_are_provisional_only_until_the_registry_is_back():
    async def scenario(store, view, sync, clock):
        sync._feed_lost("op", TableUnavailable("cut"))
        sync._feed_lost("servers", TableUnavailable("cut"))
        assert view.registry.provisional_until == float("inf")
        sync._feed_regained("servers")
        assert view.registry.provisional_until == clock.now + REREGISTRATION_S
        assert sync.registry_connected and not sync.connected

    asyncio.run(run_with_sync(scenario))


def test_the_loss_of_another_table_makes_no_removal_provisional():
    async def scenario(store, view, sync, clock):
        sync._feed_lost("op", TableUnavailable("cut"))
        assert view.registry.provisional_until == 0.0

    asyncio.run(run_with_sync(scenario))


# Guards against a recovered feed that counts as lost until its next change or the end
# of the long poll.
def test_a_lost_feed_is_polled_without_waiting():
    async def scenario(store, view, sync, clock):
        store.down = True
        while len(sync.lost_since) < 2:
            await asyncio.sleep(0.01)
        store.down = False
        async with asyncio.timeout(2.0):
            while sync.lost_since:
                await asyncio.sleep(0.01)

    asyncio.run(run_with_sync(scenario))
