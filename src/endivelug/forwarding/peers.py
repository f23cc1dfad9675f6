"""Links between routers, over which they exchange load, notices and table rows."""

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import replace
from functools import partial

from endivelug import codec
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.overlay import Overlay, RegisteredVm
from endivelug.forwarding.peer_messages import (
    HeldPart,
    RouterReport,
    RowsReply,
    RowsRequest,
)
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.peer_rows import PeerRows
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import MAX_SEGMENTS, Neighbour, ReportBuilder
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.links import Identity, Link, LinkKeeper, LinkServer, SyncHandlers
from endivelug.messages import Failure, Message

# Shortest regular interval between reports.
REPORT_MIN_S = 0.1
# Limit of the reports that a VM sends per second, for all of its neighbours together.
REPORTS_PER_S = 100.0
# Per neighbour, the shortest delay of an urgent report after the previous report.
URGENT_INTERVAL_S = 0.004
# An unchanged report is repeated at this interval.
HEARTBEAT_S = 0.5
# A peer that is silent for longer is partitioned or has stopped; its link is closed.
SILENT_S = 2.0
# A relay that is silent for longer may be frozen; its members follow the store again.
RELAY_SILENT_S = 0.8
# A relay's rows that were not known to be current for longer may be stale.
ROWS_AGE_MAX_S = 1.5
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
        self.rng = rng
        self.log = log
        self.overlay = Overlay(vm=identity.vm, data_centre=identity.data_centre)
        self.neighbours: dict[str, Neighbour] = {}
        self.links: dict[str, Link] = {}
        self.max_vms = 1
        self.builder = ReportBuilder(
            vm=identity.vm,
            view=view,
            budget=budget,
            lease_remaining_s=lease_remaining_s,
            ordered_engines=ordered_engines,
            clock=clock,
        )
        self.report_applier = PeerReportApplier(
            view=view, budget=budget, refused=refused, clock=clock
        )
        self.rows = PeerRows(
            view=view, follows_store=self.follows_store, clock=clock, log=log
        )
        self.keepers: dict[str, asyncio.Task[None]] = {}
        self.sync_handlers: SyncHandlers = {
            RouterReport: self._apply_report,
            RowsRequest: self._answer_rows,
        }
        self.server = LinkServer(
            identity=identity,
            handler=self._reject_message,
            sync_handlers=self.sync_handlers,
            on_open=self._on_link_open,
            on_close=self._on_link_close,
        )
        self._changed = asyncio.Event()

    async def listen(self, *, host: str, port: int) -> None:
        """Start accepting links."""
        await self.server.start(host=host, port=port)

    def set_registered_vms(self, listed: list[RegisteredVm]) -> None:
        """Replace the registered VMs, and update the role and the links."""
        was_relay = self.overlay.is_relay
        self.overlay.set_registered_vms(listed, now=self.clock())
        self._log_role_change(was_relay)
        self._update_links()

    @property
    def vms(self) -> int:
        """Number of live VMs, including this one."""
        return 1 + sum(item.vms for item in self.neighbours.values())

    def peer_holds_lease(self) -> bool:
        """Return whether a live peer holds the order lease."""
        now = self.clock()
        return any(
            item.lease_until > now and now - item.last_received_at < LEASE_SILENT_S
            for item in self.neighbours.values()
        )

    def follows_store(self) -> bool:
        """Return whether this VM has to follow the store itself.

        The members of a relay get their rows from the relay, so that the number of
        calls to the store does not grow with the number of VMs.
        """
        relay = self._relay_neighbour()
        if relay is None:
            return True
        now = self.clock()
        return (
            now - relay.last_received_at > RELAY_SILENT_S
            or now - relay.rows_current_at > ROWS_AGE_MAX_S
        )

    def send_notice(self, name: str, kind: str, for_s: float) -> None:
        """Send an expiring notice to all peers."""
        self.builder.add_notice(name, kind, for_s)
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
        announced = [
            HeldPart(
                holder=cache,
                namespace=namespace,
                part=segment.segment_id,
                tokens=segment.tokens,
                prefill_s=prefill_s,
            )
            for segment in segments
        ]
        for neighbour in self.neighbours.values():
            neighbour.pending_segments += announced
        if prefill_s:
            self.announce()

    def announce_weights(self, instance: Instance, model: str, version: int) -> None:
        """Announce an engine's weights to the peers, ahead of its registration."""
        self.builder.add_weights(instance, model, version)
        self.announce()

    def announce(self) -> None:
        """Send a report without waiting for the regular interval."""
        self._changed.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            now = self.clock()
            self._remove_silent_neighbours(now)
            self._update_role(now)
            self._broadcast()
            links = len(self.neighbours)
            try:
                async with asyncio.timeout(max(REPORT_MIN_S, links / REPORTS_PER_S)):
                    await self._changed.wait()
                    await asyncio.sleep(
                        max(0.0, now + links * URGENT_INTERVAL_S - self.clock())
                    )
            except TimeoutError:
                pass
            self._changed.clear()

    async def close(self) -> None:
        """Close every link."""
        for task in self.keepers.values():
            task.cancel()
        await asyncio.gather(*self.keepers.values(), return_exceptions=True)
        await self.server.stop()

    def _relay_neighbour(self) -> Neighbour | None:
        """Return the relay of this VM, or None if it has none or is a relay itself."""
        if self.overlay.is_relay or self.overlay.relay is None:
            return None
        neighbour = self.neighbours.get(self.overlay.relay)
        return neighbour if neighbour is not None and neighbour.is_relay else None

    def _update_role(self, now: float) -> None:
        was_relay = self.overlay.is_relay
        relays = {vm for vm, item in self.neighbours.items() if item.is_relay}
        for vm in list(relays):
            relays.update(self.neighbours[vm].relays)
        self.overlay.update_relays(relays, now=now)
        self._log_role_change(was_relay)
        self._update_links()
        self.max_vms = max(self.max_vms, self.vms)

    def _log_role_change(self, was_relay: bool) -> None:
        if was_relay != self.overlay.is_relay:
            self.log(
                "relay-role",
                relay=self.overlay.is_relay,
                relays=sorted(self.overlay.relays),
                listed=len(self.overlay.registered),
            )

    def _update_links(self) -> None:
        """Keep links to the VMs that the overlay selects, and to no others."""
        targets = {item.name: item for item in self.overlay.targets(now=self.clock())}
        for vm in [vm for vm in self.keepers if vm not in targets]:
            self.keepers.pop(vm).cancel()
        for vm, item in targets.items():
            if vm in self.keepers or vm in self.neighbours:
                continue
            keeper = LinkKeeper(
                address=item.address,
                identity=self.identity,
                handler=self._reject_message,
                rng=self.rng,
                sync_handlers=self.sync_handlers,
                on_open=self._on_link_open,
                on_close=self._on_link_close,
                on_failure=partial(self._record_unreachable, vm),
            )
            self.keepers[vm] = asyncio.create_task(keeper.run())

    def _record_unreachable(self, vm: str, reason: str) -> None:
        self.overlay.record_unreachable(vm, now=self.clock())

    def _broadcast(self) -> None:
        """Send each neighbour a report if it has changed or a heartbeat is due."""
        members = [vm for vm, item in self.neighbours.items() if not item.is_relay]
        relays = [vm for vm in self.neighbours if vm not in members]
        forwards = self.overlay.is_relay
        report = self._report(include=members if forwards else ())
        encoded = codec.encode(report)
        for vm in relays:
            self._send(vm, report, encoded)
        for vm in members:
            others = [other for other in self.neighbours if other != vm]
            self._send(vm, self._report(include=others if forwards else ()), None)

    def _report(self, *, include: Collection[str]) -> RouterReport:
        return self.builder.build(
            self.neighbours,
            include=include,
            relay=self.overlay.is_relay,
            registry_lost=not self.registry_connected(),
            rows_age_s=self._rows_age_s(),
        )

    def _rows_age_s(self) -> float:
        """Return the time since the rows were last known to be current."""
        now = self.clock()
        if self.follows_store() and self.store_connected():
            return 0.0
        current_at = [item.rows_current_at for item in self.neighbours.values()]
        return min(3600.0, now - max(current_at, default=now - 3600.0))

    def _send(self, vm: str, report: RouterReport, encoded: bytes | None) -> None:
        neighbour, now = self.neighbours.get(vm), self.clock()
        if neighbour is None:
            return
        due = now >= neighbour.sent_at + HEARTBEAT_S or report != neighbour.last_report
        if not due and not neighbour.pending_segments:
            return
        neighbour.last_report, neighbour.sent_at = report, now
        segments = neighbour.pending_segments[:MAX_SEGMENTS]
        del neighbour.pending_segments[:MAX_SEGMENTS]
        if segments:
            report, encoded = replace(report, parts=segments), None
        try:
            self.links[vm].send(report, encoded=encoded)
        except LinkBusy:
            self.log("peer-slow", peer=vm)
        except LinkClosed:
            self._remove_neighbour(vm, self.links[vm])

    def _remove_silent_neighbours(self, now: float) -> None:
        """Close links without heartbeats; connections can go silent without a reset."""
        for vm, neighbour in list(self.neighbours.items()):
            if now - neighbour.last_received_at > SILENT_S:
                self.links[vm].socket.abort()
                self._remove_neighbour(vm, self.links[vm])

    def _on_link_open(self, link: Link) -> None:
        vm = link.peer.vm
        if vm not in self.neighbours:
            self.log("dependency-regained", dependency=f"peer/{vm}")
        self.neighbours[vm] = Neighbour(last_received_at=self.clock())
        self.links[vm] = link
        self.announce()

    def _on_link_close(self, link: Link) -> None:
        self._remove_neighbour(link.peer.vm, link)

    def _remove_neighbour(self, vm: str, link: Link) -> None:
        if self.links.get(vm) is not link:
            return
        del self.neighbours[vm]
        del self.links[vm]
        self.budget.forget(vm)
        self.rows.forget(vm)
        self.overlay.record_unreachable(vm, now=self.clock())
        self.log("dependency-lost", dependency=f"peer/{vm}")

    def _apply_report(self, link: Link, report: RouterReport) -> None:
        vm, now = link.peer.vm, self.clock()
        if vm not in self.neighbours:
            self._on_link_open(link)
        neighbour, self.links[vm] = self.neighbours[vm], link
        urgent = self.report_applier.apply(vm, neighbour, report)
        if neighbour.is_relay:
            self.overlay.record_reachable(vm)
        self._forward_segments(vm, neighbour, report.parts)
        self.rows.compare_versions(link, report.tables)
        self._apply_registry_state(vm, neighbour, now)
        if urgent and self.overlay.is_relay and self._has_forwarding_target(neighbour):
            self.announce()
        self.view.on_change()

    def _has_forwarding_target(self, source: Neighbour) -> bool:
        """Return whether a relay forwards this neighbour's reports to any other VM."""
        return any(
            item is not source and not (item.is_relay and source.is_relay)
            for item in self.neighbours.values()
        )

    def _forward_segments(
        self, vm: str, source: Neighbour, segments: list[HeldPart]
    ) -> None:
        if not segments or not self.overlay.is_relay:
            return
        for other, item in self.neighbours.items():
            if other != vm and not (item.is_relay and source.is_relay):
                item.pending_segments += segments

    def _apply_registry_state(self, vm: str, neighbour: Neighbour, now: float) -> None:
        """Adopt from the relay whether the registry is lost."""
        if self._relay_neighbour() is not neighbour or self.follows_store():
            if (
                vm == self.overlay.relay
                and neighbour.reported
                and not neighbour.is_relay
            ):
                # The VM is not a relay, so another one has to be chosen.
                self.overlay.record_unreachable(vm, now=now)
            return
        if neighbour.registry_lost:
            self.view.registry.record_registry_lost()
        else:
            self.view.registry.record_registry_regained(now=now)

    def _answer_rows(self, link: Link, request: RowsRequest) -> RowsReply:
        return self.rows.answer(request)

    async def _reject_message(self, link: Link, message: Message) -> Message | None:
        return Failure(kind="unknown", remedy="send messages between routers only")
