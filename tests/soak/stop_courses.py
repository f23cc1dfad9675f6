"""Courses of planned stops: in series, overlapping, and beside other signals."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from .disturbances import store_path_of
from .proxy import Mode
from .router_faults import MAX_STOP_S, RouterFaults
from .routers import Router

# Times between the signals of a course.
STOP_INTERVAL_S = (1.0, 4.0)
NEXT_SIGNAL_S = (0.0, 6.0)
PAUSE_S = (0.3, 3.5)
MEAN_COURSE_INTERVAL_S = 3.0
# A lease that is not renewed for longer has lapsed and is not given back.
MAX_STORE_FAULT_BEFORE_S = 0.5
STORE_MODES = (Mode.SILENT, Mode.NO_ANSWERS, Mode.NO_REQUESTS, Mode.HOLD, Mode.REFUSE)

Course = Callable[[RouterFaults], Awaitable[None]]


async def one_after_another(faults: RouterFaults) -> None:
    """Stop all routers, each once the one before it is ready again."""
    for router in _shuffled(faults):
        await faults.stop(router)
        while not router.ready:
            await asyncio.sleep(0.1)


async def overlapping(faults: RouterFaults) -> None:
    """Stop routers a short time after each other, so that several stop at once."""
    stops = []
    for router in _shuffled(faults)[: faults.rng.randint(2, 6)]:
        stops.append(asyncio.create_task(faults.stop(router)))
        await asyncio.sleep(faults.rng.uniform(*STOP_INTERVAL_S))
    await asyncio.gather(*stops)


async def beside_kills(faults: RouterFaults) -> None:
    """Kill other routers while one stops."""
    first, *others = _shuffled(faults)
    stop = asyncio.create_task(faults.stop(first))
    for router in others[: faults.rng.randint(1, 2)]:
        await asyncio.sleep(faults.rng.uniform(*NEXT_SIGNAL_S) / 2)
        faults.kill(router)
    await stop


async def beside_pauses(faults: RouterFaults) -> None:
    """Pause other routers while one stops, from before its signal or later."""
    first, *others = _shuffled(faults)
    pauses = [
        asyncio.create_task(_pause_later(faults, router))
        for router in others[: faults.rng.randint(1, 2)]
    ]
    await asyncio.sleep(faults.rng.uniform(0.0, 2.0))
    await faults.stop(first)
    await asyncio.gather(*pauses)


async def beside_reloads(faults: RouterFaults) -> None:
    """Send SIGHUP before and after SIGTERM, and to the other routers as well."""
    router = faults.random_router()
    router.send_signal(signal.SIGHUP)
    stop = asyncio.create_task(faults.stop(router))
    for _ in range(4):
        await asyncio.sleep(faults.rng.uniform(0.0, 1.5))
        for each in {router, faults.random_router()}:
            if each.was_ready:
                each.send_signal(signal.SIGHUP)
    await stop


async def beside_store_faults(faults: RouterFaults) -> None:
    """Disturb the paths of one router or of all to the store while one stops.

    The router is the holder of the order lease, which it gives back, if there is one.
    """
    routers = _shuffled(faults)
    routers.sort(key=lambda router: router.name != faults.environment.lease_holder())
    router, *others = routers
    mode = faults.rng.choice(STORE_MODES)
    paths = faults.environment.store_proxies
    disturbed = [router, *others] if faults.rng.random() < 0.5 else [router]
    for each in disturbed:
        faults.log.add(mode.value, store_path_of(each.name), MAX_STOP_S)
        paths[each.name].set_mode(mode)
    await asyncio.sleep(faults.rng.uniform(0.0, MAX_STORE_FAULT_BEFORE_S))
    await faults.stop(router)
    for each in disturbed:
        paths[each.name].set_mode(Mode.PASS)


async def twice(faults: RouterFaults) -> None:
    """Send SIGTERM again while the stop is in progress."""
    router = faults.random_router()
    stop = asyncio.create_task(faults.stop(router))
    for _ in range(faults.rng.randint(1, 3)):
        await asyncio.sleep(faults.rng.uniform(0.0, 2.0))
        if router.stopping and not stop.done():
            router.send_signal(signal.SIGTERM)
    await stop


COURSES: dict[str, Course] = {
    "stop-all": one_after_another,
    "stop-overlapping": overlapping,
    "stop-beside-kills": beside_kills,
    "stop-beside-pauses": beside_pauses,
    "stop-beside-reloads": beside_reloads,
    "stop-beside-store-faults": beside_store_faults,
    "stop-twice": twice,
}


async def run_courses(faults: RouterFaults, names: list[str], until: float) -> None:
    """Run courses in random order until a time; they overlap."""
    tasks = []
    while time.monotonic() < until:
        course = COURSES[faults.rng.choice(names)]
        tasks.append(asyncio.ensure_future(course(faults)))
        pause_s = faults.rng.expovariate(1 / MEAN_COURSE_INTERVAL_S)
        if len(names) == 1:
            await asyncio.wait([tasks[-1]], timeout=until - time.monotonic())
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)


def _shuffled(faults: RouterFaults) -> list[Router]:
    routers = list(faults.environment.routers)
    random.Random(faults.rng.random()).shuffle(routers)
    return routers


async def _pause_later(faults: RouterFaults, router: Router) -> None:
    await asyncio.sleep(faults.rng.uniform(*NEXT_SIGNAL_S) / 2)
    await faults.pause(router, faults.rng.uniform(*PAUSE_S))
