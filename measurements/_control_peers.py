"""Simulated agents and routers of the other VMs around one agent."""

import asyncio
import json
import random
import statistics
import time
from collections.abc import Callable
from typing import Any

import uvloop

from endivelug.exceptions import EndivelugError
from endivelug.links import Identity, Link, LinkKeeper, LinkServer
from endivelug.messages import (
    Announce,
    Finish,
    Heartbeat,
    Lookup,
    LookupReply,
    Message,
    Subscribe,
    UpstreamEntry,
    UpstreamReport,
)
from measurements._control_load import DATA_CENTRE, SECRET, Load, initial_keys


class _Peers:
    """Agents of all other VMs, and the routers of all VMs."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.rng = random.Random(load.seed)
        self.agents: dict[str, Link] = {}
        self.routers: list[Link] = []
        self.revision_and_digest = (0, 0)
        self.lookup_s: list[float] = []
        self.unanswered_lookups = 0
        self.unknown_lookups = 0
        self.depth_wrong = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.keys_by_engine = {
            name: initial_keys(load, name)[:2000] for name in load.owned_engines()
        }

    def identity(self, vm: str, role: str) -> Identity:
        return Identity(
            vm=vm,
            data_centre=DATA_CENTRE,
            role=role,
            incarnation=1,
            secret=SECRET.encode(),
        )

    async def handle(self, link: Link, message: Message) -> Message | None:
        if isinstance(message, Heartbeat) and message.revision:
            # As in the steady state, the peers report the same configuration.
            self.revision_and_digest = (message.revision, message.digest)
        return None

    async def start(self) -> None:
        load = self.load
        agent = f"127.0.0.1:{load.ports[load.vm]}"
        reports: dict[str, list[UpstreamEntry]] = {}
        for name, vm in load.owners().items():
            reports.setdefault(vm, []).append(
                UpstreamEntry(
                    name=name,
                    address=f"127.0.0.1:{load.ports.get(name, 1)}",
                    kind="engine",
                    pool="chat",
                    models=["base=v1"],
                    adapters=["kampo"],
                    incarnation=1,
                    state="live",
                )
            )
        for vm in load.vms:
            if vm != load.vm:
                await self.start_agent(vm, agent, reports.get(vm, []))
            self.start_link_keeper(vm, "router", agent, self.make_router_on_open(vm))

    async def start_agent(
        self, vm: str, agent: str, report: list[UpstreamEntry]
    ) -> None:
        def on_open(link: Link) -> None:
            self.agents[vm] = link
            link.send(self.heartbeat(vm))
            link.send(UpstreamReport(upstreams=report))

        server = LinkServer(
            identity=self.identity(vm, "agent"), handler=self.handle, on_open=on_open
        )
        await server.start(host="127.0.0.1", port=self.load.ports[vm])
        if vm < self.load.vm:
            self.start_link_keeper(vm, "agent", agent, on_open)
        self.start_task(self.send_heartbeats(vm))

    def make_router_on_open(self, vm: str) -> Callable[[Link], None]:
        def on_open(link: Link) -> None:
            self.routers.append(link)
            if vm == self.load.vm:
                link.send(Subscribe(held=0))

        return on_open

    def start_link_keeper(self, vm: str, role: str, address: str, on_open: Any) -> None:
        keeper = LinkKeeper(
            address=address,
            identity=self.identity(vm, role),
            handler=self.handle,
            rng=self.rng,
            on_open=on_open,
        )
        self.start_task(keeper.run())

    def start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heartbeat(self, vm: str) -> Heartbeat:
        revision, digest = self.revision_and_digest
        return Heartbeat(
            vm=vm,
            incarnation=1,
            revision=revision,
            digest=digest,
            leaving=False,
            reach=len(self.load.vms),
        )

    async def send_heartbeats(self, vm: str) -> None:
        while True:
            # Like real agents, all peers send at the start of each period.
            delay_s = self.load.heartbeat_s - time.time() % self.load.heartbeat_s
            await asyncio.sleep(delay_s + self.rng.uniform(0, 0.01))
            link = self.agents.get(vm)
            if link is not None and not link.closed.is_set():
                link.send(self.heartbeat(vm))

    async def send_lookups(self) -> None:
        """Send look-ups as a Poisson process."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.load.lookups_s))
            if self.routers:
                self.start_task(self.send_lookup())

    async def send_lookup(self) -> None:
        engine = self.rng.choice(list(self.keys_by_engine))
        start = self.rng.randrange(len(self.keys_by_engine[engine]) - 8)
        keys = self.keys_by_engine[engine][start : start + 5]
        message = Lookup(
            request=self.rng.randbytes(8),
            engines=[engine, self.rng.choice(list(self.keys_by_engine))],
            keys=[*keys, *(self.rng.getrandbits(64) for _ in range(3))],
            work_class="interactive",
        )
        started = time.perf_counter()
        try:
            reply = await self.rng.choice(self.routers).request(message, timeout_s=1.0)
        except (EndivelugError, TimeoutError):
            self.unanswered_lookups += 1
            return
        self.lookup_s.append(time.perf_counter() - started)
        known = isinstance(reply, LookupReply) and reply.views[0].known
        self.unknown_lookups += not known

    async def send_requests(self) -> None:
        """Announce and finish requests as a Poisson process."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.load.requests_s))
            if not self.routers:
                continue
            link = self.rng.choice(self.routers)
            request, engine = (
                self.rng.randbytes(8),
                self.rng.choice(list(self.keys_by_engine)),
            )
            try:
                link.send(
                    Announce(
                        request=request,
                        engine=engine,
                        work_class=self.rng.choice(["interactive", "batch"]),
                        tokens=4000,
                        keys=[self.rng.getrandbits(64) for _ in range(3)],
                        ttl_s=30.0,
                    )
                )
                asyncio.get_running_loop().call_later(
                    self.rng.expovariate(0.5), self.send_finish, link, request, engine
                )
            except EndivelugError:
                self.routers.remove(link)

    def send_finish(self, link: Link, request: bytes, engine: str) -> None:
        try:
            link.send(Finish(request=request, engine=engine, over=True))
        except EndivelugError:
            pass

    def summary(self) -> dict[str, Any]:
        percentiles = (
            statistics.quantiles(self.lookup_s, n=100) if self.lookup_s else [0] * 99
        )
        return {
            "lookups": len(self.lookup_s),
            "lookups_unanswered": self.unanswered_lookups,
            "lookups_unknown": self.unknown_lookups,
            "lookup_p50_ms": round(percentiles[49] * 1e3, 2),
            "lookup_p99_ms": round(percentiles[98] * 1e3, 2),
        }


async def _run_peers(
    load: Load, ready: Any, stop: Any, start_load: Any, results: Any
) -> None:
    peers = _Peers(load)
    await peers.start()
    ready.set()
    # Look-ups and requests start once the agent has received the cached keys.
    await asyncio.to_thread(start_load.wait)
    peers.start_task(peers.send_lookups())
    peers.start_task(peers.send_requests())
    await asyncio.to_thread(stop.wait)
    results.put(json.dumps(peers.summary()))


def run_peers(load: Load, ready: Any, stop: Any, start_load: Any, results: Any) -> None:
    """Run all other agents and all routers, in a process of their own."""
    uvloop.run(_run_peers(load, ready, stop, start_load, results))
