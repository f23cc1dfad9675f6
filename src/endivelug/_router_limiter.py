"""Rate limiter of a router: token buckets, open streams and measured demand."""

import math
from dataclasses import dataclass, field

from endivelug._budget import (
    ZERO,
    Allocations,
    Amount,
    Limits,
    base_share,
    retained_amount,
)
from endivelug.messages import ShareGrant, ShareRequest
from endivelug.refusals import NotRun

# Bucket depth in seconds of the share. Shallower buckets lose credit between arrivals.
BURST_S = 0.25
# Minimum depth in requests. With a depth of 1, random arrivals at 1.5 times the rate
# would lose 0.4 of the rate.
BURST_REQUESTS = 3.0
# Time constant of the demand average.
DEMAND_TAU_S = 0.25
# Interval of requests to the owner while there is demand.
REFRESH_S = 0.15
# Interval of reports of open streams; the owner drops reports after 5 s.
STREAM_REPORT_INTERVAL_S = 2.0
# The fractions that the last grant reported as lent are used for this long.
LENT_TTL_S = 10.0
# A live owner reserves the fallback share of a router that has been silent for this
# long, so the router may use that share then.
FALLBACK_AFTER_S = 0.4
# Idle state is dropped after this time. It must be long, because a new bucket has
# credit for only one request.
IDLE_S = 60.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0


@dataclass(slots=True, kw_only=True)
class _Budget:
    """State of one organisation at this router.

    Attributes
    ----------
    request_credit, token_credit : float
        Credit of the buckets; token credit may be negative after a long request.
    demand_requests, demand_tokens : float
        Exponentially weighted offered load per second at ``demand_at``.
    refused_streams : int
        Requests refused since the last request to the owner for lack of streams.
    unanswered_since : float
        Time of the first request to the owner that has no reply yet.
    lent_fractions : tuple of float
        Fractions of the data centre's base share that are lent to others.
    refused : bool
        Whether a request was refused since the last request to the owner.
    """

    used_at: float
    filled_at: float
    demand_at: float
    limits: Limits
    request_credit: float = 1.0
    token_credit: float = 1.0
    demand_requests: float = 0.0
    demand_tokens: float = 0.0
    open_streams: int = 0
    refused_streams: int = 0
    grants: Allocations = field(default_factory=Allocations)
    share_until: float = -math.inf
    requested_at: float = -math.inf
    unanswered_since: float = math.inf
    lent_fractions: Amount = ZERO
    lent_until: float = -math.inf
    refused: bool = False


