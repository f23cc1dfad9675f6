"""One unreadable entry in the list of upstreams, then an upstream that leaves."""

import asyncio
import signal
import time
from pathlib import Path

import harness

# Nested arrays, within the 65,536 bytes that a row may have.
UNREADABLE = b"[" * 60_000
DRAIN_S = harness.BOUNDS["drainMs"] / 1000
# The leaving upstream goes on this long after its bound, and then exits.
LINGER_S = 1.5
# Requests that arrive this soon after the bound aren't held against a router.
SLACK_S = 0.3
RECOVER_S = harness.BOUNDS["recoverS"]
RECOVERED_SHARE = 0.25
RECOVERY_WATCHED_S = 3.0


async def send_orders(deployment: harness.Deployment, answers: dict[str, int]) -> None:
    """Send orders, which may run only once, to all routers in turn."""
    while True:
        for router in deployment.routers:
            request = deployment.new_request()
            deployment.spawn(send_order(deployment, router, request, answers))
            await asyncio.sleep(0.05)


async def send_order(
    deployment: harness.Deployment,
    router: harness.Router,
    request: str,
    answers: dict[str, int],
) -> None:
    """Send one order and record its answer."""
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


async def recovered_share(deployment: harness.Deployment) -> float:
    """Kill all routers at once; return the share that is served after the bound."""
    for router in deployment.routers:
        router.send_signal(signal.SIGKILL)
    deployment.record("killed", routers=len(deployment.routers))
    await asyncio.sleep(harness.RESTART_DELAY_S + RECOVER_S + 1.0)
    ready = [await router.is_ready() for router in deployment.routers]
    deployment.record("recover-bound", ready=ready)
    answers: dict[str, int] = {}
    sender = deployment.spawn(send_orders(deployment, answers))
    await asyncio.sleep(RECOVERY_WATCHED_S)
    sender.cancel()
    await asyncio.sleep(2.0)
    served = sum(status == 200 for status in answers.values())
    return served / max(1, len(answers))


async def case(deployment: harness.Deployment) -> int:
    """Return whether requests reach a leaving upstream after the bound."""
    record, store = deployment.record, deployment.store
    for number in range(3):
        upstream = harness.Upstream(
            name=f"i-desk{number}",
            service="desk",
            store=store,
            record=record,
            work_s=0.15,
        )
        await deployment.add_upstream(upstream)
    store.put("op", "config", harness.configuration(3))
    await deployment.start_routers(["zone-a", "zone-b"])
    answers: dict[str, int] = {}
    sender = deployment.spawn(send_orders(deployment, answers))
    await asyncio.sleep(4.0)
    if harness.trouble():
        store.put("servers", "i-foreign", UNREADABLE)
        record("foreign-entry", bytes=len(UNREADABLE))
    await asyncio.sleep(1.0)
    leaving = deployment.upstreams[0]
    leaving.state = "draining"
    leaving.register()
    confirmed_at = time.monotonic()
    record("draining-confirmed", upstream=leaving.name)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    late = [run for run in leaving.runs if run.at > confirmed_at + DRAIN_S + SLACK_S]
    cut = leaving.accepted
    leaving.exit()
    store.drop("servers", leaving.name)
    record("upstream-exited", upstream=leaving.name, requests_at_work=cut)
    await asyncio.sleep(3.0)
    sender.cancel()
    unserved = sum(1 for run in leaving.runs if answers.get(run.request) == 502)
    record(
        "drain",
        late_requests=len(late),
        latest_s=round(max([run.at - confirmed_at for run in late], default=0), 2),
        run_and_answered_502=unserved,
    )
    share = await recovered_share(deployment)
    record("recovery", served_share=round(share, 2))
    if sum(status == 200 for status in answers.values()) < 100:
        raise harness.CannotRun("too few orders were served")
    return harness.BROKEN if late or share < RECOVERED_SHARE else harness.HELD


harness.main(case, Path(__file__).resolve().parent)
