import asyncio
import random

from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease, parse_lease
from endivelug.table import Put, Row, TransactionResult


class SlowRows:
    """One row whose writes take a moment."""

    def __init__(self):
        self.row = None

    async def get(self, key):
        return self.row

    async def run(self, transaction):
        (write,) = transaction.success
        assert isinstance(write, Put)
        await asyncio.sleep(0.05)
        revision = self.row.mod_revision + 1 if self.row else 1
        self.row = Row(key=write.key, value=write.value, mod_revision=revision)
        return TransactionResult(succeeded=True, rows=[], nested=[])


# Guards against a renewal in progress that takes the lease again after a resignation:
# the stopping holder then kept it for seconds and gave no orders.
def test_a_resignation_waits_for_the_renewal_in_progress():
    async def run():
        rows = SlowRows()
        lease = Lease(
            data_centre="all",
            vm="vm1",
            lease_s=1.0,
            clock_bound_s=0.1,
            order_timeout_s=0.0,
        )
        keeper = LeaseKeeper(
            table=rows, lease=lease, renew_s=0.01, rng=random.Random(1)
        )
        task = asyncio.create_task(keeper.run())
        for delay_s in (0.08, 0.02):
            await asyncio.sleep(delay_s)
        await keeper.resign()
        await asyncio.sleep(0.2)
        assert parse_lease(rows.row.value).holder == ""
        assert lease.remaining_s(keeper.clock()) == 0.0
        assert task.done()

    asyncio.run(run())
