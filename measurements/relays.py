"""Messages and CPU time of the links between routers, with and without relays."""

import asyncio
import random
import time
from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

from endivelug.forwarding import overlay
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.crashes.suspects import CrashSuspects
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.links import Identity
from endivelug.platform.records import PlatformRecords
from measurements._ports import free_port

DATA_CENTRES = 4
ROUTERS = 24
ENGINES = 30
REQUESTS_PER_S = 6.0
WARM_UP_S = 3.0
WINDOW_S = 5.0
# More relays than routers: every router links to every other one.
FULL_MESH_RELAYS = 1000


def _make_router(number: int, data_centre: str, rng: random.Random) -> Peers:
    def log(event: str, **fields: Any) -> None:
        pass

    clock = time.monotonic
    return Peers(
        identity=Identity(
            vm=f"vm{number:03}",
            data_centre=data_centre,
            role="router",
            incarnation=1,
            secret=b"secret",
        ),
        view=ClusterView(records=PlatformRecords(), clock=clock, log=log),
        budget=SharedRetryBudget(ratio=0.2, slack=50.0, window_s=10.0),
        refused=RefusedCallers(),
        suspects=CrashSuspects(vm=f"vm{number:03}"),
        lease_remaining_s=lambda: 0.0,
        ordered_engines=lambda: [],
        store_connected=lambda: True,
        registry_connected=lambda: True,
        clock=clock,
        rng=rng,
        log=log,
    )


async def _generate_load(router: Peers, rng: random.Random) -> None:
    """Begin and end requests in the state of a router, as the forwarder does."""
    running: list[tuple[str, str]] = []
    number = 0
    while True:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
        number += 1
        engine, request = f"e{rng.randrange(ENGINES)}", f"q{number}"
        work = Work(request=request, sent_at=time.monotonic(), uncached_tokens=400)
        router.view.loads.add_work(engine, work)
        running.append((engine, request))
        if len(running) > REQUESTS_PER_S / 2:
            router.view.loads.remove_work(*running.pop(0))


async def _notice_delay_s(routers: list[Peers], name: str) -> float:
    """Return the seconds until a notice of one router has reached all others."""
    sender, started = routers[-1], time.monotonic()
    sender.send_notice(name, NoticeKind.AVOID, 2.0)
    others = routers[:-1]
    while not all(router.view.loads.of(name).avoid_until for router in others):
        await asyncio.sleep(0.002)
    return time.monotonic() - started


async def _measure_network(seed: int, relays: int) -> dict[str, Any]:
    rng = random.Random(seed)
    with patch.object(overlay, "RELAYS_PER_DATA_CENTRE", relays):
        routers, registered = [], []
        for number in range(ROUTERS):
            router = _make_router(number, f"dc{number % DATA_CENTRES}", rng)
            port = free_port()
            await router.listen(host="127.0.0.1", port=port)
            routers.append(router)
            registered.append(
                RegisteredVm(
                    name=router.identity.vm,
                    address=f"127.0.0.1:{port}",
                    data_centre=router.identity.data_centre,
                    joined=number,
                )
            )
        for router in routers:
            router.set_registered_vms(registered)
        tasks = [asyncio.create_task(router.run()) for router in routers]
        tasks += [
            asyncio.create_task(_generate_load(router, rng)) for router in routers
        ]
        await asyncio.sleep(WARM_UP_S)
        before = [_sent_messages(router) for router in routers]
        cpu = time.process_time()
        await asyncio.sleep(WINDOW_S)
        cpu = time.process_time() - cpu
        sent = [
            _sent_messages(router) - count
            for router, count in zip(routers, before, strict=True)
        ]
        delays_s = [await _notice_delay_s(routers, f"x{index}") for index in range(10)]
        known_vms = [router.vms for router in routers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(router.close() for router in routers))
    return {
        "relays_a_data_centre": relays,
        "messages_s": round(sum(sent) / WINDOW_S, 1),
        "messages_s_busiest": round(max(sent) / WINDOW_S, 1),
        "us_a_message": round(1e6 * cpu / max(1, sum(sent)), 1),
        "spread_ms_max": round(1000 * max(delays_s), 1),
        "all_heard": min(known_vms) == ROUTERS,
    }


def _sent_messages(router: Peers) -> int:
    return sum(link.sent for link in router.links.values())


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line with relays, one with a full mesh of links, and the summary."""
    relayed = asyncio.run(_measure_network(seed, overlay.RELAYS_PER_DATA_CENTRE))
    yield relayed
    meshed = asyncio.run(_measure_network(seed, FULL_MESH_RELAYS))
    yield meshed
    yield {
        "summary": True,
        "routers": ROUTERS,
        "messages_ratio": round(relayed["messages_s"] / meshed["messages_s"], 3),
        "busiest_messages_s": relayed["messages_s_busiest"],
        "us_a_message": relayed["us_a_message"],
        "spread_ms_max": relayed["spread_ms_max"],
        "all_heard": relayed["all_heard"] and meshed["all_heard"],
    }
