"""Batch load of 1.5 x capacity together with interactive load, through 7 routers.

The baselines run the same requests without limits at the routers: a FIFO queue in each
engine, with nothing reserved for interactive requests, and priorities in the engines.
"""

import random
from collections.abc import Iterator
from typing import Any, Literal

from endivelug.admission import Admission, EngineBounds, LateWork, ReleasedWork, Work
from endivelug.settings import PoolSettings
from measurements._admission_model import Engine, Job, Simulator

POOL = PoolSettings(kind="engine")
ENGINES = 5
ROUTERS = 7
DURATION_S = 600.0
WARM_UP_S = 30.0
INTERACTIVE_LOAD = 0.3
BATCH_LOAD = 1.5
# Shares of the requests of 8 organisations, a few of them large.
SHARES = (0.4, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05)
# One-way network delay between VMs of a data centre.
HOP_S = 0.001
RELEASE_INTERVAL_S = 0.02
ENGINE_GROUP = "chat"
Policy = Literal["endivelug", "fifo", "priorities", "no_batch"]


def requests(seed: int) -> list[Job]:
    """Return the generated requests; ``tokens`` excludes cached prompt tokens."""
    rng = random.Random(seed)
    capacity = ENGINES * POOL.prefill_tokens_s
    jobs = []
    for work_class, load, mean in (
        ("interactive", INTERACTIVE_LOAD, 800),
        ("batch", BATCH_LOAD, 6000),
    ):
        now = 0.0
        while now < DURATION_S:
            now += rng.expovariate(capacity * load / mean)
            batch = work_class == "batch"
            tokens = round(mean * min(4.0, rng.lognormvariate(-0.18, 0.6)))
            jobs.append(
                Job(
                    organisation=f"org{rng.choices(range(len(SHARES)), SHARES)[0]}",
                    work_class=work_class,
                    arrived_at=now,
                    tokens=max(1, tokens),
                    output_s=rng.uniform(4.0, 12.0) if batch else rng.uniform(0.5, 3.0),
                    deadline=now + (rng.uniform(30.0, 90.0) if batch else 10.0),
                )
            )
    return jobs


class Owner:
    """Outstanding work of each engine, as announced by all routers."""

    def __init__(self, engines: list[str]) -> None:
        self.tokens = {name: {"interactive": 0, "batch": 0} for name in engines}
        self.streams = dict.fromkeys(engines, 0)

    def add(self, job: Job, sign: int, *, streams: bool, tokens: bool) -> None:
        """Add (sign 1) or subtract (sign -1) the work of a job."""
        if tokens:
            self.tokens[job.engine][job.work_class] += sign * job.tokens
        if streams:
            self.streams[job.engine] += sign


class Router:
    """Router that admits requests and sends them to the least loaded engine."""

    def __init__(
        self, sim: Simulator, owner: Owner, engines: dict[str, Engine]
    ) -> None:
        self.sim = sim
        self.owner = owner
        self.engines = engines
        self.jobs: dict[int, Job] = {}
        self.requeued = 0
        self.late_refusals = 0
        self.admission = Admission(routers=ROUTERS)
        bounds = EngineBounds(
            prefill_tokens_s=POOL.prefill_tokens_s,
            batch_prefill_tokens=POOL.batch_prefill_tokens,
            max_streams=POOL.max_streams,
        )
        self.admission.set_engines(ENGINE_GROUP, dict.fromkeys(engines, bounds))
        sim.call_later(RELEASE_INTERVAL_S, self.release_periodically)

    def release_periodically(self) -> None:
        self.release()
        self.sim.call_later(RELEASE_INTERVAL_S, self.release_periodically)

    def submit(self, job: Job) -> None:
        work = Work(
            organisation=job.organisation,
            engine_group=ENGINE_GROUP,
            work_class="batch" if job.work_class == "batch" else "interactive",
            tokens=job.tokens,
            deadline=job.deadline,
            # The router knows only the upper bound of the answer's length.
            run_s=12.0 if job.work_class == "batch" else 3.0,
        )
        if self.admission.submit(work, now=self.sim.now) is not None:
            job.refused_at = self.sim.now
            return
        self.jobs[id(work)] = job
        self.release()

    def release(self) -> None:
        for result in self.admission.release(now=self.sim.now):
            job = self.jobs[id(result.work)]
            match result:
                case LateWork():
                    job.refused_at = self.sim.now
                    self.late_refusals += 1
                case ReleasedWork(work=work):
                    # The look-up at the owner takes a round trip.
                    self.sim.call_later(
                        2 * HOP_S, lambda w=work, j=job: self.place(w, j)
                    )

    def place(self, work: Work, job: Job) -> None:
        now = self.sim.now
        admission = self.admission
        for name, tokens in self.owner.tokens.items():
            admission.observe(
                name,
                interactive_tokens=tokens["interactive"],
                batch_tokens=tokens["batch"],
                streams=self.owner.streams[name],
                now=now,
            )
        engines = admission.engines_with_room(work, now=now)
        if not engines:
            self.requeued += 1
            admission.requeue(work, now=now)
            return
        job.engine = engines[0]
        admission.record_dispatch(work, engine=job.engine, tokens=job.tokens)
        self.sim.call_later(
            HOP_S, lambda: self.owner.add(job, 1, streams=True, tokens=True)
        )
        job.on_prefilled = lambda: self.handle_prefilled(work, job)
        job.on_finished = lambda: self.handle_finished(work, job)
        self.sim.call_later(HOP_S, lambda: self.engines[job.engine].submit(job))

    def handle_prefilled(self, work: Work, job: Job) -> None:
        self.admission.record_first_token(work)
        self.sim.call_later(
            HOP_S, lambda: self.owner.add(job, -1, streams=False, tokens=True)
        )
        self.release()

    def handle_finished(self, work: Work, job: Job) -> None:
        self.admission.record_end(work, now=self.sim.now)
        self.sim.call_later(
            HOP_S, lambda: self.owner.add(job, -1, streams=True, tokens=False)
        )
        self.release()


