"""Upstreams of the soak: they run requests, keep a record, and obey weights orders."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_standins import Exchange, StoreStandIn, UpstreamStandIn

from .proxy import Proxy

HEARTBEAT_S = 0.6
LOAD_S = 0.4
EVENT_GAP_S = 0.02
EVENTS = 12
SETTLED_S = 0.2


@dataclass(slots=True, kw_only=True)
class Run:
    """One request that began to run."""

    request: str
    instance: str
    at: float
    organisation: str | None
    namespace: str | None
    weights: int | None
    resumed: bool


@dataclass(slots=True, kw_only=True)
class Record:
    """What all upstreams saw.

    Attributes
    ----------
    arrivals : list of (float, str, str)
        Time, service and id of each request that reached an upstream.
    late : list of str
        Requests that reached an instance after everyone had to know that it leaves.
    """

    runs: dict[str, list[Run]] = field(default_factory=dict)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    keys_passed: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    fences: dict[str, int] = field(default_factory=dict)


class SoakUpstream:
    """One upstream behind a proxy; it registers itself like those of the platform.

    Attributes
    ----------
    leaves_at : float
        When its draining was written while the store was calm; infinite otherwise.
    """

    def __init__(
        self,
        *,
        service: str,
        store: StoreStandIn,
        record: Record,
        rng: random.Random,
        slots: int,
        engine: bool,
        wanted: Callable[[], int],
    ) -> None:
        self.service = service
        self.store = store
        self.record = record
        self.rng = rng
        self.slots = slots
        self.engine = engine
        self.wanted = wanted
        self.standin = UpstreamStandIn()
        self.proxy = Proxy("")
        self.instance = ""
        self.born = 0
        self.version = 1
        self.sequence = 0
        self.fence = 0
        self.busy = False
        self.state = "ready"
        self.alive = False
        self.leaves_at = float("inf")
        self.running = 0
        self.server: asyncio.Server | None = None
        self.loading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register under a new name."""
        if not self.proxy.address:
            await self.proxy.start()
            # A new engine has the newest weights.
            self.version = self.wanted()
        self.standin.script = self._script
        self.server = await asyncio.start_server(self.standin.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy.target = f"127.0.0.1:{port}"
        same = self.instance and self.rng.random() < 0.3
        if not same:
            self.instance = f"i-{self.rng.randrange(1 << 40):010x}"
        self.born = time.time_ns() // 1_000_000
        self.sequence, self.fence, self.busy = 0, 0, False
        self.state, self.alive = "ready", True
        self.leaves_at = float("inf")
        self.register()

    def crash(self) -> None:
        """End at once; the entry in the store stays for some heartbeats."""
        self.alive = False
        self.proxy.target = ""
        if self.server is not None:
            self.server.close()
        self.proxy.reset()

    async def restart(self, seconds: float) -> None:
        """Crash and come back with nothing."""
        name = self.instance
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()
        if self.instance != name:
            self.store.remove("servers", name)

    async def replace(self, *, calm: bool) -> None:
        """Announce the stop, serve on for a while, and come back as another one."""
        name = self.instance
        self.state = "draining"
        self.register()
        if calm:
            self.leaves_at = time.monotonic()
        await asyncio.sleep(4.0)
        self.crash()
        self.store.remove("servers", name)
        self.instance = ""
        await asyncio.sleep(0.5)
        await self.start()

    def register(self) -> None:
        """Write the entry."""
        self.store.put(
            "servers",
            self.instance,
            {
                "service": self.service,
                "address": self.proxy.address,
                "zone": "dc1",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "models": [{"name": "m", "version": self.version, "adapters": []}]
                if self.engine
                else [],
                "seq": self.sequence,
                "born": self.born,
            },
        )

    async def heartbeats(self) -> None:
        """Write the entry again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))
            if self.alive:
                self.register()

    async def _script(self, exchange: Exchange) -> None:
        if exchange.target.startswith("/report"):
            await self._report(exchange)
        elif exchange.target.startswith("/order"):
            await self._order(exchange)
        else:
            await self._request(exchange)

    async def _report(self, exchange: Exchange) -> None:
        models = [{"name": "m", "version": self.version, "adapters": []}]
        document = {"models": models, "busy": self.busy, "seq": self.sequence}
        await exchange.respond(json.dumps(document).encode())

    async def _order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body)
        fence = order["fence"]
        if fence < self.fence:
            await exchange.respond(b"{}", status=412)
        elif self.busy or order.get("expected", self.sequence) != self.sequence:
            await exchange.respond(b"{}", status=409)
        elif order["version"] > self.wanted():
            await exchange.respond(b"{}", status=400)
        else:
            self.fence, self.busy = fence, True
            self.sequence += 1
            self.loading = asyncio.create_task(self._load(order["version"]))
            await exchange.respond(b"{}", status=202)

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version, self.busy = version, False

    async def _refuse(self, exchange: Exchange, status: int) -> None:
        headers = {"X_Not_Executed": "1"} if status == 503 else {}
        await exchange.respond(b"", status=status, **headers)

    async def _request(self, exchange: Exchange) -> None:
        headers, now = exchange.headers, time.monotonic()
        self.record.arrivals.append((now, self.service, exchange.id))
        if "x-credential" in headers:
            self.record.keys_passed.append(exchange.id)
        if headers.get("x-expect-instance") != self.instance:
            await self._refuse(exchange, 421)
            return
        if now > self.leaves_at + 2.0 + SETTLED_S:
            self.record.late.append(exchange.id)
        expected = headers.get("x-expect-version")
        if self.engine and expected not in (None, str(self.version)):
            await self._refuse(exchange, 421)
            return
        if self.busy or self.running >= self.slots:
            await self._refuse(exchange, 503)
            return
        self._note(exchange, now)
        self.running += 1
        try:
            if self.engine:
                await self._stream(exchange)
            else:
                await asyncio.sleep(self.rng.uniform(0.01, 0.05))
                await exchange.respond(exchange.id.encode())
        finally:
            self.running -= 1

    def _note(self, exchange: Exchange, now: float) -> None:
        headers = exchange.headers
        run = Run(
            request=exchange.id,
            instance=f"{self.instance}/{self.born}",
            at=now,
            organisation=headers.get("x-tenant"),
            namespace=headers.get("x-cache-salt"),
            weights=self.version if self.engine else None,
            resumed="last-event-id" in headers,
        )
        self.record.runs.setdefault(exchange.id, []).append(run)

    async def _stream(self, exchange: Exchange) -> None:
        first = int(exchange.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.rng.uniform(0.02, 0.1))
        await exchange.start_stream()
        for number in range(first, EVENTS + 1):
            data = f"id: {number}\ndata: {exchange.id}-{number}\n\n"
            await exchange.send_chunk(data.encode())
            await asyncio.sleep(EVENT_GAP_S)
        await exchange.end_stream()
