"""Selects the cache from which an engine copies leading segments of a prompt.

Load pattern: a shared prefix that one engine or a cache store has cached is needed at
another engine. Copying takes a fraction of the time of a prefill, so the cache with the
most leading tokens is chosen. Among equal ones a cache store comes first, because it
evicts segments much later than an engine, and each router knows only part of an
engine's memory use; then the fastest path decides. The caches are looked up once for
each prompt and not for each engine that may get it.
"""

from dataclasses import dataclass, field

# Approximate set-up time of a transfer, which passes two links.
TRANSFER_SETUP_S = 0.01
# Factor on the duration of a transfer between data centres.
REMOTE_TRANSFER_FACTOR = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class CacheLocation:
    """An engine or a cache store that may have leading segments of a prompt.

    Attributes
    ----------
    mbps : float
        Transfer rate from this cache.
    tokens : int
        Number of leading prompt tokens that are cached there.
    store : bool
        Whether it is a cache store and not an engine.
    """

    address: str
    data_centre: str
    mbps: float
    tokens: int
    store: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class CopySource:
    """Address to copy from, leading tokens cached there, and expected duration."""

    address: str | None = None
    tokens: int = 0
    seconds: float = 0.0


@dataclass(slots=True, kw_only=True)
class CopySources:
    """Caches that have the most leading tokens of one prompt.

    Parameters
    ----------
    token_bytes : float
        Bytes of KV cache per token.
    fallback : str or None
        Address to copy from if no usable cache is known.

    Examples
    --------
    >>> near = CacheLocation(address="a", data_centre="dc1", mbps=1000.0, tokens=500)
    >>> far = CacheLocation(address="b", data_centre="dc2", mbps=1000.0, tokens=500)
    >>> sources = CopySources(token_bytes=1000.0, fallback=None)
    >>> sources.add(far); sources.add(near)
    >>> sources.best_for(address="c", data_centre="dc1", cached_tokens=0).address
    'a'
    >>> best = sources.best_for(address="c", data_centre="dc1", cached_tokens=500)
    >>> best.address is None
    True
    >>> store = CacheLocation(
    ...     address="s", data_centre="dc2", mbps=100.0, tokens=500, store=True)
    >>> sources.add(store)
    >>> sources.best_for(address="c", data_centre="dc1", cached_tokens=0).address
    's'
    """

    token_bytes: float
    fallback: str | None
    locations: list[CacheLocation] = field(default_factory=list)

    def add(self, location: CacheLocation) -> None:
        """Add a cache; only those with the most tokens are kept."""
        most = self.locations[0].tokens if self.locations else 1
        if location.tokens > most:
            self.locations.clear()
        if location.tokens >= most:
            self.locations.append(location)

    def best_for(
        self, *, address: str, data_centre: str, cached_tokens: int
    ) -> CopySource:
        """Return the copy source for an engine that has some tokens cached itself."""
        usable = [
            (
                not location.store,
                self._transfer_s(location, data_centre, cached_tokens),
                location,
            )
            for location in self.locations
            if location.tokens > cached_tokens and location.address != address
        ]
        if not usable:
            return CopySource(address=self.fallback)
        _, seconds, best = min(usable, key=lambda item: item[:2])
        return CopySource(address=best.address, tokens=best.tokens, seconds=seconds)

    def _transfer_s(
        self, location: CacheLocation, data_centre: str, cached_tokens: int
    ) -> float:
        bits = (location.tokens - cached_tokens) * self.token_bytes * 8
        factor = 1.0 if location.data_centre == data_centre else REMOTE_TRANSFER_FACTOR
        return TRANSFER_SETUP_S + factor * bits / (location.mbps * 1e6)
