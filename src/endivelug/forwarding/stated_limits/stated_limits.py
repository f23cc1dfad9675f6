"""Connects stated limits to the heads of responses, the other VMs and the log."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.peer_messages import NoticeKind, incarnation_name
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.requests import ResponseInfo
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.shared_amounts import SharedAmounts, SharedAmountTable
from endivelug.forwarding.stated_limits.known_limits import (
    NOTICE_S,
    Incarnation,
    KnownLimits,
    LimitChange,
)
from endivelug.forwarding.stated_limits.limit_share import LimitShare, OthersUse
from endivelug.forwarding.stated_limits.statement import (
    Limited,
    Unusable,
    news_of,
    notice_name,
    statement_of,
)

KIND = "limit"
# Interval at which a send that cannot go to another upstream asks for its turn.
TURN_CHECK_S = 0.05
# An upstream whose answers all state an unusable limit gets one log line in this time,
# and so does one that states another limit in each answer.
FAULT_LOG_INTERVAL_S = 10.0
CHANGE_LOG_INTERVAL_S = 1.0


class Links(Protocol):
    """The links to the other VMs."""

    shared: SharedAmountTable
    budget: SharedRetryBudget
    report_applier: PeerReportApplier

    @property
    def vms(self) -> int:
        """Number of live VMs, including this one."""

    def send_notice(self, name: str, kind: NoticeKind, for_s: float) -> None:
        """Send an expiring notice to all VMs."""


class StatedLimits:
    """The limits that upstreams state, and what this VM may use of them.

    Attributes
    ----------
    known : KnownLimits
        Newest words of the upstreams.
    shares : dict of (str, int) to LimitShare
        What this VM may use, by incarnation with a limit; empty without any limit.
    use : SharedAmounts or None
        Requests and opened windows as ``OthersUse`` has them, by incarnation; None
        while this VM is not connected to others.
    vms : callable
        Returns the number of VMs that report, this one included.
    vms_share : callable
        Returns the part of each limit that these VMs may use.
    weight : callable
        Returns the weight of this VM among those with calls for a service.
    send_notice : callable
        Sends a notice with a name and its lifetime in seconds.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.clock = clock
        self.rng = rng
        self.known = KnownLimits(rng=rng)
        self.shares: dict[Incarnation, LimitShare] = {}
        self.use: SharedAmounts | None = None
        self.vms: Callable[[], int] = lambda: 1
        self.vms_share: Callable[[], float] = lambda: 1.0
        self.weight: Callable[[str], int] = lambda service: 1
        self.send_notice: Callable[[str, float], None] = lambda name, for_s: None
        self._logged_at: dict[tuple[str, str], float] = {}

    def connect(self, peers: Links) -> None:
        """Exchange what is known with the other VMs."""
        self.use = SharedAmounts(kind=KIND, table=peers.shared)
        self.vms = lambda: peers.vms
        self.weight = lambda service: max(
            1, peers.budget.own(service, now=self.clock()).requests
        )
        self.send_notice = lambda name, for_s: peers.send_notice(
            name, NoticeKind.LIMIT, for_s
        )
        peers.report_applier.on_limit_notice = self.apply_notice

    def count(self) -> int:
        """Return the number of upstreams that state a limit."""
        return len(self.shares)

    def is_limited(self, instance: Instance) -> bool:
        """Return whether an instance states a limit."""
        return instance.incarnation in self.shares

    def may_send(self, instance: Instance) -> bool:
        """Return whether the limit of an instance, if any, allows one more request."""
        share = self.shares.get(instance.incarnation)
        if share is None:
            return True
        now = self.clock()
        if not share.has_window(now=now):
            share.open_window(
                self._others(instance.incarnation),
                weight=self.weight(instance.service),
                now=now,
            )
            self._publish(instance.incarnation, share, now)
        return share.allotment > 0

    async def wait_for_turn(self, instance: Instance, *, until: float) -> bool:
        """Wait until the limit of an instance allows a request, and return whether."""
        while not self.may_send(instance):
            left_s = until - self.clock()
            if left_s <= 0:
                return False
            await asyncio.sleep(min(left_s, TURN_CHECK_S))
        return True

    def record_sent(self, instance: Instance) -> None:
        """Count a request that is sent to an instance, for whatever reason."""
        share = self.shares.get(instance.incarnation) if self.shares else None
        if share is not None:
            now = self.clock()
            share.record_sent(now=now)
            self._publish(instance.incarnation, share, now)

    def rate_for(self, call: Call) -> float | None:
        """Return how many requests a second this VM may send for calls like this one.

        Returns
        -------
        float or None
            None unless every instance that can take the call now or soon has a limit.
        """
        if not self.shares:
            return None
        total, now = 0.0, self.clock()
        weight = self.weight(call.service)
        for instance in self.view.registry.of_service(call.service):
            load = self.view.loads.of(instance.name)
            if load.silent or instance.name in call.excluded_instances:
                continue
            if call.route.generates and not self._serves(instance, call):
                continue
            share = self.shares.get(instance.incarnation)
            if share is None:
                return None
            others = self._others(instance.incarnation)
            total += share.rate / share.competing(others, weight=weight, now=now)
        return total or None

    def record_head(
        self, instance: Instance, info: ResponseInfo, *, request: str
    ) -> None:
        """Record what the head of a response states; see ``KnownLimits.hear``.

        Parameters
        ----------
        request : str
            Key of the call that it answers.
        """
        states_nothing = info.limit_per_s is None and info.invalid_limit is None
        if states_nothing and not self.known.words:
            return
        statement = statement_of(info)
        if statement is None:
            return
        now = self.clock()
        match statement:
            case Unusable(fault=fault) | Limited(fault=str(fault)):
                if self._may_log("fault", instance.name, FAULT_LOG_INTERVAL_S, now):
                    self.view.log("limit-unusable", instance=instance.name, fault=fault)
        work = self.view.loads.of(instance.name).work.get(request)
        sent_at = work.sent_at if work is not None else float("-inf")
        self._apply(
            self.known.hear(instance.incarnation, statement, sent_at=sent_at, now=now)
        )

    def apply_notice(self, notice: str, for_s: float) -> None:
        """Apply what another VM was told."""
        news = news_of(notice)
        if news is not None and for_s > 0:
            age_s = NOTICE_S - for_s
            self._apply(self.known.learn(news, age_s=age_s, now=self.clock()))

    def exchange(self) -> None:
        """Announce what is due, and drop what is outdated."""
        if not self.known.words or not self.view.complete:
            return
        now = self.clock()
        self._announce(now)
        for incarnation, share in self.shares.items():
            self._publish(incarnation, share, now)
        registered = {item.name: item.started_ms for item in self.view.registry.all()}
        for change in self.known.expire(registered, now=now):
            self._apply(change)

    def _announce(self, now: float) -> None:
        for news, age_s in self.known.due_news(now=now):
            self.send_notice(notice_name(news), NOTICE_S - age_s)

    def _apply(self, change: LimitChange | None) -> None:
        """Begin, change or end a limit, announce and log that."""
        if change is None:
            return
        now, incarnation = self.clock(), change.incarnation
        share = self.shares.get(incarnation)
        if change.per_s is None:
            self.shares.pop(incarnation, None)
            if self.use is not None:
                self.use.set_own(incarnation_name(*incarnation), ())
            self.view.on_change()
        elif share is not None:
            share.limit = change.per_s
        else:
            self.shares[incarnation] = LimitShare(
                limit=change.per_s, credit=self.rng.random()
            )
        self._announce(now)
        self._log(change, now)

    def _serves(self, instance: Instance, call: Call) -> bool:
        return self.view.weights_of(instance, call.request.model or "") is not None

    def _others(self, incarnation: Incarnation) -> OthersUse:
        sent = opened = 0
        if self.use is not None:
            values = self.use.others(incarnation_name(*incarnation))
            # A sum can be below 0 for a moment while reports arrive in parts.
            sent, opened, *_ = (max(0, value) for value in (*values, 0, 0))
        return OthersUse(
            sent=sent, opened=opened, vms=self.vms(), share=self.vms_share()
        )

    def _publish(self, incarnation: Incarnation, share: LimitShare, now: float) -> None:
        if self.use is not None:
            counts = (share.sent.total(now=now), share.opened.total(now=now))
            self.use.set_own(incarnation_name(*incarnation), map(int, counts))

    def _log(self, change: LimitChange, now: float) -> None:
        name, source = change.incarnation[0], change.source.value
        age_s = round(change.age_s, 2)
        if change.per_s is None:
            self.view.log(
                "limit-ended",
                instance=name,
                limit=change.before,
                age_s=age_s,
                source=source,
            )
            return
        may_log = self._may_log("change", name, CHANGE_LOG_INTERVAL_S, now)
        if change.before is not None and not may_log:
            return
        self.view.log(
            "limit-stated",
            instance=name,
            limit=change.per_s,
            before=change.before,
            age_s=age_s,
            source=source,
        )

    def _may_log(self, kind: str, name: str, interval_s: float, now: float) -> bool:
        """Return whether enough time has passed since the last such line."""
        if now < self._logged_at.get((kind, name), float("-inf")) + interval_s:
            return False
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if now < at + FAULT_LOG_INTERVAL_S
        }
        self._logged_at[kind, name] = now
        return True
