import asyncio
import contextlib
import time

import pytest
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from builders import serving
from endivelug.engine_client import EngineClient
from endivelug.exceptions import (
    UpstreamBroken,
    UpstreamRejected,
    UpstreamUnreachable,
)
from endivelug.standin_engine import EngineState, make_engine

BODY = {"model": "chat", "messages": [{"role": "user", "content": "x"}]}
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Engine-Incarnation: 7\r\nX-Weights-Version: 1\r\n"
    b"Transfer-Encoding: chunked\r\n"
)


def deadline_in(seconds=2.0):
    return time.monotonic() + seconds


def chunked(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number, stream_id):
    return b'id: %d\ndata: {"id": "%s"}\n\n' % (number, stream_id.encode())


class RawServer(TCPServer):
    """Answers each request with the next of the given byte strings or functions."""

    def __init__(self, responses):
        super().__init__()
        self.responses = list(responses)
        self.connections = 0

    async def handle_stream(self, stream, address):
        self.connections += 1
        with contextlib.suppress(Exception):
            while self.responses:
                await stream.read_until(b"\r\n\r\n")
                response = self.responses.pop(0)
                if callable(response):
                    await response(stream)
                else:
                    await stream.write(response)


@contextlib.asynccontextmanager
async def raw_server(*responses):
    server = RawServer(responses)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    client = EngineClient()
    try:
        yield server, client, f"127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
        await client.close()


async def read(client, address, stream_id="s", wait_s=1.0):
    stream = await client.open(
        address=address,
        body={**BODY, "stream_id": stream_id},
        version="1",
        deadline=deadline_in(wait_s),
    )
    numbers = []
    try:
        while True:
            received = await stream.next_event(deadline=deadline_in(wait_s))
            numbers.append(received.number)
            if received.done:
                return numbers
    finally:
        stream.close()


# Guards against passing on anything but the caller's next event.
@pytest.mark.parametrize(
    "response",
    [
        HEAD + b"\r\n" + chunked(event(1, "s")),
        HEAD + b"\r\n" + chunked(event(0, "s") + event(0, "s")),
        HEAD + b"\r\n" + chunked(event(0, "other")),
        HEAD + b"\r\n" + chunked(event(0, "s").strip()) + b"0\r\n\r\n",
        HEAD + b"\r\n" + chunked(event(0, "s")) + b"0\r\n\r\n",
        HEAD + b"\r\n" + chunked(b"id: x\ndata: {}\n\n"),
        HEAD + b"\r\n" + chunked(b"id: 0\ndata: {\n\n"),
        HEAD + b"\r\n" + chunked(b"data: {}\n\n"),
        HEAD + b"\r\n" + chunked(b"x" * 300_000),
        HEAD + b"\r\nzz\r\n",
        HEAD + b"X-Stream-Id: other\r\n\r\n" + chunked(event(0, "s")),
        HEAD.replace(b"Version: 1", b"Version: 2") + b"\r\n",
        HEAD.replace(b"tion: 7", b"tion: x") + b"\r\n",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
def test_wrong_responses_are_errors(response):
    async def run():
        async with raw_server(response) as (_, client, address):
            with pytest.raises(UpstreamBroken):
                await read(client, address, wait_s=0.3)

    asyncio.run(run())


# Guards against a late response that is read as the response to the next request.
def test_a_connection_with_an_overdue_response_is_not_reused():
    def complete(stream_id):
        body = event(0, stream_id) + b"id: 1\ndata: [DONE]\n\n"
        return HEAD + b"\r\n" + chunked(body) + b"0\r\n\r\n"

    async def late(stream):
        await asyncio.sleep(0.5)
        await stream.write(complete("late"))

    async def run():
        responses = [complete("a"), complete("b"), late, complete("c")]
        async with raw_server(*responses) as (server, client, address):
            assert await read(client, address, "a") == [0, 1]
            await asyncio.sleep(0.05)
            assert await read(client, address, "b") == [0, 1]
            await asyncio.sleep(0.05)
            assert (server.connections, client.pool.reused) == (1, 1)
            with pytest.raises(UpstreamBroken):
                await read(client, address, "late", wait_s=0.2)
            assert await read(client, address, "c") == [0, 1]
            assert server.connections == 2

    asyncio.run(run())


# Guards against treating a refusal as a failure that may have run, and the reverse.
def test_refused_requests_have_not_run():
    async def run():
        client = EngineClient()
        with pytest.raises(UpstreamUnreachable):
            await read(client, "127.0.0.1:1")
        state = EngineState(models={"chat": "2"})
        async with serving(make_engine(state)) as url:
            with pytest.raises(UpstreamRejected) as caught:
                await read(client, url.removeprefix("http://"))
            assert caught.value.status == 409
            assert state.accepted == 0
        await client.close()

    asyncio.run(run())


# Guards against memory use that grows while a caller does not read its stream.
def test_reading_from_the_engine_pauses():
    async def run():
        sent = 0

        async def flood(stream):
            nonlocal sent
            await stream.write(HEAD + b"\r\n")
            comment = event(0, "s")[:-2] + b"\n: " + b"x" * 8000 + b"\n\n"
            while sent < 64_000_000:
                await stream.write(chunked(comment))
                sent += len(comment)

        async with raw_server(flood) as (_, client, address):
            body = {**BODY, "stream_id": "s"}
            stream = await client.open(
                address=address, body=body, version="1", deadline=deadline_in()
            )
            await asyncio.sleep(0.5)
            buffered = stream.exchange.size + stream.exchange.stream._read_buffer_size
            assert buffered <= 64 * 1024
            stalled = sent
            await asyncio.sleep(0.2)
            assert sent == stalled < 64_000_000
            stream.close()

    asyncio.run(run())
