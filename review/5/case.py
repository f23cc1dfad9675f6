"""An upstream spoils a header of a few answers, and their callers get none at all."""

import asyncio
import random
import time
from pathlib import Path

import harness

# Share of the faulty upstream's answers that it spoils.
SPOILT_SHARE = 0.03
SENT_S = 40.0
REQUESTS_PER_S = 60.0
TIMEOUT_S = 1.0
SLACK_S = 0.5
# A caller keeps its connection open this long after its time limit.
PATIENCE_S = 2.0
MIN_UNANSWERED = 8
SEED = 3


class SpoilingUpstream(harness.Upstream):
    """An upstream that runs each order once and spoils a header of some answers."""

    spoilt: set[str] = set()
    chance = random.Random(SEED)

    def answer_of(self, run: harness.Run) -> bytes:
        """Return the answer, in a few cases with a control byte in a header."""
        if not harness.trouble() or self.chance.random() >= SPOILT_SHARE:
            return super().answer_of(run)
        self.spoilt.add(run.request)
        self.record("spoilt", upstream=self.name, request=run.request)
        headers = {
            "X-Request-Id": run.request,
            "X-Response-Seal": f"seal.{run.request}",
            "X-Served-By": "desk\x01",
        }
        return harness.response(200, headers, run.request.encode())


async def send_order(
    deployment: harness.Deployment,
    router: harness.Router,
    answers: dict[str, harness.Answer],
    extra: harness.Headers,
) -> None:
    """Send one order and record what came back."""
    request = deployment.new_request()
    headers = harness.request_headers(request, key="key-one", deadline_s=TIMEOUT_S)
    answer = await harness.ask(
        router.front,
        method="POST",
        target="/reserve/hide",
        headers={**headers, **extra},
        body=b"{}",
        timeout_s=TIMEOUT_S + PATIENCE_S,
    )
    answers[request] = answer
    deployment.record(
        "answer",
        router=router.name,
        request=request,
        status=answer.status,
        after_s=round(answer.after_s, 3),
    )


async def send_orders(
    deployment: harness.Deployment, *, seconds: float, extra: harness.Headers
) -> dict[str, harness.Answer]:
    """Send orders at random times; return the answers by request."""
    answers: dict[str, harness.Answer] = {}
    chance = random.Random(SEED)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        router = chance.choice(deployment.routers)
        deployment.spawn(send_order(deployment, router, answers, extra))
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(TIMEOUT_S + PATIENCE_S + 0.5)
    return answers


async def case(deployment: harness.Deployment) -> int:
    """Return whether requests have no final answer half a second after the timeout."""
    record, store = deployment.record, deployment.store
    for number, kind in enumerate((SpoilingUpstream, harness.Upstream)):
        upstream = kind(
            name=f"i-desk{number}", service="desk", store=store, record=record
        )
        await deployment.add_upstream(upstream)
    store.put("op", "config", harness.configuration(3))
    await deployment.start_routers(["zone-a", "zone-b"])
    await asyncio.sleep(3.5)
    answers = await send_orders(deployment, seconds=SENT_S, extra={})
    runs = deployment.runs()
    overdue = [
        request for request, answer in answers.items() if answer.after_s > TIMEOUT_S
    ]
    unanswered = [
        request
        for request in overdue
        if not answers[request].complete
        or answers[request].after_s > TIMEOUT_S + SLACK_S
    ]
    record(
        "sums",
        orders=len(answers),
        served=sum(answer.status == 200 for answer in answers.values()),
        spoilt=len(SpoilingUpstream.spoilt),
        last_longer_than_timeout=len(overdue),
        no_final_answer=len(unanswered),
        of_these_run=sum(request in runs for request in unanswered),
    )
    if harness.trouble():
        await show_spoilt_callers(deployment)
    if sum(answer.status == 200 for answer in answers.values()) < 500:
        raise harness.CannotRun("too few orders were served")
    broken = len(unanswered) >= MIN_UNANSWERED and len(unanswered) * 4 > len(overdue)
    return harness.BROKEN if broken else harness.HELD


async def show_spoilt_callers(deployment: harness.Deployment) -> None:
    """Record the same for callers with a header in UTF-8; the result ignores it."""
    extra = {"X-Shop": "フラノ"}
    answers = await send_orders(deployment, seconds=1.0, extra=extra)
    deployment.record(
        "not-judged-callers-with-a-header-in-utf-8",
        orders=len(answers),
        answered=sum(answer.complete for answer in answers.values()),
    )


harness.main(case, Path(__file__).resolve().parent)
