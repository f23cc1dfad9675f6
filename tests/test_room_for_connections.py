"""Room for connections while others wait for callers that do not read."""

import asyncio
import contextlib
import socket

from measurements._ports import free_port

from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.front_server import FrontServer
from forwarding_builders import LogRecorder

RECEIVE_BUFFER_BYTES = 32 * 1024
BODY = b"." * 1_500_000
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
LAST_HEAD = HEAD + b"Connection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def running_server(max_connections=0):
    async def respond(method, target, headers, body, writer):
        await writer.start(200, "", [], BODY)

    loop, log = asyncio.get_running_loop(), LogRecorder()
    guard = ClientGuard(memory_mb=0, clock=loop.time, log=log, gauges={})
    server = FrontServer(
        handler=respond,
        log=log,
        guard=guard,
        max_connections=lambda: max_connections,
    )
    address = ("127.0.0.1", free_port())
    server.listen("{}:{}".format(*address))
    try:
        yield address
    finally:
        await server.close()


# Guards against callers that ask for the close and do not read, and keep all others out
# for as long as their connections wait for them.
def test_callers_that_do_not_read_leave_room_for_others():
    async def scenario():
        async with running_server(max_connections=50) as address:
            loop, held = asyncio.get_running_loop(), []
            for _ in range(60):
                caller = socket.socket()
                option = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                caller.setsockopt(*option)
                caller.setblocking(False)
                await loop.sock_connect(caller, address)
                await loop.sock_sendall(caller, LAST_HEAD)
                held.append(caller)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD + b"\r\n")
            async with asyncio.timeout(5):
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            for caller in held:
                caller.close()

    asyncio.run(scenario())
