"""Simulated peers, routers, engines and platform around one agent."""

import asyncio
import multiprocessing
import os
import random
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any

import cbor2
import uvloop
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from endivelug import _rendezvous
from endivelug.config_store import ConfigStore
from endivelug.lists import Lists, Organisation, Plan, key_digest
from endivelug.object_store import ObjectStore
from endivelug.standin_platform import PlatformState, make_platform
from endivelug.table import Table

SECRET = "link secret of a measurement"
DATA_CENTRE = "dc1"


@dataclass(slots=True, kw_only=True)
class Load:
    """Size and rates of what surrounds the agent; names are sorted by design.

    Attributes
    ----------
    vms : list of str
        Every VM of the data centre, the measured one included.
    batch_s : float
        Seconds between two batches of cache events of one engine.
    """

    seed: int
    vm: str
    vms: list[str]
    engines: list[str]
    ports: dict[str, int]
    owned: int = 5
    keys: int = 265_000
    events_s: float = 800.0
    batch_s: float = 0.5
    lookups_s: float = 34.0
    requests_s: float = 17.0
    heartbeat_s: float = 2.5
    organisations: int = 35_000

    def owners(self) -> dict[str, str]:
        """Return the owner of each engine."""
        return {
            name: _rendezvous.owner(f"engine:{name}", self.vms) or ""
            for name in self.engines
        }

    def mine(self) -> list[str]:
        """Return the engines that the measured agent owns."""
        return [name for name, vm in self.owners().items() if vm == self.vm]


