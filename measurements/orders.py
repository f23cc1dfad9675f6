"""Weights orders under lease changes, pauses and table faults.

Half of the engines check fencing numbers. All durations are a tenth of the defaults or
less, so that one run covers many leases. They keep the order of the defaults:
load < order timeout < lease < slot.
"""

import asyncio
import base64
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease
from endivelug.messages import UpstreamEntry
from endivelug.order_sender import OrderSender
from endivelug.orders import DesiredModel
from endivelug.settings import PoolSettings
from endivelug.standin_platform import PlatformState, make_platform
from endivelug.table import Table

DATA_CENTRES = ("dc1", "dc2")
AGENTS_PER_DATA_CENTRE = 3
# Two engines for each model, so that one can serve while the other one changes.
ENGINES_PER_POOL = 2
MODELS = ("a", "b")
RUN_S = 24.0
VERSION_INTERVAL_S = 1.0
LEASE_S, RENEW_S, CLOCK_BOUND_S, ORDER_TIMEOUT_S = 1.0, 0.25, 0.05, 0.25
LOAD_DURATION_S, SLOT_TIMEOUT_S, PLAN_PERIOD_S, TABLE_TIMEOUT_S = 0.08, 3.0, 0.05, 0.2
OBSERVATION_DELAY_S = 0.1


class NaiveLease(Lease):
    """Baseline: a holder that relies on its lease until it reads a newer row."""

    def may_order(self, now: float) -> bool:
        return self.held_write is not None

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        return self.held_write is not None


class NaiveOrderSender(OrderSender):
    """Baseline: a sender that does not confirm its fencing number at the engines."""

    async def _confirm_fencing(
        self, observed: list[UpstreamEntry], fencing: int
    ) -> None:
        return

    def _uncertain_engines(self, observed: list[UpstreamEntry]) -> set[str]:
        return set()


class GatedTable(Table):
    """Table client whose VM can be paused before and after each request."""

    agent: "Agent"

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await self.agent.resumed.wait()
        try:
            return await super()._post(path, body)
        finally:
            # A pause here falls between acquiring a slot and sending its order.
            if acquires_slot(body):
                self.agent.system.pause_at_random(self.agent)
            await self.agent.resumed.wait()


def acquires_slot(body: dict[str, Any]) -> bool:
    """Return whether a transaction writes one of the slots."""
    key = base64.b64encode(b"loads/").decode()[:8]
    return any(
        operation.get("request_put", {}).get("key", "").startswith(key)
        for operation in body.get("success", [])
    )


@dataclass
class Engine:
    """Simulated engine that loads and unloads models on orders."""

    name: str
    data_centre: str
    pool: str
    models: dict[str, str]
    url: str = ""
    fencing: int = 0
    loading: bool = False


