"""The whole path of one router against stand-ins of the platform, in one process."""

import asyncio
import contextlib
import random
import socket
import time

import pytest

from endivelug.forwarding.node import Node
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.platform.program import make_platform
from forwarding_builders import (
    LogRecorder,
    configuration_document,
    registration_document,
)
from platform_standins import call, running_store, running_upstream

KEY = {"X-Credential": "k1"}
PROMPT = {"X-Model": "m", "X-Token-Usage": "60,5", "X-Prompt-Prefix": "aa:40,bb:20"}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_settings(store_address, **changes):
    values = {
        "vm": "vm1",
        "data_centre": "dc1",
        "ip": "127.0.0.1",
        "front": f"127.0.0.1:{free_port()}",
        "ready": f"127.0.0.1:{free_port()}",
        "link_port": free_port(),
        "store": store_address,
        "drain_s": 2.0,
        "grace_s": 8.0,
        "lease_s": 3.0,
        "weights_limit_s": 12.0,
        "checks_fencing": True,
        "retry_ratio": 0.2,
        "retry_slack": 50.0,
        "retry_window_s": 10.0,
    }
    return NodeSettings(**{**values, **changes})


class System:
    """A node, its store and its upstreams."""

    def __init__(self, node, store, engines, desks, log):
        self.node = node
        self.store = store
        self.engines = engines
        self.desks = desks
        self.log = log

    async def ask(self, target="/a/x", **changes):
        headers = {
            "X-Request-Id": "q1",
            "X-Deadline-Ms": "2000",
            **KEY,
            **changes.pop("headers", {}),
        }
        return await call(
            self.node.settings.front, target=target, headers=headers, **changes
        )

    def runs(self):
        return [
            exchange
            for upstream in (*self.engines, *self.desks)
            for exchange in upstream.exchanges
            if exchange.id
        ]


@contextlib.asynccontextmanager
async def running_system(engines=1, desks=2, configuration=None, **changes):
    log = LogRecorder()
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        made = [
            await stack.enter_async_context(running_upstream())
            for _ in range(engines + desks)
        ]
        store.put("op", "config", configuration or configuration_document())
        for number, upstream in enumerate(made):
            kind = {"service": "engines" if number < engines else "desk"}
            if number >= engines:
                kind["models"] = []
            document = registration_document(address=upstream.address, **kind)
            store.put("servers", f"i{number}", document)
        settings = make_settings(store.address, **changes)
        node = Node(
            settings=settings,
            make_platform=lambda pool: make_platform(store.address, pool),
            log=log,
            rng=random.Random(1),
        )
        log.dropped_total = 0
        log.flush = lambda: None
        node._listen()
        jobs = [
            asyncio.create_task(job)
            for job in (node.sync.run(), node.dispatcher.run(), node._sweep())
        ]
        try:
            await until(lambda: node.is_ready)
            yield System(node, store, made[:engines], made[engines:], log)
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)
            for server in (
                node.front_server,
                node.readiness_server,
                node.metrics_server,
            ):
                await server.close()
            node.pool.close()


async def until(condition, limit_s=3.0):
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def metrics_port(monkeypatch):
    monkeypatch.setattr("endivelug.forwarding.node.METRICS_PORT", free_port())


def play(use, **options):
    async def run():
        async with asyncio.timeout(20), running_system(**options) as system:
            await use(system)

    asyncio.run(run())


async def three_events(exchange):
    await exchange.start_stream()
    for number in (1, 2, 3):
        await exchange.event(number)
    await exchange.end_stream()


# Guards against answers that are not the upstream's whole answer.
def test_a_call_is_forwarded_unchanged_and_answered_whole():
    async def use(system):
        answer = await system.ask("/look/it?x=%20y", body=b"data")
        assert (answer.status, answer.body) == (200, b"ok")
        assert answer.headers["x-response-seal"] == "seal"
        (run,) = system.runs()
        assert (run.target, run.body) == ("/look/it?x=%20y", b"data")
        assert run.headers["x-tenant"] == "org1"
        assert "x-credential" not in run.headers
        assert 0 < int(run.headers["x-deadline-ms"]) <= 1000

    play(use)