def free_ports(count: int, *, seed: int) -> list[int]:
    """Return ports below the range that outgoing connections take theirs from."""
    rng = random.Random(f"{seed}-{os.getpid()}")
    ports: list[int] = []
    for port in rng.sample(range(12000, 32000), 20000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports; run fewer measurements at once")


def choose_engines(vm: str, vms: list[str], *, total: int, owned: int) -> list[str]:
    """Return engine names of which the agent of ``vm`` owns exactly some."""
    mine: list[str] = []
    others: list[str] = []
    number = 0
    while len(mine) < owned or len(others) < total - owned:
        name = f"engine{number:04d}"
        number += 1
        held = _rendezvous.owner(f"engine:{name}", vms) == vm
        wanted, size = (mine, owned) if held else (others, total - owned)
        if len(wanted) < size:
            wanted.append(name)
    return sorted(mine + others)


def engine_keys(load: Load, name: str) -> list[int]:
    """Return the keys that an engine holds at the start."""
    rng = random.Random(f"{load.seed}{name}")
    return [rng.getrandbits(64) for _ in range(load.keys // load.owned)]


def _pack(keys: list[int]) -> bytes:
    return struct.pack(f">{len(keys)}Q", *keys)


@dataclass(slots=True, kw_only=True)
class _Engine:
    rng: random.Random
    keys: list[int]
    number: int = 0
    sinks: set["_Events"] = field(default_factory=set)

    def batch(self, events: int) -> dict[str, Any]:
        """Evict some keys and add as many."""
        added, removed = [], []
        for _ in range(events // 2):
            place = self.rng.randrange(len(self.keys))
            removed.append(self.keys[place])
            self.keys[place] = self.rng.getrandbits(64)
            added.append(self.keys[place])
        self.number += 1
        return self.document(added, removed)

    def document(self, added: list[int], removed: list[int]) -> dict[str, Any]:
        return {
            "incarnation": 1,
            "first": self.number,
            "added": _pack(added),
            "removed": _pack(removed),
        }


class _Events(WebSocketHandler):
    def initialize(self, engine: _Engine) -> None:
        self.engine = engine

    def open(self, *args: str, **kwargs: str) -> None:
        full = {**self.engine.document(self.engine.keys, []), "snapshot": True}
        self.write_message(cbor2.dumps(full), binary=True)
        self.engine.sinks.add(self)

    def on_message(self, message: str | bytes) -> None:
        """Ignore what a subscriber sends."""

    def on_close(self) -> None:
        self.engine.sinks.discard(self)


class _LoadReport(RequestHandler):
    def get(self) -> None:
        self.write(
            {
                "incarnation": 1,
                "models": {"base": "v1"},
                "adapters": ["kampo"],
                "leaving": False,
                "waiting": {"0": 1, "10": 3},
                "running": {"0": 4, "10": 12},
            }
        )


async def _publish(load: Load, engine: _Engine) -> None:
    events = int(load.events_s / load.owned * load.batch_s)
    # Engines do not publish in step.
    await asyncio.sleep(engine.rng.uniform(0, load.batch_s))
    while True:
        await asyncio.sleep(load.batch_s)
        data = cbor2.dumps(engine.batch(events))
        for sink in list(engine.sinks):
            try:
                sink.write_message(data, binary=True)
            except WebSocketClosedError:
                engine.sinks.discard(sink)


async def _run_engines(load: Load, ready: Any, stop: Any) -> None:
    tasks = []
    for name in load.mine():
        engine = _Engine(
            rng=random.Random(f"{load.seed}-{name}"), keys=engine_keys(load, name)
        )
        application = Application(
            [
                (r"/v1/cache_events", _Events, {"engine": engine}),
                (r"/v1/load", _LoadReport),
            ],
            log_function=lambda handler: None,
        )
        HTTPServer(application).listen(load.ports[name], address="127.0.0.1")
        tasks.append(asyncio.create_task(_publish(load, engine)))
    ready.set()
    await asyncio.to_thread(stop.wait)
    for task in tasks:
        task.cancel()


def make_lists(organisations: int) -> Lists:
    """Return lists of the design's size."""
    plan = Plan(
        name="counter",
        models=("base",),
        adapters=("kampo",),
        versions={"base": "v1"},
        routes=("chat",),
        requests_s=10.0,
        tokens_s=2000.0,
        streams=8,
        work_class={"chat": "interactive"},
        weight=1.0,
    )
    return Lists(
        plans={"counter": plan},
        organisations={
            f"organisation-{number}": Organisation(
                name=f"organisation-{number}",
                plan="counter",
                keys=(key_digest(f"key {number}"),),
            )
            for number in range(organisations)
        },
    )


async def _run_platform(load: Load, ready: Any, stop: Any) -> None:
    state = PlatformState()
    server = HTTPServer(make_platform(state))
    server.listen(load.ports["platform"], address="127.0.0.1")
    rows = [(vm, "agent", "") for vm in load.vms]
    rows += [(name, "engine", "chat") for name in load.engines]
    document = [
        {
            "targets": [f"127.0.0.1:{load.ports.get(name, 1)}"],
            "labels": {
                "vm": name,
                "data_centre": DATA_CENTRE,
                "kind": kind,
                "pool": pool,
                "state": "live",
            },
        }
        for name, kind, pool in rows
    ]
    state.set_vm_list(document, time.monotonic() - 60)
    if load.organisations:
        url = f"http://127.0.0.1:{load.ports['platform']}"
        store = ConfigStore(
            table=Table(url=url, timeout_s=10.0),
            objects=ObjectStore(url=url, timeout_s=10.0),
            rng=random.Random(load.seed),
        )
        await store.commit(base=0, lists=make_lists(load.organisations))
    ready.set()
    await asyncio.to_thread(stop.wait)


def run_engines(load: Load, ready: Any, stop: Any) -> None:
    """Process: the engines that the agent owns."""
    uvloop.run(_run_engines(load, ready, stop))


def run_platform(load: Load, ready: Any, stop: Any) -> None:
    """Process: the platform with the VM list and the lists."""
    uvloop.run(_run_platform(load, ready, stop))


def spawn(target: Any, *arguments: Any) -> Any:
    """Start a process that runs a function of this module."""
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=target, args=arguments, daemon=True)
    process.start()
    return process
