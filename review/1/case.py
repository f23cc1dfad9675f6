"""A late second copy of a refusal, on a connection that carries the request again."""

import asyncio
import random
import time
from pathlib import Path

import harness

# Share of the faulty upstream's answers that it sends a second time, late.
COPIED_SHARE = 0.03
SENT_S = 85.0
SERVICES = tuple(f"desk-{letter}" for letter in "abcdef")
# Orders to each service; its two upstreams have one place each and queue one more.
REQUESTS_PER_S = 22.0
WORK_S = 0.08
ZONES = ["zone-a", "zone-b"] * 3
SEED = 5


class RepeatingUpstream(harness.Upstream):
    """An upstream that sends a few of its answers twice.

    The second copy comes where the next answer on the connection is expected. What it
    runs, it runs once, and each request gets its own answer.
    """

    def __init__(self, **settings: object) -> None:
        super().__init__(**settings)  # type: ignore[arg-type]
        self.chance = random.Random(self.name)
        self.answers = self.copies = 0
        self.pending: dict[asyncio.StreamWriter, bytes] = {}

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Send the second copy of the answer before."""
        copy = self.pending.pop(writer, None)
        if copy is not None:
            self.copies += 1
            self.record("copy-sent", upstream=self.name, status=copy[9:12].decode())
            writer.write(copy)

    async def after_answer(
        self, writer: asyncio.StreamWriter, head: harness.Message, data: bytes
    ) -> None:
        """Choose at random whether the answer is sent again."""
        self.answers += 1
        if harness.trouble() and self.chance.random() < COPIED_SHARE:
            self.pending[writer] = data


async def send_orders(
    deployment: harness.Deployment, service: str, answers: dict[str, int]
) -> None:
    """Send the orders to one service, from many callers at random times."""
    chance = random.Random(SEED)
    until = time.monotonic() + SENT_S
    while time.monotonic() < until:
        router = chance.choice(deployment.routers)
        deployment.spawn(send_order(deployment, router, service, answers))
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))


async def send_order(
    deployment: harness.Deployment,
    router: harness.Router,
    service: str,
    answers: dict[str, int],
) -> None:
    """Send one order and record its answer."""
    request = deployment.new_request()
    answer = await harness.ask(
        router.front,
        method="POST",
        target=f"/{service}/hide",
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
    faulty: list[RepeatingUpstream] = []
    for service in SERVICES:
        for number, kind in enumerate((RepeatingUpstream, harness.Upstream)):
            upstream = kind(
                name=f"i-{service}{number}",
                service=service,
                store=store,
                record=record,
                slots=1,
                queue=1,
                work_s=WORK_S,
            )
            if isinstance(upstream, RepeatingUpstream):
                faulty.append(upstream)
            await deployment.add_upstream(upstream)
    document = harness.configuration(
        3,
        routes=[
            harness.route(service, f"/{service}/", "unsafe", service)
            for service in SERVICES
        ],
        services=[
            {"name": service, "healthPath": "/healthz", "maxConnections": 96}
            for service in SERVICES
        ],
    )
    store.put("op", "config", document)
    await deployment.start_routers(ZONES)
    await asyncio.sleep(3.5)
    answers: dict[str, int] = {}
    await asyncio.gather(
        *(send_orders(deployment, service, answers) for service in SERVICES)
    )
    await asyncio.sleep(2.5)
    runs = deployment.runs()
    twice = [request for request, found in runs.items() if len(found) > 1]
    refused = [
        request
        for request, status in answers.items()
        if status == 503 and request in runs
    ]
    for request in twice:
        record("ran-twice", request=request, answer=answers.get(request))
    record(
        "sums",
        orders=len(answers),
        served=sum(status == 200 for status in answers.values()),
        answers_of_faulty=sum(upstream.answers for upstream in faulty),
        copies=sum(upstream.copies for upstream in faulty),
        ran_twice=len(twice),
        refused_as_not_run_but_ran=len(refused),
    )
    if len(runs) < 500:
        raise harness.CannotRun("too few orders were run")
    return harness.BROKEN if twice or refused else harness.HELD


harness.main(case, Path(__file__).resolve().parent)
