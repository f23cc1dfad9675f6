"""Connects stated limits to the heads of responses, the other VMs and the log."""

import random
from collections.abc import Callable
from typing import Protocol

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.requests import ResponseInfo
from endivelug.forwarding.stated_limits.known_limits import (
    NOTICE_S,
    KnownLimits,
    LimitChange,
)
from endivelug.forwarding.stated_limits.statement import (
    Limited,
    Unusable,
    news_of,
    notice_name,
    statement_of,
)

# An upstream whose answers all state an unusable limit gets one log line in this time,
# and so does one that states another limit in each answer.
FAULT_LOG_INTERVAL_S = 10.0
CHANGE_LOG_INTERVAL_S = 1.0


class Links(Protocol):
    """The links to the other VMs."""

    report_applier: PeerReportApplier

    def send_notice(self, name: str, kind: NoticeKind, for_s: float) -> None:
        """Send an expiring notice to all VMs."""


class StatedLimits:
    """The limits that upstreams state, as this VM knows them.

    Attributes
    ----------
    known : KnownLimits
        Newest words of the upstreams.
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
        self.known = KnownLimits(rng=rng)
        self.send_notice: Callable[[str, float], None] = lambda name, for_s: None
        self._logged_at: dict[tuple[str, str], float] = {}

    def connect(self, peers: Links) -> None:
        """Exchange what is known with the other VMs."""
        self.send_notice = lambda name, for_s: peers.send_notice(
            name, NoticeKind.LIMIT, for_s
        )
        peers.report_applier.on_limit_notice = self.apply_notice

    def count(self) -> int:
        """Return the number of upstreams that state a limit."""
        return sum(word.per_s is not None for word in self.known.words.values())

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
        if not self.known.words:
            return
        now = self.clock()
        self._announce(now)
        registered = {item.name: item.started_ms for item in self.view.registry.all()}
        for change in self.known.expire(registered, now=now):
            self._apply(change)

    def _announce(self, now: float) -> None:
        for news, age_s in self.known.due_news(now=now):
            self.send_notice(notice_name(news), NOTICE_S - age_s)

    def _apply(self, change: LimitChange | None) -> None:
        """Announce and log a change."""
        if change is None:
            return
        now = self.clock()
        self._announce(now)
        self._log(change, now)

    def _log(self, change: LimitChange, now: float) -> None:
        age_s, source = round(change.age_s, 2), change.source.value
        if change.per_s is None:
            self.view.log(
                "limit-ended",
                instance=change.name,
                limit=change.before,
                age_s=age_s,
                source=source,
            )
            return
        may_log = self._may_log("change", change.name, CHANGE_LOG_INTERVAL_S, now)
        if change.before is not None and not may_log:
            return
        self.view.log(
            "limit-stated",
            instance=change.name,
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
