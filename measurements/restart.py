"""Restarts under load: planned of one router, unplanned of all routers or all VMs."""

import asyncio
import random
import time
from collections.abc import Iterator
from typing import Any

from measurements._cluster import Cluster, Vm, fetch, running_cluster, stop_process
from measurements._lists import KEY, commit_lists
from measurements._load import (
    LoadGenerator,
    Prompts,
    Sample,
    count_outcomes,
    hit_rate,
    quantile,
)

ENGINES = 4
VMS = 4
RATE_S = 28.0
GUIDES = 60
# Shift in popularity rank: popular guides become rare and vice versa.
POPULARITY_SHIFT = 23
STEADY_S = 10.0
AFTER_RESTART_S = 10.0
READY_TIMEOUT_S = 20.0
# The 4 caches together hold about half of the 160,000 tokens of the guides.
CACHE_TOKENS = "20000"
# Fast engines, so that they run at half load while half of the tokens miss the cache.
PREFILL_TOKENS_S = "20000"


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the hit rates before and after each restart, then the summary."""
    pools = {"chat": {"kind": "engine", "prefill_tokens_s": PREFILL_TOKENS_S}}
    with running_cluster(pool_settings=pools) as cluster:
        cluster.start_platform()
        for number in range(ENGINES):
            cluster.start_engine(
                f"engine{number}",
                "--model",
                "chat=1",
                "--cache-tokens",
                CACHE_TOKENS,
                "--prefill-tokens-s",
                PREFILL_TOKENS_S,
            )
        for number in range(VMS):
            cluster.add_vm(f"vm{number}")
        cluster.publish_vm_list()
        for vm in cluster.vms.values():
            cluster.start_agent(vm)
            cluster.start_router(vm)
        yield from asyncio.run(_run(cluster, seed))


async def _run(cluster: Cluster, seed: int) -> list[dict[str, Any]]:
    await commit_lists(cluster)
    vms = list(cluster.vms.values())
    for vm in vms:
        await asyncio.to_thread(cluster.wait_ready, vm)
    rng = random.Random(seed)
    prompts = Prompts(rng=random.Random(seed), guides=GUIDES)
    load = LoadGenerator(vms=vms, key=KEY, requests_s=RATE_S, rng=rng, prompts=prompts)
    load_task = asyncio.create_task(load.run())
    # Let the caches fill up first.
    await asyncio.sleep(STEADY_S)
    lines, all_ready_times_s = [], []
    for step in ("one-planned", "all-routers", "all-vms"):
        await asyncio.sleep(STEADY_S / 2)
        _shift_popularity(prompts, seed)
        steady_from = time.monotonic()
        await asyncio.sleep(STEADY_S)
        restarted_at = time.monotonic()
        ready_times_s = await _restart(step, cluster, vms)
        _shift_popularity(prompts, seed)
        served_from = time.monotonic()
        await asyncio.sleep(AFTER_RESTART_S)
        all_ready_times_s += ready_times_s
        vm_names = {vms[0].name} if step == "one-planned" else {vm.name for vm in vms}
        steady = _whole_samples(load.samples, steady_from, restarted_at)
        after_restart = _whole_samples(
            load.samples, served_from, served_from + AFTER_RESTART_S, vm_names
        )
        lines.append(
            {
                "step": step,
                "hit_rate_steady": round(hit_rate(steady), 4),
                "hit_rate_first": round(hit_rate(after_restart), 4),
                "requests_first": len(after_restart),
                "ready_s": [round(value, 2) for value in ready_times_s],
                "failed": _count_failed(load.samples, restarted_at),
            }
        )
    load.stop.set()
    await load_task
    hit_rate_ratios = [
        line["hit_rate_first"] / line["hit_rate_steady"] for line in lines
    ]
    not_whole = [sample for sample in load.samples if sample.outcome != "whole"]
    for sample in not_whole[:4]:
        lines.append({"outcome": sample.outcome, "detail": sample.detail[:200]})
    lines.append(
        {
            "summary": "restart",
            "seed": seed,
            "requests": len(load.samples),
            "hit_rate_ratio": round(min(hit_rate_ratios), 4),
            "hit_rate_ratios": [round(ratio, 4) for ratio in hit_rate_ratios],
            "ready_p99_s": round(quantile(all_ready_times_s, 0.99), 2),
            "failed_requests": lines[0]["failed"],
            "failed_requests_unplanned": lines[1]["failed"] + lines[2]["failed"],
        }
    )
    return lines


def _shift_popularity(prompts: Prompts, seed: int) -> None:
    """Shift the popularity of the guides and restart the sequence of ranks.

    Done at the start of both windows, so that they differ only in the restart.
    """
    prompts.shift += POPULARITY_SHIFT
    prompts.rng.seed(seed)


async def _restart(step: str, cluster: Cluster, vms: list[Vm]) -> list[float]:
    """Restart processes; return the seconds from each start to readiness."""
    restarted = vms[:1] if step == "one-planned" else vms
    if step == "one-planned":
        assert vms[0].router is not None
        await asyncio.to_thread(stop_process, vms[0].router)
    else:
        for vm in restarted:
            assert vm.router is not None and vm.agent is not None
            stop_process(vm.router, kill=True)
            if step == "all-vms":
                stop_process(vm.agent, kill=True)
    started_at = {}
    for vm in restarted:
        started_at[vm.name] = time.monotonic()
        if step == "all-vms":
            cluster.start_agent(vm)
        cluster.start_router(vm)
    return await asyncio.gather(
        *(asyncio.to_thread(_wait_ready_s, vm, started_at[vm.name]) for vm in restarted)
    )


def _wait_ready_s(vm: Vm, started: float) -> float:
    while time.monotonic() < started + READY_TIMEOUT_S:
        try:
            if fetch(f"{vm.router_url}/readyz")[0] == 200:
                break
        except OSError:
            pass
        time.sleep(0.02)
    return time.monotonic() - started


def _whole_samples(
    samples: list[Sample], start: float, end: float, vm_names: set[str] | None = None
) -> list[Sample]:
    return [
        sample
        for sample in samples
        if start <= sample.started < end
        and sample.outcome == "whole"
        and (vm_names is None or sample.vm in vm_names)
    ]


def _count_failed(samples: list[Sample], since: float) -> int:
    """Return how many requests since a time ended without a whole response."""
    ended_samples = [
        sample for sample in samples if sample.started >= since and sample.ended
    ]
    return count_outcomes(ended_samples, "cut", "failed", "refused")
