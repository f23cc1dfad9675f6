"""Lateness of the event loop."""

import asyncio
import time

from endivelug.forwarding.loop_watch import LATE_S, LoopWatch
from forwarding_builders import LogRecorder


# Guards against a loop that is blocked without a line in the log.
def test_a_blocked_loop_is_logged():
    log = LogRecorder()
    watch = LoopWatch(clock=time.monotonic, log=log)

    async def run():
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.01)
        time.sleep(3 * LATE_S)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    assert log.events() == ["loop-late"]
    assert watch.longest_s >= LATE_S


# Guards against a line for each small delay.
def test_a_short_delay_is_not_logged():
    log = LogRecorder()
    watch = LoopWatch(clock=time.monotonic, log=log)
    watch.record(LATE_S / 2)
    assert log.events() == []
