"""Numbers of which each VM needs the sum over all VMs.

Load pattern: a limit holds for all VMs together, and each VM sees only a part of the
requests. Values travel in the reports that the VMs exchange anyway; relays add up those
of their members. A part of the router registers a kind and reports current rates or
gauges; totals since the start would make the sum jump when a VM joins or leaves.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import zip_longest

from endivelug.forwarding.neighbour_sums import NeighbourSums

KIND_SEPARATOR = ":"


class Amounts(tuple[int, ...]):
    """Values that are added up by position; a missing position counts as zero.

    Examples
    --------
    >>> Amounts.of([1, 2]).plus(Amounts.of([3])).minus(Amounts.of([4, 2]))
    ()
    """

    __slots__ = ()

    @classmethod
    def of(cls, values: Iterable[int]) -> "Amounts":
        """Return the amounts without zeros at their end."""
        kept = list(values)
        while kept and kept[-1] == 0:
            kept.pop()
        return cls(kept)

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return self.of(a + b for a, b in zip_longest(self, other, fillvalue=0))

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference."""
        return self.of(a - b for a, b in zip_longest(self, other, fillvalue=0))

    def with_term(self, new: "Amounts", *, before: "Amounts") -> "Amounts":
        """Return the sum in which one term is replaced."""
        return self.plus(new).minus(before)


NO_AMOUNTS = Amounts()


@dataclass(slots=True, kw_only=True)
class AmountReport:
    """Values of one key of one or several VMs; the key begins with its kind."""

    key: str
    values: list[int]


@dataclass(slots=True, kw_only=True)
class SharedAmountTable:
    """Values of all kinds: those of this VM, and what the neighbours report.

    Attributes
    ----------
    on_change : callable
        Called after a value of this VM has changed.
    on_sum_change : dict of str to callable
        By kind, called with a key before the sum over the other VMs changes.
    """

    own: dict[str, Amounts] = field(default_factory=dict)
    neighbours: NeighbourSums[Amounts] = field(
        default_factory=lambda: NeighbourSums(zero=NO_AMOUNTS)
    )
    on_change: Callable[[], None] = lambda: None
    on_sum_change: dict[str, Callable[[str], None]] = field(default_factory=dict)

    def set_neighbour(self, vm: str, key: str, values: Amounts) -> None:
        """Replace the values that a neighbour reports."""
        kind, _, rest = key.partition(KIND_SEPARATOR)
        listener = self.on_sum_change.get(kind)
        if listener is not None:
            listener(rest)
        self.neighbours.set(vm, key, values)

    def own_of(self, key: str) -> Amounts:
        """Return the values of this VM."""
        return self.own.get(key, NO_AMOUNTS)

    def set_own(self, key: str, values: Amounts) -> None:
        """Replace the values of this VM; they are reported if they differ."""
        if values == self.own_of(key):
            return
        if values:
            self.own[key] = values
        else:
            del self.own[key]
        self.neighbours.changed.add(key)
        self.on_change()


class SharedAmounts:
    """Values of one kind, by key.

    Parameters
    ----------
    kind : str
        Name of the kind; the same on all VMs.
    table : SharedAmountTable
        Holds the values of all kinds.

    Examples
    --------
    >>> streams = SharedAmounts(kind="streams", table=SharedAmountTable())
    >>> streams.set_own("a", (3, 0))
    >>> streams.own("a"), streams.others("a"), streams.keys()
    ((3,), (), {'a'})
    """

    def __init__(self, *, kind: str, table: SharedAmountTable) -> None:
        self.kind = kind
        self.table = table
        self._prefix = kind + KIND_SEPARATOR

    def set_own(self, key: str, values: Iterable[int]) -> None:
        """Replace the values of this VM; zeros remove them."""
        self.table.set_own(self._prefix + key, Amounts.of(values))

    def own(self, key: str) -> Amounts:
        """Return the values of this VM; positions at the end may be missing."""
        return self.table.own_of(self._prefix + key)

    def others(self, key: str) -> Amounts:
        """Return the sum over all other VMs; positions at the end may be missing."""
        return self.table.neighbours.total(self._prefix + key)

    def keys(self) -> set[str]:
        """Return the keys for which any VM has values."""
        known = self.table.own.keys() | self.table.neighbours.keys()
        return {
            key.removeprefix(self._prefix)
            for key in known
            if key.startswith(self._prefix)
        }
