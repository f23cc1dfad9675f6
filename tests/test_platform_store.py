import asyncio
import time

import pytest

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.row_store import HistoryLost, RowWrite
from endivelug.leases import Lease
from endivelug.platform.lease_table import ROUTER_TABLE, LeaseTable
from endivelug.platform.store import PlatformStore
from store_standin import StoreCopy, running_store


def run_with_store(scenario):
    async def run():
        pool = ConnectionPool(clock=time.monotonic)
        async with running_store() as store_standin, asyncio.timeout(10):
            store = PlatformStore(
                address=store_standin.address, pool=pool, timeout_s=0.3
            )
            await scenario(store, store_standin)
        pool.close()

    asyncio.run(run())


# Guards against losing changes between the first read of a table and its feed.
def test_the_feed_continues_where_the_read_ended():
    async def scenario(store, store_standin):
        store_standin.put("t", "a", {"n": 1})
        page = await store.read("t")
        assert [row.key for row in page.rows] == ["a"]
        store_standin.put("t", "b", {"n": 2})
        store_standin.remove("t", "a")
        changed = await store.changes("t", after=page.version, wait_s=1.0)
        assert [(row.key, row.removed) for row in changed.rows] == [
            ("b", False),
            ("a", True),
        ]

    run_with_store(scenario)


# Guards against missing changes after the store has dropped its change history.
def test_a_lost_change_history_raises_an_error():
    async def scenario(store, store_standin):
        store_standin.put("t", "a", {})
        store_standin.drop_history()
        with pytest.raises(HistoryLost):
            await store.changes("t", after=0, wait_s=0.1)

    run_with_store(scenario)


# Guards against reporting a refused write as one that may have been applied.
@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_request_had_no_effect(status):
    async def scenario(store, store_standin):
        store_standin.fail_with = status
        write = RowWrite(table="t", key="a", value=b"1", expected_version=0)
        with pytest.raises(TableUnavailable):
            await store.write([write])
        with pytest.raises(TableUnavailable):
            await store.read("t")

    run_with_store(scenario)


# Guards against reporting a write whose response was lost as refused.
def test_a_lost_response_leaves_the_outcome_unknown():
    async def scenario(store, store_standin):
        store_standin.lose_answers = True
        write = RowWrite(table="t", key="a", value=b"1", expected_version=0)
        with pytest.raises(TableOutcomeUnknown):
            await store.write([write])
        assert ("t", "a") in store_standin.rows

    run_with_store(scenario)


# Guards against taking a row of the store's copy for one of the time before.
def test_rows_and_pages_name_the_era_of_the_answer():
    async def scenario(store, store_standin):
        eras = []
        store.on_answer = eras.append
        store_standin.put("t", "a", {"n": 1})
        before = await store.read("t")
        store_standin.restore(store_standin.take_copy())
        page = await store.read("t")
        assert (before.era, page.era, page.rows[0].era) == (0, 1, 1)
        assert page.rows[0].store_version > before.rows[0].store_version
        write = RowWrite(table="t", key="b", value=b"1", expected_version=0)
        assert (await store.write([write])).era == 1
        assert eras == [0, 1, 1]

    run_with_store(scenario)


# Guards against a VM that meets a newer era late, because the store refuses its calls.
def test_a_refusal_of_the_store_tells_its_era():
    async def scenario(store, store_standin):
        eras = []
        store.on_answer = eras.append
        store_standin.era, store_standin.fail_with = 3, 503
        with pytest.raises(TableUnavailable):
            await store.read("op")
        assert eras == [3]

    run_with_store(scenario)


# Guards against taking a row that was lost for the one that got its version afterwards.
def test_a_condition_of_a_former_era_leaves_the_outcome_unknown():
    async def scenario(store, store_standin):
        store_standin.put("t", "a", b"lost")
        (row,) = (await store.read("t")).rows
        store_standin.restore(StoreCopy(rows={}, version=0))
        store_standin.put("t", "a", b"other")
        write = RowWrite(
            table="t",
            key="a",
            value=b"1",
            expected_version=row.version,
            expected_era=row.era,
        )
        with pytest.raises(TableOutcomeUnknown):
            await store.write([write])

    run_with_store(scenario)


# Guards against mixing the rows of two eras in one table.
def test_a_read_whose_pages_are_of_two_eras_begins_again():
    async def scenario(store, store_standin):
        store_standin.page_rows = 2
        for key in "abc":
            store_standin.put("t", key, {})
        copy = StoreCopy(rows={}, version=0)
        store_standin.after_answer = lambda: store_standin.restore(copy)
        page = await store.read("t")
        assert (page.rows, page.era) == ([], 1)

    run_with_store(scenario)


# Guards against an error in the header that is taken for an era.
@pytest.mark.parametrize("text", ["", "-1", "1.0", "x", "9" * 40])
def test_an_answer_with_a_malformed_era_is_unusable(text):
    async def scenario(store, store_standin):
        store_standin.era = text
        with pytest.raises(TableUnavailable):
            await store.read("t")
        with pytest.raises(TableOutcomeUnknown):
            await store.write([RowWrite(table="t", key="a", value=b"1")])

    run_with_store(scenario)


# Guards against waiting forever for a store that is down.
def test_an_unreachable_store_is_unavailable():
    async def run():
        pool = ConnectionPool(clock=time.monotonic)
        store = PlatformStore(address="127.0.0.1:1", pool=pool, timeout_s=0.2)
        with pytest.raises(TableUnavailable):
            await store.read("t")

    asyncio.run(run())


def make_lease(vm):
    return Lease(
        data_centre="all", vm=vm, lease_s=1.0, clock_bound_s=0.1, order_timeout_s=0.0
    )


# Guards against two VMs that hold the order lease at the same time.
def test_only_one_of_two_candidates_acquires_the_lease():
    async def scenario(store, store_standin):
        first, second = make_lease("vm1"), make_lease("vm2")
        tables = LeaseTable(store=store), LeaseTable(store=store)
        for lease, table in zip((first, second), tables, strict=True):
            lease.observe(await table.get(lease.key), 0.0)
        writes = [lease.next_write(0.0, nonce=b"n") for lease in (first, second)]
        for lease, table, write in zip((first, second), tables, writes, strict=True):
            lease.apply_result(write, await table.run(write.transaction), 0.0)
        assert first.may_order(0.1)
        assert not second.may_order(0.1)
        assert (ROUTER_TABLE, first.key) in store_standin.rows

    run_with_store(scenario)


# Guards against a former holder that keeps the lease after another VM has acquired it.
def test_a_renewal_fails_after_another_vm_acquired_the_lease():
    async def scenario(store, store_standin):
        first, second = make_lease("vm1"), make_lease("vm2")
        one, two = LeaseTable(store=store), LeaseTable(store=store)
        first.observe(await one.get(first.key), 0.0)
        write = first.next_write(0.0, nonce=b"a")
        first.apply_result(write, await one.run(write.transaction), 0.0)
        second.observe(await two.get(second.key), 0.0)
        assert second.next_write(0.5, nonce=b"b") is None
        write = second.next_write(1.2, nonce=b"b")
        second.apply_result(write, await two.run(write.transaction), 1.2)
        assert second.fencing == 2
        late = first.next_write(0.9, nonce=b"c")
        first.apply_result(late, await one.run(late.transaction), 1.3)
        assert not first.may_order(1.3)

    run_with_store(scenario)
