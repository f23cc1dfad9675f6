"""Running sums of the amounts that neighbours report.

Load pattern: hundreds of VMs report their requests at dozens of instances several times
a second. A sum is updated with each amount that changes, so the work follows the number
of changes and not the number of VMs times the number of instances.
"""

from collections import deque
from typing import Generic, NamedTuple, Protocol, Self, TypeVar


class Load(NamedTuple):
    """Requests at an instance, their uncached prompt tokens and reserved memory.

    ``heard`` counts the signs of life that VMs have received from the instance; it only
    grows.

    Examples
    --------
    >>> Load(requests=1, uncached_tokens=10).plus(Load(requests=2))
    Load(requests=3, uncached_tokens=10, memory_tokens=0, heard=0)
    """

    requests: int = 0
    uncached_tokens: int = 0
    memory_tokens: int = 0
    heard: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum."""
        return Load(
            self.requests + other.requests,
            self.uncached_tokens + other.uncached_tokens,
            self.memory_tokens + other.memory_tokens,
            self.heard + other.heard,
        )

    def minus(self, other: "Load") -> "Load":
        """Return the difference."""
        return Load(
            self.requests - other.requests,
            self.uncached_tokens - other.uncached_tokens,
            self.memory_tokens - other.memory_tokens,
            self.heard - other.heard,
        )

    def with_term(self, new: "Load", *, before: "Load") -> "Load":
        """Return the sum in which one term is replaced."""
        return Load(
            self.requests + new.requests - before.requests,
            self.uncached_tokens + new.uncached_tokens - before.uncached_tokens,
            self.memory_tokens + new.memory_tokens - before.memory_tokens,
            self.heard + new.heard - before.heard,
        )


class RetryCount(NamedTuple):
    """Requests to a service and their retries, within the window of the budget."""

    requests: int = 0
    retries: int = 0

    def plus(self, other: "RetryCount") -> "RetryCount":
        """Return the sum."""
        return RetryCount(self.requests + other.requests, self.retries + other.retries)

    def minus(self, other: "RetryCount") -> "RetryCount":
        """Return the difference."""
        return RetryCount(self.requests - other.requests, self.retries - other.retries)

    def with_term(self, new: "RetryCount", *, before: "RetryCount") -> "RetryCount":
        """Return the sum in which one term is replaced."""
        return RetryCount(
            self.requests + new.requests - before.requests,
            self.retries + new.retries - before.retries,
        )


class _Summable(Protocol):
    def plus(self, other: Self, /) -> Self: ...

    def minus(self, other: Self, /) -> Self: ...

    def with_term(self, new: Self, /, *, before: Self) -> Self: ...


Amount = TypeVar("Amount", bound=_Summable)


class NeighbourSums(Generic[Amount]):
    """Amounts by neighbour and key, with the sums over members and over relays.

    Parameters
    ----------
    zero : Amount
        The amount of a key that is not reported.

    Attributes
    ----------
    amounts : dict of str to dict of str to Amount
        Last amounts by neighbour and key.
    relays : set of str
        Neighbours that report for several VMs.
    changed : set of str
        Keys whose amount has changed since the last report of this VM.
    """

    def __init__(self, *, zero: Amount) -> None:
        self.zero = zero
        self.amounts: dict[str, dict[str, Amount]] = {}
        self.relays: set[str] = set()
        self.from_members: dict[str, Amount] = {}
        self.from_relays: dict[str, Amount] = {}
        self.changed: set[str] = set()

    def total(self, key: str) -> Amount:
        """Return the sum over all neighbours."""
        members = self.from_members.get(key)
        relays = self.from_relays.get(key)
        if members is None or relays is None:
            return members or relays or self.zero
        return members.plus(relays)

    def keys(self) -> set[str]:
        """Return the keys that any neighbour reports."""
        return self.from_members.keys() | self.from_relays.keys()

    def set(self, vm: str, key: str, amount: Amount) -> Amount:
        """Set the amount of a neighbour; return the amount before."""
        known = self.amounts.setdefault(vm, {})
        before = known.get(key, self.zero)
        if amount == before:
            return before
        if amount == self.zero:
            del known[key]
        else:
            known[key] = amount
        sums = self.from_relays if vm in self.relays else self.from_members
        total = sums.get(key, self.zero).with_term(amount, before=before)
        if total == self.zero:
            sums.pop(key, None)
        else:
            sums[key] = total
        self.changed.add(key)
        return before

    def set_relay(self, vm: str, is_relay: bool) -> None:
        """Move the amounts of a neighbour whose role has changed."""
        if is_relay == (vm in self.relays):
            return
        amounts = dict(self.amounts.get(vm, {}))
        self.drop(vm)
        if is_relay:
            self.relays.add(vm)
        for key, amount in amounts.items():
            self.set(vm, key, amount)

    def drop(self, vm: str) -> None:
        """Remove a neighbour and its amounts."""
        for key in list(self.amounts.get(vm, ())):
            self.set(vm, key, self.zero)
        self.amounts.pop(vm, None)
        self.relays.discard(vm)


class SentAmounts(Generic[Amount]):
    """Own amounts that a relay has included in its totals.

    The relay's totals contain what this VM reported, up to the report that the relay
    acknowledged. These amounts are subtracted, so that nothing is counted twice.

    Examples
    --------
    >>> sent: SentAmounts[Load] = SentAmounts()
    >>> sent.record(1, {"e1": Load(requests=1)}, full=True)
    >>> sent.record(2, {"e1": Load(requests=3)}, full=False)
    >>> sorted(sent.acknowledge(1)), sent.subtract("e1", Load(requests=5)).requests
    (['e1'], 4)
    """

    def __init__(self) -> None:
        self._acknowledged: dict[str, Amount] = {}
        self._reports: deque[tuple[int, dict[str, Amount], bool]] = deque()

    def record(self, sequence: int, amounts: dict[str, Amount], *, full: bool) -> None:
        """Record the amounts of a report that is being sent."""
        self._reports.append((sequence, amounts, full))

    def acknowledge(self, sequence: int) -> set[str]:
        """Apply the reports up to a number; return the keys that they change."""
        changed: set[str] = set()
        while self._reports and self._reports[0][0] <= sequence:
            _, amounts, full = self._reports.popleft()
            changed.update(amounts)
            if full:
                changed.update(self._acknowledged)
                self._acknowledged = {}
            self._acknowledged.update(amounts)
        return changed

    def subtract(self, key: str, total: Amount) -> Amount:
        """Return a relay's total of a key without the acknowledged amount."""
        own = self._acknowledged.get(key)
        return total if own is None else total.minus(own)
