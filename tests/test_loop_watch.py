"""Lateness of the event loop."""

import asyncio
import time

from endivelug.forwarding.loop_watch import LATE_S, LoopWatch
from endivelug.forwarding.process_pauses import ProcessPauses
from forwarding_builders import LogRecorder


def make_watch(log):
    pauses = ProcessPauses(clock=time.monotonic)
    return LoopWatch(pauses=pauses, clock=time.monotonic, log=log)


# Guards against a loop that is blocked without a line in the log.
def test_a_blocked_loop_is_logged():
    log = LogRecorder()
    watch = make_watch(log)

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
    watch = make_watch(log)
    watch.record(LATE_S / 2)
    assert log.events() == []
