"""Limits of an organisation, base shares, and allocations that expire.

An allocation is a grant to a router or a loan to another data centre. Its lifetime
starts at the granter when it is given, and at the receiver when the receiver sent its
request, so it expires at the receiver first, however late the reply arrives.
"""

from dataclasses import dataclass, field

# Requests per second, tokens per second, concurrent streams.
Amount = tuple[float, float, float]
ZERO: Amount = (0.0, 0.0, 0.0)
# Demand varies at random; a router that releases too much must refuse requests.
DEMAND_MARGIN = 1.25


@dataclass(slots=True, kw_only=True)
class Limits:
    """Limits of an organisation's plan, in total over all data centres.

    Attributes
    ----------
    streams : int
        Concurrent streams.
    """

    requests_s: float
    tokens_s: float
    streams: int


def base_share(limits: Limits, *, position: int, count: int) -> Amount:
    """Return one of ``count`` equal shares of the limits.

    Parameters
    ----------
    position : int
        Index of the share in sorted order; the first shares get one stream more if
        the streams cannot be divided equally.
    """
    streams, rest = divmod(limits.streams, count)
    return (
        limits.requests_s / count,
        limits.tokens_s / count,
        float(streams + (position < rest)),
    )


def add(left: Amount, right: Amount, sign: float = 1.0) -> Amount:
    """Return ``left + sign * right``."""
    return (
        left[0] + sign * right[0],
        left[1] + sign * right[1],
        left[2] + sign * right[2],
    )


def sum_amounts(amounts: list[Amount]) -> Amount:
    """Return the sum of amounts."""
    total = ZERO
    for amount in amounts:
        total = add(total, amount)
    return total


def fair_shares(demands: dict[str, float], pool: float) -> dict[str, float]:
    """Divide a pool between demands by max-min fairness."""
    shares = {}
    left = max(0.0, pool)
    for count, (name, demand) in enumerate(
        sorted(demands.items(), key=lambda entry: entry[1])
    ):
        shares[name] = min(demand, left / (len(demands) - count))
        left -= shares[name]
    return shares


def retained_amount(requests_s: float, tokens_s: float, streams: int) -> Amount:
    """Return the part of its grants that a router retains with a request."""
    return (DEMAND_MARGIN * requests_s, DEMAND_MARGIN * tokens_s, float(streams))


@dataclass(slots=True)
class Allocations:
    """Unexpired allocations of one granter to one receiver.

    A reply may be lost or late, so the granter counts the largest allocation that has
    not expired. Therefore the receiver may use the largest one that it received.
    """

    entries: list[tuple[Amount, Amount]] = field(default_factory=list)

    def add(self, amount: Amount, deadlines: Amount) -> None:
        """Add an allocation with a deadline for each part of the amount."""
        self.entries = [
            entry
            for entry in self.entries
            if any(
                entry[0][i] > amount[i] or entry[1][i] > deadlines[i] for i in range(3)
            )
        ]
        self.entries.append((amount, deadlines))

    def cap(self, amount: Amount) -> None:
        """Reduce every allocation to at most an amount."""
        self.entries = [
            (
                (
                    min(entry[0][0], amount[0]),
                    min(entry[0][1], amount[1]),
                    min(entry[0][2], amount[2]),
                ),
                entry[1],
            )
            for entry in self.entries
        ]

    def maximum(self, now: float) -> Amount:
        """Return the largest amount that the receiver may use."""
        self.entries = [entry for entry in self.entries if max(entry[1]) > now]
        a, b, c = (
            max(
                (amount[i] for amount, deadlines in self.entries if deadlines[i] > now),
                default=0.0,
            )
            for i in range(3)
        )
        return (a, b, c)

    def rates_until(self, now: float) -> float:
        """Return the last expiry of an allocated rate, or ``now`` without one."""
        return max(
            (entry[1][0] for entry in self.entries if any(entry[0][:2])), default=now
        )
