"""Clients that hold the memory and descriptors of a router process, and its bounds."""

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path

from measurements._ports import free_port

from forwarding_builders import configuration_document, registration_document
from platform_standins import request, running_upstream
from soak.routers import BOUNDS
from store_standin import running_store

KEY = {"X-Credential": "k1"}
MEMORY_MB = 128
MAX_FDS = 256
MAX_BODY_BYTES = 1024 * 1024
# Their bodies and connections are more than the process may hold.
BODY_CLIENTS = 160
HEAD_CLIENTS = 320
# One client in so many sends its whole body, so that complete requests wait as well.
COMPLETE_EVERY = 16
PIECE_BYTES = 16 * 1024
# Time that the clients have for sending; the process may leave some of it unread.
SENDING_S = 6.0
ANSWER_TIMEOUT_S = 30.0


class RouterProcess:
    """The product's own process on a loopback address of its own."""

    def __init__(self, process, front, ready, log_path):
        self.process = process
        self.front = front
        self.ready = ready
        self.log_path = log_path

    @property
    def peak_bytes(self):
        """Largest resident memory since the start of the process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) * 1024

    @property
    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def request(self, **changes):
        headers = {"X-Request-Id": "q1", **KEY, **changes.pop("headers", {})}
        return await request(self.front, headers=headers, **changes)

    async def check_bounds(self, *, memory_mb):
        """Check that the process lives within its bounds and still serves."""
        assert self.process.returncode is None
        assert self.descriptors < MAX_FDS
        assert await self.answers_ordinary_request()
        assert self.process.returncode is None
        assert self.peak_bytes < memory_mb * 1024 * 1024
        assert self.descriptors < MAX_FDS

    async def answers_ordinary_request(self):
        """Return whether one ordinary request is answered within many attempts."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while True:
                    response = await self.request(
                        target="/look/it", body=b"data", disconnect_after_s=3.0
                    )
                    if response.status == 200 and response.complete:
                        return True
                    await asyncio.sleep(0.2)
        return False


@contextlib.asynccontextmanager
async def running_process(
    folder,
    *,
    memory_mb=MEMORY_MB,
    timeout_ms=5000,
    grace_s=BOUNDS["graceS"],
    slots=64,
    program=("-m", "endivelug.platform"),
):
    """Start the process with lowered limits against stand-ins.

    ``program`` are the interpreter's arguments.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        desk = await stack.enter_async_context(running_upstream())
        engine = await stack.enter_async_context(running_upstream())
        document = configuration_document()
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        document["limits"]["headerTimeoutMs"] = 3000
        document["limits"]["idleTimeoutMs"] = 15000
        for route in document["routes"]:
            route["timeoutMs"] = timeout_ms
        store.put("op", "config", document)
        registration = registration_document(
            service="desk", models=[], address=desk.address, slots=slots
        )
        store.put("servers", "d0", registration)
        store.put("servers", "e0", registration_document(address=engine.address))
        ip = f"127.78.{os.getpid() % 200}.1"
        front = f"{ip}:{free_port()}"
        path = folder / "node.json"
        settings = {
            "nodeName": "vm1",
            "zone": "dc1",
            "ip": ip,
            "listenAddrs": {"front": front, "ready": f"{ip}:{free_port()}"},
            "internalPorts": [free_port(), free_port()],
            "bounds": {**BOUNDS, "graceS": grace_s},
            "limits": {"memoryMb": memory_mb, "maxFds": MAX_FDS},
            "platform": {"address": store.address},
        }
        path.write_text(json.dumps(settings))
        with (folder / "node.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *program,
                env={**os.environ, "ENDIVELUG_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )
        running = RouterProcess(
            process, front, settings["listenAddrs"]["ready"], path.with_suffix(".log")
        )
        running.desk, running.engine, running.store = desk, engine, store
        try:
            await _wait_until_serving(running)
            yield running
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def _wait_until_serving(running):
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                if (await running.request(target="/look/it")).status == 200:
                    return
            await asyncio.sleep(0.1)


class Clients:
    """Open connections of misbehaving clients, which stay open until ``close``."""

    def __init__(self, running):
        self.running = running
        self.writers = []

    async def send_bodies(self, *, headers, chunked=False, piece_bytes=None):
        """Send large bodies, whole or in pieces; most stop short of their end."""
        await self._run(
            self._send_body(number, headers, chunked, piece_bytes)
            for number in range(BODY_CLIENTS)
        )

    async def send_heads(self, *, piece):
        """Send a part of a head on many connections."""
        await self._run(self._send_head(piece) for _ in range(HEAD_CLIENTS))

    async def send_pipelined(self, *, headers):
        """Send many requests on each connection and read no answer."""
        lines = ["POST /look/it HTTP/1.1", "Host: h.example", "Content-Length: 65536"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + bytes(65536)
        await self._run(self._send(data * 16) for _ in range(BODY_CLIENTS))

    async def close(self):
        for writer in self.writers:
            writer.transport.abort()

    async def _run(self, sends):
        tasks = [asyncio.create_task(send) for send in sends]
        await asyncio.wait(tasks, timeout=SENDING_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _connect(self):
        host, _, port = self.running.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        return writer

    async def _send(self, data):
        writer = await self._connect()
        writer.write(data)
        await writer.drain()

    async def _send_head(self, piece):
        await self._send(piece)

    async def _send_body(self, number, headers, chunked, piece_bytes):
        framing = (
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {MAX_BODY_BYTES}"
        )
        lines = ["POST /look/it HTTP/1.1", "Host: h.example", framing]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer = await self._connect()
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        complete = number % COMPLETE_EVERY == 0
        left = MAX_BODY_BYTES if complete else MAX_BODY_BYTES - 1
        step = piece_bytes or left
        while left:
            data = bytes(min(step, left))
            left -= len(data)
            if chunked:
                data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            writer.write(data)
            await writer.drain()
            if piece_bytes:
                await asyncio.sleep(0)
        if chunked and complete:
            writer.write(b"0\r\n\r\n")


class Callers:
    """Callers that send one request each, and read the answers or leave them unread."""

    def __init__(self, running, *, target, headers, reads):
        self.running = running
        self.target = target
        self.headers = headers
        self.reads = reads
        self.writers = []

    async def send(self, prefix, count):
        """Send the requests at once; return when all have ended or time is up."""
        tasks = [asyncio.create_task(self._call(f"{prefix}{n}")) for n in range(count)]
        await asyncio.wait(tasks, timeout=SENDING_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def close(self):
        for writer in self.writers:
            writer.transport.abort()

    async def _call(self, request_id):
        host, _, port = self.running.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "4000", **KEY}
        lines = [f"POST {self.target} HTTP/1.1", "Host: h.example", "Content-Length: 0"]
        lines += [
            f"{name}: {value}" for name, value in {**headers, **self.headers}.items()
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if not self.reads:
            writer.transport.pause_reading()
            await asyncio.sleep(SENDING_S)
        while await reader.read(65536):
            pass
