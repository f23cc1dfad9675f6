import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import replace

from measurements._virtual_loop import VirtualLoop

from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.restored_vm_rows import RestoredVmRows
from endivelug.forwarding.row_store import RowPage, StoredRow, WriteResult
from endivelug.forwarding.store_eras import StoreEras
from endivelug.forwarding.vm_rows import VmRows
from endivelug.links import Identity
from endivelug.platform.store import PlatformStore
from forwarding_builders import LogRecorder
from router_process import wait_until
from store_standin import running_store


class RecordingStore:
    """Store that was restored from an empty copy, and records when it is called."""

    def __init__(self, calls):
        self.calls = calls
        self.rows = {}

    def _record(self, kind):
        self.calls.append((kind, asyncio.get_running_loop().time()))

    async def read(self, table, *, first="", last=""):
        self._record("read")
        rows = [row for key, row in self.rows.items() if first <= key < last]
        return RowPage(rows=rows, version=len(self.rows), era=2)

    async def write(self, writes):
        self._record("write")
        (write,) = writes
        if write.key in self.rows:
            return WriteResult(done=False, version=0, era=2)
        version = len(self.rows) + 1
        self.rows[write.key] = StoredRow(
            table=write.table, key=write.key, value=write.value, version=version, era=2
        )
        return WriteResult(done=True, version=version, era=2)


class JoinedVm:
    """A VM that has joined and restores its rows."""

    def __init__(self, store, number):
        self.name = f"vm{number}"
        self.number = number
        self.log = LogRecorder()
        loop = asyncio.get_running_loop()
        self.eras = StoreEras()
        client = PlatformStore(
            address=store.address, pool=ConnectionPool(clock=loop.time)
        )
        client.on_answer = self.eras.observe
        self.rows = VmRows(
            store=client, table="endivelug", rng=random.Random(number), log=self.log
        )
        self.identity = Identity(
            vm=self.name, data_centre="dc1", role="router", incarnation=1, secret=b""
        )
        self.restored = RestoredVmRows(
            identity=self.identity,
            rows=self.rows,
            eras=self.eras,
            vms=lambda: 3,
            rng=random.Random(number),
            log=self.log,
        )
        self.task = None

    async def join(self):
        """Register and start to restore rows; return the version of the row."""
        own = RegisteredVm(
            name=self.name,
            address=f"127.0.0.1:{self.number}",
            data_centre="dc1",
            joined=0,
            cores=0.5,
        )
        joined = await self.rows.join(
            own.name, address=own.address, data_centre="dc1", cores=0.5
        )
        self.identity.secret = joined.secret
        own = replace(own, joined=joined.version.number, joined_era=joined.version.era)
        self.task = asyncio.create_task(self.restored.run(own))
        return own


@contextlib.asynccontextmanager
async def joined_vms(store, count):
    """Join VMs one after the other, so that they have an order."""
    vms, registered = [JoinedVm(store, number) for number in range(count)], []
    for vm in vms:
        registered.append(await vm.join())
    try:
        yield vms, registered
    finally:
        for vm in vms:
            vm.task.cancel()


# Guards against a VM that nobody lists, because its row was lost with the copy: no VM
# that starts later links to it. Two restorations may follow one another, and the store
# may be away in between.
def test_vms_write_their_lost_rows_again():
    async def run():
        async with running_store() as store:
            store.era, copy = 1, store.take_copy()
            async with joined_vms(store, 3) as (vms, registered):
                for _ in range(2):
                    store.restore(copy)
                    for vm in vms:
                        # From a report of a peer; this VM does not follow the store.
                        vm.eras.observe(store.era)
                    store.fail_with = 503
                    await asyncio.sleep(0.2)
                    store.fail_with = None
                await wait_until(lambda: len(store.rows) >= 4)
                listed = await vms[0].rows.list_vms()
                assert sorted(listed, key=lambda vm: vm.precedence) == registered
                assert "vm-row-restored" in vms[2].log.events()

    asyncio.run(run())


# Guards against rows that are written though the store has them, which costs a write
# for each VM of a large deployment.
def test_rows_that_the_copy_has_are_not_written_again():
    async def run():
        async with running_store() as store:
            store.era = 1
            async with joined_vms(store, 2) as (vms, _):
                store.restore(store.take_copy())
                for vm in vms:
                    vm.eras.observe(store.era)
                calls = len(store.request_paths)
                await asyncio.sleep(1.0)
                assert set(store.request_paths[calls:]) == {"/rows-get"}

    asyncio.run(run())


