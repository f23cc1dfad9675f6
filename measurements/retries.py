"""All upstreams failing, then half of them, with the load of 7 routers.

Each upstream serves a bounded number of requests per second and refuses more than it
can answer in time; callers whose request failed are gone. Baseline: unbounded
retries with fixed delays and no ejection.
"""

import random
from collections.abc import Iterator
from typing import Any, Literal

from endivelug.ejection import Ejector
from endivelug.retries import RetryPolicy
from measurements._admission_model import Simulator

UPSTREAMS = 8
# Requests/s that an upstream can run, and the load over that of all upstreams.
CAPACITY = 60.0
LOAD = 0.7
SERVICE_S = 0.05
FAIL_S = 0.02
QUEUE_S = 0.3
DEADLINE_S = 3.0
DURATION_S = 60.0
# Failing upstreams over time: (from, to, number).
FAULTS = ((10.0, 20.0, UPSTREAMS), (35.0, 45.0, UPSTREAMS // 2))
BIN_S = 0.5
BASELINE_RETRIES = 8
BASELINE_DELAY_S = 0.1
Outcome = Literal["served", "refused", "failed"]


class Upstream:
    """Serves up to its capacity and refuses what exceeds its queue."""

    def __init__(self, sim: Simulator, index: int) -> None:
        self.sim = sim
        self.index = index
        self.busy_until = 0.0
        self.attempts: list[float] = []

    def failing(self) -> bool:
        now = self.sim.now
        return any(a <= now < b and self.index < count for a, b, count in FAULTS)

    def call(self) -> tuple[Outcome, float]:
        """Return the outcome of a call, and after how many seconds it comes."""
        now = self.sim.now
        self.attempts.append(now)
        if self.failing():
            return "failed", FAIL_S
        if self.busy_until - now > QUEUE_S:
            return "refused", FAIL_S
        self.busy_until = max(now, self.busy_until) + 1.0 / CAPACITY
        return "served", self.busy_until - now + SERVICE_S


class Router:
    """Sends requests to usable upstreams at random and repeats failed ones."""

    def __init__(
        self,
        sim: Simulator,
        upstreams: list[Upstream],
        *,
        seed: str,
        bounded: bool,
        routers: int,
    ) -> None:
        self.sim = sim
        self.upstreams = {f"u{each.index}": each for each in upstreams}
        self.rng = random.Random(seed)
        self.bounded = bounded
        self.policy = RetryPolicy(rng=self.rng)
        self.ejector = Ejector(rng=self.rng, routers=routers)
        self.arrived = 0
        self.first = 0
        self.refused = 0
        self.good: list[float] = []

    def arrive(self) -> None:
        self.arrived += 1
        self.attempt(0, self.sim.now + DEADLINE_S)

    def attempt(self, retries: int, deadline: float) -> None:
        now = self.sim.now
        names = list(self.upstreams)
        if self.bounded:
            names = [name for name in names if self.ejector.is_usable(name, now=now)]
        if not names:
            self.refused += 1
            return
        name = self.rng.choice(names)
        self.ejector.record_dispatch(name, now=now)
        if retries == 0:
            self.first += 1
            self.policy.record_first_attempt()
        outcome, taken_s = self.upstreams[name].call()
        self.sim.after(taken_s, lambda: self.answered(name, outcome, retries, deadline))

    def answered(
        self, name: str, outcome: Outcome, retries: int, deadline: float
    ) -> None:
        now = self.sim.now
        if outcome == "served":
            self.ejector.record_success(name, now=now)
            if now <= deadline:
                self.good.append(now)
            return
        if outcome == "failed":
            self.ejector.record_failure(name, now=now)
        else:
            # An upstream that refuses is alive.
            self.ejector.record_success(name, now=now)
        if self.bounded:
            at = self.policy.next_attempt_at(
                retry=retries + 1,
                dispatched=outcome == "failed",
                idempotent=True,
                deadline=deadline,
                now=now,
            )
        else:
            at = now + BASELINE_DELAY_S if retries < BASELINE_RETRIES else None
        if at is not None:
            self.sim.after(at - now, lambda: self.attempt(retries + 1, deadline))


def simulate(seed: int, *, bounded: bool, routers: int) -> dict[str, Any]:
    sim = Simulator()
    upstreams = [Upstream(sim, index) for index in range(UPSTREAMS)]
    all_routers = [
        Router(sim, upstreams, seed=f"{seed}/{i}", bounded=bounded, routers=routers)
        for i in range(routers)
    ]
    rng = random.Random(seed)
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(LOAD * CAPACITY * UPSTREAMS)
        sim.after(now, rng.choice(all_routers).arrive)
    sim.run(DURATION_S)
    attempts = sorted(at for upstream in upstreams for at in upstream.attempts)
    good = sorted(at for router in all_routers for at in router.good)
    first = sum(router.first for router in all_routers)
    arrived = sum(router.arrived for router in all_routers)
    refused = sum(router.refused for router in all_routers)
    steady = rate(good, 5.0, FAULTS[0][0])
    return {
        "bounded": bounded,
        "routers": routers,
        "amplification": round(len(attempts) / max(1, first), 4),
        "attempts_rate_all_down": round(rate(attempts, 11.0, 20.0), 1),
        "offered_rate": round(arrived / DURATION_S, 1),
        "goodput_half_down": round(rate(good, 40.0, 45.0) / steady, 4),
        "recovery_all_s": recovery_s(good, FAULTS[0][1], FAULTS[1][0], steady),
        "recovery_half_s": recovery_s(good, FAULTS[1][1], DURATION_S, steady),
        "peak_per_upstream": round(peak(upstreams) / CAPACITY, 3),
        "refused_rate": round(refused / arrived, 4),
    }


def rate(times: list[float], start: float, end: float) -> float:
    return sum(1 for time in times if start <= time < end) / (end - start)


def recovery_s(good: list[float], end: float, limit: float, steady: float) -> float:
    """Return the time after a fault until goodput stays at 95% for 2 s."""
    at = end
    while at + 2.0 <= limit:
        if rate(good, at, at + 2.0) >= 0.95 * steady:
            return round(at - end, 2)
        at += 0.1
    return round(limit - end, 2)


def peak(upstreams: list[Upstream]) -> float:
    """Return the highest rate of attempts at one upstream after a recovery."""
    return max(
        rate(each.attempts, start, start + BIN_S)
        for each in upstreams
        for _, end, _ in FAULTS
        for start in (end + BIN_S * k for k in range(10))
    )


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each policy, then the summary."""
    own = simulate(seed, bounded=True, routers=7)
    yield own
    # As many routers as a data centre of the design size has.
    many = simulate(seed, bounded=True, routers=70)
    yield many
    baseline = simulate(seed, bounded=False, routers=7)
    yield baseline
    yield {
        "amplification": max(own["amplification"], many["amplification"]),
        "recovery_s": max(
            line[key]
            for line in (own, many)
            for key in ("recovery_all_s", "recovery_half_s")
        ),
        "goodput_half_down": min(own["goodput_half_down"], many["goodput_half_down"]),
        "peak_per_upstream": max(own["peak_per_upstream"], many["peak_per_upstream"]),
        "amplification_unbounded": baseline["amplification"],
        "recovery_s_unbounded": max(
            baseline["recovery_all_s"], baseline["recovery_half_s"]
        ),
        "goodput_half_down_unbounded": baseline["goodput_half_down"],
        "peak_per_upstream_unbounded": baseline["peak_per_upstream"],
    }
