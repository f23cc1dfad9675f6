"""A planned stop of the product's own process while requests are in progress."""

import asyncio
import json
import signal

import pytest

from misbehaving_clients import running_process
from platform_standins import request
from router_process import PROMPT, wait_until
from store_standin import _StoreHandler

# Routes let their requests last longer than the grace period.
GRACE_S = 4.0
LONG = {"timeout_ms": 20_000, "grace_s": GRACE_S}
PATIENT = {"X-Deadline-Ms": "20000"}
ANSWER_TIMEOUT_S = 30.0


async def begin_stop(running):
    """Send SIGTERM, and return once the process has taken notice of it."""
    running.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while (await request(running.ready, method="GET")).status != 503:
            await asyncio.sleep(0.02)


async def end_of(running):
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        return await running.process.wait()


def ends_in_log(running):
    lines = [json.loads(line) for line in running.log_path.read_text().splitlines()]
    return {
        line["request"]: (line["message_type"], line.get("outcome"))
        for line in lines
        if line.get("message_type") in ("refused", "ended", "caller-left")
    }


# Guards against requests that are cut without an answer at the end of a planned stop,
# among them requests that waited and never reached an upstream.
def test_what_is_in_progress_at_the_end_of_a_stop_is_answered(tmp_path):
    async def scenario():
        async with running_process(tmp_path, slots=1, **LONG) as running:

            async def hang(exchange):
                await asyncio.sleep(ANSWER_TIMEOUT_S)

            async def stall(exchange):
                await exchange.start_stream()
                await exchange.send_event(1)
                await asyncio.sleep(ANSWER_TIMEOUT_S)

            running.desk.script, running.engine.script = hang, stall
            before = len(running.desk.exchanges)

            def call(request_id, target, **headers):
                headers = {"X-Request-Id": request_id, **PATIENT, **headers}
                coroutine = running.request(target=target, headers=headers)
                return asyncio.create_task(coroutine)

            # An upstream gets two requests for its slot; the third one waits.
            sent = [call("sent1", "/a/orders/1"), call("sent2", "/a/orders/2")]
            await wait_until(lambda: len(running.desk.exchanges) == before + 2)
            waiting = call("waiting", "/a/orders/3")
            stream = call("stream", "/a/x", **PROMPT)
            await wait_until(lambda: running.engine.exchanges)
            await begin_stop(running)
            assert await end_of(running) == 0
            assert [(await response).status for response in sent] == [502, 502]
            refused = await waiting
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            assert json.loads(refused.body)["run"] == "not-run"
            assert len(running.desk.exchanges) == before + 2
            response = await stream
            assert response.status == 200
            assert not response.complete
            assert ends_in_log(running) == {
                "sent1": ("ended", "may-have-run"),
                "sent2": ("ended", "may-have-run"),
                "waiting": ("refused", "not-run"),
                "stream": ("ended", "broken"),
            }

    asyncio.run(scenario())


# Guards against taking requests during a planned stop that cannot end within it, and
# against refusing those that can.
def test_requests_that_do_not_fit_into_the_rest_of_a_stop_are_refused(tmp_path):
    async def scenario():
        async with running_process(tmp_path, **LONG) as running:

            async def script(exchange):
                if exchange.target.startswith("/a/orders/"):
                    await asyncio.sleep(GRACE_S)
                await exchange.respond()

            running.desk.script = script
            first = await running.request(target="/a/orders/1", headers=PATIENT)
            assert first.status == 200
            await begin_stop(running)
            headers = {"X-Request-Id": "short", **PATIENT}
            short = await running.request(target="/look/it", headers=headers)
            headers = {"X-Request-Id": "long", **PATIENT}
            long = await running.request(target="/a/orders/2", headers=headers)
            assert (short.status, long.status) == (200, 503)
            assert float(long.headers["retry-after"]) >= 0
            assert long.headers["connection"] == "close"
            assert json.loads(long.body)["run"] == "not-run"
            assert "long" not in [exchange.id for exchange in running.desk.exchanges]
            assert await end_of(running) == 0

    asyncio.run(scenario())


# Guards against taking a stream whose route this VM knows nothing about, because it has
# just been restarted: the target is the time to the first event, not to the end.
def test_a_stream_of_an_unknown_length_is_refused_in_a_stop(tmp_path):
    async def scenario():
        async with running_process(tmp_path, **LONG) as running:

            async def stream(exchange):
                await exchange.start_stream()
                await asyncio.sleep(GRACE_S)
                await exchange.end_stream()

            running.engine.script = stream
            await begin_stop(running)
            headers = {"X-Request-Id": "stream", **PATIENT, **PROMPT}
            response = await running.request(target="/a/x", headers=headers)
            assert (response.status, response.complete) == (503, True)
            assert float(response.headers["retry-after"]) > 0
            assert json.loads(response.body)["run"] == "not-run"
            assert running.engine.exchanges == []
            assert await end_of(running) == 0

    asyncio.run(scenario())


# Guards against requests that wait until the end of a stop for an upstream, although
# they cannot be sent any more: another VM would have answered them meanwhile.
def test_a_waiting_request_is_refused_once_it_no_longer_fits(tmp_path):
    async def scenario():
        async with running_process(tmp_path, slots=1, **LONG) as running:

            async def script(exchange):
                first = exchange.id == "first"
                await asyncio.sleep(1.0 if first else ANSWER_TIMEOUT_S)
                await exchange.respond()

            def call(request_id):
                headers = {"X-Request-Id": request_id, **PATIENT}
                coroutine = running.request(target="/a/orders/1", headers=headers)
                return asyncio.create_task(coroutine)

            running.desk.script = script
            assert (await call("first")).status == 200
            before = len(running.desk.exchanges)
            sent = [call("sent1"), call("sent2")]
            await wait_until(lambda: len(running.desk.exchanges) == before + 2)
            waiting = call("waiting")
            await begin_stop(running)
            async with asyncio.timeout(GRACE_S / 2):
                refused = await waiting
            assert refused.status == 503
            assert json.loads(refused.body)["run"] == "not-run"
            assert [(await response).status for response in sent] == [502, 502]
            assert await end_of(running) == 0

    asyncio.run(scenario())


# Guards against taking requests for longer than the notice because the order lease is
# given back at a store that does not answer. Requests that come 3 s after SIGTERM have
# to be ended by the process that took them.
def test_requests_are_refused_on_time_in_a_stop_although_the_store_is_silent(
    tmp_path, monkeypatch
):
    async def never_answer(handler):
        await asyncio.Event().wait()

    async def scenario():
        async with running_process(tmp_path) as running:
            lease = ("endivelug", "lease/all/orders")
            await wait_until(lambda: lease in running.store.rows, ANSWER_TIMEOUT_S)
            monkeypatch.setattr(_StoreHandler, "prepare", never_answer)
            await begin_stop(running)
            await asyncio.sleep(3.0)
            before = len(running.desk.exchanges)
            # The process no longer listens.
            with pytest.raises(ConnectionRefusedError):
                await running.request(target="/look/it", headers=PATIENT)
            assert len(running.desk.exchanges) == before
            assert await end_of(running) == 0

    asyncio.run(scenario())
