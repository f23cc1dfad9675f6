"""Engines that are heard while a connection attempt checks whether they are silent."""

import asyncio
import contextlib

from endivelug.forwarding.attempt import SILENCE_CHECK_INTERVAL_S
from endivelug.forwarding.engine_reach import (
    CUT_OFF_ATTEMPT_INTERVAL_S,
    CUT_OFF_TIMEOUT_S,
)
from endivelug.forwarding.silence_watch import PROBE_INTERVAL_S, PROBE_TIMEOUT_S
from router_process import PROMPT, metrics_port, run_scenario, wait_until
from test_process_pauses import ticking
from test_stream_recovery import unrepeatable_streams
from unanswered_connections import FullListener

__all__ = ["metrics_port"]

EVENT_INTERVAL_S = 0.02
# A stream looks between two events whether to leave its engine.
SLOW_INTERVAL_S = 1.5 * SILENCE_CHECK_INTERVAL_S
# Longer than the checks of whether an engine is cut off.
CHECKS_S = 2 * (
    2 * PROBE_INTERVAL_S
    + PROBE_TIMEOUT_S
    + CUT_OFF_ATTEMPT_INTERVAL_S
    + CUT_OFF_TIMEOUT_S
)


# Guards against leaving an engine at all VMs because one packet of a check was lost,
# although the engine sent more of its answer meanwhile.
def test_an_engine_that_is_heard_during_a_check_is_not_silent():
    async def scenario(system):
        with contextlib.ExitStack() as stack:
            (engine,) = system.engines

            async def script(exchange):
                await exchange.start_stream()
                await exchange.send_event(1)
                listener = FullListener(engine)
                stack.callback(listener.close)
                await listener.wait_for_attempt()
                number = 1
                while system.node.silence_watch.probes:
                    number += 1
                    await exchange.send_event(number)
                    await asyncio.sleep(EVENT_INTERVAL_S)
                await exchange.end_stream()

            engine.script = script
            watch = asyncio.create_task(system.node.silence_watch.run())
            headers = {**PROMPT, "X-Deadline-Ms": "9000"}
            async with ticking(system.node.loop_watch):
                response = await system.request(headers=headers)
            watch.cancel()
        assert response.complete
        assert "instance-silent" not in system.log.events()

    run_scenario(scenario, configuration=unrepeatable_streams())


# Guards against a stream that goes on elsewhere while its engine, whose queue of new
# connections is full, sends more of it.
def test_an_engine_that_is_heard_is_not_cut_off():
    async def scenario(system):
        with contextlib.ExitStack() as stack:

            def make_script(engine):
                async def script(exchange):
                    await exchange.start_stream()
                    await exchange.send_event(1)
                    stack.callback(FullListener(engine).close)
                    await wait_until(lambda: "instance-silent" in system.log.events())
                    for number in range(2, 2 + round(CHECKS_S / SLOW_INTERVAL_S)):
                        await exchange.send_event(number)
                        await asyncio.sleep(SLOW_INTERVAL_S)
                    await exchange.end_stream()

                return script

            for engine in system.engines:
                engine.script = make_script(engine)
            watch = asyncio.create_task(system.node.silence_watch.run())
            headers = {**PROMPT, "X-Deadline-Ms": "9000"}
            response = await system.request(headers=headers)
            watch.cancel()
        assert response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())
