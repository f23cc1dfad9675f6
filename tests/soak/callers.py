"""Callers that reuse connections and record the outcome of each request."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

import h11

from .routers import Router

# Kinds of requests: "review" is a stream that may be resumed and "short" one that must
# run once; "order" must run once and "look" may run again.
KINDS = ("review", "short", "order", "look")
# Most requests may run again, so that routers need their retry budget.
KIND_WEIGHTS = (1, 3, 2, 5)
STREAM_KINDS = ("review", "short")
ONCE_KINDS = ("short", "order")
TARGETS = {
    "review": "/a/x",
    "short": "/short/x",
    "order": "/a/orders/x",
    "look": "/look/x",
}
DEADLINE_S = {"review": 6.0, "short": 6.0, "order": 1.0, "look": 1.0}
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.5
# Requests on one connection before the caller opens a new one.
MAX_REQUESTS_PER_CONNECTION = 20
MEAN_PAUSE_S = 0.05


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of one request, as observed by its caller.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response arrived.
    complete : bool
        Whether the whole response arrived.
    connected : bool
        Whether the router accepted a connection.
    stopping : bool
        Whether the router was being stopped when the request ended.
    """

    request: str
    kind: str
    key: str
    router: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b""
    connected: bool = True
    stopping: bool = False

    @property
    def served(self) -> bool:
        return self.status == 200 and self.complete


@dataclass(slots=True, kw_only=True)
class _Connection:
    router: Router
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: h11.Connection
    request_count: int = 0


@dataclass(slots=True, kw_only=True)
class Callers:
    """Callers, and a load balancer that chooses a router for each connection.

    Attributes
    ----------
    failed_probes : dict of str to int
        Consecutive failed readiness probes by router; two make it not ready.
    """

    routers: list[Router]
    rng: random.Random
    keys: tuple[str, ...]
    outcomes: list[Outcome] = field(default_factory=list)
    failed_probes: dict[str, int] = field(default_factory=dict)

    async def probe_routers(self) -> None:
        """Probe the readiness of every router until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(router) for router in self.routers))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def run(self, until: float) -> None:
        """Send requests one after another until the given time."""
        connection: _Connection | None = None
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
            if (
                connection is not None
                and connection.request_count >= MAX_REQUESTS_PER_CONNECTION
            ):
                connection.writer.close()
                connection = None
            connection = await self._send_request(connection)
        if connection is not None:
            connection.writer.close()

    async def _probe(self, router: Router) -> None:
        host, _, port = router.ready_address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                ready = b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            ready = False
        finally:
            if writer is not None:
                writer.close()
        failed_probes = 0 if ready else self.failed_probes.get(router.name, 2) + 1
        self.failed_probes[router.name] = failed_probes
        router.ready = failed_probes < 2
        router.was_ready = router.was_ready or ready

    async def _send_request(self, connection: _Connection | None) -> _Connection | None:
        (kind,) = self.rng.choices(KINDS, KIND_WEIGHTS)
        ready = [router for router in self.routers if router.ready] or self.routers
        router = connection.router if connection else self.rng.choice(ready)
        outcome = Outcome(
            request=f"{self.rng.randrange(1 << 64):016x}",
            kind=kind,
            key=self.rng.choice(self.keys),
            router=router.name,
            sent_at=time.monotonic(),
        )
        self.outcomes.append(outcome)
        try:
            async with asyncio.timeout(DEADLINE_S[kind] + 1.0):
                if connection is None:
                    connection = await self._connect(router, outcome)
                if connection is not None:
                    await self._exchange(connection, outcome)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        outcome.ended_at = time.monotonic()
        outcome.stopping = router.stopping
        return self._reuse_or_close(connection, outcome)

    def _reuse_or_close(
        self, connection: _Connection | None, outcome: Outcome
    ) -> _Connection | None:
        if connection is None:
            return None
        parser = connection.parser
        if outcome.complete and parser.our_state is h11.DONE:
            with contextlib.suppress(h11.LocalProtocolError):
                parser.start_next_cycle()
                connection.request_count += 1
                return connection
        connection.writer.close()
        return None

    async def _connect(self, router: Router, outcome: Outcome) -> _Connection | None:
        host, _, port = router.front.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            outcome.connected = False
            return None
        return _Connection(
            router=router,
            reader=reader,
            writer=writer,
            parser=h11.Connection(our_role=h11.CLIENT),
        )

    async def _exchange(self, connection: _Connection, outcome: Outcome) -> None:
        parser, writer = connection.parser, connection.writer
        outcome.sent_at = time.monotonic()
        request = h11.Request(
            method="GET" if outcome.kind == "look" else "POST",
            target=TARGETS[outcome.kind],
            headers=_headers(outcome),
        )
        writer.write(parser.send(request) or b"")
        writer.write(parser.send(h11.EndOfMessage()) or b"")
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await connection.reader.read(65536))
            elif isinstance(event, h11.Response):
                outcome.status = event.status_code
            elif isinstance(event, h11.Data):
                outcome.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                outcome.complete = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return


def _headers(outcome: Outcome) -> list[tuple[str, str]]:
    headers = [
        ("Host", "h.example"),
        ("Content-Length", "0"),
        ("X-Request-Id", outcome.request),
        ("X-Deadline-Ms", str(int(1000 * DEADLINE_S[outcome.kind]))),
        ("X-Credential", outcome.key),
    ]
    if outcome.kind in STREAM_KINDS:
        segments = f"aa:1200,{outcome.request[:8]}:300"
        headers += [
            ("X-Model", "m"),
            ("X-Token-Usage", "1500,30"),
            ("X-Prompt-Prefix", segments),
        ]
    return headers
