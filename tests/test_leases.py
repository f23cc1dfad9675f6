import asyncio
import random
import time

import pytest

from builders import serving_platform
from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease, lease_key, parse_lease
from endivelug.transactions import (
    Row,
    TransactionResult,
)


def make_lease(vm="vm1"):
    return Lease(
        data_centre="dc1", vm=vm, lease_s=10.0, clock_bound_s=0.5, order_timeout_s=4.0
    )


def make_row(value):
    return Row(key=lease_key("dc1"), value=value, mod_revision=1)


SUCCEEDED = TransactionResult(succeeded=True, rows=[], nested=[])


def make_held_lease(now=0.0):
    lease = make_lease()
    lease.observe(None, now)
    write = lease.next_write(now, nonce=b"1")
    lease.apply_result(write, SUCCEEDED, now + 1.0)
    return lease, write


# Guards F7: the holder counts the lease from before its write, and sends an order only
# if the order ends within the remaining time.
def test_holder_counts_the_lease_from_before_its_write():
    lease, _ = make_held_lease()
    assert lease.remaining_s(9.0) == 1.0 and lease.remaining_s(11.0) == 0.0
    assert lease.may_send(5.4, checks_fencing=False)
    assert not lease.may_send(5.6, checks_fencing=False)
    assert lease.may_send(9.9, checks_fencing=True)
    assert not lease.may_send(10.1, checks_fencing=True)


def test_candidate_counts_from_its_first_read_of_the_row_and_then_waits():
    _, write = make_held_lease()
    candidate = make_lease("vm2")
    assert candidate.next_write(0.0, nonce=b"2") is None  # it has not yet read the row
    candidate.observe(make_row(write.record.encode()), 3.0)
    candidate.observe(make_row(write.record.encode()), 13.0)
    assert candidate.next_write(13.5, nonce=b"2") is None
    takeover = candidate.next_write(13.6, nonce=b"3")
    assert takeover.record.fencing == 2
    candidate.apply_result(takeover, SUCCEEDED, 13.7)
    assert not candidate.may_order(18.0) and candidate.may_order(18.2)


# Guards F6: after a write without a response the holder assumes neither that it was
# applied nor that it was not, and reads the row back.
@pytest.mark.parametrize("applied", [True, False])
def test_unanswered_renewal_is_read_back(applied):
    lease, first = make_held_lease()
    renewal = lease.next_write(3.0, nonce=b"2")
    lease.invalidate()
    assert lease.next_write(4.0, nonce=b"3") is None
    lease.observe(make_row((renewal if applied else first).record.encode()), 4.0)
    assert lease.remaining_s(4.0) == (9.0 if applied else 6.0)


def test_row_of_another_holder_ends_the_lease_and_late_own_writes_are_ignored():
    lease, write = make_held_lease()
    resignation = lease.resignation_write(1.0, nonce=b"2")
    lease.invalidate()
    lease.observe(make_row(write.record.encode()), 1.0)
    assert lease.remaining_s(1.0) == 0.0 and resignation.record.holder == ""
    lease, write = make_held_lease()
    candidate = make_lease("vm2")
    candidate.observe(make_row(resignation.record.encode()), 2.0)
    takeover = candidate.next_write(2.0, nonce=b"3")
    assert takeover.record.fencing == 2 and takeover.ready_at == 2.0
    lease.observe(make_row(takeover.record.encode()), 3.0)
    assert lease.remaining_s(3.0) == 0.0 and lease.fencing == 0


def test_unknown_version_of_the_record_is_rejected():
    with pytest.raises(ValueError, match="update this VM"):
        parse_lease(b"\x81\x02")


def test_keeper_takes_over_after_the_holder_stops():
    async def run():
        async with serving_platform(timeout_s=0.2) as (state, _, table):
            keepers = [
                LeaseKeeper(
                    table=table,
                    lease=Lease(
                        data_centre="dc1",
                        vm=vm,
                        lease_s=0.4,
                        clock_bound_s=0.05,
                        order_timeout_s=0.1,
                    ),
                    renew_s=0.1,
                    rng=random.Random(vm),
                )
                for vm in ("vm1", "vm2")
            ]
            state.faults.lose_answers = 1
            tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
            await asyncio.sleep(0.3)
            fencing_numbers = [keeper.lease.fencing for keeper in keepers]
            assert sorted(fencing_numbers) == [0, 1]
            holder = fencing_numbers.index(1)
            tasks[holder].cancel()
            deadline = time.monotonic() + 5
            candidate = keepers[1 - holder]
            while not candidate.lease.may_order(candidate.clock()):
                assert time.monotonic() < deadline
                await asyncio.sleep(0.02)
            assert candidate.lease.fencing == 2
            assert keepers[holder].lease.remaining_s(candidate.clock()) == 0.0
            tasks[1 - holder].cancel()

    asyncio.run(run())
