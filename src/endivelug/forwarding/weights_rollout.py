"""Selects the engines that are ordered to load new weights next.

Load pattern: new weights are announced several times within seconds while the engines
are busy. An engine that carries out an order accepts no requests, so only a share of
the engines loads at a time, those with the fewest requests first. More load at a time
if the others would otherwise still have the old weights when these may no longer be
used. A silent engine gets no order, because a pending order there would only block
orders to the others.
"""

import math
from dataclasses import dataclass
from enum import Enum

# Share of the engines that may load weights at the same time. More would slow each
# other down, and the remaining engines have to serve all requests.
MAX_LOADING_SHARE = 0.4
# Longest time from the sending of an order to its arrival or the end of its connection.
ORDER_TIMEOUT_S = 0.6


class OrderReply(Enum):
    """Reply of an engine to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineReport:
    """State that an engine reports.

    Attributes
    ----------
    versions : dict of str to int
        Weights version by model.
    busy : bool
        Whether an order is in progress.
    orders : int
        Number of orders accepted since the engine's start.
    """

    versions: dict[str, int]
    busy: bool
    orders: int


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsOrder:
    """An order to load new weights.

    Attributes
    ----------
    holder : str
        The lease holder that gives the order.
    fencing : int
        Fencing number of the lease.
    expected_orders : int
        Number of orders that the engine must have accepted before; it refuses the order
        if the numbers differ.
    """

    model: str
    version: int
    holder: str
    fencing: int
    expected_orders: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RolloutEngine:
    """State of one engine during a rollout.

    Attributes
    ----------
    usable_until : float
        Time from which no request may begin on its weights.
    """

    name: str
    version: int
    requests: int
    ordered: bool
    silent: bool
    usable_until: float = float("inf")


def next_engines(
    engines: list[RolloutEngine],
    *,
    desired_version: int,
    now: float = 0.0,
    order_s: float = 0.0,
) -> list[str]:
    """Return the names of the engines to order now.

    Parameters
    ----------
    order_s : float
        Expected time from an order to its completion.

    Examples
    --------
    >>> def engine(name, version, requests, usable_until=60.0):
    ...     return RolloutEngine(name=name, version=version, requests=requests,
    ...                          ordered=False, silent=False,
    ...                          usable_until=usable_until)
    >>> engines = [engine("a", 1, 9), engine("b", 1, 2), engine("c", 2, 0),
    ...            engine("d", 1, 5), engine("e", 1, 7)]
    >>> next_engines(engines, desired_version=2, order_s=3.0)
    ['b', 'd']
    >>> next_engines(engines, desired_version=2, now=56.0, order_s=3.0)
    ['b', 'd', 'e', 'a']
    """
    limit = max(1, int(MAX_LOADING_SHARE * len(engines)))
    # A silent engine serves no requests either, so it counts against the limit.
    unavailable = sum(1 for engine in engines if engine.ordered or engine.silent)
    pending = [
        engine
        for engine in engines
        if engine.version < desired_version and not engine.ordered and not engine.silent
    ]
    # An engine whose weights are too old serves nothing, so it is ordered at once.
    pending.sort(
        key=lambda engine: (engine.usable_until > now, engine.requests, engine.name)
    )
    expired = sum(1 for engine in pending if engine.usable_until <= now)
    ordered = sum(1 for engine in engines if engine.ordered)
    free = max(
        limit - unavailable,
        _needed_orders(pending[expired:], now=now, order_s=order_s) - ordered,
        # Order at least one engine even if silent ones use up the limit.
        0 if ordered else 1,
    )
    return [engine.name for engine in pending[: max(expired, free)]]


def _needed_orders(engines: list[RolloutEngine], *, now: float, order_s: float) -> int:
    """Return how many orders at a time complete all before the weights are too old."""
    if not engines:
        return 0
    left_s = min(engine.usable_until for engine in engines) - now
    rounds = max(1, math.floor(left_s / order_s)) if order_s > 0 else len(engines)
    return math.ceil(len(engines) / rounds)
