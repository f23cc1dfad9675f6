"""A late second copy of a refusal, on a connection that carries the request again."""

import asyncio
import random
import time
from pathlib import Path

import harness

# Share of the faulty upstream's answers that it sends a second time, late.
COPIED_SHARE = 0.03
SENT_S = 60.0
REQUESTS_PER_S = 100.0
SEED = 5


class RepeatingUpstream(harness.Upstream):
    """An upstream that sends a few of its answers twice.

    The second copy comes where the next answer on the connection is expected. What it
    runs, it runs once, and each request gets its own answer.
    """

    chance = random.Random(SEED)
    answers = copies = 0

    def __init__(self, **settings: object) -> None:
        super().__init__(**settings)  # type: ignore[arg-type]
        self.pending: dict[asyncio.StreamWriter, bytes] = {}

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Send the second copy of the answer before."""
        copy = self.pending.pop(writer, None)
        if copy is not None:
            self.copies += 1
            self.record("copy-sent", upstream=self.name, head=copy[:20])
            writer.write(copy)

    async def after_answer(
        self, writer: asyncio.StreamWriter, head: harness.Message, data: bytes
    ) -> None:
        """Choose at random whether the answer is sent again."""
        self.answers += 1
        if harness.trouble() and self.chance.random() < COPIED_SHARE:
            self.pending[writer] = data


async def send_order(
    deployment: harness.Deployment, router: harness.Router, answers: dict[str, int]
) -> None:
    """Send one order and record its answer."""
    request = deployment.new_request()
    answer = await harness.ask(
        router.front,
        method="POST",
        target="/reserve/hide",
        headers=harness.request_headers(request, key="key-one"),
        body=b"{}",
        timeout_s=2.0,
    )
    answers[request] = answer.status
    deployment.record(
        "answer", router=router.name, request=request, status=answer.status
    )


async def case(deployment: harness.Deployment) -> int:
    """Return whether an order that may run only once ran twice."""
    record, store = deployment.record, deployment.store
    kinds = (RepeatingUpstream, harness.Upstream)
    for number, kind in enumerate(kinds):
        upstream = kind(
            name=f"i-desk{number}",
            service="desk",
            store=store,
            record=record,
            slots=2,
            queue=2,
            work_s=0.04,
        )
        await deployment.add_upstream(upstream)
    store.put("op", "config", harness.configuration(3))
    await deployment.start_routers(["zone-a", "zone-b"])
    await asyncio.sleep(3.5)
    answers: dict[str, int] = {}
    chance = random.Random(SEED)
    until = time.monotonic() + SENT_S
    while time.monotonic() < until:
        router = chance.choice(deployment.routers)
        deployment.spawn(send_order(deployment, router, answers))
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(2.5)
    runs = deployment.runs()
    twice = [request for request, found in runs.items() if len(found) > 1]
    refused = [
        request for request, status in answers.items() if status == 503 and request in runs
    ]
    for request in twice:
        record("ran-twice", request=request, answer=answers.get(request))
    faulty = deployment.upstreams[0]
    record(
        "sums",
        orders=len(answers),
        served=sum(status == 200 for status in answers.values()),
        answers_of_faulty=getattr(faulty, "answers", 0),
        copies=getattr(faulty, "copies", 0),
        ran_twice=len(twice),
        refused_as_not_run_but_ran=len(refused),
    )
    if len(runs) < 500:
        raise harness.CannotRun("too few orders were run")
    return harness.BROKEN if twice or refused else harness.HELD


harness.main(case, Path(__file__).resolve().parent)