# Guards against the row of an earlier process, with another address, that came back
# with the copy.
def test_an_older_row_of_the_same_vm_is_replaced():
    async def run():
        async with running_store() as store:
            store.era = 1
            vm = JoinedVm(store, 1)
            earlier = vm.rows.make_registration(vm.name, "127.0.0.1:9", "dc1", 0.5)
            await vm.rows.store.write([earlier])
            copy = store.take_copy()
            own = await vm.join()
            store.restore(copy)
            vm.eras.observe(store.era)
            await wait_until(lambda: "vm-row-restored" in vm.log.events())
            assert await vm.rows.list_vms() == [own]
            vm.task.cancel()

    asyncio.run(run())


# Guards against a row that is lost while its VM registers, where the feed named the new
# era before the answer to the registration came.
def test_a_row_that_was_lost_before_its_answer_came_is_written_again():
    async def run():
        async with running_store() as store:
            store.era, copy, vm = 1, store.take_copy(), JoinedVm(store, 1)
            vm.eras.observe(2)
            joining = asyncio.create_task(vm.join())
            await wait_until(lambda: store.rows)
            store.restore(copy)
            own = await joining
            await wait_until(lambda: "vm-row-restored" in vm.log.events())
            assert await vm.rows.list_vms() == [own]
            vm.task.cancel()

    asyncio.run(run())


# Guards against VMs with different secrets after a restoration during which they start,
# stop to reach the store, or write at the same time.
def test_all_vms_agree_on_one_secret_after_any_restoration():
    async def run():
        async with running_store() as store:
            store.era, empty = 1, store.take_copy()
            async with joined_vms(store, 3) as (vms, _):
                for _ in range(2):
                    store.restore(empty)
                    unaware, *aware = vms
                    for vm in aware:
                        vm.eras.observe(store.era)
                    late = JoinedVm(store, len(vms))
                    vms.append(late)
                    store.lose_answers = True
                    await asyncio.sleep(0.4)
                    store.lose_answers = False
                    await late.join()
                    unaware.eras.observe(store.era)
                await asyncio.sleep(2.0)
                assert len({vm.identity.secret for vm in vms}) == 1
                assert len(await vms[0].rows.list_vms()) == 5

    asyncio.run(run())


# Guards against calls of a large deployment that exceed the limits of the store: 2,000
# reads a second, and 150 transactions a second in one part of a table.
def test_the_calls_of_490_vms_are_spread():
    async def scenario():
        calls = []
        client = RecordingStore(calls)
        tasks = []
        for number in range(490):
            eras = StoreEras()
            eras.observe(1)
            restored = RestoredVmRows(
                identity=Identity(
                    vm="vm", data_centre="d", role="router", incarnation=1, secret=b"1"
                ),
                rows=VmRows(
                    store=client,
                    table="t",
                    rng=random.Random(number),
                    log=LogRecorder(),
                ),
                eras=eras,
                vms=lambda: 490,
                rng=random.Random(number),
                log=LogRecorder(),
            )
            own = RegisteredVm(
                name=f"vm{number}", address="a:1", data_centre="d", joined=number
            )
            tasks.append(asyncio.create_task(restored.run(own)))
            eras.observe(2)
        await asyncio.sleep(30.0)
        for task in tasks:
            task.cancel()
        for kind, limit in (("read", 2000 / 2), ("write", 150 / 2)):
            seconds = Counter(int(at) for name, at in calls if name == kind)
            assert 0 < max(seconds.values()) < limit
        writes = [name for name, _ in calls if name == "write"]
        assert 490 <= len(writes) <= 500

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario())


# Guards against VMs that change their order as relays, because the rows of some were in
# the copy and others were written again.
def test_vms_keep_their_order_if_the_copy_has_some_of_their_rows():
    async def run():
        async with running_store() as store:
            store.era = 1
            async with joined_vms(store, 2) as (vms, _):
                copy = store.take_copy()
                late = JoinedVm(store, 2)
                await late.join()
                store.restore(copy)
                for vm in (*vms, late):
                    vm.eras.observe(store.era)
                await wait_until(lambda: ("endivelug", "vm/vm2") in store.rows)
                late.task.cancel()
                listed = await vms[0].rows.list_vms()
                in_order = sorted(listed, key=lambda vm: vm.precedence)
                assert [vm.name for vm in in_order] == ["vm0", "vm1", "vm2"]

    asyncio.run(run())
