"""Detects unreachable KV cache stores, and their return with an empty cache.

Load pattern: a store fails while long prompts are copied from it. Each attempted copy
from a failed store costs some hundred milliseconds, so within a second requests no
longer name it.
"""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.process_pauses import ProcessPauses

CHECK_INTERVAL_S = 0.8
CONNECT_TIMEOUT_S = 0.3
# Lifetime of the notice to avoid a store; each check repeats it while the store is
# unreachable.
AVOID_NOTICE_S = 1.5


class CacheStoreWatch:
    """Checks regularly that each cache store accepts connections.

    Parameters
    ----------
    is_needed : callable
        Whether this VM runs the checks; other VMs receive its notices.
    on_avoid : callable
        Called with the address of a store and the seconds for which peers should avoid
        it.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        pool: ConnectionPool,
        pauses: ProcessPauses,
        is_needed: Callable[[], bool],
        on_avoid: Callable[[str, float], None],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.view = view
        self.pool = pool
        self.pauses = pauses
        self.is_needed = is_needed
        self.on_avoid = on_avoid
        self.clock = clock
        self.rng = rng
        self.log = log
        self.unreachable: set[str] = set()

    async def run(self) -> None:
        """Check the stores until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.0))
            if not self.is_needed():
                continue
            for store in self.view.cache_stores():
                await self.check(store.address)

    async def check(self, address: str) -> None:
        """Connect once; announce the store as unreachable if that fails."""
        started_at = self.clock()
        try:
            connection = await self.pool.acquire(address, timeout_s=CONNECT_TIMEOUT_S)
        except UpstreamUnreachable as error:
            if self.pauses.running_since() > started_at:
                return
            if address not in self.unreachable:
                self.log("cache-store-gone", address=address, reason=str(error))
            self.unreachable.add(address)
            self.view.avoid_cache_store(address, self.clock() + AVOID_NOTICE_S)
            self.on_avoid(address, AVOID_NOTICE_S)
            return
        self.pool.release(address, connection, idle_s=None)
        if address in self.unreachable:
            self.unreachable.discard(address)
            self.log("cache-store-back", address=address)
