"""Answers that break off, read by the clients of the product's own interface."""

import asyncio
import contextlib
import time

import pytest

from endivelug._http_probe import MAX_BODY_BYTES, PersistentConnection
from endivelug.engine_client import EngineClient
from endivelug.exceptions import ObjectStoreUnavailable, UpstreamBroken
from endivelug.object_store import ObjectStore
from endivelug.service_client import ServiceClient, ServiceRequest

HEAD = b"HTTP/1.1 200 OK\r\nX-Weights-Version: v1\r\n"
LENGTH = HEAD + b"Content-Length: 5\r\n\r\nwhole"
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
WHOLE = {"length": LENGTH, "chunks": CHUNKS}
BAD_CHUNK = CHUNKS.replace(b"\r\n0\r\n", b"\r\nxyz\r\n")
TOO_LONG = LENGTH.replace(b": 5", f": {MAX_BODY_BYTES + 1}".encode())


class CutServer:
    """Answers each connection with some bytes, and closes it."""

    def __init__(self):
        self.data = b""

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            writer.close()

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
    try:
        return (await connection.get("/healthz", timeout_s=5.0))[1]
    finally:
        connection.close()


async def call_service(address):
    client = ServiceClient()
    request = ServiceRequest(service="s", method="GET", target="/x")
    try:
        url, deadline = f"http://{address}", time.monotonic() + 5.0
        return (await client.send(request, url=url, deadline=deadline)).body
    finally:
        client.close()


async def read_object(address):
    store = ObjectStore(url=f"http://{address}")
    try:
        return await store.get("a")
    except ObjectStoreUnavailable as error:
        raise UpstreamBroken("the object is not complete") from error
    finally:
        store.close()


async def stream(address):
    """Return the bytes of a stream at its regular end."""
    client = EngineClient()
    body = b""
    try:
        opened = await client.open(
            address=address,
            body={"stream_id": "s"},
            version="v1",
            deadline=time.monotonic() + 5.0,
        )
        while data := await opened.exchange.read():
            body += data
        return body
    finally:
        await client.close()


CLIENTS = [probe, call_service, read_object, stream]


# Guards against an answer that is cut anywhere and taken for a complete one.
@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("kind", WHOLE)
def test_a_client_does_not_take_a_cut_answer_for_a_complete_one(client, kind):
    async def run():
        server = CutServer()
        async with server.running() as address:
            for count in range(len(WHOLE[kind])):
                server.data = WHOLE[kind][:count]
                with pytest.raises(UpstreamBroken):
                    await client(address)
            server.data = WHOLE[kind]
            assert await client(address) == b"whole"

    asyncio.run(run())


# Guards against the same where the body turns into something else, is longer than what
# is read, or may have been cut because nothing states its length. Probes go by the
# status and read JSON, so they need no length.
@pytest.mark.parametrize(
    ("client", "data"),
    [
        *[(client, BAD_CHUNK) for client in CLIENTS],
        (probe, TOO_LONG),
        (call_service, HEAD + b"\r\nwho"),
        (read_object, HEAD + b"\r\nwho"),
    ],
)
def test_a_client_does_not_take_an_unreadable_body_for_a_complete_one(client, data):
    async def run():
        server = CutServer()
        server.data = data
        async with server.running() as address:
            with pytest.raises(UpstreamBroken):
                await client(address)

    asyncio.run(run())
