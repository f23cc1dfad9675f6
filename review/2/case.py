"""A few answers of one upstream have no end, and their routers stop serving."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

import harness

# Share of the faulty upstream's answers that have no end, and their rate.
ENDLESS_SHARE = 0.02
BYTES_PER_S = 5_000_000.0
SENT_S = 30.0
REQUESTS_PER_S = 40.0
TIMEOUT_S = 1.0
SLACK_S = 0.5
# A caller keeps its connection open this long.
PATIENCE_S = 4.0
MIN_UNANSWERED = 8
SEED = 6


class EndlessUpstream(harness.Upstream):
    """The registration of the faulty upstream, which is a process of its own."""

    endless: set[str] = set()
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and register it."""
        share = ENDLESS_SHARE if harness.trouble() else 0.0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).resolve().parent / "endless.py"),
            self.name,
            str(share),
            str(BYTES_PER_S),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        line = (await self.process.stdout.readline()).decode()
        self.address = line.split()[1]
        self.alive = True
        self.register()

    async def watch(self) -> None:
        """Record what the process says that it runs."""
        assert self.process is not None and self.process.stdout is not None
        while line := (await self.process.stdout.readline()).decode().split():
            kind, request = line
            self.record(kind, upstream=self.name, request=request)
            if kind == "endless":
                self.endless.add(request)

    def exit(self) -> None:
        """End the process."""
        super().exit()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


async def send_order(
    deployment: harness.Deployment,
    router: harness.Router,
    answers: dict[str, harness.Answer],
) -> None:
    """Send one order and record what came back."""
    request = deployment.new_request()
    answer = await harness.ask(
        router.front,
        method="POST",
        target="/reserve/hide",
        headers=harness.request_headers(request, key="key-one", deadline_s=TIMEOUT_S),
        body=b"{}",
        timeout_s=PATIENCE_S,
    )
    answers[request] = answer
    deployment.record(
        "answer",
        router=router.name,
        request=request,
        status=answer.status,
        after_s=round(answer.after_s, 3),
    )


async def probe(deployment: harness.Deployment, misses: Counter[str]) -> None:
    """Check the readiness of all routers once a second, as the platform does."""
    while True:
        for router in deployment.routers:
            if not await router.is_ready():
                misses[router.name] += 1
                deployment.record("not-ready", router=router.name)
        await asyncio.sleep(1.0)


async def case(deployment: harness.Deployment) -> int:
    """Return whether requests have no final answer half a second after the timeout."""
    record, store = deployment.record, deployment.store
    faulty = EndlessUpstream(name="i-desk0", service="desk", store=store, record=record)
    await deployment.add_upstream(faulty)
    deployment.spawn(faulty.watch())
    for number in range(1, 4):
        upstream = harness.Upstream(
            name=f"i-desk{number}", service="desk", store=store, record=record
        )
        await deployment.add_upstream(upstream)
    store.put("op", "config", harness.configuration(3))
    await deployment.start_routers(["zone-a", "zone-a", "zone-b"])
    await asyncio.sleep(3.5)
    misses: Counter[str] = Counter()
    deployment.spawn(probe(deployment, misses))
    answers: dict[str, harness.Answer] = {}
    chance = random.Random(SEED)
    until = time.monotonic() + SENT_S
    while time.monotonic() < until:
        router = chance.choice(deployment.routers)
        deployment.spawn(send_order(deployment, router, answers))
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(PATIENCE_S + 0.5)
    # Answers without end aren't counted: only what happens to the other requests.
    others = [
        answer for request, answer in answers.items() if request not in faulty.endless
    ]
    overdue = [answer for answer in others if answer.after_s > TIMEOUT_S]
    unanswered = [
        answer
        for answer in overdue
        if not answer.complete or answer.after_s > TIMEOUT_S + SLACK_S
    ]
    record(
        "sums",
        orders=len(answers),
        served=sum(answer.status == 200 for answer in answers.values()),
        answers_without_end=len(faulty.endless),
        others_unanswered_at_timeout=len(overdue),
        others_unanswered_half_a_second_later=len(unanswered),
        readiness_misses=sum(misses.values()),
    )
    broken = len(unanswered) >= MIN_UNANSWERED and len(unanswered) * 2 > len(overdue)
    return harness.BROKEN if broken else harness.HELD


harness.main(case, Path(__file__).resolve().parent)
