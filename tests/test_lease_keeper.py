import asyncio
import random

from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease, parse_lease
from endivelug.transactions import (
    Put,
    Row,
    TableVersion,
    TransactionResult,
)


class SlowTable:
    """Table with one row, whose writes take 0.05 s."""

    def __init__(self):
        self.row = None
        self.version = TableVersion()

    async def get(self, key):
        return self.row

    async def run(self, transaction):
        (write,) = transaction.success
        assert isinstance(write, Put)
        await asyncio.sleep(0.05)
        revision = self.row.mod_revision + 1 if self.row else 1
        self.row = Row(key=write.key, value=write.value, mod_revision=revision)
        return TransactionResult(succeeded=True, rows=[], nested=[])


# Guards against a renewal in progress that acquires the lease again after the holder
# has resigned: the stopping holder then kept it for seconds and sent no orders.
def test_a_resignation_waits_for_the_renewal_in_progress():
    async def run():
        table = SlowTable()
        lease = Lease(
            data_centre="all",
            vm="vm1",
            lease_s=1.0,
            clock_bound_s=0.1,
            order_timeout_s=0.0,
        )
        keeper = LeaseKeeper(
            table=table, lease=lease, renew_s=0.01, rng=random.Random(1)
        )
        task = asyncio.create_task(keeper.run())
        for delay_s in (0.08, 0.02):
            await asyncio.sleep(delay_s)
        await keeper.resign()
        await asyncio.sleep(0.2)
        assert parse_lease(table.row.value).holder == ""
        assert lease.remaining_s(keeper.clock()) == 0.0
        assert task.done()

    asyncio.run(run())
