import asyncio
import time

import pytest

from builders import config_store, make_lists, serving_platform
from endivelug.config_store import SNAPSHOT_INTERVAL, delta_key, snapshot_name
from endivelug.configuration import Configuration
from endivelug.exceptions import (
    ConfigurationDamaged,
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableUnavailable,
)


def edited_lists(number):
    """Return lists that differ from the lists of any other number."""
    lists = make_lists(organisations=3)
    lists.plans["desk"].tokens_s = 1000.0 + number
    return lists


def run_with_store(check):
    async def run():
        async with serving_platform(timeout_s=0.3) as (state, url, _):
            store = config_store(url, seed=1)
            other = config_store(url, seed=2)
            try:
                await check(state, store, other)
            finally:
                for opened in (store, other):
                    opened.close()

    asyncio.run(run())


def test_edits_are_read_back():
    async def check(state, store, other):
        for number in range(3):
            committed = await store.commit(base=number, lists=edited_lists(number))
            assert committed.revision == number + 1
            assert len(committed.changes) == (5 if number == 0 else 1)
        configuration, head = await other.load()
        assert (configuration.revision, head.revision) == (3, 3)
        assert configuration.lists() == edited_lists(2)
        # Unchanged lists are no edit, whatever their base.
        repeated = await other.commit(base=0, lists=edited_lists(2))
        assert (repeated.revision, repeated.changes) == (3, [])

    run_with_store(check)


# Guards against a lost edit: a second editor who overwrites the edit of the first (F8).
def test_conflict_lists_the_changes_of_the_other_edit():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited_lists(0))
        results = await asyncio.gather(
            store.commit(base=1, lists=edited_lists(1)),
            other.commit(base=1, lists=edited_lists(2)),
            return_exceptions=True,
        )
        conflicts = [item for item in results if isinstance(item, RevisionConflict)]
        assert len(conflicts) == 1
        assert (conflicts[0].expected, conflicts[0].actual) == (1, 2)
        assert len(conflicts[0].changes) == 1
        assert conflicts[0].changes[0].startswith("revision 2: plan desk: ")

    run_with_store(check)


# Guards against reporting an edit that took effect as a conflict (F6).
def test_own_edit_is_recognised_after_a_lost_response():
    async def check(state, store, other):
        state.faults.lose_answers = 1
        committed = await store.commit(base=0, lists=edited_lists(0))
        assert committed.revision == 1
        state.faults.lose_answers = 3
        assert (await store.commit(base=1, lists=edited_lists(1))).revision == 2
        assert (await other.read_head()).revision == 2

    run_with_store(check)


# Guards against reporting an edit that took effect as a conflict when two faults meet:
# a lost response, and another editor who commits before the retry.
def test_own_edit_is_recognised_below_later_ones():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited_lists(0))
        original = store.table.run

        async def lose_response(transaction):
            state.faults.lose_answers = 1
            try:
                return await original(transaction)
            finally:
                store.table.run = original
                await other.commit(base=2, lists=edited_lists(9))

        store.table.run = lose_response
        assert (await store.commit(base=1, lists=edited_lists(1))).revision == 2
        assert (await other.read_head()).revision == 3

    run_with_store(check)


# Guards against reporting an edit with an unknown outcome as not made.
def test_outage_during_an_edit():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited_lists(0))
        state.faults.outage_until = time.monotonic() + 60
        with pytest.raises(TableUnavailable):
            await store.commit(base=1, lists=edited_lists(1))
        state.faults.outage_until = 0.0
        assert (await other.read_head()).revision == 1
        original = store.table.run

        async def lose_response(transaction):
            state.faults.lose_answers = 1
            try:
                return await original(transaction)
            finally:
                state.faults.outage_until = time.monotonic() + 60
                store.table.run = original

        store.table.run = lose_response
        with pytest.raises(EditOutcomeUnknown):
            await store.commit(base=1, lists=edited_lists(1), timeout_s=0.3)
        state.faults.outage_until = 0.0
        repeated = await store.commit(base=1, lists=edited_lists(1))
        assert (repeated.revision, repeated.changes) == (2, [])

    run_with_store(check)


def test_snapshots_reduce_the_rows_read():
    async def check(state, store, other):
        for number in range(SNAPSHOT_INTERVAL + 2):
            await store.commit(base=number, lists=edited_lists(number))
        head = await store.read_head()
        assert head.snapshot_revision == SNAPSHOT_INTERVAL
        name = snapshot_name(head.snapshot_revision, head.snapshot_digest)
        assert list(state.objects) == [name]
        state.reads = 0
        configuration, _ = await store.load()
        assert configuration.lists() == edited_lists(SNAPSHOT_INTERVAL + 1)
        assert state.reads == 3
        # A damaged object is rejected as a whole, never applied in part.
        state.objects[name] = state.objects[name][:-1]
        with pytest.raises(ConfigurationDamaged, match=name):
            await store.load()

    run_with_store(check)


# Guards against failure of an edit that is too large for a table row.
def test_large_edit_goes_through_the_object_store(monkeypatch):
    async def check(state, store, other):
        monkeypatch.setattr("endivelug.config_store.MAX_DELTA_BYTES", 500)
        await store.commit(base=0, lists=edited_lists(0))
        original, store.objects.url = store.objects.url, "http://127.0.0.1:1"
        lists = make_lists(organisations=40)
        with pytest.raises(ObjectStoreUnavailable):
            await store.commit(base=1, lists=lists)
        assert (await other.read_head()).revision == 1
        store.objects.url = original
        follower, _ = await other.load()
        await store.commit(base=1, lists=lists)
        assert len(state.table.values[delta_key(2)].value) < 100
        await other.update(follower, await other.read_head())
        assert follower.lists() == lists

    run_with_store(check)


# Guards against a restored older table that reverts an edit in force (I9).
def test_restored_table_does_not_revert():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited_lists(0))
        old = await store.read_head()
        await store.commit(base=1, lists=edited_lists(1))
        configuration, _ = await store.load()
        await store.update(configuration, old)
        assert configuration.lists() == edited_lists(1)

    run_with_store(check)


# Guards against a copy with damaged content that rejects every later delta.
def test_damaged_copy_is_repaired_from_the_table():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited_lists(0))
        configuration, head = await store.load()
        configuration.plans["desk"].tokens_s = 7.0
        configuration.digest = configuration.digest_after([]) ^ 1
        await store.update(configuration, head)
        assert configuration.lists() == edited_lists(0)
        assert Configuration().digest != configuration.digest == head.digest

    run_with_store(check)
