"""A caller that sends and reads piece by piece, and what it holds in a router."""

import asyncio

from endivelug.forwarding.buffers.memory_account import SMALL_BODY_BYTES
from router_process import KEY, wait_until

LARGE = 1024 * 1024
ID = {"X-Request-Id": "q1"}


class Client:
    """A connection of a caller that sends and reads piece by piece."""

    @classmethod
    async def connect(cls, system):
        client = cls()
        host, _, port = system.node.settings.front.rpartition(":")
        client.reader, client.writer = await asyncio.open_connection(host, int(port))
        return client

    def send_head(self, *, length=None, target="/look/it", **headers):
        fields = {"Host": "h.example", **ID, **KEY, **headers}
        if length is None:
            fields["Transfer-Encoding"] = "chunked"
        else:
            fields["Content-Length"] = str(length)
        lines = [f"POST {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def read_head(self):
        """Return the status and the headers of the next response."""
        async with asyncio.timeout(5):
            lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        pairs = (line.partition(": ") for line in lines[1:] if line)
        return int(lines[0].split()[1]), {name.lower(): at for name, _, at in pairs}

    async def read_response(self):
        status, headers = await self.read_head()
        return (
            status,
            headers,
            await self.reader.readexactly(int(headers["content-length"])),
        )

    async def is_closed(self):
        async with asyncio.timeout(5):
            try:
                return await self.reader.read() == b""
            except ConnectionError:
                return True


def account_of(system):
    return system.node.front_server.guard.account


async def wait_until_empty(system):
    """Wait until nothing is charged."""
    account = account_of(system)
    await wait_until(lambda: not account.holders and account.held_bytes == 0)


async def stall(system, *, length=LARGE, sent=LARGE - 1):
    """Return a client whose body stops short of its end, and its holder."""
    client = await Client.connect(system)
    before = account_of(system).holders.copy()
    client.send_head(length=length)
    client.writer.write(bytes(sent))
    await wait_until(lambda: account_of(system).holders - before)
    (holder,) = account_of(system).holders - before
    await wait_until(lambda: holder.held_bytes >= sent)
    return client, holder


def fill(system):
    """Leave no room in the account, except for a small body."""
    account = account_of(system)
    account.total_bytes = int(account.held_bytes * 1.2) + SMALL_BODY_BYTES
