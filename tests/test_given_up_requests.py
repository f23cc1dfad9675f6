"""Requests that were given up before their upstream had read them."""

import asyncio
import socket
import time

import pytest
import uvloop

from endivelug.forwarding.upstream_connection import RequestHead, connect
from router_process import wait_until

# Less than the kernel takes from a sender; more than the receive buffer below.
BODY = b"x" * 40_000
RECEIVE_BUFFER_BYTES = 4096


def busy_listener():
    """Return a listener whose connections take little until they are read."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    return listener


def read_all(sock):
    """Return what a stopped upstream reads once it runs again."""
    received = b""
    sock.settimeout(5)
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


# Guards against a request that reaches its upstream after it was given up: the kernel
# kept the rest of it and sent it once the upstream read again.
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_request_that_was_given_up_is_not_sent_any_more(new_loop):
    async def give_up(listener):
        host, port = listener.getsockname()
        connection = await connect(
            f"{host}:{port}", timeout_s=5.0, clock=time.monotonic
        )
        head = RequestHead(
            method="POST",
            target="/a",
            headers=[("Host", "h"), ("Content-Length", str(len(BODY)))],
        )
        connection.send(head, BODY, accepts=lambda response: True)
        # The kernel has all of it.
        await wait_until(lambda: connection._transport.get_write_buffer_size() == 0)
        connection.abort()

    with busy_listener() as listener:
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(give_up(listener))
        with listener.accept()[0] as upstream:
            assert BODY not in read_all(upstream)
