"""Quota of an organisation, and what a deployment tolerates beyond it."""

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(slots=True, kw_only=True, frozen=True)
class Quota:
    """Limit on the requests of an organisation at all VMs together.

    Attributes
    ----------
    rate : float
        Units per second, above 0.
    burst : float
        Units beyond the rate that may be used at once.
    default_tokens : int
        Tokens of a request that does not state its prompt and output.
    """

    rate: float
    burst: float
    unit: QuotaUnit
    default_tokens: int = 0

    def units_of(self, *, tokens: int | None) -> int:
        """Return what a request counts.

        Parameters
        ----------
        tokens : int or None
            Prompt and maximum output tokens; None if the request does not state them.

        Examples
        --------
        >>> quota = Quota(rate=9.0, burst=0.0, unit=QuotaUnit.TOKENS, default_tokens=7)
        >>> quota.units_of(tokens=30), quota.units_of(tokens=None)
        (30, 7)
        """
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1
            case QuotaUnit.TOKENS:
                return self.default_tokens if tokens is None else tokens


@dataclass(slots=True, kw_only=True, frozen=True)
class Tolerance:
    """Bound on what runs beyond a quota in any window.

    In each window at most ``(rate * window_s + burst) * (1 + over) + slack`` units of
    an organisation may run.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 190_000.0

    def limit(self, quota: Quota) -> float:
        """Return the units of a quota in a window, without any tolerance."""
        return quota.rate * self.window_s + quota.burst

    def allowance(self, quota: Quota) -> float:
        """Return the units beyond the quota that may run in a window.

        Examples
        --------
        >>> quota = Quota(rate=10.0, burst=20.0, unit=QuotaUnit.REQUESTS)
        >>> Tolerance(window_s=8.0, over=0.1, slack=5.0).allowance(quota)
        15.0
        """
        return self.over * self.limit(quota) + self.slack
