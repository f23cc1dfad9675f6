"""Concurrent edits during partitions, agent restarts and platform outages.

Runs 44 agent processes in 4 data centres on loopback TCP. The delay until an edit is in
force counts from its commit in the table, for agents with any path to the table. For a
data centre that was cut off entirely, it counts from the end of the cut.
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
    wait_until,
)

DATA_CENTRES = 4
AGENTS_PER_DATA_CENTRE = 11
ORGANISATIONS = 500
DESIGN_ORGANISATIONS = 35_000
EDITORS = 3
# Maximum pause of an editor between edits, short enough for edits to race.
EDIT_PAUSE_S = 0.6
PHASE_S = 5.0
HEAL_TIMEOUT_S = 10.0
RESTARTED_AGENTS = 6


class Editor:
    """One operator who keeps editing a disjoint set of organisations.

    Attributes
    ----------
    acknowledged_keys : dict of str to tuple of bytes
        Keys of each organisation in its last successful edit.
    edits_made : int
        Number of successful edits.
    conflicts, unknown, refused : int
        Number of attempts with each other outcome.
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
        # An editor sends the edit to agents like ``endivelugctl apply``, but only to
        # those of one data centre, so that cuts apply to editors too.
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
        self.surveys: list[asyncio.Task[SurveyResult]] = []
        self.acknowledged_keys: dict[str, tuple[bytes, ...]] = {}
        self.edits_made = 0
        self.conflicts = 0
        self.unknown = 0
        self.refused = 0

    async def run(self) -> None:
        """Edit until stopped, then finish the edit in progress."""
        while not self.stopped:
            await asyncio.sleep(self.rng.uniform(0, EDIT_PAUSE_S))
            index = self.rng.randrange(ORGANISATIONS // EDITORS) * EDITORS + self.number
            keys = (key_digest(f"{self.number} {self.rng.random()}"),)
            await self._edit(f"org-{index:05d}", keys)
        await asyncio.gather(*self.surveys)

    async def _edit(self, name: str, keys: tuple[bytes, ...]) -> None:
        while True:
            try:
                current, head = await self.store.load()
                lists = current.lists()
                organisation = lists.organisations[name]
                lists.organisations[name] = dataclasses.replace(organisation, keys=keys)
                # Leaves time for another editor to commit between read and write.
                await asyncio.sleep(self.rng.uniform(0, 0.02))
                committed = await self.store.commit(base=head.revision, lists=lists)
            except RevisionConflict:
                self.conflicts += 1
            except (TableUnavailable, ObjectStoreUnavailable):
                self.refused += 1
                return
            except EditOutcomeUnknown:
                # The next attempt checks if the edit was made and repeats it if not.
                self.unknown += 1
            else:
                self.edits_made += 1
                self.acknowledged_keys[name] = keys
                # The next edit does not wait for the replies, so that edits race.
                pending_survey = self.survey.query(
                    committed.revision, make_delta(committed)
                )
                self.surveys.append(asyncio.create_task(pending_survey))
                return


class Scenario:
    """Runs the phases of one scenario and evaluates the reports of the agents."""

    def __init__(self, cluster: Cluster, editors: list[Editor], seed: int) -> None:
        self.cluster = cluster
        self.editors = editors
        self.rng = random.Random(seed)
        # Data centre, start and end of each isolation from peers and the platform.
        self.isolations: list[tuple[str, float, float]] = []
        self.heal_times_s: list[float] = []
        self.missed_revisions: list[int] = []
        self.restart_times_s: list[float] = []

    async def run(self) -> None:
        """Run all phases."""
        names = self.cluster.data_centre_names
        await asyncio.sleep(PHASE_S)
        await self.platform_outage()
        # Cut off from the platform only, this data centre follows its peers.
        self.cluster.send_command(names[3], platform_cut=True)
        await asyncio.sleep(PHASE_S)
        self.cluster.send_command(names[3], platform_cut=False)
        await self.isolate(names[2])
        # Agents restart while two data centres cannot reach each other and one of the
        # two cannot reach the platform.
        self.set_cuts(names[0], {names[1]})
        self.set_cuts(names[1], {names[0]})
        self.cluster.send_command(names[1], platform_cut=True)
        await self.restart(self.rng.sample(self.cluster.nodes, RESTARTED_AGENTS))
        self.set_cuts(names[0], set())
        self.set_cuts(names[1], set())
        self.cluster.send_command(names[1], platform_cut=False)
        await asyncio.sleep(1.0)

    def set_cuts(self, data_centre: str, others: set[str]) -> None:
        """Set which other data centres the agents of a data centre cannot reach."""
        self.cluster.send_command(data_centre, cut=sorted(others))

    async def platform_outage(self) -> None:
        """Make the platform lose responses, then fail for all agents."""
        self.cluster.state.faults.lose_answers = 3
        await asyncio.sleep(1.0)
        self.cluster.state.faults.outage_until = time.monotonic() + PHASE_S
        await asyncio.sleep(PHASE_S + 1.0)

    async def isolate(self, name: str) -> None:
        """Cut one data centre off from peers and platform, then restore it."""
        others = [other for other in self.cluster.data_centre_names if other != name]
        started = time.monotonic()
        self.cluster.send_command(name, cut=others, platform_cut=True)
        for other in others:
            self.set_cuts(other, {name})
        await asyncio.sleep(PHASE_S)
        self.cluster.send_command(name, cut=[], platform_cut=False)
        for other in others:
            self.set_cuts(other, set())
        healed = time.monotonic()
        self.isolations.append((name, started, healed))
        target = len(self.cluster.durable_at) - 1
        isolated = [node for node in self.cluster.nodes if node.data_centre == name]
        self.missed_revisions.append(
            target - max(node.reports[-1][1] for node in isolated)
        )
        await wait_until(
            lambda: all(node.reports[-1][1] >= target for node in isolated),
            HEAL_TIMEOUT_S,
        )
        self.heal_times_s.append(time.monotonic() - healed)

    async def restart(self, nodes: list[Node]) -> None:
        """Kill agents and start them again without any state."""
        for node in nodes:
            stopped = time.monotonic()
            await node.kill_process()
            node.earlier_reports.append(node.reports)
            node.reports = []
            node.downtimes.append([stopped, float("inf")])
        await self.cluster.start_nodes(nodes)
        started = time.monotonic()
        for node in nodes:
            # A new process starts without cuts; set those of its data centre again.
            if node.data_centre == self.cluster.data_centre_names[0]:
                node.send_command(go_at=0, cut=[self.cluster.data_centre_names[1]])
            elif node.data_centre == self.cluster.data_centre_names[1]:
                node.send_command(
                    go_at=0, cut=[self.cluster.data_centre_names[0]], platform_cut=True
                )
            else:
                node.send_command(go_at=0)
        await wait_until(lambda: all(node.reports for node in nodes), HEAL_TIMEOUT_S)
        for node in nodes:
            ready = node.reports[0][0] if node.reports else float("inf")
            node.downtimes[-1][1] = ready
            self.restart_times_s.append(ready - started)

    def edit_delays_s(self) -> list[float]:
        """Return the seconds until each edit was in force at each connected agent."""
        delays_s = []
        for node in self.cluster.nodes:
            for revision, durable in enumerate(self.cluster.durable_at[1:], 1):
                if revision == 1:
                    continue
                since = durable
                for name, started, healed in self.isolations:
                    if node.data_centre == name and started <= durable < healed:
                        since = healed
                for stopped, ready in node.downtimes:
                    if stopped <= since < ready:
                        since = ready
                reports = [*(entry for run in node.earlier_reports for entry in run)]
                reports += node.reports
                times = (at for at, reported, _ in reports if reported >= revision)
                at = next((at for at in times if at >= durable), float("inf"))
                delays_s.append(max(0.0, at - since))
        return delays_s

    def count_reverts(self) -> int:
        """Return how often an agent reported an older revision or a wrong digest."""
        digests = {}
        for revision in range(1, len(self.cluster.durable_at)):
            stored = self.cluster.state.table.values[delta_key(revision)]
            digests[revision] = unpack_delta(stored.value).digest
        count = 0
        for node in self.cluster.nodes:
            for reports in (*node.earlier_reports, node.reports):
                revisions = [revision for _, revision, _ in reports]
                count += sum(b <= a for a, b in itertools.pairwise(revisions))
                count += sum(
                    digests[revision] != digest for _, revision, digest in reports
                )
        return count

    def count_lost_edits(self, final: Lists) -> int:
        """Return the number of acknowledged edits that are not in force."""
        return sum(
            final.organisations[name].keys != keys
            for editor in self.editors
            for name, keys in editor.acknowledged_keys.items()
        )


async def _measure(folder: Path, seed: int) -> dict[str, Any]:
    cluster = Cluster(
        folder=folder,
        data_centres=DATA_CENTRES,
        agents_per_data_centre=AGENTS_PER_DATA_CENTRE,
    )
    async with cluster.platform() as url:
        local_agents = {
            cluster.data_centre_names[0]: [
                node.address
                for node in cluster.nodes
                if node.data_centre == cluster.data_centre_names[0]
            ]
        }
        editors = [
            Editor(number=number, url=url, seed=seed, agents=local_agents)
            for number in range(EDITORS)
        ]
        store = editors[0].store
        await store.commit(base=0, lists=sample_lists(ORGANISATIONS))
        await cluster.start_nodes(cluster.nodes)
        for node in cluster.nodes:
            node.send_command(go_at=time.monotonic())
        ready = await wait_until(
            lambda: all(node.reports for node in cluster.nodes), 20.0
        )
        started, reads = time.monotonic(), cluster.state.reads
        scenario = Scenario(cluster, editors, seed)
        tasks = [asyncio.create_task(editor.run()) for editor in editors]
        await scenario.run()
        for editor in editors:
            editor.stopped = True
        await asyncio.gather(*tasks)
        last = len(cluster.durable_at) - 1
        settled = await wait_until(
            lambda: all(
                node.reports and node.reports[-1][1] == last for node in cluster.nodes
            ),
            HEAL_TIMEOUT_S,
        )
        took_s = time.monotonic() - started
        reads = cluster.state.reads - reads
        for node in cluster.nodes:
            node.send_command(stats=True)
        await wait_until(lambda: all(node.stats for node in cluster.nodes), 5.0)
        stats = [node.stats or {} for node in cluster.nodes]
        final, _ = await store.load()
        delays_s = scenario.edit_delays_s()
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
            "edits": sum(editor.edits_made for editor in editors),
            "conflicts": sum(editor.conflicts for editor in editors),
            "unknown": sum(editor.unknown for editor in editors),
            "refused": sum(editor.refused for editor in editors),
            "in_force_p50_s": round(percentile(delays_s, 0.5), 3),
            "in_force_p99_s": round(percentile(delays_s, 0.99), 3),
            "in_force_max_s": round(max(delays_s), 3),
            "revisions_missed_while_cut_off": scenario.missed_revisions[0],
            "heal_s": round(max(scenario.heal_times_s), 3),
            "restart_ready_max_s": round(max(scenario.restart_times_s), 3),
            "reverts": scenario.count_reverts(),
            "lost_edits": scenario.count_lost_edits(final.lists()),
            "rejected": sum(item.get("rejected", 0) for item in stats),
            "failed_agents": [item["failed"] for item in stats if item.get("failed")],
            "bytes_per_node_s": round(
                sum(item.get("config_bytes", 0) for item in stats) / nodes / took_s
            ),
            "link_bytes_per_node_s": round(
                sum(item.get("link_bytes", 0) for item in stats) / nodes / took_s
            ),
            # Includes reads of the editors; agents that read the table poll it once a
            # second.
            "table_reads_per_s": round(reads / took_s, 1),
        }


