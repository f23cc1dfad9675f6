"""Preferred engines of a prefix: ranked by its keys, as many as demand requires."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from endivelug import _rendezvous

# Twice the rate of one engine at the design size (3.15 requests/s), because requests
# that hit a hot prefix are short. With 1 instead of 2.5, 11% more was recomputed.
REQUESTS_PER_PREFERRED_S = 6.0
# Time constant of the request rate. A router gets a few requests/s, too few for a
# shorter one.
RATE_TAU_S = 30.0
# The first segment, an organisation's house rules, is small and shared by all its
# prompts. Selecting engines by it would leave others idle, so it is left out.
ROOT_SEGMENTS = 1
# A preferred engine that is dropped must recompute the prefix when demand returns, so
# the number falls slowly.
SHRINK_EVERY_S = 15.0


@dataclass(slots=True, kw_only=True)
class _RequestRate:
    value: float
    at: float
    preferred_count: int = 1
    changed_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Demand:
    """Request rate of prefixes and the number of preferred engines it requires.

    Attributes
    ----------
    limit : int
        Maximum number of prefixes; those with the lowest rate are dropped first.
    scale : float
        Factor from the rate recorded here to the rate of the data centre: in a router
        the number of routers, in an owner 1, because it sees all requests.
    """

    limit: int = 4096
    scale: float = 1.0
    rates: dict[int, _RequestRate] = field(default_factory=dict)

    def record(self, keys: Sequence[int], *, now: float) -> None:
        """Count one request for each key of its prompt.

        Parameters
        ----------
        keys : sequence of int
            Keys of the prompt, root first.
        now : float
            Time in seconds.
        """
        for key in keys:
            rate = self.rates.get(key)
            if rate is None:
                self.rates[key] = _RequestRate(value=1.0 / RATE_TAU_S, at=now)
                continue
            age = max(now - rate.at, 0.0)
            rate.value = rate.value * math.exp(-age / RATE_TAU_S)
            rate.value += 1.0 / RATE_TAU_S
            rate.at = now
            self._adjust(rate, now)
        if len(self.rates) > self.limit:
            self._prune(now)

    def rate(self, key: int, *, now: float) -> float:
        """Return the rate of a key in the whole data centre, in requests/s."""
        rate = self.rates.get(key)
        if rate is None:
            return 0.0
        age = max(now - rate.at, 0.0)
        return self.scale * rate.value * math.exp(-age / RATE_TAU_S)

    def preferred_count(self, key: int, *, now: float) -> int:
        """Return the number of preferred engines for a key, at least 1.

        The number rises at once and falls by one per ``SHRINK_EVERY_S``.
        """
        rate = self.rates.get(key)
        if rate is None:
            return 1
        self._adjust(rate, now)
        return rate.preferred_count

    def _adjust(self, rate: _RequestRate, now: float) -> None:
        age = max(now - rate.at, 0.0)
        current = self.scale * rate.value * math.exp(-age / RATE_TAU_S)
        required = max(1, math.ceil(current / REQUESTS_PER_PREFERRED_S))
        if required >= rate.preferred_count:
            rate.preferred_count = required
            rate.changed_at = now
        elif now - rate.changed_at >= SHRINK_EVERY_S:
            steps = int((now - rate.changed_at) / SHRINK_EVERY_S)
            rate.preferred_count = max(required, rate.preferred_count - steps)
            rate.changed_at = now

    def _prune(self, now: float) -> None:
        order = sorted(
            self.rates, key=lambda key: self.rate(key, now=now), reverse=True
        )
        for key in order[self.limit // 2 :]:
            del self.rates[key]


def selection_keys(keys: Sequence[int]) -> Sequence[int]:
    """Return the keys that select preferred engines: all but the root and the last.

    The last segment is the caller's own question, which no other prompt shares.
    """
    return keys[ROOT_SEGMENTS:-1]


def demand_key(keys: Sequence[int]) -> int:
    """Return the key to which `EngineView.preferred_count` refers.

    Examples
    --------
    >>> demand_key([1, 2, 3, 4]), demand_key([1, 2]), demand_key([1])
    (2, 2, 1)
    """
    return keys[min(ROOT_SEGMENTS, len(keys) - 1)]


def rank_engines(key: int, engines: Sequence[str]) -> list[str]:
    """Return the engines in their order of preference for a key."""
    return _rendezvous.rank(f"prefix:{key:016x}", engines)


@dataclass(slots=True, kw_only=True)
class RankCache:
    """Cache of engine rankings for recent keys; ranking 53 engines takes 40 us.

    Attributes
    ----------
    limit : int
        Maximum number of keys; the oldest is dropped first.
    """

    limit: int = 256
    engines: tuple[str, ...] = ()
    ranks: dict[int, list[str]] = field(default_factory=dict)

    def rank(self, key: int, engines: Sequence[str]) -> list[str]:
        """Return the cached `rank_engines` of a sorted sequence of engines."""
        if self.engines != tuple(engines):
            self.engines = tuple(engines)
            self.ranks.clear()
        ranked = self.ranks.get(key)
        if ranked is None:
            if len(self.ranks) >= self.limit:
                del self.ranks[next(iter(self.ranks))]
            ranked = self.ranks[key] = rank_engines(key, engines)
        return ranked


def preference_distances(
    keys: Sequence[int],
    counts: Sequence[int],
    engines: Sequence[str],
    *,
    ranks: RankCache | None = None,
) -> dict[str, int]:
    """Return the distance of each engine from the preferred engines of a prompt.

    This is a pure function of its arguments. The preferred engines of a longer prefix
    are a subset of those of the shorter one, so that no more engines cache a long
    shared segment than its demand requires, and all routers divert work to the same
    engines in the same order.

    Parameters
    ----------
    keys : sequence of int
        Keys of the prompt, root first.
    counts : sequence of int
        Number of preferred engines for each key.
    engines : sequence of str
        Names of the live engines that serve the model's weights version.
    ranks : RankCache or None
        Cache of the rankings of all engines.

    Returns
    -------
    dict of str to int
        Every engine in order of preference: 0 for the preferred engines of the
        longest prefix, then 1, 2, ... for the others.

    Examples
    --------
    >>> distances = preference_distances([1, 2], [3, 1], ["a", "b", "c", "d"])
    >>> distances == preference_distances([1, 2], [3, 1], ["d", "c", "b", "a"])
    True
    >>> sorted(distances.values())
    [0, 1, 2, 3]
    >>> shorter = preference_distances([1], [3], ["a", "b", "c", "d"])
    >>> list(distances)[3] == list(shorter)[3]
    True
    """
    preferred = sorted(engines)
    others: list[str] = []
    for key, count in zip(keys, counts, strict=True):
        if len(preferred) == 1:
            break
        if count < len(preferred):
            if ranks is not None and len(preferred) == len(engines):
                ranked = ranks.rank(key, preferred)
            else:
                ranked = rank_engines(key, preferred)
            preferred, others = ranked[:count], ranked[count:] + others
    distances = dict.fromkeys(preferred, 0)
    for distance, name in enumerate(others, start=1):
        distances[name] = distance
    return distances
