"""Limits of one plan across two data centres during and after a partition.

In simulated time, 7 routers request grants from the owners and admit a random load;
shares are sampled every 50 ms. The baseline splits the limits equally between the
routers.
"""

import random
from collections.abc import Iterator
from typing import Any

from endivelug.limits import Limits, RouterLimiter, ShareGranter
from endivelug.messages import ShareDemand

ORGANISATION = "reviews"
LIMITS = Limits(requests_s=400.0, tokens_s=800_000.0, streams=600)
TOKENS_PER_REQUEST = 1500
DURATION_S = 90.0
PARTITION_S = (30.0, 60.0)
STEP_S = 0.001
WINDOW_S = 5.0
ROUTERS = {"dc1": 4, "dc2": 3}
STREAM_DURATION_S = 0.8
# Offered requests/s of each data centre in phases of 10 s, relative to the plan's rate.
RELATIVE_LOAD = {
    "dc1": (0.3, 0.9, 1.3, 0.9, 0.9, 0.3, 0.2, 1.4, 0.7),
    "dc2": (0.3, 0.0, 0.1, 0.9, 0.2, 0.9, 0.0, 0.1, 0.8),
}
# Share of a data centre's load that its first router receives, by phase.
FIRST_ROUTER_SHARE = (0.25, 0.25, 0.8, 0.25, 0.5, 0.25, 0.25, 0.4, 0.25)
# A loan starts only after the lender's grants have expired, 1 s later, and one more
# exchange; a lender that needs its share back waits until the loan expires.
SETTLE_S = 2.0
SAMPLE_STEPS = 50


class Site:
    """One data centre with the owner of the limits and its routers."""

    def __init__(self, name: str, rng: random.Random, fixed_split: bool) -> None:
        names = sorted(ROUTERS)
        self.name = name
        self.rng = rng
        self.fixed_split = fixed_split
        self.granter = ShareGranter(
            data_centre=name, data_centres=names, routers=ROUTERS[name]
        )
        position = (names.index(name), len(names))
        self.limiters = [
            RouterLimiter(data_centre=position, router=(index, ROUTERS[name]))
            for index in range(ROUTERS[name])
        ]
        self.checked_at = [-1.0] * ROUTERS[name]
        self.grant_requests = 0
        self.offered: list[float] = []
        self.admitted: list[float] = []
        # End time of each stream and index of its router.
        self.open_streams: list[tuple[float, int]] = []
        # Time, and requests that the data centre's share allows in the next 50 ms.
        self.shares: list[tuple[float, float]] = []

    def step(self, now: float) -> None:
        phase = min(len(FIRST_ROUTER_SHARE) - 1, int(now / 10.0))
        while self.open_streams and self.open_streams[0][0] <= now:
            self.limiters[self.open_streams.pop(0)[1]].release(ORGANISATION)
        rate = LIMITS.requests_s * RELATIVE_LOAD[self.name][phase]
        if self.rng.random() < rate * STEP_S:
            self.offered.append(now)
            first = self.rng.random() < FIRST_ROUTER_SHARE[phase]
            index = 0 if first else self.rng.randrange(1, len(self.limiters))
            limiter = self.limiters[index]
            if limiter.needs_grant(ORGANISATION, now=now):
                self.request_grant(index, now, TOKENS_PER_REQUEST)
            if (
                limiter.try_acquire(
                    ORGANISATION, limits=LIMITS, tokens=TOKENS_PER_REQUEST, now=now
                )
                is None
            ):
                self.admitted.append(now)
                self.open_streams.append((now + STREAM_DURATION_S, index))
        for index, limiter in enumerate(self.limiters):
            if now - self.checked_at[index] >= 0.1:
                self.checked_at[index] = now
                if limiter.due_organisations(now=now):
                    self.request_grant(index, now, None)

    def record_share(self, now: float) -> float:
        """Record the data centre's share; return the requests/s granted to routers."""
        share = LIMITS.requests_s / len(ROUTERS)
        usable = share
        if not self.fixed_split and ORGANISATION in self.granter.organisations():
            available = self.granter.available_amount(ORGANISATION, now=now)
            share = min(available[0], available[1] / TOKENS_PER_REQUEST)
            usable = sum(
                limiter.share(ORGANISATION, now=now)[0]
                for limiter in self.limiters
                if limiter.has_grant(ORGANISATION, now=now)
            )
        self.shares.append((now, share * SAMPLE_STEPS * STEP_S))
        return usable

    def allowed_between(self, start: float, end: float) -> float:
        """Return the number of offered requests that the share allowed in a period."""
        share = sum(share for at, share in self.shares if start <= at < end)
        return min(share, sum(1 for at in self.offered if start <= at < end))

    def request_grant(self, index: int, now: float, pending_tokens: int | None) -> None:
        self.grant_requests += 1
        limiter = self.limiters[index]
        request = limiter.build_request(
            ORGANISATION, limits=LIMITS, now=now, pending_tokens=pending_tokens
        )
        if self.fixed_split:
            # A router without a grant uses its equal part of the base share.
            return
        grant = self.granter.grant(
            request, router=f"{self.name}-{index}", limits=LIMITS, now=now
        )
        assert grant is not None
        limiter.apply_grant(grant, requested_at=now, now=now)