@dataclass
class System:
    """Simulated engines, the platform and the counters of one run.

    ``history`` has the models of all engines over time, ``max_fencing`` the highest
    fencing number that planned orders, and ``holders`` the agent of each number.
    """

    rng: random.Random
    naive: bool
    platform: PlatformState = field(default_factory=PlatformState)
    engines: list[Engine] = field(default_factory=list)
    history: list[tuple[float, list[tuple[Engine, list[str]]]]] = field(
        default_factory=list
    )
    desired_version: int = 1
    max_fencing: Counter[str] = field(default_factory=Counter)
    holders: dict[tuple[str, int], "Agent"] = field(default_factory=dict)
    running_loads: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    unserved_s: float = 0.0
    max_loads: int = 0
    faults_stopped: bool = False
    pauses: set[asyncio.Future[None]] = field(default_factory=set)

    def receive_order(self, engine: Engine, order: dict[str, Any]) -> int:
        """Apply an order to an engine and return the response status."""
        fencing = order["fencing"]
        checks_fencing = engine.pool == "checked"
        if checks_fencing and fencing < engine.fencing:
            self.counts["refused"] += 1
            return 412
        engine.fencing = max(engine.fencing, fencing)
        if order["kind"] == "confirm":
            return 202
        self.counts["accepted"] += 1
        if fencing < self.max_fencing[engine.data_centre]:
            self.counts[f"stale_{engine.pool}"] += 1
        if order["kind"] == "unload":
            engine.models.pop(order["model"], None)
        elif engine.models.get(order["model"]) != order["version"]:
            asyncio.get_running_loop().create_task(self.load(engine, order))
        return 202

    def pause_at_random(self, agent: "Agent") -> None:
        if self.rng.random() < 0.1 and not self.faults_stopped:
            coroutine = agent.pause(self.rng.uniform(0.8, 2.5) * LEASE_S)
            self.pauses.add(asyncio.ensure_future(coroutine))

    async def load(self, engine: Engine, order: dict[str, Any]) -> None:
        self.running_loads += 1
        self.max_loads = max(self.max_loads, self.running_loads)
        engine.loading = True
        await asyncio.sleep(LOAD_DURATION_S * max(1, self.running_loads - 1))
        engine.models[order["model"]] = order["version"]
        engine.loading = False
        self.running_loads -= 1

    async def watch_engines(self) -> None:
        """Sum up the time without a serving engine per model; record ``history``."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for data_centre in DATA_CENTRES:
                for model in MODELS:
                    serving = any(
                        model in engine.models and not engine.loading
                        for engine in self.engines
                        if engine.data_centre == data_centre
                    )
                    self.unserved_s += 0.0 if serving else now - last
            last = now
            snapshot = [
                (engine, [f"{m}={v}" for m, v in engine.models.items()])
                for engine in self.engines
            ]
            self.history.append((now, snapshot))
            while self.history[1:] and self.history[1][0] <= now - OBSERVATION_DELAY_S:
                del self.history[0]

    def observed(self, data_centre: str) -> list[UpstreamEntry]:
        return [
            UpstreamEntry(
                name=engine.name,
                address=engine.url,
                kind="engine",
                pool=engine.pool,
                models=models,
                adapters=[],
                incarnation=1,
                state="live",
            )
            for engine, models in (self.history[0][1] if self.history else [])
            if engine.data_centre == data_centre
        ]

    def desired_models(self, data_centre: str, agent: "Agent") -> list[DesiredModel]:
        # Called during planning: from now on, orders with a lower number are stale.
        fencing = agent.sender.lease.fencing
        if fencing:
            self.max_fencing[data_centre] = max(self.max_fencing[data_centre], fencing)
            self.holders[(data_centre, fencing)] = agent
        version = str(self.desired_version)
        return [DesiredModel(model=model, version=version) for model in MODELS]


class Agent:
    """Order sender of one VM, which competes for the lease of its data centre."""

    def __init__(self, system: System, name: str, data_centre: str, url: str) -> None:
        self.system, self.name, self.data_centre = system, name, data_centre
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.table = GatedTable(url=url, timeout_s=TABLE_TIMEOUT_S)
        self.table.agent = self
        self.start()

    def start(self) -> None:
        system, rng = self.system, random.Random(self.system.rng.random())
        lease = (NaiveLease if system.naive else Lease)(
            data_centre=self.data_centre,
            vm=self.name,
            lease_s=LEASE_S,
            clock_bound_s=CLOCK_BOUND_S,
            order_timeout_s=ORDER_TIMEOUT_S,
        )
        self.sender = (NaiveOrderSender if system.naive else OrderSender)(
            keeper=LeaseKeeper(table=self.table, lease=lease, renew_s=RENEW_S, rng=rng),
            table=self.table,
            data_centre=self.data_centre,
            desired_models=lambda: system.desired_models(self.data_centre, self),
            observed_upstreams=lambda: system.observed(self.data_centre),
            pools={
                "checked": PoolSettings(kind="engine", checks_fencing=True),
                "unchecked": PoolSettings(kind="engine", checks_fencing=False),
            },
            rng=rng,
            period_s=PLAN_PERIOD_S,
            slot_timeout_s=SLOT_TIMEOUT_S,
        )
        self.task = asyncio.create_task(self.sender.run())

    def stop(self) -> None:
        self.system.counts["sent"] += self.sender.counts.sent
        self.system.counts["unknown"] += self.sender.counts.unknown
        self.system.counts["not_sent"] += self.sender.counts.not_sent
        self.task.cancel()

    async def pause(self, seconds: float) -> None:
        self.system.counts["pauses"] += 1
        self.resumed.clear()
        await asyncio.sleep(seconds)
        self.resumed.set()


class OrdersHandler(RequestHandler):
    def initialize(self, system: System, engine: Engine) -> None:
        self.system, self.engine = system, engine

    async def post(self) -> None:
        order, system = json.loads(self.request.body), self.system
        holder = system.holders.get((self.engine.data_centre, order["fencing"]))
        is_delayed = system.rng.random() < 0.5 and order["kind"] != "confirm"
        if is_delayed and not system.faults_stopped:
            # Equivalent to a pause of the sender between its check and sending.
            if self.engine.pool == "checked" and holder is not None:
                await holder.pause(system.rng.uniform(0.8, 2.5) * LEASE_S)
            else:
                await asyncio.sleep(
                    system.rng.uniform(0.0, ORDER_TIMEOUT_S + CLOCK_BOUND_S)
                )
        status = system.receive_order(self.engine, order)
        if not self.request.connection.stream.closed():  # type: ignore[union-attr]
            self.set_status(status)


async def inject_faults(system: System, agents: list[Agent], until: float) -> None:
    """Inject random table faults, pauses, crashes and planned stops of agents."""
    faults, rng = system.platform.faults, system.rng
    while time.monotonic() < until:
        match rng.choice(["lose", "outage", "late", "pause", "crash", "stop"]):
            case "lose":
                faults.lose_answers = rng.randint(1, 3)
            case "outage":
                faults.outage_until = time.monotonic() + rng.uniform(0.1, 0.8)
            case "late":
                faults.delay_s = rng.choice([0.0, 0.0, 0.0, 1.5 * TABLE_TIMEOUT_S])
            case "pause":
                coroutine = rng.choice(agents).pause(rng.uniform(0.1, 3.0) * LEASE_S)
                system.pauses.add(asyncio.ensure_future(coroutine))
            case "crash":
                agent = rng.choice(agents)
                # Like a crash, this prevents the resignation from the lease.
                agent.sender.unresolved_orders += 1
                agent.stop()
                agent.start()
            case "stop":
                agent = rng.choice(agents)
                agent.stop()
                agent.start()
        await asyncio.sleep(rng.uniform(0.05, 0.6))
    faults.delay_s = faults.outage_until = 0.0
    faults.lose_answers = 0


async def change_versions(system: System, until: float) -> None:
    while time.monotonic() < until:
        await asyncio.sleep(VERSION_INTERVAL_S)
        system.desired_version += 1


async def run(seed: int, *, naive: bool) -> dict[str, Any]:
    """Run one scenario with the baseline or the product and return its figures."""
    system = System(rng=random.Random(seed), naive=naive)
    async with contextlib.AsyncExitStack() as stack:

        async def serve(application: Application) -> str:
            sockets = bind_sockets(0, "127.0.0.1")
            server = HTTPServer(application)
            server.add_sockets(sockets)
            stack.callback(server.stop)
            return f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

        for data_centre in DATA_CENTRES:
            for number in range(2 * ENGINES_PER_POOL):
                pool = "checked" if number % 2 else "unchecked"
                model = MODELS[number // 2 % 2]
                name = f"{data_centre}-e{number}"
                engine = Engine(name, data_centre, pool, {model: "1"})
                options = {"system": system, "engine": engine}
                engine.url = await serve(
                    Application([(r"/v1/orders", OrdersHandler, options)])
                )
                system.engines.append(engine)
        url = await serve(make_platform(system.platform))
        watch_task = asyncio.create_task(system.watch_engines())
        agents = [
            Agent(system, f"{data_centre}-vm{number}", data_centre, url)
            for data_centre in DATA_CENTRES
            for number in range(AGENTS_PER_DATA_CENTRE)
        ]
        until = time.monotonic() + RUN_S
        await asyncio.gather(
            inject_faults(system, agents, until), change_versions(system, until)
        )
        system.faults_stopped = True
        faults_ended_at = time.monotonic()
        desired = str(system.desired_version)
        while time.monotonic() < faults_ended_at + 30 and any(
            set(engine.models.values()) != {desired} for engine in system.engines
        ):
            await asyncio.sleep(0.05)
        converge_s = time.monotonic() - faults_ended_at
        for agent in agents:
            agent.stop()
        watch_task.cancel()
        await asyncio.sleep(0.3)
    are_current = [set(e.models.values()) == {desired} for e in system.engines]
    return {
        "part": "naive" if naive else "product",
        "leases": sum(system.max_fencing.values()),
        "versions": system.desired_version,
        **{
            name: system.counts[name]
            for name in ("pauses", "accepted", "refused", "unknown", "not_sent")
        },
        "stale_checked": system.counts["stale_checked"],
        "stale_unchecked": system.counts["stale_unchecked"],
        "concurrent_loads_max": system.max_loads,
        "unserved_s": round(system.unserved_s, 2),
        "converged": all(are_current),
        "converge_s": round(converge_s, 1),
        "table_writes_per_s": round(system.platform.writes / RUN_S, 1),
        "table_reads_per_s": round(system.platform.reads / RUN_S, 1),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for the baseline, one for the product, and the summary."""
    naive = asyncio.run(run(seed, naive=True))
    yield naive
    product = asyncio.run(run(seed, naive=False))
    yield product
    yield {
        "stale_orders_accepted_checked": product["stale_checked"],
        "stale_orders_harm_unchecked": product["stale_unchecked"],
        "concurrent_loads_max": product["concurrent_loads_max"],
        "unserved_s": product["unserved_s"],
        "leases": product["leases"],
        "versions": product["versions"],
        "converged": product["converged"],
        "naive_stale_orders": naive["stale_checked"] + naive["stale_unchecked"],
        "naive_concurrent_loads_max": naive["concurrent_loads_max"],
        "naive_unserved_s": naive["unserved_s"],
    }
