"""Exchange of limit shares: the agent's component and the router's client."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from endivelug import _rendezvous
from endivelug._organisation_budget import LOAN_LENDER_TTL_S
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.limits import Limits, RouterLimiter, ShareGranter
from endivelug.links import Link
from endivelug.messages import (
    Failure,
    Message,
    ShareDemand,
    ShareGrant,
    ShareLoan,
    ShareRequest,
)
from endivelug.refusals import NotRun

# Intervals of checks for due requests to lenders, and to owners.
LOAN_CHECK_INTERVAL_S = 0.25
GRANT_CHECK_INTERVAL_S = 0.1
# Exceeds a round trip within a data centre; the maximum wait of a caller's request.
GRANT_TIMEOUT_S = 0.05
# uvloop rounds timers to milliseconds, so a sleep can end too early.
TIMER_MARGIN_S = 0.002
# Longest wait of a burst; long enough for two requests to the owner.
BURST_WAIT_S = 0.3
# Must be less than 1 s, by which a loan expires later at the lender than here.
LOAN_TIMEOUT_S = 0.5
# Bounds of the exponential backoff between demands to a lender.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Loans are renewed when less than this remains until their deadline.
LOAN_RENEW_BEFORE_S = 4.5
MAX_CACHED_OWNERS = 4096

LimitsOf = Callable[[str], Limits | None]


class ShareNetwork(Protocol):
    """Membership and links, which the agent provides to ``ShareComponent``."""

    def agents(self) -> list[str]:
        """Return the data centre's live agents, with this one, without leaving ones."""

    def data_centres(self) -> list[str]:
        """Return all data centres of the deployment, including unreachable ones."""

    def link(self, vm: str) -> Link:
        """Return the link to an agent of this data centre, or raise LinkClosed."""

    def link_to(self, data_centre: str) -> Link:
        """Return a link to an agent of another data centre, or raise LinkClosed."""

    def gateways(self) -> list[str]:
        """Return the agents of this data centre that have links to other ones."""


@dataclass(slots=True)
class _DemandSchedule:
    """Time of the next demand to a lender, and the backoff after it."""

    next_at: float = 0.0
    backoff_s: float = MIN_BACKOFF_S


