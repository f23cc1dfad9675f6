"""Ends a process within its grace period, also if a part of it does not close."""

import asyncio
import os
import signal
from collections.abc import Callable, Coroutine
from types import FrameType
from typing import Any

from endivelug.forwarding.decision_log import DecisionLog
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON

# Time that each part gets to close at least, and at most if the grace period allows it.
MIN_CLOSE_S = 0.1
MAX_CLOSE_S = 1.0
# Time that a slow reader of the log gets at the end of the process.
LAST_LINES_S = 0.1
# The process ends itself this long before the end of its grace period, so that its log
# tells why it had not ended before.
ALARM_MARGIN_S = 0.15
EXIT_OVERRUN = 1


class Shutdown:
    """Closes the parts of a process, each within a bounded time.

    Parameters
    ----------
    end_at : float
        Time by which the parts should be closed.

    Attributes
    ----------
    failed : list of str
        Parts that failed to close, or did not close in time.
    """

    def __init__(
        self, *, end_at: float, clock: Callable[[], float], log: DecisionLog
    ) -> None:
        self.end_at = end_at
        self.clock = clock
        self.log = log
        self.began_at = clock()
        self.failed: list[str] = []

    async def close(self, **parts: Coroutine[Any, Any, None]) -> None:
        """Close parts at the same time; log those that fail, and go on."""
        now = self.clock()
        until = max(now + MIN_CLOSE_S, min(now + MAX_CLOSE_S, self.end_at))
        await self.run(until=until, **parts)

    async def run(self, *, until: float, **parts: Coroutine[Any, Any, None]) -> None:
        """Run parts of the shutdown at the same time until they end or until a time."""
        tasks = {asyncio.ensure_future(part): name for name, part in parts.items()}
        # Unlike ``asyncio.wait_for``, this does not wait for what ignores its
        # cancellation.
        timeout_s = max(0.0, until - self.clock())
        _, pending = await asyncio.wait(tasks, timeout=timeout_s)
        for task in pending:
            task.cancel()
            self._record_failure(tasks[task], "it did not end in time")
        for task in tasks.keys() - pending:
            error = None if task.cancelled() else task.exception()
            if error is not None:
                self._record_failure(tasks[task], repr(error))

    def finish(self) -> None:
        """Write the last lines of the log."""
        self.log(
            "exiting",
            took_s=round(self.clock() - self.began_at, 3),
            failed=self.failed,
            lines_dropped=self.log.dropped_total,
        )
        self.log.finish(until=self.clock() + LAST_LINES_S)

    def set_alarm(self, *, grace_end: float) -> None:
        """End the process shortly before the end of its grace period, come what may.

        The handler runs also while the event loop is busy or waits for a part.
        """

        def end_process(number: int, frame: FrameType | None) -> None:
            self._record_failure("process", "the grace period has ended")
            self.finish()
            os._exit(EXIT_OVERRUN)

        signal.signal(signal.SIGALRM, end_process)
        left_s = grace_end - ALARM_MARGIN_S - self.clock()
        signal.setitimer(signal.ITIMER_REAL, max(0.01, left_s))

    def _record_failure(self, part: str, reason: str) -> None:
        self.failed.append(part)
        self.log("close-failed", part=part, reason=reason[:MAX_LOGGED_REASON])
