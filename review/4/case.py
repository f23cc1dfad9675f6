"""The operator removes the last organisation, and unknown keys are let in."""

import asyncio
import time
from pathlib import Path

import harness

APPLY_S = harness.BOUNDS["configApplyMs"] / 1000
WATCHED_S = 8.0
INTERVAL_S = 0.1
# The first is in no configuration of the run; the second is only in the first one.
NEVER_HELD, DROPPED = "key-never-held", "key-one"


async def case(deployment: harness.Deployment) -> int:
    """Return whether a request runs whose key no configuration ever held."""
    record, store = deployment.record, deployment.store
    for number in range(2):
        upstream = harness.Upstream(
            name=f"i-desk{number}", service="desk", store=store, record=record
        )
        await deployment.add_upstream(upstream)
    tenants = [{"name": "org1", "apiKeys": [DROPPED], "isolated": False}]
    store.put("op", "config", harness.configuration(3, tenants=tenants))
    await deployment.start_routers(["zone-a", "zone-b"])
    await asyncio.sleep(4.0)
    keys: dict[str, str] = {}
    await send_orders(deployment, keys, DROPPED, seconds=1.0)
    await send_orders(deployment, keys, NEVER_HELD, seconds=1.0)
    # Without the disruption, the organisation stays and loses its only key.
    left: list[dict[str, object]] = []
    if not harness.trouble():
        left.append({"name": "org1", "apiKeys": [], "isolated": False})
    store.put("op", "config", harness.configuration(6, tenants=left))
    record("configuration-confirmed", version=6, tenants=len(left))
    confirmed_at = time.monotonic()
    await asyncio.sleep(APPLY_S + 0.5)
    while time.monotonic() < confirmed_at + APPLY_S + WATCHED_S:
        await send_orders(deployment, keys, DROPPED, seconds=0.5)
        await send_orders(deployment, keys, NEVER_HELD, seconds=0.5)
    runs = [
        (keys[request], run)
        for request, found in deployment.runs().items()
        for run in found
    ]
    never_held = [run for key, run in runs if key == NEVER_HELD]
    dropped = [
        run for key, run in runs if key == DROPPED and run.at > confirmed_at + APPLY_S
    ]
    record(
        "sums",
        orders=len(keys),
        ran_with_key_never_held=len(never_held),
        ran_with_dropped_key_past_bound=len(dropped),
        with_an_organisation=sum("x-tenant" in run.headers for run in never_held),
    )
    served_before = [run for key, run in runs if key == DROPPED]
    if not served_before:
        raise harness.CannotRun("no order was served while its key was held")
    return harness.BROKEN if never_held else harness.HELD


async def send_orders(
    deployment: harness.Deployment, keys: dict[str, str], key: str, *, seconds: float
) -> None:
    """Send orders with a key to all routers in turn."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for router in deployment.routers:
            request = deployment.new_request()
            keys[request] = key
            answer = await harness.ask(
                router.front,
                method="POST",
                target="/reserve/hide",
                headers=harness.request_headers(request, key=key),
                body=b"{}",
            )
            deployment.record(
                "answer",
                router=router.name,
                request=request,
                key=key,
                status=answer.status,
            )
        await asyncio.sleep(INTERVAL_S)


harness.main(case, Path(__file__).resolve().parent)
