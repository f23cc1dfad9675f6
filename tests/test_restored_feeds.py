"""Feeds of a store that comes back from an older copy."""

import asyncio
import contextlib
import itertools
import random
import time

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.row_store import RowPage
from endivelug.forwarding.state_sync import (
    EXPIRE_S,
    FEED_WAIT_S,
    HEARTBEAT_PAUSE_MAX_S,
    HEARTBEAT_PAUSE_MIN_S,
    INSTANCES_PER_PAUSE_S,
    StateSync,
)
from endivelug.platform.records import PlatformRecords
from endivelug.platform.store import PlatformStore
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    configuration_document,
    make_view,
    registration_document,
    stored_row,
)
from router_process import wait_until
from store_standin import running_store


@contextlib.asynccontextmanager
async def following_vm():
    """Run a VM that follows the stand-in of the store."""
    log, pool = LogRecorder(), ConnectionPool(clock=time.monotonic)
    view = ClusterView(records=PlatformRecords(), clock=time.monotonic, log=log)
    async with running_store() as standin, asyncio.timeout(20):
        standin.era = 0
        standin.put("op", "config", configuration_document(version=4))
        standin.put("servers", "e1", registration_document())
        store = PlatformStore(address=standin.address, pool=pool)
        sync = StateSync(store=store, view=view, rng=random.Random(1), log=log)
        job = asyncio.create_task(sync.run())
        try:
            await wait_until(lambda: view.complete)
            yield standin, view, log
        finally:
            job.cancel()
            await asyncio.gather(job, return_exceptions=True)
            pool.close()


def run_with_vm(scenario):
    async def run():
        async with following_vm() as (standin, view, log):
            await scenario(standin, view, log)

    asyncio.run(run())


async def wait_for_configuration(view, number):
    """Wait as long as a configuration may take until it is in force."""
    await wait_until(lambda: view.configuration.version == number, 2.0)


# Guards against a configuration that no VM applies after a restoration, because its
# version was given out before (incident "restored store").
def test_a_configuration_confirmed_after_a_restoration_comes_into_force():
    async def scenario(standin, view, log):
        copy = standin.take_copy()
        for number in (8, 11):
            document = configuration_document(version=number)
            standin.put("op", "config", document)
            await wait_for_configuration(view, number)
        for _ in range(2):
            standin.restore(copy)
        standin.put("op", "config", configuration_document(version=14))
        await wait_for_configuration(view, 14)
        numbers = [
            fields["version"]
            for event, fields in log.lines
            if event == "configuration-in-force"
        ]
        assert numbers == [4, 8, 11, 14]

    run_with_vm(scenario)


# Guards against a feed that goes on from a version that was given out again: the rows
# below it were never read.
def test_no_row_is_skipped_if_versions_were_given_out_again():
    async def scenario(standin, view, log):
        copy = standin.take_copy()
        standin.put("op", "config", configuration_document(version=8))
        await wait_for_configuration(view, 8)
        standin.fail_with = 503
        await wait_until(lambda: "dependency-lost" in log.events())
        standin.restore(copy)
        standin.put("op", "config", configuration_document(version=14))
        for _ in range(5):
            standin.put("servers", "e2", registration_document(address="127.0.0.1:2"))
        standin.fail_with = None
        await wait_for_configuration(view, 14)
        await wait_until(lambda: view.registry.get("e2") is not None)

    run_with_vm(scenario)


class TwoEraStore:
    """Store whose answers a test sets; a feed of the table ``op`` waits for ever."""

    def __init__(self):
        self.era = 0
        self.reads = []
        self.rows = {"op": [], "servers": []}

    async def read(self, table, **bounds):
        await asyncio.sleep(0.01)
        self.reads.append((table, self.era))
        self.on_answer(self.era)
        return RowPage(rows=self.rows[table], version=10, era=self.era)

    async def changes(self, table, *, after, wait_s):
        await asyncio.sleep(30.0 if table == "op" else 0.01)
        self.on_answer(self.era)
        return RowPage(rows=self.rows[table], version=12, era=self.era)


async def run_with_store(scenario):
    store, view = TwoEraStore(), make_view(ManualClock())
    sync = StateSync(store=store, view=view, rng=random.Random(1), log=LogRecorder())
    job = asyncio.create_task(sync.run())
    try:
        async with asyncio.timeout(10):
            await wait_until(lambda: len(store.reads) == 2)
            await scenario(store, view, sync)
    finally:
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)


# Guards against a new configuration that waits for the end of a long poll, although
# another answer or a peer has shown that the store was restored.
def test_a_newer_era_in_any_answer_ends_all_long_polls():
    async def scenario(store, view, sync):
        store.era = 1
        await wait_until(lambda: ("op", 1) in store.reads, FEED_WAIT_S / 4)
        store.era = 2
        view.eras.observe(2)
        await wait_until(lambda: ("op", 2) in store.reads, FEED_WAIT_S / 4)

    asyncio.run(run_with_store(scenario))


# Guards against a new configuration that waits for the end of a pause after heartbeats,
# although a peer has shown that the store was restored.
def test_a_newer_era_ends_the_pause_after_heartbeats():
    async def scenario(store, view, sync):
        heartbeat = registration_document(seq=7)
        store.rows["servers"] = [stored_row("servers", "e1", heartbeat, 12)]
        await asyncio.sleep(HEARTBEAT_PAUSE_MIN_S / 2)
        store.era = 1
        view.eras.observe(1)
        limit_s = HEARTBEAT_PAUSE_MIN_S / 3
        await wait_until(lambda: ("servers", 1) in store.reads, limit_s)

    asyncio.run(run_with_store(scenario))


# Guards against applying an answer of the former era that comes late.
def test_an_answer_of_the_former_era_is_dropped():
    async def scenario(store, view, sync):
        view.eras.observe(1)
        late = registration_document(address="127.0.0.1:9")
        store.rows["servers"] = [stored_row("servers", "late", late, 11)]
        await wait_until(lambda: "servers" in sync.lost_since)
        assert view.registry.get("late") is None
        store.era = 1
        await wait_until(lambda: sync.connected)

    asyncio.run(run_with_store(scenario))


async def send_heartbeats(standin):
    for sequence in itertools.count(2):
        standin.put("servers", "e1", registration_document(seq=sequence))
        await asyncio.sleep(0.05)


# Guards against dropping an upstream that registers again in its time after a
# restoration, because the feed pauses after the heartbeats of the others.
def test_an_upstream_that_registers_late_in_its_time_is_kept():
    async def scenario(standin, view, log):
        # With so many the feed pauses for the longest time.
        for number in range(int(INSTANCES_PER_PAUSE_S * HEARTBEAT_PAUSE_MAX_S)):
            address = f"127.0.0.1:{number + 100}"
            standin.put("servers", address, registration_document(address=address))
        copy = standin.take_copy()
        other = registration_document(address="127.0.0.1:2")
        standin.put("servers", "e2", other)
        await wait_until(lambda: view.registry.get("e2") is not None)
        standin.restore(copy)
        await wait_until(lambda: not view.registry.entries["e2"].registered)
        registers_at = view.registry.provisional_until - 0.25
        job = asyncio.create_task(send_heartbeats(standin))
        await asyncio.sleep(registers_at - time.monotonic())
        standin.put("servers", "e2", other)
        await asyncio.sleep(2 * EXPIRE_S + 0.25)
        job.cancel()
        assert "instance-gone" not in log.events()
        assert view.registry.entries["e2"].registered

    run_with_vm(scenario)
