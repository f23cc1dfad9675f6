"""Records each fault, and the component that it disturbs."""

import time
from dataclasses import dataclass, field

from .disturbances import Disturbances


@dataclass(slots=True, kw_only=True)
class FaultLog:
    """Faults in the order of their begin.

    Attributes
    ----------
    lines : list of (float, str)
        Seconds since the start and description of each fault.
    """

    started_at: float
    disturbances: Disturbances
    lines: list[tuple[float, str]] = field(default_factory=list)

    def add(self, name: str, component: str, seconds: float, detail: str = "") -> None:
        """Record a fault that begins now and disturbs a component for some seconds."""
        now = time.monotonic()
        text = f"{name} {component} {detail}".rstrip()
        self.lines.append((round(now - self.started_at, 2), text))
        self.disturbances.add(component, now, now + seconds)
