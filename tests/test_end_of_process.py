"""The end of the product's own process in a planned stop, also with faulty parts."""

import asyncio
import contextlib
import json
import os
import signal
import time

import pytest

from misbehaving_clients import running_process
from router_process import PROMPT, wait_until
from test_planned_stop import ANSWER_TIMEOUT_S, GRACE_S, LONG, PATIENT, begin_stop

MAIN = "from endivelug.platform.__main__ import main; main()"
HANGING_CLOSE = """
import asyncio
from endivelug.forwarding.peers import Peers

async def hang(peers):
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            pass

Peers.close = hang
"""
FAILING_CLOSE = """
from endivelug.forwarding.peers import Peers

async def fail(peers):
    raise ValueError("a fault")

Peers.close = fail
"""
FAILING_STOP = """
from endivelug.forwarding.front_server import FrontServer

def fail(server):
    raise ValueError("a fault")

FrontServer.stop_accepting = fail
"""
BUSY_STOP = """
import time
from endivelug.forwarding.front_server import FrontServer

def block(server):
    while True:
        time.sleep(0.01)

FrontServer.stop_accepting = block
"""
BUSY_LOOP = """
import asyncio, os, time
from endivelug.forwarding.loop_watch import LoopWatch

async def block(watch):
    while not os.path.exists({path!r}):
        await asyncio.sleep(0.01)
    for _ in range({slices}):
        time.sleep(0.01)

LoopWatch.run = block
"""
FAILING_RUN = """
import asyncio
from endivelug.forwarding.node import Node

async def fail(node):
    node.log("started")
    raise ValueError("a fault")

Node.run = fail
"""


def program(fault):
    return ("-c", f"{fault}\n{MAIN}")


def log_lines(running):
    return [json.loads(line) for line in running.log_path.read_text().splitlines()]


async def seconds_to_end(running):
    began_at = time.monotonic()
    running.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        await running.process.wait()
    return time.monotonic() - began_at


# Guards against a part that keeps a stop beyond its grace period, or whose fault skips
# what comes after it: the process would be killed, and its last lines lost.
@pytest.mark.parametrize(
    ("fault", "part", "exit_code"),
    [
        (HANGING_CLOSE, "peers", 0),
        (FAILING_CLOSE, "peers", 0),
        (FAILING_STOP, "planned_stop", 0),
        (BUSY_STOP, "process", 1),
    ],
)
def test_a_faulty_part_does_not_keep_the_process_from_its_end(
    tmp_path, fault, part, exit_code
):
    async def scenario():
        async with running_process(tmp_path, program=program(fault), **LONG) as running:
            assert await seconds_to_end(running) < GRACE_S
            assert running.process.returncode == exit_code
            lines = log_lines(running)
            failed = [line for line in lines if line["message_type"] == "close-failed"]
            assert [line["part"] for line in failed] == [part]
            assert lines[-1]["message_type"] == "exiting"
            assert lines[-1]["failed"] == [part]

    asyncio.run(scenario())


# Guards against requests without an answer because the stop itself meets a fault.
def test_a_fault_in_the_stop_does_not_cut_requests(tmp_path):
    async def scenario():
        faulty = program(FAILING_STOP)
        async with running_process(tmp_path, program=faulty, **LONG) as running:

            async def hang(exchange):
                await asyncio.sleep(ANSWER_TIMEOUT_S)

            running.desk.script = hang
            call = asyncio.create_task(
                running.request(target="/a/orders/1", headers=PATIENT)
            )
            before = len(running.desk.exchanges)
            await wait_until(lambda: len(running.desk.exchanges) > before)
            await seconds_to_end(running)
            response = await call
            assert (response.status, response.complete) == (502, True)

    asyncio.run(scenario())


# Guards against counting the grace period from the time at which a busy event loop
# notices the signal: the process would be killed before it has answered.
def test_the_grace_period_begins_with_the_signal(tmp_path):
    async def scenario():
        busy = tmp_path / "busy"
        slices = int(GRACE_S / 2 / 0.01)
        fault = BUSY_LOOP.format(path=str(busy), slices=slices)
        async with running_process(tmp_path, program=program(fault), **LONG) as running:

            async def hang(exchange):
                await asyncio.sleep(ANSWER_TIMEOUT_S)

            running.desk.script = hang
            call = asyncio.create_task(
                running.request(target="/a/orders/1", headers=PATIENT)
            )
            before = len(running.desk.exchanges)
            await wait_until(lambda: len(running.desk.exchanges) > before)
            busy.touch()
            await asyncio.sleep(0.2)
            assert await seconds_to_end(running) < GRACE_S
            response = await call
            assert (response.status, response.complete) == (502, True)

    asyncio.run(scenario())


# Guards against an exit code of a failure because a signal comes while the process
# ends, when the event loop's handlers are gone.
def test_signals_during_the_end_of_a_process_do_not_end_it_as_a_failure(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:
            await begin_stop(running)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while running.process.returncode is None:
                    for number in (signal.SIGHUP, signal.SIGTERM):
                        # The method of the process could collect its exit code;
                        # the watcher of asyncio would then report 255.
                        with contextlib.suppress(ProcessLookupError):
                            os.kill(running.process.pid, number)
                    await asyncio.sleep(0.001)
            assert running.process.returncode == 0

    asyncio.run(scenario())


# Guards against a process that ends by an error without a line that says so.
def test_a_process_that_fails_has_its_last_lines_in_the_log(tmp_path):
    async def scenario():
        with pytest.raises(ConnectionRefusedError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with running_process(tmp_path, program=program(FAILING_RUN)):
                    raise AssertionError("it has to fail")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("misbehaving_clients._wait_until_serving", refuse_when_ended)
        asyncio.run(scenario())
    text = (tmp_path / "node.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    assert [line["message_type"] for line in lines] == ["started", "process-failed"]
    assert "a fault" in lines[-1]["reason"]


async def refuse_when_ended(running):
    assert await running.process.wait() == 1
    raise ConnectionRefusedError


# Guards against a stop of which the log does not tell which requests were in progress,
# how they ended, and how long it took.
def test_the_log_of_a_stop_names_its_requests(tmp_path):
    async def scenario():
        async with running_process(tmp_path, **LONG) as running:

            async def stream(exchange):
                await exchange.start_stream()
                await asyncio.sleep(1.0)
                await exchange.send_event(1)
                await exchange.end_stream()

            running.engine.script = stream
            headers = {"X-Request-Id": "stream", **PATIENT, **PROMPT}
            call = asyncio.create_task(running.request(target="/a/x", headers=headers))
            await wait_until(lambda: running.engine.exchanges)
            took_s = await seconds_to_end(running)
            assert (await call).complete
            lines = {line["message_type"]: line for line in log_lines(running)}
            assert lines["stopping"]["requests"] == ["stream"]
            assert lines["stopped"]["ends"] == {"delivered": 1}
            assert lines["stopped"]["left"] == 0
            assert 0 < lines["stopped"]["took_s"] <= lines["exiting"]["took_s"] < took_s
            assert lines["exiting"]["failed"] == []
            assert lines["exiting"]["lines_dropped"] == 0

    asyncio.run(scenario())
