"""Outstanding requests of one engine, as announced by the routers."""

import heapq
import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

INTERACTIVE = "interactive"
BATCH = "batch"
# Cache events arrive up to a second late. Until then, keys computed by a finished
# prefill still count as about to be cached.
ANNOUNCED_AFTER_PREFILL_S = 2.0
# Time constant of the decaying sum of announced tokens. With a shorter one, noise looks
# like an imbalance between the engines.
RECENT_TOKENS_TAU_S = 120.0


@dataclass(slots=True, kw_only=True)
class OutstandingRequest:
    """One announced request that has not ended.

    Attributes
    ----------
    work_class : str
        ``interactive`` or ``batch``.
    tokens : int
        Prefill tokens still to be computed; 0 after prefill.
    keys : tuple of int
        Keys that the engine will have cached after prefill; empty after prefill.
    deadline : float
        Time in seconds at which the request expires unless a ``Finish`` arrives.
    prefilled : bool
        Whether prefill was reported as done.
    """

    work_class: str
    tokens: int
    keys: tuple[int, ...]
    deadline: float
    prefilled: bool = False


@dataclass(slots=True, kw_only=True)
class OutstandingWork:
    """Announced requests of one engine that have not ended.

    Attributes
    ----------
    requests : dict of bytes to OutstandingRequest
        The requests by request id.
    tokens : dict of str to int
        Outstanding prefill tokens by work class.
    announced_keys : dict of int to int
        Keys that are about to be cached, with the number of requests that announced
        each of them.
    """

    requests: dict[bytes, OutstandingRequest] = field(default_factory=dict)
    tokens: dict[str, int] = field(default_factory=lambda: {INTERACTIVE: 0, BATCH: 0})
    announced_keys: dict[int, int] = field(default_factory=dict)
    # Decaying sum of announced tokens and the time at which it was computed.
    _recent_tokens: tuple[float, float] = (0.0, 0.0)
    # Heap of (deadline, request id); ended requests stay until they expire.
    _expiry: list[tuple[float, bytes]] = field(default_factory=list)
    # Times until which keys of prefilled requests stay in ``announced_keys``, and keys.
    _prefilled_keys: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)

    @property
    def request_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self.requests)

    def recent_tokens(self, now: float) -> int:
        """Return the exponentially decaying sum of all announced prefill tokens.

        The sum is a measure of the evictions from the engine's cache.
        """
        tokens, at = self._recent_tokens
        return int(tokens * math.exp((at - now) / RECENT_TOKENS_TAU_S))

    def add(
        self,
        *,
        request: bytes,
        work_class: str,
        tokens: int,
        keys: Sequence[int],
        ttl_s: float,
        now: float,
    ) -> None:
        """Add a request; an earlier one with the same id is replaced.

        Parameters
        ----------
        request : bytes
            Request id.
        work_class : str
            ``interactive`` or ``batch``.
        tokens : int
            Prefill tokens that the engine has to compute.
        keys : sequence of int
            Keys that the engine will have cached after prefill.
        ttl_s : float
            Seconds after which the request expires.
        now : float
            Time in seconds.
        """
        self.expire(now)
        self._remove(request)
        entry = OutstandingRequest(
            work_class=work_class,
            tokens=max(tokens, 0),
            keys=tuple(keys),
            deadline=now + ttl_s,
        )
        self.requests[request] = entry
        self.tokens[work_class] = self.tokens.get(work_class, 0) + entry.tokens
        self._recent_tokens = (self.recent_tokens(now) + entry.tokens, now)
        for key in entry.keys:
            self.announced_keys[key] = self.announced_keys.get(key, 0) + 1
        heapq.heappush(self._expiry, (entry.deadline, request))

    def finish(self, *, request: bytes, over: bool, now: float) -> None:
        """Record that a request has finished prefill or has ended.

        A request that ends before its prefill was reported as done has failed: its
        keys no longer count as about to be cached.

        Parameters
        ----------
        request : bytes
            Request id; an unknown one is ignored.
        over : bool
            Whether the request has ended; False if only prefill is done.
        now : float
            Time in seconds.
        """
        self.expire(now)
        entry = self.requests.get(request)
        if entry is None:
            return
        if over:
            self._remove(request)
        elif not entry.prefilled:
            self.tokens[entry.work_class] -= entry.tokens
            entry.tokens = 0
            entry.prefilled = True
            # Appending keeps the list sorted by time because the delay is constant.
            self._prefilled_keys.append((now + ANNOUNCED_AFTER_PREFILL_S, entry.keys))
            entry.keys = ()

    def expire(self, now: float) -> None:
        """Remove the requests whose deadline has passed."""
        while self._expiry and self._expiry[0][0] <= now:
            deadline, request = heapq.heappop(self._expiry)
            entry = self.requests.get(request)
            if entry is not None and entry.deadline <= deadline:
                self._remove(request)
        expired = 0
        while (
            expired < len(self._prefilled_keys)
            and self._prefilled_keys[expired][0] <= now
        ):
            self._release_keys(self._prefilled_keys[expired][1])
            expired += 1
        del self._prefilled_keys[:expired]

    def clear(self) -> None:
        """Remove everything after a restart of the engine, which has lost its work."""
        self.requests.clear()
        self.tokens = dict.fromkeys(self.tokens, 0)
        self.announced_keys.clear()
        self._expiry.clear()
        self._prefilled_keys.clear()

    def _remove(self, request: bytes) -> None:
        entry = self.requests.pop(request, None)
        if entry is not None:
            self.tokens[entry.work_class] -= entry.tokens
            self._release_keys(entry.keys)

    def _release_keys(self, keys: Collection[int]) -> None:
        for key in keys:
            left = self.announced_keys.get(key, 0) - 1
            if left > 0:
                self.announced_keys[key] = left
            else:
                self.announced_keys.pop(key, None)
