"""Weights that the operator announced for each model, with the times."""

from dataclasses import dataclass, field

# Number of announced versions that are kept for each model; older ones are long
# outdated.
MAX_ANNOUNCED_VERSIONS = 16


@dataclass(slots=True, kw_only=True)
class AnnouncedVersion:
    """One weights version that the operator announced.

    Attributes
    ----------
    announced_at : float
        Best known time of the announcement.
    observed : bool
        Whether this VM or a peer observed the change; otherwise the announcement may be
        older than ``announced_at``.
    """

    announced_at: float
    observed: bool


@dataclass(slots=True, kw_only=True)
class DesiredWeights:
    """Desired weights of one model.

    Attributes
    ----------
    version : int
        The newest announced version.
    announced : dict of int to AnnouncedVersion
        The newest and former versions. Each is kept, because the time limit of a
        version starts when the next one is announced.
    """

    version: int
    announced: dict[int, AnnouncedVersion] = field(default_factory=dict)

    def outdated_at(self, version: int) -> float | None:
        """Return the time at which the first newer version was announced, or None."""
        newer = [
            item.announced_at
            for other, item in self.announced.items()
            if other > version
        ]
        return min(newer, default=None)

    def expires_at(self, version: int, *, after_s: float) -> float:
        """Return the time from which no request may begin on a version, or infinity.

        Parameters
        ----------
        after_s : float
            Time for which a version may be used after a newer one was announced.
        """
        outdated_at = self.outdated_at(version)
        return float("inf") if outdated_at is None else outdated_at + after_s

    def add(self, version: int, announcement: AnnouncedVersion) -> None:
        """Add a version, or correct the time of its announcement."""
        known = self.announced.get(version)
        if known is None or (announcement.observed and not known.observed):
            self.announced[version] = announcement
        elif announcement.observed and announcement.announced_at < known.announced_at:
            known.announced_at = announcement.announced_at
        self.version = max(self.version, version)
        for old in sorted(self.announced)[:-MAX_ANNOUNCED_VERSIONS]:
            del self.announced[old]
