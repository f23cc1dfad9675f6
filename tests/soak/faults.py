"""Faults in random order, reproducible from a seed; they may overlap."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from .disturbances import Disturbances, store_path_of
from .fault_log import FaultLog
from .router_faults import RouterFaults
from .upstream_faults import MODES, UpstreamFaults, disturb
from .world import Environment

# About the window of the retry rule.
RETRIES_S = 10.0
# Longer than the pauses beside it, and shorter than the kernel waits to connect again.
CONNECTS_LOST_S = 0.95


class Faults:
    """Injects faults into a running environment.

    Attributes
    ----------
    log : FaultLog
        The faults that were injected.
    """

    def __init__(self, *, environment: Environment, rng: random.Random) -> None:
        self.environment = environment
        self.rng = rng
        self.disturbances: Disturbances = environment.disturbances
        self.log = FaultLog(
            started_at=environment.started_at, disturbances=environment.disturbances
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.routers = routers = RouterFaults(
            environment=environment, rng=rng, log=self.log
        )
        self.upstreams = upstreams = UpstreamFaults(
            environment=environment,
            rng=rng,
            log=self.log,
            undisturbed=self._are_routers_undisturbed,
        )
        together = [
            self.disturb_routers_while_they_retry,
            self.pause_routers_while_connects_are_lost,
        ]
        others = [
            self.refuse_store_requests,
            self.disturb_store_path,
            self.lose_store_responses,
            self.drop_store_history,
            self.change_configuration,
            self.announce_weights,
        ]
        # Upstreams take two turns of five, since one fault meets few of the requests.
        self.groups: list[list[Callable[[], Awaitable[None]]]] = [
            routers.faults,
            upstreams.faults,
            upstreams.faults,
            together,
            others,
        ]

    async def run(self, until: float, *, mean_interval_s: float) -> None:
        """Inject faults until the given time, also while earlier ones last."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / mean_interval_s))
            for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
                self._start(self.rng.choice(self.rng.choice(self.groups)))
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

    def _are_routers_undisturbed(self) -> bool:
        """Return whether the store and all routers are undisturbed."""
        now = time.monotonic()
        store = self.environment.store
        return (
            store.fail_with is None
            and not store.lose_answers
            and self.disturbances.none_during(
                ("store", *self.environment.routers_and_paths()), now, now
            )
        )

    async def disturb_routers_while_they_retry(self) -> None:
        """Send signals to routers while upstreams cause many retries."""
        retries = asyncio.create_task(self.upstreams.cause_retries(RETRIES_S))
        for _ in range(self.rng.randint(2, 6)):
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            self._start(self.rng.choice(self.routers.faults))
        await retries

    async def pause_routers_while_connects_are_lost(self) -> None:
        """Let routers wake up with old news of an engine to which a connect is lost."""
        connects = asyncio.create_task(self.upstreams.lose_connects(CONNECTS_LOST_S))
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        await self.routers.pause_all_routers_for(self.rng.uniform(0.3, 0.8))
        await connects

    async def refuse_store_requests(self) -> None:
        seconds, store = self.rng.uniform(0.5, 4.0), self.environment.store
        self.log.add("down", "store", seconds)
        store.fail_with = self.rng.choice((503, 429))
        await asyncio.sleep(seconds)
        store.fail_with = None

    async def disturb_store_path(self) -> None:
        router = self.rng.choice(self.environment.routers)
        seconds, mode = self.rng.uniform(0.5, 4.0), self.rng.choice(MODES)
        path = store_path_of(router.name)
        self.log.add(mode.value, path, seconds + 1.0)
        proxy = self.environment.store_proxies[router.name]
        await disturb(proxy, mode, seconds, self.rng)

    async def lose_store_responses(self) -> None:
        seconds, store = self.rng.uniform(0.3, 2.0), self.environment.store
        self.log.add("loses answers", "store", seconds)
        store.lose_answers = True
        await asyncio.sleep(seconds)
        store.lose_answers = False

    async def drop_store_history(self) -> None:
        self.log.add("drops history", "store", 0.5)
        self.environment.store.drop_history()

    async def change_configuration(self) -> None:
        self.log.lines.append((self.environment.elapsed_s(), "configuration"))
        self.environment.change_configuration()

    async def announce_weights(self) -> None:
        self.log.lines.append((self.environment.elapsed_s(), "weights"))
        self.environment.announce_weights()
