"""Non-idempotent calls under duplicates and faults, and table writes per call."""

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
KEY_COUNT = 500
FAULT_PERIOD_S = 15.0
TABLE_TIMEOUT_S = 0.3


@contextlib.asynccontextmanager
async def serve_application(application: Application) -> AsyncIterator[str]:
    """Serve an application on a loopback port and yield its URL."""
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
    """One call of a caller.

    Attributes
    ----------
    attempt : str
        Number by which the service identifies the call.
    outcome : Outcome or None
        Outcome that the caller saw; None if its router crashed first.
    ran_before : bool
        Whether the service had run the key before this call.
    """

    key: str
    attempt: str
    outcome: Outcome | None
    ran_before: bool


@dataclass
class System:
    """Stand-in platform and service, the routers and all calls so far."""

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
        """Cancel all work of a router and replace it by a new one."""
        router = self.routers[index]
        for task in list(router._running):
            task.cancel()
        router.writer.close()
        self.routers[index] = self.make_router(f"vm{index}")


@contextlib.asynccontextmanager
async def running_system(rng: random.Random) -> AsyncIterator[System]:
    """Run the stand-in platform and service."""
    platform, service = PlatformState(), ServiceState()
    async with (
        serve_application(make_platform(platform)) as platform_url,
        serve_application(make_service(service)) as service_url,
    ):
        yield System(platform, platform_url, service, service_url, rng)


async def inject_faults(system: System, until: float) -> None:
    """Inject random faults, some of which overlap."""
    rng, table, service = system.rng, system.platform.faults, system.service.faults
    while time.monotonic() < until:
        match rng.choice(["lose", "outage", "late", "drop", "cut", "slow", "crash"]):
            case "lose":
                table.lose_answers = rng.randint(1, 4)
            case "outage":
                table.outage_until = time.monotonic() + rng.uniform(0.05, 0.8)
            case "late":
                # With a delay above the client's timeout, writes take effect later.
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
                system.crash(rng.randrange(ROUTERS))
        await asyncio.sleep(rng.uniform(0.02, 0.25))
    table.outage_until = table.delay_s = 0.0
    table.lose_answers = 0
    service.drop_answers = service.cut_answers = service.refuse = 0
    service.delay_s, service.crashed = 0.0, False


async def call_with_key(system: System, key: str, start_s: float) -> None:
    """Send a call and possible duplicates, then repeat it a few times until it ran."""
    rng = system.rng
    await asyncio.sleep(start_s)
    duplicates = rng.choice([1, 1, 2, 3])
    for _ in range(rng.randint(1, 4)):
        calls = await asyncio.gather(
            *(
                system.call(
                    rng.choice(system.routers), key, timeout_s=rng.uniform(0.1, 1.5)
                )
                for _ in range(duplicates)
            )
        )
        if any(isinstance(call.outcome, Ran) for call in calls):
            break
        duplicates = 1
        await asyncio.sleep(rng.uniform(0.0, 1.0))


async def measure_faults(seed: int) -> dict[str, Any]:
    """Send calls during faults, then repeat each key once without faults."""
    rng = random.Random(seed)
    async with running_system(rng) as system:
        system.routers = [system.make_router(f"vm{index}") for index in range(ROUTERS)]
        until = time.monotonic() + FAULT_PERIOD_S
        keys = [f"key{index}" for index in range(KEY_COUNT)]
        await asyncio.gather(
            inject_faults(system, until),
            *(
                call_with_key(system, key, rng.uniform(0, FAULT_PERIOD_S - 1))
                for key in keys
            ),
        )
        for router in system.routers:
            await router.drain(deadline=time.monotonic() + 10)
        call_count = len(system.calls)
        final_outcomes = {}
        for key in keys:
            router = rng.choice(system.routers)
            final_outcomes[key] = (
                await system.call(router, key, timeout_s=2.0)
            ).outcome
        return summarise(system, call_count, final_outcomes)


def summarise(
    system: System, call_count: int, final_outcomes: dict[str, Outcome | None]
) -> dict[str, Any]:
    """Compare the outcomes that callers saw with the requests that the service saw."""
    outcome_counts = Counter(
        type(call.outcome).__name__ for call in system.calls[:call_count]
    )
    not_run = [call for call in system.calls if isinstance(call.outcome, NotRun)]
    ran = [call for call in system.calls if isinstance(call.outcome, Ran)]
    ran_keys = {call.key for call in ran}
    results = [call.outcome for call in ran]
    return {
        "part": "faults",
        "calls": len(system.calls),
        "keys": len(final_outcomes),
        "outcomes": dict(outcome_counts),
        "double_runs": sum(count > 1 for count in system.service.runs.values()),
        "false_not_run": sum(
            call.attempt in system.service.received_attempts
            or (call.ran_before and not call.outcome.earlier_unknown)
            for call in not_run
            if isinstance(call.outcome, NotRun)
        ),
        # Refused during an outage, with a note that an earlier request may have run.
        "repeats_refused_after_run": sum(call.ran_before for call in not_run),
        "ran_without_run": sum(system.service.runs[call.key] == 0 for call in ran),
        "crossed": sum(
            isinstance(result, Ran) and f'"{call.key}"'.encode() not in result.body
            for call, result in zip(ran, results, strict=True)
            if isinstance(result, Ran) and result.body is not None
        ),
        "answers_forgotten": sum(
            not isinstance(final_outcomes[key], Ran)
            for key in ran_keys
            if key in final_outcomes
        ),
        "unsettled": sum(
            isinstance(outcome, InProgress | NotRun)
            for outcome in final_outcomes.values()
        ),
        "unknown_rate": round(
            sum(isinstance(outcome, MayHaveRun) for outcome in final_outcomes.values())
            / len(final_outcomes),
            4,
        ),
    }


async def count_table_accesses(
    seed: int, *, part: str, callers: int, calls: int, max_group: int, pause_s: float
) -> dict[str, Any]:
    """Count table writes and reads per call at one VM without faults."""
    async with running_system(random.Random(seed)) as system:
        router = system.make_router("vm0", max_group)

        async def caller(number: int) -> None:
            for turn in range(calls):
                await asyncio.sleep(
                    system.rng.expovariate(1 / pause_s) if pause_s else 0
                )
                await system.call(router, f"{number}-{turn}", timeout_s=30.0)

        started = time.monotonic()
        await asyncio.gather(*(caller(number) for number in range(callers)))
        elapsed_s = time.monotonic() - started
        await router.drain(deadline=time.monotonic() + 10)
        total = callers * calls
        assert sum(system.service.runs.values()) == total
        return {
            "part": part,
            "calls": total,
            "calls_per_s": round(total / elapsed_s),
            "writes_per_call": round(system.platform.writes / total, 3),
            "reads_per_call": round(system.platform.reads / total, 3),
        }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line with faults, one for each load without faults, and the summary."""
    faults = asyncio.run(measure_faults(seed))
    yield faults
    parts = {}
    for part, callers, calls, max_group, pause_s in [
        ("single", 1, 200, MAX_GROUP, 0.0),
        ("node_rate", 17, 8, MAX_GROUP, 1.0),
        ("load_ungrouped", 64, 20, 1, 0.0),
        ("load_grouped", 64, 20, MAX_GROUP, 0.0),
    ]:
        parts[part] = asyncio.run(
            count_table_accesses(
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
