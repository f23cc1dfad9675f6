"""Planned stops of routers, agents and engines under load."""

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Any

from measurements._cluster import Cluster, fetch, running_cluster, stop_process
from measurements._lists import KEY, commit_lists
from measurements._load import LoadGenerator, Prompts, count_outcomes

ENGINES = ("engine1", "engine2", "engine3")
REQUESTS_S = 12.0
STREAM_TOKENS = 60
MAX_WORK_AFTER_LEAVING_S = 3.0


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Stop each kind of component once and count the requests that were cut off."""
    pools = {"chat": {"kind": "engine"}, "orders": {"kind": "service"}}
    with running_cluster(pool_settings=pools) as cluster:
        cluster.start_platform()
        urls = {
            name: cluster.start_engine(name, "--model", "chat=1") for name in ENGINES
        }
        for number in (1, 2, 3):
            cluster.add_vm(f"vm{number}")
        cluster.publish_vm_list()
        for vm in cluster.vms.values():
            cluster.start_agent(vm)
            cluster.start_router(vm)
        yield from asyncio.run(_run(cluster, urls, seed))


async def _run(
    cluster: Cluster, urls: dict[str, str], seed: int
) -> list[dict[str, Any]]:
    await commit_lists(cluster)
    vms = list(cluster.vms.values())
    for vm in vms:
        await asyncio.to_thread(cluster.wait_ready, vm)
    rng = random.Random(seed)
    load = LoadGenerator(
        vms=vms,
        key=KEY,
        requests_s=REQUESTS_S,
        rng=rng,
        prompts=Prompts(rng=rng),
        max_tokens=STREAM_TOKENS,
    )
    sending = asyncio.create_task(load.run())
    lines: list[dict[str, Any]] = []
    await asyncio.sleep(3.0)
    for step in ("router", "agent", "engine-notice", "engine-list"):
        first = len(load.samples)
        figures = await _stop_component(step, cluster, urls)
        await asyncio.sleep(4.0)
        samples = load.samples[first:]
        lines.append(
            {
                "step": step,
                "requests": len(samples),
                "cut": count_outcomes(samples, "cut", "failed"),
                "refused": count_outcomes(samples, "refused"),
                **figures,
            }
        )
    load.stop.set()
    await sending
    failures = [sample for sample in load.samples if sample.outcome != "whole"]
    for sample in failures[:5]:
        lines.append({"outcome": sample.outcome, "detail": sample.detail})
    work_after_leaving_s = [line.get("work_after_leaving_s", 0.0) for line in lines]
    lines.append(
        {
            "summary": "drain",
            "seed": seed,
            "requests": len(load.samples),
            "requests_cut": count_outcomes(load.samples, "cut", "failed"),
            "requests_refused": count_outcomes(load.samples, "refused"),
            "work_after_leaving_s": max(work_after_leaving_s),
            "target_work_after_leaving_s": MAX_WORK_AFTER_LEAVING_S,
            "exit_codes": [line["code"] for line in lines if "code" in line],
        }
    )
    return lines


async def _stop_component(
    step: str, cluster: Cluster, urls: dict[str, str]
) -> dict[str, Any]:
    """Run one step and return its figures."""
    match step:
        case "router":
            vm = cluster.vms["vm1"]
            assert vm.router is not None
            code = await asyncio.to_thread(stop_process, vm.router)
            cluster.start_router(vm)
            return {"code": code}
        case "agent":
            vm = cluster.vms["vm2"]
            assert vm.agent is not None
            code = await asyncio.to_thread(stop_process, vm.agent)
            cluster.start_agent(vm)
            return {"code": code}
        case "engine-notice":
            fetch(f"{urls['engine1']}/faults", body={"leaving": True}, method="POST")
            return await _measure_leaving(cluster, "engine1", urls["engine1"])
        case _:
            cluster.set_vm_entry(
                "engine2",
                address=urls["engine2"].removeprefix("http://"),
                data_centre="dc1",
                kind="engine",
                pool="chat",
                state="leaving",
            )
            cluster.publish_vm_list()
            # Only the VM list says that this engine is leaving, so the engine itself
            # does not count the work that it accepts afterwards.
            return await _measure_listed_leaving(cluster, "engine2", urls["engine2"])


async def _measure_leaving(cluster: Cluster, name: str, url: str) -> dict[str, Any]:
    """Stop an engine that has announced that it is leaving."""
    await asyncio.sleep(MAX_WORK_AFTER_LEAVING_S + 3.0)
    faults = json.loads(fetch(f"{url}/faults")[2])
    code = await asyncio.to_thread(stop_process, cluster.upstreams[name])
    accepted_s = faults["accepted_after_leaving"]
    return {"work_after_leaving_s": max(accepted_s, default=0.0), "code": code}


async def _measure_listed_leaving(
    cluster: Cluster, name: str, url: str
) -> dict[str, Any]:
    """Stop an engine that is leaving according to the VM list."""
    loop = asyncio.get_running_loop()
    listed_at = loop.time()
    last_accepted_s, accepted = 0.0, json.loads(fetch(f"{url}/faults")[2])["accepted"]
    while loop.time() - listed_at < MAX_WORK_AFTER_LEAVING_S + 3.0:
        total = json.loads(fetch(f"{url}/faults")[2])["accepted"]
        if total != accepted:
            last_accepted_s, accepted = loop.time() - listed_at, total
        await asyncio.sleep(0.05)
    code = await asyncio.to_thread(stop_process, cluster.upstreams[name])
    return {"work_after_leaving_s": last_accepted_s, "code": code}
