"""Callers that leave before or while the router works on their requests."""

import asyncio
import socket

import pytest
from tornado.iostream import StreamClosedError

from endivelug.exceptions import CallerLeft
from endivelug.forwarding.response_writer import Writer
from router_process import KEY, PROMPT, metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]


def connect(system):
    """Connect to the router without a turn of the event loop."""
    host, _, port = system.node.settings.front.rpartition(":")
    return socket.create_connection((host, int(port)))


def request_bytes(request_id, *, body=b""):
    headers = {
        "Host": "h.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "2000",
        "Content-Length": str(len(body)),
        **KEY,
        **PROMPT,
    }
    lines = ["POST /a/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# Guards against requests that reach an upstream although their callers left while the
# router was too busy to read them.
def test_a_request_that_was_read_after_its_caller_left_is_not_sent():
    async def hang(exchange):
        await asyncio.sleep(5)

    async def scenario(system):
        await system.request(headers={**PROMPT, "X-Request-Id": "warm-up"})
        system.engines[0].script = hang
        for number in range(5):
            with connect(system) as connection:
                connection.sendall(request_bytes(f"left{number}", body=b"x" * 20_000))
        await wait_until(lambda: system.log.events().count("caller-left") == 5)
        await asyncio.sleep(0.3)
        assert [run.id for run in system.attempts()] == ["warm-up"]

    run_scenario(scenario)


# Guards against an engine that works on although its caller left, because bytes after
# the request wait to be read before the end of the connection.
@pytest.mark.parametrize("following", [b"\r\n", request_bytes("q2")])
def test_bytes_after_a_request_do_not_hide_that_its_caller_left(following):
    async def stream_nothing(exchange):
        await exchange.start_stream()
        await asyncio.sleep(5)

    async def scenario(system):
        engine = system.engines[0]
        engine.script = stream_nothing
        watch = asyncio.create_task(system.node.front_server.watch_callers())
        with connect(system) as connection:
            connection.sendall(request_bytes("q1") + following)
            await wait_until(lambda: engine.exchanges)
        await wait_until(lambda: engine.aborted == ["q1"], timeout_s=0.5)
        await wait_until(lambda: "caller-left" in system.log.events())
        watch.cancel()

    run_scenario(scenario)


class ClosedConnection:
    """Connection of a caller on which every write fails."""

    stream = None

    def write(self, data):
        written = asyncio.get_running_loop().create_future()
        written.set_exception(StreamClosedError())
        return written


# Guards against a response that goes on, and is logged as delivered, after a write to
# its caller has failed.
def test_a_failed_write_ends_the_response():
    async def run():
        writer = Writer(connection=ClosedConnection(), close_after=False)
        with pytest.raises(CallerLeft):
            await writer.write(b"data")
        assert writer.disconnected

    asyncio.run(run())


# Guards against counting a call twice, as refused and as left, when its caller leaves
# while the refusal is written.
def test_a_caller_that_leaves_during_a_refusal_is_counted_once(monkeypatch):
    async def fail(*args):
        raise CallerLeft("the connection is closed; drop the request")

    async def scenario(system):
        system.node.view.registry.entries.clear()
        system.node.view.registry._invalidate_caches()
        monkeypatch.setattr(Writer, "start", fail)
        with connect(system) as connection:
            connection.sendall(request_bytes("q1"))
            await wait_until(lambda: "refused" in system.log.events())
        await asyncio.sleep(0.1)
        assert "caller-left" not in system.log.events()
        assert system.node.metrics.in_progress == 0

    run_scenario(scenario)
