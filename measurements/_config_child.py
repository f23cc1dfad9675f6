"""One agent process of the measurements ``config`` and ``herd``.

Runs the product's agent. Commands on the standard input cut it off from data centres
or from the platform; revisions in force are reported on the standard output.
"""

import asyncio
import json
import random
import sys
import time
from typing import Any

import uvloop

from endivelug import links, mesh
from endivelug.agent import Agent
from endivelug.config_sync import ConfigSync
from endivelug.exceptions import LinkClosed, ObjectStoreUnavailable, TableUnavailable
from endivelug.object_store import ObjectStore
from endivelug.settings import Settings, load_settings
from endivelug.table import Table
from endivelug.vm_list import VmListClient, VmListUnavailable

# First byte after the array header: type of a message below 24.
CONFIG_TYPES = (8, 9, 10, 11)


class Network:
    """What this process is cut off from, and the bytes that it received."""

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.platform_cut = False
        self.config_bytes = 0
        self.link_bytes = 0

    def install(self) -> None:
        """Filter messages of links and requests to the platform."""
        receive = links.Link._receive

        def filtered(link: links.Link, data: Any) -> None:
            if link.peer.data_centre in self.cut:
                return
            self.link_bytes += len(data)
            if data[1] in CONFIG_TYPES:
                self.config_bytes += len(data)
            receive(link, data)

        links.Link._receive = filtered  # type: ignore[method-assign]
        for owner, name, error in (
            (Table, "_post", TableUnavailable),
            (ObjectStore, "_fetch", ObjectStoreUnavailable),
            (VmListClient, "fetch", VmListUnavailable),
        ):
            self._refuse(owner, name, error)

    def _refuse(self, owner: Any, name: str, error: type[Exception]) -> None:
        real = getattr(owner, name)

        async def request(*arguments: Any, **options: Any) -> Any:
            if self.platform_cut:
                raise error("cut off by the measurement")
            return await real(*arguments, **options)

        setattr(owner, name, request)


def say(**members: Any) -> None:
    print(json.dumps(members), flush=True)


async def lockstep(sync: ConfigSync, settings: Settings, go_at: float) -> None:
    """Baseline: poll the table at fixed times, without peers and jitter."""
    while not await sync.read_table():
        go_at += settings.agent.head_poll_s
        await asyncio.sleep(max(0.0, go_at - time.monotonic()))
    say(
        at=time.monotonic(),
        revision=sync.revision_and_digest()[0],
        digest=sync.revision_and_digest()[1],
    )


async def run(settings: Settings, mode: str) -> None:
    """Run one agent until the standard input ends."""
    network = Network()
    network.install()
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    rng = random.Random(f"{settings.vm.name}{time.time_ns()}")
    agent = Agent(settings=settings, rng=rng)
    say(loaded=True)
    go_at = json.loads(await reader.readline())["go_at"]
    await asyncio.sleep(max(0.0, go_at - time.monotonic()))
    if mode == "lockstep":
        await lockstep(agent.config, settings, go_at)
        await reader.readline()
        return
    # Without it, a dialler that cannot reach a cut data centre would still open a
    # link whose handshake the filter does not see.
    dial = links.open_link

    async def open_link(**options: Any) -> links.Link:
        link = await dial(**options)
        if link.peer.data_centre in network.cut:
            await link.close()
            raise LinkClosed("cut off by the measurement")
        return link

    links.open_link = open_link
    reported = (0, 0)

    def report() -> None:
        nonlocal reported
        held = agent.config.revision_and_digest()
        if held != reported:
            reported = held
            say(at=time.monotonic(), revision=held[0], digest=held[1])

    agent.context.on_change.append(report)
    await agent.start()
    while line := await reader.readline():
        command = json.loads(line)
        network.cut = set(command.get("cut", network.cut))
        network.platform_cut = command.get("platform_cut", network.platform_cut)
        if command.get("stats"):
            say(
                stats=True,
                config_bytes=network.config_bytes,
                link_bytes=network.link_bytes,
                rejected=agent.config.configuration.rejected,
                regressions=agent.config.regressions,
                pulls=agent.config.follower.pulls,
                failed=repr(agent.component_error()) if agent.component_error() else "",
            )
    await agent.abort()


if __name__ == "__main__":
    assert mesh.LinkKeeper is links.LinkKeeper
    uvloop.run(run(load_settings(sys.argv[1]), sys.argv[2]))
