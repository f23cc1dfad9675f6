"""Queue of requests that wait at the router for a free upstream.

Load pattern: more requests than the engines can serve for some seconds. Requests are
sent by priority. Within a priority, requests whose target can still be met precede late
ones, returning callers precede new ones, and earlier targets precede later ones.
"""

import heapq
import itertools
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """One queued request.

    Attributes
    ----------
    returning : bool
        Whether the caller was refused before and waited for the ``Retry-After`` time.
    expected_s : float
        Expected time from sending to the first byte.
    target_at, expires_at : float
        Target time of the first byte, and the time at which the request leaves the
        queue unsent.
    """

    request: str
    service: str
    priority: int
    returning: bool
    target_at: float
    expires_at: float
    expected_s: float = 0.0

    def sort_key(self, *, now: float) -> tuple[int, bool, bool, float]:
        """Return the sort key; requests with smaller keys are sent first."""
        late = self.target_at - self.expected_s <= now
        return (self.priority, late, not self.returning, self.target_at)


@dataclass(slots=True, kw_only=True)
class RequestQueue:
    """Queued requests of all services, by request id."""

    requests: dict[str, QueuedRequest] = field(default_factory=dict)

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        self.requests[waiting.request] = waiting

    def remove(self, request: str) -> None:
        """Remove a request that was sent, refused or abandoned by its caller."""
        self.requests.pop(request, None)

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return sum(1 for item in self.requests.values() if item.service == service)

    def in_send_order(self, service: str, *, now: float) -> list[QueuedRequest]:
        """Return the requests of a service in the order in which to send them."""
        counter = itertools.count()
        heap = [
            (item.sort_key(now=now), next(counter), item)
            for item in self.requests.values()
            if item.service == service
        ]
        heapq.heapify(heap)
        return [heapq.heappop(heap)[2] for _ in range(len(heap))]
