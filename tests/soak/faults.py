"""Faults in random order, reproducible from a seed; they may overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from .promises import Disturbances
from .proxy import Mode, Proxy
from .routers import Router
from .upstreams import SoakUpstream
from .world import Environment

# Longest time that a planned stop of a router takes, and that its next start takes.
MAX_STOP_S = 9.0
MAX_START_S = 1.5


class Faults:
    """Injects faults into a running environment.

    Attributes
    ----------
    log : list of (float, str)
        Seconds since the start and description of each fault.
    """

    def __init__(self, *, environment: Environment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.disturbances: Disturbances = environment.disturbances
        self.log: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_router,
            self.pause_router,
            self.stop_router,
            self.reload_router,
            self.kill_all_routers,
            self.refuse_store_requests,
            self.disturb_store_path,
            self.lose_store_responses,
            self.drop_store_history,
            self.crash_upstream,
            self.disturb_upstream_path,
            self.replace_upstream,
            self.change_configuration,
            self.announce_weights,
        ]

    async def run(self, until: float, *, mean_interval_s: float) -> None:
        """Inject faults until the given time, also while earlier ones last."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / mean_interval_s))
            for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
                self._start(self.rng.choice(self.faults))
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _start(self, inject_fault: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(inject_fault())
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)  # type: ignore[arg-type]
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()  # type: ignore[misc]

    def _record(self, name: str, component: str, seconds: float) -> None:
        now = time.monotonic()
        self.log.append(
            (round(now - self.environment.started_at, 2), f"{name} {component}")
        )
        self.disturbances.add(component, now, now + seconds)

    def _random_router(self) -> Router:
        return self.rng.choice(self.environment.routers)

    def _random_upstream(self) -> SoakUpstream:
        return self.rng.choice(self.environment.upstreams)

    async def kill_router(self) -> None:
        router = self._random_router()
        self._record("kill", router.name, MAX_START_S)
        router.send_signal(signal.SIGKILL)

    async def kill_all_routers(self) -> None:
        for router in self.environment.routers:
            self._record("kill", router.name, MAX_START_S)
            router.send_signal(signal.SIGKILL)

    async def pause_router(self) -> None:
        router, seconds = self._random_router(), self.rng.uniform(0.3, 3.0)
        self._record("pause", router.name, seconds)
        await router.pause(seconds)

    async def stop_router(self) -> None:
        router = self._random_router()
        # A planned stop must not abort requests. It is recorded under another name than
        # the router's, so that aborted requests still count as violations.
        self._record("stop", f"stop of {router.name}", MAX_STOP_S + MAX_START_S)
        await router.stop()

    async def reload_router(self) -> None:
        router = self._random_router()
        for _ in range(self.rng.randint(1, 4)):
            router.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def refuse_store_requests(self) -> None:
        seconds, store = self.rng.uniform(0.5, 4.0), self.environment.store
        self._record("down", "store", seconds)
        store.fail_with = self.rng.choice((503, 429))
        await asyncio.sleep(seconds)
        store.fail_with = None

    async def disturb_store_path(self) -> None:
        router, seconds = self._random_router(), self.rng.uniform(0.5, 4.0)
        mode = self._random_mode()
        self._record(f"store {mode.value}", router.name, seconds + 1.0)
        await self._disturb(self.environment.store_proxies[router.name], mode, seconds)

    async def lose_store_responses(self) -> None:
        seconds, store = self.rng.uniform(0.3, 2.0), self.environment.store
        self._record("loses answers", "store", seconds)
        store.lose_answers = True
        await asyncio.sleep(seconds)
        store.lose_answers = False

    async def drop_store_history(self) -> None:
        self._record("drops history", "store", 0.5)
        self.environment.store.drop_history()

    async def crash_upstream(self) -> None:
        upstream, seconds = self._random_upstream(), self.rng.uniform(0.2, 2.0)
        self._record("crash", "upstreams", seconds + 1.0)
        if upstream.alive:
            await upstream.restart(seconds)

    async def disturb_upstream_path(self) -> None:
        upstream, seconds = self._random_upstream(), self.rng.uniform(0.3, 3.0)
        mode = self._random_mode()
        self._record(f"path {mode.value}", "upstreams", seconds + 1.0)
        await self._disturb(upstream.proxy, mode, seconds)

    async def replace_upstream(self) -> None:
        upstream = self._random_upstream()
        if not upstream.alive or upstream.state != "ready":
            return
        now = time.monotonic()
        undisturbed = self.disturbances.none_during(
            ("store", *self.environment.router_names()), now, now
        )
        self._record("replaced", "upstreams", 6.0)
        await upstream.replace(
            undisturbed=undisturbed and not self.store_is_disturbed()
        )

    def store_is_disturbed(self) -> bool:
        """Return whether the store currently refuses requests or loses responses."""
        return (
            self.environment.store.fail_with is not None
            or self.environment.store.lose_answers
        )

    async def change_configuration(self) -> None:
        self.log.append((self.environment.elapsed_s(), "configuration"))
        self.environment.change_configuration()

    async def announce_weights(self) -> None:
        self.log.append((self.environment.elapsed_s(), "weights"))
        self.environment.announce_weights()

    def _random_mode(self) -> Mode:
        return self.rng.choice([mode for mode in Mode if mode is not Mode.PASS])

    async def _disturb(self, proxy: Proxy, mode: Mode, seconds: float) -> None:
        proxy.mode = mode
        if mode is Mode.REFUSE:
            proxy.reset()
        await asyncio.sleep(seconds)
        proxy.mode = Mode.PASS
        if self.rng.random() < 0.5:
            proxy.reset()
