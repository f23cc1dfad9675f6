"""Requests that arrive while a stopping router closes its connections."""

import asyncio
import contextlib
import json
import signal
import socket

import h11
from measurements._ports import free_port

from endivelug.forwarding.buffers.acceptor import Acceptor
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.idle_connections import REUSE_S
from endivelug.forwarding.front_server import FrontServer
from endivelug.forwarding.planned_stop import READINESS_NOTICE_S
from endivelug.forwarding.response_writer import Writer
from forwarding_builders import LogRecorder
from misbehaving_clients import KEY, running_process
from platform_standins import ReceivedResponse, _receive_response
from router_process import PROMPT, wait_until
from test_planned_stop import ANSWER_TIMEOUT_S, PATIENT, begin_stop

CONNECTIONS = 200
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


def head_bytes(target, fields):
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_answer(reader):
    response = ReceivedResponse()
    with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await _receive_response(reader, response)
    return response


# Guards against cutting a request whose body in chunks arrives while the router, which
# has no other request, closes its connections: its caller has to be told that it was
# not run.
def test_a_body_that_arrives_during_the_stop_is_refused(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:
            host, _, port = running.front.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {
                "Host": "h.example",
                "Transfer-Encoding": "chunked",
                "X-Request-Id": "slow",
                **KEY,
                **PATIENT,
            }
            writer.write(head_bytes("/a/orders/x", fields))
            await begin_stop(running)
            before = len(running.desk.exchanges)
            with contextlib.suppress(ConnectionError):
                for _ in range(int(READINESS_NOTICE_S / 0.1) + 10):
                    writer.write(b"1\r\nb\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.1)
                writer.write(b"0\r\n\r\n")
            response = await read_answer(reader)
            assert (response.status, response.complete) == (503, True)
            assert float(response.headers["retry-after"]) > 0
            assert json.loads(response.body)["run"] == "not-run"
            assert len(running.desk.exchanges) == before
            writer.close()

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def running_server():
    async def respond(method, target, headers, body, writer):
        await writer.start(200, "", [], b"ok")

    loop, log = asyncio.get_running_loop(), LogRecorder()
    guard = ClientGuard(memory_mb=0, clock=loop.time, log=log, gauges={})
    server = FrontServer(handler=respond, log=log, guard=guard)
    address = ("127.0.0.1", free_port())
    server.listen("{}:{}".format(*address))
    try:
        yield server, address
    finally:
        await server.close()


# Guards against closing a connection right after an answer that did not announce it,
# while the caller sends its next request there.
def test_a_request_right_after_an_answer_in_the_stop_is_refused(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:

            async def stream(exchange):
                await exchange.start_stream()
                for number in range(int((READINESS_NOTICE_S + 1.0) / 0.1)):
                    await exchange.send_event(number)
                    await asyncio.sleep(0.1)
                await exchange.end_stream()

            running.engine.script = stream
            host, _, port = running.front.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": "h.example", "Content-Length": "0", **KEY, **PATIENT}
            first = head_bytes("/a/x", {**fields, **PROMPT, "X-Request-Id": "first"})
            writer.write(first)
            await wait_until(lambda: running.engine.exchanges)
            await asyncio.sleep(0.2)
            await begin_stop(running)
            answer = await read_answer(reader)
            assert answer.complete and "connection" not in answer.headers
            await asyncio.sleep(0.5)
            second = {**fields, "X-Request-Id": "second"}
            writer.write(head_bytes("/a/orders/x", second))
            response = await read_answer(reader)
            assert (response.status, response.complete) == (503, True)
            assert response.headers["connection"] == "close"
            writer.close()

    asyncio.run(scenario())


# Guards against closing an idle connection whose next request the kernel has received
# and the event loop, which is busy, has not read.
def test_a_request_in_the_kernel_is_answered_when_idle_connections_close():
    async def scenario():
        async with running_server() as (server, address):
            caller = socket.create_connection(address)
            while len(server.idle) == 0:
                await asyncio.sleep(0.01)
            await asyncio.sleep(REUSE_S)
            # No turn of the event loop comes between the two.
            caller.send(REQUEST)
            server.close_idle(with_begun=False)
            caller.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=caller)
            assert (await read_answer(reader)).complete
            writer.close()

    asyncio.run(scenario())


# Guards against resetting connections that the kernel has accepted before the listener
# closes, with the requests on them.
def test_connections_that_wait_are_accepted_before_the_listener_closes():
    async def scenario():
        async with running_server() as (server, address):
            callers = [socket.create_connection(address) for _ in range(CONNECTIONS)]
            for caller in callers:
                caller.send(REQUEST)
            server.stop_accepting()
            statuses = []
            for caller in callers:
                caller.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=caller)
                statuses.append((await read_answer(reader)).status)
                writer.close()
            assert statuses == [200] * CONNECTIONS

    asyncio.run(scenario())


# Guards against keeping something of each connection that has ended: the stop would
# look at all of them, and a bound on connections would count on closing them.
def test_connections_that_have_ended_are_forgotten():
    async def scenario():
        async with running_server() as (server, address):
            for number in range(CONNECTIONS):
                reader, writer = await asyncio.open_connection(*address)
                # Some callers send nothing or a part of a head.
                writer.write(REQUEST[: len(REQUEST) if number % 3 else number % 2])
                if number % 3:
                    assert (await read_answer(reader)).complete
                writer.close()
            await wait_until(lambda: server.connections == 0)
            await wait_until(lambda: len(server.idle) == 0)
            assert not server.arriving

    asyncio.run(scenario())


# Guards against a bound on connections that does not hold once connections have ended.
def test_the_bound_of_connections_holds_after_others_have_ended():
    async def scenario():
        async with running_server() as (server, address):
            server.max_connections = lambda: 10
            for _ in range(CONNECTIONS):
                _, writer = await asyncio.open_connection(*address)
                writer.close()
            callers = [await asyncio.open_connection(*address) for _ in range(40)]
            await asyncio.sleep(0.3)
            assert server.connections <= 10
            for _, writer in callers:
                writer.close()

    asyncio.run(scenario())


# Guards against a listener that does not close because there is no room for what waits.
def test_a_listener_without_room_closes():
    async def scenario():
        acceptor = Acceptor(
            has_room=lambda: False,
            on_accepted=lambda stream, address: None,
            max_buffer_size=65536,
            read_chunk_size=4096,
        )
        port = free_port()
        acceptor.listen("127.0.0.1", port)
        with socket.create_connection(("127.0.0.1", port)):
            acceptor.stop()
            assert acceptor.sockets == []
            await asyncio.sleep(0.1)

    asyncio.run(scenario())


class PausedStream:
    """Stream that has not written yet what it was given."""

    def __init__(self, loop):
        self.written = loop.create_future()

    def writing(self):
        return not self.written.done()

    def write(self, data):
        return self.written


class PausedConnection:
    def __init__(self, stream):
        self.stream = stream
        self.finished = False

    def finish(self):
        self.finished = True


# Guards against taking an answer for delivered whose end is still in this process.
def test_a_response_is_finished_once_its_end_is_written():
    async def scenario():
        stream = PausedStream(asyncio.get_running_loop())
        connection = PausedConnection(stream)
        writer = Writer(connection=connection, close_after=False)
        finishing = asyncio.create_task(writer.finish())
        await asyncio.sleep(0.01)
        assert connection.finished and not finishing.done()
        stream.written.set_result(None)
        await asyncio.wait_for(finishing, 1.0)

    asyncio.run(scenario())


# Guards against a stop that waits for a caller which keeps a connection without a
# request, or a part of a head, until the end of the grace period.
def test_a_head_that_does_not_end_does_not_hold_the_stop(tmp_path):
    async def scenario():
        async with running_process(tmp_path) as running:
            host, _, port = running.front.rpartition(":")
            _, idle = await asyncio.open_connection(host, int(port))
            _, partial = await asyncio.open_connection(host, int(port))
            partial.write(REQUEST[:20])
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            running.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                assert await running.process.wait() == 0
            assert loop.time() - began_at < 5.5
            idle.close()
            partial.close()

    asyncio.run(scenario())


# Guards against losing an answer of which the caller has asked for the close: tornado
# closes the socket at once, and a line end behind the request resets it.
def test_an_answer_before_a_close_that_the_caller_asked_for_survives_a_late_byte():
    async def scenario():
        async with running_server() as (server, address):
            body = b"." * 1_500_000

            async def respond(method, target, headers, received, writer):
                await writer.start(200, "", [], body)

            server.handler = respond
            loop, caller = asyncio.get_running_loop(), socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
            caller.setblocking(False)
            await loop.sock_connect(caller, address)
            closing = REQUEST.replace(b"Host: h", b"Host: h\r\nConnection: close")
            await loop.sock_sendall(caller, closing)
            await asyncio.sleep(0.3)
            await loop.sock_sendall(caller, b"\r\n")
            await asyncio.sleep(0.3)
            reader, writer = await asyncio.open_connection(sock=caller)
            response = await read_answer(reader)
            writer.close()
            assert len(response.body) == len(body)

    asyncio.run(scenario())


# Guards against losing an answer that is not read yet because the next head on the
# connection is malformed: tornado answers 400 and closes the socket at once.
def test_an_unread_answer_survives_a_malformed_next_head():
    async def scenario():
        async with running_server() as (server, address):
            body = b"." * 1_500_000

            async def respond(method, target, headers, received, writer):
                await writer.start(200, "", [], body)

            server.handler = respond
            loop, caller = asyncio.get_running_loop(), socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
            caller.setblocking(False)
            await loop.sock_connect(caller, address)
            await loop.sock_sendall(caller, REQUEST)
            await asyncio.sleep(0.3)
            for data in (b"nonsense\r\n\r\n", b"more"):
                await loop.sock_sendall(caller, data)
                await asyncio.sleep(0.2)
            reader, writer = await asyncio.open_connection(sock=caller)
            response = await read_answer(reader)
            writer.close()
            assert len(response.body) == len(body)

    asyncio.run(scenario())
