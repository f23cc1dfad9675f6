"""Sends reports to the neighbours: the changes to most, a full report to new ones."""

import itertools
from collections.abc import Callable

from endivelug import codec
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.instance_load import load_of_report
from endivelug.forwarding.neighbour import NO_MEMBER, Neighbour
from endivelug.forwarding.neighbour_sums import RetryCount
from endivelug.forwarding.peer_messages import RouterReport
from endivelug.forwarding.report_builder import ReportBuilder
from endivelug.forwarding.report_rounds import HEARTBEAT_S
from endivelug.forwarding.report_stream import Standing
from endivelug.forwarding.reported_amounts import Audience
from endivelug.forwarding.shared_amounts import Amounts
from endivelug.links import Link


class ReportSender:
    """Sends reports over the links of this VM.

    Parameters
    ----------
    neighbours : dict of str to Neighbour
        Linked VMs by name; the owner of the links changes it.
    links : dict of str to Link
        Their links.
    is_member : callable
        Whether this VM is the relay of a neighbour.
    forwards : callable
        Whether this VM is a relay.
    on_closed : callable
        Called with the name and the link of a VM whose link turns out to be closed.
    """

    def __init__(
        self,
        *,
        builder: ReportBuilder,
        neighbours: dict[str, Neighbour],
        links: dict[str, Link],
        is_member: Callable[[Neighbour], bool],
        forwards: Callable[[], bool],
        on_closed: Callable[[str, Link], None],
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.builder = builder
        self.neighbours = neighbours
        self.links = links
        self.is_member = is_member
        self.forwards = forwards
        self.on_closed = on_closed
        self.clock = clock
        self.log = log

    def send_reports(self, standing: Standing) -> None:
        """Send each audience what has changed, or a heartbeat if one is due."""
        now = self.clock()
        self.builder.collect_changes()
        for audience, stream in self.builder.streams.items():
            vms = self._audience(audience)
            if not vms:
                stream.clear()
                continue
            due = now >= stream.sent_at + HEARTBEAT_S
            if due or self.builder.is_due(audience, standing):
                self._send_changes(audience, vms, standing)
            for vm in vms:
                if vm in self.neighbours and not self._is_in_sync(vm):
                    self._send_full(audience, vm, standing)
        for vm, item in list(self.neighbours.items()):
            if not item.greeted:
                item.greeted = True
                self._send(vm, self.builder.build_greeting(standing), None)

    def _is_in_sync(self, vm: str) -> bool:
        neighbour = self.neighbours.get(vm)
        return neighbour is not None and neighbour.in_sync

    def _audience(self, audience: Audience) -> list[str]:
        """Return the neighbours of an audience, once their role is known."""
        members = audience is Audience.MEMBERS
        return [
            vm
            for vm, item in self.neighbours.items()
            if item.reported and self.is_member(item) == members
        ]

    def _send_changes(
        self, audience: Audience, vms: list[str], standing: Standing
    ) -> None:
        report = self.builder.build_changes(
            audience, standing, acknowledged=self._acknowledged(audience)
        )
        encoded = codec.encode(report)
        for vm in vms:
            if self._is_in_sync(vm):
                self._send(vm, report, encoded)

    def _send_full(self, audience: Audience, vm: str, standing: Standing) -> None:
        neighbour = self.neighbours[vm]
        neighbour.in_sync = True
        neighbour.number = NO_MEMBER
        if audience is Audience.MEMBERS:
            neighbour.number = self._free_number()
        report = self.builder.build_full(
            audience,
            standing,
            acknowledged=self._acknowledged(audience),
            number=neighbour.number,
        )
        self._send(vm, report, None)

    def _free_number(self) -> int:
        used = {item.number for item in self.neighbours.values()}
        return next(number for number in itertools.count() if number not in used)

    def _acknowledged(self, audience: Audience) -> list[int]:
        """Return the last report of each member, by number."""
        if audience is not Audience.MEMBERS:
            return []
        by_number = {
            item.number: item.received_sequence for item in self.neighbours.values()
        }
        return [by_number.get(number, 0) for number in range(max(by_number) + 1)]

    def _send(self, vm: str, report: RouterReport, encoded: bytes | None) -> None:
        neighbour = self.neighbours[vm]
        if not self.forwards() and report.sequence:
            _record_sent(neighbour, report)
            neighbour.unacknowledged.append((report.sequence, self.clock()))
        try:
            self.links[vm].send(report, encoded=encoded)
        except LinkBusy:
            # What was dropped is repeated in a full report.
            neighbour.in_sync = neighbour.greeted = False
            self.log("peer-slow", peer=vm)
        except LinkClosed:
            self.on_closed(vm, self.links[vm])


def _record_sent(neighbour: Neighbour, report: RouterReport) -> None:
    """Record the amounts that a relay will include in its totals."""
    neighbour.sent_loads.record(
        report.sequence,
        {item.instance: load_of_report(item) for item in report.work},
        full=report.full,
    )
    neighbour.sent_retries.record(
        report.sequence,
        {
            item.service: RetryCount(item.requests, item.retries)
            for item in report.retries
        },
        full=report.full,
    )
    neighbour.sent_shared.record(
        report.sequence,
        {item.key: Amounts.of(item.values) for item in report.amounts},
        full=report.full,
    )
