"""Tells since when this process has been running without a pause.

A process that was stopped, or got no processor time, finds all its timers expired at
once, while what arrived in the meantime is still in the kernel's buffers. Time that
passed during a pause shows nothing about an upstream.
"""

from collections.abc import Callable

TICK_INTERVAL_S = 0.1
# Time between two ticks from which the process counts as paused. It is below the
# shortest time limit that is measured from the end of a pause.
PAUSE_S = 0.2
# Time after a pause in which the event loop reads what the kernel holds; a loop that
# does not get to it in this time is paused again.
READ_AFTER_PAUSE_S = PAUSE_S


class ProcessPauses:
    """Detects pauses by the lateness of a regular tick.

    Attributes
    ----------
    ticked_at : float or None
        Time of the last tick; None before the first one, when no pause is detected.
    resumed_at : float
        End of the last pause, as far as it has been noticed.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ticked_at: float | None = None
        self.resumed_at = float("-inf")

    def tick(self) -> None:
        """Record that the event loop runs its timers."""
        self.running_since()
        self.ticked_at = self.clock()

    def running_since(self) -> float:
        """Return the end of the last pause, which may end only now.

        Timers that expired during a pause run before the late tick, so that the tick
        alone would not tell them of it.
        """
        now = self.clock()
        if self.ticked_at is not None and now - self.ticked_at > PAUSE_S:
            self.resumed_at = now
        return self.resumed_at

    def extend(self, deadline: float) -> float:
        """Return a deadline that leaves time to read what arrived during a pause."""
        return max(deadline, self.running_since() + READ_AFTER_PAUSE_S)
