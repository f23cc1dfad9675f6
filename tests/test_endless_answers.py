"""Upstreams that send bytes without end, or a byte now and then."""

import asyncio
import time

import pytest

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.buffers.kept_answers import SMALL_ANSWER_BYTES
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.event_stream import MAX_EVENT_BYTES
from endivelug.forwarding.response_parser import MAX_RESPONSE_BYTES
from endivelug.forwarding.upstream_connection import RequestHead
from endless_upstreams import (
    BLOCK,
    BODY_WITHOUT_END,
    ERROR_WITHOUT_END,
    HEADERS_WITHOUT_END,
    NO_HTTP,
    OTHER_ANSWER_WITHOUT_END,
    EndlessUpstream,
)
from platform_standins import response_bytes, running_upstream
from router_process import (
    PROMPT,
    metrics_port,
    run_scenario,
    stream_three_events,
)

__all__ = ["metrics_port"]

DEADLINE = {"X-Deadline-Ms": "4000"}


# Guards against answers without end, which fill the memory of the router until its
# process is ended, and against presenting them to the caller as complete.
@pytest.mark.parametrize(
    ("start", "block"),
    [
        (BODY_WITHOUT_END, BLOCK),
        (ERROR_WITHOUT_END, BLOCK),
        (HEADERS_WITHOUT_END, b"A: b\r\n" * 1000),
        (NO_HTTP, BLOCK),
    ],
)
def test_an_answer_without_end_is_not_kept_and_not_delivered(start, block):
    async def scenario(system):
        scripts = [EndlessUpstream(start, block) for _ in system.desks]
        for desk, script in zip(system.desks, scripts, strict=True):
            desk.script = script
        started = time.monotonic()
        response = await system.request("/look/it", headers=DEADLINE)
        assert response.status in (502, 504)
        assert time.monotonic() - started < 3.0
        for script in scripts:
            assert script.sent_bytes < 4 * MAX_RESPONSE_BYTES

    run_scenario(scenario)


# Guards against keeping the bytes of an answer to another request while the own one is
# awaited, and against waiting longer than the deadline for it to end.
def test_an_endless_answer_to_another_request_is_skipped_until_the_deadline():
    async def scenario(system):
        for desk in system.desks:
            desk.script = EndlessUpstream(OTHER_ANSWER_WITHOUT_END)
        response = await system.request("/look/it", headers={"X-Deadline-Ms": "1000"})
        assert response.status in (502, 504)

    run_scenario(scenario)


# Guards against an event without end in a stream.
def test_an_event_without_end_breaks_the_stream_visibly():
    async def scenario(system):
        async def endless(exchange):
            await exchange.start_stream()
            await exchange.send_event(1)
            sent = 0
            while sent < 20 * MAX_EVENT_BYTES:
                await exchange.send_chunk(BLOCK)
                sent += len(BLOCK)

        system.engines[0].script = endless
        response = await system.request(headers={**PROMPT, **DEADLINE})
        assert not response.complete
        assert BLOCK not in response.body

    run_scenario(scenario)


# Guards against a stalled stream that never ends because a byte arrives now and then:
# it goes on at another engine, like a stream that is silent.
def test_a_trickling_stream_moves_to_another_engine():
    async def scenario(system):
        async def trickle(exchange):
            await exchange.start_stream()
            await exchange.send_event(1)
            for _ in range(200):
                await exchange.send_chunk(b":")
                await asyncio.sleep(0.05)

        async def answer(exchange):
            if exchange.headers.get("last-event-id") != "1":
                await trickle(exchange)
                return
            await exchange.start_stream()
            await exchange.send_event(2)
            await exchange.end_stream()

        for engine in system.engines:
            engine.script = answer
        headers = {**PROMPT, "X-Deadline-Ms": "9000"}
        response = await system.request(headers=headers)
        assert response.complete
        assert len(system.attempts()) == 2

    run_scenario(scenario, engines=2)


# Guards against cutting a slow but sound stream whose events arrive in pieces.
def test_a_slow_stream_whose_events_arrive_in_pieces_is_not_cut():
    async def scenario(system):
        async def slow(exchange):
            await exchange.start_stream()
            for number in range(1, 4):
                for byte in f"id: {number}\ndata: a\n\n".encode():
                    await exchange.send_chunk(bytes([byte]))
                    await asyncio.sleep(0.05)
            await exchange.end_stream()

        system.engines[0].script = slow
        headers = {**PROMPT, "X-Deadline-Ms": "9000"}
        response = await system.request(headers=headers)
        assert response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario)


# Guards against keeping an endless answer of the store or of an engine's control
# interface.
def test_an_endless_answer_to_an_internal_call_is_an_error():
    async def run():
        async with running_upstream() as upstream:
            upstream.script = EndlessUpstream(BODY_WITHOUT_END)
            pool = ConnectionPool(clock=time.monotonic)
            head = RequestHead(method="GET", target="/x", headers=[("Host", "h")])
            with pytest.raises(UpstreamBroken, match="too long"):
                await pool.request(upstream.address, head, timeout_s=20.0)
            assert upstream.script.sent_bytes < 4 * MAX_RESPONSE_BYTES

    asyncio.run(run())


# Guards against ending sound answers instead of those without end when memory is short.
def test_the_longest_answer_is_ended_first():
    async def run():
        async with running_upstream() as upstream:
            pool = ConnectionPool(clock=time.monotonic)
            pool.kept_answers.limit_bytes = MAX_RESPONSE_BYTES // 2
            half_sent, endless_ended = asyncio.Event(), asyncio.Event()

            async def sound(exchange):
                data = response_bytes("", bytes(MAX_RESPONSE_BYTES // 4))
                await exchange.send(data[: len(data) // 2])
                half_sent.set()
                await endless_ended.wait()
                await exchange.send(data[len(data) // 2 :])

            async def script(exchange):
                endless = EndlessUpstream(BODY_WITHOUT_END)
                await (sound if exchange.target == "/sound" else endless)(exchange)

            upstream.script = script

            def call(target):
                head = RequestHead(method="GET", target=target, headers=[("Host", "h")])
                return pool.request(upstream.address, head, timeout_s=15.0)

            answer = asyncio.create_task(call("/sound"))
            await half_sent.wait()
            with pytest.raises(UpstreamBroken, match="no memory is left"):
                await call("/endless")
            endless_ended.set()
            assert len((await answer).body) == MAX_RESPONSE_BYTES // 4
            assert pool.kept_answers.ended_total == 1

    asyncio.run(run())


# Guards against long errors of many requests that fill the memory while other upstreams
# are asked: the caller gets the router's own error if these fail too.
@pytest.mark.parametrize(
    ("length", "status"), [(SMALL_ANSWER_BYTES, 500), (SMALL_ANSWER_BYTES + 1, 502)]
)
def test_only_a_short_error_is_kept_while_another_upstream_is_asked(length, status):
    async def scenario(system):
        async def script(exchange):
            if len(system.attempts()) == 1:
                await exchange.respond(bytes(length), status=500)
            else:
                exchange.reset()

        for desk in system.desks:
            desk.script = script
        response = await system.request("/look/it", headers=DEADLINE)
        assert len(system.attempts()) == 2
        assert response.status == status

    run_scenario(scenario)


# Guards against the tests above passing because nothing is delivered at all.
def test_a_sound_stream_is_delivered():
    async def scenario(system):
        system.engines[0].script = stream_three_events
        assert (await system.request(headers=PROMPT)).complete

    run_scenario(scenario)
