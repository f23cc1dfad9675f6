"""Clients outside the limits against the product's own process, with lowered limits."""

import asyncio

import pytest

from misbehaving_clients import (
    KEY,
    MEMORY_MB,
    PIECE_BYTES,
    Clients,
    running_process,
)

ID = {"X-Request-Id": "a1"}


async def send_whole_bodies(clients):
    await clients.send_bodies(headers={**ID, **KEY})


async def send_bodies_in_pieces(clients):
    await clients.send_bodies(headers={**ID, **KEY}, piece_bytes=PIECE_BYTES)


async def send_chunked_bodies(clients):
    await clients.send_bodies(
        headers={**ID, **KEY}, piece_bytes=PIECE_BYTES, chunked=True
    )


async def send_bodies_with_unknown_key(clients):
    await clients.send_bodies(headers={**ID, "X-Credential": "unknown"})


async def send_pipelined_requests(clients):
    await clients.send_pipelined(headers={**ID, **KEY})


async def send_unfinished_heads(clients):
    await clients.send_heads(piece=b"POST /look/it HTTP/1.1\r\nX-A: " + b"a" * 12000)


async def open_idle_connections(clients):
    await clients.send_heads(piece=b"")


# Guards against a process that runs out of memory or descriptors, or stops serving,
# because clients send bodies or heads and stop short of their end.
@pytest.mark.parametrize(
    "misbehave",
    [
        send_whole_bodies,
        send_bodies_in_pieces,
        send_chunked_bodies,
        send_bodies_with_unknown_key,
        send_pipelined_requests,
        send_unfinished_heads,
        open_idle_connections,
    ],
)
def test_the_process_stays_within_its_bounds_and_serves(misbehave, tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:
            clients = Clients(running)
            try:
                await misbehave(clients)
                await running.check_bounds(memory_mb=MEMORY_MB)
            finally:
                await clients.close()

    asyncio.run(scenario())
