"""A store that comes back from an older copy again and again.

The operator writes again what was lost, and then a new configuration. The store counts
as undisturbed, so that every configuration and drain is checked: each is older than a
feed takes before the store goes away.
"""

import asyncio
import time

from .faults import Faults

# A configuration or drain has reached all routers after this time.
IN_FORCE_S = 2.0
# Writes of others after the copy, so that the versions which are given out again do not
# soon pass those that were lost.
LOST_WRITES = 500
AWAY_S = (0.2, 1.0)
SECOND_RESTORATION_S = (0.2, 1.0)
WRITTEN_AGAIN_S = (0.0, 0.8)
# A new configuration is checked only if it stays in force for longer than this.
CHECKED_S = 4.0


async def restore_store(faults: Faults, until: float) -> None:
    """Restore the store from a copy without the last configuration and drain."""
    environment, rng = faults.environment, faults.rng
    drains: set[asyncio.Task[None]] = set()
    while time.monotonic() < until:
        copy = environment.store.take_copy()
        for _ in range(LOST_WRITES):
            environment.store.put("elsewhere", "row", {})
        await faults.change_configuration()
        upstream = rng.choice(environment.upstreams)
        if not drains:
            drains.add(asyncio.create_task(upstream.replace(undisturbed=True)))
        await asyncio.sleep(IN_FORCE_S)
        environment.store.fail_with = 503
        await asyncio.sleep(rng.uniform(*AWAY_S))
        environment.store.restore(copy)
        environment.store.fail_with = None
        _note(faults)
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(*SECOND_RESTORATION_S))
            environment.store.restore(copy)
            _note(faults)
        await asyncio.sleep(rng.uniform(*WRITTEN_AGAIN_S))
        environment.write_configuration()
        await faults.change_configuration()
        await asyncio.sleep(CHECKED_S)
        drains = {task for task in drains if not task.done()}
    await asyncio.gather(*drains)


def _note(faults: Faults) -> None:
    environment = faults.environment
    text = f"restore store to era {environment.store.era}"
    faults.log.lines.append((environment.elapsed_s(), text))
