import asyncio
import random

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from builders import make_identity
from endivelug import links
from endivelug.exceptions import LinkBusy, LinkClosed, PeerNotAuthenticated
from endivelug.links import MAX_QUEUED_MESSAGES, LinkKeeper, LinkServer, open_link
from endivelug.messages import ConfigHead, ConfigRequest, Finish


async def echo(link, message):
    return message


async def ignore(link, message):
    return None


async def start_server(handler=echo, **identity):
    server = LinkServer(identity=make_identity("vm2", **identity), handler=handler)
    port = await server.start(host="127.0.0.1", port=0)
    return server, f"127.0.0.1:{port}"


def test_request_and_reply():
    async def run():
        server, address = await start_server()
        link = await open_link(
            address=address, identity=make_identity(), handler=ignore
        )
        task = asyncio.create_task(link.run())
        reply = await link.request(ConfigRequest(held=4), timeout_s=2)
        await link.close()
        await server.stop()
        await task
        return reply, link.peer.vm

    assert asyncio.run(run()) == (ConfigRequest(held=4), "vm2")


# Guards against accepting a link from a process that does not know the secret.
def test_wrong_secret_is_rejected():
    async def run():
        server, address = await start_server(secret=b"another secret, 16 bytes")
        try:
            with pytest.raises((PeerNotAuthenticated, LinkClosed)):
                await open_link(
                    address=address, identity=make_identity(), handler=ignore
                )
            await asyncio.sleep(0.05)
            assert server.rejected == 1
            assert not server.links
        finally:
            await server.stop()

    asyncio.run(run())


# Guards against a send queue that grows without bound because the peer reads slowly.
def test_full_queue_rejects_messages_and_replaces_config_heads():
    async def run():
        server, address = await start_server()
        link = await open_link(
            address=address, identity=make_identity(), handler=ignore
        )
        # The link does not run, so nothing is taken from its queue.
        for number in range(MAX_QUEUED_MESSAGES * 2):
            link.send(ConfigHead(revision=number, digest=0))
        for _ in range(MAX_QUEUED_MESSAGES - 1):
            link.send(Finish(request=b"r", engine="e", over=True))
        with pytest.raises(LinkBusy):
            link.send(Finish(request=b"r", engine="e", over=True))
        await link.close()
        await server.stop()

    asyncio.run(run())


# Guards against a link that stays closed after the peer has restarted.
def test_keeper_reconnects():
    async def run():
        server, address = await start_server()
        opened = []
        keeper = LinkKeeper(
            address=address,
            identity=make_identity(),
            handler=ignore,
            rng=random.Random(1),
            on_open=opened.append,
        )
        task = asyncio.create_task(keeper.run())
        async with asyncio.timeout(5):
            while len(opened) < 1:
                await asyncio.sleep(0.01)
            await server.stop()
            server = LinkServer(identity=make_identity("vm2"), handler=echo)
            await server.start(host="127.0.0.1", port=int(address.split(":")[1]))
            while len(opened) < 2:
                await asyncio.sleep(0.01)
        assert keeper.require_link().peer.vm == "vm2"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.stop()

    asyncio.run(run())


# Guards against an unauthenticated peer whose greeting takes much time and memory to
# decode.
def test_long_greeting_is_rejected():
    async def run():
        server, address = await start_server()
        async with connect(f"ws://{address}/", compression=None, proxy=None) as peer:
            await peer.send(cbor2.dumps([1, 0, 1, "v" * 5000, "d", "agent", 1, b"n"]))
            with pytest.raises(ConnectionClosed):
                while True:
                    await peer.recv()
        assert server.rejected == 1
        await server.stop()

    asyncio.run(run())


# Guards against a server that keeps a link after its client was cancelled during the
# handshake.
def test_cancelled_handshake_closes_the_connection(monkeypatch):
    handshake = links.handshake

    async def hanging(socket, identity, *, side):
        peer = await handshake(socket, identity, side=side)
        if side == b"client":
            await asyncio.sleep(60)
        return peer

    monkeypatch.setattr(links, "handshake", hanging)

    async def run():
        server, address = await start_server()
        task = asyncio.create_task(
            open_link(address=address, identity=make_identity(), handler=ignore)
        )
        async with asyncio.timeout(5):
            while not server.links:
                await asyncio.sleep(0.01)
            task.cancel()
            while server.links:
                await asyncio.sleep(0.01)
        await server.stop()

    asyncio.run(run())
