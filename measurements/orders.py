"""Orders under lease changes, pauses and table faults, at both kinds of engines.

All durations are a tenth of the product's defaults or less, so that many leases fit
into one run; their order is the same: load < order timeout < lease < slot.
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
AGENTS = 3
# Two engines for each model: one of them has to serve while the other one changes.
ENGINES_PER_POOL = 2
MODELS = ("a", "b")
RUN_S = 24.0
CHANGE_S = 1.0
LEASE_S, RENEW_S, BOUND_S, TIMEOUT_S = 1.0, 0.25, 0.05, 0.25
LOAD_S, SLOT_S, PERIOD_S, TABLE_TIMEOUT_S = 0.08, 3.0, 0.05, 0.2
OBSERVED_LATE_S = 0.1


class NaiveLease(Lease):
    """Baseline: a holder that trusts the lease until it hears otherwise."""

    def may_order(self, now: float) -> bool:
        return self.held is not None

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        return self.held is not None


class NaiveGiver(OrderSender):
    """Baseline: no confirmation of the fencing number."""

    async def _confirm_fencing(
        self, observed: list[UpstreamEntry], fencing: int
    ) -> None:
        return

    def _uncertain_engines(self, observed: list[UpstreamEntry]) -> set[str]:
        return set()


class GatedTable(Table):
    """A table client whose VM can be paused before and after each answer."""

    agent: "Agent"

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await self.agent.gate.wait()
        try:
            return await super()._post(path, body)
        finally:
            # Often just after a slot is taken and before its order is sent.
            if takes_slot(body):
                self.agent.world.pause_sometimes(self.agent)
            await self.agent.gate.wait()


def takes_slot(body: dict[str, Any]) -> bool:
    """Return whether a transaction writes one of the slots."""
    key = base64.b64encode(b"loads/").decode()[:8]
    return any(
        operation.get("request_put", {}).get("key", "").startswith(key)
        for operation in body.get("success", [])
    )


@dataclass
class Engine:
    name: str
    data_centre: str
    pool: str
    models: dict[str, str]
    url: str = ""
    fencing: int = 0
    loading: bool = False


@dataclass
class World:
    rng: random.Random
    naive: bool
    platform: PlatformState = field(default_factory=PlatformState)
    engines: list[Engine] = field(default_factory=list)
    history: list[tuple[float, list[tuple[Engine, list[str]]]]] = field(
        default_factory=list
    )
    wanted_version: int = 1
    planned: Counter[str] = field(default_factory=Counter)
    holders: dict[tuple[str, int], "Agent"] = field(default_factory=dict)
    loads: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    unserved_s: float = 0.0
    loads_max: int = 0
    calm: bool = False
    pausing: set[asyncio.Future[None]] = field(default_factory=set)

    def arrive(self, engine: Engine, order: dict[str, Any]) -> int:
        fencing = order["fencing"]
        checks = engine.pool == "checked"
        if checks and fencing < engine.fencing:
            self.counts["refused"] += 1
            return 412
        engine.fencing = max(engine.fencing, fencing)
        if order["kind"] == "confirm":
            return 202
        self.counts["accepted"] += 1
        if fencing < self.planned[engine.data_centre]:
            self.counts[f"stale_{engine.pool}"] += 1
        if order["kind"] == "unload":
            engine.models.pop(order["model"], None)
        elif engine.models.get(order["model"]) != order["version"]:
            asyncio.get_running_loop().create_task(self.load(engine, order))
        return 202

    def pause_sometimes(self, agent: "Agent") -> None:
        if self.rng.random() < 0.1 and not self.calm:
            pausing = agent.pause(self.rng.uniform(0.8, 2.5) * LEASE_S)
            self.pausing.add(asyncio.ensure_future(pausing))

    async def load(self, engine: Engine, order: dict[str, Any]) -> None:
        self.loads += 1
        self.loads_max = max(self.loads_max, self.loads)
        engine.loading = True
        await asyncio.sleep(LOAD_S * max(1, self.loads - 1))
        engine.models[order["model"]] = order["version"]
        engine.loading = False
        self.loads -= 1

    async def watch(self) -> None:
        """Add up the time in which a model has no serving engine."""
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
            state = [
                (engine, [f"{m}={v}" for m, v in engine.models.items()])
                for engine in self.engines
            ]
            self.history.append((now, state))
            while self.history[1:] and self.history[1][0] <= now - OBSERVED_LATE_S:
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

    def wanted(self, data_centre: str, agent: "Agent") -> list[DesiredModel]:
        # Called while the plan is made: from here on, older orders are stale.
        fencing = agent.giver.lease.fencing
        if fencing:
            self.planned[data_centre] = max(self.planned[data_centre], fencing)
            self.holders[(data_centre, fencing)] = agent
        version = str(self.wanted_version)
        return [DesiredModel(model=model, version=version) for model in MODELS]


class Agent:
    """One VM that may hold the lease of its data centre."""

    def __init__(self, world: World, name: str, data_centre: str, url: str) -> None:
        self.world, self.name, self.data_centre = world, name, data_centre
        self.gate = asyncio.Event()
        self.gate.set()
        self.table = GatedTable(url=url, timeout_s=TABLE_TIMEOUT_S)
        self.table.agent = self
        self.start()

    def start(self) -> None:
        world, rng = self.world, random.Random(self.world.rng.random())
        lease = (NaiveLease if world.naive else Lease)(
            data_centre=self.data_centre,
            vm=self.name,
            lease_s=LEASE_S,
            clock_bound_s=BOUND_S,
            order_timeout_s=TIMEOUT_S,
        )
        self.giver = (NaiveGiver if world.naive else OrderSender)(
            keeper=LeaseKeeper(table=self.table, lease=lease, renew_s=RENEW_S, rng=rng),
            table=self.table,
            data_centre=self.data_centre,
            desired_models=lambda: world.wanted(self.data_centre, self),
            observed_upstreams=lambda: world.observed(self.data_centre),
            pools={
                "checked": PoolSettings(kind="engine", checks_fencing=True),
                "unchecked": PoolSettings(kind="engine", checks_fencing=False),
            },
            rng=rng,
            period_s=PERIOD_S,
            slot_timeout_s=SLOT_S,
        )
        self.task = asyncio.create_task(self.giver.run())

    def stop(self) -> None:
        self.world.counts["sent"] += self.giver.counts.sent
        self.world.counts["unknown"] += self.giver.counts.unknown
        self.world.counts["not_sent"] += self.giver.counts.not_sent
        self.task.cancel()

    async def pause(self, seconds: float) -> None:
        self.world.counts["pauses"] += 1
        self.gate.clear()
        await asyncio.sleep(seconds)
        self.gate.set()


class OrdersHandler(RequestHandler):
    def initialize(self, world: World, engine: Engine) -> None:
        self.world, self.engine = world, engine

    async def post(self) -> None:
        order, world = json.loads(self.request.body), self.world
        holder = world.holders.get((self.engine.data_centre, order["fencing"]))
        late = world.rng.random() < 0.5 and order["kind"] != "confirm"
        if late and not world.calm:
            # The same as a pause of the sender between its check and sending.
            if self.engine.pool == "checked" and holder is not None:
                await holder.pause(world.rng.uniform(0.8, 2.5) * LEASE_S)
            else:
                await asyncio.sleep(world.rng.uniform(0.0, TIMEOUT_S + BOUND_S))
        status = world.arrive(self.engine, order)
        if not self.request.connection.stream.closed():  # type: ignore[union-attr]
            self.set_status(status)


async def break_things(world: World, agents: list[Agent], until: float) -> None:
    faults, rng = world.platform.faults, world.rng
    while time.monotonic() < until:
        match rng.choice(["lose", "outage", "late", "pause", "crash", "stop"]):
            case "lose":
                faults.lose_answers = rng.randint(1, 3)
            case "outage":
                faults.outage_until = time.monotonic() + rng.uniform(0.1, 0.8)
            case "late":
                faults.delay_s = rng.choice([0.0, 0.0, 0.0, 1.5 * TABLE_TIMEOUT_S])
            case "pause":
                pausing = rng.choice(agents).pause(rng.uniform(0.1, 3.0) * LEASE_S)
                world.pausing.add(asyncio.ensure_future(pausing))
            case "crash":
                agent = rng.choice(agents)
                agent.giver.unresolved_orders += 1  # a crash does not resign
                agent.stop()
                agent.start()
            case "stop":
                agent = rng.choice(agents)
                agent.stop()
                agent.start()
        await asyncio.sleep(rng.uniform(0.05, 0.6))
    faults.delay_s = faults.outage_until = 0.0
    faults.lose_answers = 0


async def change_versions(world: World, until: float) -> None:
    while time.monotonic() < until:
        await asyncio.sleep(CHANGE_S)
        world.wanted_version += 1


async def run(seed: int, *, naive: bool) -> dict[str, Any]:
    world = World(rng=random.Random(seed), naive=naive)
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
                options = {"world": world, "engine": engine}
                engine.url = await serve(
                    Application([(r"/v1/orders", OrdersHandler, options)])
                )
                world.engines.append(engine)
        url = await serve(make_platform(world.platform))
        watching = asyncio.create_task(world.watch())
        agents = [
            Agent(world, f"{data_centre}-vm{number}", data_centre, url)
            for data_centre in DATA_CENTRES
            for number in range(AGENTS)
        ]
        until = time.monotonic() + RUN_S
        await asyncio.gather(
            break_things(world, agents, until), change_versions(world, until)
        )
        world.calm = True
        healed = time.monotonic()
        wanted = str(world.wanted_version)
        while time.monotonic() < healed + 30 and any(
            set(engine.models.values()) != {wanted} for engine in world.engines
        ):
            await asyncio.sleep(0.05)
        converge_s = time.monotonic() - healed
        for agent in agents:
            agent.stop()
        watching.cancel()
        await asyncio.sleep(0.3)
    current = [set(e.models.values()) == {wanted} for e in world.engines]
    return {
        "part": "naive" if naive else "product",
        "leases": sum(world.planned.values()),
        "versions": world.wanted_version,
        **{
            name: world.counts[name]
            for name in ("pauses", "accepted", "refused", "unknown", "not_sent")
        },
        "stale_checked": world.counts["stale_checked"],
        "stale_unchecked": world.counts["stale_unchecked"],
        "concurrent_loads_max": world.loads_max,
        "unserved_s": round(world.unserved_s, 2),
        "converged": all(current),
        "converge_s": round(converge_s, 1),
        "table_writes_per_s": round(world.platform.writes / RUN_S, 1),
        "table_reads_per_s": round(world.platform.reads / RUN_S, 1),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
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
