import asyncio

import pytest

from endivelug.transactions import TableVersion, TransactionResult
from lease_builders import (
    ERA_WAIT_S,
    HANDOVER_GAP_S,
    LEASE_ROW,
    LEASE_S,
    Clock,
    make_keeper,
    may_order,
)
from store_standin import running_store


async def acquire(keeper, clock):
    """Acquire the lease once the one of the last holder has expired."""
    while not keeper.lease.fencing:
        await keeper.renew_or_acquire()
        clock.now += 2 * LEASE_S


# Guards against fencing numbers that go back with the store: engines refused every
# order of the next holder.
@pytest.mark.parametrize("kept", ["nothing", "an older holder"])
def test_fencing_numbers_go_on_rising_after_restorations(kept):
    async def run():
        async with running_store() as store:
            store.era, clock, numbers = 1, Clock(), []
            copy = store.take_copy()
            for number in range(12):
                keeper = make_keeper(store, f"vm{number}", clock)
                await acquire(keeper, clock)
                numbers.append(keeper.lease.fencing)
                if number == 1 and kept == "an older holder":
                    copy = store.take_copy()
                if number % 5 == 4:
                    store.restore(copy)
            assert numbers == sorted(set(numbers))
            assert numbers[0] > 0 and numbers[-1] < 2**53

    asyncio.run(run())


# Guards against a change of numbers where the store names no era.
def test_a_store_without_eras_counts_holders():
    async def run():
        async with running_store() as store:
            clock = Clock()
            for number in range(3):
                keeper = make_keeper(store, f"vm{number}", clock)
                await acquire(keeper, clock)
                assert keeper.lease.fencing == number + 1

    asyncio.run(run())


async def holding(store, vm, clock):
    """Return the keeper of a VM that holds the lease and may order."""
    keeper = make_keeper(store, vm, clock)
    await acquire(keeper, clock)
    while not may_order(keeper):
        await keeper.renew_or_acquire()
        clock.now += 1.0
    return keeper


async def assert_one_orders(keepers, clock, *, unaware):
    """Check that an unaware holder and the others never may order together."""
    ended_at = clock.now
    while not any(may_order(keeper) for keeper in keepers):
        if unaware.lease.remaining_s(clock.now) > 0:
            ended_at = clock.now
        for keeper in keepers:
            await keeper.renew_or_acquire()
        clock.now += 0.25
    assert clock.now - ended_at >= HANDOVER_GAP_S


# Guards against a lease that two VMs hold for a moment after a restoration: the copy
# says that the holder resigned or has expired, while one whose lease was lost with the
# copy is paused or does not know yet.
@pytest.mark.parametrize("kept", ["resignation", "older holder"])
def test_nobody_orders_while_a_lost_lease_may_be_held(kept):
    async def run():
        async with running_store() as store:
            store.era, clock = 1, Clock()
            former = await holding(store, "vm1", clock)
            if kept == "resignation":
                await former.resign()
            candidate = make_keeper(store, "vm3", clock)
            await candidate.renew_or_acquire()
            if kept == "resignation":
                await candidate.resign()
            copy = store.take_copy()
            clock.now += 2 * LEASE_S
            unaware = await holding(store, "vm2", clock)
            store.restore(copy)
            await assert_one_orders([candidate], clock, unaware=unaware)

    asyncio.run(run())


# Guards against an order lease that is acquired at once because its row was lost, by a
# VM that knew the former era or by one that has just started.
@pytest.mark.parametrize("starts", [True, False])
def test_a_lost_row_does_not_mean_a_free_lease(starts):
    async def run():
        async with running_store() as store:
            store.era, clock, copy = 1, Clock(), store.take_copy()
            unaware = await holding(store, "vm1", clock)
            candidate = make_keeper(store, "vm2", clock)
            if not starts:
                await candidate.renew_or_acquire()
            store.restore(copy)
            await assert_one_orders([candidate], clock, unaware=unaware)

    asyncio.run(run())


