"""Routers that exchange reports over simulated links, without connections."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from endivelug import codec
from endivelug.exceptions import LinkBusy
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.peer_messages import FullReportRequest
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import ReportBuilder
from endivelug.forwarding.report_sender import ReportSender
from endivelug.forwarding.report_stream import Standing
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.messages import Message
from endivelug.platform.records import PlatformRecords


class SimulatedLink:
    """One direction of a link; messages wait until they are delivered."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.messages: deque[bytes] = deque()
        self.busy = False
        self.sent = 0
        self.sent_bytes = 0

    def send(self, message: Message, *, encoded: bytes | None = None) -> None:
        """Queue a message, or raise ``LinkBusy``."""
        if self.busy:
            raise LinkBusy("full")
        data = codec.encode(message) if encoded is None else encoded
        self.sent += 1
        self.sent_bytes += len(data)
        self.messages.append(data)


class SimulatedRouter:
    """A router with the exchange of reports, but without connections."""

    def __init__(
        self, name: str, *, is_relay: bool, clock: Callable[[], float], log: Any
    ) -> None:
        self.name = name
        self.is_relay = is_relay
        self.clock = clock
        self.view = ClusterView(records=PlatformRecords(), clock=clock, log=log)
        self.budget = SharedRetryBudget(ratio=0.2, slack=10.0, window_s=1e9)
        self.neighbours: dict[str, Neighbour] = {}
        self.links: dict[str, Any] = {}
        self.builder = ReportBuilder(
            view=self.view,
            budget=self.budget,
            lease_remaining_s=lambda: 0.0,
            ordered_engines=lambda: [],
            clock=clock,
        )
        self.applier = PeerReportApplier(
            view=self.view,
            budget=self.budget,
            refused=RefusedCallers(),
            builder=self.builder,
            clock=clock,
        )
        self.sender = ReportSender(
            builder=self.builder,
            neighbours=self.neighbours,
            links=self.links,
            is_member=lambda item: self.is_relay and not item.is_relay,
            forwards=lambda: self.is_relay,
            on_closed=lambda vm, link: None,
            clock=clock,
            log=log,
        )

    def send_reports(self) -> None:
        """Send one round of reports."""
        relays = [vm for vm, item in self.neighbours.items() if item.is_relay]
        self.sender.send_reports(
            Standing(
                relay=self.is_relay,
                relays=tuple(sorted([self.name, *relays])) if self.is_relay else (),
                registry_lost=False,
                follows_store=True,
                rows_age_s=0,
            )
        )

    def receive(self, source: str, data: bytes) -> None:
        """Apply a message from a neighbour."""
        neighbour = self.neighbours.get(source)
        if neighbour is None:
            return
        _, message = codec.decode(data)
        if isinstance(message, FullReportRequest):
            neighbour.in_sync = False
            return
        was_relay = neighbour.is_relay
        self.applier.apply(source, neighbour, message, forwards=self.is_relay)
        if neighbour.is_relay != was_relay:
            neighbour.in_sync = False
        if neighbour.missed:
            self.links[source].send(FullReportRequest())


class SimulatedNetwork:
    """Relays that are all linked, and members of one relay each."""

    def __init__(
        self, *, relays: int, members: int, clock: Callable[[], float], log: Any
    ) -> None:
        names = [f"relay{number}" for number in range(relays)]
        self.routers = {
            name: SimulatedRouter(name, is_relay=True, clock=clock, log=log)
            for name in names
        }
        self.pairs = [(one, other) for one in names for other in names if one < other]
        for number in range(members):
            name = f"member{number}"
            self.routers[name] = SimulatedRouter(
                name, is_relay=False, clock=clock, log=log
            )
            self.pairs.append((name, names[number % len(names)]))
        for pair in self.pairs:
            self.link(*pair)

    def link(self, one: str, other: str) -> None:
        """Open the link of two routers."""
        for source, target in ((one, other), (other, one)):
            router = self.routers[source]
            router.neighbours[target] = Neighbour(last_received_at=router.clock())
            router.links[target] = SimulatedLink(target)

    def cut(self, one: str, other: str) -> None:
        """Close the link of two routers, with the messages on it."""
        for source, target in ((one, other), (other, one)):
            router = self.routers[source]
            if router.neighbours.pop(target, None) is None:
                continue
            del router.links[target]
            router.budget.forget(target)
            router.view.loads.neighbours.drop(target)

    def waiting_messages(self) -> Iterator[tuple[str, SimulatedLink]]:
        """Yield each direction of a link on which messages wait, with its sender."""
        for name, router in self.routers.items():
            for link in list(router.links.values()):
                if link.messages:
                    yield name, link
