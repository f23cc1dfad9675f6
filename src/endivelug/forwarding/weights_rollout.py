"""Which engines are ordered to take new weights, and when.

Load pattern: new weights are named several times within seconds while the engines are
busy. An engine under an order takes no request, so only a part of the engines is
ordered at a time, those with the least work first. A silent engine is left out, because
its order would only hold up the others.
"""

from dataclasses import dataclass
from enum import Enum

# Part of the engines that may load weights at the same time: more of them slow each
# other down, and the rest has to carry the requests.
AT_ONCE_SHARE = 0.4


class OrderReply(Enum):
    """What an engine answers to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineReport:
    """What an engine reports of itself.

    Attributes
    ----------
    versions : dict of str to int
        Version of the weights by model.
    busy : bool
        Whether an order is in progress.
    orders : int
        Orders accepted since its start.
    """

    versions: dict[str, int]
    busy: bool
    orders: int


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsOrder:
    """An order for new weights.

    Attributes
    ----------
    expected_orders : int
        The engine refuses the order where it has accepted another number of orders.
    """

    model: str
    version: int
    holder: str
    fencing: int
    expected_orders: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RolloutEngine:
    """One engine as the rollout sees it."""

    name: str
    version: int
    requests: int
    ordered: bool
    silent: bool


def next_engines(engines: list[RolloutEngine], *, wanted: int) -> list[str]:
    """Return the engines to order now.

    Examples
    --------
    >>> def engine(name, version, requests):
    ...     return RolloutEngine(name=name, version=version, requests=requests,
    ...                          ordered=False, silent=False)
    >>> next_engines([engine("a", 1, 9), engine("b", 1, 2), engine("c", 2, 0),
    ...               engine("d", 1, 5), engine("e", 1, 7)], wanted=2)
    ['b', 'd']
    """
    limit = max(1, int(AT_ONCE_SHARE * len(engines)))
    # An engine that is silent carries nothing either.
    under_order = sum(1 for engine in engines if engine.ordered or engine.silent)
    waiting = [
        engine
        for engine in engines
        if engine.version < wanted and not engine.ordered and not engine.silent
    ]
    waiting.sort(key=lambda engine: (engine.requests, engine.name))
    free = limit - under_order
    if not any(engine.ordered for engine in engines):
        # The rollout goes on also where many engines are silent.
        free = max(1, free)
    return [engine.name for engine in waiting[: max(0, free)]]
