"""Divides free slots among the requests that wait at different VMs.

Load pattern: all engines are busy, and each of hundreds of VMs has a few requests that
wait. An engine that becomes free, for example after it has loaded new weights, looks
free to all of them at once, and they would send ten times the requests that it can run.
Each VM therefore takes the part of the free slots that its own waiting requests are of
all waiting requests. Most parts are below one slot, so a random draw rounds them.
"""

import math
import random
from dataclasses import dataclass

from endivelug.forwarding.candidate_sampling import REPORT_AGE_S


@dataclass(slots=True, kw_only=True)
class _Window:
    """Requests sent to one engine since a time, and the draw that rounds the part."""

    until: float
    draw: float
    sent: int = 0


class SlotShares:
    """Bounds how many requests this VM sends to an engine before it hears of others.

    Examples
    --------
    >>> shares = SlotShares(rng=random.Random(1))
    >>> alone = {"free": 4, "waiting": 2, "waiting_everywhere": 2}
    >>> shares.may_send("e1", long=False, now=0.0, **alone)
    True
    >>> crowd = {"free": 4, "waiting": 1, "waiting_everywhere": 4000}
    >>> shares.may_send("e2", long=False, now=0.0, **crowd)
    False
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self._windows: dict[tuple[str, bool], _Window] = {}

    def may_send(
        self,
        engine: str,
        *,
        long: bool,
        free: int,
        waiting: int,
        waiting_everywhere: int,
        now: float,
    ) -> bool:
        """Return whether another request may be sent to an engine.

        Parameters
        ----------
        long : bool
            Whether the request has a long prompt; these have a part of their own.
        free : int
            Requests that the engine can take, as far as this VM knows.
        waiting, waiting_everywhere : int
            Requests that wait at this VM, with this one, and at all VMs.
        """
        if waiting_everywhere <= waiting:
            return True
        window = self._window(engine, long, now)
        share = free * waiting / waiting_everywhere
        return window.sent < math.floor(share + window.draw)

    def record_sent(self, engine: str, *, long: bool, now: float) -> None:
        """Count a request that is sent to an engine."""
        self._window(engine, long, now).sent += 1

    def forget(self, engine: str) -> None:
        """Drop the counts of an engine that no longer exists."""
        for long in (False, True):
            self._windows.pop((engine, long), None)

    def _window(self, engine: str, long: bool, now: float) -> _Window:
        window = self._windows.get((engine, long))
        if window is None or window.until <= now:
            window = _Window(until=now + REPORT_AGE_S, draw=self.rng.random())
            self._windows[engine, long] = window
        return window