class UnboundedRouter:
    """Router without admission: sends each request to the engine with fewest tokens."""

    def __init__(self, owner: Owner, engines: dict[str, Engine]) -> None:
        self.owner = owner
        self.engines = engines

    def submit(self, job: Job) -> None:
        job.engine = min(self.engines, key=lambda e: sum(self.owner.tokens[e].values()))
        self.owner.add(job, 1, streams=True, tokens=True)
        job.on_prefilled = lambda: self.owner.add(job, -1, streams=False, tokens=True)
        self.engines[job.engine].submit(job)


def simulate(seed: int, policy: Policy) -> dict[str, Any]:
    """Run all requests with one policy and return its figures."""
    sim = Simulator()
    engines = {
        f"engine{index}": Engine(
            sim, prefill_rate=POOL.prefill_tokens_s, use_priorities=policy != "fifo"
        )
        for index in range(ENGINES)
    }
    owner = Owner(list(engines))
    rng = random.Random(f"{seed}/balancer")
    routers = [Router(sim, owner, engines) for _ in range(ROUTERS)]
    unbounded_router = UnboundedRouter(owner, engines)
    jobs = [
        job
        for job in requests(seed)
        if policy != "no_batch" or job.work_class == "interactive"
    ]
    bounded = policy in ("endivelug", "no_batch")
    for job in jobs:
        target = rng.choice(routers) if bounded else unbounded_router
        sim.call_later(job.arrived_at, lambda t=target, j=job: t.submit(j))
    sim.run(DURATION_S)
    return {
        "policy": policy,
        **results(jobs, engines),
        "put_back": sum(router.requeued for router in routers),
        "late_refusals": sum(router.late_refusals for router in routers),
    }


def results(jobs: list[Job], engines: dict[str, Engine]) -> dict[str, Any]:
    """Return the figures of one run, without its warm-up."""
    measured = [job for job in jobs if job.arrived_at >= WARM_UP_S]
    waits = sorted(
        (job.first_token_at or DURATION_S) - job.arrived_at
        for job in measured
        if job.work_class == "interactive" and job.arrived_at < DURATION_S - 10.0
    )
    served: dict[str, float] = {}
    total = 0.0
    for engine in engines.values():
        for at, work_class, organisation, tokens in engine.prefill_log:
            if at >= WARM_UP_S:
                total += tokens
                if work_class == "batch":
                    served[organisation] = served.get(organisation, 0.0) + tokens
    admitted = [job for job in measured if job.engine]
    late = [
        job
        for job in admitted
        if (job.finished_at or DURATION_S + job.output_s) > job.deadline
    ]
    refused = sum(1 for job in measured if job.refused_at is not None)
    span_s = DURATION_S - WARM_UP_S
    return {
        "interactive_p99_s": round(waits[int(0.99 * len(waits))], 3),
        "capacity_used": round(total / (span_s * ENGINES * POOL.prefill_tokens_s), 4),
        "deadline_miss_rate": round(len(late) / max(1, len(admitted)), 4),
        "unfairness": round(unfairness(measured, served), 4),
        "refused_rate": round(refused / len(measured), 4),
        "interactive_refused": sum(
            1
            for job in measured
            if job.refused_at is not None and job.work_class == "interactive"
        ),
    }


def unfairness(jobs: list[Job], served: dict[str, float]) -> float:
    """Return the largest organisation's batch tokens over its max-min fair share."""
    offered: dict[str, float] = {}
    for job in jobs:
        if job.work_class == "batch":
            tokens = offered.get(job.organisation, 0.0) + job.tokens
            offered[job.organisation] = tokens
    remaining = sum(served.values())
    fair_shares = {}
    for index, name in enumerate(sorted(offered, key=lambda name: offered[name])):
        fair_shares[name] = min(offered[name], remaining / (len(offered) - index))
        remaining -= fair_shares[name]
    if not served:
        return 0.0
    largest = max(offered, key=lambda name: offered[name])
    return served.get(largest, 0.0) / fair_shares[largest]


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each policy, then the summary."""
    lines: dict[str, dict[str, Any]] = {}
    for policy in ("no_batch", "endivelug", "priorities", "fifo"):
        lines[policy] = simulate(seed, policy)
        yield lines[policy]
    bounded = lines["endivelug"]
    no_batch_p99_s = lines["no_batch"]["interactive_p99_s"]
    yield {
        "interactive_p99_ratio": round(
            bounded["interactive_p99_s"] / no_batch_p99_s, 4
        ),
        "capacity_used": bounded["capacity_used"],
        "deadline_miss_rate": bounded["deadline_miss_rate"],
        "unfairness": bounded["unfairness"],
        "interactive_refused": bounded["interactive_refused"],
        "late_refusals": bounded["late_refusals"],
        **{
            f"{key}_{policy}": lines[policy][key]
            for policy in ("fifo", "priorities")
            for key in ("capacity_used", "deadline_miss_rate", "unfairness")
        },
        **{
            f"interactive_p99_ratio_{policy}": round(
                lines[policy]["interactive_p99_s"] / no_batch_p99_s, 4
            )
            for policy in ("fifo", "priorities")
        },
    }
