import asyncio
import json

import cbor2
from openai import AsyncOpenAI
from tornado.httpclient import AsyncHTTPClient
from tornado.websocket import websocket_connect

from builders import serving
from endivelug.standin_engine import (
    EngineSpeed,
    EngineState,
    expected_text,
    make_engine,
    pack_keys,
)

MESSAGES = [{"role": "user", "content": "hello"}]


# Guards against a stream format that standard clients cannot parse.
def test_openai_client_reads_streams_and_documents():
    async def run():
        state = EngineState()
        async with serving(make_engine(state)) as url:
            client = AsyncOpenAI(base_url=f"{url}/v1", api_key="x", max_retries=0)
            extra = {"prefix": [["00000000000000aa", 300], ["00000000000000bb", 40]]}
            stream = await client.chat.completions.create(
                model="chat", messages=MESSAGES, stream=True, extra_body=extra
            )
            text, finish = "", None
            async for chunk in stream:
                text += chunk.choices[0].delta.content or ""
                finish = chunk.choices[0].finish_reason
            assert text == expected_text(messages=MESSAGES, model="chat", version="1")
            assert finish == "stop"
            whole = await client.chat.completions.create(
                model="chat", messages=MESSAGES, max_tokens=5, extra_body=extra
            )
            assert text.startswith(whole.choices[0].message.content)
            assert whole.choices[0].finish_reason == "length"
            assert whole.usage.completion_tokens == 5
            assert whole.usage.prompt_tokens_details.cached_tokens == 340
            await client.close()

    asyncio.run(run())


async def post(url, body, path="/v1/chat/completions", **options):
    return await AsyncHTTPClient().fetch(
        url + path, method="POST", body=json.dumps(body), raise_error=False, **options
    )


def make_body(number, **members):
    body = {"model": "chat", "messages": MESSAGES, "max_tokens": 2}
    return {**body, "prefix": [[f"{number:016x}", 100]], **members}


def changed_keys(received):
    """Return the number of keys that the batches add or remove."""
    return sum(len(batch["added"]) + len(batch["removed"]) for batch in received) // 8


async def read_batches(url, query, count, *, changes=None):
    """Read ``count`` batches, or fewer if ``changes`` keys have changed before.

    The number of keep-alive batches in between depends on the machine.
    """
    received = []
    socket = await websocket_connect(f"ws{url[4:]}/v1/cache_events?{query}")
    while len(received) < count and (
        changes is None or changed_keys(received) < changes
    ):
        received.append(cbor2.loads(await socket.read_message()))
    socket.close()
    return received


# Guards against events without numbers and against gaps that a subscriber cannot
# detect.
def test_cache_events_are_numbered_bounded_and_resynchronised():
    async def run():
        speed = EngineSpeed(cache_tokens=250)
        state = EngineState(speed=speed, event_lag_s=0.02, keepalive_s=0.1)
        async with serving(make_engine(state)) as url:
            reader = asyncio.ensure_future(
                read_batches(url, "incarnation=0&after=0", 1000, changes=4)
            )
            await asyncio.sleep(0.05)
            for number in (1, 2, 3):
                await post(url, make_body(number))
                await asyncio.sleep(0.1)
            first, *rest = await reader
            assert first["snapshot"]
            numbers = [batch["first"] for batch in [first, *rest]]
            assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
            added = b"".join(batch["added"] for batch in rest)
            assert added == pack_keys([1, 2, 3])
            assert b"".join(batch["removed"] for batch in rest) == pack_keys([1])
            # A batch in the buffer is sent again; a lost batch leads to a snapshot.
            query = f"incarnation={state.incarnation}&after={numbers[-2]}"
            again = await read_batches(url, query, 1)
            assert again == [batch for batch in rest if batch["first"] == numbers[-1]]
            state.faults.drop_events = 1
            await asyncio.sleep(0.3)
            (full,) = await read_batches(url, query, 1)
            assert full["snapshot"]
            assert sorted(full["added"][7::8]) == [2, 3]

    asyncio.run(run())


# Guards against a stand-in that accepts orders which an engine with fencing must
# refuse, or that keeps cache entries after a change of weights.
def test_fencing_of_orders_and_change_of_weights():
    async def run():
        for checks in (True, False):
            state = EngineState(load_s=0.1, checks_fencing=checks)
            async with serving(make_engine(state)) as url:
                await post(url, make_body(1))
                order = {"timeout_s": 2, "kind": "load", "model": "chat"}
                for fencing, version, status in [
                    (5, "2", 202),
                    (4, "3", 412 if checks else 202),
                ]:
                    load_order = {**order, "fencing": fencing, "version": version}
                    response = await post(url, load_order, "/v1/orders")
                    assert response.code == status
                    if status == 202:
                        assert (await post(url, make_body(1))).code == 503
                        await asyncio.sleep(0.3)
                        assert not state.batch.cache.segments
                        assert (await post(url, make_body(1))).code == 200
                assert state.models == {"chat": "2" if checks else "3"}
                old_version = {"X-Weights-Version": "1"}
                assert (await post(url, make_body(1), headers=old_version)).code == 409

    asyncio.run(run())


# Guards against a batch that ignores priorities and serves requests in the order of
# arrival.
def test_lower_priorities_run_first_and_share_the_capacity():
    async def run():
        state = EngineState(speed=EngineSpeed(max_running=1, prefill_tokens_s=2000))
        async with serving(make_engine(state)) as url:
            ended = []

            async def send(number, priority):
                body = make_body(number, priority=priority, max_tokens=20)
                await post(url, body)
                ended.append(number)

            tasks = [asyncio.ensure_future(send(n, 10)) for n in (1, 2, 3)]
            await asyncio.sleep(0.03)
            await asyncio.gather(send(4, 0), *tasks)
            assert ended[0] == 4
            assert state.batch.generated_tokens == 80

    asyncio.run(run())
