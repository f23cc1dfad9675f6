"""Selects the engines that are ordered to load new weights next.

Load pattern: new weights are announced several times within seconds while the engines
are busy. An engine that carries out an order accepts no requests, so only a share of
the engines loads at a time, those with the fewest requests first. A silent engine gets
no order, because a pending order there would only block orders to the others.
"""

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
    """State of one engine during a rollout."""

    name: str
    version: int
    requests: int
    ordered: bool
    silent: bool


def next_engines(engines: list[RolloutEngine], *, desired_version: int) -> list[str]:
    """Return the names of the engines to order now.

    Examples
    --------
    >>> def engine(name, version, requests):
    ...     return RolloutEngine(name=name, version=version, requests=requests,
    ...                          ordered=False, silent=False)
    >>> next_engines([engine("a", 1, 9), engine("b", 1, 2), engine("c", 2, 0),
    ...               engine("d", 1, 5), engine("e", 1, 7)], desired_version=2)
    ['b', 'd']
    """
    limit = max(1, int(MAX_LOADING_SHARE * len(engines)))
    # A silent engine serves no requests either, so it counts against the limit.
    unavailable = sum(1 for engine in engines if engine.ordered or engine.silent)
    pending = [
        engine
        for engine in engines
        if engine.version < desired_version and not engine.ordered and not engine.silent
    ]
    pending.sort(key=lambda engine: (engine.requests, engine.name))
    free = limit - unavailable
    if not any(engine.ordered for engine in engines):
        # Order at least one engine even if silent ones use up the limit.
        free = max(1, free)
    return [engine.name for engine in pending[: max(0, free)]]
