"""Retries while all upstreams fail, then half of them, with the load of 7 routers.

Each upstream serves a bounded number of requests per second and refuses those that it
can't answer in time. Callers do not repeat failed requests. The baseline retries
without a budget, after fixed delays, and ejects no upstream.
"""

import random
from collections.abc import Iterator
from typing import Any, Literal

from endivelug.ejection import Ejector
from endivelug.retries import RetryPolicy
from measurements._admission_model import Simulator

UPSTREAMS = 8
# Requests/s that one upstream can serve, and the offered load as a share of the
# capacity of all upstreams.
CAPACITY_REQUESTS_S = 60.0
LOAD = 0.7
SERVICE_S = 0.05
FAILURE_DELAY_S = 0.02
MAX_QUEUE_S = 0.3
TIMEOUT_S = 3.0
DURATION_S = 60.0
# Periods with failing upstreams: start and end in seconds, number of upstreams.
FAULTS = ((10.0, 20.0, UPSTREAMS), (35.0, 45.0, UPSTREAMS // 2))
PEAK_WINDOW_S = 0.5
BASELINE_RETRIES = 8
BASELINE_DELAY_S = 0.1
Outcome = Literal["served", "refused", "failed"]


class Upstream:
    """Upstream with a fixed capacity that refuses requests when its queue is full."""

    def __init__(self, sim: Simulator, index: int) -> None:
        self.sim = sim
        self.index = index
        self.busy_until = 0.0
        self.attempts: list[float] = []

    def failing(self) -> bool:
        now = self.sim.now
        return any(a <= now < b and self.index < count for a, b, count in FAULTS)

    def call(self) -> tuple[Outcome, float]:
        """Return the outcome of a request and the seconds until it is known."""
        now = self.sim.now
        self.attempts.append(now)
        if self.failing():
            return "failed", FAILURE_DELAY_S
        if self.busy_until - now > MAX_QUEUE_S:
            return "refused", FAILURE_DELAY_S
        self.busy_until = max(now, self.busy_until) + 1.0 / CAPACITY_REQUESTS_S
        return "served", self.busy_until - now + SERVICE_S


class Router:
    """Router that sends requests to random usable upstreams and retries failed ones."""

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
        self.first_attempts = 0
        self.refused = 0
        self.served_times: list[float] = []

    def receive(self) -> None:
        self.arrived += 1
        self.attempt(0, self.sim.now + TIMEOUT_S)

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
            self.first_attempts += 1
            self.policy.record_first_attempt()
        outcome, delay_s = self.upstreams[name].call()
        self.sim.call_later(
            delay_s, lambda: self.handle_outcome(name, outcome, retries, deadline)
        )

    def handle_outcome(
        self, name: str, outcome: Outcome, retries: int, deadline: float
    ) -> None:
        now = self.sim.now
        if outcome == "served":
            self.ejector.record_success(name, now=now)
            if now <= deadline:
                self.served_times.append(now)
            return
        if outcome == "failed":
            self.ejector.record_failure(name, now=now)
        else:
            # A refusal shows that the upstream is alive.
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
            self.sim.call_later(at - now, lambda: self.attempt(retries + 1, deadline))


def simulate(seed: int, *, bounded: bool, routers: int) -> dict[str, Any]:
    """Run the load through all faults and return the figures of one policy."""
    sim = Simulator()
    upstreams = [Upstream(sim, index) for index in range(UPSTREAMS)]
    all_routers = [
        Router(sim, upstreams, seed=f"{seed}/{i}", bounded=bounded, routers=routers)
        for i in range(routers)
    ]
    rng = random.Random(seed)
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(LOAD * CAPACITY_REQUESTS_S * UPSTREAMS)
        sim.call_later(now, rng.choice(all_routers).receive)
    sim.run(DURATION_S)
    attempts = sorted(at for upstream in upstreams for at in upstream.attempts)
    served_times = sorted(at for router in all_routers for at in router.served_times)
    first = sum(router.first_attempts for router in all_routers)
    arrived = sum(router.arrived for router in all_routers)
    refused = sum(router.refused for router in all_routers)
    steady = rate(served_times, 5.0, FAULTS[0][0])
    return {
        "bounded": bounded,
        "routers": routers,
        "amplification": round(len(attempts) / max(1, first), 4),
        "attempts_rate_all_down": round(rate(attempts, 11.0, 20.0), 1),
        "offered_rate": round(arrived / DURATION_S, 1),
        "goodput_half_down": round(rate(served_times, 40.0, 45.0) / steady, 4),
        "recovery_all_s": recovery_s(served_times, FAULTS[0][1], FAULTS[1][0], steady),
        "recovery_half_s": recovery_s(served_times, FAULTS[1][1], DURATION_S, steady),
        "peak_per_upstream": round(peak(upstreams) / CAPACITY_REQUESTS_S, 3),
        "refused_rate": round(refused / arrived, 4),
    }


def rate(times: list[float], start: float, end: float) -> float:
    return sum(1 for time in times if start <= time < end) / (end - start)


def recovery_s(
    served_times: list[float], end: float, limit: float, steady: float
) -> float:
    """Return the seconds from the end of a fault until goodput is at 95% for 2 s."""
    at = end
    while at + 2.0 <= limit:
        if rate(served_times, at, at + 2.0) >= 0.95 * steady:
            return round(at - end, 2)
        at += 0.1
    return round(limit - end, 2)


def peak(upstreams: list[Upstream]) -> float:
    """Return the highest rate of attempts at one upstream after a fault has ended."""
    return max(
        rate(each.attempts, start, start + PEAK_WINDOW_S)
        for each in upstreams
        for _, end, _ in FAULTS
        for start in (end + PEAK_WINDOW_S * k for k in range(10))
    )


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each policy, then the summary."""
    small = simulate(seed, bounded=True, routers=7)
    yield small
    # A data centre of the design size has 70 routers.
    large = simulate(seed, bounded=True, routers=70)
    yield large
    baseline = simulate(seed, bounded=False, routers=7)
    yield baseline
    yield {
        "amplification": max(small["amplification"], large["amplification"]),
        "recovery_s": max(
            line[key]
            for line in (small, large)
            for key in ("recovery_all_s", "recovery_half_s")
        ),
        "goodput_half_down": min(
            small["goodput_half_down"], large["goodput_half_down"]
        ),
        "peak_per_upstream": max(
            small["peak_per_upstream"], large["peak_per_upstream"]
        ),
        "amplification_unbounded": baseline["amplification"],
        "recovery_s_unbounded": max(
            baseline["recovery_all_s"], baseline["recovery_half_s"]
        ),
        "goodput_half_down_unbounded": baseline["goodput_half_down"],
        "peak_per_upstream_unbounded": baseline["peak_per_upstream"],
    }
