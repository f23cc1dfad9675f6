"""Load on one agent: its size and rates, simulated engines and the platform."""

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
    """Size and rates of the load on the measured agent.

    Attributes
    ----------
    vm : str
        VM of the measured agent.
    vms : list of str
        Sorted names of all VMs of the data centre, including the measured one.
    engines : list of str
        Sorted names of all engines of the data centre.
    ports : dict of str to int
        Loopback port of each process by name.
    owned : int
        Number of engines that the measured agent owns.
    keys : int
        Cached keys of these engines in total.
    events_s, lookups_s, requests_s : float
        Cache events, look-ups and requests per second in total.
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
        """Return the VM that owns each engine."""
        return {
            name: _rendezvous.owner(f"engine:{name}", self.vms) or ""
            for name in self.engines
        }

    def owned_engines(self) -> list[str]:
        """Return the engines that the measured agent owns."""
        return [name for name, vm in self.owners().items() if vm == self.vm]


def free_ports(count: int, *, seed: int) -> list[int]:
    """Return free ports below the range of ephemeral ports."""
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


def choose_engine_names(
    vm: str, vms: list[str], *, total: int, owned: int
) -> list[str]:
    """Return ``total`` engine names, of which ``vm`` owns exactly ``owned``."""
    owned_names: list[str] = []
    other_names: list[str] = []
    number = 0
    while len(owned_names) < owned or len(other_names) < total - owned:
        name = f"engine{number:04d}"
        number += 1
        is_owned = _rendezvous.owner(f"engine:{name}", vms) == vm
        names, limit = (
            (owned_names, owned) if is_owned else (other_names, total - owned)
        )
        if len(names) < limit:
            names.append(name)
    return sorted(owned_names + other_names)


def initial_keys(load: Load, name: str) -> list[int]:
    """Return the keys that an engine has cached at the start."""
    rng = random.Random(f"{load.seed}{name}")
    return [rng.getrandbits(64) for _ in range(load.keys // load.owned)]


def _pack(keys: list[int]) -> bytes:
    return struct.pack(f">{len(keys)}Q", *keys)


@dataclass(slots=True, kw_only=True)
class _Engine:
    rng: random.Random
    keys: list[int]
    number: int = 0
    subscribers: set["_CacheEventsHandler"] = field(default_factory=set)

    def next_batch(self, events: int) -> dict[str, Any]:
        """Evict random keys and add as many new ones."""
        added, removed = [], []
        for _ in range(events // 2):
            index = self.rng.randrange(len(self.keys))
            removed.append(self.keys[index])
            self.keys[index] = self.rng.getrandbits(64)
            added.append(self.keys[index])
        self.number += 1
        return self.batch_document(added, removed)

    def batch_document(self, added: list[int], removed: list[int]) -> dict[str, Any]:
        return {
            "incarnation": 1,
            "first": self.number,
            "added": _pack(added),
            "removed": _pack(removed),
        }


class _CacheEventsHandler(WebSocketHandler):
    def initialize(self, engine: _Engine) -> None:
        self.engine = engine

    def open(self, *args: str, **kwargs: str) -> None:
        full = {**self.engine.batch_document(self.engine.keys, []), "snapshot": True}
        self.write_message(cbor2.dumps(full), binary=True)
        self.engine.subscribers.add(self)

    def on_message(self, message: str | bytes) -> None:
        """Ignore messages of subscribers."""

    def on_close(self) -> None:
        self.engine.subscribers.discard(self)


class _LoadHandler(RequestHandler):
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
    # Spread the batches of the engines over the period.
    await asyncio.sleep(engine.rng.uniform(0, load.batch_s))
    while True:
        await asyncio.sleep(load.batch_s)
        data = cbor2.dumps(engine.next_batch(events))
        for subscriber in list(engine.subscribers):
            try:
                subscriber.write_message(data, binary=True)
            except WebSocketClosedError:
                engine.subscribers.discard(subscriber)


async def _run_engines(load: Load, ready: Any, stop: Any) -> None:
    tasks = []
    for name in load.owned_engines():
        engine = _Engine(
            rng=random.Random(f"{load.seed}-{name}"), keys=initial_keys(load, name)
        )
        application = Application(
            [
                (r"/v1/cache_events", _CacheEventsHandler, {"engine": engine}),
                (r"/v1/load", _LoadHandler),
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
    """Return lists with one plan and the given number of organisations."""
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
    vm_list = [
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
    state.set_vm_list(vm_list, time.monotonic() - 60)
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
    """Run the engines that the measured agent owns, in a process of their own."""
    uvloop.run(_run_engines(load, ready, stop))


def run_platform(load: Load, ready: Any, stop: Any) -> None:
    """Run the platform with the VM list and the lists, in a process of its own."""
    uvloop.run(_run_platform(load, ready, stop))


def start_process(target: Any, *arguments: Any) -> Any:
    """Start a process that runs a function of this module."""
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=target, args=arguments, daemon=True)
    process.start()
    return process
