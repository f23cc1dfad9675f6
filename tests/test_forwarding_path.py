"""A whole router against stand-ins of store and upstreams."""

import asyncio
import random
import time

import pytest

from endivelug.forwarding.node import Node
from endivelug.platform.program import make_platform
from forwarding_builders import (
    LogRecorder,
    configuration_document,
    registration_document,
)
from platform_standins import request
from router_process import (
    KEY,
    PROMPT,
    make_settings,
    metrics_port,
    run_scenario,
    stream_three_events,
    wait_until,
)
from store_standin import running_store

__all__ = ["metrics_port"]


# Guards against changing or truncating a request or response in the router.
def test_a_request_and_its_response_are_forwarded_unchanged():
    async def scenario(system):
        response = await system.request("/look/it?x=%20y", body=b"data")
        assert (response.status, response.body) == (200, b"ok")
        assert response.headers["x-response-seal"] == "seal"
        (attempt,) = system.attempts()
        assert (attempt.target, attempt.body) == ("/look/it?x=%20y", b"data")
        assert attempt.headers["x-tenant"] == "org1"
        assert "x-credential" not in attempt.headers
        assert 0 < int(attempt.headers["x-deadline-ms"]) <= 1000

    run_scenario(scenario)


# Guards against lost, repeated or reordered events, and against a missing expected
# instance, weights version or cache namespace.
def test_a_stream_is_relayed_with_its_expectations_and_namespace():
    async def scenario(system):
        system.engines[0].script = stream_three_events
        response = await system.request(headers=PROMPT)
        assert response.complete
        assert [line for line in response.body.split(b"\n") if b"data" in line] == [
            b"data: piece1",
            b"data: piece2",
            b"data: piece3",
        ]
        (attempt,) = system.attempts()
        assert attempt.headers["x-expect-instance"] == "i0"
        assert attempt.headers["x-expect-version"] == "1"
        # org1 is isolated, so its name is part of the cache namespace.
        assert attempt.headers["x-cache-salt"] == "m/1/org1"

    run_scenario(scenario)


# Guards against forwarding a request that must be refused, and a wrong refusal status.
@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        ("/b", {}, 404),
        ("/look/it", {"X-Credential": "unknown"}, 401),
        ("/look/it", {"X-Deadline-Ms": "soon"}, 400),
    ],
)
def test_an_invalid_request_is_refused(target, headers, status):
    async def scenario(system):
        response = await system.request(target, headers=headers)
        assert response.status == status
        assert "x-response-seal" not in response.headers
        assert system.attempts() == []

    run_scenario(scenario)


# Guards against a second run of an unsafe call whose response was lost.
def test_an_unsafe_call_whose_response_is_lost_is_not_retried():
    async def reset_connection(exchange):
        exchange.reset()

    async def scenario(system):
        for desk in system.desks:
            desk.script = reset_connection
        response = await system.request("/a/orders/1")
        assert response.status == 502
        assert len(system.attempts()) == 1

    run_scenario(scenario)


# Guards against failing a safe call although another upstream could respond.
def test_a_safe_call_is_retried_at_another_upstream():
    async def scenario(system):
        failed = []

        async def fail_once(exchange):
            if not failed:
                failed.append(exchange.id)
                await exchange.respond(b"broken", status=500)
            else:
                await exchange.respond()

        for desk in system.desks:
            desk.script = fail_once
        response = await system.request("/look/it")
        assert (response.status, response.body) == (200, b"ok")
        assert len({run.headers["x-expect-instance"] for run in system.attempts()}) == 2

    run_scenario(scenario)


# Guards against a refusal that is not retried elsewhere, or that counts as a run.
def test_a_refused_unsafe_call_is_sent_to_another_upstream():
    async def scenario(system):
        refused = []

        async def refuse_once(exchange):
            if not refused:
                refused.append(exchange.id)
                await exchange.respond(b"", status=503, X_Not_Executed="1")
            else:
                await exchange.respond()

        for desk in system.desks:
            desk.script = refuse_once
        response = await system.request("/a/orders/1")
        assert response.status == 200

    run_scenario(scenario)


# Guards against a stream that is not resumed at another engine, or repeats an event.
def test_a_stream_is_resumed_at_another_engine_after_the_last_whole_event():
    async def scenario(system):
        async def break_stream(exchange):
            await exchange.start_stream()
            await exchange.send_event(1)
            await exchange.send_chunk(b"id: 2\nda")
            await asyncio.sleep(0.05)
            exchange.reset()

        async def resume(exchange):
            assert exchange.headers["last-event-id"] == "1"
            await exchange.start_stream()
            for number in (2, 3):
                await exchange.send_event(number)
            await exchange.end_stream()

        async def script(exchange):
            first = not exchange.headers.get("last-event-id")
            await (break_stream(exchange) if first else resume(exchange))

        for engine in system.engines:
            engine.script = script
        response = await system.request(headers=PROMPT)
        assert response.complete
        assert response.body == b"".join(
            f"id: {number}\ndata: piece{number}\n\n".encode() for number in (1, 2, 3)
        )

    run_scenario(scenario, engines=2)


