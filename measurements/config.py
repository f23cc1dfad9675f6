"""Edits race while data centres are cut off, agents restart and the platform fails.

44 agent processes in 4 data centres on loopback TCP. In force counts from the moment
at which the table took the edit, for agents that some path connects to the table; for
a data centre that was cut off entirely it counts from the end of the cut.
"""

import asyncio
import dataclasses
import itertools
import random
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from endivelug._config_records import unpack_delta
from endivelug.config_store import ConfigStore, delta_key
from endivelug.configuration import Configuration, build_configuration
from endivelug.ctl_survey import AgentSurvey, SurveyResult, make_delta
from endivelug.exceptions import (
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableUnavailable,
)
from endivelug.links import Identity
from endivelug.lists import Lists, key_digest
from endivelug.object_store import ObjectStore
from endivelug.table import Table
from measurements._config_cluster import (
    LINK_SECRET,
    Cluster,
    Node,
    percentile,
    sample_lists,
    until,
)

DATA_CENTRES = 4
PER_CENTRE = 11
ORGANISATIONS = 500
DESIGN_ORGANISATIONS = 35_000
EDITORS = 3
# Each editor pauses up to this long between edits, so that some edits race.
EDIT_PAUSE_S = 0.6
PHASE_S = 5.0
HEAL_TIMEOUT_S = 10.0
RESTARTED = 6


