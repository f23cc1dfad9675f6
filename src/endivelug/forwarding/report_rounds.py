"""Times at which reports are sent to the neighbours."""

import asyncio
from collections.abc import Callable

# Shortest regular interval between reports.
REPORT_MIN_S = 0.1
# Limit of the reports that a VM sends per second, for all of its neighbours together.
REPORTS_PER_S = 100.0
# Per neighbour, the shortest delay of an urgent report after the previous report.
URGENT_INTERVAL_S = 0.004
# Without changes a report is sent at this interval.
HEARTBEAT_S = 0.5


class ReportRounds:
    """Waits between two rounds of reports.

    A change of amounts is reported after the regular interval, which grows with the
    number of links, and an announcement after a short one. Without changes there is
    only a heartbeat.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()

    def note_change(self) -> None:
        """Report with the next regular round."""
        self._changed.set()

    def announce(self) -> None:
        """Report without waiting for the regular interval."""
        self._changed.set()
        self._urgent.set()

    async def wait(self, *, started_at: float, links: int, has_changes: bool) -> None:
        """Wait until the next round is due.

        Parameters
        ----------
        started_at : float
            Start of the last round.
        has_changes : bool
            Whether the last round has left something to be sent.
        """
        if not has_changes:
            await self._wait_for(self._changed, until=started_at + HEARTBEAT_S)
        regular_at = started_at + max(REPORT_MIN_S, links / REPORTS_PER_S)
        await self._wait_for(self._urgent, until=regular_at)
        urgent_at = started_at + links * URGENT_INTERVAL_S
        await asyncio.sleep(max(0.0, urgent_at - self.clock()))
        self._changed.clear()
        self._urgent.clear()

    async def _wait_for(self, event: asyncio.Event, *, until: float) -> None:
        """Wait for an event, at most until a time."""
        try:
            async with asyncio.timeout(max(0.0, until - self.clock())):
                await event.wait()
        except TimeoutError:
            pass
