"""Comparison of placement policies on generated traces of both deployments."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from endivelug.outstanding_work import BATCH, INTERACTIVE
from measurements._data_centre import ENGINES
from measurements._policies import PolicyRun
from measurements._simulation import UNITS_PER_S
from measurements._trace import COOP, FURANO, Deployment, generate, working_set

DURATION_S = 600.0
ROUTERS = 6
BASELINES = ("round_robin", "least_loaded", "hash_affinity")
POLICIES = ("ours", "oracle", *BASELINES, "lagging_load", "exact_cache_lagging_load")


def percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values) or [float("nan")]
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def run_policy(deployment: Deployment, policy: str, seed: int) -> dict[str, Any]:
    """Run one policy on the trace of a deployment and return its figures."""
    requests = list(
        generate(deployment, seed=seed, seconds=DURATION_S, routers=ROUTERS)
    )
    working_set_tokens = working_set(requests)
    policy_run = PolicyRun(
        deployment=deployment,
        policy=policy,
        requests=requests,
        routers=ROUTERS,
        capacity=working_set_tokens // 2 // ENGINES,
        store_capacity=working_set_tokens // 4,
        seed=seed,
    )
    centre, clock = policy_run.centre, policy_run.clock
    clock.call_later(0.35 * DURATION_S, lambda: centre.crash("e1", down_s=3.0))
    clock.call_later(0.45 * DURATION_S, lambda: centre.crash("e3", down_s=0.5))
    clock.call_later(0.6 * DURATION_S, centre.change_weights, "2", list(centre.engines))
    clock.call_later(0.8 * DURATION_S, centre.kill_owner, "e2")
    clock.run(DURATION_S)
    units = sum(engine.processed_units for engine in centre.engines.values())
    totals = policy_run.totals
    interactive, batch = totals.ttft[INTERACTIVE], totals.ttft[BATCH]
    return {
        "deployment": deployment.name,
        "policy": policy,
        "requests": len(requests),
        "answered": len(interactive) + len(batch),
        "load": round(units / (UNITS_PER_S * ENGINES * DURATION_S), 3),
        "hit_rate": round(totals.hit / totals.prompt, 4),
        "imported": round(totals.imported / totals.prompt, 4),
        "ttft_p50": round(percentile(interactive, 0.5), 4),
        "ttft_p99": round(percentile(interactive, 0.99), 4),
        "batch_ttft_p99": round(percentile(batch, 0.99), 4),
        "wasted": sum(engine.wasted_tokens for engine in centre.engines.values()),
        "wasted_per_token": round(
            sum(engine.wasted_tokens for engine in centre.engines.values())
            / totals.prompt,
            4,
        ),
        "refused": totals.refused,
        "false_reliance": sum(e.false_reliance for e in centre.engines.values()),
    }


def summarise(prefix: str, lines: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the summary keys of one deployment."""
    ours, oracle = lines["ours"], lines["oracle"]
    best_p99 = min(lines[name]["ttft_p99"] for name in BASELINES)
    best_wasted = min(lines[name]["wasted"] for name in BASELINES)
    keys = {
        "hit_rate": ours["hit_rate"],
        "hit_rate_oracle": oracle["hit_rate"],
        **{f"hit_rate_{name}": lines[name]["hit_rate"] for name in BASELINES},
        "ttft_p99_ratio": round(ours["ttft_p99"] / best_p99, 3),
        "wasted_ratio": round(ours["wasted"] / best_wasted, 3),
        "wasted_vs_oracle": round(ours["wasted"] / oracle["wasted"], 3),
        "false_reliance": sum(line["false_reliance"] for line in lines.values()),
    }
    return {f"{prefix}_{key}": value for key, value in keys.items()}


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    jobs = [
        (deployment, policy) for deployment in (FURANO, COOP) for policy in POLICIES
    ]
    lines: dict[str, dict[str, dict[str, Any]]] = {"furano": {}, "coop": {}}
    with ProcessPoolExecutor(max_workers=5) as pool:
        futures = [pool.submit(run_policy, *job, seed) for job in jobs]
        for future in futures:
            line = future.result()
            lines[line["deployment"]][line["policy"]] = line
            yield line
    summary: dict[str, Any] = {"measurement": "placement", "seed": seed}
    for name, figures in lines.items():
        summary.update(summarise(name, figures))
    yield summary
