"""Counters of what quotas admit and refuse."""

from aioprometheus import Counter, Registry

from endivelug.busiest import BusiestOrganisations
from endivelug.forwarding.quotas.quota import QuotaUnit


class QuotaMetrics:
    """Units by decision, with labels for the busiest organisations only."""

    def __init__(self, *, registry: Registry, busiest: BusiestOrganisations) -> None:
        self.busiest = busiest
        self.units = Counter(
            "endivelug_forward_quota_units_total",
            "Units of requests of organisations with a quota, by decision.",
            registry=registry,
        )

    def record(
        self, organisation: str, unit: QuotaUnit, decision: str, units: int
    ) -> None:
        """Count the units of a request."""
        self.units.add(
            {
                "organisation": self.busiest.label_of(organisation),
                "unit": unit.value,
                "decision": decision,
            },
            units,
        )
