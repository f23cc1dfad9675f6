"""Queue of requests that wait at the router for a free upstream.

Load pattern: more requests than the engines can serve for some seconds. Requests are
sent by priority. Within a priority, requests whose target can still be met precede late
ones, returning callers precede new ones, and earlier targets precede later ones. The
order is kept up to date with each change, so that neither a new request nor a free slot
costs work that grows with the queue.
"""

import bisect
import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

_numbers = itertools.count()


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
    tokens : int
        Tokens of its prompt and its output.
    number : int
        Position in the order of arrival; it decides between equal requests.
    """

    request: str
    service: str
    priority: int
    returning: bool
    target_at: float
    expires_at: float
    expected_s: float = 0.0
    tokens: int = 0
    number: int = field(default_factory=lambda: next(_numbers))

    @property
    def late_at(self) -> float:
        """Time from which the target can no longer be met."""
        return self.target_at - self.expected_s


@dataclass(slots=True, kw_only=True, frozen=True)
class QueueAhead:
    """Requests that are sent before one request, and their tokens."""

    requests: int
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Section:
    """Requests of equal priority, lateness and return, by target."""

    items: list[tuple[float, int, QueuedRequest]] = field(default_factory=list)
    tokens: int = 0

    def add(self, item: QueuedRequest) -> None:
        bisect.insort(self.items, (item.target_at, item.number, item))
        self.tokens += item.tokens

    def remove(self, item: QueuedRequest) -> None:
        del self.items[self.position(item)]
        self.tokens -= item.tokens

    def position(self, item: QueuedRequest) -> int:
        return bisect.bisect_left(self.items, (item.target_at, item.number))


@dataclass(slots=True, kw_only=True)
class _Level:
    """Requests of one service and priority.

    Attributes
    ----------
    sections : list of _Section
        Returning and new callers that can be on time, returning and new ones that are
        late, in the order of sending.
    section_of : dict of int to int
        Section of each request, by its number: one that waits again has another.
    becoming_late : list
        Heap of the requests that can be on time, by the time at which they become late;
        requests that have left remain in it until then.
    """

    sections: list[_Section] = field(
        default_factory=lambda: [_Section() for _ in range(4)]
    )
    section_of: dict[int, int] = field(default_factory=dict)
    becoming_late: list[tuple[float, int, QueuedRequest]] = field(default_factory=list)

    def add(self, item: QueuedRequest) -> None:
        self._put(item, 0 if item.returning else 1)
        heapq.heappush(self.becoming_late, (item.late_at, item.number, item))

    def remove(self, item: QueuedRequest) -> None:
        self.sections[self.section_of.pop(item.number)].remove(item)

    def advance(self, now: float) -> None:
        """Move the requests that have become late."""
        while self.becoming_late and self.becoming_late[0][0] <= now:
            item = heapq.heappop(self.becoming_late)[2]
            if self.section_of.get(item.number, 2) < 2:
                self.remove(item)
                self._put(item, 2 if item.returning else 3)

    def ahead_of(self, item: QueuedRequest) -> QueueAhead:
        """Return the requests before this one; their tokens are an estimate."""
        index = self.section_of[item.number]
        section = self.sections[index]
        position = section.position(item)
        before = self.sections[:index]
        # Exact tokens would need a sum over the requests before it.
        share = position / len(section.items)
        return QueueAhead(
            requests=position + sum(len(other.items) for other in before),
            tokens=int(share * section.tokens) + sum(other.tokens for other in before),
        )

    def _put(self, item: QueuedRequest, index: int) -> None:
        self.sections[index].add(item)
        self.section_of[item.number] = index


@dataclass(slots=True, kw_only=True)
class RequestQueue:
    """Queued requests of all services, by request id.

    Attributes
    ----------
    levels : dict of str to dict of int to _Level
        Requests by service and priority; a level without requests is removed.
    """

    requests: dict[str, QueuedRequest] = field(default_factory=dict)
    levels: dict[str, dict[int, _Level]] = field(default_factory=dict)

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        self.requests[waiting.request] = waiting
        levels = self.levels.setdefault(waiting.service, {})
        levels.setdefault(waiting.priority, _Level()).add(waiting)

    def remove(self, request: str) -> None:
        """Remove a request that was sent, refused or abandoned by its caller."""
        item = self.requests.pop(request, None)
        if item is None:
            return
        levels = self.levels[item.service]
        level = levels[item.priority]
        level.remove(item)
        if not level.section_of:
            del levels[item.priority]
            if not levels:
                del self.levels[item.service]

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        levels = self.levels.get(service, {})
        return sum(len(level.section_of) for level in levels.values())

    def has_precedence(self, service: str, priority: int) -> bool:
        """Return whether a request that is at least as urgent waits."""
        return any(level <= priority for level in self.levels.get(service, ()))

    def ahead_of(self, request: str, *, now: float) -> QueueAhead:
        """Return what is sent before a queued request."""
        item = self.requests[request]
        level = self.levels[item.service][item.priority]
        level.advance(now)
        return self._with_more_urgent(item, level.ahead_of(item))

    def ahead_when_late(self, request: str, *, now: float) -> QueueAhead:
        """Return what is sent before a queued request once it is late.

        These are all others that can be on time; those that are late by then may well
        be refused.
        """
        item = self.requests[request]
        level = self.levels[item.service][item.priority]
        level.advance(now)
        on_time = level.sections[:2]
        own = level.section_of[item.number] < 2
        return self._with_more_urgent(
            item,
            QueueAhead(
                requests=sum(len(section.items) for section in on_time) - own,
                tokens=sum(section.tokens for section in on_time) - own * item.tokens,
            ),
        )

    def _with_more_urgent(self, item: QueuedRequest, own: QueueAhead) -> QueueAhead:
        requests, tokens = own.requests, own.tokens
        for priority, other in self.levels[item.service].items():
            if priority < item.priority:
                requests += len(other.section_of)
                tokens += sum(section.tokens for section in other.sections)
        return QueueAhead(requests=requests, tokens=tokens)

    def in_send_order(self, service: str, *, now: float) -> Iterator[QueuedRequest]:
        """Yield the requests of a service in the order in which to send them.

        The queue must not change meanwhile.
        """
        levels = self.levels.get(service, {})
        for priority in sorted(levels):
            level = levels[priority]
            level.advance(now)
            for section in level.sections:
                for _, _, item in section.items:
                    yield item
