"""Selection of the busiest organisations for metric labels.

Source: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and
top-k elements in data streams", ICDT 2005 (Space-Saving).
"""

OTHER = "other"


class BusiestOrganisations:
    """Selects the organisations with their own metric label; all others share one.

    The selection changes only in ``rotate``, so that a label does not change its
    meaning between two scrapes.

    Parameters
    ----------
    named : int
        Maximum number of organisations with their own label.
    tracked : int
        Maximum number of counters; more counters reduce the error.
    """

    def __init__(self, *, named: int = 20, tracked: int = 200) -> None:
        self.named = named
        self.tracked = tracked
        self.counts: dict[str, int] = {}
        self.labels: set[str] = set()

    def label(self, organisation: str) -> str:
        """Count one request and return the label of its organisation.

        Examples
        --------
        >>> busiest = BusiestOrganisations(named=1)
        >>> busiest.label("a"), busiest.rotate(), busiest.label("a")
        ('other', set(), 'a')
        """
        if organisation in self.counts:
            self.counts[organisation] += 1
        elif len(self.counts) < self.tracked:
            self.counts[organisation] = 1
        else:
            least = min(self.counts, key=lambda name: self.counts[name])
            self.counts[organisation] = self.counts.pop(least) + 1
        return organisation if organisation in self.labels else OTHER

    def rotate(self) -> set[str]:
        """Update the selection, halve the counts and return the removed labels."""
        order = sorted(self.counts, key=lambda name: -self.counts[name])
        labels = set(order[: self.named])
        dropped = self.labels - labels
        self.labels = labels
        self.counts = {name: self.counts[name] // 2 for name in order}
        return dropped
