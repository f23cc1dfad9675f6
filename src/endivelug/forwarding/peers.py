"""Links between routers, over which they exchange load, notices and table rows."""

import random
from collections.abc import Callable

from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.crashes.exchange import CrashExchange
from endivelug.forwarding.crashes.suspects import CrashSuspects
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.link_targets import LinkTargets
from endivelug.forwarding.neighbour import NO_MEMBER, Neighbour
from endivelug.forwarding.overlay import Overlay, RegisteredVm
from endivelug.forwarding.peer_guard import guard_handlers
from endivelug.forwarding.peer_messages import (
    CrashNews,
    FullReportRequest,
    NoticeKind,
    RouterReport,
    RowsRequest,
)
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.peer_rows import PeerRows
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import ReportBuilder, engine_weights
from endivelug.forwarding.report_rounds import ReportRounds
from endivelug.forwarding.report_sender import ReportSender
from endivelug.forwarding.report_stream import Standing, segment_changes
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.rows_source import RowsSource
from endivelug.forwarding.shared_amounts import SharedAmountTable
from endivelug.links import Identity, Link, LinkServer, SyncHandlers
from endivelug.messages import Failure, Message

# The role and the links are chosen again at this interval if no link has changed.
ROLE_CHECK_S = 0.5
# After its link has closed, the requests of a VM are counted for this long.
AMOUNTS_KEPT_S = 1.5
# A peer that is silent for longer is partitioned or has stopped; its link is closed.
SILENT_S = 2.0
# A lease holder that is silent for longer may have stopped.
LEASE_SILENT_S = 0.8


