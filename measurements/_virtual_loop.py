"""Event loop whose clock jumps to the next timer, so that waits take no real time."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            timer = self._scheduled[0]  # type: ignore[attr-defined]
            self.now = max(self.now, timer.when())
        super()._run_once()  # type: ignore[misc]


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
