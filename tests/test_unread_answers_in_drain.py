"""A planned stop of the product's own router while callers still read."""

import asyncio
import contextlib
import socket
from types import SimpleNamespace

from measurements._ports import free_port
from tornado.httpserver import HTTPServer
from tornado.web import Application

import endivelug.caller_handler
from endivelug.caller_handler import CallerHandler
from endivelug.drain import Drain, run_drain

BODY_BYTES = 8_000_000


class LargeAnswer(CallerHandler):
    """Answers with more than the kernel's buffers hold."""

    async def get(self):
        await self.finish(bytes(BODY_BYTES))


async def read_all(caller):
    loop, count = asyncio.get_running_loop(), 0
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(10):
            while part := await loop.sock_recv(caller, 65536):
                count += part.count(0)
                if count >= BODY_BYTES:
                    break
    return count


# Guards against a stop that ends while answers are still in the process: their handlers
# have finished, and the close of all connections drops the rest.
def test_an_answer_that_is_still_being_written_survives_the_stop(monkeypatch):
    monkeypatch.setattr(endivelug.caller_handler, "authenticate", lambda *_: None)

    async def scenario():
        loop = asyncio.get_running_loop()
        drain = Drain(notice_s=0.1, limit_s=10.0)
        state = SimpleNamespace(refusal=lambda: None, configuration=None)
        context = SimpleNamespace(state=state, drain_state=drain, in_flight=set())
        server = HTTPServer(Application([("/", LargeAnswer, {"context": context})]))
        port = free_port()
        server.listen(port, address="127.0.0.1")
        caller = socket.socket()
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.2)

        async def stop():
            # As Router.drain and Router.close do.
            await run_drain(
                drain,
                clock=loop.time,
                in_flight=lambda: len(context.in_flight),
                stop_accepting=server.stop,
            )
            await server.close_all_connections()

        stopping = asyncio.create_task(stop())
        await asyncio.sleep(1.0)
        assert await read_all(caller) == BODY_BYTES
        await stopping
        caller.close()

    asyncio.run(scenario())
