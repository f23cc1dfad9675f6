"""Grants of an organisation's limits to routers, and loans between data centres."""

import math

from endivelug._budget import (
    ZERO,
    Allocations,
    Amount,
    Limits,
    add,
    base_share,
    fair_shares,
    retained_amount,
    sum_amounts,
)
from endivelug._organisation_budget import (
    HEADROOM,
    LOAN_LENDER_TTL_S,
    MAX_STREAM_S,
    OrganisationBudget,
    ReceivedLoan,
    RouterBudget,
)
from endivelug._router_limiter import RouterLimiter
from endivelug.messages import ShareDemand, ShareGrant, ShareLoan, ShareRequest

__all__ = ["Limits", "RouterLimiter", "ShareGranter", "base_share"]

GRANT_TTL_S = 1.0
LOAN_TTL_S = 9.0
# Fractions of the base share (requests/s, tokens/s, streams) that are never lent, so
# that returning demand is served at once. The fraction of streams is larger because
# lent streams are returned late.
UNLENDABLE = (0.1, 0.1, 0.5)
# Fraction of the rates that is reserved for the first request of a further router.
NEWCOMER_RESERVE = 0.02
# A new owner grants nothing until the grants of the former owner have expired: one
# heartbeat until every router knows the new owner, and the lifetime of one grant.
TAKEOVER_WAIT_S = 3.5
# A router's reported number of open streams is valid for this long.
STREAM_REPORT_TTL_S = 5.0
# A router's reported demand is valid for this long.
DEMAND_TTL_S = 1.0
# The state of an idle organisation is dropped after this time.
IDLE_S = 15.0