def _measure_sizes() -> dict[str, Any]:
    """Return the memory, bytes and time that the design size takes."""
    reference = build_configuration(sample_lists(DESIGN_ORGANISATIONS))
    snapshot = reference.snapshot()
    configuration = Configuration()
    started = time.perf_counter()
    configuration.apply_snapshot(1, reference.digest, snapshot)
    install_s = time.perf_counter() - started
    configuration = Configuration()
    tracemalloc.start()
    configuration.apply_snapshot(1, reference.digest, snapshot)
    memory, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.perf_counter()
    for number in range(1000):
        configuration.organisation_by_key(f"key {number}")
    lookup_s = (time.perf_counter() - started) / 1000
    return {
        "organisations": configuration.organisation_count(),
        "memory_bytes_per_organisation": round(memory / DESIGN_ORGANISATIONS, 1),
        "install_peak_mb": round(peak / 1e6, 1),
        "wire_bytes_per_organisation": round(len(snapshot) / DESIGN_ORGANISATIONS, 1),
        "install_s": round(install_s, 3),
        "look_up_us": round(lookup_s * 1e6, 1),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the costs at 35,000 organisations, then the summary of the scenario."""
    yield _measure_sizes()
    with tempfile.TemporaryDirectory() as folder:
        yield asyncio.run(_measure(Path(folder), seed))
