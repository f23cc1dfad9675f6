"""Choice of the holder from which an engine copies leading parts of a prompt.

Load pattern: a guide that one engine or the cache store keeps is needed at another
engine. Copying takes a fraction of the time of reading, so the holder with the most
leading parts is taken. Among equal ones a store goes first, because it drops parts much
later than an engine, of whose memory each router sees only a part; then the fastest
path. The holders are looked up once for each prompt and not for each engine that may
get it.
"""

from dataclasses import dataclass, field

# A transfer goes through two links; set-up takes about this long.
FETCH_SETUP_S = 0.01
# Transfers between data centres take this much longer.
FAR_FACTOR = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Holder:
    """An engine or a store that keeps leading parts.

    Attributes
    ----------
    mbps : float
        Rate of transfers from it.
    tokens : int
        Leading tokens of the prompt that it keeps.
    store : bool
        Whether it is a store and not an engine.
    """

    address: str
    data_centre: str
    mbps: float
    tokens: int
    store: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class CopySource:
    """Where to copy from, what that brings and how long it takes."""

    address: str | None = None
    tokens: int = 0
    seconds: float = 0.0


@dataclass(slots=True, kw_only=True)
class CopySources:
    """Holders of one prompt's leading parts.

    Parameters
    ----------
    token_bytes : float
        Bytes of KV cache per token.
    fallback : str or None
        Address to ask where nobody is known to hold anything.

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
        """Add a holder; only those with the most tokens are kept."""
        most = self.holders[0].tokens if self.holders else 1
        if holder.tokens > most:
            self.holders.clear()
        if holder.tokens >= most:
            self.holders.append(holder)

    def best_for(self, *, address: str, data_centre: str, held: int) -> CopySource:
        """Return the source for an engine that holds some tokens itself."""
        usable = [
            (not holder.store, self._seconds(holder, data_centre, held), holder)
            for holder in self.holders
            if holder.tokens > held and holder.address != address
        ]
        if not usable:
            return CopySource(address=self.fallback)
        _, seconds, best = min(usable, key=lambda item: item[:2])
        return CopySource(address=best.address, tokens=best.tokens, seconds=seconds)

    def _seconds(self, holder: Holder, data_centre: str, held: int) -> float:
        bits = (holder.tokens - held) * self.token_bytes * 8
        factor = 1.0 if holder.data_centre == data_centre else FAR_FACTOR
        return FETCH_SETUP_S + factor * bits / (holder.mbps * 1e6)
