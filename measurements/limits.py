"""Limits of one plan over two data centres, one of which is cut off and joined.

Every 50 ms of simulated time, 7 routers ask the owners and admit a random load.
The baseline is a fixed equal split between the routers.
"""

import random
from collections.abc import Iterator
from typing import Any

from endivelug.limits import Limits, RouterLimiter, ShareGranter
from endivelug.messages import ShareDemand

ORGANISATION = "reviews"
LIMITS = Limits(requests_s=400.0, tokens_s=800_000.0, streams=600)
TOKENS = 1500
DURATION_S = 90.0
CUT_S = (30.0, 60.0)
STEP_S = 0.001
WINDOW_S = 5.0
ROUTERS = {"dc1": 4, "dc2": 3}
STREAM_S = 0.8
# Offered requests/s of each data centre in phases of 10 s, over the plan's rate.
LOAD = {
    "dc1": (0.3, 0.9, 1.3, 0.9, 0.9, 0.3, 0.2, 1.4, 0.7),
    "dc2": (0.3, 0.0, 0.1, 0.9, 0.2, 0.9, 0.0, 0.1, 0.8),
}
# Part of a data centre's load that its first router gets, per phase.
SKEW = (0.25, 0.25, 0.8, 0.25, 0.5, 0.25, 0.25, 0.4, 0.25)
# A loan needs 1 s until grants at the lender have ended, and one more exchange; a
# lender that is short waits for its loan to end.
SETTLE_S = 2.0
SAMPLE_STEPS = 50


class Site:
    """One data centre: its owner and its routers."""

    def __init__(self, name: str, rng: random.Random, fixed: bool) -> None:
        names = sorted(ROUTERS)
        self.name = name
        self.rng = rng
        self.fixed = fixed
        self.granter = ShareGranter(
            data_centre=name, data_centres=names, routers=ROUTERS[name]
        )
        position = (names.index(name), len(names))
        self.holders = [
            RouterLimiter(data_centre=position, router=(index, ROUTERS[name]))
            for index in range(ROUTERS[name])
        ]
        self.asked_at = [-1.0] * ROUTERS[name]
        self.asks = 0
        self.offered: list[float] = []
        self.admitted: list[float] = []
        self.open: list[tuple[float, int]] = []
        # Integral of the data centre's share, one entry per 50 ms.
        self.shares: list[tuple[float, float]] = []

    def step(self, now: float) -> None:
        phase = min(len(SKEW) - 1, int(now / 10.0))
        while self.open and self.open[0][0] <= now:
            self.holders[self.open.pop(0)[1]].release(ORGANISATION)
        rate = LIMITS.requests_s * LOAD[self.name][phase]
        if self.rng.random() < rate * STEP_S:
            self.offered.append(now)
            first = self.rng.random() < SKEW[phase]
            index = 0 if first else self.rng.randrange(1, len(self.holders))
            holder = self.holders[index]
            if holder.needs_grant(ORGANISATION, now=now):
                self.ask(index, now, TOKENS)
            if (
                holder.try_acquire(ORGANISATION, limits=LIMITS, tokens=TOKENS, now=now)
                is None
            ):
                self.admitted.append(now)
                self.open.append((now + STREAM_S, index))
        for index, holder in enumerate(self.holders):
            if now - self.asked_at[index] >= 0.1:
                self.asked_at[index] = now
                if holder.due_organisations(now=now):
                    self.ask(index, now, None)

    def note_share(self, now: float) -> float:
        """Record what the data centre may use; return what its routers may use."""
        share = LIMITS.requests_s / len(ROUTERS)
        used = share
        if not self.fixed and ORGANISATION in self.granter.organisations():
            available = self.granter.available_amount(ORGANISATION, now=now)
            share = min(available[0], available[1] / TOKENS)
            used = sum(
                holder.share(ORGANISATION, now=now)[0]
                for holder in self.holders
                if holder.has_grant(ORGANISATION, now=now)
            )
        self.shares.append((now, share * SAMPLE_STEPS * STEP_S))
        return used

    def allowed_between(self, start: float, end: float) -> float:
        """Return the offered requests that the share allowed in one second."""
        share = sum(share for at, share in self.shares if start <= at < end)
        return min(share, sum(1 for at in self.offered if start <= at < end))

    def ask(self, index: int, now: float, pending_tokens: int | None) -> None:
        self.asks += 1
        holder = self.holders[index]
        request = holder.build_request(
            ORGANISATION, limits=LIMITS, now=now, pending_tokens=pending_tokens
        )
        if self.fixed:
            # Without an answer, a router uses its part of the base share.
            return
        grant = self.granter.grant(
            request, router=f"{self.name}-{index}", limits=LIMITS, now=now
        )
        assert grant is not None
        holder.apply_grant(grant, requested_at=now, now=now)


