"""Retry budget and backoff for calls to upstreams."""

import random
from dataclasses import dataclass

# Retries per first attempt.
BUDGET_RATIO = 0.1
# Bounds the credit that would otherwise accumulate while few calls fail.
MAX_CREDIT = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    The budget starts empty, so that the limit holds from the first request on, also
    after a restart of all routers.

    Attributes
    ----------
    ratio : float
        Retries allowed per first attempt.
    max_credit : float
        Upper bound of ``credit``.
    credit : float
        Retries that may be made now.
    """

    ratio: float = BUDGET_RATIO
    max_credit: float = MAX_CREDIT
    credit: float = 0.0

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds ``ratio`` to the credit."""
        self.credit = min(self.max_credit, self.credit + self.ratio)

    def try_acquire(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        # 10 additions of 0.1 give slightly less than 1.
        if self.credit < 1.0 - 1e-9:
            return False
        self.credit -= 1.0
        return True


def backoff_s(*, retry: int, rng: random.Random) -> float:
    """Return the delay before a retry: exponential backoff with full jitter.

    Source: M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
    2015.

    Parameters
    ----------
    retry : int
        1 for the first retry.
    rng : random.Random
        Source of the jitter.
    """
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** min(retry - 1, 32))
    return rng.uniform(0.0, ceiling_s)


class RetryPolicy:
    """Decides whether and when a failed attempt is retried.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    budget : RetryBudget, optional
        Budget shared by all requests; a new one by default.
    max_retries : int
        Largest number of retries of one request.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        budget: RetryBudget | None = None,
        max_retries: int = 2,
    ) -> None:
        self.rng = rng
        self.budget = RetryBudget() if budget is None else budget
        self.max_retries = max_retries

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self.budget.record_first_attempt()

    def next_attempt_at(
        self,
        *,
        retry: int,
        dispatched: bool,
        idempotent: bool,
        deadline: float,
        now: float,
    ) -> float | None:
        """Return the time of the next attempt, or None if no retry is allowed.

        Consumes one retry of the budget if a retry is allowed.

        Parameters
        ----------
        retry : int
            1 for the first retry of the request.
        dispatched : bool
            Whether any byte of the request may have reached the upstream.
        idempotent : bool
            Whether the request may run twice.
        deadline : float
            Absolute deadline of the request, in seconds of the same clock as ``now``.
        now : float
            Present time.
        """
        if dispatched and not idempotent:
            return None
        if retry > self.max_retries:
            return None
        at = now + backoff_s(retry=retry, rng=self.rng)
        if at >= deadline or not self.budget.try_acquire():
            return None
        return at
