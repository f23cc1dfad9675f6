"""CPU time of one placement decision (look-up plan and choice) by number of engines."""

import random
import time
from collections.abc import Iterator
from typing import Any

from endivelug.messages import EngineView
from endivelug.outstanding_work import INTERACTIVE
from endivelug.placement import Candidate, Placement, PlacementRequest
from endivelug.preferred_engines import Demand

SEGMENTS = 8
ROUNDS = 1500
SIZES = (13, 53, 106, 212)


def measure_size(engines: int, rng: random.Random) -> float:
    """Return the median CPU time of one decision in microseconds."""
    placement = Placement(routers=70, demand=Demand(scale=70.0), started_at=-60.0)
    candidates = [
        Candidate(
            name=f"engine{number}",
            incarnation=1,
            weights_version="1",
            owner=f"vm{number % 70}",
            import_tokens_s=25_000.0,
        )
        for number in range(engines)
    ]
    prefixes = [[rng.getrandbits(64) for _ in range(SEGMENTS - 1)] for _ in range(200)]
    times = []
    for number in range(ROUNDS):
        keys = [*rng.choice(prefixes), rng.getrandbits(64)]
        request = PlacementRequest(
            keys=keys,
            tokens=[2000] * SEGMENTS,
            work_class=INTERACTIVE,
            weights_version="1",
            unversioned_keys=[key ^ 1 for key in keys],
        )
        now = number / 17
        start = time.process_time_ns()
        lookups = placement.plan_lookups(request, candidates, now=now)
        plan_ns = time.process_time_ns() - start
        views = [
            EngineView(
                engine=name,
                incarnation=1,
                depth=rng.randrange(SEGMENTS),
                interactive_tokens=rng.randrange(8000),
                batch_tokens=rng.randrange(16000),
                streams=rng.randrange(40),
                preferred_count=rng.randrange(1, 8),
                known=True,
                recent_tokens=0,
            )
            for names in lookups.values()
            for name in names
        ]
        start = time.process_time_ns()
        placement.choose(request, candidates, views=views, now=now)
        times.append((plan_ns + time.process_time_ns() - start) / 1000)
    return sorted(times[ROUNDS // 3 :])[ROUNDS // 3]


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    rng = random.Random(seed)
    medians = {}
    for engines in SIZES:
        medians[engines] = measure_size(engines, rng)
        yield {"engines": engines, "cpu_us_p50": round(medians[engines], 1)}
    slope = (medians[SIZES[-1]] - medians[SIZES[0]]) / (SIZES[-1] - SIZES[0])
    yield {
        "measurement": "decide",
        "seed": seed,
        "cpu_us_p50": round(medians[53], 1),
        "slope_us_per_engine": round(slope, 2),
    }
