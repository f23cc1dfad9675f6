"""CPU time of a relay's reports, of placements and of rounds of waiting calls.

Nothing is sent, so that two versions can be compared on a busy machine. The digests are
those of the reports and placements; they are the same if no decision has changed.
"""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Iterator
from typing import Any

from endivelug import codec
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.instance_load import LoadReport
from endivelug.forwarding.neighbour import NO_MEMBER, Neighbour
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.peer_messages import RouterReport
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.placement import Placement, Placer
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import ReportBuilder
from endivelug.forwarding.report_stream import Standing
from endivelug.forwarding.reported_amounts import Audience
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.retry_budget import RetryReport, SharedRetryBudget
from endivelug.forwarding.routes import Repeat, Route, WeightedService
from endivelug.forwarding.row_store import StoredRow
from endivelug.forwarding.shared_amounts import SharedAmountTable
from endivelug.platform.records import PlatformRecords

VMS = 74
MEMBERS = 8
RELAYS = 7
ENGINES = 30
SLOTS = 48
SERVICES = 4
ORGANISATIONS = 16
REQUESTS_PER_S = 480.0
ROUNDS = 100
CALLS = 1000
# Calls that wait in a round; a round gives up after as many that fit nowhere.
WAITING = 16
WAITING_ROUNDS = 50
REPEATS = 5
# Every 22nd prompt is long.
LONG_PROMPT_INTERVAL = 22
NOW = 100.0


def _ignore_log(event: str, **fields: Any) -> None:
    pass


def _make_view() -> ClusterView:
    return ClusterView(records=PlatformRecords(), clock=lambda: NOW, log=_ignore_log)


def _make_report(
    sequence: int, *, relay: bool, work: list[LoadReport], retries: list[RetryReport]
) -> RouterReport:
    return RouterReport(
        sequence=sequence,
        full=sequence == 1,
        number=NO_MEMBER,
        acknowledged=[],
        relay=relay,
        vms=VMS // (RELAYS + 1) if relay else 1,
        relays=[],
        registry_lost=False,
        follows_store=False,
        rows_age_s=0.0,
        lease_s=0.0,
        tables=[],
        work=work,
        retries=retries,
        amounts=[],
        notices=[],
        weights=[],
        parts=[],
        desired_weights=[],
    )


def _encode_reports(rng: random.Random) -> list[tuple[int, bytes]]:
    """Return reports of members, which change some loads, and of relays: all loads."""
    heard = [[0] * ENGINES for _ in range(MEMBERS + RELAYS)]
    reports = []
    for sequence in range(1, ROUNDS + 1):
        for peer in range(MEMBERS + RELAYS):
            relay = peer >= MEMBERS
            changed = ENGINES if relay else ENGINES // 3
            work = []
            for engine in rng.sample(range(ENGINES), changed):
                heard[peer][engine] += rng.randrange(1, 9)
                work.append(
                    LoadReport(
                        instance=f"engine-{engine}",
                        requests=rng.randrange(SLOTS),
                        uncached_tokens=rng.randrange(20_000),
                        memory_tokens=rng.randrange(90_000),
                        heard=heard[peer][engine],
                    )
                )
            retries = [
                RetryReport(
                    service=f"service-{number}",
                    requests=rng.randrange(90),
                    retries=rng.randrange(9),
                )
                for number in range(SERVICES)
            ]
            report = _make_report(sequence, relay=relay, work=work, retries=retries)
            reports.append((peer, codec.encode(report)))
    return reports


def _exchange(reports: list[tuple[int, bytes]]) -> tuple[float, str]:
    """Apply reports and build the own ones; return the CPU time and the digest."""
    view, shared = _make_view(), SharedAmountTable()
    budget = SharedRetryBudget(ratio=0.2, slack=50.0, window_s=10.0)
    builder = ReportBuilder(
        view=view,
        budget=budget,
        shared=shared,
        lease_remaining_s=lambda: 0.0,
        ordered_engines=lambda: [],
        clock=view.clock,
    )
    applier = PeerReportApplier(
        view=view,
        budget=budget,
        shared=shared,
        refused=RefusedCallers(),
        builder=builder,
        clock=view.clock,
    )
    neighbours = [Neighbour(last_received_at=NOW) for _ in range(MEMBERS + RELAYS)]
    standing = Standing(
        relay=True,
        relays=("vm",),
        registry_lost=False,
        follows_store=False,
        rows_age_s=0,
    )
    digest = hashlib.sha256()
    started = time.process_time()
    for index, (peer, data) in enumerate(reports, start=1):
        _, report = codec.decode(data)
        assert isinstance(report, RouterReport)
        applier.apply(f"vm{peer}", neighbours[peer], report, forwards=True)
        if index % (MEMBERS + RELAYS):
            continue
        builder.collect_changes()
        for audience in Audience:
            built = builder.build_changes(audience, standing, acknowledged=[])
            built.work.sort(key=lambda item: item.instance)
            built.retries.sort(key=lambda item: item.service)
            digest.update(codec.encode(built))
    return time.process_time() - started, digest.hexdigest()[:16]


