"""Builds the report for each neighbour from this VM's state and received reports.

A relay passes on the reports of its members to the other relays, and all reports to its
members. No report is sent back to its sender or passed from one relay to another, so
that the work of each VM is counted once.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.peer_messages import (
    EngineWeights,
    HeldPart,
    Mark,
    NoticeKind,
    RouterReport,
    TableVersion,
    WantedAge,
)
from endivelug.forwarding.retry_budget import SharedRetryBudget

# Prompt segments in one report.
MAX_SEGMENTS = 200
# Observed weights are reported for this long. After that the registry lists them,
# because the engine's next heartbeat carries the new version.
WEIGHTS_REPORTED_S = 2.5
# Age limit of reported announcements of desired weights; every VM treats older ones as
# expired anyway.
MAX_REPORTED_AGE_S = 60
# Lifetime of an order notice, which each report renews while the order is in progress.
ORDER_NOTICE_S = 1.0

# Name and kind of a notice.
NoticeKey = tuple[str, str]


@dataclass(slots=True, kw_only=True)
class Neighbour:
    """State of one linked VM from its last report, and what was sent to it.

    Attributes
    ----------
    last_received_at : float
        Time of its last report, or of the opening of the link.
    is_relay : bool
        Whether it passes on the reports of others.
    reported : bool
        Whether it has sent a report on this link, so that ``is_relay`` is certain.
    vms : int
        Number of VMs that its report covers.
    relays : frozenset of str
        Itself and the relays that it is linked to; empty if it is not a relay.
    registry_lost : bool
        Whether it cannot reach the registry of upstreams.
    rows_current_at : float
        Time at which its rows were last known to be current.
    lease_until : float
        Time until which it certainly holds the order lease.
    notices : dict of (str, str) to float
        Expiry times of its notices.
    weights : tuple of EngineWeights
        Weights that it observed on engines.
    pending_segments : list of HeldPart
        Segments that still have to be sent to it.
    last_report, sent_at : RouterReport or None, float
        Last report sent to it, without segments, and the time of sending.
    """

    last_received_at: float
    is_relay: bool = False
    reported: bool = False
    vms: int = 1
    relays: frozenset[str] = frozenset()
    registry_lost: bool = False
    rows_current_at: float = float("-inf")
    lease_until: float = 0.0
    notices: dict[NoticeKey, float] = field(default_factory=dict)
    weights: tuple[EngineWeights, ...] = ()
    pending_segments: list[HeldPart] = field(default_factory=list)
    last_report: RouterReport | None = None
    sent_at: float = 0.0


class ReportBuilder:
    """Builder of reports; stores the notices and observed weights of this VM.

    Parameters
    ----------
    lease_remaining_s : callable
        Returns the time for which this VM certainly holds the order lease.
    ordered_engines : callable
        Returns the engines at which this VM has an order in progress.
    """

    def __init__(
        self,
        *,
        vm: str,
        view: ClusterView,
        budget: SharedRetryBudget,
        lease_remaining_s: Callable[[], float],
        ordered_engines: Callable[[], list[str]],
        clock: Callable[[], float],
    ) -> None:
        self.vm = vm
        self.view = view
        self.budget = budget
        self.lease_remaining_s = lease_remaining_s
        self.ordered_engines = ordered_engines
        self.clock = clock
        self.notices: dict[NoticeKey, float] = {}
        self.weights: dict[EngineWeights, float] = {}

    def add_notice(self, name: str, kind: str, for_s: float) -> None:
        """Add a notice to the reports until it expires."""
        self.notices[name, kind] = self.clock() + for_s

    def add_weights(self, instance: Instance, model: str, version: int) -> None:
        """Add the observed weights of an engine to the reports for a while."""
        observed = EngineWeights(
            instance=instance.name,
            started_ms=instance.started_ms,
            model=model,
            version=version,
        )
        self.weights[observed] = self.clock() + WEIGHTS_REPORTED_S

    def build(
        self,
        neighbours: dict[str, Neighbour],
        *,
        include: Collection[str],
        relay: bool,
        registry_lost: bool,
        rows_age_s: float,
    ) -> RouterReport:
        """Return a report that covers this VM and the included neighbours."""
        now = self.clock()
        included = [neighbours[vm] for vm in include]
        live = [vm for vm, item in neighbours.items() if item.is_relay]
        return RouterReport(
            relay=relay,
            vms=1 + sum(item.vms for item in included),
            relays=sorted([self.vm, *live]) if relay else [],
            registry_lost=registry_lost,
            # Whole seconds, because a report is sent whenever it differs from the last.
            rows_age_s=float(int(rows_age_s)),
            lease_s=round(self.lease_remaining_s(), 1),
            tables=[
                TableVersion(table=table, version=version)
                for table, version in self.view.latest_versions.items()
            ],
            work=self.view.loads.reports(include=include, now=now),
            retries=self.budget.report(include=include, now=now),
            notices=self._collect_notices(included, now),
            weights=self._collect_weights(included, now),
            parts=[],
            desired_weights=self._collect_desired_weights(now),
        )

    def _collect_notices(self, included: list[Neighbour], now: float) -> list[Mark]:
        self.notices = {
            key: until for key, until in self.notices.items() if until > now
        }
        notices = dict(self.notices)
        order_expires_at = now + ORDER_NOTICE_S
        notices.update(
            {
                (name, NoticeKind.ORDER): order_expires_at
                for name in self.ordered_engines()
            }
        )
        for item in included:
            for key, until in item.notices.items():
                notices[key] = max(until, notices.get(key, 0.0))
        return [
            Mark(name=name, kind=kind, for_s=round(until - now, 1))
            for (name, kind), until in notices.items()
            if until > now
        ]

    def _collect_weights(
        self, included: list[Neighbour], now: float
    ) -> list[EngineWeights]:
        self.weights = {
            observed: until for observed, until in self.weights.items() if until > now
        }
        reported = dict.fromkeys(self.weights)
        for item in included:
            reported.update(dict.fromkeys(item.weights))
        return list(reported)

    def _collect_desired_weights(self, now: float) -> list[WantedAge]:
        return [
            WantedAge(model=model, version=version, age_s=float(age_s))
            for model, desired in self.view.desired_weights.items()
            for version, announced in desired.announced.items()
            if announced.observed
            and (age_s := int(now - announced.announced_at)) < MAX_REPORTED_AGE_S
        ]
