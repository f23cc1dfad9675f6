"""The eras of the store that this VM has met, in its answers or through peers.

Only an answer of the store shows that an era has begun. One that a peer names is a
reason to ask the store; it is refuted if the store answers a later request with an
earlier era.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.fencing_numbers import MAX_FENCING_ERA

# Highest era that a peer may name; no lease is taken in a later one.
MAX_ERA = MAX_FENCING_ERA


def _ignore_unusable(peer: str, era: int) -> None:
    """Stand for a callback that nobody has set."""


@dataclass(slots=True, kw_only=True)
class StoreEras:
    """Eras of the store that are known, and who is told of a newer one.

    Attributes
    ----------
    newest : int or None
        Newest era that the store or a peer named; None until the first one.
    confirmed : int or None
        Newest era that an answer of the store named; None until the first answer.
    refuted : int or None
        Lowest era that a peer named and the store did not confirm.
    on_newer : list of callable
        Called with the era before and the new one, not for the first one that is met.
    on_unusable : callable
        Called with a peer and an era for the first era of the peer that is ignored.
    """

    newest: int | None = None
    confirmed: int | None = None
    refuted: int | None = None
    on_newer: list[Callable[[int, int], None]] = field(default_factory=list)
    on_unusable: Callable[[str, int], None] = _ignore_unusable
    _unusable_peers: set[str] = field(default_factory=set)

    def observe(self, era: int) -> None:
        """Take note of an era that an answer of the store named."""
        before = self.confirmed
        if before is not None and era <= before:
            return
        self.confirmed = era
        if self.newest is None or era > self.newest:
            self._meet(era)
        elif before is not None and era < self.newest:
            # What a peer named instead may never be confirmed.
            self._notify(before, era)

    def hear(self, era: int, *, peer: str) -> None:
        """Take note of an era that a peer named."""
        if not self.accepts(era, peer=peer):
            return
        if self.newest is None or era > self.newest:
            self._meet(era)

    def is_credible(self, era: int) -> bool:
        """Return whether the store may be in an era that a peer names."""
        if not 0 <= era <= MAX_ERA:
            return False
        if self.refuted is None or era < self.refuted:
            return True
        return self.confirmed is not None and era <= self.confirmed

    def accepts(self, era: int, *, peer: str) -> bool:
        """Return whether an era of a peer is credible; report its first other one."""
        if self.is_credible(era):
            return True
        if peer not in self._unusable_peers:
            self._unusable_peers.add(peer)
            self.on_unusable(peer, era)
        return False

    def refute(self, era: int) -> None:
        """Record that an era was named by a peer, and not by a later answer."""
        self.refuted = era if self.refuted is None else min(self.refuted, era)
        self.newest = self.confirmed

    def _meet(self, era: int) -> None:
        before = self.newest
        self.newest = era
        if before is not None:
            self._notify(before, era)

    def _notify(self, before: int, era: int) -> None:
        for callback in self.on_newer:
            callback(before, era)
