"""Upstreams of the soak; they run and record requests and carry out weights orders."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_standins import Exchange, StoreStandIn, UpstreamStandIn

from .proxy import Proxy

HEARTBEAT_S = 0.6
WEIGHTS_LOAD_S = 0.4
EVENT_INTERVAL_S = 0.02
EVENTS = 12
DRAIN_SLACK_S = 0.2


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request that an upstream accepted."""

    request: str
    instance: str
    at: float
    organisation: str | None
    namespace: str | None
    weights: int | None
    resumed: bool


@dataclass(slots=True, kw_only=True)
class UpstreamRecord:
    """Observations of all upstreams.

    Attributes
    ----------
    arrivals : list of (float, str, str)
        Time, service and id of each request that reached an upstream.
    requests_with_key : list of str
        Requests that were forwarded with the caller's key.
    late_requests : list of str
        Requests that reached a draining instance after all routers had to know of its
        stop.
    """

    runs: dict[str, list[Run]] = field(default_factory=dict)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    requests_with_key: list[str] = field(default_factory=list)
    late_requests: list[str] = field(default_factory=list)
    fences: dict[str, int] = field(default_factory=dict)


class SoakUpstream:
    """One upstream behind a proxy; it registers itself like a real upstream.

    Attributes
    ----------
    drain_written_at : float
        When the draining state was written to an undisturbed store; otherwise
        infinite.
    desired_version : callable
        Returns the newest announced weights version.
    """

    def __init__(
        self,
        *,
        service: str,
        store: StoreStandIn,
        record: UpstreamRecord,
        rng: random.Random,
        slots: int,
        engine: bool,
        desired_version: Callable[[], int],
    ) -> None:
        self.service = service
        self.store = store
        self.record = record
        self.rng = rng
        self.slots = slots
        self.engine = engine
        self.desired_version = desired_version
        self.server_standin = UpstreamStandIn()
        self.proxy = Proxy("")
        self.instance = ""
        self.started_ms = 0
        self.version = 1
        self.sequence = 0
        self.fencing = 0
        self.busy = False
        self.state = "ready"
        self.alive = False
        self.drain_written_at = float("inf")
        self.running = 0
        self.server: asyncio.Server | None = None
        self.load_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register, sometimes under the previous name."""
        if not self.proxy.address:
            await self.proxy.start()
            # An engine starts for the first time with the newest weights.
            self.version = self.desired_version()
        self.server_standin.script = self._handle
        self.server = await asyncio.start_server(
            self.server_standin.serve, "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.proxy.target = f"127.0.0.1:{port}"
        same_name = self.instance and self.rng.random() < 0.3
        if not same_name:
            self.instance = f"i-{self.rng.randrange(1 << 40):010x}"
        self.started_ms = time.time_ns() // 1_000_000
        self.sequence, self.fencing, self.busy = 0, 0, False
        self.state, self.alive = "ready", True
        self.drain_written_at = float("inf")
        self.register()

    def crash(self) -> None:
        """End at once, without removing the registration from the store."""
        self.alive = False
        self.proxy.target = ""
        if self.server is not None:
            self.server.close()
        self.proxy.reset()

    async def restart(self, seconds: float) -> None:
        """Crash, and start again without any state after some seconds."""
        name = self.instance
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()
        if self.instance != name:
            self.store.remove("servers", name)

    async def replace(self, *, undisturbed: bool) -> None:
        """Drain, stop after 4 s, and start again as a new instance."""
        name = self.instance
        self.state = "draining"
        self.register()
        if undisturbed:
            self.drain_written_at = time.monotonic()
        await asyncio.sleep(4.0)
        self.crash()
        self.store.remove("servers", name)
        self.instance = ""
        await asyncio.sleep(0.5)
        await self.start()

    def register(self) -> None:
        """Write the registration to the store."""
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
                "born": self.started_ms,
            },
        )

    async def heartbeats(self) -> None:
        """Write the registration at each heartbeat until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))
            if self.alive:
                self.register()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.target.startswith("/report"):
            await self._handle_report(exchange)
        elif exchange.target.startswith("/order"):
            await self._handle_order(exchange)
        else:
            await self._handle_request(exchange)

    async def _handle_report(self, exchange: Exchange) -> None:
        models = [{"name": "m", "version": self.version, "adapters": []}]
        document = {"models": models, "busy": self.busy, "seq": self.sequence}
        await exchange.respond(json.dumps(document).encode())

    async def _handle_order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body)
        fencing = order["fence"]
        if fencing < self.fencing:
            await exchange.respond(b"{}", status=412)
        elif self.busy or order.get("expected", self.sequence) != self.sequence:
            await exchange.respond(b"{}", status=409)
        elif order["version"] > self.desired_version():
            await exchange.respond(b"{}", status=400)
        else:
            self.fencing, self.busy = fencing, True
            self.sequence += 1
            self.load_task = asyncio.create_task(self._load_weights(order["version"]))
            await exchange.respond(b"{}", status=202)

    async def _load_weights(self, version: int) -> None:
        await asyncio.sleep(WEIGHTS_LOAD_S)
        self.version, self.busy = version, False

    async def _refuse(self, exchange: Exchange, status: int) -> None:
        headers = {"X_Not_Executed": "1"} if status == 503 else {}
        await exchange.respond(b"", status=status, **headers)

    async def _handle_request(self, exchange: Exchange) -> None:
        headers, now = exchange.headers, time.monotonic()
        self.record.arrivals.append((now, self.service, exchange.id))
        if "x-credential" in headers:
            self.record.requests_with_key.append(exchange.id)
        if headers.get("x-expect-instance") != self.instance:
            await self._refuse(exchange, 421)
            return
        if now > self.drain_written_at + 2.0 + DRAIN_SLACK_S:
            self.record.late_requests.append(exchange.id)
        expected = headers.get("x-expect-version")
        if self.engine and expected not in (None, str(self.version)):
            await self._refuse(exchange, 421)
            return
        if self.busy or self.running >= self.slots:
            await self._refuse(exchange, 503)
            return
        self._record_run(exchange, now)
        self.running += 1
        try:
            if self.engine:
                await self._stream(exchange)
            else:
                await asyncio.sleep(self.rng.uniform(0.01, 0.05))
                await exchange.respond(exchange.id.encode())
        finally:
            self.running -= 1

    def _record_run(self, exchange: Exchange, now: float) -> None:
        headers = exchange.headers
        run = Run(
            request=exchange.id,
            instance=f"{self.instance}/{self.started_ms}",
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
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.end_stream()