def count_in_window(times: list[float], end: float) -> int:
    """Return the number of times in the window that ends at a time."""
    return sum(1 for time in times if end - WINDOW_S <= time < end)


def simulate(seed: int, *, fixed_split: bool) -> Iterator[dict[str, Any]]:
    """Yield errors over time, unless the split is fixed, and then the summary."""
    sites = {
        name: Site(name, random.Random(f"{seed}/{name}"), fixed_split)
        for name in ROUTERS
    }
    over = shares_over = -1.0
    under = under_plan = 0.0
    now = 0.0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for site in sites.values():
            site.step(now)
        partitioned = PARTITION_S[0] <= now < PARTITION_S[1]
        if step % 500 == 0 and not partitioned and not fixed_split:
            exchange_loans(sites, now)
        if step % SAMPLE_STEPS == 0:
            total = sum(site.record_share(now) for site in sites.values())
            shares_over = max(shares_over, total / LIMITS.requests_s - 1.0)
        if step % 500 == 0 and now >= WINDOW_S:
            line = measure_window(sites, now)
            over = max(over, line["over"])
            under = max(under, line["under"])
            if line["settled"]:
                under_plan = max(under_plan, line["under_plan"])
            if not fixed_split and step % 5000 == 0:
                yield line
    grant_requests = sum(site.grant_requests for site in sites.values())
    yield {
        "over_grant": round(over, 4),
        "under_grant": round(under, 4),
        "under_plan_settled": round(under_plan, 4),
        "shares_over": round(shares_over, 6),
        "asks_per_router_s": round(
            grant_requests / DURATION_S / sum(ROUTERS.values()), 2
        ),
    }


def exchange_loans(sites: dict[str, Site], now: float) -> None:
    """Let each data centre borrow what it needs from the other ones."""
    for borrower in sites.values():
        for lender in sites.values():
            if lender is borrower:
                continue
            if ORGANISATION not in borrower.granter.organisations():
                continue
            granter = borrower.granter
            demand_amount = granter.loan_demand(
                ORGANISATION, lender=lender.name, now=now
            )
            loaned = granter.usable_loan(ORGANISATION, lender=lender.name, now=now)[0]
            if not any(demand_amount) and not any(loaned):
                continue
            demand = ShareDemand(
                organisation=ORGANISATION,
                sequence=int(now * 1e6) + 1,
                data_centre=borrower.name,
                lender=lender.name,
                requests_s=demand_amount[0],
                tokens_s=demand_amount[1],
                streams=int(demand_amount[2]),
                ttl_s=0.5,
            )
            granter.record_demand(
                ORGANISATION, lender=lender.name, amount=demand_amount, now=now
            )
            loan = lender.granter.lend(demand, limits=LIMITS, now=now)
            assert loan is not None
            granter.add_loan(loan, requested_at=now, now=now + 0.001)


def measure_window(sites: dict[str, Site], now: float) -> dict[str, Any]:
    """Return the errors in the window that ends now, relative to the plan's rate.

    ``under`` compares the admitted requests of each data centre with those that its own
    share allowed. ``under_plan`` compares the sum of both with the plan; it counts only
    if ``settled``: load and connection were constant for long enough that the loans
    had adapted.
    """
    plan = LIMITS.requests_s * WINDOW_S
    since = now - WINDOW_S
    admitted = {
        name: count_in_window(site.admitted, now) for name, site in sites.items()
    }
    offered = {name: count_in_window(site.offered, now) for name, site in sites.items()}
    allowed = {
        name: sum(site.allowed_between(since + k, since + k + 1.0) for k in range(5))
        for name, site in sites.items()
    }
    under = sum(max(0.0, allowed[name] - admitted[name]) for name in sites)
    total = sum(admitted.values())
    share = {
        name: sum(amount for at, amount in site.shares if since <= at < now)
        for name, site in sites.items()
    }
    # Excess of the sum over the plan, or of one data centre over its share.
    above = max(total - plan, *(admitted[name] - share[name] for name in sites))
    overlaps_partition = since < PARTITION_S[1] + SETTLE_S and now > PARTITION_S[0]
    return {
        "at_s": round(now, 1),
        "cut": PARTITION_S[0] <= since and now <= PARTITION_S[1],
        "settled": not overlaps_partition
        and SETTLE_S <= since % 10.0 <= 10.0 - WINDOW_S,
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
    for summary in simulate(seed, fixed_split=False):
        if "over_grant" not in summary:
            yield summary
    baseline = list(simulate(seed, fixed_split=True))[-1]
    yield {
        **summary,
        "over_grant_fixed_split": baseline["over_grant"],
        "under_grant_fixed_split": baseline["under_grant"],
        "under_plan_settled_fixed_split": baseline["under_plan_settled"],
    }
