"""Selection of the busiest organisations for metric labels.

Source: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and
top-k elements in data streams", ICDT 2005 (Space-Saving).
"""

OTHER = "other"


class BusiestOrganisations:
    """Selects the organisations with their own metric label; all others share one.

    The selection changes only in ``rotate_labels``, so that a label does not change
    its meaning between two scrapes.

    Parameters
    ----------
    max_labels : int
        Maximum number of organisations with their own label.
    max_counters : int
        Maximum number of counters; more counters reduce the error.
    """

    def __init__(self, *, max_labels: int = 20, max_counters: int = 200) -> None:
        self.max_labels = max_labels
        self.max_counters = max_counters
        self.counts: dict[str, int] = {}
        self.labels: set[str] = set()

    def record_request(self, organisation: str) -> str:
        """Count one request and return the label of its organisation.

        Examples
        --------
        >>> busiest = BusiestOrganisations(max_labels=1)
        >>> first = busiest.record_request("a")
        >>> first, busiest.rotate_labels(), busiest.record_request("a")
        ('other', set(), 'a')
        """
        if organisation in self.counts:
            self.counts[organisation] += 1
        elif len(self.counts) < self.max_counters:
            self.counts[organisation] = 1
        else:
            least = min(self.counts, key=lambda name: self.counts[name])
            self.counts[organisation] = self.counts.pop(least) + 1
        return organisation if organisation in self.labels else OTHER

    def label_of(self, organisation: str) -> str:
        """Return the label of an organisation, without counting a request."""
        return organisation if organisation in self.labels else OTHER

    def rotate_labels(self) -> set[str]:
        """Update the selection, halve the counts and return the removed labels."""
        order = sorted(self.counts, key=lambda name: -self.counts[name])
        labels = set(order[: self.max_labels])
        dropped = self.labels - labels
        self.labels = labels
        self.counts = {name: self.counts[name] // 2 for name in order}
        return dropped
