"""Probes the upstreams of this agent and shares the results with its peers.

Each upstream has one prober in its data centre: the agent that rendezvous hashing ranks
highest, or the next one while that agent is suspected to have failed. With 371 engines
and 70 agents this is 5.3 probes/s per agent instead of 371.
"""

import asyncio
import json
import ssl
from dataclasses import replace
from typing import Any

from endivelug._http_probe import PersistentConnection
from endivelug._tls import client_context
from endivelug.components import AgentContext
from endivelug.exceptions import (
    LinkBusy,
    LinkClosed,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.links import Link
from endivelug.messages import Message, UpstreamEntry, UpstreamReport
from endivelug.upstreams import DEAD, LEAVING, LIVE

# Consecutive probes without a response until an upstream counts as dead; a refused
# connection counts at once. The second probe follows at once, so that both fit in the
# 3 s for a leaving upstream.
MAX_UNANSWERED_PROBES = 2
# A probe timeout that fires this late means that this process was paused, so the probe
# says nothing about the upstream.
PAUSE_THRESHOLD_S = 0.5


def parse_load(entry: UpstreamEntry, document: Any) -> UpstreamEntry:
    """Return the entry of an engine updated from a ``GET /v1/load`` response.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If the document is malformed.
    """
    return replace(
        entry,
        models=[f"{model}={version}" for model, version in document["models"].items()],
        adapters=[str(adapter) for adapter in document.get("adapters", [])],
        incarnation=int(document["incarnation"]),
        state=LEAVING if document.get("leaving") else LIVE,
    )


class UpstreamProbes:
    """Component that probes upstreams and handles ``UpstreamReport``.

    Attributes
    ----------
    probes, failures : int
        Number of probes that were started and that failed.
    discarded : int
        Failed probes that were ignored because this process was paused.
    bytes : int
        Bytes sent and received by answered probes.
    reports : dict of str to UpstreamEntry
        Last result of each upstream that this agent probes.
    """

    message_types: tuple[type, ...] = (UpstreamReport,)

    def __init__(self, *, context: AgentContext) -> None:
        self.context = context
        self.probes = 0
        self.failures = 0
        self.discarded = 0
        self.bytes = 0
        self.reports: dict[str, UpstreamEntry] = {}
        self._connections: dict[str, PersistentConnection] = {}
        self._unanswered: dict[str, int] = {}
        self._tls: dict[str, ssl.SSLContext | None] = {}
        self._unsent_peers: set[str] = set()
        context.on_link.append(self._send_reports)

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Apply the reports of another agent."""
        assert isinstance(message, UpstreamReport)
        if link.peer.data_centre == self.context.membership.data_centre:
            self._apply(message.upstreams, reporter=link.peer.vm)
        return None

    async def run(self) -> None:
        """Probe the upstreams of this agent every ``probe_s`` until cancelled."""
        period_s = self.context.settings.agent.probe_s
        try:
            while True:
                started_at = self.context.clock()
                await self.probe_all()
                spent_s = self.context.clock() - started_at
                await asyncio.sleep(max(period_s - spent_s, period_s / 10))
        finally:
            for connection in self._connections.values():
                connection.close()

    async def probe_all(self) -> None:
        """Probe each upstream of this agent once; send changed states to the peers."""
        context = self.context
        membership = context.membership
        own_entries = {
            name: upstream.entry
            for name, upstream in context.upstreams.upstreams.items()
            if membership.prober(name) == membership.vm
        }
        for name in [name for name in self.reports if name not in own_entries]:
            self._remove(name)
        results = await asyncio.gather(
            *(self._probe(name, entry) for name, entry in own_entries.items())
        )
        changed = [
            entry
            for entry in results
            if entry is not None and entry != self.reports.get(entry.name)
        ]
        for entry in changed:
            self.reports[entry.name] = entry
        if changed:
            failed_peers = context.peers.broadcast(UpstreamReport(upstreams=changed))
            self._unsent_peers.update(failed_peers)
            self._apply(changed, reporter=membership.vm)
        self._resend_reports()

    async def _probe(self, name: str, entry: UpstreamEntry) -> UpstreamEntry | None:
        """Return the new state, or None if the probe was inconclusive."""
        timeout_s = self.context.settings.agent.probe_s
        path = "/v1/load" if entry.kind == "engine" else "/healthz"
        started_at = self.context.clock()
        self.probes += 1
        try:
            connection = self._connection(entry)
            bytes_before = connection.transferred_bytes
            status, body = await connection.get(path, timeout_s=timeout_s)
            self.bytes += connection.transferred_bytes - bytes_before
            self._unanswered.pop(name, None)
            if entry.kind == "engine" and status == 200:
                return parse_load(entry, json.loads(body))
            if entry.kind == "engine":
                return replace(entry, state=DEAD)
            states = {200: LIVE, 503: LEAVING}
            return replace(entry, state=states.get(status, DEAD))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            self.failures += 1
            return replace(entry, state=DEAD)
        except UpstreamUnreachable:
            self.failures += 1
            return replace(entry, state=DEAD)
        except UpstreamBroken:
            self.failures += 1
            if self.context.clock() - started_at > timeout_s + PAUSE_THRESHOLD_S:
                self.discarded += 1
                return None
            self._unanswered[name] = self._unanswered.get(name, 0) + 1
            is_dead = self._unanswered[name] >= MAX_UNANSWERED_PROBES
            return replace(entry, state=DEAD) if is_dead else None

    def _connection(self, entry: UpstreamEntry) -> PersistentConnection:
        connection = self._connections.get(entry.name)
        if connection is None or connection.address != entry.address:
            pool = self.context.settings.pools.get(entry.pool)
            ca = pool.tls_ca if pool is not None else ""
            if ca not in self._tls:
                self._tls[ca] = client_context(ca)
            connection = PersistentConnection(
                address=entry.address,
                credential=pool.credential if pool is not None else "",
                tls=self._tls[ca],
            )
            self._connections[entry.name] = connection
        return connection

    def _remove(self, name: str) -> None:
        del self.reports[name]
        self._unanswered.pop(name, None)
        connection = self._connections.pop(name, None)
        if connection is not None:
            connection.close()

    def _apply(self, entries: list[UpstreamEntry], *, reporter: str) -> None:
        context = self.context
        live = context.membership.responsive_agents()
        changed = False
        for entry in entries:
            changed |= context.upstreams.apply_report(
                entry, reporter=reporter, live=live
            )
        if changed:
            context.notify_change()

    def _send_reports(self, link: Link) -> None:
        """Send all reports to a newly linked agent of the same data centre."""
        peer = link.peer
        is_local = peer.data_centre == self.context.membership.data_centre
        if peer.role == "agent" and is_local and self.reports:
            self._try_send_reports(link)

    def _try_send_reports(self, link: Link) -> bool:
        try:
            link.send(UpstreamReport(upstreams=list(self.reports.values())))
        except (LinkBusy, LinkClosed):
            return False
        return True

    def _resend_reports(self) -> None:
        """Send all reports to the peers whose send queue was full.

        A peer without a link needs no resend, because a new link gets all reports.
        """
        for vm in list(self._unsent_peers):
            link = self.context.peers.link(vm)
            if link is None or self._try_send_reports(link):
                self._unsent_peers.discard(vm)
