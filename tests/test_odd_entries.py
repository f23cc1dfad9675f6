"""Rows and answers of other writers that hold what nobody expects."""

import asyncio
import json
import random
import time

import cbor2
import pytest

from endivelug.exceptions import (
    TableUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.records import UnreadableRecord
from endivelug.forwarding.row_store import RowPage
from endivelug.forwarding.upstream_connection import connect
from endivelug.forwarding.vm_rows import VM_PREFIX, VmRows
from endivelug.platform.engine_calls import EngineCalls
from endivelug.platform.settings import SettingsError, load_node_settings
from endivelug.platform.store import PlatformStore
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    make_instance,
    make_view,
    registration_document,
    stored_row,
)
from platform_standins import running_upstream
from router_process import metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]

NESTED = b"[" * 60_000


class FailingRecords:
    """Record format that cannot decode the rows with one key."""

    tables = ("op", "servers")
    instance_table = "servers"

    def __init__(self, records, key):
        self.records = records
        self.key = key

    def decode(self, row):
        if row.key == self.key:
            raise RecursionError("too deep")
        return self.records.decode(row)


# Guards against one entry that cannot be decoded, for whatever reason, and that keeps
# the rows after it from being applied at this and each later read.
def test_a_row_that_fails_to_decode_keeps_no_other_row_from_being_applied():
    view = make_view(ManualClock())
    view.records = FailingRecords(view.records, "odd")
    rows = [
        stored_row("servers", "odd", {}, 1),
        stored_row("servers", "e1", registration_document(), 2),
    ]
    assert view.apply(rows, source="store")
    assert isinstance(view.rows.rows["servers", "odd"].record, UnreadableRecord)
    assert view.registry.get("e1") is not None
    assert view.latest_versions["servers"].number == 2


# Guards against the same for an entry that is decoded but cannot be applied.
def test_a_row_that_fails_to_apply_keeps_no_other_row_from_being_applied(monkeypatch):
    view, log = make_view(ManualClock()), LogRecorder()
    view.log = log
    register = view._register_instance

    def fail(instance, row, source):
        if instance.name == "odd":
            raise OverflowError("int too large")
        register(instance, row, source)

    monkeypatch.setattr(view, "_register_instance", fail)
    rows = [
        stored_row("servers", name, registration_document(), version)
        for version, name in enumerate(("odd", "e1"), start=1)
    ]
    assert view.apply(rows, source="store")
    assert view.registry.get("e1") is not None
    assert "row-unreadable" in log.events()


# Guards against routers that stop following the list of upstreams after an entry that
# is nested too deeply: an upstream that leaves gets requests until it exits.
def test_an_upstream_leaves_after_an_entry_that_is_nested_too_deeply():
    async def scenario(system):
        system.store.put("servers", "odd", NESTED)
        leaving = registration_document(
            address=system.desks[0].address, service="desk", models=[], state="draining"
        )
        system.store.put("servers", "i1", leaving)
        registry = system.node.view.registry
        await wait_until(lambda: registry.get("i1").draining)
        assert "job-failed" not in system.log.events()
        for number in range(6):
            headers = {"X-Request-Id": f"q{number}"}
            assert (await system.request("/look/it", headers=headers)).status == 200
        assert not system.desks[0].exchanges

    run_scenario(scenario)


# Guards against probes, orders and requests that fail in an unforeseen way because an
# address has a port out of range.
@pytest.mark.parametrize("address", ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x"])
def test_an_impossible_address_is_unreachable(address):
    async def run():
        with pytest.raises(UpstreamUnreachable):
            await connect(address, timeout_s=0.5, clock=time.monotonic)

    asyncio.run(run())


# Guards against requests that are held, lost or refused because of an odd entry of the
# same service, while its sound upstreams serve.
@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:70000"},
        {"slots": 10**400},
        {"slots": 1e400},
        {"born": 10**300},
        {"zone": "\ud800"},
        {"models": [{"name": "m", "version": 10**300}]},
    ],
)
def test_requests_are_served_beside_an_odd_entry(changes):
    async def scenario(system):
        fields = {"service": "desk", "models": [], **changes}
        document = registration_document(**fields)
        system.store.put("servers", "odd", document)
        await wait_until(lambda: "row-unreadable" in system.log.events())
        for number in range(10):
            headers = {"X-Request-Id": f"q{number}"}
            assert (await system.request("/look/it", headers=headers)).status == 200
        assert "job-failed" not in system.log.events()

    run_scenario(scenario)


# Guards against a row of another writer among those of the VMs that keeps all from
# joining.
@pytest.mark.parametrize(
    "value", [NESTED, b"\x81" * 1000, cbor2.dumps(["a", "b", 10**400]), b"", b"\x01"]
)
def test_an_odd_row_of_a_vm_is_left_out(value):
    log = LogRecorder()
    rows = VmRows(store=None, table="t", rng=random.Random(1), log=log)
    page = RowPage(rows=[stored_row("t", VM_PREFIX + "odd", value, 1)], version=1)
    assert rows._decode_vms(page) == []


# Guards against an answer of the store that ends the job which asked for it.
@pytest.mark.parametrize("body", [NESTED, b'{"ver": 7, "rows": 1}', b"[]", b"\xff"])
def test_an_unreadable_answer_of_the_store_is_an_outage_of_it(body):
    async def run():
        async with running_upstream() as upstream:
            upstream.script = lambda exchange: exchange.respond(body)
            pool = ConnectionPool(clock=time.monotonic)
            store = PlatformStore(address=upstream.address, pool=pool)
            with pytest.raises(TableUnavailable):
                await store.read("servers")
            pool.close()

    asyncio.run(run())


# Guards against one odd row in an answer of the store that hides the others.
def test_odd_rows_in_an_answer_of_the_store_are_left_out():
    rows = [
        7,
        {"table": "servers", "key": "no-version"},
        {"table": "servers", "key": 8, "ver": 1},
        {"table": "servers", "key": "e1", "ver": 2, "value": 9},
        {"table": "servers", "key": "e2", "ver": 3, "value": "e30="},
    ]

    async def run():
        async with running_upstream() as upstream:
            body = json.dumps({"ver": 7, "rows": rows}).encode()
            upstream.script = lambda exchange: exchange.respond(body)
            pool = ConnectionPool(clock=time.monotonic)
            store = PlatformStore(address=upstream.address, pool=pool)
            page = await store.read("servers")
            assert [(row.key, row.value) for row in page.rows] == [
                ("e1", b""),
                ("e2", b"{}"),
            ]
            pool.close()

    asyncio.run(run())


# Guards against a report of an engine that ends the job which gives orders to all.
def test_a_nested_report_of_an_engine_is_a_broken_answer():
    async def run():
        async with running_upstream() as upstream:
            upstream.script = lambda exchange: exchange.respond(NESTED)
            pool = ConnectionPool(clock=time.monotonic)
            with pytest.raises(UpstreamBroken):
                await EngineCalls(pool=pool).report(
                    make_instance(address=upstream.address)
                )
            pool.close()

    asyncio.run(run())


# Guards against a traceback in place of an error that names the file.
def test_nested_settings_are_an_error_of_the_settings(tmp_path):
    path = tmp_path / "node.json"
    path.write_bytes(json.dumps({"a": 1}).encode() + NESTED)
    with pytest.raises(SettingsError):
        load_node_settings(str(path))
    path.write_bytes(NESTED)
    with pytest.raises(SettingsError):
        load_node_settings(str(path))
