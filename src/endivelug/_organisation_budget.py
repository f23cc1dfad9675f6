"""State of an organisation's budget at its owner: grants, loans and demands."""

import math
from dataclasses import dataclass, field

from endivelug._budget import ZERO, Allocations, Amount, Limits, add, sum_amounts

# Lifetime of a loan at the lender.
LOAN_LENDER_TTL_S = 10.0
# A stream begun under a loan outlasts it by at most the longest deadline.
MAX_STREAM_S = 120.0
# Factor on the demand for rates.
HEADROOM = 1.05
# State of a router is dropped this long after its last demand has expired.
ROUTER_IDLE_S = 15.0
# A router with demand sends a request every 0.15 s, and reports lower demand before it
# becomes idle. One that falls silent at high demand is cut off or dead, and may use its
# fallback share between these times; membership detects a dead router after 5 s.
CUT_OFF_AFTER_S = 0.4
DEAD_AFTER_S = 6.0


@dataclass(slots=True, kw_only=True)
class RouterBudget:
    """State of one router at the owner.

    Attributes
    ----------
    fallback : tuple of float
        Share that the router uses without a grant while it cannot reach the owner.
    open_streams : int
        Reported number of open streams, valid until ``open_until``.
    """

    sequence: int = 0
    requested_at: float = -math.inf
    fallback: Amount = ZERO
    demand: Amount = ZERO
    demand_until: float = 0.0
    open_streams: int = 0
    open_until: float = 0.0
    grants: Allocations = field(default_factory=Allocations)

    def max_usage(self, now: float) -> Amount:
        """Return the maximum that the router may use now; streams outlast grants."""
        a, b, c = self.grants.maximum(now)
        if now < self.open_until:
            c = max(c, float(self.open_streams))
        silent_s = now - self.requested_at
        if (
            CUT_OFF_AFTER_S < silent_s < DEAD_AFTER_S
            and self.demand[0] > 0.5 * self.fallback[0]
        ):
            a, b, c = (max(pair) for pair in zip((a, b, c), self.fallback, strict=True))
        return (a, b, c)


@dataclass(slots=True)
class ReceivedLoan:
    """Loans of one lender, and the time of the last demand to it.

    Attributes
    ----------
    grantable : Allocations
        Amounts for grants to routers; they expire one grant lifetime before the loan.
    outstanding : Allocations
        Amounts that routers may still use.
    """

    grantable: Allocations = field(default_factory=Allocations)
    outstanding: Allocations = field(default_factory=Allocations)
    requested_at: float = -math.inf


@dataclass(slots=True, kw_only=True)
class OrganisationBudget:
    """Budget of one organisation in this data centre.

    Attributes
    ----------
    given_loans : dict of str to Allocations
        Loans that were given, by borrower.
    loan_demands : dict of str to tuple
        Newest demand of each borrower, and its expiry.
    received_loans : dict of str to ReceivedLoan
        Loans that were received, by lender.
    inherited_loans : tuple of float
        Loans of the former owner, as reported by routers.
    sequences : dict of str to int
        Number of the newest demand of each borrower.
    """

    limits: Limits
    taken_over_at: float | None
    used_at: float = 0.0
    routers: dict[str, RouterBudget] = field(default_factory=dict)
    given_loans: dict[str, Allocations] = field(default_factory=dict)
    loan_demands: dict[str, tuple[Amount, float]] = field(default_factory=dict)
    received_loans: dict[str, ReceivedLoan] = field(default_factory=dict)
    inherited_loans: Amount = ZERO
    sequences: dict[str, int] = field(default_factory=dict)

    def forget_idle_routers(self, now: float) -> None:
        """Drop routers that no longer send requests, for example replaced VMs."""
        for name, router in list(self.routers.items()):
            if now > router.demand_until + ROUTER_IDLE_S:
                del self.routers[name]

    def local_demand(self, now: float) -> Amount:
        """Return the demand of this data centre, with headroom for rates."""
        demand = sum_amounts(
            [
                router.demand
                for router in self.routers.values()
                if now < router.demand_until
            ]
        )
        return (demand[0] * HEADROOM, demand[1] * HEADROOM, demand[2])

    def max_router_usage(self, now: float) -> Amount:
        """Return the maximum that all routers may use now."""
        return sum_amounts([router.max_usage(now) for router in self.routers.values()])

    def grantable_loans(self, now: float, *, skip: str | None = None) -> Amount:
        """Return the amount for grants from loans of other data centres."""
        return sum_amounts(
            [
                loan.grantable.maximum(now)
                for name, loan in self.received_loans.items()
                if name != skip
            ]
        )

    def total_lent(self, now: float, *, skip: str | None = None) -> Amount:
        """Return the part of the base share that borrowers may still use."""
        lent = sum_amounts(
            [
                allocations.maximum(now)
                for name, allocations in self.given_loans.items()
                if name != skip
            ]
        )
        if self.taken_over_at is None:
            return lent
        age = now - self.taken_over_at
        a, b, c = (
            self.inherited_loans[i]
            if age < LOAN_LENDER_TTL_S + (MAX_STREAM_S if i == 2 else 0.0)
            else 0.0
            for i in range(3)
        )
        return add(lent, (a, b, c))

    def amount_to_return(self, lender: str, now: float) -> Amount:
        """Return what a lender needs back, because it demands a loan itself."""
        amount, until = self.loan_demands.get(lender, (ZERO, now))
        return amount if now < until else ZERO
