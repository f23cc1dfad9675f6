import asyncio
import time

import pytest

from builders import config_store, make_lists, platform
from endivelug.config_store import SNAPSHOT_INTERVAL, delta_key, snapshot_name
from endivelug.configuration import Configuration
from endivelug.exceptions import (
    ConfigurationDamaged,
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableUnavailable,
)


def edited(number):
    """Return lists that differ from those of any other number."""
    lists = make_lists(organisations=3)
    lists.plans["desk"].tokens_s = 1000.0 + number
    return lists


def run_with_store(check):
    async def run():
        async with platform(timeout_s=0.3) as (state, url, _):
            store = config_store(url, seed=1)
            other = config_store(url, seed=2)
            try:
                await check(state, store, other)
            finally:
                for each in (store, other):
                    each.close()

    asyncio.run(run())


def test_edits_are_read_back():
    async def check(state, store, other):
        for number in range(3):
            done = await store.commit(base=number, lists=edited(number))
            assert done.revision == number + 1
            assert len(done.changes) == (5 if number == 0 else 1)
        configuration, head = await other.load()
        assert (configuration.revision, head.revision) == (3, 3)
        assert configuration.lists() == edited(2)
        # The same lists again are no edit, whatever their base.
        again = await other.commit(base=0, lists=edited(2))
        assert (again.revision, again.changes) == (3, [])

    run_with_store(check)


# Guards against a lost edit: a second editor who overwrites the first (F8).
def test_losing_editor_is_told_what_changed():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited(0))
        results = await asyncio.gather(
            store.commit(base=1, lists=edited(1)),
            other.commit(base=1, lists=edited(2)),
            return_exceptions=True,
        )
        lost = [item for item in results if isinstance(item, RevisionConflict)]
        assert len(lost) == 1
        assert (lost[0].expected, lost[0].actual) == (1, 2)
        assert len(lost[0].changes) == 1
        assert lost[0].changes[0].startswith("revision 2: plan desk: ")

    run_with_store(check)


# Guards against an edit that took effect and is reported as a conflict (F6).
def test_own_edit_is_recognised_after_a_lost_answer():
    async def check(state, store, other):
        state.faults.lose_answers = 1
        done = await store.commit(base=0, lists=edited(0))
        assert done.revision == 1
        state.faults.lose_answers = 3
        assert (await store.commit(base=1, lists=edited(1))).revision == 2
        assert (await other.read_head()).revision == 2

    run_with_store(check)


# Guards against two faults at once: a lost answer, and others who edit meanwhile.
def test_own_edit_is_recognised_below_later_ones():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited(0))
        real = store.table.run

        async def lose(transaction):
            state.faults.lose_answers = 1
            try:
                return await real(transaction)
            finally:
                store.table.run = real
                await other.commit(base=2, lists=edited(9))

        store.table.run = lose
        assert (await store.commit(base=1, lists=edited(1))).revision == 2
        assert (await other.read_head()).revision == 3

    run_with_store(check)


# Guards against "not made" for an edit whose outcome is unknown.
def test_outage_during_an_edit():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited(0))
        state.faults.outage_until = time.monotonic() + 60
        with pytest.raises(TableUnavailable):
            await store.commit(base=1, lists=edited(1))
        state.faults.outage_until = 0.0
        assert (await other.read_head()).revision == 1
        real = store.table.run

        async def lose(transaction):
            state.faults.lose_answers = 1
            try:
                return await real(transaction)
            finally:
                state.faults.outage_until = time.monotonic() + 60
                store.table.run = real

        store.table.run = lose
        with pytest.raises(EditOutcomeUnknown):
            await store.commit(base=1, lists=edited(1), timeout_s=0.3)
        state.faults.outage_until = 0.0
        again = await store.commit(base=1, lists=edited(1))
        assert (again.revision, again.changes) == (2, [])

    run_with_store(check)


def test_snapshots_shorten_what_is_read():
    async def check(state, store, other):
        for number in range(SNAPSHOT_INTERVAL + 2):
            await store.commit(base=number, lists=edited(number))
        head = await store.read_head()
        assert head.snapshot_revision == SNAPSHOT_INTERVAL
        name = snapshot_name(head.snapshot_revision, head.snapshot_digest)
        assert list(state.objects) == [name]
        state.reads = 0
        configuration, _ = await store.load()
        assert configuration.lists() == edited(SNAPSHOT_INTERVAL + 1)
        assert state.reads == 3
        # A damaged object is refused, never applied in part.
        state.objects[name] = state.objects[name][:-1]
        with pytest.raises(ConfigurationDamaged, match=name):
            await store.load()

    run_with_store(check)


# Guards against an edit that is too large for a table row.
def test_large_edit_goes_through_the_object_store(monkeypatch):
    async def check(state, store, other):
        monkeypatch.setattr("endivelug.config_store.MAX_DELTA_BYTES", 500)
        await store.commit(base=0, lists=edited(0))
        real, store.objects.url = store.objects.url, "http://127.0.0.1:1"
        lists = make_lists(organisations=40)
        with pytest.raises(ObjectStoreUnavailable):
            await store.commit(base=1, lists=lists)
        assert (await other.read_head()).revision == 1
        store.objects.url = real
        follower, _ = await other.load()
        await store.commit(base=1, lists=lists)
        assert len(state.table.values[delta_key(2)].value) < 100
        await other.update(follower, await other.read_head())
        assert follower.lists() == lists

    run_with_store(check)


# Guards against a table that was restored and takes back an edit in force (I9).
def test_restored_table_does_not_revert():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited(0))
        old = await store.read_head()
        await store.commit(base=1, lists=edited(1))
        configuration, _ = await store.load()
        await store.update(configuration, old)
        assert configuration.lists() == edited(1)

    run_with_store(check)


# Guards against a copy with a wrong content that no later delta fits.
def test_damaged_copy_is_repaired_from_the_table():
    async def check(state, store, other):
        await store.commit(base=0, lists=edited(0))
        configuration, head = await store.load()
        configuration.plans["desk"].tokens_s = 7.0
        configuration.digest = configuration.digest_after([]) ^ 1
        await store.update(configuration, head)
        assert configuration.lists() == edited(0)
        assert Configuration().digest != configuration.digest == head.digest

    run_with_store(check)
