"""Periods in which faults disturbed components of the deployment."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Disturbances:
    """Periods in which faults disturbed components of the deployment.

    Attributes
    ----------
    margin_s : float
        A component counts as disturbed for this long after a disturbance.
    spans : list of (str, float, float)
        Component, begin and end of each disturbance. Components are ``store``,
        ``upstreams``, the names of routers, and the paths that the functions of this
        module name.
    """

    margin_s: float = 3.0
    spans: list[tuple[str, float, float]] = field(default_factory=list)

    def add(self, component: str, begin: float, end: float) -> None:
        """Record a disturbance."""
        self.spans.append((component, begin, end))

    def none_during(self, components: Iterable[str], begin: float, end: float) -> bool:
        """Return whether no component was disturbed from ``begin`` to ``end``.

        The time ``margin_s`` before ``begin`` counts as well.
        """
        names = set(components)
        return not any(
            component in names and first <= end and begin - self.margin_s <= last
            for component, first, last in self.spans
        )


def path_to(address: str) -> str:
    """Return the component that stands for an upstream and the path to it."""
    return f"path to {address}"


def store_path_of(router: str) -> str:
    """Return the component that stands for the path from a router to the store."""
    return f"store path of {router}"