def _make_placer(*, full: bool) -> Placer:
    view, rng = _make_view(), random.Random(1)
    engine = {
        "slots": SLOTS,
        "kvCapacityTokens": 146_957,
        "kvTokenBytes": 18_432,
        "linkMbps": 180_000.0,
        "models": [{"name": "m"}],
    }
    documents: dict[tuple[str, str], Any] = {
        ("op", "config"): {
            "version": 1,
            "routes": [],
            "services": [{"name": "engines", "maxConnections": 360, "engine": engine}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304},
        }
    }
    for number in range(ENGINES):
        documents["servers", f"e{number}"] = {
            "service": "engines",
            "address": f"127.0.0.1:{9000 + number}",
            "zone": f"dc{number % 4}",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": 1,
            "born": 1000,
        }
    view.apply(
        [
            StoredRow(table=table, key=key, value=json.dumps(value).encode(), version=1)
            for (table, key), value in documents.items()
        ],
        source="store",
    )
    placer = Placer(
        view=view,
        data_centre="dc1",
        weights_limit_s=10.0,
        clock=view.clock,
        rng=rng,
    )
    placer.fleet.vms = VMS
    placer.fleet.requests_per_s = lambda service: REQUESTS_PER_S
    for number in range(ENGINES):
        requests = SLOTS if full else rng.randrange(SLOTS // 3, SLOTS - 8)
        load = Load(requests=requests, memory_tokens=40_000)
        view.loads.neighbours.set("relay", f"e{number}", load)
    return placer


def _make_calls(rng: random.Random) -> list[Call]:
    route = Route(
        name="r",
        host="h.example",
        prefix="/a/",
        repeat=Repeat.UNSAFE,
        streaming=True,
        resumable=True,
        timeout_s=10.0,
        target_s=1.0,
        gap_target_s=0.8,
        max_attempts=2,
        priority=1,
        public=False,
        generates=True,
        services=(WeightedService(service="engines", weight=1.0),),
    )
    calls = []
    for number in range(CALLS):
        sizes = (13_000, 4_000) if number % LONG_PROMPT_INTERVAL == 0 else (200, 200)
        names = (f"{sizes[0]}/{rng.randrange(ORGANISATIONS)}", f"own/{number}")
        prompt = [
            PromptSegment(segment_id=name, tokens=tokens)
            for name, tokens in zip(names, sizes, strict=True)
        ]
        request = InboundRequest(
            id=f"q{number}",
            method="POST",
            target="/a/x",
            host="h.example",
            headers=[],
            key="k",
            received_at=NOW,
            deadline=NOW + 10.0,
            model="m",
            prompt=prompt,
            prompt_tokens=sum(sizes),
            output_tokens=30,
        )
        calls.append(
            Call(
                request=request,
                route=route,
                organisation=None,
                service="engines",
                configuration_version=1,
                target_at=NOW + 1.0,
                deadline=NOW + 10.0,
            )
        )
    return calls


def _place(*, full: bool) -> tuple[float, str]:
    """Place calls on engines of other VMs' load; return the CPU time and the digest."""
    placer, calls = _make_placer(full=full), _make_calls(random.Random(1))
    digest = hashlib.sha256()
    started = time.process_time()
    for call in calls:
        placement = placer.place(call)
        if isinstance(placement, Placement):
            digest.update(placement.instance.name.encode())
        else:
            digest.update(str(placement).encode())
    return time.process_time() - started, digest.hexdigest()[:16]


async def _assign() -> tuple[float, str]:
    """Try calls that wait for full engines; return the CPU time and the number left."""
    placer = _make_placer(full=True)
    dispatcher = Dispatcher(placer=placer, clock=placer.clock)
    tasks = [
        asyncio.create_task(
            dispatcher.place(call, expires_at=call.deadline, returning=False)
        )
        for call in _make_calls(random.Random(1))[:WAITING]
    ]
    while len(dispatcher.waiters) < WAITING:
        await asyncio.sleep(0)
    started = time.process_time()
    for _ in range(WAITING_ROUNDS):
        dispatcher._assign()
    cpu_s = time.process_time() - started
    left = len(dispatcher.waiters)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return cpu_s, f"{left} wait"


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for the reports and one for each state of the engines."""
    reports = _encode_reports(random.Random(seed))
    results = {
        "report": (len(reports), [_exchange(reports) for _ in range(REPEATS)]),
        "placement": (CALLS, [_place(full=False) for _ in range(REPEATS)]),
        "failed_placement": (CALLS, [_place(full=True) for _ in range(REPEATS)]),
        "waiting_round": (
            WAITING_ROUNDS,
            [asyncio.run(_assign()) for _ in range(REPEATS)],
        ),
    }
    summary: dict[str, Any] = {"summary": "forwarding_cost", "seed": seed}
    for name, (count, runs) in results.items():
        # The fastest run is the least disturbed one.
        us = round(1e6 * min(cpu_s for cpu_s, _ in runs) / count, 1)
        yield {"part": name, "cpu_us": us, "digest": runs[0][1]}
        summary[f"cpu_us_per_{name}"] = us
    yield summary
