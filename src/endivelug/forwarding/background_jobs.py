"""Runs the background jobs of a process, and restarts those that fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from endivelug.forwarding.cluster_view import LogLine

# Delay before a failed job is restarted.
RESTART_S = 0.5

Job = Callable[[], Coroutine[Any, Any, None]]


class BackgroundJobs:
    """Jobs that run until they return or are cancelled."""

    def __init__(self, *, log: LogLine) -> None:
        self.log = log
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, job: Job) -> None:
        """Start a job."""
        self.tasks.append(asyncio.create_task(self._supervise(job)))

    async def cancel(self) -> None:
        """Cancel every job, and wait until all have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _supervise(self, job: Job) -> None:
        """Run a job; restart it if it fails, so that this VM's state stays current."""
        while True:
            try:
                await job()
                return
            except Exception as error:
                # Operators see the job's class and method names in this event.
                self.log("job-failed", job=job.__qualname__, reason=repr(error))
                await asyncio.sleep(RESTART_S)