class Peers:
    """Keeps links to the other routers and exchanges reports with them.

    Parameters
    ----------
    identity : Identity
        Identity of this process on the links.
    lease_remaining_s : callable
        Returns the seconds for which this VM certainly still holds the order lease.
    ordered_engines : callable
        Returns the engines at which this VM has a weights order in progress.
    store_connected, registry_connected : callable
        Whether all of this VM's store feeds answer, and whether the registry feed does.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        view: ClusterView,
        budget: SharedRetryBudget,
        refused: RefusedCallers,
        suspects: CrashSuspects,
        lease_remaining_s: Callable[[], float],
        ordered_engines: Callable[[], list[str]],
        store_connected: Callable[[], bool],
        registry_connected: Callable[[], bool],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.identity = identity
        self.view = view
        self.budget = budget
        self.store_connected = store_connected
        self.registry_connected = registry_connected
        self.clock = clock
        self.log = log
        self.overlay = Overlay(vm=identity.vm, data_centre=identity.data_centre)
        self.neighbours: dict[str, Neighbour] = {}
        self.links: dict[str, Link] = {}
        self.crashes = CrashExchange(
            suspects=suspects,
            links=self.links,
            on_crash=view.record_crash,
            clock=clock,
            log=log,
        )
        self.shared = SharedAmountTable()
        self.builder = ReportBuilder(
            view=view,
            budget=budget,
            shared=self.shared,
            lease_remaining_s=lease_remaining_s,
            ordered_engines=ordered_engines,
            clock=clock,
        )
        self.report_applier = PeerReportApplier(
            view=view,
            budget=budget,
            shared=self.shared,
            refused=refused,
            builder=self.builder,
            clock=clock,
        )
        self.rows_source = RowsSource(
            view=view,
            overlay=self.overlay,
            neighbours=self.neighbours,
            store_connected=store_connected,
            clock=clock,
        )
        self.rows = PeerRows(
            view=view, follows_store=self.follows_store, clock=clock, log=log
        )
        handlers: SyncHandlers = {
            RouterReport: self._apply_report,
            FullReportRequest: self._answer_full_report,
            CrashNews: self.crashes.receive,
            RowsRequest: lambda link, request: self.rows.answer(request),
        }
        self.sync_handlers = guard_handlers(handlers, log=log)
        self.targets = LinkTargets(
            identity=identity,
            handler=self._reject_message,
            sync_handlers=self.sync_handlers,
            on_open=self._on_link_open,
            on_close=self._on_link_close,
            on_unreachable=self._record_unreachable,
            rng=rng,
        )
        self.server = LinkServer(
            identity=identity,
            handler=self._reject_message,
            sync_handlers=self.sync_handlers,
            on_open=self._on_link_open,
            on_close=self._on_link_close,
        )
        self.sender = ReportSender(
            builder=self.builder,
            neighbours=self.neighbours,
            links=self.links,
            is_member=self._is_member,
            forwards=lambda: self.overlay.is_relay,
            on_closed=self._remove_neighbour,
            clock=clock,
            log=log,
        )
        self.rounds = ReportRounds(clock=clock)
        view.loads.on_change = self.rounds.note_change
        self.shared.on_change = self.rounds.note_change
        view.rows.on_version_advanced = self.rounds.announce
        self._roles_checked_at = float("-inf")
        self._departed: dict[str, float] = {}

    async def listen(self, *, host: str, port: int) -> None:
        """Start accepting links."""
        await self.server.start(host=host, port=port)

    def set_registered_vms(self, listed: list[RegisteredVm]) -> None:
        """Replace the registered VMs, and update the role and the links."""
        was_relay = self.overlay.is_relay
        self.overlay.set_registered_vms(listed, now=self.clock())
        self._apply_role_change(was_relay)
        self._update_targets()

    @property
    def vms(self) -> int:
        """Number of live VMs, including this one."""
        counted = 1 + sum(item.vms for item in self.neighbours.values())
        # While roles change, several neighbours report for the same VMs.
        return min(counted, max(1, len(self.overlay.registered)))

    def peer_holds_lease(self) -> bool:
        """Return whether a live peer holds the order lease."""
        now = self.clock()
        return any(
            item.lease_until > now and now - item.last_received_at < LEASE_SILENT_S
            for item in self.neighbours.values()
        )

    def follows_store(self) -> bool:
        """Return whether this VM has to follow the store itself."""
        return self.rows_source.follows_store()

    def send_notice(self, name: str, kind: NoticeKind, for_s: float) -> None:
        """Send an expiring notice to all peers."""
        self.builder.add_notice(name, kind, until=self.clock() + for_s)
        self.announce()

    def last_peer_order_at(self, instance: str) -> float:
        """Return when a peer last had a weights order in progress at an instance."""
        return self.report_applier.last_order_at.get(instance, float("-inf"))

    def announce_segments(
        self,
        cache: str,
        namespace: str,
        segments: list[PromptSegment],
        prefill_s: float = 0.0,
    ) -> None:
        """Announce that a cache holds or prefills segments, as in ``HeldPart``."""
        self.builder.add_segments(
            segment_changes(cache, namespace, segments, prefill_s=prefill_s)
        )
        if prefill_s:
            self.announce()
        else:
            self.rounds.note_change()

    def announce_weights(self, instance: Instance, model: str, version: int) -> None:
        """Announce an engine's weights to the peers, ahead of its registration."""
        self.builder.add_weights(engine_weights(instance, model, version))
        self.announce()

    def announce(self) -> None:
        """Send a report without waiting for the regular interval."""
        self.rounds.announce()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            now = self.clock()
            self._remove_silent_neighbours(now)
            self._drop_departed(now)
            self._update_role(now)
            self.sender.send_reports(self._standing())
            await self.rounds.wait(
                started_at=now,
                links=len(self.neighbours),
                has_changes=self.builder.has_changes(),
            )

    async def close(self) -> None:
        """Close every link."""
        await self.targets.close()
        await self.server.stop()

    def _update_role(self, now: float) -> None:
        """Choose the role and the links again after a change, or after a while."""
        if now < self._roles_checked_at + ROLE_CHECK_S:
            return
        self._roles_checked_at = now
        was_relay = self.overlay.is_relay
        relays = {vm for vm, item in self.neighbours.items() if item.is_relay}
        for vm in list(relays):
            relays.update(self.neighbours[vm].relays)
        self.overlay.update_relays(relays, now=now)
        self._apply_role_change(was_relay)
        self._update_targets()

    def _check_role_soon(self) -> None:
        self._roles_checked_at = float("-inf")

    def _apply_role_change(self, was_relay: bool) -> None:
        if was_relay == self.overlay.is_relay:
            return
        for vm, item in self.neighbours.items():
            item.in_sync = False
            self.report_applier.set_upstream(vm, not self._is_member(item))
        self.log(
            "relay-role",
            relay=self.overlay.is_relay,
            relays=sorted(self.overlay.relays),
            listed=len(self.overlay.registered),
        )

    def _is_member(self, neighbour: Neighbour) -> bool:
        """Return whether this VM is the relay of a neighbour."""
        return self.overlay.is_relay and not neighbour.is_relay

    def _update_targets(self) -> None:
        wanted = self.overlay.targets(now=self.clock())
        self.targets.update(wanted, linked=self.neighbours)

    def _record_unreachable(self, vm: str) -> None:
        self.overlay.record_unreachable(vm, now=self.clock())

    def _standing(self) -> Standing:
        forwards = self.overlay.is_relay
        relays = [vm for vm, item in self.neighbours.items() if item.is_relay]
        return Standing(
            relay=forwards,
            relays=tuple(sorted([self.identity.vm, *relays])) if forwards else (),
            registry_lost=not self.registry_connected(),
            follows_store=self.follows_store() and self.store_connected(),
            rows_age_s=int(self.rows_source.rows_age_s()),
            holds_lease=self.builder.lease_remaining_s() > 0,
            store_era=self.view.eras.confirmed or 0,
            configuration=self.view.configuration_number,
        )

    def _remove_silent_neighbours(self, now: float) -> None:
        """Close links without heartbeats; connections can go silent without a reset."""
        for vm, neighbour in list(self.neighbours.items()):
            if now - neighbour.last_received_at > SILENT_S:
                self.links[vm].socket.abort()
                self._remove_neighbour(vm, self.links[vm])
                self._drop_amounts(vm)

    def _drop_departed(self, now: float) -> None:
        """Drop the amounts of neighbours whose link closed a while ago."""
        for vm in [vm for vm, until in self._departed.items() if until <= now]:
            self._drop_amounts(vm)

    def _drop_amounts(self, vm: str) -> None:
        self._departed.pop(vm, None)
        self.view.loads.neighbours.drop(vm)
        self.shared.neighbours.drop(vm)

    def _on_link_open(self, link: Link) -> None:
        vm = link.peer.vm
        # A process before this one may have ended, and its link close later.
        self.budget.forget(vm, now=self.clock())
        if vm not in self.neighbours:
            self.log("dependency-regained", dependency=f"peer/{vm}")
        self.neighbours[vm] = Neighbour(last_received_at=self.clock())
        self.links[vm] = link
        self.crashes.greet(link)
        self._check_role_soon()
        self.announce()

    def _on_link_close(self, link: Link) -> None:
        self._remove_neighbour(link.peer.vm, link)

    def _remove_neighbour(self, vm: str, link: Link) -> None:
        if self.links.get(vm) is not link:
            return
        del self.neighbours[vm]
        del self.links[vm]
        self.budget.forget(vm, now=self.clock())
        self.rows.forget(vm)
        # Its requests are counted until it may have linked again.
        self._departed[vm] = self.clock() + AMOUNTS_KEPT_S
        self.overlay.record_unreachable(vm, now=self.clock())
        self._check_role_soon()
        self.log("dependency-lost", dependency=f"peer/{vm}")

    def _apply_report(self, link: Link, report: RouterReport) -> None:
        vm = link.peer.vm
        if vm not in self.neighbours:
            if link.closed.is_set():
                # Reports that arrive during the closing handshake.
                return
            self._on_link_open(link)
        neighbour = self.neighbours[vm]
        standing = (neighbour.reported, neighbour.is_relay, neighbour.relays)
        if report.full:
            self._drop_former_relays(vm, report)
        urgent = self.report_applier.apply(
            vm, neighbour, report, forwards=self.overlay.is_relay
        )
        if standing != (neighbour.reported, neighbour.is_relay, neighbour.relays):
            self._standing_changed(neighbour, was_relay=standing[1])
        if neighbour.is_relay:
            self.overlay.record_reachable(vm)
        self.rows.compare(link, neighbour)
        self.rows_source.apply_registry_state(vm, neighbour)
        if neighbour.missed:
            self._request_full_report(link)
        if urgent:
            self.announce()
        elif self.overlay.is_relay:
            self.rounds.note_change()
        self.view.on_change()

    def _request_full_report(self, link: Link) -> None:
        try:
            link.send(FullReportRequest())
        except (LinkBusy, LinkClosed) as error:
            # The next report asks again.
            self.log("peer-slow", peer=link.peer.vm, reason=str(error))

    def _answer_full_report(self, link: Link, request: FullReportRequest) -> None:
        if neighbour := self.neighbours.get(link.peer.vm):
            neighbour.in_sync = False
            self.announce()

    def _standing_changed(self, neighbour: Neighbour, *, was_relay: bool) -> None:
        if neighbour.is_relay != was_relay:
            neighbour.in_sync = False
        self._check_role_soon()
        self.announce()

    def _drop_former_relays(self, vm: str, report: RouterReport) -> None:
        """Drop the totals of a former relay: they would be counted twice."""
        self._departed.pop(vm, None)
        if report.number == NO_MEMBER or self.overlay.is_relay:
            return
        for other in [other for other in self._departed if other != vm]:
            self._drop_amounts(other)

    async def _reject_message(self, link: Link, message: Message) -> Message | None:
        return Failure(kind="unknown", remedy="send messages between routers only")
