"""The parts of one soak: store, upstreams, routers, callers and the operator."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from forwarding_builders import configuration_document
from platform_standins import StoreStandIn, running_store

from .callers import Callers
from .promises import Calm, Grant
from .proxy import Proxy
from .routers import Router
from .upstreams import Record, SoakUpstream

ENGINES = 3
DESKS = 2
READY_S = 15.0
# The key that the operator takes away and gives back.
CHANGING_KEY = "k3"
ORGANISATIONS = {"k1": "org1", "k2": "org2", "k3": "org3"}
ISOLATED = {"org1"}


class World:
    """Everything but the faults."""

    def __init__(
        self, *, store: StoreStandIn, rng: random.Random, routers: int, folder: Path
    ) -> None:
        self.store = store
        self.rng = rng
        self.record = Record()
        self.calm = Calm()
        self.grants: list[Grant] = []
        self.started_at = time.monotonic()
        self.version = 7
        self.granted = False
        self.weights = 1
        self.store_paths = {
            f"vm{number}": Proxy(store.address) for number in range(routers)
        }
        self.folder = folder
        self.count = routers
        self.routers: list[Router] = []
        self.upstreams = [
            SoakUpstream(
                service="engines" if number < ENGINES else "desk",
                store=store,
                record=self.record,
                rng=rng,
                slots=32 if number < ENGINES else 6,
                engine=number < ENGINES,
                wanted=lambda: self.weights,
            )
            for number in range(ENGINES + DESKS)
        ]
        self.callers = Callers(routers=self.routers, rng=rng, keys=("k1", "k2", "k3"))
        self.jobs: list[asyncio.Task[None]] = []

    def age(self) -> float:
        """Return the seconds since the start."""
        return round(time.monotonic() - self.started_at, 2)

    def names(self) -> list[str]:
        """Return the names of the routers."""
        return [router.name for router in self.routers]

    async def start(self) -> None:
        """Start everything and wait until a router is ready."""
        for upstream in self.upstreams:
            await upstream.start()
            self.jobs.append(asyncio.create_task(upstream.heartbeats()))
        self.name_weights()
        self.change_configuration()
        for number, (name, path) in enumerate(self.store_paths.items()):
            await path.start()
            router = Router(
                number=number,
                data_centre=f"dc{1 + number % 2}",
                store=path.address,
                folder=self.folder,
            )
            assert router.name == name
            self.routers.append(router)
            router.start()
        self.jobs.append(asyncio.create_task(self.callers.balance()))
        async with asyncio.timeout(READY_S):
            while not all(router.ready for router in self.routers):
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End everything that was started."""
        for job in self.jobs:
            job.cancel()
        await asyncio.gather(*self.jobs, return_exceptions=True)
        await asyncio.gather(*(router.end() for router in self.routers))
        for upstream in self.upstreams:
            upstream.crash()
            await upstream.proxy.close()
        for path in self.store_paths.values():
            await path.close()

    def name_weights(self) -> None:
        """Name newer weights, as the operator does."""
        if self.started_at and self.grants:
            self.weights += 1
        document = {"model": "m", "version": self.weights}
        self.store.put("op", "version/m", document)

    def change_configuration(self) -> None:
        """Write a configuration that takes a key away or gives it back."""
        now = time.monotonic()
        self.version += self.rng.randint(1, 3)
        self.granted = not self.granted
        for grant in self.grants:
            grant.ends_at = min(grant.ends_at, now)
        for key in ORGANISATIONS:
            allowed = self.granted or key != CHANGING_KEY
            self.grants.append(Grant(key=key, allowed=allowed, begins_at=now))
        self.store.put("op", "config", self._document())

    def _document(self) -> dict[str, Any]:
        tenants = [
            {"name": name, "apiKeys": [key], "isolated": name in ISOLATED}
            for key, name in ORGANISATIONS.items()
            if self.granted or key != CHANGING_KEY
        ]
        return configuration_document(version=self.version, tenants=tenants)


@contextlib.asynccontextmanager
async def running_world(
    *, rng: random.Random, routers: int, folder: Path
) -> AsyncIterator[World]:
    """Run a world until the end of the block."""
    async with running_store() as store:
        world = World(store=store, rng=rng, routers=routers, folder=folder)
        try:
            await world.start()
            yield world
        finally:
            await world.close()
