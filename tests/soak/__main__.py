"""Command line: ``python -m soak --seed N --seconds S`` in the folder of the tests."""

import argparse
import asyncio
import json
import logging
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .faults import Faults
from .promises import Promises
from .world import ISOLATED, ORGANISATIONS, running_world

CALLERS = 12
# Calm time before the first fault and after the last one.
CALM_S = 6.0
FAULT_PAUSE_S = 1.5


@dataclass(slots=True, kw_only=True)
class SoakResult:
    """What one seed showed."""

    seed: int
    requests: int
    served: int
    faults: list[tuple[float, str]]
    violations: list[str]
    unexpected_exits: list[str]

    @property
    def passed(self) -> bool:
        return not self.violations and not self.unexpected_exits


async def soak(*, seed: int, seconds: float, routers: int, folder: Path) -> SoakResult:
    """Play one seed; the logs of the routers go into the folder."""
    rng = random.Random(seed)
    async with running_world(rng=rng, routers=routers, folder=folder) as world:
        faults = Faults(world=world, rng=random.Random(seed + 1))
        end = time.monotonic() + seconds + CALM_S
        callers = [
            asyncio.create_task(world.callers.run(end + CALM_S)) for _ in range(CALLERS)
        ]
        await asyncio.sleep(CALM_S)
        await faults.run(end, pause_s=FAULT_PAUSE_S)
        await asyncio.gather(*callers)
        await asyncio.sleep(1.0)
        promises = Promises(
            outcomes=world.callers.outcomes,
            record=world.record,
            calm=world.calm,
            grants=world.grants,
            organisations=ORGANISATIONS,
            isolated=ISOLATED,
        )
        return SoakResult(
            seed=seed,
            requests=len(world.callers.outcomes),
            served=sum(1 for item in world.callers.outcomes if item.served),
            faults=faults.log,
            violations=promises.violations(),
            unexpected_exits=[
                f"{router.name} exited with {code}"
                for router in world.routers
                for code in router.exits
                if code not in (0, -9)
            ],
        )


def main() -> None:
    """Play seeds one after the other; exit 1 where a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--routers", type=int, default=4)
    options = parser.parse_args()
    # The store stand-in logs each answer that it was told to refuse.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    first = options.seed if options.seed is not None else int(time.time()) % 1_000_000
    failed = False
    for seed in range(first, first + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = asyncio.run(
            soak(
                seed=seed,
                seconds=options.seconds,
                routers=options.routers,
                folder=folder,
            )
        )
        failed = failed or not result.passed
        print(
            json.dumps(
                {
                    "seed": seed,
                    "passed": result.passed,
                    "requests": result.requests,
                    "served": result.served,
                    "faults": len(result.faults),
                    "violations": result.violations[:10],
                    "unexpected_exits": result.unexpected_exits,
                    "logs": str(folder),
                }
            ),
            flush=True,
        )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
