"""Connections of callers that have an unread answer or a further request in a stop."""

import asyncio
import contextlib
import signal
import socket

import h11

from misbehaving_clients import KEY, running_process
from platform_standins import request
from router_process import PROMPT, wait_until

RECEIVE_BUFFER_BYTES = 64 * 1024
EVENT = b"data: " + b"." * 250_000 + b"\n\n"
# The answer fits into the send buffer of a connection, not into the receive buffer.
EVENTS = 10
BODY_PARTS = 1000
PART_INTERVAL_S = 0.1
# Time after the signal at which the caller begins to read; the stop still lasts.
READ_AFTER_S = 3.5
ANSWER_TIMEOUT_S = 20.0


def request_bytes(request_id, target, *, body_bytes=0, **headers):
    fields = {
        "Host": "h.example",
        "Content-Length": str(body_bytes),
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "8000",
        **KEY,
        **headers,
    }
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Caller:
    """A caller that reads only when it is told to."""

    def __init__(self):
        self.raw = socket.socket()
        self.raw.setblocking(False)
        option = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.raw.setsockopt(*option)
        self.body_bytes = 0
        self.complete = False
        self.announced_close = False

    async def connect(self, address):
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(self.raw, (host, int(port)))

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.raw, data)

    async def send_body_slowly(self):
        with contextlib.suppress(ConnectionError):
            for _ in range(BODY_PARTS):
                await self.send(b"b")
                await asyncio.sleep(PART_INTERVAL_S)

    async def read_answer(self):
        parser = h11.Connection(our_role=h11.CLIENT)
        parser.send(h11.Request(method="POST", target="/", headers=[("host", "h")]))
        parser.send(h11.EndOfMessage())
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not self.complete:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        parser.receive_data(await loop.sock_recv(self.raw, 65536))
                    elif isinstance(event, h11.Response):
                        closing = (b"connection", b"close") in event.headers
                        self.announced_close = closing
                    elif isinstance(event, h11.Data):
                        self.body_bytes += len(event.data)
                    else:
                        self.complete = isinstance(event, h11.EndOfMessage)
                        return


# Guards against dropping an answer that the caller has not read yet when the router
# closes the connection while a further request arrives on it: the kernel answers bytes
# to a closed socket with a reset, and drops what it has not sent.
def test_an_unread_answer_before_a_further_request_survives_the_stop(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:

            async def send_much(exchange):
                await exchange.start_stream()
                for _ in range(EVENTS):
                    await exchange.send_chunk(EVENT)
                await exchange.end_stream()

            running.engine.script = send_much
            caller = Caller()
            await caller.connect(running.front)
            await caller.send(request_bytes("first", "/a/x", **PROMPT))
            head = request_bytes("second", "/a/orders/x", body_bytes=BODY_PARTS)
            await caller.send(head)
            sending = asyncio.create_task(caller.send_body_slowly())
            text = '"message_type": "delivered"'
            await wait_until(
                lambda: any(
                    text in line and '"first"' in line
                    for line in running.log_path.read_text().splitlines()
                )
            )
            running.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(READ_AFTER_S)
            await caller.read_answer()
            sending.cancel()
            caller.raw.close()
            assert caller.body_bytes == EVENTS * len(EVENT)
            assert caller.complete

    asyncio.run(scenario())


# Guards against passing on a request behind one whose answer announced the end
# of the connection. Its caller reads no further answer there.
def test_nothing_is_passed_on_after_an_answer_that_announced_the_close(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:

            async def stream(exchange):
                await exchange.start_stream()
                await exchange.send_event(1)
                await asyncio.sleep(0.5)
                await exchange.end_stream()

            running.engine.script = stream
            running.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while (await request(running.ready, method="GET")).status != 503:
                    await asyncio.sleep(0.02)
            caller = Caller()
            await caller.connect(running.front)
            await caller.send(request_bytes("first", "/a/x", **PROMPT))
            await caller.send(request_bytes("second", "/a/orders/x"))
            await caller.read_answer()
            assert caller.complete
            assert caller.announced_close
            await asyncio.sleep(0.5)
            caller.raw.close()
            assert [
                exchange.id
                for exchange in running.desk.exchanges
                if exchange.id == "second"
            ] == []

    asyncio.run(scenario())
