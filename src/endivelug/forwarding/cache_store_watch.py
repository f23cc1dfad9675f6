"""Notices when a store of kept KV cache is gone, and when it is back empty.

Load pattern: a store fails while long prompts are copied from it. Each copy from a
dead store costs some hundred milliseconds, so requests stop to name it within a second.
"""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.connection_pool import ConnectionPool

CHECK_S = 0.8
CONNECT_TIMEOUT_S = 0.3
# Repeated with every check while the store is gone.
GONE_MARK_S = 1.5


class CacheStoreWatch:
    """Connects to the stores regularly.

    Parameters
    ----------
    is_needed : callable
        Whether this VM checks; the others hear of it.
    on_avoid : callable
        Called with the address of a store and the seconds for which peers avoid it.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        pool: ConnectionPool,
        is_needed: Callable[[], bool],
        on_avoid: Callable[[str, float], None],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.view = view
        self.pool = pool
        self.is_needed = is_needed
        self.on_avoid = on_avoid
        self.clock = clock
        self.rng = rng
        self.log = log
        self.gone: set[str] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S * self.rng.uniform(0.8, 1.0))
            if not self.is_needed():
                continue
            for store in self.view.cache_stores():
                await self.check(store.address)

    async def check(self, address: str) -> None:
        """Connect once, and tell everyone where that fails."""
        try:
            connection = await self.pool.acquire(address, timeout_s=CONNECT_TIMEOUT_S)
        except UpstreamUnreachable as error:
            if address not in self.gone:
                self.log("cache-store-gone", address=address, reason=str(error))
            self.gone.add(address)
            self.view.avoid_cache_store(address, self.clock() + GONE_MARK_S)
            self.on_avoid(address, GONE_MARK_S)
            return
        self.pool.release(address, connection, idle_s=None)
        if address in self.gone:
            self.gone.discard(address)
            self.log("cache-store-back", address=address)
