"""Reports when the event loop runs late, because every decision then comes late too.

The end of a caller's connection, the crash of an engine and each report of a peer are
seen only when the loop gets to them.
"""

import asyncio
from collections.abc import Callable

from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.process_pauses import TICK_INTERVAL_S, ProcessPauses

# Lateness from which a line is logged; about the age of a peer's report.
LATE_S = 0.25


class LoopWatch:
    """Measures how late the event loop runs a timer, and ticks for the pauses.

    Attributes
    ----------
    longest_s : float
        Greatest lateness since the start, in seconds.
    """

    def __init__(
        self, *, pauses: ProcessPauses, clock: Callable[[], float], log: LogLine
    ) -> None:
        self.pauses = pauses
        self.clock = clock
        self.log = log
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self.pauses.tick()
            due_at = self.clock() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self.record(self.clock() - due_at)

    def record(self, late_s: float) -> None:
        """Record the lateness of one timer."""
        self.longest_s = max(self.longest_s, late_s)
        if late_s >= LATE_S:
            self.log("loop-late", late_s=round(late_s, 3))
