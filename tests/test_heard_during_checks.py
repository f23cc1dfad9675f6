"""Engines that are heard while a connection attempt checks whether they are silent."""

import asyncio
import contextlib

from router_process import PROMPT, metrics_port, run_scenario
from test_process_pauses import ticking
from test_stream_recovery import unrepeatable_streams
from unanswered_connections import FullListener

__all__ = ["metrics_port"]

EVENT_INTERVAL_S = 0.02


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