# Guards against a truncated stream that looks complete to the caller.
def test_a_stream_that_cannot_be_resumed_is_visibly_truncated():
    async def break_stream(exchange):
        await exchange.start_stream()
        await exchange.send_event(1)
        await asyncio.sleep(0.05)
        exchange.reset()

    async def scenario(system):
        system.engines[0].script = break_stream
        response = await system.request(headers=PROMPT)
        assert response.status == 200
        assert not response.complete

    run_scenario(scenario)


# Guards against engines that keep working for callers that have disconnected.
def test_a_disconnect_of_the_caller_cancels_the_run_at_once():
    async def stream_nothing(exchange):
        await exchange.start_stream()
        await asyncio.sleep(5)

    async def scenario(system):
        system.engines[0].script = stream_nothing
        await system.request(headers=PROMPT, disconnect_after_s=0.2)
        await wait_until(lambda: system.engines[0].aborted == ["q1"], timeout_s=0.5)
        await wait_until(lambda: "caller-left" in system.log.events())

    run_scenario(scenario)


# Guards against requests that stay until their deadline at a silent engine with open
# connections, although another engine is idle.
def test_a_resumable_stream_moves_away_from_a_silent_engine():
    async def hang(exchange):
        await asyncio.sleep(10)

    async def script(exchange):
        first = len(attempts) == 0
        attempts.append(exchange.id)
        await (hang(exchange) if first else stream_three_events(exchange))

    attempts = []

    async def scenario(system):
        for engine in system.engines:
            engine.script = script
        start = time.monotonic()
        headers = {**PROMPT, "X-Deadline-Ms": "9000"}
        response = await system.request(headers=headers)
        assert response.complete
        assert time.monotonic() - start < 3.0

    run_scenario(scenario, engines=2)


# Guards against a response after the caller's deadline.
def test_a_call_without_a_response_fails_at_its_deadline():
    async def hang(exchange):
        await asyncio.sleep(10)

    async def scenario(system):
        for desk in system.desks:
            desk.script = hang
        start = time.monotonic()
        response = await system.request("/a/orders/1", headers={"X-Deadline-Ms": "400"})
        assert response.status == 504
        assert time.monotonic() - start < 0.6

    run_scenario(scenario)


# Guards against a key that is still accepted after it was revoked.
def test_a_new_configuration_is_in_force_within_a_second():
    async def scenario(system):
        assert (await system.request("/look/it")).status == 200
        tenants = [{"name": "org2", "apiKeys": ["k2"]}]
        document = configuration_document(version=9, tenants=tenants)
        system.store.put("op", "config", document)
        await wait_until(
            lambda: system.node.view.configuration.version == 9, timeout_s=1.0
        )
        assert (await system.request("/look/it")).status == 401

    run_scenario(scenario)


# Guards against an unreadable configuration that replaces the last valid one.
@pytest.mark.parametrize("value", [b"{", b"\xff", b"{}"])
def test_the_last_valid_configuration_stays_in_force(value):
    async def scenario(system):
        system.store.put("op", "config", value)
        await wait_until(lambda: "row-unreadable" in system.log.events())
        assert (await system.request("/look/it")).status == 200

    run_scenario(scenario)


# Guards against new requests to an upstream that has announced its stop.
def test_a_draining_upstream_gets_no_new_requests():
    async def scenario(system):
        for name in ("i1", "i2"):
            address = system.node.view.registry.get(name).address
            document = registration_document(
                service="desk", address=address, models=[], state="draining"
            )
            if name == "i1":
                system.store.put("servers", name, document)
        await wait_until(lambda: system.node.view.registry.get("i1").draining)
        for _ in range(4):
            assert (await system.request("/look/it")).status == 200
        assert system.desks[0].exchanges == []

    run_scenario(scenario)


# Guards against a node that is ready before it has read the store, and against refusals
# without a Retry-After header.
def test_without_a_store_a_node_is_not_ready_and_refuses_requests():
    async def run():
        async with running_store() as store:
            store.fail_with = 503
            store.put("op", "config", configuration_document())
            log = LogRecorder()
            node = Node(
                settings=make_settings(store.address),
                make_platform=lambda pool: make_platform(store.address, pool),
                log=log,
                rng=random.Random(1),
            )
            node._listen()
            sync = asyncio.create_task(node.sync.run())
            await wait_until(lambda: "dependency-lost" in log.events())
            response = await request(
                node.settings.front, headers={"X-Request-Id": "q", **KEY}
            )
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            ready = await request(node.settings.ready, method="GET", target="/readyz")
            assert ready.status == 503
            store.fail_with = None
            await wait_until(lambda: node.is_ready)
            sync.cancel()
            for server in (
                node.front_server,
                node.status_pages.readiness_server,
                node.status_pages.metrics_server,
            ):
                await server.close()

    asyncio.run(run())
