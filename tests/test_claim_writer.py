import asyncio
import random
import time

import pytest

from builders import serving_platform
from endivelug.claim_writer import ClaimWriter, purge_claims
from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.transactions import (
    Absent,
    Put,
    Transaction,
)


def put_once(key, value=b"v"):
    return Transaction(
        conditions=[Absent(key=key)], success=[Put(key=key, value=value)]
    )


def run_with_writer(body, **options):
    async def run():
        async with serving_platform(timeout_s=0.2) as (state, _, table):
            writer = ClaimWriter(table=table, rng=random.Random(1), **options)
            try:
                await body(state, writer)
            finally:
                writer.close()

    asyncio.run(run())


# Guards against one table write per claim, and against a batch that writes a key twice.
def test_concurrent_transactions_share_writes_unless_their_keys_collide():
    async def body(state, writer):
        deadline = time.monotonic() + 5
        names = [f"k{number}" for number in range(100)] + ["k0"]
        results = await asyncio.gather(
            *(writer.run(put_once(name), deadline=deadline) for name in names)
        )
        assert sum(result.succeeded for result in results) == 100
        assert state.writes <= 3 and writer.transactions == 101

    run_with_writer(body)


def test_lost_response_is_retried_and_outage_differs_from_unknown():
    async def body(state, writer):
        state.faults.lose_answers = 1
        deadline = time.monotonic() + 5
        # The retry does not succeed, because the first write created the key.
        assert not (await writer.run(put_once("a"), deadline=deadline)).succeeded
        state.faults.outage_until = time.monotonic() + 60
        with pytest.raises(TableUnavailable):
            await writer.run(put_once("b"), deadline=time.monotonic() + 0.2)
        state.faults.outage_until = 0.0
        state.faults.delay_s = 0.5
        with pytest.raises(TableOutcomeUnknown):
            await writer.run(put_once("c"), deadline=time.monotonic() + 0.1)

    run_with_writer(body)


# Guards against losing an outcome in an outage that outlasts every deadline.
def test_background_write_outlasts_an_outage():
    async def body(state, writer):
        state.faults.outage_until = time.monotonic() + 0.5
        written = writer.run_in_background(put_once("a"))
        assert await writer.drain(deadline=time.monotonic() + 0.1) == 1
        assert await writer.drain(deadline=time.monotonic() + 10) == 0
        assert written.result().succeeded and "a" in state.table.values

    run_with_writer(body)


# Guards against a VM whose clock is days ahead and that deletes claims still in use.
def test_purge_keeps_two_days_and_distrusts_a_clock_that_is_ahead():
    async def body(state, writer):
        deadline = time.monotonic() + 5
        for day in ("1970-01-08", "1970-01-09", "1970-01-10"):
            await writer.run(put_once(f"claim/{day}/o/x"), deadline=deadline)
        assert not await purge_claims(writer.table, now=20 * 86400.0)
        assert await purge_claims(writer.table, now=10 * 86400.0)
        assert [key[6:16] for key in state.table.keys] == ["1970-01-09", "1970-01-10"]

    run_with_writer(body)
