import asyncio
import time

import pytest
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from builders import serving
from endivelug.exceptions import UpstreamBroken, UpstreamUnreachable
from endivelug.service_client import ServiceClient, ServiceRequest
from endivelug.standin_service import ServiceFaults, ServiceState, make_service


def make_request(key="k"):
    return ServiceRequest(
        service="stock",
        method="POST",
        target="/reserve",
        body=b'{"key": "%s"}' % key.encode(),
    )


async def send(url, *, timeout_s=1.0, request=None):
    client = ServiceClient()
    try:
        deadline = time.monotonic() + timeout_s
        return await client.send(request or make_request(), url=url, deadline=deadline)
    finally:
        client.close()


# Guards against reporting "not run" for a call that ran, and against accepting a
# truncated response.
@pytest.mark.parametrize(
    ("faults", "runs"),
    [
        (ServiceFaults(drop_answers=1), 1),
        (ServiceFaults(cut_answers=1), 1),
        (ServiceFaults(refuse=1), 0),
        (ServiceFaults(delay_s=0.5), 0),
    ],
)
def test_failure_after_sending_may_have_run(faults, runs):
    async def run():
        state = ServiceState(faults=faults)
        async with serving(make_service(state)) as url:
            with pytest.raises(UpstreamBroken):
                await send(url, timeout_s=0.3)
            assert state.runs["k"] == runs

    asyncio.run(run())


def test_refused_connection_and_passed_deadline_are_not_sent():
    async def run():
        socket, port = bind_unused_port()
        socket.close()
        for timeout_s in (1.0, 0.0):
            with pytest.raises(UpstreamUnreachable):
                await send(f"http://127.0.0.1:{port}", timeout_s=timeout_s)

    asyncio.run(run())


class RawServer(TCPServer):
    """Server that sends the given bytes as its response and closes the connection."""

    def __init__(self, response):
        super().__init__()
        self.response, self.connections = response, 0

    async def handle_stream(self, stream, address):
        self.connections += 1
        await stream.read_until(b"\r\n\r\n")
        await stream.write(self.response)
        stream.close()


# Guards against accepting the response to another request or one without an end, and
# against following a redirect, which sends the call a second time.
@pytest.mark.parametrize(
    "head",
    [b"200 OK\r\nContent-Length: 1\r\nX-Request-Id: other", b"200 OK\r\nA: b"],
)
def test_response_to_another_request_or_without_an_end_is_rejected(head):
    async def run():
        server = RawServer(b"HTTP/1.1 " + head + b"\r\n\r\nx")
        socket, port = bind_unused_port()
        server.add_socket(socket)
        with pytest.raises(UpstreamBroken):
            await send(f"http://127.0.0.1:{port}")
        server.response = (
            b"HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n"
        )
        assert (await send(f"http://127.0.0.1:{port}")).status == 307
        assert server.connections == 2
        server.stop()

    asyncio.run(run())


# Guards against responses that are assigned to the wrong call after one of them came
# late.
def test_late_response_never_reaches_the_next_call():
    async def run():
        state = ServiceState(faults=ServiceFaults(delay_s=0.2))
        async with serving(make_service(state)) as url:
            client = ServiceClient()
            with pytest.raises(UpstreamBroken):
                await client.send(
                    make_request("a"), url=url, deadline=time.monotonic() + 0.1
                )
            state.faults.delay_s = 0.0
            deadline = time.monotonic() + 1
            responses = await asyncio.gather(
                *(
                    client.send(make_request(k), url=url, deadline=deadline)
                    for k in "bcd"
                )
            )
            keys = [b'"key": "%s"' % key for key in (b"b", b"c", b"d")]
            assert all(k in a.body for k, a in zip(keys, responses, strict=True))
            client.close()

    asyncio.run(run())
