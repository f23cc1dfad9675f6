"""Requests that wait at the router until an upstream can take them.

Load pattern: more work than the engines can take for some seconds. Urgent requests go
first; within a priority those whose target can still be met go before those that are
late anyway, earliest target first.
"""

import heapq
import itertools
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Waiting:
    """One waiting request.

    Attributes
    ----------
    returning : bool
        Whether the caller was refused before and came back as asked.
    need_s : float
        Expected time to the first byte once it is sent.
    target_at, give_up_at : float
        Target of the first byte, and the time after which sending is useless.
    """

    request: str
    service: str
    priority: int
    returning: bool
    target_at: float
    give_up_at: float
    need_s: float = 0.0

    def rank(self, *, now: float) -> tuple[int, bool, bool, float]:
        """Return the sort key; smaller goes first."""
        late = self.target_at - self.need_s <= now
        return (self.priority, late, not self.returning, self.target_at)


@dataclass(slots=True, kw_only=True)
class WaitingRequests:
    """Waiting requests by service."""

    requests: dict[str, Waiting] = field(default_factory=dict)

    def add(self, waiting: Waiting) -> None:
        """Add a request."""
        self.requests[waiting.request] = waiting

    def remove(self, request: str) -> None:
        """Remove a request that was sent, refused or left by its caller."""
        self.requests.pop(request, None)

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return sum(1 for item in self.requests.values() if item.service == service)

    def in_order(self, service: str, *, now: float) -> list[Waiting]:
        """Return the requests of a service in the order of sending."""
        counter = itertools.count()
        heap = [
            (item.rank(now=now), next(counter), item)
            for item in self.requests.values()
            if item.service == service
        ]
        heapq.heapify(heap)
        return [heapq.heappop(heap)[2] for _ in range(len(heap))]
