"""Non-idempotent calls: repeats and faults from the seed, and writes per call."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from endivelug.claim_writer import MAX_GROUP, ClaimWriter
from endivelug.object_store import ObjectStore
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Outcome, Ran
from endivelug.service_calls import ServiceCalls
from endivelug.service_client import ServiceClient, ServiceRequest
from endivelug.standin_platform import PlatformState, make_platform
from endivelug.standin_service import ServiceState, make_service
from endivelug.table import Table

ROUTERS = 4
KEYS = 500
FAULTY_S = 15.0
TABLE_TIMEOUT_S = 0.3


@contextlib.asynccontextmanager
async def serving(application: Application) -> AsyncIterator[str]:
    sockets = bind_sockets(0, "127.0.0.1")
    server = HTTPServer(application)
    server.add_sockets(sockets)
    try:
        yield f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
        await server.close_all_connections()


@dataclass
class Call:
    key: str
    attempt: str
    outcome: Outcome | None
    ran_before: bool


@dataclass
class World:
    platform: PlatformState
    platform_url: str
    service: ServiceState
    service_url: str
    rng: random.Random
    routers: list[ServiceCalls] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)

    def make_router(self, name: str, max_group: int = MAX_GROUP) -> ServiceCalls:
        table = Table(url=self.platform_url, timeout_s=TABLE_TIMEOUT_S)
        rng = random.Random(self.rng.random())
        return ServiceCalls(
            vm=name,
            writer=ClaimWriter(table=table, rng=rng, max_group=max_group),
            client=ServiceClient(),
            objects=ObjectStore(url=self.platform_url, timeout_s=TABLE_TIMEOUT_S),
        )

    async def call(self, router: ServiceCalls, key: str, *, timeout_s: float) -> Call:
        attempt = str(len(self.calls))
        call = Call(key, attempt, None, self.service.runs[key] > 0)
        self.calls.append(call)
        request = ServiceRequest(
            service="stock",
            method="POST",
            target="/reserve",
            headers={"X-Attempt": attempt},
            body=b'{"key": "%s"}' % key.encode(),
        )
        with contextlib.suppress(asyncio.CancelledError):
            call.outcome = await router.call(
                request,
                organisation="org",
                idempotency_key=key,
                urls=[self.service_url],
                deadline=time.monotonic() + timeout_s,
            )
        return call

    def crash(self, index: int) -> None:
        """Stop a router at whatever it is doing, and start another in its place."""
        router = self.routers[index]
        for task in list(router._running):
            task.cancel()
        router.writer.close()
        self.routers[index] = self.make_router(f"vm{index}")


@contextlib.asynccontextmanager
async def world(rng: random.Random) -> AsyncIterator[World]:
    platform, service = PlatformState(), ServiceState()
    async with (
        serving(make_platform(platform)) as platform_url,
        serving(make_service(service)) as service_url,
    ):
        yield World(platform, platform_url, service, service_url, rng)


async def break_things(made: World, until: float) -> None:
    """Bring about one fault after another, some of them at the same time."""
    rng, table, service = made.rng, made.platform.faults, made.service.faults
    while time.monotonic() < until:
        match rng.choice(["lose", "outage", "late", "drop", "cut", "slow", "crash"]):
            case "lose":
                table.lose_answers = rng.randint(1, 4)
            case "outage":
                table.outage_until = time.monotonic() + rng.uniform(0.05, 0.8)
            case "late":
                # Above the client's timeout: the writes take effect later.
                table.delay_s = rng.choice([0.0, 0.05, TABLE_TIMEOUT_S * 1.5])
            case "drop":
                service.drop_answers = rng.randint(1, 3)
                service.refuse = rng.randint(0, 2)
            case "cut":
                service.cut_answers = rng.randint(1, 2)
            case "slow":
                service.delay_s = rng.choice([0.0, 0.02, 0.5])
                service.crashed = rng.random() < 0.2
            case "crash":
                made.crash(rng.randrange(ROUTERS))
        await asyncio.sleep(rng.uniform(0.02, 0.25))
    table.outage_until = table.delay_s = 0.0
    table.lose_answers = 0
    service.drop_answers = service.cut_answers = service.refuse = 0
    service.delay_s, service.crashed = 0.0, False


async def one_key(made: World, key: str, start_s: float) -> None:
    """Send a request, perhaps a duplicate at once, and repeats until settled."""
    rng = made.rng
    await asyncio.sleep(start_s)
    copies = rng.choice([1, 1, 2, 3])
    for _ in range(rng.randint(1, 4)):
        calls = await asyncio.gather(
            *(
                made.call(
                    rng.choice(made.routers), key, timeout_s=rng.uniform(0.1, 1.5)
                )
                for _ in range(copies)
            )
        )
        if any(isinstance(call.outcome, Ran) for call in calls):
            break
        copies = 1
        await asyncio.sleep(rng.uniform(0.0, 1.0))


async def under_faults(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with world(rng) as made:
        made.routers = [made.make_router(f"vm{index}") for index in range(ROUTERS)]
        until = time.monotonic() + FAULTY_S
        keys = [f"key{index}" for index in range(KEYS)]
        await asyncio.gather(
            break_things(made, until),
            *(one_key(made, key, rng.uniform(0, FAULTY_S - 1)) for key in keys),
        )
        for router in made.routers:
            await router.drain(deadline=time.monotonic() + 10)
        asked = len(made.calls)
        final = {}
        for key in keys:
            router = rng.choice(made.routers)
            final[key] = (await made.call(router, key, timeout_s=2.0)).outcome
        return judge(made, asked, final)


def judge(made: World, asked: int, final: dict[str, Outcome | None]) -> dict[str, Any]:
    """Compare what the callers were told with what the service saw."""
    kinds = Counter(type(call.outcome).__name__ for call in made.calls[:asked])
    not_run = [call for call in made.calls if isinstance(call.outcome, NotRun)]
    ran = [call for call in made.calls if isinstance(call.outcome, Ran)]
    answered = {call.key for call in ran}
    answers = [call.outcome for call in ran]
    return {
        "part": "faults",
        "calls": len(made.calls),
        "keys": len(final),
        "outcomes": dict(kinds),
        "double_runs": sum(count > 1 for count in made.service.runs.values()),
        "false_not_run": sum(
            call.attempt in made.service.received_attempts
            or (call.ran_before and not call.outcome.earlier_unknown)
            for call in not_run
            if isinstance(call.outcome, NotRun)
        ),
        # Refused in an outage, and told that an earlier request may have run.
        "repeats_refused_after_run": sum(call.ran_before for call in not_run),
        "ran_without_run": sum(made.service.runs[call.key] == 0 for call in ran),
        "crossed": sum(
            isinstance(answer, Ran) and f'"{call.key}"'.encode() not in answer.body
            for call, answer in zip(ran, answers, strict=True)
            if isinstance(answer, Ran) and answer.body is not None
        ),
        "answers_forgotten": sum(
            not isinstance(final[key], Ran) for key in answered if key in final
        ),
        "unsettled": sum(
            isinstance(outcome, InProgress | NotRun) for outcome in final.values()
        ),
        "unknown_rate": round(
            sum(isinstance(outcome, MayHaveRun) for outcome in final.values())
            / len(final),
            4,
        ),
    }


async def writes(
    seed: int, *, part: str, callers: int, calls: int, max_group: int, pause_s: float
) -> dict[str, Any]:
    """Count writes and reads of the table per call without faults, at one VM."""
    async with world(random.Random(seed)) as made:
        router = made.make_router("vm0", max_group)

        async def caller(number: int) -> None:
            for turn in range(calls):
                await asyncio.sleep(made.rng.expovariate(1 / pause_s) if pause_s else 0)
                await made.call(router, f"{number}-{turn}", timeout_s=30.0)

        started = time.monotonic()
        await asyncio.gather(*(caller(number) for number in range(callers)))
        elapsed_s = time.monotonic() - started
        await router.drain(deadline=time.monotonic() + 10)
        total = callers * calls
        assert sum(made.service.runs.values()) == total
        return {
            "part": part,
            "calls": total,
            "calls_per_s": round(total / elapsed_s),
            "writes_per_call": round(made.platform.writes / total, 3),
            "reads_per_call": round(made.platform.reads / total, 3),
        }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    faults = asyncio.run(under_faults(seed))
    yield faults
    parts = {}
    for part, callers, calls, max_group, pause_s in [
        ("single", 1, 200, MAX_GROUP, 0.0),
        ("node_rate", 17, 8, MAX_GROUP, 1.0),
        ("load_ungrouped", 64, 20, 1, 0.0),
        ("load_grouped", 64, 20, MAX_GROUP, 0.0),
    ]:
        parts[part] = asyncio.run(
            writes(
                seed,
                part=part,
                callers=callers,
                calls=calls,
                max_group=max_group,
                pause_s=pause_s,
            )
        )
        yield parts[part]
    yield {
        "calls": faults["calls"],
        "double_runs": faults["double_runs"],
        "false_not_run": faults["false_not_run"],
        "unknown_rate": faults["unknown_rate"],
        "writes_per_call": parts["single"]["writes_per_call"],
        "writes_per_call_grouped": parts["load_grouped"]["writes_per_call"],
        "writes_per_call_ungrouped": parts["load_ungrouped"]["writes_per_call"],
        "writes_per_call_node_rate": parts["node_rate"]["writes_per_call"],
        "reads_per_call": parts["load_grouped"]["reads_per_call"],
        "crossed": faults["crossed"],
        "answers_forgotten": faults["answers_forgotten"],
        "repeats_refused_after_run": faults["repeats_refused_after_run"],
    }
