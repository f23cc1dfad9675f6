"""One organisation's quota at 1 to 195 VMs, beside fixed shares and local limits.

The demand is a quarter of the limit, then three times the limit, and comes to all VMs
evenly or mostly to a few. For false refusals the same demand first passes an exact
bucket with nine tenths of the limit, so a refusal is one below the limit.
"""

import random
import time
from collections.abc import Iterable, Iterator
from itertools import product
from typing import Any, Literal

from endivelug.forwarding.quotas.quota import Quota, QuotaUnit, Tolerance
from endivelug.forwarding.quotas.quota_limiter import KIND, QuotaLimiter
from endivelug.forwarding.shared_amounts import (
    Amounts,
    SharedAmounts,
    SharedAmountTable,
)
from measurements._quota_model import (
    Arrival,
    Course,
    SimulatedVms,
    conforming,
    poisson,
)

VMS = (1, 7, 79, 195)
DURATION_S = 18.0
RISE_S = 3.0
LOW_DEMAND, HIGH_DEMAND = 0.25, 3.0
FAR_BELOW_DEMAND = 0.05
REPORT_LOSS = 0.02
DECISIONS = 50_000
# Requests of one unit, and requests of many tokens.
QUOTAS = {
    "requests": (
        Quota(rate=300.0, burst=150.0, unit=QuotaUnit.REQUESTS),
        Tolerance(slack=300.0),
        1,
    ),
    "tokens": (
        Quota(rate=500_000.0, burst=250_000.0, unit=QuotaUnit.TOKENS),
        Tolerance(slack=500_000.0),
        8_000,
    ),
}
Policy = Literal["shared", "equal", "local"]
POLICIES: tuple[Policy, ...] = ("shared", "equal", "local")


class _ExactBucket:
    """Token bucket of one VM that hears of no other."""

    def __init__(self, quota: Quota, share: float) -> None:
        self.rate, self.burst = quota.rate * share, quota.burst * share
        self.level, self.updated_at = self.burst, 0.0

    def admit(self, units: int, now: float) -> bool:
        self.level += (now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level)
        self.updated_at = now
        # A share can be smaller than one request: the level may go below 0.
        if self.level <= 0:
            return False
        self.level -= units
        return True


def _arrivals(
    quota: Quota, units: int, *, vms: int, uneven: bool, rng: random.Random
) -> Iterable[Arrival]:
    weights = [rng.random() ** 4 if uneven else 1.0 for _ in range(vms)]

    def demand(at: float) -> float:
        return quota.rate / units * (LOW_DEMAND if at < RISE_S else HIGH_DEMAND)

    return poisson(
        per_s=demand,
        peak_per_s=quota.rate / units * HIGH_DEMAND,
        until=DURATION_S,
        vm=lambda: rng.choices(range(vms), weights)[0],
        units=lambda: 1 if units == 1 else 1 + int(rng.expovariate(1 / units)),
        rng=rng,
    )


def _play(
    policy: Policy,
    arrivals: Iterable[Arrival],
    *,
    vms: int,
    quota: Quota,
    tolerance: Tolerance,
    rng: random.Random,
) -> Course:
    if policy == "shared":
        simulated = SimulatedVms(
            vms=vms, quota=quota, tolerance=tolerance, rng=rng, loss=REPORT_LOSS
        )
        return simulated.run(arrivals, until=DURATION_S)
    share = 1 / vms if policy == "equal" else 1.0
    buckets = [_ExactBucket(quota, share) for _ in range(vms)]
    course = Course()
    for arrival in arrivals:
        course.offered_units += arrival.units
        if buckets[arrival.vm].admit(arrival.units, arrival.at):
            course.admitted.append((arrival.at, arrival.units))
        else:
            course.refused.append(arrival)
    return course


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each case and policy, and a summary of the worst."""
    worst: dict[str, float] = {}
    for name, vms, uneven, policy in product(QUOTAS, VMS, (False, True), POLICIES):
        quota, tolerance, units = QUOTAS[name]
        rng = random.Random(f"{seed}/{name}/{vms}/{uneven}")
        arrivals = list(_arrivals(quota, units, vms=vms, uneven=uneven, rng=rng))
        options: dict[str, Any] = {"vms": vms, "quota": quota, "tolerance": tolerance}
        over = _play(policy, arrivals, rng=random.Random(seed), **options)
        below = _play(
            policy,
            list(conforming(arrivals, quota=quota, share=0.9)),
            rng=random.Random(seed),
            **options,
        )
        overshoot = over.excess(quota, tolerance.window_s) / tolerance.allowance(quota)
        steady = sum(units for at, units in over.admitted if at >= RISE_S + 5.0)
        refused = sum(arrival.units for arrival in below.refused)
        line = {
            "quota": name,
            "vms": vms,
            "uneven": uneven,
            "policy": policy,
            "overshoot": round(overshoot, 2),
            "used": round(steady / quota.rate / (DURATION_S - RISE_S - 5.0), 3),
            "false_refusals": round(refused / below.offered_units, 4),
            "entries_per_s": round(over.entries / DURATION_S, 1),
            "entries_per_s_below": round(below.entries / DURATION_S, 1),
        }
        yield line
        for key in ("overshoot", "false_refusals", "entries_per_s"):
            worst_key = f"{key}_{policy}"
            worst[worst_key] = max(worst.get(worst_key, 0.0), line[key])
    yield {"entries_per_s_far_below": _entries_far_below(seed)}
    yield {"decision_us": round(_decision_us(), 2)}
    yield worst


def _entries_far_below(seed: int) -> float:
    """Return the entries of 79 VMs while a twentieth of a small limit is asked for."""
    quota = Quota(rate=20.0, burst=20.0, unit=QuotaUnit.REQUESTS)
    tolerance, units = Tolerance(slack=20.0), 1
    rng = random.Random(seed)
    arrivals = poisson(
        per_s=lambda at: FAR_BELOW_DEMAND * quota.rate,
        peak_per_s=FAR_BELOW_DEMAND * quota.rate,
        until=DURATION_S,
        vm=lambda: rng.randrange(79),
        units=lambda: units,
        rng=rng,
    )
    course = _play(
        "shared", arrivals, vms=79, quota=quota, tolerance=tolerance, rng=rng
    )
    return round(course.entries / DURATION_S, 2)


def _decision_us() -> float:
    """Return the time of one decision over the limit while other VMs report."""
    quota, tolerance, _ = QUOTAS["requests"]
    table = SharedAmountTable()
    table.set_neighbour("vm2", f"{KIND}:org", Amounts.of([200, 600]))
    limiter = QuotaLimiter(
        shared=SharedAmounts(kind=KIND, table=table),
        tolerance=tolerance,
        rng=random.Random(1),
    )
    limiter.vms = limiter.represented_vms = 2
    started_s = time.process_time()
    for number in range(DECISIONS):
        limiter.admit("org", quota, 1, now=number / 300)
        if number % 150 == 0:
            limiter.end_block({"org": quota}, now=number / 300)
    return (time.process_time() - started_s) * 1e6 / DECISIONS
