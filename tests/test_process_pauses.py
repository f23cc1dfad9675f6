"""A process that was paused: its timers expire before it reads what has arrived.

uvloop runs expired timers before it polls the sockets. A process is mostly stopped
while it polls; a callback of that phase that blocks stands in for it.
"""

import asyncio
import contextlib
import os
import socket
import time

import pytest
import uvloop

from endivelug.forwarding import attempt_limits
from endivelug.forwarding.attempt_limits import (
    ENGINE_SILENCE_MARGIN_S,
    SAFE_ATTEMPT_SHARE,
)
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.loop_watch import LoopWatch
from endivelug.forwarding.process_pauses import PAUSE_S, ProcessPauses
from endivelug.forwarding.silence_detection import ENGINE_SILENCE_S
from forwarding_builders import LogRecorder, ManualClock, configuration_document
from platform_standins import response_bytes, running_upstream
from router_process import PROMPT, metrics_port, run_scenario, wait_until
from unanswered_connections import FullListener

__all__ = ["metrics_port"]

# The first packet of a connection is sent again after a second.
SYN_RETRY_S = 1.0


@contextlib.asynccontextmanager
async def ticking(watch):
    task = asyncio.create_task(watch.run())
    await wait_until(lambda: watch.pauses.ticked_at is not None)
    yield
    task.cancel()


class BlockedPoll(asyncio.Protocol):
    """Runs a function while the event loop polls its sockets."""

    def __init__(self, run):
        self.run = run

    def data_received(self, data):
        self.run()


async def answer_before_pause(exchange, data, seconds):
    """Put bytes into the router's socket, and pause before it can read them."""
    done = asyncio.Event()

    def run():
        os.write(exchange.writer.get_extra_info("socket").fileno(), data)
        time.sleep(seconds)
        done.set()

    own, other = socket.socketpair()
    with other:
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: BlockedPoll(run), sock=own)
        other.send(b"x")
        await done.wait()


# Guards against repeating all requests in progress after a pause although their answers
# have arrived: the time limit of each had passed.
def test_an_answer_that_came_during_a_pause_is_read_before_the_request_is_repeated():
    async def scenario(system):
        async def script(exchange):
            data = response_bytes(exchange.id, b"in time")
            await answer_before_pause(exchange, data, SAFE_ATTEMPT_SHARE + PAUSE_S)

        for desk in system.desks:
            desk.script = script
        async with ticking(system.node.loop_watch):
            response = await system.request("/look/it")
        assert (response.status, response.body) == (200, b"in time")
        assert len(system.attempts()) == 1

    run_scenario(scenario, new_loop=uvloop.new_event_loop)


# Guards against the same for a stream whose engine had not begun to answer.
def test_a_stream_that_began_during_a_pause_stays_at_its_engine():
    async def scenario(system):
        async def script(exchange):
            data = response_bytes(exchange.id, b"id: 1\ndata: whole\n\n")
            await answer_before_pause(exchange, data, 2 * ENGINE_SILENCE_MARGIN_S)

        for engine in system.engines:
            engine.script = script
        async with ticking(system.node.loop_watch):
            await system.request(headers={**PROMPT, "X-Deadline-Ms": "9000"})
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, new_loop=uvloop.new_event_loop)


# Guards against engines that are left by all routers because one router was paused.
def test_an_engine_is_not_silent_because_this_process_was_paused():
    async def scenario(system):
        async def script(exchange):
            await exchange.start_stream()
            await exchange.send_event(1)
            await wait_until(system.node.view.loads.has_work)
            # The watch looks more often while there is work.
            await asyncio.sleep(ENGINE_SILENCE_S / 2)
            event = b"id: 2\ndata: piece2\n\n"
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            await answer_before_pause(exchange, chunk, 3 * ENGINE_SILENCE_S)
            await exchange.end_stream()

        system.engines[0].script = script
        watch = asyncio.create_task(system.node.silence_watch.run())
        async with ticking(system.node.loop_watch):
            response = await system.request(headers={**PROMPT, "X-Deadline-Ms": "9000"})
        watch.cancel()
        assert response.complete
        assert "instance-silent" not in system.log.events()

    run_scenario(scenario, new_loop=uvloop.new_event_loop)


# Guards against taking an engine for cut off because the time limit of a connection
# attempt passed during a pause, in which the connection was made.
def test_a_connection_that_was_made_during_a_pause_counts():
    async def scenario():
        pauses = ProcessPauses(clock=time.monotonic)
        pool = ConnectionPool(clock=time.monotonic)
        reach = EngineReach(pool=pool, pauses=pauses, clock=time.monotonic)
        watch = LoopWatch(pauses=pauses, clock=time.monotonic, log=LogRecorder())
        async with running_upstream() as upstream, ticking(watch):
            with contextlib.closing(FullListener(upstream)) as listener:
                check = asyncio.create_task(
                    reach.check(upstream.address, timeout_s=SYN_RETRY_S)
                )
                await listener.wait_for_attempt()
                listener.accept_again()
                time.sleep(2 * SYN_RETRY_S)
                assert await check is Reach.ACCEPTS
        pool.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


# Guards against timers that run before the late tick and do not know of the pause, and
# against pauses where nothing ticks.
@pytest.mark.parametrize("ticks", [True, False])
def test_a_pause_is_known_before_the_late_tick(ticks):
    clock = ManualClock(10.0)
    pauses = ProcessPauses(clock=clock)
    if ticks:
        pauses.tick()
    clock.now += PAUSE_S / 2
    assert pauses.running_since() == float("-inf")
    clock.now += PAUSE_S
    assert pauses.running_since() == (clock.now if ticks else float("-inf"))
    assert (pauses.extend(0.0) > clock.now) is ticks


# Guards against an upstream that all routers avoid because one router was paused while
# it connected.
def test_a_connection_that_met_a_pause_does_not_make_an_upstream_avoided(monkeypatch):
    monkeypatch.setattr(attempt_limits, "CONNECT_TIMEOUT_S", SYN_RETRY_S)
    configuration = configuration_document()
    for route in configuration["routes"]:
        route["timeoutMs"] = 60_000

    async def scenario(system):
        (desk,) = system.desks
        avoided = []
        system.node.forwarder.on_avoid = lambda name, for_s: avoided.append(name)
        async with ticking(system.node.loop_watch):
            with contextlib.closing(FullListener(desk)) as listener:
                headers = {"X-Deadline-Ms": "60000"}
                response = asyncio.create_task(
                    system.request("/look/it", headers=headers)
                )
                await listener.wait_for_attempt()
                listener.accept_again()
                time.sleep(2 * SYN_RETRY_S)
                await wait_until(lambda: "attempt-failed" in system.log.events())
                assert not avoided
                response.cancel()

    run_scenario(
        scenario, new_loop=uvloop.new_event_loop, desks=1, configuration=configuration
    )