# Guards against streams that lose, repeat or reorder events, and a missing pin.
def test_a_stream_is_relayed_with_its_pin_and_namespace():
    async def use(system):
        system.engines[0].script = three_events
        answer = await system.ask(headers=PROMPT)
        assert answer.complete
        assert [line for line in answer.body.split(b"\n") if b"data" in line] == [
            b"data: piece1",
            b"data: piece2",
            b"data: piece3",
        ]
        (run,) = system.runs()
        assert run.headers["x-expect-instance"] == "i0"
        assert run.headers["x-expect-version"] == "1"
        # org1 is isolated, so its name is part of the cache namespace.
        assert run.headers["x-cache-salt"] == "m/1/org1"

    play(use)


# Guards against refusals that are wrong or name the wrong cause.
@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        ("/b", {}, 404),
        ("/look/it", {"X-Credential": "unknown"}, 401),
        ("/look/it", {"X-Deadline-Ms": "soon"}, 400),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(target, headers, status):
    async def use(system):
        answer = await system.ask(target, headers=headers)
        assert answer.status == status
        assert "x-response-seal" not in answer.headers
        assert system.runs() == []

    play(use)


# Guards against a second run of a call that may run only once.
def test_a_lost_answer_to_an_unsafe_call_is_not_repeated():
    async def lose(exchange):
        exchange.close()

    async def use(system):
        for desk in system.desks:
            desk.script = lose
        answer = await system.ask("/a/orders/1")
        assert answer.status == 502
        assert len(system.runs()) == 1

    play(use)


# Guards against safe calls lost where another upstream could answer.
def test_a_safe_call_is_repeated_at_another_upstream():
    async def use(system):
        failed = []

        async def fail_once(exchange):
            if not failed:
                failed.append(exchange.id)
                await exchange.answer(b"broken", status=500)
            else:
                await exchange.answer()

        for desk in system.desks:
            desk.script = fail_once
        answer = await system.ask("/look/it")
        assert (answer.status, answer.body) == (200, b"ok")
        assert len({run.headers["x-expect-instance"] for run in system.runs()}) == 2

    play(use)


# Guards against a refusal that is not passed over, and one that counts as a run.
def test_a_refusal_goes_to_another_upstream_also_for_an_unsafe_call():
    async def use(system):
        refused = []

        async def refuse_once(exchange):
            if not refused:
                refused.append(exchange.id)
                await exchange.answer(b"", status=503, X_Not_Executed="1")
            else:
                await exchange.answer()

        for desk in system.desks:
            desk.script = refuse_once
        answer = await system.ask("/a/orders/1")
        assert answer.status == 200

    play(use)


# Guards against a stream that cannot go on at another engine, or repeats an event.
def test_a_stream_goes_on_at_another_engine_after_the_last_whole_event():
    async def use(system):
        async def break_off(exchange):
            await exchange.start_stream()
            await exchange.event(1)
            await exchange.chunk(b"id: 2\nda")
            await asyncio.sleep(0.05)
            exchange.close()

        async def go_on(exchange):
            assert exchange.headers["last-event-id"] == "1"
            await exchange.start_stream()
            for number in (2, 3):
                await exchange.event(number)
            await exchange.end_stream()

        async def script(exchange):
            first = not exchange.headers.get("last-event-id")
            await (break_off(exchange) if first else go_on(exchange))

        for engine in system.engines:
            engine.script = script
        answer = await system.ask(headers=PROMPT)
        assert answer.complete
        assert answer.body == b"".join(
            f"id: {number}\ndata: piece{number}\n\n".encode() for number in (1, 2, 3)
        )

    play(use, engines=2)


# Guards against a broken stream that looks complete.
def test_a_stream_that_cannot_go_on_is_visibly_broken():
    async def break_off(exchange):
        await exchange.start_stream()
        await exchange.event(1)
        await asyncio.sleep(0.05)
        exchange.close()

    async def use(system):
        system.engines[0].script = break_off
        answer = await system.ask(headers=PROMPT)
        assert answer.status == 200
        assert not answer.complete

    play(use)


