import asyncio

import pytest

from lease_builders import LEASE_S, Clock, make_keeper
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
