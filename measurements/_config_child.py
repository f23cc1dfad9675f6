"""One agent process of the measurements ``config`` and ``herd``.

Runs the agent of endivelug. Commands on standard input cut it off from data centres or
from the platform; each revision that comes into force is printed to standard output.
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

# Messages of configuration sync. CBOR encodes a type number below 24 as the single
# byte after the array header.
CONFIG_MESSAGE_TYPES = (8, 9, 10, 11)


class NetworkFilter:
    """Drops link messages and platform requests, and counts received bytes."""

    def __init__(self) -> None:
        self.cut_data_centres: set[str] = set()
        self.platform_cut = False
        self.config_bytes = 0
        self.link_bytes = 0

    def install(self) -> None:
        """Patch the links and platform clients of this process."""
        original_receive = links.Link._receive

        def filtered_receive(link: links.Link, data: Any) -> None:
            if link.peer.data_centre in self.cut_data_centres:
                return
            self.link_bytes += len(data)
            if data[1] in CONFIG_MESSAGE_TYPES:
                self.config_bytes += len(data)
            original_receive(link, data)

        links.Link._receive = filtered_receive  # type: ignore[method-assign]
        for owner, name, error in (
            (Table, "_post", TableUnavailable),
            (ObjectStore, "_fetch", ObjectStoreUnavailable),
            (VmListClient, "fetch", VmListUnavailable),
        ):
            self._refuse_when_cut(owner, name, error)

    def _refuse_when_cut(self, owner: Any, name: str, error: type[Exception]) -> None:
        original = getattr(owner, name)

        async def filtered_request(*arguments: Any, **options: Any) -> Any:
            if self.platform_cut:
                raise error("cut off by the measurement")
            return await original(*arguments, **options)

        setattr(owner, name, filtered_request)


def print_record(**members: Any) -> None:
    """Print one JSON object on a line of its own."""
    print(json.dumps(members), flush=True)


async def poll_in_lockstep(sync: ConfigSync, settings: Settings, go_at: float) -> None:
    """Baseline: poll the table at fixed times, without peers or jitter."""
    while not await sync.read_table():
        go_at += settings.agent.head_poll_s
        await asyncio.sleep(max(0.0, go_at - time.monotonic()))
    print_record(
        at=time.monotonic(),
        revision=sync.revision_and_digest()[0],
        digest=sync.revision_and_digest()[1],
    )


async def run(settings: Settings, mode: str) -> None:
    """Run one agent until standard input is closed."""
    network = NetworkFilter()
    network.install()
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    rng = random.Random(f"{settings.vm.name}{time.time_ns()}")
    agent = Agent(settings=settings, rng=rng)
    print_record(loaded=True)
    go_at = json.loads(await reader.readline())["go_at"]
    await asyncio.sleep(max(0.0, go_at - time.monotonic()))
    if mode == "lockstep":
        await poll_in_lockstep(agent.config, settings, go_at)
        await reader.readline()
        return
    # The filter of received messages does not cover handshakes, so new links to a cut
    # data centre are closed here.
    original_open_link = links.open_link

    async def filtered_open_link(**options: Any) -> links.Link:
        link = await original_open_link(**options)
        if link.peer.data_centre in network.cut_data_centres:
            await link.close()
            raise LinkClosed("cut off by the measurement")
        return link

    links.open_link = filtered_open_link
    reported = (0, 0)

    def report() -> None:
        nonlocal reported
        current = agent.config.revision_and_digest()
        if current != reported:
            reported = current
            print_record(at=time.monotonic(), revision=current[0], digest=current[1])

    agent.context.on_change.append(report)
    await agent.start()
    while line := await reader.readline():
        command = json.loads(line)
        network.cut_data_centres = set(command.get("cut", network.cut_data_centres))
        network.platform_cut = command.get("platform_cut", network.platform_cut)
        if command.get("stats"):
            print_record(
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
