"""Links between routers: loads, marks, the retry budget and rows for one another."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from endivelug.exceptions import EndivelugError, LinkBusy, LinkClosed
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.peer_messages import (
    EngineWeights,
    HeldPart,
    InstanceMark,
    RouterReport,
    RowsReply,
    RowsRequest,
    TableRow,
    TableVersion,
    WantedAge,
)
from endivelug.forwarding.peer_reports import ReportReader
from endivelug.forwarding.prompt_cache import PromptPart
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.row_store import RowPage, StoredRow
from endivelug.links import (
    Identity,
    Link,
    LinkKeeper,
    LinkServer,
    PromptHandlers,
)
from endivelug.messages import Failure, Message

REPORT_MIN_S = 0.1
# Reports per second that a VM receives from all of its peers together.
REPORTS_PER_S = 100.0
HEARTBEAT_S = 0.5
# A peer that is silent for this long is cut off or has stopped.
SILENT_S = 2.0
# A peer that knows newer rows is asked once the own feed had time to bring them.
ROWS_DELAY_S = 0.25
ROWS_TIMEOUT_S = 1.0
MAX_PARTS = 200
# The registry tells of new weights with the next heartbeat of the engine.
WEIGHTS_TOLD_S = 2.5
# Weights that were named longer ago count as old everywhere.
AGE_TOLD_S = 60
# A holder of the lease that is silent for longer may have stopped.
LEASE_SILENT_S = 0.8


@dataclass(slots=True, kw_only=True)
class Peer:
    """What one peer said last.

    Attributes
    ----------
    lease_until : float
        Until then it certainly holds the lease of orders.
    behind_since : dict of str to float
        Since when it has known newer rows of a table than this VM.
    """

    link: Link
    heard_at: float
    lease_until: float = 0.0
    behind_since: dict[str, float] = field(default_factory=dict)


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
    """

    def __init__(
        self,
        *,
        identity: Identity,
        view: ClusterView,
        budget: SharedRetryBudget,
        lease_left_s: Callable[[], float],
        ordered: Callable[[], list[str]],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.identity = identity
        self.view = view
        self.budget = budget
        self.lease_left_s = lease_left_s
        self.ordered = ordered
        self.clock = clock
        self.rng = rng
        self.log = log
        self.peers: dict[str, Peer] = {}
        self.known: set[str] = set()
        self.marks: dict[tuple[str, str], float] = {}
        self.parts: list[HeldPart] = []
        self.weights: dict[EngineWeights, float] = {}
        self.reader = ReportReader(view=view, budget=budget, clock=clock)
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
        self._asking: set[str] = set()
        self._last_sent: RouterReport | None = None

    async def listen(self, *, host: str, port: int) -> None:
        """Accept links."""
        await self.server.start(host=host, port=port)

    def dial(self, vm: str, address: str) -> None:
        """Keep a link to a peer."""
        if vm == self.identity.vm or address in self.keepers:
            return
        keeper = LinkKeeper(
            address=address,
            identity=self.identity,
            handler=self._other,
            rng=self.rng,
            prompt=self.prompt,
            on_open=self._opened,
            on_close=self._closed,
        )
        self.keepers[address] = asyncio.create_task(keeper.run())

    @property
    def vms(self) -> int:
        """Number of VMs that take requests, this one included."""
        return 1 + len(self.peers)

    def lease_heard(self) -> bool:
        """Return whether a live peer holds the lease of orders."""
        now = self.clock()
        return any(
            peer.lease_until > now and now - peer.heard_at < LEASE_SILENT_S
            for peer in self.peers.values()
        )

    def rank(self) -> int:
        """Return the place of this VM among the live ones, by name."""
        return sum(1 for vm in self.peers if vm < self.identity.vm)

    def mark(self, instance: str, kind: str, for_s: float) -> None:
        """Tell the peers that an instance gets no new requests for a while."""
        self.marks[instance, kind] = self.clock() + for_s
        self.announce()

    def ordered_by_peer_at(self, instance: str) -> float:
        """Return when a peer last had an order in progress at an instance."""
        return self.reader.ordered_by_peers.get(instance, float("-inf"))

    def hold(
        self,
        holder: str,
        namespace: str,
        parts: list[PromptPart],
        *,
        reading_s: float = 0.0,
    ) -> None:
        """Tell the peers which parts a holder keeps, reads or stopped reading."""
        for part in parts:
            self.parts.append(
                HeldPart(
                    holder=holder,
                    namespace=namespace,
                    part=part.part,
                    tokens=part.tokens,
                    reading_s=reading_s,
                )
            )
        if reading_s:
            self.announce()

    def saw_weights(self, instance: Instance, model: str, version: int) -> None:
        """Tell the peers which weights an engine has, before the registry does."""
        now = self.clock()
        self.weights = {
            seen: until for seen, until in self.weights.items() if until > now
        }
        seen = EngineWeights(
            instance=instance.name,
            started_ms=instance.started_ms,
            model=model,
            version=version,
        )
        self.weights[seen] = now + WEIGHTS_TOLD_S
        self.announce()

    def announce(self) -> None:
        """Send a report without waiting for the next turn."""
        self._changed.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        sent_at = 0.0
        while True:
            report = self._report()
            now = self.clock()
            if report != self._last_sent or now >= sent_at + HEARTBEAT_S:
                self._broadcast(report)
                self._last_sent = report
                sent_at = now
            self._drop_silent(now)
            self._ask_for_rows()
            interval_s = max(REPORT_MIN_S, len(self.peers) / REPORTS_PER_S)
            try:
                async with asyncio.timeout(interval_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()

    async def close(self) -> None:
        """Close every link."""
        for task in self.keepers.values():
            task.cancel()
        await asyncio.gather(*self.keepers.values(), return_exceptions=True)
        await self.server.stop()

    def _report(self) -> RouterReport:
        now = self.clock()
        self.marks = {key: until for key, until in self.marks.items() if until > now}
        marks = [
            InstanceMark(instance=instance, kind=kind, for_s=round(until - now, 1))
            for (instance, kind), until in self.marks.items()
        ]
        marks += [
            InstanceMark(instance=name, kind="order", for_s=1.0)
            for name in self.ordered()
        ]
        parts, self.parts = self.parts[:MAX_PARTS], self.parts[MAX_PARTS:]
        return RouterReport(
            lease_s=round(self.lease_left_s(), 1),
            tables=[
                TableVersion(table=table, version=version)
                for table, version in self.view.highest.items()
            ],
            work=self.view.loads.reports(),
            retries=self.budget.report(now=now),
            marks=marks,
            weights=[seen for seen, until in self.weights.items() if until > now],
            parts=parts,
            wanted=[
                # Whole seconds, so that the report does not change all the time.
                WantedAge(model=model, version=version, age_s=float(age_s))
                for model, wanted in self.view.weights.items()
                for version, named in wanted.named.items()
                if named.live and (age_s := int(now - named.known_at)) < AGE_TOLD_S
            ],
        )

    def _broadcast(self, report: RouterReport) -> None:
        for vm, peer in list(self.peers.items()):
            try:
                peer.link.send(report)
            except LinkBusy:
                self.log("peer-slow", peer=vm)
            except LinkClosed:
                self._drop(vm, peer.link)

    def _drop_silent(self, now: float) -> None:
        """End links whose peer sends no heartbeat; the connection may be silent."""
        for vm, peer in list(self.peers.items()):
            if now - peer.heard_at > SILENT_S:
                peer.link.socket.abort()
                self._drop(vm, peer.link)

    def _opened(self, link: Link) -> None:
        vm = link.peer.vm
        if vm not in self.peers:
            self.log("dependency-regained", dependency=f"peer/{vm}")
        self.peers[vm] = Peer(link=link, heard_at=self.clock())
        self.known.add(vm)
        self._last_sent = None
        self.announce()

    def _closed(self, link: Link) -> None:
        self._drop(link.peer.vm, link)

    def _drop(self, vm: str, link: Link) -> None:
        peer = self.peers.get(vm)
        if peer is None or peer.link is not link:
            return
        del self.peers[vm]
        self.budget.forget(vm)
        self.log("dependency-lost", dependency=f"peer/{vm}")

    def _heard(self, link: Link, report: RouterReport) -> None:
        vm, now = link.peer.vm, self.clock()
        peer = self.peers.get(vm)
        if peer is None:
            peer = self.peers[vm] = Peer(link=link, heard_at=now)
        peer.link, peer.heard_at = link, now
        peer.lease_until = now + report.lease_s if report.lease_s > 0 else 0.0
        self.reader.apply(vm, report)
        for table in report.tables:
            if table.version > self.view.highest.get(table.table, 0):
                peer.behind_since.setdefault(table.table, now)
            else:
                peer.behind_since.pop(table.table, None)
        self.view.on_change()

    def _rows_for(self, link: Link, request: RowsRequest) -> RowsReply:
        return RowsReply(
            table=request.table,
            complete=request.table in self.view.read_tables,
            rows=[
                TableRow(
                    key=row.key,
                    value=row.value,
                    version=row.version,
                    removed=row.removed,
                )
                for row in self.view.rows_after(request.table, request.after)
            ],
        )

    def _ask_for_rows(self) -> None:
        now = self.clock()
        for vm, peer in self.peers.items():
            for table, since in list(peer.behind_since.items()):
                if now - since < ROWS_DELAY_S or table in self._asking:
                    continue
                self._asking.add(table)
                task = asyncio.create_task(self._fetch_rows(vm, peer, table))
                task.add_done_callback(partial(self._asked, table))

    def _asked(self, table: str, task: asyncio.Task[None]) -> None:
        self._asking.discard(table)

    async def _fetch_rows(self, vm: str, peer: Peer, table: str) -> None:
        after = self.view.highest.get(table, 0)
        whole = table not in self.view.read_tables
        request = RowsRequest(table=table, after=0 if whole else after)
        try:
            reply = await peer.link.request(request, timeout_s=ROWS_TIMEOUT_S)
        except (EndivelugError, TimeoutError) as error:
            self.log("peer-rows-failed", peer=vm, table=table, reason=str(error))
            return
        if not isinstance(reply, RowsReply) or reply.table != table:
            return
        rows = [
            StoredRow(
                table=table,
                key=row.key,
                value=row.value,
                version=row.version,
                removed=row.removed,
            )
            for row in reply.rows
        ]
        if whole and reply.complete:
            version = max((row.version for row in rows), default=0)
            page = RowPage(rows=rows, version=version)
            self.view.replace_table(table, page, source=f"peer/{vm}")
        else:
            self.view.apply(rows, source=f"peer/{vm}")
        peer.behind_since.pop(table, None)

    async def _other(self, link: Link, message: Message) -> Message | None:
        return Failure(kind="unknown", remedy="send messages between routers only")
