import asyncio
import random

from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.vm_rows import VmRows
from endivelug.platform.store import PlatformStore
from forwarding_builders import LogRecorder
from store_standin import running_store


def make_rows(store, seed):
    pool = ConnectionPool(clock=asyncio.get_running_loop().time)
    return VmRows(
        store=PlatformStore(address=store.address, pool=pool),
        table="endivelug",
        rng=random.Random(seed),
        log=LogRecorder(),
    )


async def join(store, number):
    return await make_rows(store, number).join(
        f"vm{number}", address=f"127.0.0.1:{number}", data_centre="dc1", cores=0.5
    )


# Guards against calls to the store that grow with attempts at the same secret, when all
# VMs of a large deployment start at once; each call is priced, and the store refuses
# those beyond its rate.
def test_vms_that_start_together_agree_on_a_secret_with_few_calls():
    async def run():
        async with running_store() as store:
            joined = await asyncio.gather(
                *(join(store, number) for number in range(12))
            )
            assert len({item.secret for item in joined}) == 1
            assert all(len(item.vms) == 12 for item in joined)
            assert {item.cores for item in joined[0].vms} == {0.5}
            assert len(store.request_paths) <= 3 * 12 + 2

    asyncio.run(run())


# Guards against VMs that wait forever for the secret if the one that registered first
# has gone.
def test_another_vm_creates_the_secret_if_the_first_has_gone():
    async def run():
        async with running_store() as store:
            rows = make_rows(store, 1)
            await rows.store.write([rows.make_registration("gone", "a:1", "dc1", 1.0)])
            joined = await join(store, 2)
            assert len(joined.secret) == 32

    asyncio.run(run())


# Guards against rows of an earlier version, which have no capacity.
def test_a_registration_without_capacity_is_read():
    async def run():
        async with running_store() as store:
            store.put("endivelug", "vm/old", bytes.fromhex("8263613a3163646331"))
            (old,) = await make_rows(store, 1).list_vms()
            assert (old.address, old.data_centre, old.cores) == ("a:1", "dc1", 0.0)

    asyncio.run(run())