class ShareGranter:
    """Grants shares to routers, and lends to and borrows from other data centres.

    Runs at the agent that owns an organisation. Only organisations with recent demand
    have state.

    Parameters
    ----------
    data_centre : str
        Name of this data centre.
    data_centres : list of str
        All data centres of the deployment, including unreachable ones.
    routers : int
        Number of live routers in this data centre.
    """

    def __init__(
        self, *, data_centre: str, data_centres: list[str], routers: int
    ) -> None:
        self.data_centre = data_centre
        self.data_centres = data_centres
        self.routers = routers
        self._organisations: dict[str, OrganisationBudget] = {}
        self._latest = -math.inf

    def grant(
        self,
        request: ShareRequest,
        *,
        router: str,
        limits: Limits,
        now: float,
        taken_over_at: float | None = None,
    ) -> ShareGrant | None:
        """Return a grant for a router, or None.

        None means that the request is not newer than the router's last one, or that
        grants of a former owner may still be in use.

        Parameters
        ----------
        limits : Limits
            Current limits of the organisation's plan.
        taken_over_at : float or None
            Time at which this agent became the owner; None if that was long ago.
        """
        state = self._update_state(request.organisation, limits, now, taken_over_at)
        router_state = state.routers.setdefault(router, RouterBudget())
        if request.sequence <= router_state.sequence:
            return None
        router_state.sequence = request.sequence
        router_state.requested_at = now
        router_state.grants.cap(
            retained_amount(request.requests_s, request.tokens_s, request.streams)
        )
        router_state.demand = (
            request.requests_s,
            request.tokens_s,
            float(request.streams),
        )
        router_state.demand_until = now + DEMAND_TTL_S
        router_state.open_streams = request.open_streams
        router_state.open_until = now + STREAM_REPORT_TTL_S
        base = self._base_share(limits)
        wait_until = -math.inf
        if state.taken_over_at is not None:
            wait_until = state.taken_over_at + TAKEOVER_WAIT_S
            fractions = [*request.lent, 0.0, 0.0, 0.0]
            a, b, c = (
                max(state.inherited_loans[i], base[i] * min(1.0, fractions[i]))
                for i in range(3)
            )
            state.inherited_loans = (a, b, c)
        if now < wait_until:
            return None
        lent = self._expected_lent(state, now)
        available = add(base, lent, -1.0)
        count = max(1, self.routers)
        router_state.fallback = (
            available[0] / count,
            available[1] / count,
            math.ceil(available[2] / count),
        )
        share = self._share_amount(state, router, available, now)
        if now < wait_until + GRANT_TTL_S:
            # Routers without a request so far may use their fallback share.
            a, b, c = (min(share[i], available[i] / count) for i in range(3))
            share = (a, b, c)
        share = (share[0], share[1], math.floor(share[2] + 1e-6))
        until = now + GRANT_TTL_S
        # The router may open all granted streams before its next report.
        router_state.grants.add(share, (until, until, now + STREAM_REPORT_TTL_S))
        return ShareGrant(
            organisation=request.organisation,
            requests_s=share[0],
            tokens_s=share[1],
            streams=int(share[2]),
            ttl_s=GRANT_TTL_S,
            lent=[
                min(1.0, lent[i] / base[i]) if base[i] > 0.0 else 0.0 for i in range(3)
            ],
        )

    def lend(
        self,
        demand: ShareDemand,
        *,
        limits: Limits,
        now: float,
        taken_over_at: float | None = None,
    ) -> ShareLoan | None:
        """Return a loan to another data centre, or None for an outdated demand.

        The first loan may be small: amounts that are granted to local routers are
        lent only after these grants have expired. If the borrower had lent to this
        data centre, the next demand to it returns that loan.
        """
        state = self._update_state(demand.organisation, limits, now, taken_over_at)
        borrower = demand.data_centre
        if demand.sequence <= state.sequences.get(borrower, -1):
            return None
        state.sequences[borrower] = demand.sequence
        amount = (demand.requests_s, demand.tokens_s, float(demand.streams))
        allocations = state.given_loans.setdefault(borrower, Allocations())
        allocations.cap(amount)
        state.loan_demands[borrower] = (amount, now + 2.0 * GRANT_TTL_S)
        loan = self._loan_amount(state, borrower, now)
        until = now + LOAN_LENDER_TTL_S
        allocations.add(loan, (until, until, until + MAX_STREAM_S))
        return ShareLoan(
            organisation=demand.organisation,
            lender=self.data_centre,
            requests_s=loan[0],
            tokens_s=loan[1],
            streams=int(loan[2]),
            ttl_s=LOAN_TTL_S,
        )

    def add_loan(self, loan: ShareLoan, *, requested_at: float, now: float) -> None:
        """Add a received loan until its deadline; it may arrive late or twice."""
        state = self._organisations.get(loan.organisation)
        until = requested_at + min(loan.ttl_s, LOAN_TTL_S)
        if state is None or until <= now or loan.lender not in self.data_centres:
            return
        amount = (loan.requests_s, loan.tokens_s, float(loan.streams))
        received = state.received_loans.setdefault(loan.lender, ReceivedLoan())
        # A newer demand has already released what this loan would add.
        if requested_at < received.requested_at:
            return
        # Grants are made from a loan so early that they expire before the loan does.
        grantable_until = until - GRANT_TTL_S
        received.grantable.add(
            amount, (grantable_until, grantable_until, grantable_until)
        )
        received.outstanding.add(amount, (until, until, until))

    def loan_demand(self, organisation: str, *, lender: str, now: float) -> Amount:
        """Return the amount to demand of a lender, to obtain, keep or return a loan.

        The amount is the demand above the base share and the loans of other lenders,
        less what the lender demands back, and at least what routers still use of it.
        """
        state = self._organisations[organisation]
        lent = state.total_lent(now)
        unlent = add(self._base_share(state.limits), lent, -1.0)
        others = state.grantable_loans(now, skip=lender)
        local_demand = state.local_demand(now)
        router_usage = state.max_router_usage(now)
        loan = state.received_loans.get(lender, ReceivedLoan()).outstanding.maximum(now)
        to_return = state.amount_to_return(lender, now)
        amounts = []
        for i in range(3):
            missing = local_demand[i] - unlent[i] * (1.0 - NEWCOMER_RESERVE) - others[i]
            if to_return[i] > 0.0 and loan[i] > 0.0:
                missing = min(missing, loan[i] - to_return[i])
            in_use = min(loan[i], router_usage[i] - unlent[i] - others[i])
            amounts.append(max(0.0, missing, in_use))
        return (amounts[0], amounts[1], float(math.ceil(amounts[2] - 1e-6)))

    def record_demand(
        self, organisation: str, *, lender: str, amount: Amount, now: float
    ) -> None:
        """Record a demand that is sent now, and release loans above its amount."""
        state = self._organisations[organisation]
        loan = state.received_loans.setdefault(lender, ReceivedLoan())
        if lender in state.loan_demands:
            # Reduces the lender's demand by what is returned now.
            to_return, until = state.loan_demands[lender]
            loaned = loan.outstanding.maximum(now)
            a, b, c = (
                max(0.0, to_return[i] - max(0.0, loaned[i] - amount[i]))
                for i in range(3)
            )
            state.loan_demands[lender] = ((a, b, c), until)
        loan.grantable.cap(amount)
        loan.outstanding.cap(amount)
        loan.requested_at = now

    def organisations(self) -> list[str]:
        """Return the names of the organisations that have state."""
        return list(self._organisations)

    def forget(self, organisation: str) -> None:
        """Drop the state of an organisation that now has another owner."""
        self._organisations.pop(organisation, None)

    def has_state(self, organisation: str) -> bool:
        """Return whether an organisation has state."""
        return organisation in self._organisations

    def usable_loan(
        self, organisation: str, *, lender: str, now: float
    ) -> tuple[Amount, float]:
        """Return the amount of a loan and its deadline; zero and now without a loan."""
        state = self._organisations.get(organisation)
        if state is None or lender not in state.received_loans:
            return ZERO, now
        usable = state.received_loans[lender].grantable
        return usable.maximum(now), usable.rates_until(now)

    def available_amount(self, organisation: str, *, now: float) -> Amount:
        """Return the amount of an organisation's limits that is usable here now."""
        state = self._organisations[organisation]
        base = self._base_share(state.limits)
        return add(add(base, state.total_lent(now), -1.0), state.grantable_loans(now))

    def granted_amount(self, organisation: str, *, now: float) -> Amount:
        """Return the maximum amount that routers of this data centre may use now."""
        state = self._organisations[organisation]
        return sum_amounts(
            [router.grants.maximum(now) for router in state.routers.values()]
        )

    def forget_idle(self, *, now: float) -> None:
        """Drop the state of organisations without recent demand, loans or borrowing."""
        for name, state in list(self._organisations.items()):
            state.forget_idle_routers(now)
            if now < state.used_at + IDLE_S:
                continue
            lent = state.total_lent(now)
            if not any(lent) and not any(state.grantable_loans(now)):
                del self._organisations[name]

    def _update_state(
        self,
        organisation: str,
        limits: Limits,
        now: float,
        taken_over_at: float | None,
    ) -> OrganisationBudget:
        if now < self._latest:
            # After a backward clock step, the expiry of grants and loans is unknown.
            for known in self._organisations.values():
                known.taken_over_at = now
        self._latest = now
        state = self._organisations.get(organisation)
        if state is None:
            state = OrganisationBudget(limits=limits, taken_over_at=taken_over_at)
            self._organisations[organisation] = state
        elif taken_over_at is not None:
            state.taken_over_at = taken_over_at
        state.limits = limits
        state.used_at = now
        return state

    def _base_share(self, limits: Limits) -> Amount:
        ordered = sorted(self.data_centres)
        return base_share(
            limits, position=ordered.index(self.data_centre), count=len(ordered)
        )

    def _expected_lent(self, state: OrganisationBudget, now: float) -> Amount:
        """Return loans given, and amounts to lend as soon as local grants expire."""
        lent = state.total_lent(now)
        base = self._base_share(state.limits)
        local_demand = state.local_demand(now)
        demands = [
            amount for amount, until in state.loan_demands.values() if now < until
        ]
        demanded = sum_amounts(demands)
        a, b, c = (
            max(
                lent[i],
                min(demanded[i], base[i] * (1.0 - UNLENDABLE[i]) - local_demand[i]),
            )
            for i in range(3)
        )
        return (a, b, c)

    def _loan_amount(
        self, state: OrganisationBudget, borrower: str, now: float
    ) -> Amount:
        taken_over_at = state.taken_over_at
        if taken_over_at is not None and now < taken_over_at + LOAN_LENDER_TTL_S:
            return ZERO
        base = self._base_share(state.limits)
        local_demand = state.local_demand(now)
        others = add(state.total_lent(now, skip=borrower), state.max_router_usage(now))
        amounts = []
        for i in range(3):
            # Lends only what is neither in demand here, nor reserved, nor allocated.
            lendable = base[i] * (1.0 - UNLENDABLE[i]) - local_demand[i]
            demands = {
                name: amount[i]
                for name, (amount, until) in state.loan_demands.items()
                if now < until
            }
            fair = fair_shares(demands, lendable)[borrower]
            amounts.append(max(0.0, min(fair, base[i] - others[i])))
        return (amounts[0], amounts[1], float(math.floor(amounts[2] + 1e-6)))

    def _share_amount(
        self, state: OrganisationBudget, router: str, available: Amount, now: float
    ) -> Amount:
        pool = available
        for name, loan in state.received_loans.items():
            to_return = state.amount_to_return(name, now)
            amount = loan.grantable.maximum(now)
            a, b, c = (max(0.0, amount[i] - to_return[i]) for i in range(3))
            pool = add(pool, (a, b, c))
        others = sum_amounts(
            [
                each.max_usage(now)
                for name, each in state.routers.items()
                if name != router
            ]
        )
        shares = []
        for i in range(3):
            demands = {
                name: each.demand[i]
                for name, each in state.routers.items()
                if now < each.demand_until
            }
            usable = pool[i] * (1.0 - NEWCOMER_RESERVE) if i < 2 else pool[i]
            headroom = HEADROOM if i < 2 else 1.0
            fair = fair_shares(
                {name: demand * headroom for name, demand in demands.items()}, usable
            )
            share = fair[router]
            left = max(0.0, usable - sum(fair.values()))
            demand = sum(demands.values())
            if demand > 0.0:
                # The remainder absorbs bursts until the router's next request.
                extra = left * demands[router] / demand
                share += min(extra, max(demands[router], usable / self.routers))
            if i == 2:
                share = math.ceil(share - 1e-6)
            shares.append(max(0.0, min(share, pool[i] - others[i])))
        return (shares[0], shares[1], shares[2])
