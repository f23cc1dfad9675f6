"""The newest era of the store that this VM has met, in an answer or through a peer."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class StoreEras:
    """Newest era of the store that is known, and who is told of a newer one.

    Attributes
    ----------
    newest : int or None
        Newest era; None until the first answer.
    met_at : float
        Time at which the newest era was first met, also if it was the first one.
    on_newer : list of callable
        Called with the era before and the new one, not for the first one that is met.
    """

    clock: Callable[[], float]
    newest: int | None = None
    met_at: float = float("-inf")
    on_newer: list[Callable[[int, int], None]] = field(default_factory=list)

    def observe(self, era: int) -> None:
        """Take note of an era that the store or a peer named."""
        before = self.newest
        if before is not None and era <= before:
            return
        self.newest = era
        self.met_at = self.clock()
        if before is None:
            return
        for callback in self.on_newer:
            callback(before, era)