# Guards against a VM that takes over from one that resigned before it could order,
# while the lease that was lost with the copy is still held.
def test_a_resignation_does_not_end_the_wait_for_a_lost_lease():
    async def run():
        async with running_store() as store:
            store.era, clock, copy = 1, Clock(), store.take_copy()
            unaware = await holding(store, "vm1", clock)
            store.restore(copy)
            second = make_keeper(store, "vm2", clock)
            await second.renew_or_acquire()
            await second.resign()
            third = make_keeper(store, "vm3", clock)
            await assert_one_orders([third], clock, unaware=unaware)

    asyncio.run(run())


# Guards against VMs that wait longer than a lost lease may be held.
def test_a_lease_is_usable_soon_after_a_restoration():
    async def run():
        async with running_store() as store:
            store.era, clock, copy = 1, Clock(), store.take_copy()
            keepers = [await holding(store, "vm1", clock)]
            keepers.append(make_keeper(store, "vm2", clock))
            store.restore(copy)
            restored_at = clock.now
            clock.now += LEASE_S
            while not any(may_order(keeper) for keeper in keepers):
                for keeper in keepers:
                    await keeper.renew_or_acquire()
                clock.now += 0.25
            assert clock.now - restored_at <= LEASE_S + ERA_WAIT_S + 1.0

    asyncio.run(run())


# Guards against a renewal or an acquisition whose condition holds by chance in a new
# era, as the store gave out the version again: its VM and the one whose row it replaced
# held the lease together.
def test_a_condition_of_a_former_era_does_not_give_the_lease():
    async def run():
        async with running_store() as store:
            store.era, clock, copy = 1, Clock(), store.take_copy()
            former = await holding(store, "vm1", clock)
            store.restore(copy)
            version = former.table.last_rows[former.lease.key].mod_revision
            second = make_keeper(store, "vm2", clock)
            await second.renew_or_acquire()
            while store.version < version:
                await second.renew_or_acquire()
            assert store.rows[LEASE_ROW][1] == version
            numbers = (former.lease.fencing, second.lease.fencing)
            remaining_s = former.lease.remaining_s(clock.now)
            await former.renew_or_acquire()
            assert b"vm1" in store.rows[LEASE_ROW][0]
            assert former.lease.remaining_s(clock.now) <= remaining_s
            await former.renew_or_acquire()
            assert former.lease.remaining_s(clock.now) == 0.0
            while former.lease.fencing <= max(numbers):
                await former.renew_or_acquire()
                clock.now += 1.0
            assert second.lease.remaining_s(clock.now) == 0.0

    asyncio.run(run())


# Guards against a write without an answer that is done in a new era and then read back
# by its VM, while the VM whose row it replaced may order.
def test_a_write_of_a_former_era_that_is_read_back_does_not_give_the_lease():
    async def run():
        async with running_store() as store:
            store.era, clock, copy = 1, Clock(), store.take_copy()
            late = make_keeper(store, "vm1", clock)
            store.lose_answers = True
            await late.renew_or_acquire()
            row = store.rows[LEASE_ROW]
            store.lose_answers = False
            store.restore(copy)
            store.rows[LEASE_ROW] = row
            await late.renew_or_acquire()
            assert late.lease.fencing == 0

    asyncio.run(run())


# Guards against a holder that goes on under its old lease when it hears of the new era,
# and against an answer of the former era that arrives after that.
def test_an_answer_of_a_former_era_does_not_give_the_lease():
    async def run():
        async with running_store() as store:
            store.era, clock = 1, Clock()
            keeper = await holding(store, "vm1", clock)
            write = keeper.lease.next_write(clock.now, nonce=b"1")
            keeper.lease.meet_era(2, clock.now)
            assert keeper.lease.fencing == 0
            result = TransactionResult(succeeded=True, rows=[], nested=[])
            former = TableVersion(era=1, revision=9)
            keeper.lease.apply_result(write, result, clock.now, former)
            assert keeper.lease.fencing == 0 and not keeper.lease.row_is_fresh
            keeper.lease.observe(None, clock.now, former)
            assert not keeper.lease.row_is_fresh

    asyncio.run(run())
