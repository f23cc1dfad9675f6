"""Answers without end, read by the clients of the product's own interface."""

import asyncio
import contextlib
import sys
from pathlib import Path

import pytest

from endivelug._http_probe import PersistentConnection
from endivelug._order_client import OrderClient
from endivelug.exceptions import UpstreamBroken
from endless_upstreams import BLOCK
from service_crowd import BODY

SCRIPT = Path(__file__).parent / "service_crowd.py"
CALLS = 60
# Memory of the machines on which faulty services ended the routers.
MEMORY_MB = 300
TIMEOUT_S = 5.0
# Answers of these clients have at most 1 MiB, and the kernel's buffers of both sides
# hold some more.
MAX_TAKEN_BYTES = 32 * 1024 * 1024
MAX_SENT_BYTES = 512 * 1024 * 1024


class EndlessServer:
    """Sends a head without a length and blocks without end, or a sound answer."""

    def __init__(self):
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"/sound" in head:
                length = f"Content-Length: {len(BODY)}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + BODY)
            else:
                await self.send_without_end(writer)
            writer.close()

    async def send_without_end(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while self.sent_bytes < MAX_SENT_BYTES:
            writer.write(b"10000\r\n" + BLOCK + b"\r\n")
            await writer.drain()
            self.sent_bytes += len(BLOCK)

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()


async def probe(address):
    connection = PersistentConnection(address=address)
    await connection.get("/healthz", timeout_s=TIMEOUT_S)


async def give_order(address):
    client = OrderClient(fencing=1, may_send=lambda: True)
    await client.send(None, url=f"http://{address}", timeout_s=TIMEOUT_S)


# Guards against a client that keeps far more than a sound answer to a probe or an order
# can have.
@pytest.mark.parametrize("call", [probe, give_order])
def test_an_endless_answer_to_a_control_call_is_not_kept(call):
    async def run():
        endless = EndlessServer()
        async with endless.running() as address:
            with pytest.raises(UpstreamBroken):
                await call(address)
        assert endless.sent_bytes < MAX_TAKEN_BYTES

    asyncio.run(run())


# Guards against a process that runs out of memory because each of many calls keeps as
# much as the longest answer may have.
def test_endless_answers_to_many_service_calls_leave_room():
    async def run():
        async with EndlessServer().running() as address:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(SCRIPT),
                address,
                str(CALLS),
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
        assert process.returncode == 0
        broken, sound, peak_kb = output.split()
        assert (int(broken), int(sound)) == (CALLS, 1)
        assert int(peak_kb) < MEMORY_MB * 1024

    asyncio.run(run())
