"""Starts the platform and agents of the measurements ``config`` and ``herd``."""

import asyncio
import contextlib
import json
import logging
import os
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from endivelug.config_store import HEAD_KEY
from endivelug.lists import Lists, Organisation, Plan, key_digest
from endivelug.standin_platform import PlatformState, make_platform

START_TIMEOUT_S = 40.0
LINK_SECRET = "secret of the measurement"
# Refused requests are expected; their log lines would hide the results.
logging.getLogger("tornado.access").setLevel(logging.CRITICAL)


def sample_lists(organisations: int) -> Lists:
    """Return lists with one plan for each of two work classes."""
    plans = {
        name: Plan(
            name=name,
            models=("base",),
            adapters=("house",),
            versions={"base": "v1"},
            routes=("chat", "stock"),
            requests_s=10.0,
            tokens_s=4000.0,
            streams=8,
            work_class={"chat": work_class, "stock": "interactive"},
            weight=1.0,
        )
        for name, work_class in (("counter", "interactive"), ("review", "batch"))
    }
    return Lists(
        plans=plans,
        organisations={
            f"org-{number:05d}": Organisation(
                name=f"org-{number:05d}",
                plan="counter",
                keys=(key_digest(f"key {number}"),),
            )
            for number in range(organisations)
        },
    )


@dataclass(slots=True, kw_only=True)
class Node:
    """One agent process and the configuration revisions that it reported.

    Attributes
    ----------
    reports : list of tuple
        Time, revision and digest of each change since the last start.
    earlier_reports : list of list
        The reports of each earlier start.
    downtimes : list of list of float
        Start and end of each period without a configuration in force.
    stats : dict, optional
        Counters that the process last reported.
    loaded : bool
        Whether the process has created its agent and waits for ``go_at``.
    """

    vm: str
    data_centre: str
    address: str
    settings: str
    process: asyncio.subprocess.Process | None = None
    reports: list[tuple[float, int, int]] = field(default_factory=list)
    earlier_reports: list[list[tuple[float, int, int]]] = field(default_factory=list)
    downtimes: list[list[float]] = field(default_factory=list)
    stats: dict[str, Any] | None = None
    loaded: bool = False
    reader: asyncio.Task[None] | None = None

    def send_command(self, **command: Any) -> None:
        """Write a command to the standard input of the process."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def start(self, mode: str) -> None:
        """Start the process, which waits for a command with ``go_at``."""
        root = Path(__file__).parents[1]
        self.loaded = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "measurements._config_child",
            self.settings,
            mode,
            cwd=root,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.create_task(self._read_output())

    async def kill_process(self) -> None:
        """Kill the process and stop reading its output."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()

    async def _read_output(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            record = json.loads(line)
            if "revision" in record:
                entry = (record["at"], record["revision"], record["digest"])
                self.reports.append(entry)
            elif "stats" in record:
                self.stats = record
            else:
                self.loaded = True


class Cluster:
    """Stand-in platform and the agents of several data centres.

    Attributes
    ----------
    durable : list of float
        Time at which each revision became durable; index 0 is revision 0.
    """

    def __init__(
        self, *, folder: Path, data_centres: int, agents_per_data_centre: int
    ) -> None:
        self.state = PlatformState()
        self.durable_at = [0.0]
        original_put = self.state.table._put

        def recording_put(key: str, value: bytes) -> None:
            if key == HEAD_KEY:
                self.durable_at.append(time.monotonic())
            original_put(key, value)

        self.state.table._put = recording_put  # type: ignore[method-assign]
        self.folder = folder
        self.data_centre_names = [
            f"dc{number}" for number in range(1, data_centres + 1)
        ]
        # A loopback subnet by process id keeps concurrent runs apart.
        block = 64 + os.getpid() % 128
        self.nodes = [
            Node(
                vm=f"{name}-vm{number:02d}",
                data_centre=name,
                address=f"127.{block}.{index}.{number}:8100",
                settings=str(folder / f"{name}-vm{number:02d}.ini"),
            )
            for index, name in enumerate(self.data_centre_names, 1)
            for number in range(1, agents_per_data_centre + 1)
        ]

    @contextlib.asynccontextmanager
    async def platform(self) -> AsyncIterator[str]:
        """Serve the stand-in platform and write the settings of the agents."""
        socket, port = bind_unused_port()
        server = HTTPServer(make_platform(self.state))
        server.add_socket(socket)
        url = f"http://127.0.0.1:{port}"
        self.state.set_vm_list(
            [
                {
                    "targets": [node.address],
                    "labels": {
                        "vm": node.vm,
                        "data_centre": node.data_centre,
                        "kind": "agent",
                        "state": "live",
                    },
                }
                for node in self.nodes
            ],
            time.monotonic(),
        )
        for node in self.nodes:
            self._write_settings(node, url)
        try:
            yield url
        finally:
            await asyncio.gather(*(node.kill_process() for node in self.nodes))
            server.stop()
            await server.close_all_connections()

    def _write_settings(self, node: Node, url: str) -> None:
        # Each agent, including that of a replaced VM, knows 4 peers of its data centre.
        local_nodes = [
            other for other in self.nodes if other.data_centre == node.data_centre
        ]
        peers = ", ".join(other.address for other in local_nodes[:4])
        Path(node.settings).write_text(
            f"[vm]\nname = {node.vm}\ndata_centre = {node.data_centre}\n"
            f"data_centres = {', '.join(self.data_centre_names)}\n"
            "[router]\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n"
            f"[agent]\nlisten = {node.address}\nmetrics_listen = 127.0.0.1:0\n"
            f"peers = {peers}\n"
            f"[links]\nsecret = {LINK_SECRET}\n"
            f"[platform]\ntable = {url}\nobject_store = {url}\nvm_list = {url}\n"
        )

    async def start_nodes(self, nodes: Iterable[Node], *, mode: str = "agent") -> None:
        """Start the agents of nodes and wait until each waits for ``go_at``."""
        nodes = list(nodes)
        await asyncio.gather(*(node.start(mode) for node in nodes))
        await wait_until(lambda: all(node.loaded for node in nodes), START_TIMEOUT_S)

    def send_command(self, data_centre: str, **command: Any) -> None:
        """Send a command to every agent of a data centre."""
        for node in self.nodes:
            if node.data_centre == data_centre:
                node.send_command(**command)


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; return False if it is not met in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by nearest rank, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