class Editor:
    """One operator who goes on editing organisations of their own.

    Attributes
    ----------
    wanted : dict of str to tuple of bytes
        Keys of each organisation as last acknowledged.
    conflicts, unknown, refused : int
        Outcomes other than success.
    """

    def __init__(
        self, *, number: int, url: str, seed: int, agents: dict[str, list[str]]
    ) -> None:
        self.number = number
        self.stopped = False
        self.rng = random.Random(f"{seed}:{number}")
        self.store = ConfigStore(
            table=Table(url=url), objects=ObjectStore(url=url), rng=self.rng
        )
        # As ``endivelugctl apply`` does, an editor hands the edit to agents; here
        # only to those of one data centre, so that cuts hold for editors too.
        self.survey = AgentSurvey(
            agents=agents,
            identity=Identity(
                vm="editor",
                data_centre="operator",
                role="operator",
                incarnation=number,
                secret=LINK_SECRET.encode(),
            ),
            rng=self.rng,
        )
        self.asking: list[asyncio.Task[SurveyResult]] = []
        self.wanted: dict[str, tuple[bytes, ...]] = {}
        self.made = 0
        self.conflicts = 0
        self.unknown = 0
        self.refused = 0

    async def run(self) -> None:
        """Edit until stopped; an edit in progress is finished."""
        while not self.stopped:
            await asyncio.sleep(self.rng.uniform(0, EDIT_PAUSE_S))
            mine = self.rng.randrange(ORGANISATIONS // EDITORS) * EDITORS + self.number
            keys = (key_digest(f"{self.number} {self.rng.random()}"),)
            await self._edit(f"org-{mine:05d}", keys)
        await asyncio.gather(*self.asking)

    async def _edit(self, name: str, keys: tuple[bytes, ...]) -> None:
        while True:
            try:
                held, head = await self.store.load()
                lists = held.lists()
                found = lists.organisations[name]
                lists.organisations[name] = dataclasses.replace(found, keys=keys)
                # Another editor may come first between the read and the write.
                await asyncio.sleep(self.rng.uniform(0, 0.02))
                done = await self.store.commit(base=head.revision, lists=lists)
            except RevisionConflict:
                self.conflicts += 1
            except (TableUnavailable, ObjectStoreUnavailable):
                self.refused += 1
                return
            except EditOutcomeUnknown:
                # The next turn sees whether the edit was made and makes it if not.
                self.unknown += 1
            else:
                self.made += 1
                self.wanted[name] = keys
                # The next edit does not wait for the answers, so that edits race.
                asking = self.survey.query(done.revision, make_delta(done))
                self.asking.append(asyncio.create_task(asking))
                return


class Scenario:
    """The phases of one run and what is counted."""

    def __init__(self, cluster: Cluster, editors: list[Editor], seed: int) -> None:
        self.cluster = cluster
        self.editors = editors
        self.rng = random.Random(seed)
        # For each data centre, times from which on a path to the table exists.
        self.isolated: list[tuple[str, float, float]] = []
        self.heals: list[float] = []
        self.missed: list[int] = []
        self.restart_ready: list[float] = []

    async def run(self) -> None:
        """Run all phases."""
        names = self.cluster.names
        await asyncio.sleep(PHASE_S)
        await self.platform_outage()
        # Cut off from the platform only; follows its peers.
        self.cluster.order(names[3], platform_cut=True)
        await asyncio.sleep(PHASE_S)
        self.cluster.order(names[3], platform_cut=False)
        await self.isolate(names[2])
        # Two at once: agents restart while two data centres do not reach each other
        # and one of these does not reach the platform.
        self.cut(names[0], {names[1]})
        self.cut(names[1], {names[0]})
        self.cluster.order(names[1], platform_cut=True)
        await self.restart(self.rng.sample(self.cluster.nodes, RESTARTED))
        self.cut(names[0], set())
        self.cut(names[1], set())
        self.cluster.order(names[1], platform_cut=False)
        await asyncio.sleep(1.0)

    def cut(self, data_centre: str, others: set[str]) -> None:
        """Cut a data centre off from others, on its own side."""
        self.cluster.order(data_centre, cut=sorted(others))

    async def platform_outage(self) -> None:
        """Let the platform fail for everyone, and lose answers before."""
        self.cluster.state.faults.lose_answers = 3
        await asyncio.sleep(1.0)
        self.cluster.state.faults.outage_until = time.monotonic() + PHASE_S
        await asyncio.sleep(PHASE_S + 1.0)

    async def isolate(self, name: str) -> None:
        """Cut one data centre off from everything, then heal."""
        others = [other for other in self.cluster.names if other != name]
        began = time.monotonic()
        self.cluster.order(name, cut=others, platform_cut=True)
        for other in others:
            self.cut(other, {name})
        await asyncio.sleep(PHASE_S)
        self.cluster.order(name, cut=[], platform_cut=False)
        for other in others:
            self.cut(other, set())
        healed = time.monotonic()
        self.isolated.append((name, began, healed))
        target = len(self.cluster.durable) - 1
        mine = [node for node in self.cluster.nodes if node.data_centre == name]
        self.missed.append(target - max(node.reports[-1][1] for node in mine))
        await until(
            lambda: all(node.reports[-1][1] >= target for node in mine),
            HEAL_TIMEOUT_S,
        )
        self.heals.append(time.monotonic() - healed)

    async def restart(self, nodes: list[Node]) -> None:
        """Kill agents and start them again on VMs that know nothing."""
        for node in nodes:
            stopped = time.monotonic()
            await node.end()
            node.past.append(node.reports)
            node.reports = []
            node.downtimes.append([stopped, float("inf")])
        await self.cluster.load(nodes)
        began = time.monotonic()
        for node in nodes:
            # The new process has no cuts of its own; its data centre's still hold.
            if node.data_centre == self.cluster.names[0]:
                node.order(go_at=0, cut=[self.cluster.names[1]])
            elif node.data_centre == self.cluster.names[1]:
                node.order(go_at=0, cut=[self.cluster.names[0]], platform_cut=True)
            else:
                node.order(go_at=0)
        await until(lambda: all(node.reports for node in nodes), HEAL_TIMEOUT_S)
        for node in nodes:
            ready = node.reports[0][0] if node.reports else float("inf")
            node.downtimes[-1][1] = ready
            self.restart_ready.append(ready - began)

    def delays(self) -> list[float]:
        """Return how long each edit took to be in force at each connected agent."""
        found = []
        for node in self.cluster.nodes:
            for revision, durable in enumerate(self.cluster.durable[1:], 1):
                if revision == 1:
                    continue
                since = durable
                for name, began, healed in self.isolated:
                    if node.data_centre == name and began <= durable < healed:
                        since = healed
                for stopped, ready in node.downtimes:
                    if stopped <= since < ready:
                        since = ready
                reports = [*(entry for past in node.past for entry in past)]
                reports += node.reports
                seen = (at for at, held, _ in reports if held >= revision)
                at = next((at for at in seen if at >= durable), float("inf"))
                found.append(max(0.0, at - since))
        return found

    def reverts(self) -> int:
        """Return how often an agent went back, or held other content."""
        digests = {}
        for revision in range(1, len(self.cluster.durable)):
            stored = self.cluster.state.table.values[delta_key(revision)]
            digests[revision] = unpack_delta(stored.value).digest
        count = 0
        for node in self.cluster.nodes:
            for reports in (*node.past, node.reports):
                held = [revision for _, revision, _ in reports]
                count += sum(b <= a for a, b in itertools.pairwise(held))
                count += sum(
                    digests[revision] != digest for _, revision, digest in reports
                )
        return count

    def lost_edits(self, final: Lists) -> int:
        """Return the number of acknowledged edits that are not in force."""
        return sum(
            final.organisations[name].keys != keys
            for editor in self.editors
            for name, keys in editor.wanted.items()
        )


async def _measure(folder: Path, seed: int) -> dict[str, Any]:
    cluster = Cluster(folder=folder, data_centres=DATA_CENTRES, per_centre=PER_CENTRE)
    async with cluster.platform() as url:
        near = {
            cluster.names[0]: [
                node.address
                for node in cluster.nodes
                if node.data_centre == cluster.names[0]
            ]
        }
        editors = [
            Editor(number=number, url=url, seed=seed, agents=near)
            for number in range(EDITORS)
        ]
        store = editors[0].store
        await store.commit(base=0, lists=sample_lists(ORGANISATIONS))
        await cluster.load(cluster.nodes)
        for node in cluster.nodes:
            node.order(go_at=time.monotonic())
        ready = await until(lambda: all(node.reports for node in cluster.nodes), 20.0)
        began, reads = time.monotonic(), cluster.state.reads
        scenario = Scenario(cluster, editors, seed)
        tasks = [asyncio.create_task(editor.run()) for editor in editors]
        await scenario.run()
        for editor in editors:
            editor.stopped = True
        await asyncio.gather(*tasks)
        last = len(cluster.durable) - 1
        settled = await until(
            lambda: all(
                node.reports and node.reports[-1][1] == last for node in cluster.nodes
            ),
            HEAL_TIMEOUT_S,
        )
        took_s = time.monotonic() - began
        reads = cluster.state.reads - reads
        for node in cluster.nodes:
            node.order(stats=True)
        await until(lambda: all(node.stats for node in cluster.nodes), 5.0)
        stats = [node.stats or {} for node in cluster.nodes]
        final, _ = await store.load()
        delays = scenario.delays()
        for editor in editors:
            editor.store.close()
        nodes = len(cluster.nodes)
        return {
            "agents": nodes,
            "data_centres": DATA_CENTRES,
            "all_ready": ready,
            "all_settled": settled,
            "duration_s": round(took_s, 1),
            "revisions": last,
            "edits": sum(editor.made for editor in editors),
            "conflicts": sum(editor.conflicts for editor in editors),
            "unknown": sum(editor.unknown for editor in editors),
            "refused": sum(editor.refused for editor in editors),
            "in_force_p50_s": round(percentile(delays, 0.5), 3),
            "in_force_p99_s": round(percentile(delays, 0.99), 3),
            "in_force_max_s": round(max(delays), 3),
            "revisions_missed_while_cut_off": scenario.missed[0],
            "heal_s": round(max(scenario.heals), 3),
            "restart_ready_max_s": round(max(scenario.restart_ready), 3),
            "reverts": scenario.reverts(),
            "lost_edits": scenario.lost_edits(final.lists()),
            "rejected": sum(item.get("rejected", 0) for item in stats),
            "failed_agents": [item["failed"] for item in stats if item.get("failed")],
            "bytes_per_node_s": round(
                sum(item.get("config_bytes", 0) for item in stats) / nodes / took_s
            ),
            "link_bytes_per_node_s": round(
                sum(item.get("link_bytes", 0) for item in stats) / nodes / took_s
            ),
            # Editors read too; the readers of the agents poll once a second.
            "table_reads_per_s": round(reads / took_s, 1),
        }


def _sizes() -> dict[str, Any]:
    """Return what the organisations of the design size take."""
    source = build_configuration(sample_lists(DESIGN_ORGANISATIONS))
    snapshot = source.snapshot()
    held = Configuration()
    began = time.perf_counter()
    held.apply_snapshot(1, source.digest, snapshot)
    install_s = time.perf_counter() - began
    held = Configuration()
    tracemalloc.start()
    held.apply_snapshot(1, source.digest, snapshot)
    memory, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    for number in range(1000):
        held.organisation_by_key(f"key {number}")
    look_up_s = (time.perf_counter() - began) / 1000
    return {
        "organisations": held.organisation_count(),
        "memory_bytes_per_organisation": round(memory / DESIGN_ORGANISATIONS, 1),
        "install_peak_mb": round(peak / 1e6, 1),
        "wire_bytes_per_organisation": round(len(snapshot) / DESIGN_ORGANISATIONS, 1),
        "install_s": round(install_s, 3),
        "look_up_us": round(look_up_s * 1e6, 1),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the sizes at 35,000 organisations, then the summary."""
    yield _sizes()
    with tempfile.TemporaryDirectory() as folder:
        yield asyncio.run(_measure(Path(folder), seed))
