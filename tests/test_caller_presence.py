"""Callers of the product's own interface that leave before they are answered."""

import asyncio
import socket
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from endivelug.caller_handler import CallerHandler, watch_callers
from router_process import wait_until

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"


class HangingHandler(CallerHandler):
    """Works for five seconds; records what began and what ended early."""

    async def prepare(self):
        self.context.in_flight.add(self)

    async def post(self):
        await self.run_cancellable(self.work())

    async def work(self):
        self.context.began += 1
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            self.context.cancelled += 1
            raise


def run_scenario(scenario):
    async def run():
        context = SimpleNamespace(in_flight=set(), began=0, cancelled=0)
        application = Application([("/", HangingHandler, {"context": context})])
        server = HTTPServer(application)
        server.listen(0, address="127.0.0.1")
        (listener,) = server._sockets.values()
        watch = asyncio.create_task(watch_callers(context.in_flight))
        try:
            await scenario(context, listener.getsockname())
        finally:
            watch.cancel()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


# Guards against work for a caller that left while the router was too busy to read its
# request.
def test_work_does_not_begin_for_a_caller_that_has_left():
    async def scenario(context, address):
        with socket.create_connection(address) as connection:
            connection.sendall(REQUEST)
        await asyncio.sleep(0.3)
        assert context.began == 0

    run_scenario(scenario)


# Guards against work that goes on because bytes after the request hide that its caller
# left.
@pytest.mark.parametrize("following", [b"", b"\r\n", REQUEST])
def test_work_ends_when_its_caller_leaves(following):
    async def scenario(context, address):
        with socket.create_connection(address) as connection:
            connection.sendall(REQUEST + following)
            await wait_until(lambda: context.began == 1)
        await wait_until(lambda: context.cancelled == 1, timeout_s=0.5)

    run_scenario(scenario)
