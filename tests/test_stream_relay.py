import asyncio
import contextlib
import functools
import json
import time

import pytest

from builders import serving
from endivelug.engine_client import EngineClient
from endivelug.exceptions import StreamTokenInvalid
from endivelug.refusals import MayHaveRun, NotRun
from endivelug.standin_engine import EngineState, expected_text, make_engine
from endivelug.stream_ids import StreamIdSigner
from endivelug.stream_relay import (
    StreamEvent,
    StreamFailed,
    StreamOpened,
    StreamRelay,
    Target,
)

MESSAGES = [{"role": "user", "content": "hello"}]
TOKENS = 60
BODY = {"model": "chat", "messages": MESSAGES, "max_tokens": TOKENS}
FULL_TEXT = expected_text(messages=MESSAGES, model="chat", version="1", tokens=TOKENS)
SIGNER = StreamIdSigner(secret=b"secret")


class Environment:
    """Engines and their client; ``choose`` returns the first that has not failed."""

    def __init__(self, states, urls, client):
        self.states = states
        self.targets = [
            Target(engine=f"e{n}", address=url.removeprefix("http://"), version="1")
            for n, url in enumerate(urls)
        ]
        self.client = client

    async def choose(self, attempt):
        for target in self.targets:
            if target.engine not in attempt.failed_engines:
                return target
        return None

    def relay(self, body=BODY, **options):
        options = {"stall_timeout_s": 0.5, "deadline": time.monotonic() + 10} | options
        return StreamRelay(
            client=self.client,
            stream_id_signer=SIGNER,
            organisation="o",
            choose=self.choose,
            body=body,
            **options,
        )


@contextlib.asynccontextmanager
async def run_engines(engines=2, **settings):
    async with contextlib.AsyncExitStack() as stack:
        states = [EngineState(**settings) for _ in range(engines)]
        apps = [make_engine(state) for state in states]
        urls = [await stack.enter_async_context(serving(app)) for app in apps]
        client = EngineClient()
        stack.push_async_callback(client.close)
        yield Environment(states, urls, client)


async def read(relay, at=None):
    """Relay a stream and return its events; ``at`` maps event numbers to faults."""
    seen = []
    async with contextlib.aclosing(relay.events()) as events:
        async for event in events:
            seen.append(event)
            if isinstance(event, StreamEvent) and at and event.number in at:
                at[event.number]()
    return seen


def check_complete(seen, full_text=FULL_TEXT):
    events = [event for event in seen if isinstance(event, StreamEvent)]
    assert [event.number for event in events] == list(range(len(events)))
    chunks = [json.loads(event.data) for event in events[:-1]]
    assert events[-1].data == "[DONE]"
    assert len({chunk["id"] for chunk in chunks}) == 1
    deltas = [c["choices"][0]["delta"].get("content", "") for c in chunks]
    assert "".join(deltas) == full_text


def test_stream_without_faults():
    async def run():
        async with run_engines() as env:
            relay = env.relay()
            check_complete(await read(relay))
            assert (relay.engine, relay.resumes, relay.generated_tokens) == (
                "e0",
                0,
                60,
            )
            document = await env.relay().collect()
            assert document["choices"][0]["message"]["content"] == FULL_TEXT
            assert document["usage"]["completion_tokens"] == TOKENS

    asyncio.run(run())


def crash(state):
    state.crash(restart_s=5)


def freeze(state):
    state.faults.frozen_until = time.monotonic() + 3


def close_connections(state):
    state.close_connections()


# Guards against a stream that ends, or repeats or skips events, after a fault of an
# engine.
@pytest.mark.parametrize(
    ("faults", "resumes", "continuations"),
    [
        ({10: (0, close_connections)}, 1, 0),
        ({0: (0, close_connections)}, 1, 0),
        ({10: (0, crash)}, 0, 1),
        ({10: (0, freeze)}, 0, 1),
        ({10: (0, close_connections), 30: (0, crash)}, 1, 1),
        ({10: (0, crash), 30: (1, close_connections)}, 1, 1),
        ({10: (0, freeze), 40: (1, close_connections)}, 1, 1),
        ({10: (0, crash), 30: (1, crash)}, 0, 2),
    ],
)
def test_faults_during_a_stream(faults, resumes, continuations):
    async def run():
        async with run_engines(3) as env:
            actions = {
                number: functools.partial(fault, env.states[engine])
                for number, (engine, fault) in faults.items()
            }
            relay = env.relay()
            check_complete(await read(relay, actions))
            assert (relay.resumes, relay.continuations) == (resumes, continuations)

    asyncio.run(run())


# Guards against an incomplete stream that seems to end normally.
def test_a_crash_without_another_engine_ends_the_stream_with_an_error():
    async def run():
        async with run_engines(1) as env:
            relay = env.relay()
            seen = await read(relay, {10: functools.partial(crash, env.states[0])})
            assert isinstance(seen[-1], StreamFailed)
            assert seen[-1].refusal.kind == "stream-broken"
            assert not any(getattr(event, "data", "") == "[DONE]" for event in seen)
            assert isinstance(seen[0], StreamOpened)

    asyncio.run(run())


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


