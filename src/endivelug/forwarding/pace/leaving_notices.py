"""Tells the other VMs of upstreams that stated that they are leaving."""

import random
from collections.abc import Callable

from endivelug.forwarding.instances import InstanceRegistry
from endivelug.forwarding.peer_messages import incarnation_name

# Notices expire, and a VM that has just started or linked again knows none. So a notice
# is repeated at this interval, with a random addition: of several VMs that got the
# statement, the first one to repeat it spares the others.
REPEAT_S = 2.0
REPEAT_JITTER_S = 1.0
# Lifetime of a notice; it covers the longest interval.
NOTICE_S = 4.0


class LeavingNotices:
    """Announces departures, and repeats them until the registry has them.

    Parameters
    ----------
    send : callable
        Sends a notice with a name and its lifetime in seconds.

    Attributes
    ----------
    repeat_at : dict of (str, int) to float
        Incarnations of which this VM got the statement itself, and when the notice is
        due again.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        send: Callable[[str, float], None],
        rng: random.Random,
    ) -> None:
        self.registry = registry
        self.send = send
        self.rng = rng
        self.repeat_at: dict[tuple[str, int], float] = {}

    def announce(self, incarnation: tuple[str, int], *, now: float) -> None:
        """Announce an incarnation that stated that it is leaving."""
        self.send(incarnation_name(*incarnation), NOTICE_S)
        self.repeat_at[incarnation] = now + self._interval_s()

    def repeat(self, *, now: float) -> None:
        """Repeat the notices that are due, and forget those that are not needed."""
        for incarnation, due_at in list(self.repeat_at.items()):
            if not self.registry.leaves_unlisted(incarnation):
                del self.repeat_at[incarnation]
            elif now >= due_at:
                told_at = self.registry.leaving[incarnation]
                if now < told_at + REPEAT_S:
                    self.repeat_at[incarnation] = told_at + self._interval_s()
                else:
                    self.announce(incarnation, now=now)

    def _interval_s(self) -> float:
        return REPEAT_S + self.rng.random() * REPEAT_JITTER_S
