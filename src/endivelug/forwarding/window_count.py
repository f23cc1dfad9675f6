"""Number of events within a sliding window."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WindowCount:
    """Sum of the counts that were added within a sliding window.

    Examples
    --------
    >>> count = WindowCount(window_s=10.0)
    >>> count.add(now=0.0); count.add(now=5.0)
    >>> count.total(now=9.0), count.total(now=12.0)
    (2, 1)
    """

    window_s: float
    events: deque[tuple[float, float]] = field(default_factory=deque)
    sum: float = 0

    def add(self, *, now: float, count: float = 1) -> None:
        """Add events at a time."""
        self.events.append((now, count))
        self.sum += count

    def remove(self, *, at: float, count: float = 1) -> None:
        """Remove events that were added at a time, unless they have expired."""
        if (at, count) in self.events:
            self.events.remove((at, count))
            self.sum -= count

    def total(self, *, now: float) -> float:
        """Drop expired events and return the sum within the window."""
        while self.events and self.events[0][0] <= now - self.window_s:
            self.sum -= self.events.popleft()[1]
        if not self.events:
            # Sums of fractions leave rounding errors.
            self.sum = 0
        return self.sum
