"""Signals to routers: alone, in series, beside each other and to all of them."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from .fault_log import FaultLog
from .routers import Router
from .world import Environment

# Longest time that a planned stop of a router takes, and that its next start takes.
MAX_STOP_S = 9.0
MAX_START_S = 1.5
PAUSE_S = (0.3, 4.0)
# Routers of a site are not paused at exactly the same moment.
MAX_OFFSET_S = 0.3


class RouterFaults:
    """Faults of the routers' processes."""

    def __init__(
        self, *, environment: Environment, rng: random.Random, log: FaultLog
    ) -> None:
        self.environment = environment
        self.rng = rng
        self.log = log
        self.faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_router,
            self.kill_in_series,
            self.kill_all_routers,
            self.pause_router,
            self.pause_in_series,
            self.pause_all_routers,
            self.stop_router,
            self.stop_and_kill,
            self.reload_router,
        ]

    def random_router(self) -> Router:
        """Return one of the routers."""
        return self.rng.choice(self.environment.routers)

    def kill(self, router: Router) -> None:
        """Kill a router."""
        self.log.add("kill", router.name, MAX_START_S)
        router.send_signal(signal.SIGKILL)

    async def pause(self, router: Router, seconds: float) -> None:
        """Suspend a router for some seconds."""
        self.log.add("pause", router.name, seconds, f"{seconds:.2f} s")
        await router.pause(seconds)

    async def kill_router(self) -> None:
        self.kill(self.random_router())

    async def kill_in_series(self) -> None:
        router = self.random_router()
        for _ in range(self.rng.randint(2, 4)):
            self.kill(router)
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def kill_all_routers(self) -> None:
        for router in self.environment.routers:
            self.kill(router)

    async def pause_router(self) -> None:
        await self.pause(self.random_router(), self.rng.uniform(*PAUSE_S))

    async def pause_in_series(self) -> None:
        router = self.random_router()
        for _ in range(self.rng.randint(2, 4)):
            await self.pause(router, self.rng.uniform(*PAUSE_S))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def pause_all_routers(self) -> None:
        await self.pause_all_routers_for(self.rng.uniform(*PAUSE_S))

    async def pause_all_routers_for(self, seconds: float) -> None:
        """Pause the routers at slightly different times, at most for some seconds."""

        async def pause(router: Router) -> None:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_OFFSET_S))
            await self.pause(router, seconds * self.rng.uniform(0.8, 1.0))

        await asyncio.gather(*(pause(router) for router in self.environment.routers))

    async def stop_router(self) -> None:
        await self.stop(self.random_router())

    async def stop(self, router: Router) -> None:
        """Stop a router as planned, unless a stop of it is in progress."""
        if router.stopping:
            return
        # A planned stop must not abort requests. It is recorded under another name than
        # the router's, so that aborted requests still count as violations.
        self.log.add("stop", f"stop of {router.name}", MAX_STOP_S + MAX_START_S)
        await router.stop()

    async def stop_and_kill(self) -> None:
        """Stop a router, and kill another one meanwhile or the same one."""
        router = self.random_router()
        stop = asyncio.create_task(self.stop_router())
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.kill(router)
        await stop

    async def reload_router(self) -> None:
        router = self.random_router()
        for _ in range(self.rng.randint(1, 4)):
            router.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
