"""Shows by new connections whether an engine can be reached.

A single attempt without an answer shows little: a lost packet of its handshake is sent
again after a second, and packets may queue on a busy link. Only several attempts that
wait longer show that an engine is cut off. An attempt during which this process was
paused shows nothing without an answer: its time limit is noticed before the answer.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from endivelug.exceptions import (
    UpstreamNotAnswering,
    UpstreamNotListening,
    UpstreamUnreachable,
)
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.process_pauses import ProcessPauses

# Connection attempts without an answer that show that an engine is cut off, the time
# between their starts, and their time limit: packets may wait for half a second on a
# busy link.
CUT_OFF_ATTEMPTS = 2
CUT_OFF_ATTEMPT_INTERVAL_S = 0.1
CUT_OFF_TIMEOUT_S = 0.7
# The kernel closes all connections of a process that has ended; the event loop notices
# all of them within this time.
ALL_CLOSED_S = 0.1
ALL_CLOSED_CHECK_INTERVAL_S = 0.01
# An attempt that a pause of this process spoilt is repeated so often.
MAX_ATTEMPTS = 3


class Reach(Enum):
    """What a connection attempt showed.

    ``REFUSES`` means that the host answers and nothing listens at the address.
    ``UNKNOWN`` shows nothing: this process was paused or has no socket left, or the
    connection was reset at once, as by an engine that has too many.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    NO_ANSWER = "no-answer"
    UNKNOWN = "unknown"


class EngineReach:
    """Connects to engines anew: an idle connection may have outlived its engine."""

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        pauses: ProcessPauses,
        clock: Callable[[], float],
    ) -> None:
        self.pool = pool
        self.pauses = pauses
        self.clock = clock

    async def check(self, address: str, *, timeout_s: float) -> Reach:
        """Return what a connection attempt without a pause of this process shows."""
        for _ in range(MAX_ATTEMPTS):
            started_at = self.clock()
            shown = await self._connect(address, timeout_s)
            paused = self.pauses.running_since() > started_at
            if shown is not Reach.NO_ANSWER or not paused:
                return shown
        return Reach.UNKNOWN

    async def _connect(self, address: str, timeout_s: float) -> Reach:
        try:
            connection = await self.pool.open(address, timeout_s=timeout_s)
        except UpstreamNotListening:
            return Reach.REFUSES
        except UpstreamNotAnswering:
            return Reach.NO_ANSWER
        except UpstreamUnreachable:
            return Reach.UNKNOWN
        self.pool.release(address, connection, idle_s=None)
        return Reach.ACCEPTS

    async def all_closed(self, address: str) -> bool:
        """Return whether no connection to an address is open any more.

        An engine that refuses connections and keeps one open may only be stopping.
        """
        ends_at = self.clock() + ALL_CLOSED_S
        while self.pool.open_counts[address]:
            if self.clock() >= ends_at:
                return False
            await asyncio.sleep(ALL_CLOSED_CHECK_INTERVAL_S)
        return True

    async def check_cut_off(self, address: str) -> Reach:
        """Return NO_ANSWER if several attempts that wait longer show it, too."""
        attempts = [
            asyncio.create_task(self._check_later(address, number))
            for number in range(CUT_OFF_ATTEMPTS)
        ]
        try:
            for attempt in asyncio.as_completed(attempts):
                shown = await attempt
                if shown is not Reach.NO_ANSWER:
                    return shown
        finally:
            for task in attempts:
                task.cancel()
        return Reach.NO_ANSWER

    async def _check_later(self, address: str, number: int) -> Reach:
        await asyncio.sleep(number * CUT_OFF_ATTEMPT_INTERVAL_S)
        ends_at = self.clock() + CUT_OFF_TIMEOUT_S
        shown = await self.check(address, timeout_s=CUT_OFF_TIMEOUT_S)
        if shown is Reach.NO_ANSWER:
            # An error of the network, such as a missing route, comes at once.
            await asyncio.sleep(max(0.0, ends_at - self.clock()))
        return shown
