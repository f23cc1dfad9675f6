"""Links between routers: loads, marks, the retry budget and rows for one another."""

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
from endivelug.forwarding.peer_reports import ReportReader
from endivelug.forwarding.peer_rows import PeerRows
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import MAX_SEGMENTS, Neighbour, ReportBuilder
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.links import (
    Identity,
    Link,
    LinkKeeper,
    LinkServer,
    PromptHandlers,
)
from endivelug.messages import Failure, Message

REPORT_MIN_S = 0.1
# Reports per second that a VM sends to all of its neighbours together.
REPORTS_PER_S = 100.0
# Pause per neighbour between two reports that cannot wait for the next turn.
URGENT_GAP_S = 0.004
HEARTBEAT_S = 0.5
# A peer that is silent for this long is cut off or has stopped.
SILENT_S = 2.0
# A relay that is silent for longer may be frozen: its members follow the store again.
UPLINK_SILENT_S = 0.8
# Rows of a relay that were not known to be current for longer may be outdated.
ROWS_AGE_MAX_S = 1.5
# A holder of the lease that is silent for longer may have stopped.
LEASE_SILENT_S = 0.8


class Peers:
    """Links to the other routers.

    Parameters
    ----------
    identity : Identity
        This process.
    lease_left_s : callable
        For how long this VM certainly holds the lease of orders.
    ordered : callable
        Engines that this VM has under an order.
    store_connected, registry_connected : callable
        Whether all own feeds of the store answer, and whether the registry's does.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        view: ClusterView,
        budget: SharedRetryBudget,
        refused: RefusedCallers,
        lease_left_s: Callable[[], float],
        ordered: Callable[[], list[str]],
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
        self.most_vms = 1
        self.builder = ReportBuilder(
            vm=identity.vm,
            view=view,
            budget=budget,
            lease_left_s=lease_left_s,
            ordered=ordered,
            clock=clock,
        )
        self.reader = ReportReader(
            view=view, budget=budget, refused=refused, clock=clock
        )
        self.rows = PeerRows(
            view=view, follows_store=self.follows_store, clock=clock, log=log
        )
        self.keepers: dict[str, asyncio.Task[None]] = {}
        self.prompt: PromptHandlers = {
            RouterReport: self._heard,
            RowsRequest: self._rows_for,
        }
        self.server = LinkServer(
            identity=identity,
            handler=self._other,
            prompt=self.prompt,
            on_open=self._opened,
            on_close=self._closed,
        )
        self._changed = asyncio.Event()

    async def listen(self, *, host: str, port: int) -> None:
        """Accept links."""
        await self.server.start(host=host, port=port)

    def list_vms(self, listed: list[RegisteredVm]) -> None:
        """Take in the registered VMs, and link to those that the role asks for."""
        was_relay = self.overlay.is_relay
        self.overlay.set_registered_vms(listed, now=self.clock())
        self._note_role(was_relay)
        self._dial()

    @property
    def vms(self) -> int:
        """Number of VMs that take requests, this one included."""
        return 1 + sum(item.vms for item in self.neighbours.values())

    def lease_heard(self) -> bool:
        """Return whether a live peer holds the lease of orders."""
        now = self.clock()
        return any(
            item.lease_until > now and now - item.last_received_at < LEASE_SILENT_S
            for item in self.neighbours.values()
        )

    def follows_store(self) -> bool:
        """Return whether this VM has to follow the store itself.

        The members of a relay get their rows from it, so that the calls to the store do
        not grow with the number of VMs.
        """
        uplink = self._uplink()
        if uplink is None:
            return True
        now = self.clock()
        return (
            now - uplink.last_received_at > UPLINK_SILENT_S
            or now - uplink.rows_current_at > ROWS_AGE_MAX_S
        )

    def mark(self, name: str, kind: str, for_s: float) -> None:
        """Tell the peers something that they have to know for a while."""
        self.builder.add_notice(name, kind, for_s)
        self.announce()

    def ordered_by_peer_at(self, instance: str) -> float:
        """Return when a peer last had an order in progress at an instance."""
        return self.reader.ordered_by_peers.get(instance, float("-inf"))

    def hold(
        self,
        holder: str,
        namespace: str,
        parts: list[PromptSegment],
        reading_s: float = 0.0,
    ) -> None:
        """Tell the peers which parts a holder keeps, reads or stopped reading."""
        held = [
            HeldPart(
                holder=holder,
                namespace=namespace,
                part=part.segment_id,
                tokens=part.tokens,
                prefill_s=reading_s,
            )
            for part in parts
        ]
        for neighbour in self.neighbours.values():
            neighbour.pending_segments += held
        if reading_s:
            self.announce()

    def saw_weights(self, instance: Instance, model: str, version: int) -> None:
        """Tell the peers which weights an engine has, before the registry does."""
        self.builder.add_weights(instance, model, version)
        self.announce()

    def announce(self) -> None:
        """Send a report without waiting for the next turn."""
        self._changed.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            now = self.clock()
            self._drop_silent(now)
            self._update_role(now)
            self._broadcast()
            links = len(self.neighbours)
            try:
                async with asyncio.timeout(max(REPORT_MIN_S, links / REPORTS_PER_S)):
                    await self._changed.wait()
                    await asyncio.sleep(
                        max(0.0, now + links * URGENT_GAP_S - self.clock())
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

    def _uplink(self) -> Neighbour | None:
        """Return the relay of this VM, or None where it is one or has none."""
        if self.overlay.is_relay or self.overlay.relay is None:
            return None
        neighbour = self.neighbours.get(self.overlay.relay)
        return neighbour if neighbour is not None and neighbour.relay else None

    def _update_role(self, now: float) -> None:
        was_relay = self.overlay.is_relay
        relays = {vm for vm, item in self.neighbours.items() if item.relay}
        for vm in list(relays):
            relays.update(self.neighbours[vm].relays)
        self.overlay.update_relays(relays, now=now)
        self._note_role(was_relay)
        self._dial()
        self.most_vms = max(self.most_vms, self.vms)

    def _note_role(self, was_relay: bool) -> None:
        if was_relay != self.overlay.is_relay:
            self.log(
                "relay-role",
                relay=self.overlay.is_relay,
                relays=sorted(self.overlay.relays),
                listed=len(self.overlay.registered),
            )

    def _dial(self) -> None:
        """Keep links to the targets, and to no others."""
        targets = {item.name: item for item in self.overlay.targets(now=self.clock())}
        for vm in [vm for vm in self.keepers if vm not in targets]:
            self.keepers.pop(vm).cancel()
        for vm, item in targets.items():
            if vm in self.keepers or vm in self.neighbours:
                continue
            keeper = LinkKeeper(
                address=item.address,
                identity=self.identity,
                handler=self._other,
                rng=self.rng,
                prompt=self.prompt,
                on_open=self._opened,
                on_close=self._closed,
                on_failure=partial(self._unreachable, vm),
            )
            self.keepers[vm] = asyncio.create_task(keeper.run())

    def _unreachable(self, vm: str, reason: str) -> None:
        self.overlay.record_unreachable(vm, now=self.clock())

    def _broadcast(self) -> None:
        """Send to every neighbour what changed, or a heartbeat."""
        members = [vm for vm, item in self.neighbours.items() if not item.relay]
        relays = [vm for vm in self.neighbours if vm not in members]
        passing_on = self.overlay.is_relay
        report = self._report(include=members if passing_on else ())
        encoded = codec.encode(report)
        for vm in relays:
            self._send(vm, report, encoded)
        for vm in members:
            others = [other for other in self.neighbours if other != vm]
            self._send(vm, self._report(include=others if passing_on else ()), None)

    def _report(self, *, include: Collection[str]) -> RouterReport:
        return self.builder.build(
            self.neighbours,
            include=include,
            relay=self.overlay.is_relay,
            registry_lost=not self.registry_connected(),
            rows_age_s=self._rows_age_s(),
        )

    def _rows_age_s(self) -> float:
        """Return for how long the rows have not been known to be current."""
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
        parts = neighbour.pending_segments[:MAX_SEGMENTS]
        del neighbour.pending_segments[:MAX_SEGMENTS]
        if parts:
            report, encoded = replace(report, parts=parts), None
        try:
            self.links[vm].send(report, encoded=encoded)
        except LinkBusy:
            self.log("peer-slow", peer=vm)
        except LinkClosed:
            self._drop(vm, self.links[vm])

    def _drop_silent(self, now: float) -> None:
        """End links whose peer sends no heartbeat; the connection may be silent."""
        for vm, neighbour in list(self.neighbours.items()):
            if now - neighbour.last_received_at > SILENT_S:
                self.links[vm].socket.abort()
                self._drop(vm, self.links[vm])

    def _opened(self, link: Link) -> None:
        vm = link.peer.vm
        if vm not in self.neighbours:
            self.log("dependency-regained", dependency=f"peer/{vm}")
        self.neighbours[vm] = Neighbour(last_received_at=self.clock())
        self.links[vm] = link
        self.announce()

    def _closed(self, link: Link) -> None:
        self._drop(link.peer.vm, link)

    def _drop(self, vm: str, link: Link) -> None:
        if self.links.get(vm) is not link:
            return
        del self.neighbours[vm]
        del self.links[vm]
        self.budget.forget(vm)
        self.rows.forget(vm)
        self.overlay.record_unreachable(vm, now=self.clock())
        self.log("dependency-lost", dependency=f"peer/{vm}")

    def _heard(self, link: Link, report: RouterReport) -> None:
        vm, now = link.peer.vm, self.clock()
        if vm not in self.neighbours:
            self._opened(link)
        neighbour, self.links[vm] = self.neighbours[vm], link
        urgent = self.reader.apply(vm, neighbour, report)
        if neighbour.relay:
            self.overlay.record_reachable(vm)
        self._pass_parts_on(vm, neighbour, report.parts)
        self.rows.heard(link, report.tables)
        self._follow_uplink(vm, neighbour, now)
        if urgent and self.overlay.is_relay and self._others_need(neighbour):
            self.announce()
        self.view.on_change()

    def _others_need(self, source: Neighbour) -> bool:
        """Return whether a neighbour's report is passed on to anyone."""
        return any(
            item is not source and not (item.relay and source.relay)
            for item in self.neighbours.values()
        )

    def _pass_parts_on(self, vm: str, source: Neighbour, parts: list[HeldPart]) -> None:
        if not parts or not self.overlay.is_relay:
            return
        for other, item in self.neighbours.items():
            if other != vm and not (item.relay and source.relay):
                item.pending_segments += parts

    def _follow_uplink(self, vm: str, neighbour: Neighbour, now: float) -> None:
        """Take over from the relay whether the registry is lost."""
        if self._uplink() is not neighbour or self.follows_store():
            if vm == self.overlay.relay and neighbour.reported and not neighbour.relay:
                # It is no relay any more, or never was one.
                self.overlay.record_unreachable(vm, now=now)
            return
        if neighbour.registry_lost:
            self.view.registry.record_registry_lost()
        else:
            self.view.registry.record_registry_regained(now=now)

    def _rows_for(self, link: Link, request: RowsRequest) -> RowsReply:
        return self.rows.answer(request)

    async def _other(self, link: Link, message: Message) -> Message | None:
        return Failure(kind="unknown", remedy="send messages between routers only")
