"""Connections that show whether an engine can be reached."""

import asyncio
import time

from endivelug.forwarding.buffers.memory_account import MemoryAccount
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.process_pauses import ProcessPauses
from platform_standins import running_upstream


# Guards against connections beyond the bounds of descriptors and memory: those of the
# checks stay in the pool and carry requests.
def test_the_connection_of_a_check_counts_like_any_other():
    async def scenario():
        clock = time.monotonic
        pool = ConnectionPool(clock=clock, account=MemoryAccount(total_bytes=1 << 20))
        reach = EngineReach(pool=pool, pauses=ProcessPauses(clock=clock), clock=clock)
        async with running_upstream() as upstream:
            shown = await reach.check(upstream.address, timeout_s=5.0)
            assert shown is Reach.ACCEPTS
            assert pool.descriptors == 1
            connection = await pool.acquire(
                upstream.address, timeout_s=5.0, request_id="q"
            )
            assert pool.opened_total == 1
            assert connection.account is pool.account
            connection.abort()

    asyncio.run(scenario())
