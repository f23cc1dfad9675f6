"""Upstreams that start, restart and come back, beside a fixed ramp and no ramp at all.

Three of four upstreams of a service are warm; the fourth starts cold, with a tenth of
its capacity for three seconds. Further cases: a crash, a start that fails every request
for a while, a rolling replacement of all, and a fleet that starts before its traffic.
"""

from collections.abc import Callable, Iterator
from typing import Any

from endivelug.forwarding.pace.slow_starts import SlowStarts
from measurements._pace_model import PaceModel
from measurements._pace_vms import FixedRamp, NoSlowStart, Upstream

POLICIES: dict[str, type[SlowStarts]] = {
    "controller": SlowStarts,
    "fixed_ramp": FixedRamp,
    "no_ramp": NoSlowStart,
}
VMS = (1, 7, 195)
# A warm upstream serves 40 requests/s, so this is 70% of what four serve.
REQUESTS_PER_S = 112.0
WARM_S = 3.0


def _warm_service(model: PaceModel, count: int = 4) -> None:
    for number in range(count):
        model.add(Upstream(name=f"u{number}"))
    model.load_tables()
    model.run(1.0)


def _start(model: PaceModel) -> str:
    _warm_service(model, 3)
    model.add(Upstream(name="u3", started_at=model.now, warm_s=WARM_S))
    return "u3"


def _restart(model: PaceModel) -> str:
    _warm_service(model)
    model.add(Upstream(name="u0", started_at=model.now, warm_s=WARM_S))
    return "u0"


def _crash(model: PaceModel) -> str:
    _warm_service(model)
    model.crash("u0", until=model.now + 1.0)
    model.upstreams["u0"].started_at = model.now + 1.0
    model.upstreams["u0"].warm_s = WARM_S
    return "u0"


def _false_health(model: PaceModel) -> str:
    _warm_service(model, 3)
    model.add(Upstream(name="u3", started_at=model.now, fails_until=model.now + 4.0))
    return "u3"


def _rolling(model: PaceModel) -> str:
    _warm_service(model)
    for number in range(4):
        old = model.upstreams[f"u{number}"]
        model.add(Upstream(name=f"n{number}", started_at=model.now, warm_s=1.0))
        model.run(1.0)
        old.draining = True
        model.add(old)
        model.run(1.0)
        model.remove(old.name)
    return "n3"


def _fleet_start(model: PaceModel) -> str:
    model.load_tables()
    model.requests_per_s, requests_per_s = 0.0, model.requests_per_s
    for number in range(4):
        model.add(Upstream(name=f"u{number}", started_at=model.now))
        model.run(0.3, traffic=False)
    model.requests_per_s = requests_per_s
    return "u3"


CASES: dict[str, Callable[[PaceModel], str]] = {
    "start": _start,
    "restart": _restart,
    "crash": _crash,
    "false_health": _false_health,
    "rolling": _rolling,
    "fleet_start": _fleet_start,
}


def _play(case: str, policy: str, vms: int, seed: int) -> dict[str, Any]:
    model = PaceModel(
        vms=vms, requests_per_s=REQUESTS_PER_S, kind=POLICIES[policy], seed=seed
    )
    name = CASES[case](model)
    since = 101.0
    model.run(8.0)
    calls, lost, late = model.lost_and_late(since, model.now - model.timeout_s)
    return {
        "case": case,
        "policy": policy,
        "vms": vms,
        "calls": calls,
        "lost": lost,
        "late": late,
        "full_use_s": model.full_use_s(name, model.now - 8.0),
        "peak": model.peak[name],
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each case, policy and number of VMs, and the sums."""
    sums = {policy: {"lost": 0, "late": 0} for policy in POLICIES}
    for vms in VMS:
        for case in CASES:
            for policy in POLICIES:
                line = _play(case, policy, vms, seed)
                sums[policy]["lost"] += line["lost"]
                sums[policy]["late"] += line["late"]
                yield line
    yield {
        f"{policy}_{name}": count
        for policy, counts in sums.items()
        for name, count in counts.items()
    }
