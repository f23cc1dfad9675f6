"""Simultaneous start of all agents against a table with a read limit.

The design limits the table to 2,000 reads/s for 490 nodes. This run has fewer nodes,
so the limit is scaled to the same reads per node; results with the unscaled limit are
reported too. The baseline polls the table at fixed times, without jitter or peers.
"""

import asyncio
import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from endivelug.config_store import ConfigStore
from endivelug.object_store import ObjectStore
from endivelug.table import Table
from measurements._config_cluster import Cluster, percentile, sample_lists, wait_until

DATA_CENTRES = 4
AGENTS_PER_DATA_CENTRE = 12
DESIGN_NODES = 490
DESIGN_READS_S = 2000.0
ORGANISATIONS = 2000
# Edits before the start, so that agents read deltas as well as a snapshot.
EDITS = 70
READY_TIMEOUT_S = 20.0


async def _start_all(
    folder: Path, seed: int, mode: str, reads_per_s: float
) -> dict[str, Any]:
    cluster = Cluster(
        folder=folder,
        data_centres=DATA_CENTRES,
        agents_per_data_centre=AGENTS_PER_DATA_CENTRE,
    )
    async with cluster.platform() as url:
        store = ConfigStore(
            table=Table(url=url), objects=ObjectStore(url=url), rng=random.Random(seed)
        )
        lists = sample_lists(ORGANISATIONS)
        for number in range(EDITS):
            lists.plans["review"].tokens_s = 1000.0 + number
            await store.commit(base=number, lists=lists)
        store.close()
        await cluster.start_nodes(cluster.nodes, mode=mode)
        cluster.state.faults.reads_per_s = reads_per_s
        cluster.state.reads = 0
        go_at = time.monotonic() + 1.0
        for node in cluster.nodes:
            node.send_command(go_at=go_at)
        await wait_until(
            lambda: all(
                node.reports and node.reports[-1][1] == EDITS for node in cluster.nodes
            ),
            READY_TIMEOUT_S + 1.0,
        )
        ready_s = [
            next((at for at, revision, _ in node.reports if revision == EDITS), None)
            for node in cluster.nodes
        ]
        waits = [READY_TIMEOUT_S if at is None else at - go_at for at in ready_s]
        return {
            "mode": mode,
            "reads_per_s_limit": round(reads_per_s, 1),
            "ready_p50_s": round(percentile(waits, 0.5), 3),
            "ready_p99_s": round(percentile(waits, 0.99), 3),
            "not_ready": sum(at is None for at in ready_s),
            "reads": cluster.state.reads,
        }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each policy and limit, then the summary."""
    nodes = DATA_CENTRES * AGENTS_PER_DATA_CENTRE
    scaled = DESIGN_READS_S * nodes / DESIGN_NODES
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        for limit in (scaled, DESIGN_READS_S):
            for mode in ("agent", "lockstep"):
                line = asyncio.run(_start_all(Path(folder), seed, mode, limit))
                results[limit, mode] = line["ready_p99_s"]
                yield line

    def ratio(limit: float) -> float:
        return round(results[limit, "agent"] / results[limit, "lockstep"], 3)

    yield {
        "nodes": nodes,
        "ready_p99_s": results[scaled, "agent"],
        "ready_p99_s_lockstep": results[scaled, "lockstep"],
        "ready_ratio": ratio(scaled),
        "ready_ratio_unscaled_limit": ratio(DESIGN_READS_S),
    }