# Guards against engines that work for callers that left.
def test_a_caller_that_leaves_ends_the_run_at_once():
    async def slow(exchange):
        await exchange.start_stream()
        await asyncio.sleep(5)

    async def use(system):
        system.engines[0].script = slow
        await system.ask(headers=PROMPT, leave_after_s=0.2)
        await until(lambda: system.engines[0].lost == ["q1"], limit_s=0.5)
        await until(lambda: "caller-left" in system.log.events())

    play(use)


# Guards against requests in an engine that is silent but not closed: they are held
# until the deadline although another engine is idle.
def test_a_resumable_stream_leaves_a_silent_engine():
    async def mute(exchange):
        await asyncio.sleep(10)

    async def script(exchange):
        first = len(system_engines) == 0
        system_engines.append(exchange.id)
        await (mute(exchange) if first else three_events(exchange))

    system_engines = []

    async def use(system):
        for engine in system.engines:
            engine.script = script
        start = time.monotonic()
        headers = {**PROMPT, "X-Deadline-Ms": "9000"}
        answer = await system.ask(headers=headers)
        assert answer.complete
        assert time.monotonic() - start < 3.0

    play(use, engines=2)


# Guards against an answer after the time that the caller has.
def test_an_unanswered_call_is_answered_at_its_time_limit():
    async def mute(exchange):
        await asyncio.sleep(10)

    async def use(system):
        for desk in system.desks:
            desk.script = mute
        start = time.monotonic()
        answer = await system.ask("/a/orders/1", headers={"X-Deadline-Ms": "400"})
        assert answer.status == 504
        assert time.monotonic() - start < 0.6

    play(use)


# Guards against a key that still works after it was taken away.
def test_a_new_configuration_is_in_force_within_its_limit():
    async def use(system):
        assert (await system.ask("/look/it")).status == 200
        tenants = [{"name": "org2", "apiKeys": ["k2"]}]
        document = configuration_document(version=9, tenants=tenants)
        system.store.put("op", "config", document)
        await until(lambda: system.node.view.configuration.version == 9, limit_s=1.0)
        assert (await system.ask("/look/it")).status == 401

    play(use)


# Guards against an unreadable configuration that replaces the last good one.
@pytest.mark.parametrize("value", [b"{", b"\xff", b"{}"])
def test_the_last_good_configuration_stays_in_force(value):
    async def use(system):
        system.store.put("op", "config", value)
        await until(lambda: "row-unreadable" in system.log.events())
        assert (await system.ask("/look/it")).status == 200

    play(use)


# Guards against new work for an upstream that announced its stop.
def test_a_draining_upstream_gets_nothing_new():
    async def use(system):
        for name in ("i1", "i2"):
            address = system.node.view.registry.get(name).address
            document = registration_document(
                service="desk", address=address, models=[], state="draining"
            )
            if name == "i1":
                system.store.put("servers", name, document)
        await until(lambda: system.node.view.registry.get("i1").draining)
        for _ in range(4):
            assert (await system.ask("/look/it")).status == 200
        assert system.desks[0].exchanges == []

    play(use)


# Guards against a node that is ready before it knows anything, and one that refuses
# without a reason to come back.
def test_without_a_store_a_node_is_not_ready_and_serves_nothing():
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
            await until(lambda: "dependency-lost" in log.events())
            answer = await call(
                node.settings.front, headers={"X-Request-Id": "q", **KEY}
            )
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            ready = await call(node.settings.ready, method="GET", target="/readyz")
            assert ready.status == 503
            store.fail_with = None
            await until(lambda: node.is_ready)
            sync.cancel()
            for server in (
                node.front_server,
                node.readiness_server,
                node.metrics_server,
            ):
                await server.close()

    asyncio.run(run())


# Guards against a background job that fails once and leaves the VM with an old state.
def test_a_background_job_that_fails_starts_again(monkeypatch):
    monkeypatch.setattr("endivelug.forwarding.node.RESTART_S", 0.01)
    runs = []

    async def job():
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError("a fault")

    async def use(system):
        await system.node._supervise(job)
        assert runs == [0, 1, 2]
        assert system.log.events().count("job-failed") == 2

    play(use)
