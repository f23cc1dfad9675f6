"""A faulty upstream, run as a process of its own; prints what it runs.

It is sound but for a few of its answers: their body has no end. They come in chunks of
one byte, at a bounded rate, until the router closes the connection.
"""

import asyncio
import contextlib
import os
import random
import sys
import time

import harness

WORK_S = 0.02
CHUNKS = b"1\r\nx\r\n" * 2000
SEED = 4


class EndlessUpstream:
    """Serves connections; ``name`` is its id, ``share`` that of answers without end."""

    def __init__(self, *, name: str, share: float, bytes_per_s: float) -> None:
        self.name = name
        self.share = share
        self.bytes_per_s = bytes_per_s
        self.chance = random.Random(SEED)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one after another."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await harness.read_head(reader)) is not None:
                await harness.read_body(reader, head)
                await self._answer(head.headers, reader, writer)
        writer.close()

    async def _answer(
        self,
        headers: harness.Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request}
        if headers.get("x-expect-instance", self.name) != self.name:
            refusal = {**echo, "X-Not-Executed": "1", "X-Instance-Id": self.name}
            writer.write(harness.response(421, refusal))
            await writer.drain()
            return
        await asyncio.sleep(WORK_S)
        sealed = {**echo, "X-Response-Seal": f"seal.{request}"}
        if self.chance.random() >= self.share:
            print(f"run {request}", flush=True)
            writer.write(harness.response(200, sealed, request.encode()))
            await writer.drain()
            return
        print(f"endless {request}", flush=True)
        lines = ["HTTP/1.1 200 Status", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in sealed.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self._send_without_end(reader, writer)

    async def _send_without_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        started_at, sent = time.monotonic(), 0
        while not reader.at_eof():
            writer.write(CHUNKS)
            await writer.drain()
            sent += len(CHUNKS)
            ahead_s = sent / self.bytes_per_s - (time.monotonic() - started_at)
            await asyncio.sleep(max(0.0, ahead_s))
        raise ConnectionResetError


async def main() -> None:
    """Listen on a free port, print the address, and serve until stdin ends."""
    upstream = EndlessUpstream(
        name=sys.argv[1],
        share=float(sys.argv[2]),
        bytes_per_s=float(sys.argv[3]),
    )
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"address {host}:{port}", flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)
    os._exit(0)


asyncio.run(main())
