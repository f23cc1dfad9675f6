"""Restarts under load: one router planned, all routers at once, all VMs replaced."""

import asyncio
import random
import time
from collections.abc import Iterator
from typing import Any

from measurements._cluster import Cluster, Vm, fetch, running, stop_process
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
# Popular guides become rare ones and the other way round.
SHIFT = 23
STEADY_S = 10.0
FIRST_S = 10.0
READY_TIMEOUT_S = 20.0
# The 4 caches hold about half of the 160,000 tokens of the guides.
CACHE_TOKENS = "20000"
# Fast engines, so that they are at half load while half of the tokens are missed.
PREFILL_TOKENS_S = "20000"


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Restart and compare the hit rate with that before."""
    pools = {"chat": {"kind": "engine", "prefill_tokens_s": PREFILL_TOKENS_S}}
    with running(pool_settings=pools) as cluster:
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
        cluster.publish_vms()
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
    sending = asyncio.create_task(load.run())
    # The caches fill first.
    await asyncio.sleep(STEADY_S)
    lines, ready = [], []
    for step in ("one-planned", "all-routers", "all-vms"):
        await asyncio.sleep(STEADY_S / 2)
        _shift(prompts, seed)
        steady_from = time.monotonic()
        await asyncio.sleep(STEADY_S)
        restarted_at = time.monotonic()
        times = await _restart(step, cluster, vms)
        _shift(prompts, seed)
        served_from = time.monotonic()
        await asyncio.sleep(FIRST_S)
        ready += times
        names = {vms[0].name} if step == "one-planned" else {vm.name for vm in vms}
        steady = _between(load.samples, steady_from, restarted_at)
        first = _between(load.samples, served_from, served_from + FIRST_S, names)
        lines.append(
            {
                "step": step,
                "hit_rate_steady": round(hit_rate(steady), 4),
                "hit_rate_first": round(hit_rate(first), 4),
                "requests_first": len(first),
                "ready_s": [round(value, 2) for value in times],
                "failed": _failed(load.samples, restarted_at),
            }
        )
    load.stop.set()
    await sending
    rates = [line["hit_rate_first"] / line["hit_rate_steady"] for line in lines]
    planned = [sample for sample in load.samples if sample.outcome != "whole"]
    for sample in planned[:4]:
        lines.append({"outcome": sample.outcome, "detail": sample.detail[:200]})
    lines.append(
        {
            "summary": "restart",
            "seed": seed,
            "requests": len(load.samples),
            "hit_rate_ratio": round(min(rates), 4),
            "hit_rate_ratios": [round(rate, 4) for rate in rates],
            "ready_p99_s": round(quantile(ready, 0.99), 2),
            "failed_requests": lines[0]["failed"],
            "failed_requests_unplanned": lines[1]["failed"] + lines[2]["failed"],
        }
    )
    return lines


def _shift(prompts: Prompts, seed: int) -> None:
    """Shift the popular prefixes and draw the same ranks again.

    This happens at the start of both windows, so that they differ in the restart.
    """
    prompts.shift += SHIFT
    prompts.rng.seed(seed)


async def _restart(step: str, cluster: Cluster, vms: list[Vm]) -> list[float]:
    """Restart and return the seconds from each start to readiness."""
    chosen = vms[:1] if step == "one-planned" else vms
    if step == "one-planned":
        assert vms[0].router is not None
        await asyncio.to_thread(stop_process, vms[0].router)
    else:
        for vm in chosen:
            assert vm.router is not None and vm.agent is not None
            stop_process(vm.router, kill=True)
            if step == "all-vms":
                stop_process(vm.agent, kill=True)
    starts = {}
    for vm in chosen:
        starts[vm.name] = time.monotonic()
        if step == "all-vms":
            cluster.start_agent(vm)
        cluster.start_router(vm)
    return await asyncio.gather(
        *(asyncio.to_thread(_ready, vm, starts[vm.name]) for vm in chosen)
    )


def _ready(vm: Vm, started: float) -> float:
    while time.monotonic() < started + READY_TIMEOUT_S:
        try:
            if fetch(f"{vm.router_url}/readyz")[0] == 200:
                break
        except OSError:
            pass
        time.sleep(0.02)
    return time.monotonic() - started


def _between(
    samples: list[Sample], start: float, end: float, names: set[str] | None = None
) -> list[Sample]:
    return [
        sample
        for sample in samples
        if start <= sample.started < end
        and sample.outcome == "whole"
        and (names is None or sample.vm in names)
    ]


def _failed(samples: list[Sample], since: float) -> int:
    """Return the requests since a time that ended otherwise than whole."""
    ended = [sample for sample in samples if sample.started >= since and sample.ended]
    return count_outcomes(ended, "cut", "failed", "refused")
