"""The amounts in reports: loads, retries and shared amounts, each summed by audience.

Relays are told the sums of this VM and its members, members the sums of all VMs.
"""

from collections.abc import Collection
from enum import Enum

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instance_load import LoadReport
from endivelug.forwarding.neighbour_sums import Amount, NeighbourSums
from endivelug.forwarding.retry_budget import RetryReport, SharedRetryBudget
from endivelug.forwarding.shared_amounts import AmountReport, SharedAmountTable


class Audience(Enum):
    """Neighbours that get the same reports."""

    RELAYS = "relays"
    MEMBERS = "members"


class ReportedAmounts:
    """Sums of the amounts of this VM and its neighbours, by audience."""

    def __init__(
        self,
        *,
        view: ClusterView,
        budget: SharedRetryBudget,
        shared: SharedAmountTable,
    ) -> None:
        self.view = view
        self.budget = budget
        self.shared = shared
        self._own_retries: dict[str, tuple[int, ...]] = {}

    def collect_retries(self, *, now: float) -> None:
        """Mark the services as changed whose retries within the window differ."""
        for service in self.budget.counts:
            own = self.budget.own(service, now=now)
            if own != self._own_retries.get(service):
                self._own_retries[service] = own
                self.budget.neighbours.changed.add(service)

    def loads(self, audience: Audience, keys: Collection[str]) -> list[LoadReport]:
        """Return the loads of instances."""
        loads = self.view.loads
        amounts = {
            key: _sum(loads.own(key), loads.neighbours, key, audience) for key in keys
        }
        return [
            LoadReport(
                instance=key,
                requests=amount.requests,
                uncached_tokens=amount.uncached_tokens,
                memory_tokens=amount.memory_tokens,
                heard=amount.heard,
            )
            for key, amount in amounts.items()
        ]

    def all_loads(self, audience: Audience) -> list[LoadReport]:
        """Return the loads of every instance that has any."""
        keys = _known_keys(self.view.loads.neighbours, audience)
        loads = self.view.loads.loads
        keys.update(name for name, load in loads.items() if any(load.own))
        return self.loads(audience, keys)

    def retries(
        self, audience: Audience, keys: Collection[str], *, now: float
    ) -> list[RetryReport]:
        """Return the requests and retries of services."""
        amounts = {
            key: _sum(
                self.budget.own(key, now=now), self.budget.neighbours, key, audience
            )
            for key in keys
        }
        return [
            RetryReport(service=key, requests=amount.requests, retries=amount.retries)
            for key, amount in amounts.items()
        ]

    def all_retries(self, audience: Audience, *, now: float) -> list[RetryReport]:
        """Return the requests and retries of every service that has any."""
        keys = _known_keys(self.budget.neighbours, audience)
        keys.update(self.budget.counts)
        return self.retries(audience, keys, now=now)

    def amounts(self, audience: Audience, keys: Collection[str]) -> list[AmountReport]:
        """Return shared amounts."""
        return [
            AmountReport(
                key=key,
                values=list(
                    _sum(self.shared.own_of(key), self.shared.neighbours, key, audience)
                ),
            )
            for key in keys
        ]

    def all_amounts(self, audience: Audience) -> list[AmountReport]:
        """Return the shared amounts of every key that has any."""
        keys = _known_keys(self.shared.neighbours, audience)
        keys.update(self.shared.own)
        return self.amounts(audience, keys)


def _sum(
    own: Amount, sums: NeighbourSums[Amount], key: str, audience: Audience
) -> Amount:
    match audience:
        case Audience.MEMBERS:
            return own.plus(sums.total(key))
        case Audience.RELAYS:
            return own.plus(sums.from_members.get(key, sums.zero))


def _known_keys(sums: NeighbourSums[Amount], audience: Audience) -> set[str]:
    match audience:
        case Audience.MEMBERS:
            return sums.keys()
        case Audience.RELAYS:
            return set(sums.from_members)