class RouterLimiter:
    """Enforces limits at one router within the shares that owners grant.

    Organisations without recent requests or open streams have no state.

    Parameters
    ----------
    data_centre : tuple of int
        Index of this data centre among all, and their number.
    router : tuple of int
        Index of this router among the live ones of the data centre, and their number.
    incarnation : int
        Start time of the process in microseconds; request numbers start from it.
    """

    def __init__(
        self,
        *,
        data_centre: tuple[int, int],
        router: tuple[int, int] = (0, 1),
        incarnation: int = 0,
    ) -> None:
        self.data_centre = data_centre
        self.router = router
        self._budgets: dict[str, _Budget] = {}
        self._sequence = incarnation
        self._latest = -math.inf

    def needs_grant(self, organisation: str, *, now: float) -> bool:
        """Return whether to request a grant before the next ``try_acquire``.

        Returns False shortly after a request to the owner, so that callers do not
        wait for an owner that does not reply.
        """
        self._check_clock(now)
        budget = self._budgets.get(organisation)
        if budget is None:
            return True
        return now >= budget.share_until and now >= budget.requested_at + REFRESH_S

    def has_grant(self, organisation: str, *, now: float) -> bool:
        """Return whether an unexpired grant is in use."""
        budget = self._budgets.get(organisation)
        return budget is not None and now < budget.share_until

    def try_acquire(
        self,
        organisation: str,
        *,
        limits: Limits,
        tokens: int,
        now: float,
        is_retry: bool = False,
    ) -> NotRun | None:
        """Charge a request and open its stream, or refuse it.

        Parameters
        ----------
        tokens : int
            Expected prompt and generated tokens; ``settle`` corrects them.
        is_retry : bool
            Whether this is a retry, whose demand has already been counted.
        """
        budget = self._budget(organisation, limits, now)
        if not is_retry:
            self._record_demand(budget, tokens, now)
        share = self._share(budget, now)
        self._fill(budget, share, now)
        wait_s = 0.0
        if budget.request_credit < 1.0:
            wait_s = _refill_s(1.0 - budget.request_credit, share[0])
        if budget.token_credit <= 0.0:
            wait_s = max(wait_s, _refill_s(1.0 - budget.token_credit, share[1]))
        if budget.open_streams >= share[2]:
            budget.refused_streams += 1
            wait_s = max(wait_s, 1.0)
        if wait_s > 0.0:
            budget.refused = True
            return NotRun(
                kind="limit-reached",
                status=429,
                remedy="retry after the stated time, or ask for a larger plan",
                retry_after_s=min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s)),
            )
        budget.request_credit -= 1.0
        budget.token_credit -= tokens
        budget.open_streams += 1
        return None

    def settle(self, organisation: str, *, extra_tokens: int) -> None:
        """Charge a finished request for extra tokens; negative values are refunded."""
        budget = self._budgets.get(organisation)
        if budget is not None:
            budget.token_credit -= extra_tokens

    def release(self, organisation: str) -> None:
        """Close the stream of a request."""
        budget = self._budgets.get(organisation)
        if budget is not None:
            budget.open_streams = max(0, budget.open_streams - 1)

    def fallback_wait_s(self, organisation: str, *, now: float) -> float:
        """Return the wait until this router may use its fallback share.

        The wait is 0 with a grant, or without an unanswered request to the owner.
        """
        budget = self._budgets.get(organisation)
        if budget is None or now < budget.share_until:
            return 0.0
        if math.isinf(budget.unanswered_since):
            return 0.0
        return max(0.0, self._fallback_at(budget) - now)

    def organisation_count(self) -> int:
        """Return the number of organisations that have state."""
        return len(self._budgets)

    def due_organisations(self, *, now: float) -> list[str]:
        """Return the organisations for which a request to the owner is due.

        Drops the state of idle organisations.
        """
        self._check_clock(now)
        due = []
        for name, budget in list(self._budgets.items()):
            idle_s = now - budget.used_at
            if budget.open_streams == 0 and idle_s > IDLE_S:
                del self._budgets[name]
                continue
            share = self._share(budget, now)
            high_demand = budget.refused or budget.demand_requests > 0.25 * share[0]
            period_s = math.inf
            if high_demand and idle_s < 1.0:
                period_s = REFRESH_S
            elif budget.open_streams:
                period_s = STREAM_REPORT_INTERVAL_S
            if now - budget.requested_at >= period_s:
                due.append(name)
        return due

    def build_request(
        self,
        organisation: str,
        *,
        limits: Limits,
        now: float,
        pending_tokens: int | None = None,
    ) -> ShareRequest:
        """Return a request to the owner; pass the reply to ``apply_grant``.

        Parameters
        ----------
        pending_tokens : int or None
            Tokens of a caller's request that waits for the grant.
        """
        budget = self._budget(organisation, limits, now)
        decay = math.exp(-max(0.0, now - budget.demand_at) / DEMAND_TAU_S)
        requests_s = budget.demand_requests * decay
        tokens_s = budget.demand_tokens * decay
        if pending_tokens is not None:
            requests_s += 1.0 / DEMAND_TAU_S
            tokens_s += pending_tokens / DEMAND_TAU_S
        new_streams = math.ceil(requests_s * REFRESH_S) + budget.refused_streams
        streams = budget.open_streams + new_streams
        self._fill(budget, self._share(budget, now), now)
        budget.grants.cap(retained_amount(requests_s, tokens_s, streams))
        self._sequence += 1
        budget.refused_streams = 0
        budget.refused = False
        budget.requested_at = now
        budget.unanswered_since = min(budget.unanswered_since, now)
        return ShareRequest(
            organisation=organisation,
            sequence=self._sequence,
            requests_s=requests_s,
            tokens_s=tokens_s,
            streams=streams,
            open_streams=budget.open_streams,
            lent=list(budget.lent_fractions) if now < budget.lent_until else [],
        )

    def apply_grant(
        self, grant: ShareGrant, *, requested_at: float, now: float
    ) -> None:
        """Apply a grant until its deadline; it may arrive late or twice.

        Parameters
        ----------
        requested_at : float
            Time at which the request was sent, from which ``ttl_s`` counts.
        """
        self._check_clock(now)
        budget = self._budgets.get(grant.organisation)
        until = requested_at + grant.ttl_s
        # A newer request has already released what this grant would add.
        if budget is None or until <= now or requested_at < budget.requested_at:
            return
        self._fill(budget, self._share(budget, now), now)
        budget.unanswered_since = math.inf
        amount = (grant.requests_s, grant.tokens_s, float(grant.streams))
        budget.grants.add(amount, (until, until, until))
        if until <= budget.share_until:
            return
        budget.share_until = until
        lent = [*grant.lent, 0.0, 0.0, 0.0]
        budget.lent_fractions = (lent[0], lent[1], lent[2])
        budget.lent_until = requested_at + LENT_TTL_S

    def share(self, organisation: str, *, now: float) -> Amount:
        """Return the share in use: the grant, or the fallback share without one."""
        budget = self._budgets.get(organisation)
        return ZERO if budget is None else self._share(budget, now)

    def _check_clock(self, now: float) -> None:
        """Drop all grants after a backward clock step; they would expire too late."""
        if now < self._latest:
            for budget in self._budgets.values():
                budget.grants = Allocations()
                # As after a start: the fallback share applies until a new grant.
                budget.share_until = budget.requested_at = -math.inf
                budget.lent_until = -math.inf
                budget.unanswered_since = math.inf
                budget.filled_at = budget.demand_at = budget.used_at = now
        self._latest = now

    def _budget(self, organisation: str, limits: Limits, now: float) -> _Budget:
        self._check_clock(now)
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = self._budgets[organisation] = _Budget(
                used_at=now, filled_at=now, demand_at=now, limits=limits
            )
        budget.limits = limits
        return budget

    def _share(self, budget: _Budget, now: float) -> Amount:
        if now < budget.share_until:
            return budget.grants.maximum(now)
        if now < self._fallback_at(budget):
            return ZERO
        position, count = self.data_centre
        requests, tokens, streams = base_share(
            budget.limits, position=position, count=count
        )
        lent = budget.lent_fractions if now < budget.lent_until else ZERO
        left = Limits(
            requests_s=requests * (1.0 - lent[0]),
            tokens_s=tokens * (1.0 - lent[1]),
            streams=math.floor(streams * (1.0 - lent[2]) + 1e-6),
        )
        position, count = self.router
        return base_share(left, position=position, count=count)

    @staticmethod
    def _fallback_at(budget: _Budget) -> float:
        return max(budget.share_until, budget.unanswered_since) + FALLBACK_AFTER_S

    @staticmethod
    def _fill(budget: _Budget, share: Amount, now: float) -> None:
        elapsed = max(0.0, now - budget.filled_at)
        budget.filled_at = max(now, budget.filled_at)
        if elapsed > 0.0:
            depth = max(BURST_REQUESTS, share[0] * BURST_S)
            budget.request_credit = min(
                depth, budget.request_credit + share[0] * elapsed
            )
            depth = max(1.0, share[1] * BURST_S)
            budget.token_credit = min(depth, budget.token_credit + share[1] * elapsed)

    @staticmethod
    def _record_demand(budget: _Budget, tokens: int, now: float) -> None:
        elapsed = max(0.0, now - budget.demand_at)
        decay = math.exp(-elapsed / DEMAND_TAU_S)
        budget.demand_requests = budget.demand_requests * decay + 1.0 / DEMAND_TAU_S
        budget.demand_tokens = budget.demand_tokens * decay + tokens / DEMAND_TAU_S
        budget.demand_at = max(now, budget.demand_at)
        budget.used_at = now


def _refill_s(missing: float, rate: float) -> float:
    return missing / rate if rate > 0.0 else RETRY_AFTER_MAX_S