class ShareComponent:
    """Grants shares of the organisations that this agent owns.

    Parameters
    ----------
    vm, data_centre : str
        Names of this agent's VM and data centre.
    network : ShareNetwork
        Membership and links.
    limits_of : callable
        Returns the limits of an organisation in the configuration in force; None if
        the organisation is unknown.
    clock : callable
        Returns the current time in seconds; monotonic.
    wall_clock_us : callable
        Returns the time of day in microseconds. Demands are numbered by it, so that
        the numbers of a new owner are above those of the former owner.
    """

    message_types: tuple[type, ...] = (ShareRequest, ShareDemand, ShareLoan)

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        network: ShareNetwork,
        limits_of: LimitsOf,
        clock: Callable[[], float],
        wall_clock_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        self.wall_clock_us = wall_clock_us
        self.vm = vm
        self.data_centre = data_centre
        self.network = network
        self.limits_of = limits_of
        self.clock = clock
        self.granter = ShareGranter(
            data_centre=data_centre, data_centres=[data_centre], routers=1
        )
        # State from before a restart is lost, so ownership starts with this process.
        self._past_memberships: list[tuple[float, list[str]]] = [(clock(), [])]
        self._agents: list[str] = []
        self._owners: dict[str, str | None] = {}
        self._sequence = 0
        self._schedules: dict[tuple[str, str], _DemandSchedule] = {}
        self._pending_demands: set[asyncio.Task[None]] = set()

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Answer a request of a router or of another data centre."""
        match message:
            case ShareRequest():
                return self._grant(message, router=link.peer.vm)
            case ShareDemand() if message.lender == self.data_centre:
                return await self._lend(message, link)
            case ShareDemand():
                if message.data_centre != self.data_centre:
                    return _failure("not-here", "ask an agent of the lender")
                return await _forward(message, self.network.link_to(message.lender))
            case _:
                # Ignores a loan that is not a reply: its deadline counts from a demand.
                return None

    async def run(self) -> None:
        """Send demands for loans to other data centres until cancelled."""
        try:
            while True:
                self._send_due_demands()
                await asyncio.sleep(LOAN_CHECK_INTERVAL_S)
        finally:
            for task in self._pending_demands:
                task.cancel()

    def refresh_membership(self) -> None:
        """Update the live agents, the data centres and the organisations' owners."""
        now = self.clock()
        agents = sorted(self.network.agents())
        if agents != self._agents:
            self._past_memberships.append((now, self._agents))
            self._agents = agents
            self._owners.clear()
            for organisation in self.granter.organisations():
                if self._owner(organisation) != self.vm:
                    self.granter.forget(organisation)
        self._past_memberships = [
            past for past in self._past_memberships if past[0] > now - LOAN_LENDER_TTL_S
        ]
        self.granter.routers = max(1, len(agents))
        data_centres = self.network.data_centres()
        if self.data_centre in data_centres:
            self.granter.data_centres = data_centres

    def _owner(self, organisation: str) -> str | None:
        if organisation not in self._owners:
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            self._owners[organisation] = _rendezvous.owner(
                f"org:{organisation}", self._agents
            )
        return self._owners[organisation]

    def _taken_over_at(self, organisation: str) -> float | None:
        """Return the time at which this agent became the owner, None if long ago."""
        if self.granter.has_state(organisation):
            return None
        for at, agents in reversed(self._past_memberships):
            if _rendezvous.owner(f"org:{organisation}", agents) != self.vm:
                return at
        return None

    def _grant(self, request: ShareRequest, *, router: str) -> Message:
        self.refresh_membership()
        limits = self.limits_of(request.organisation)
        if limits is None:
            return _failure("unknown-organisation", "wait for the configuration")
        if self._owner(request.organisation) != self.vm:
            return _failure("not-owner", "ask the owner of the organisation")
        grant = self.granter.grant(
            request,
            router=router,
            limits=limits,
            now=self.clock(),
            taken_over_at=self._taken_over_at(request.organisation),
        )
        return grant or _failure("owner-is-new", "use the last grant until it ends")

    async def _lend(self, demand: ShareDemand, link: Link) -> Message:
        self.refresh_membership()
        limits = self.limits_of(demand.organisation)
        if limits is None or demand.data_centre not in self.granter.data_centres:
            return _failure("unknown-organisation", "wait for the configuration")
        owner = self._owner(demand.organisation)
        if owner != self.vm:
            # Forwards once only: agents with different views could form a loop.
            if owner is None or link.peer.data_centre == self.data_centre:
                return _failure("not-owner", "ask again later")
            return await _forward(demand, self.network.link(owner))
        loan = self.granter.lend(
            demand,
            limits=limits,
            now=self.clock(),
            taken_over_at=self._taken_over_at(demand.organisation),
        )
        return loan or _failure("old-demand", "use the answer to the newest one")

    def _send_due_demands(self) -> None:
        self.refresh_membership()
        now = self.clock()
        self.granter.forget_idle(now=now)
        for organisation in self.granter.organisations():
            for lender in self.granter.data_centres:
                if lender != self.data_centre:
                    self._send_demand_if_due(organisation, lender, now)
        self._schedules = {
            key: schedule
            for key, schedule in self._schedules.items()
            if self.granter.has_state(key[0]) and now < schedule.next_at + MAX_BACKOFF_S
        }

    def _send_demand_if_due(self, organisation: str, lender: str, now: float) -> None:
        target = self.granter.loan_demand(organisation, lender=lender, now=now)
        amount, until = self.granter.usable_loan(organisation, lender=lender, now=now)
        too_small = any(amount[i] < 0.95 * target[i] for i in range(3))
        excess = any(0.95 * amount[i] > target[i] for i in range(3))
        renew = any(target) and until - now < LOAN_RENEW_BEFORE_S
        schedule = self._schedules.setdefault((organisation, lender), _DemandSchedule())
        if now < schedule.next_at or not (too_small or excess or renew):
            return
        schedule.next_at = now + schedule.backoff_s
        schedule.backoff_s = (
            min(MAX_BACKOFF_S, 2.0 * schedule.backoff_s) if too_small else MIN_BACKOFF_S
        )
        self._sequence = max(self._sequence + 1, self.wall_clock_us())
        demand = ShareDemand(
            organisation=organisation,
            sequence=self._sequence,
            data_centre=self.data_centre,
            lender=lender,
            requests_s=target[0],
            tokens_s=target[1],
            streams=int(target[2]),
            ttl_s=LOAN_TIMEOUT_S,
        )
        self.granter.record_demand(organisation, lender=lender, amount=target, now=now)
        task = asyncio.create_task(self._send_demand(demand, now))
        self._pending_demands.add(task)
        task.add_done_callback(self._pending_demands.discard)

    async def _send_demand(self, demand: ShareDemand, now: float) -> None:
        try:
            link = self._route(demand.lender)
            reply = await link.request(demand, timeout_s=LOAN_TIMEOUT_S)
        except (LinkClosed, LinkBusy, TimeoutError):
            return
        if isinstance(reply, ShareLoan) and reply.organisation == demand.organisation:
            self.granter.add_loan(reply, requested_at=now, now=self.clock())

    def _route(self, data_centre: str) -> Link:
        try:
            return self.network.link_to(data_centre)
        except LinkClosed:
            for vm in self.network.gateways():
                if vm != self.vm:
                    return self.network.link(vm)
            raise


