"""Eras of the store that only a peer names."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from endivelug.forwarding import state_sync
from endivelug.forwarding.peer_messages import RowsRequest
from endivelug.forwarding.row_store import RowPage
from endivelug.forwarding.state_sync import StateSync
from endivelug.forwarding.store_eras import MAX_ERA
from forwarding_builders import (
    LogRecorder,
    configuration_document,
    load_tables,
    registration_document,
    stored_row,
)
from router_process import wait_until
from test_peers import run_scenario


class StoreOfOneEra:
    """Store that was not restored; a test sets its rows."""

    def __init__(self):
        self.rows = {"op": [], "servers": []}
        self.version = 20
        self.reads = 0

    async def read(self, table, **bounds):
        self.reads += 1
        self.on_answer(0)
        return RowPage(rows=self.rows[table], version=self.version)

    async def changes(self, table, *, after, wait_s):
        await asyncio.sleep(0.05)
        self.on_answer(0)
        rows = [row for row in self.rows[table] if row.version > after]
        return RowPage(rows=rows, version=self.version)

    def configure(self, number):
        self.version += 1
        document = configuration_document(version=number)
        self.rows["op"] = [stored_row("op", "config", document, self.version)]


@contextlib.asynccontextmanager
async def following(router, **options):
    """Let a router follow a store that is in era 0."""
    store, log = StoreOfOneEra(), LogRecorder()
    store.rows["servers"] = [stored_row("servers", "e1", registration_document(), 3)]
    store.configure(7)
    sync = StateSync(store=store, view=router.view, rng=random.Random(1), log=log)
    sync.must_follow = options.get("must_follow", sync.must_follow)
    job = asyncio.create_task(sync.run())
    try:
        yield store, log
    finally:
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)


def restore_in(router, era):
    """Let a router hold all tables in an era that it takes for the store's."""
    config = stored_row("op", "config", configuration_document(), 50, era)
    entry = stored_row(
        "servers", "e9", registration_document(address="127.0.0.1:9"), 51, era
    )
    for table, row in (("op", config), ("servers", entry)):
        page = RowPage(rows=[row], version=60, era=era)
        router.view.replace_table(table, page, source="store")


def servers(view):
    return set(view.registry.entries)


# Guards against a VM that applies nothing that the store says any more, and makes all
# others do so, because one faulty peer named an era that the store has not reached.
@pytest.mark.parametrize("era", [10**18, -1, MAX_ERA, 5])
def test_an_era_that_only_a_peer_names_does_not_end_the_feeds(era):
    async def scenario(one, two):
        load_tables(one.view, 7)
        await wait_until(lambda: one.neighbours and two.neighbours)
        async with following(one) as (store, _):
            two.view.eras.newest = two.view.eras.confirmed = era
            two.announce()
            await asyncio.sleep(0.5)
            store.configure(8)
            await wait_until(lambda: one.view.configuration.version == 8, 2.0)
            reads = store.reads
            await asyncio.sleep(0.5)
            assert store.reads == reads
            assert one._standing().store_era == 0
        lines = [fields for event, fields in one.log.lines if event == "era-unusable"]
        assert [fields["era"] for fields in lines] == [era]

    run_scenario(scenario)


# Guards against rows of an era that does not exist, which shut out those of the store.
@pytest.mark.parametrize("era", [10**18, 5])
def test_rows_of_an_era_that_only_a_peer_names_do_not_shut_out_the_stores(era):
    async def scenario(one, two):
        await wait_until(lambda: one.neighbours and two.neighbours)
        async with following(one) as (store, _):
            await wait_until(lambda: one.view.complete)
            restore_in(two, era)
            two.announce()
            await asyncio.sleep(1.0)
            store.configure(8)
            await wait_until(lambda: one.view.configuration.version == 8, 2.0)
            await wait_until(lambda: "e1" in servers(one.view))
            tables = one.view.latest_versions
            assert {version.era for version in tables.values()} == {0}
            reads = store.reads
            await asyncio.sleep(0.5)
            assert store.reads == reads

    run_scenario(scenario)


# Guards against a member that keeps rows of an era that does not exist for ever: it
# does not follow the store.
def test_a_member_confirms_an_era_that_it_knows_from_its_relay(monkeypatch):
    monkeypatch.setattr(state_sync, "CONFIRM_MIN_S", 0.3)
    monkeypatch.setattr(state_sync, "CONFIRM_MAX_S", 0.5)

    async def scenario(one, two):
        await wait_until(lambda: one.neighbours and two.neighbours)
        async with following(one, must_follow=lambda: False) as (_, log):
            await wait_until(lambda: one.view.complete)
            restore_in(two, 5)
            two.announce()
            await wait_until(lambda: "e9" in servers(one.view))
            await wait_until(lambda: log.events().count("era-refuted") == 2, 2.0)
            assert one.view.latest_versions["servers"].era == 0
            assert one.view.registry.entries["e1"].registered
            await asyncio.sleep(1.0)
            assert one.view.latest_versions["servers"].era == 0

    run_scenario(scenario)


# Guards against rows whose eras do not fit their table, and which hide its other rows
# or shut out later ones.
@pytest.mark.parametrize("is_loaded", [True, False])
@pytest.mark.parametrize("eras", [(10**18, 0), (-1, 0), (0, -1), (0, 10**18), (1, 0)])
def test_a_row_of_a_peer_with_an_unusable_era_is_ignored(eras, is_loaded):
    async def scenario(one, two):
        era, content_era = eras
        load_tables(two.view, 7)
        rows = two.view.rows.rows
        for number in (5, 6):
            document = registration_document(address=f"127.0.0.1:{number}")
            row = stored_row("servers", f"e{number}", document, 30 + number)
            two.view.apply([row], source="store")
        faulty = rows["servers", "e5"]
        faulty.row = dataclasses.replace(faulty.row, era=era)
        faulty.content_era = content_era
        if is_loaded:
            load_tables(one.view, 7)
        await wait_until(lambda: "e6" in servers(one.view), 2.0)
        assert servers(one.view) == {"e1", "e6"}

    run_scenario(scenario)


# Guards against a VM that does not ask the store about an era that a report names,
# because the versions of the tables have not changed.
def test_a_report_alone_tells_of_a_newer_era():
    async def scenario(one, two):
        load_tables(one.view, 7)
        await wait_until(lambda: two.view.complete)
        one.view.eras.observe(1)
        one.announce()
        await wait_until(lambda: two.view.eras.newest == 1, 1.5)

    run_scenario(scenario)


# Guards against a table of two eras.
def test_a_part_of_a_table_of_a_newer_era_is_not_applied():
    async def scenario(one, two):
        load_tables(one.view, 7)
        load_tables(two.view, 7)
        restore_in(two, 1)
        request = RowsRequest(table="servers", after=50, era=1)
        reply = two.rows.answer(request)
        assert {row.key for row in reply.rows} == {"e1", "e9"}
        assert not reply.complete
        one.rows._apply(reply, "vm2")
        assert one.view.latest_versions["servers"].era == 0
        assert servers(one.view) == {"e1"}

    run_scenario(scenario)