def in_window(times: list[float], end: float) -> int:
    return sum(1 for time in times if end - WINDOW_S <= time < end)


def simulate(seed: int, *, fixed: bool) -> Iterator[dict[str, Any]]:
    sites = {
        name: Site(name, random.Random(f"{seed}/{name}"), fixed) for name in ROUTERS
    }
    over = shares_over = -1.0
    under = under_plan = 0.0
    now = 0.0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for site in sites.values():
            site.step(now)
        cut = CUT_S[0] <= now < CUT_S[1]
        if step % 500 == 0 and not cut and not fixed:
            exchange_loans(sites, now)
        if step % SAMPLE_STEPS == 0:
            total = sum(site.note_share(now) for site in sites.values())
            shares_over = max(shares_over, total / LIMITS.requests_s - 1.0)
        if step % 500 == 0 and now >= WINDOW_S:
            line = window(sites, now)
            over = max(over, line["over"])
            under = max(under, line["under"])
            if line["settled"]:
                under_plan = max(under_plan, line["under_plan"])
            if not fixed and step % 5000 == 0:
                yield line
    asks = sum(site.asks for site in sites.values())
    yield {
        "over_grant": round(over, 4),
        "under_grant": round(under, 4),
        "under_plan_settled": round(under_plan, 4),
        "shares_over": round(shares_over, 6),
        "asks_per_router_s": round(asks / DURATION_S / sum(ROUTERS.values()), 2),
    }


def exchange_loans(sites: dict[str, Site], now: float) -> None:
    for borrower in sites.values():
        for lender in sites.values():
            if lender is borrower:
                continue
            if ORGANISATION not in borrower.granter.organisations():
                continue
            granter = borrower.granter
            wanted = granter.loan_demand(ORGANISATION, lender=lender.name, now=now)
            held = granter.usable_loan(ORGANISATION, lender=lender.name, now=now)[0]
            if not any(wanted) and not any(held):
                continue
            demand = ShareDemand(
                organisation=ORGANISATION,
                sequence=int(now * 1e6) + 1,
                data_centre=borrower.name,
                lender=lender.name,
                requests_s=wanted[0],
                tokens_s=wanted[1],
                streams=int(wanted[2]),
                ttl_s=0.5,
            )
            granter.record_demand(
                ORGANISATION, lender=lender.name, amount=wanted, now=now
            )
            loan = lender.granter.lend(demand, limits=LIMITS, now=now)
            assert loan is not None
            granter.add_loan(loan, requested_at=now, now=now + 0.001)


def window(sites: dict[str, Site], now: float) -> dict[str, Any]:
    """Return errors over the last seconds, as parts of the plan's rate.

    ``under`` compares each data centre with what its own share allowed;
    ``under_plan`` compares both together with the plan, where the load and the
    partition had been the same since long enough for loans to follow.
    """
    plan = LIMITS.requests_s * WINDOW_S
    since = now - WINDOW_S
    admitted = {name: in_window(site.admitted, now) for name, site in sites.items()}
    offered = {name: in_window(site.offered, now) for name, site in sites.items()}
    allowed = {
        name: sum(site.allowed_between(since + k, since + k + 1.0) for k in range(5))
        for name, site in sites.items()
    }
    under = sum(max(0.0, allowed[name] - admitted[name]) for name in sites)
    total = sum(admitted.values())
    share = {
        name: sum(part for at, part in site.shares if since <= at < now)
        for name, site in sites.items()
    }
    # Above the plan together, or above what one data centre may use.
    above = max(total - plan, *(admitted[name] - share[name] for name in sites))
    overlaps_cut = since < CUT_S[1] + SETTLE_S and now > CUT_S[0]
    return {
        "at_s": round(now, 1),
        "cut": CUT_S[0] <= since and now <= CUT_S[1],
        "settled": not overlaps_cut and SETTLE_S <= since % 10.0 <= 10.0 - WINDOW_S,
        "offered": offered,
        "allowed": {name: round(share) for name, share in allowed.items()},
        "admitted": admitted,
        "over": round(above / plan, 4),
        "under": round(under / plan, 4),
        "under_plan": round((min(sum(offered.values()), plan) - total) / plan, 4),
    }


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield errors over time, the baseline, and the summary."""
    summary: dict[str, Any] = {}
    for summary in simulate(seed, fixed=False):
        if "over_grant" not in summary:
            yield summary
    baseline = list(simulate(seed, fixed=True))[-1]
    yield {
        **summary,
        "over_grant_fixed_split": baseline["over_grant"],
        "under_grant_fixed_split": baseline["under_grant"],
        "under_plan_settled_fixed_split": baseline["under_plan_settled"],
    }
