"""Notices the signals that ask a process to stop, and when they came."""

import signal
from collections.abc import Callable
from types import FrameType
from typing import Any, Self


class StopSignal:
    """Handles SIGTERM and SIGINT while it is entered.

    The grace period begins with the signal. A handler of the event loop would run only
    in the loop's next turn, which comes late while the loop is busy.

    Parameters
    ----------
    notify : callable
        Called at each signal, between any two instructions of the main thread.

    Attributes
    ----------
    at : float
        Time of the first signal; infinite before.
    """

    def __init__(
        self, *, clock: Callable[[], float], notify: Callable[[], object]
    ) -> None:
        self.clock = clock
        self.notify = notify
        self.at = float("inf")
        self._before: dict[signal.Signals, Any] = {}

    def __enter__(self) -> Self:
        """Install the handlers."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._before[number] = signal.signal(number, self._receive)
        return self

    def __exit__(self, *error: object) -> None:
        """Restore the handlers that were there before."""
        for number, handler in self._before.items():
            signal.signal(number, handler)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        self.at = min(self.at, self.clock())
        self.notify()
