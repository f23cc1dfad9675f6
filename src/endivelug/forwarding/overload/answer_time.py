"""Time that the upstreams of a plain service need for a call, measured from answers.

Source: Jacobson, "Congestion avoidance and control", SIGCOMM 1988 (moving averages of a
time and of its deviation).
"""

from dataclasses import dataclass

TIME_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4


@dataclass(slots=True, kw_only=True)
class AnswerTime:
    """Moving averages of the time to an answer and of its deviation.

    Examples
    --------
    >>> answers = AnswerTime()
    >>> answers.observe(0.2)
    >>> answers.mean_s, answers.short_s
    (0.2, 0.1)
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def short_s(self) -> float:
        """Time in which a call may well be answered."""
        return max(0.0, self.mean_s - self.deviation_s)

    def observe(self, seconds: float) -> None:
        """Add the time from sending a call to the end of its answer."""
        if self.mean_s == 0.0:
            self.mean_s, self.deviation_s = seconds, seconds / 2
            return
        error = seconds - self.mean_s
        self.mean_s += TIME_WEIGHT * error
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)
