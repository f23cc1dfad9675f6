import asyncio

import pytest

from endivelug._websocket import connect, listen
from endivelug.exceptions import LinkClosed


async def start_listener(on_accept, **options):
    server = await listen(
        on_accept,
        host="127.0.0.1",
        port=0,
        max_size=1000,
        opening_timeout_s=0.2,
        **options,
    )
    return server, server.sockets[0].getsockname()[1]


# Guards against a peer that makes the receiver buffer a message of any length.
def test_a_message_that_is_too_long_closes_the_connection():
    async def run():
        async def on_accept(socket):
            await socket.closed

        server, port = await start_listener(on_accept)
        socket = await connect(f"ws://127.0.0.1:{port}/", max_size=1000, timeout_s=2)
        socket.send(bytes(2000))
        with pytest.raises(LinkClosed):
            await asyncio.wait_for(socket.recv(), 2)
        server.close()

    asyncio.run(run())


# Guards against connections on which nothing is ever sent, and against a server that
# does not speak WebSocket.
def test_connections_without_a_handshake_are_closed():
    async def run():
        async def on_accept(socket):
            raise AssertionError("not reached")

        server, port = await start_listener(on_accept)
        for request in (b"", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            await asyncio.wait_for(reader.read(), 2)
            writer.close()
        server.close()

        async def refuse(reader, writer):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

        other = await asyncio.start_server(refuse, "127.0.0.1", 0)
        port = other.sockets[0].getsockname()[1]
        with pytest.raises(LinkClosed):
            await connect(f"ws://127.0.0.1:{port}/", max_size=1000, timeout_s=1)
        other.close()

    asyncio.run(run())
