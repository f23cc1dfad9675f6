"""Builds the report for each neighbour from this VM's state and what others reported.

A relay passes the reports of its members on to the relays, and everything to its
members. Nothing goes back to the neighbour that it came from, and nothing from one
relay to another, so that each VM's work is counted once.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.peer_messages import (
    EngineWeights,
    HeldPart,
    Mark,
    MarkKind,
    RouterReport,
    TableVersion,
    WantedAge,
)
from endivelug.forwarding.retry_budget import SharedRetryBudget

MAX_PARTS = 200
# The registry tells of new weights with the next heartbeat of the engine.
WEIGHTS_TOLD_S = 2.5
# Weights that were named longer ago count as old everywhere.
AGE_TOLD_S = 60
# Repeated with every report while the order is in progress.
ORDER_MARK_S = 1.0

# Name and kind of a mark.
MarkKey = tuple[str, str]


@dataclass(slots=True, kw_only=True)
class Neighbour:
    """What one linked VM said last.

    Attributes
    ----------
    heard_at : float
        When it last sent a report, or opened the link.
    relay : bool
        Whether it passes reports on.
    known : bool
        Whether it has sent a report on this link, so that ``relay`` is its own word.
    vms : int
        Number of VMs that it speaks for.
    relays : frozenset of str
        Relays that it is linked to.
    registry_lost : bool
        Whether it cannot reach the registry of upstreams.
    rows_current_at : float
        When its rows were last known to be current.
    lease_until : float
        Until then it certainly holds the lease of orders.
    marks : dict of (str, str) to float
        Until when each of its marks holds.
    weights : tuple of EngineWeights
        Weights that it saw on engines.
    parts : list of HeldPart
        Cached parts that it has still to be told.
    sent, sent_at : RouterReport or None, float
        Last report to it, without cached parts.
    """

    heard_at: float
    relay: bool = False
    known: bool = False
    vms: int = 1
    relays: frozenset[str] = frozenset()
    registry_lost: bool = False
    rows_current_at: float = float("-inf")
    lease_until: float = 0.0
    marks: dict[MarkKey, float] = field(default_factory=dict)
    weights: tuple[EngineWeights, ...] = ()
    parts: list[HeldPart] = field(default_factory=list)
    sent: RouterReport | None = None
    sent_at: float = 0.0


class ReportBuilder:
    """Builder of reports, with what this VM itself has to tell.

    Parameters
    ----------
    lease_left_s : callable
        For how long this VM certainly holds the lease of orders.
    ordered : callable
        Engines that this VM has under an order.
    """

    def __init__(
        self,
        *,
        vm: str,
        view: ClusterView,
        budget: SharedRetryBudget,
        lease_left_s: Callable[[], float],
        ordered: Callable[[], list[str]],
        clock: Callable[[], float],
    ) -> None:
        self.vm = vm
        self.view = view
        self.budget = budget
        self.lease_left_s = lease_left_s
        self.ordered = ordered
        self.clock = clock
        self.marks: dict[MarkKey, float] = {}
        self.weights: dict[EngineWeights, float] = {}

    def mark(self, name: str, kind: str, for_s: float) -> None:
        """Keep what the others have to know for a while."""
        self.marks[name, kind] = self.clock() + for_s

    def saw_weights(self, instance: Instance, model: str, version: int) -> None:
        """Keep which weights an engine has."""
        seen = EngineWeights(
            instance=instance.name,
            started_ms=instance.started_ms,
            model=model,
            version=version,
        )
        self.weights[seen] = self.clock() + WEIGHTS_TOLD_S

    def build(
        self,
        neighbours: dict[str, Neighbour],
        *,
        include: Collection[str],
        relay: bool,
        registry_lost: bool,
        rows_age_s: float,
    ) -> RouterReport:
        """Return the report that speaks for this VM and the included neighbours."""
        now = self.clock()
        passed_on = [neighbours[vm] for vm in include]
        live = [vm for vm, item in neighbours.items() if item.relay]
        return RouterReport(
            relay=relay,
            vms=1 + sum(item.vms for item in passed_on),
            relays=sorted([self.vm, *live]) if relay else [],
            registry_lost=registry_lost,
            # Whole seconds, so that the report does not change all the time.
            rows_age_s=float(int(rows_age_s)),
            lease_s=round(self.lease_left_s(), 1),
            tables=[
                TableVersion(table=table, version=version)
                for table, version in self.view.highest.items()
            ],
            work=self.view.loads.reports(include=include, now=now),
            retries=self.budget.report(include=include, now=now),
            marks=self._marks(passed_on, now),
            weights=self._weights(passed_on, now),
            parts=[],
            wanted=self._wanted(now),
        )

    def _marks(self, passed_on: list[Neighbour], now: float) -> list[Mark]:
        self.marks = {key: until for key, until in self.marks.items() if until > now}
        marks = dict(self.marks)
        order_until = now + ORDER_MARK_S
        marks.update({(name, MarkKind.ORDER): order_until for name in self.ordered()})
        for item in passed_on:
            for key, until in item.marks.items():
                marks[key] = max(until, marks.get(key, 0.0))
        return [
            Mark(name=name, kind=kind, for_s=round(until - now, 1))
            for (name, kind), until in marks.items()
            if until > now
        ]

    def _weights(self, passed_on: list[Neighbour], now: float) -> list[EngineWeights]:
        self.weights = {
            seen: until for seen, until in self.weights.items() if until > now
        }
        told = dict.fromkeys(self.weights)
        for item in passed_on:
            told.update(dict.fromkeys(item.weights))
        return list(told)

    def _wanted(self, now: float) -> list[WantedAge]:
        return [
            WantedAge(model=model, version=version, age_s=float(age_s))
            for model, wanted in self.view.weights.items()
            for version, named in wanted.named.items()
            if named.live and (age_s := int(now - named.known_at)) < AGE_TOLD_S
        ]
