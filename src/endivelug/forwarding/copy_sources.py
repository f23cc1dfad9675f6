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
class Holder:
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
    >>> near = Holder(address="a", data_centre="dc1", mbps=1000.0, tokens=500)
    >>> far = Holder(address="b", data_centre="dc2", mbps=1000.0, tokens=500)
    >>> sources = CopySources(token_bytes=1000.0, fallback=None)
    >>> sources.add(far); sources.add(near)
    >>> sources.best_for(address="c", data_centre="dc1", held=0).address
    'a'
    >>> sources.best_for(address="c", data_centre="dc1", held=500).address is None
    True
    >>> sources.add(Holder(address="s", data_centre="dc2", mbps=100.0, tokens=500,
    ...                    store=True))
    >>> sources.best_for(address="c", data_centre="dc1", held=0).address
    's'
    """

    token_bytes: float
    fallback: str | None
    holders: list[Holder] = field(default_factory=list)

    def add(self, holder: Holder) -> None:
        """Add a cache; only those with the most tokens are kept."""
        most = self.holders[0].tokens if self.holders else 1
        if holder.tokens > most:
            self.holders.clear()
        if holder.tokens >= most:
            self.holders.append(holder)

    def best_for(self, *, address: str, data_centre: str, held: int) -> CopySource:
        """Return the copy source for an engine that has some tokens cached itself."""
        usable = [
            (not holder.store, self._transfer_s(holder, data_centre, held), holder)
            for holder in self.holders
            if holder.tokens > held and holder.address != address
        ]
        if not usable:
            return CopySource(address=self.fallback)
        _, seconds, best = min(usable, key=lambda item: item[:2])
        return CopySource(address=best.address, tokens=best.tokens, seconds=seconds)

    def _transfer_s(self, holder: Holder, data_centre: str, held: int) -> float:
        bits = (holder.tokens - held) * self.token_bytes * 8
        factor = 1.0 if holder.data_centre == data_centre else REMOTE_TRANSFER_FACTOR
        return TRANSFER_SETUP_S + factor * bits / (holder.mbps * 1e6)