# Guards against computing tokens for a caller that has disconnected.
def test_a_disconnected_caller_cancels_the_stream_of_the_engine():
    async def run():
        async with run_engines(1) as env:
            state = env.states[0]
            relay = env.relay({**BODY, "max_tokens": 5000})
            async with contextlib.aclosing(relay.events()) as events:
                async for event in events:
                    if getattr(event, "number", 0) == 10:
                        break
            await wait_for(lambda: not state.streams)
            generated = state.batch.generated_tokens
            await asyncio.sleep(0.2)
            assert state.batch.generated_tokens == generated < 1000
            # The caller disconnects before the engine has responded.
            state.faults.frozen_until = time.monotonic() + 0.5
            task = asyncio.ensure_future(env.relay().collect())
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(1.0)
            assert not state.streams

    asyncio.run(run())


# Guards against a caller that stops reading and occupies a stream for ever.
def test_a_caller_that_stops_reading_is_cancelled_at_the_deadline():
    async def run():
        async with run_engines(1) as env:
            relay = env.relay(deadline=time.monotonic() + 0.5)

            async def send(event):
                await asyncio.sleep(60)

            assert not await relay.run(send)
            await wait_for(lambda: not env.states[0].streams)

    asyncio.run(run())


# Guards against a stream of which another router cannot deliver the rest.
@pytest.mark.parametrize("continued", [False, True])
def test_another_router_resumes_by_stream_id(continued):
    async def run():
        async with run_engines() as env:
            relay = env.relay({**BODY, "stream_options": {"include_usage": True}})
            actions = {5: functools.partial(crash, env.states[0])} if continued else {}
            seen, events = [], relay.events()
            async for event in events:
                seen.append(event)
                if isinstance(event, StreamEvent) and event.number in actions:
                    actions[event.number]()
                if getattr(event, "number", 0) == 20:
                    break
            # A crashed router closes its connections without cancelling the stream.
            relay.dispatched = False
            await events.aclose()
            ids = [e.stream_id for e in seen if isinstance(e, StreamOpened)]
            assert len(ids) == 1 + continued
            address = SIGNER.verify(ids[-1], organisation="o")
            other_relay = env.relay(None, resume=address, after=20)
            seen += await read(
                other_relay, {30: env.states[continued].close_connections}
            )
            usage = [e for e in seen if '"usage": {' in getattr(e, "data", "")]
            assert len(usage) == 1
            seen.remove(usage[0])
            assert seen[-1].number == usage[0].number + 1
            seen[-1].number -= 1
            check_complete(seen)
            if continued:
                with pytest.raises(StreamTokenInvalid):
                    env.relay(None, resume=address, after=2)

    asyncio.run(run())


# Guards against "may have run" for a request that no engine accepted, and against "not
# run" for one that an engine may have accepted.
def test_refusals_before_the_first_event():
    async def run():
        async with run_engines(2) as env:
            env.states[0].models = {"chat": "2"}
            relay = env.relay()
            check_complete(await read(relay))
            assert relay.engine == "e1"
            env.states[1].models = {}
            for body, kind in [
                (BODY, "no-upstream"),
                ({"model": "chat", "messages": 1, "max_tokens": 2}, "no-upstream"),
            ]:
                (failed,) = await read(env.relay(body))
                assert isinstance(failed.refusal, NotRun)
                assert failed.refusal.kind == kind
            env.states[1].models = {"chat": "1"}
            (failed,) = await read(env.relay({"model": "chat", "messages": 1}))
            assert failed.refusal.kind == "request-refused"
            env.states[1].faults.frozen_until = time.monotonic() + 2
            (failed,) = await read(env.relay(deadline=time.monotonic() + 0.3))
            assert failed.refusal == MayHaveRun(
                kind="deadline-exceeded", remedy=failed.refusal.remedy
            )

    asyncio.run(run())


# Guards against a router that cancels the only attempt which another router could
# resume, before a new attempt has returned an event.
def test_an_earlier_attempt_is_cancelled_only_after_progress():
    async def run():
        async with run_engines() as env:
            first, ready = env.states[0], asyncio.Event()
            dead = Target(engine="dead", address="127.0.0.1:1", version="1")

            async def choose(attempt):
                if attempt.number == 2:
                    return dead
                if attempt.number == 3:
                    await ready.wait()
                return env.targets[attempt.number > 1]

            relay = env.relay(stall_timeout_s=0.2)
            relay.choose = choose

            def fault():
                first.faults.frozen_until = time.monotonic() + 0.4

            task = asyncio.ensure_future(read(relay, {10: fault}))
            await asyncio.sleep(1.5)
            assert len(first.streams) == 1
            ready.set()
            check_complete(await task)
            await wait_for(lambda: not first.streams)

    asyncio.run(run())


# Guards against waiting as long as for a first token when an engine does not even send
# response headers.
def test_an_unresponsive_engine_is_replaced_after_the_stall_timeout():
    async def run():
        async with run_engines() as env:
            env.states[0].faults.frozen_until = time.monotonic() + 3
            started = time.monotonic()
            relay = env.relay()
            check_complete(await read(relay))
            assert relay.engine == "e1"
            assert time.monotonic() - started < 2.5

    asyncio.run(run())
