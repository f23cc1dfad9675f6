"""CPU of one router per request and per token, and its memory under load."""

import asyncio
import random
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from measurements._cluster import Cluster, running_cluster
from measurements._lists import KEY, commit_lists
from measurements._load import LoadGenerator, Prompts, count_outcomes

WINDOW_S = 8.0
RATE_S = 12.0
TOKENS_PER_RESPONSE = (4, 60)


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield two windows that differ in tokens per response, then the slopes."""
    pools = {"chat": {"kind": "engine", "prefill_tokens_s": "50000"}}
    with running_cluster(pool_settings=pools) as cluster:
        cluster.start_platform()
        for number in range(3):
            cluster.start_engine(
                f"engine{number}", "--model", "chat=1", "--prefill-tokens-s", "50000"
            )
        vm = cluster.add_vm("vm1")
        cluster.publish_vm_list()
        cluster.start_agent(vm)
        cluster.start_router(vm)
        yield from asyncio.run(_run(cluster, seed))


async def _run(cluster: Cluster, seed: int) -> list[dict[str, Any]]:
    await commit_lists(cluster)
    vm = cluster.vms["vm1"]
    await asyncio.to_thread(cluster.wait_ready, vm)
    assert vm.router is not None
    pid = vm.router.pid
    lines = []
    for tokens in TOKENS_PER_RESPONSE:
        rng = random.Random(seed)
        load = LoadGenerator(
            vms=[vm],
            key=KEY,
            requests_s=RATE_S,
            rng=rng,
            prompts=Prompts(rng=rng),
            max_tokens=tokens,
        )
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(2.0)
        started, cpu, first = time.monotonic(), _cpu_s(pid), len(load.samples)
        await asyncio.sleep(WINDOW_S)
        requests = len(load.samples) - first
        cpu = _cpu_s(pid) - cpu
        load.stop.set()
        await load_task
        lines.append(
            {
                "tokens_per_answer": tokens,
                "requests": requests,
                "seconds": round(time.monotonic() - started, 2),
                "cpu_ms_per_request": round(1000 * cpu / max(1, requests), 3),
                "rss_mb": round(_rss_mb(pid), 1),
                "not_whole": len(load.samples) - count_outcomes(load.samples, "whole"),
            }
        )
    low, high = lines
    per_token = (high["cpu_ms_per_request"] - low["cpu_ms_per_request"]) / (
        TOKENS_PER_RESPONSE[1] - TOKENS_PER_RESPONSE[0]
    )
    per_request = low["cpu_ms_per_request"] - TOKENS_PER_RESPONSE[0] * per_token
    summary = {
        "summary": "router_slopes",
        "seed": seed,
        "cpu_us_per_token": round(1000 * per_token, 1),
        "cpu_ms_per_request": round(per_request, 3),
        "rss_mb": high["rss_mb"],
    }
    return [*lines, summary]


def _cpu_s(pid: int) -> float:
    # CPU time in nanoseconds; the tick counters in /proc/PID/stat are too coarse.
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def _rss_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024
