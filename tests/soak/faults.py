"""Faults, drawn from a seed, that overlap and come in series."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from .promises import Calm
from .proxy import Mode, Proxy
from .routers import Router
from .upstreams import SoakUpstream
from .world import World

# Time that a planned stop and the next start of a router take at most.
STOP_S = 9.0
START_S = 1.5


class Faults:
    """Injects faults into a running world.

    Attributes
    ----------
    log : list of (float, str)
        When each fault began.
    """

    def __init__(self, *, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.calm: Calm = world.calm
        self.log: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_router,
            self.pause_router,
            self.stop_router,
            self.reload_router,
            self.kill_all,
            self.store_down,
            self.store_path,
            self.store_loses_answers,
            self.store_history,
            self.upstream_crash,
            self.upstream_path,
            self.upstream_replaced,
            self.configuration,
            self.weights,
        ]

    async def run(self, until: float, *, pause_s: float) -> None:
        """Begin faults until a time; some begin while others last."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / pause_s))
            for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
                self._begin(self.rng.choice(self.kinds))
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _begin(self, fault: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(fault())
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)  # type: ignore[arg-type]
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()  # type: ignore[misc]

    def _note(self, name: str, part: str, seconds: float) -> None:
        now = time.monotonic()
        self.log.append((round(now - self.world.started_at, 2), f"{name} {part}"))
        self.calm.add(part, now, now + seconds)

    def _router(self) -> Router:
        return self.rng.choice(self.world.routers)

    def _upstream(self) -> SoakUpstream:
        return self.rng.choice(self.world.upstreams)

    async def kill_router(self) -> None:
        router = self._router()
        self._note("kill", router.name, START_S)
        router.send(signal.SIGKILL)

    async def kill_all(self) -> None:
        for router in self.world.routers:
            self._note("kill", router.name, START_S)
            router.send(signal.SIGKILL)

    async def pause_router(self) -> None:
        router, seconds = self._router(), self.rng.uniform(0.3, 3.0)
        self._note("pause", router.name, seconds)
        await router.pause(seconds)

    async def stop_router(self) -> None:
        router = self._router()
        # What a stop cuts is a violation, so it is no disturbance of its own router.
        self._note("stop", f"stop of {router.name}", STOP_S + START_S)
        await router.stop()

    async def reload_router(self) -> None:
        router = self._router()
        for _ in range(self.rng.randint(1, 4)):
            router.send(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def store_down(self) -> None:
        seconds, store = self.rng.uniform(0.5, 4.0), self.world.store
        self._note("down", "store", seconds)
        store.fail_with = self.rng.choice((503, 429))
        await asyncio.sleep(seconds)
        store.fail_with = None

    async def store_path(self) -> None:
        router, seconds = self._router(), self.rng.uniform(0.5, 4.0)
        mode = self._mode()
        self._note(f"store {mode.value}", router.name, seconds + 1.0)
        await self._disturb(self.world.store_paths[router.name], mode, seconds)

    async def store_loses_answers(self) -> None:
        seconds, store = self.rng.uniform(0.3, 2.0), self.world.store
        self._note("loses answers", "store", seconds)
        store.lose_answers = True
        await asyncio.sleep(seconds)
        store.lose_answers = False

    async def store_history(self) -> None:
        self._note("drops history", "store", 0.5)
        self.world.store.drop_history()

    async def upstream_crash(self) -> None:
        upstream, seconds = self._upstream(), self.rng.uniform(0.2, 2.0)
        self._note("crash", "upstreams", seconds + 1.0)
        if upstream.alive:
            await upstream.restart(seconds)

    async def upstream_path(self) -> None:
        upstream, seconds = self._upstream(), self.rng.uniform(0.3, 3.0)
        mode = self._mode()
        self._note(f"path {mode.value}", "upstreams", seconds + 1.0)
        await self._disturb(upstream.proxy, mode, seconds)

    async def upstream_replaced(self) -> None:
        upstream = self._upstream()
        if not upstream.alive or upstream.state != "ready":
            return
        now = time.monotonic()
        calm = self.calm.holds(("store", *self.world.names()), now, now)
        self._note("replaced", "upstreams", 6.0)
        await upstream.replace(calm=calm and not self.tasks_of_store())

    def tasks_of_store(self) -> bool:
        """Return whether the store is disturbed now."""
        return self.world.store.fail_with is not None or self.world.store.lose_answers

    async def configuration(self) -> None:
        self.log.append((self.world.age(), "configuration"))
        self.world.change_configuration()

    async def weights(self) -> None:
        self.log.append((self.world.age(), "weights"))
        self.world.name_weights()

    def _mode(self) -> Mode:
        return self.rng.choice([mode for mode in Mode if mode is not Mode.PASS])

    async def _disturb(self, proxy: Proxy, mode: Mode, seconds: float) -> None:
        proxy.mode = mode
        if mode is Mode.REFUSE:
            proxy.reset()
        await asyncio.sleep(seconds)
        proxy.mode = Mode.PASS
        if self.rng.random() < 0.5:
            proxy.reset()