class ShareClient:
    """Enforces limits at the router and requests its shares from the owners.

    Parameters
    ----------
    limiter : RouterLimiter
        Limiter of this router; the router updates its ``router`` on membership
        changes.
    link_to_owner : callable
        Returns the link to the owner of an organisation, or raises LinkClosed.
    limits_of : callable
        Returns the limits of an organisation in the configuration in force.
    clock : callable
        Returns the current time in seconds; monotonic.
    """

    def __init__(
        self,
        *,
        limiter: RouterLimiter,
        link_to_owner: Callable[[str], Link],
        limits_of: LimitsOf,
        clock: Callable[[], float],
    ) -> None:
        self.limiter = limiter
        self.link_to_owner = link_to_owner
        self.limits_of = limits_of
        self.clock = clock
        self._pending: dict[str, asyncio.Task[None]] = {}

    async def acquire(
        self, organisation: str, *, limits: Limits, tokens: int
    ) -> NotRun | None:
        """Charge a request and open its stream, or refuse it.

        Requests a grant from the owner first if there is none. ``limiter.settle``
        corrects the tokens, and ``limiter.release`` closes the stream.
        """
        if self.limiter.needs_grant(organisation, now=self.clock()):
            await asyncio.shield(self._start_request(organisation, limits, tokens))
        elif organisation in self._pending and not self.limiter.has_grant(
            organisation, now=self.clock()
        ):
            await asyncio.shield(self._pending[organisation])
        # The owner did not reply: waits for the fallback share instead of refusing.
        while (
            wait_s := self.limiter.fallback_wait_s(organisation, now=self.clock())
        ) > 0:
            await asyncio.sleep(wait_s + TIMER_MARGIN_S)
        waited_until = self.clock() + BURST_WAIT_S
        is_retry = False
        while True:
            refusal = self.limiter.try_acquire(
                organisation,
                limits=limits,
                tokens=tokens,
                now=self.clock(),
                is_retry=is_retry,
            )
            if refusal is None:
                return None
            wait_s = refusal.retry_after_s or 0.0
            if self.clock() + wait_s > waited_until:
                return refusal
            # A bucket starts with one request, and a share grows only after demand,
            # so even a burst far below the plan would be refused without this wait.
            await asyncio.sleep(wait_s)
            is_retry = True

    async def run(self) -> None:
        """Renew the grants of organisations with demand until cancelled."""
        try:
            while True:
                for organisation in self.limiter.due_organisations(now=self.clock()):
                    limits = self.limits_of(organisation)
                    if limits is not None:
                        self._start_request(organisation, limits, None)
                await asyncio.sleep(GRANT_CHECK_INTERVAL_S)
        finally:
            for task in self._pending.values():
                task.cancel()

    def _start_request(
        self, organisation: str, limits: Limits, pending_tokens: int | None
    ) -> asyncio.Task[None]:
        task = self._pending.get(organisation)
        if task is None:
            task = asyncio.create_task(
                self._request_grant(organisation, limits, pending_tokens)
            )
            self._pending[organisation] = task
            task.add_done_callback(lambda _: self._pending.pop(organisation, None))
        return task

    async def _request_grant(
        self, organisation: str, limits: Limits, pending_tokens: int | None
    ) -> None:
        requested_at = self.clock()
        request = self.limiter.build_request(
            organisation, limits=limits, now=requested_at, pending_tokens=pending_tokens
        )
        try:
            link = self.link_to_owner(organisation)
            reply = await link.request(request, timeout_s=GRANT_TIMEOUT_S)
        except (LinkClosed, LinkBusy, TimeoutError):
            return
        if isinstance(reply, ShareGrant) and reply.organisation == organisation:
            self.limiter.apply_grant(reply, requested_at=requested_at, now=self.clock())


async def _forward(demand: ShareDemand, link: Link) -> Message:
    try:
        return await link.request(demand, timeout_s=LOAN_TIMEOUT_S)
    except TimeoutError:
        return _failure("no-answer", "ask again later")


def _failure(kind: str, remedy: str) -> Failure:
    return Failure(kind=kind, remedy=remedy)
