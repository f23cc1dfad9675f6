"""Partitions between data centres and from the platform, and the recovery after them.

Real agents, routers and stand-in engines run on loopback. A filter in the agents cuts
the links between data centres; a TCP forwarder per data centre cuts off the platform.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from endivelug.config_store import ConfigStore
from endivelug.lists import parse_lists
from endivelug.object_store import ObjectStore
from endivelug.table import Table
from measurements._cluster import (
    Cluster,
    Vm,
    fetch,
    running_cluster,
    wait_until,
)
from measurements._partition_child import CUT_FILE_VARIABLE
from measurements._ports import free_port

DATA_CENTRES = ["dc1", "dc2", "dc3"]
VMS = 2
ENGINES = 2
REQUESTS_S = 8.0
STEADY_S = 3.0
CUT_S = 8.0
# Far more than the target of 5 s, so that a missed target is measured in full.
HEAL_TIMEOUT_S = 20.0
KEY = "key of the partition measurement"
PLAN = """
[standard]
models = chat
adapters =
versions = chat=1
routes = chat
requests_s = {requests_s}
tokens_s = 5000000
streams = 600
work_class = chat=interactive
weight = 1
"""


class Forwarder:
    """Forwards TCP connections to the platform unless cut."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = free_port()
        self.cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def set_cut(self, cut: bool) -> None:
        """Abort new and open connections, or accept connections again."""
        self.loop.call_soon_threadsafe(self._set_cut, cut)

    def _set_cut(self, cut: bool) -> None:
        self.cut = cut
        if cut:
            for writer in self.writers:
                writer.transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        server = asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.loop.run_until_complete(server)
        self.loop.run_forever()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.cut:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target
        )
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self._copy(reader, target_writer),
            self._copy(target_reader, writer),
            return_exceptions=True,
        )
        self.writers -= {writer, target_writer}

    @staticmethod
    async def _copy(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(65536):
                sink.write(data)
                await sink.drain()
        finally:
            sink.close()


class RequestLoad:
    """Sends requests to the routers of one data centre as a Poisson process."""

    def __init__(self, vms: list[Vm], seed: str) -> None:
        self.vms = vms
        self.rng = random.Random(seed)
        self.counts = {"served": 0, "refused": 0}
        self.reasons: dict[str, int] = {}
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        self.stop_event.set()
        self.thread.join(20)

    def _run(self) -> None:
        while not self.stop_event.wait(self.rng.expovariate(REQUESTS_S)):
            vm = self.rng.choice(self.vms)
            text = f"rules {self.rng.randrange(5)} " * 40
            body = {
                "model": "chat",
                "messages": [{"role": "user", "content": text}],
                "max_tokens": 4,
            }
            try:
                status, _, response = fetch(
                    f"{vm.router_url}/v1/chat/completions",
                    body=body,
                    headers={"Authorization": f"Bearer {KEY}"},
                )
                reason = "" if status == 200 else response.decode()[:80]
            except OSError as error:
                status, reason = 0, str(error)
            self.counts["served" if status == 200 else "refused"] += 1
            if reason:
                self.reasons[reason] = self.reasons.get(reason, 0) + 1


def agent_metrics(vm: Vm) -> dict[str, float]:
    """Return the agent's metrics without labels."""
    _, _, body = fetch(f"{vm.agent_url}/metrics")
    rows = re.findall(r"^endivelug_agent_(\w+) (\S+)$", body.decode(), re.MULTILINE)
    return {name: float(value) for name, value in rows}


async def _commit(url: str, requests_s: int) -> None:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    organisations = f"[org]\nplan = standard\nkeys = {digest}\n"
    table, objects = Table(url=url), ObjectStore(url=url)
    store = ConfigStore(table=table, objects=objects, rng=random.Random(1))
    head = await store.read_head()
    lists = parse_lists(PLAN.format(requests_s=requests_s), organisations)
    await store.commit(base=head.revision, lists=lists)
    table.close()
    objects.close()


def commit_plan(cluster: Cluster, requests_s: int) -> None:
    """Commit the plan with a request limit, directly at the platform."""
    asyncio.run(_commit(cluster.platform_url, requests_s))


def start_processes(
    cluster: Cluster, cut_file: Path
) -> tuple[list[Vm], dict[str, Forwarder]]:
    """Start all processes; return the VMs and the platform forwarders."""
    os.environ[CUT_FILE_VARIABLE] = str(cut_file)
    cluster.start_platform()
    direct_url = cluster.platform_url
    forwarders = {
        name: Forwarder(int(direct_url.rpartition(":")[2])) for name in DATA_CENTRES
    }
    vms = []
    for data_centre in DATA_CENTRES:
        for number in range(ENGINES):
            cluster.start_engine(
                f"{data_centre}-e{number}",
                "--model",
                "chat=1",
                data_centre=data_centre,
            )
        cluster.platform_url = f"http://127.0.0.1:{forwarders[data_centre].port}"
        for number in range(VMS):
            vms.append(
                cluster.add_vm(f"{data_centre}-v{number}", data_centre=data_centre)
            )
    cluster.platform_url = direct_url
    cluster.publish_vm_list()
    for vm in vms:
        vm.agent = cluster.spawn(
            "measurements._partition_child", str(vm.settings), log=f"{vm.name}-agent"
        )
        cluster.start_router(vm)
    return vms, forwarders


def is_healed(vms: list[Vm], revision: float) -> bool:
    """Return whether all agents have their links and at least the given revision."""
    for vm in vms:
        metrics = agent_metrics(vm)
        if (
            metrics["remote_data_centres"] < len(DATA_CENTRES) - 1
            or metrics["live_agents"] < VMS
            or metrics["revision"] < revision
        ):
            return False
    return True


def cut_and_heal(
    cluster: Cluster,
    vms: list[Vm],
    forwarders: dict[str, Forwarder],
    cut_file: Path,
    mode: str,
    requests_s: int,
) -> dict[str, Any]:
    """Cut all data centres apart, edit during the cut, heal and return the results."""
    revision = agent_metrics(vms[0])["revision"] + 1
    cut_file.write_text(json.dumps({"mode": mode}))
    # The first data centre keeps its connection to the platform and gets the edit.
    for name in DATA_CENTRES[1:]:
        forwarders[name].set_cut(True)
    started = time.monotonic()
    commit_plan(cluster, requests_s)
    time.sleep(max(CUT_S - (time.monotonic() - started), 0))
    agents_behind = sum(agent_metrics(vm)["revision"] < revision for vm in vms)
    cut_file.write_text(json.dumps({"mode": ""}))
    for name in DATA_CENTRES[1:]:
        forwarders[name].set_cut(False)
    healed_at = time.monotonic()
    try:
        wait_until(
            lambda: is_healed(vms, revision), what="healing", timeout_s=HEAL_TIMEOUT_S
        )
    except TimeoutError:
        pass
    return {
        "mode": mode,
        "agents_behind_in_cut": agents_behind,
        "heal_s": round(time.monotonic() - healed_at, 2),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line per cut and the summary; targets: 0.999 served, 5 s to heal."""
    with running_cluster(
        data_centres=DATA_CENTRES, pool_settings={"chat": {"kind": "engine"}}
    ) as cluster:
        cut_file = cluster.directory / "cut.json"
        cut_file.write_text(json.dumps({"mode": ""}))
        vms, forwarders = start_processes(cluster, cut_file)
        wait_until(
            lambda: all(agent_metrics(vm)["live_agents"] == VMS for vm in vms),
            what="membership",
            timeout_s=40,
        )
        commit_plan(cluster, 900)
        for vm in vms:
            cluster.wait_ready(vm, timeout_s=40)
        wait_until(lambda: is_healed(vms, 1), what="the start", timeout_s=40)
        loads = [
            RequestLoad([vm for vm in vms if vm.data_centre == name], f"{seed}{name}")
            for name in DATA_CENTRES
        ]
        before = [agent_metrics(vm) for vm in vms]
        started = time.monotonic()
        time.sleep(STEADY_S)
        cuts = []
        modes = ["closed", "silent"]
        random.Random(seed).shuffle(modes)
        for number, mode in enumerate(modes):
            cuts.append(
                cut_and_heal(cluster, vms, forwarders, cut_file, mode, 901 + number)
            )
            yield cuts[-1]
        time.sleep(STEADY_S)
        elapsed_s = time.monotonic() - started
        for load in loads:
            load.stop()
        messages = sum(
            after[name] - earlier[name]
            for earlier, after in zip(before, map(agent_metrics, vms), strict=True)
            for name in ("messages_received", "messages_sent")
        )
        served = sum(load.counts["served"] for load in loads)
        refused = sum(load.counts["refused"] for load in loads)
        reasons: dict[str, int] = {}
        for load in loads:
            reasons.update(load.reasons)
        yield {
            "seed": seed,
            "served_rate": round(served / max(served + refused, 1), 5),
            "heal_s": max(cut["heal_s"] for cut in cuts),
            "messages_per_node_s": round(messages / elapsed_s / len(vms), 1),
            "requests": served + refused,
            "refusals": reasons,
            "seconds": round(elapsed_s, 1),
        }
