"""Membership: which agents are live, leaving or dead, derived from heartbeats.

An agent is alive while heartbeats of its highest known incarnation arrive. The VM
list only supplies names and addresses: it lags and has no incarnations, so it never
decides whether an agent is alive.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from endivelug import _rendezvous
from endivelug.messages import AgentEntry

# A dead agent that is not in the VM list is removed after this time. The time is
# longer than the lag of the list: when an outdated list names the agent again, its
# incarnation is still recorded.
FORGET_AFTER_S = 900.0
# Fraction of ``dead_after_s`` after which a silent agent is suspected. Other agents
# take over its probes at that time, and the keys that it owns when it is dead.
SUSPECT_FRACTION = 0.6
# Agents of each data centre that hold links to another data centre, and the number
# of agents there that each of them connects to.
GATEWAYS_PER_DATA_CENTRE = 2


@dataclass(slots=True, kw_only=True)
class AgentRecord:
    """Membership state of one agent.

    Attributes
    ----------
    address : str
        Address of its link server; empty if unknown.
    address_verified : bool
        Whether the agent itself authenticated at this address.
    incarnation : int
        Highest incarnation received; 0 if none was received.
    last_seen_at : float
        Time of its last greeting or heartbeat, in seconds of the caller's clock.
    alive : bool
        Whether the agent is considered alive.
    suspected : bool
        Whether its link closed or its heartbeat is late.
    listed : bool
        Whether the last VM list contains the agent.
    revision, digest : int
        Configuration in force, from its last heartbeat.
    """

    vm: str
    data_centre: str
    address: str = ""
    address_verified: bool = False
    incarnation: int = 0
    leaving: bool = False
    last_seen_at: float = -math.inf
    alive: bool = False
    suspected: bool = False
    listed: bool = False
    revision: int = 0
    digest: int = 0


class OwnerCache:
    """Cache of the agent that owns each key, for a changing set of agents.

    When agents join, they are compared only with the current owner of each key; a key
    is ranked among all agents again only if its owner left.
    """

    def __init__(self, *agents: str) -> None:
        self.agents: tuple[str, ...] = agents
        self._owners: dict[str, str | None] = {}

    def owner(self, key: str) -> str | None:
        """Return the agent that owns a key, or None if there are no agents."""
        if key not in self._owners:
            self._owners[key] = _rendezvous.owner(key, self.agents)
        return self._owners[key]

    def set_agents(self, agents: Iterable[str]) -> bool:
        """Replace the agents; return whether they differ."""
        before = set(self.agents)
        self.agents = tuple(sorted(agents))
        removed = before.difference(self.agents)
        joined = set(self.agents) - before
        for key, owner in list(self._owners.items()):
            if owner is None or owner in removed:
                del self._owners[key]
            elif joined:
                self._owners[key] = _rendezvous.owner(key, (owner, *joined))
        return bool(removed or joined)


class Membership:
    """View that one agent has of the agents of all data centres.

    Parameters
    ----------
    vm, data_centre, address : str
        Names and address of this agent.
    incarnation : int
        Start time of this agent in microseconds.
    dead_after_s : float
        Seconds without a heartbeat after which an agent is considered dead.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        address: str,
        incarnation: int,
        dead_after_s: float,
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.dead_after_s = dead_after_s
        self.version = 0
        self.stale_rejected = 0
        self.agents: dict[str, AgentRecord] = {}
        self.own_record = AgentRecord(
            vm=vm,
            data_centre=data_centre,
            address=address,
            address_verified=True,
            incarnation=incarnation,
            last_seen_at=math.inf,
            alive=True,
        )
        self.agents[vm] = self.own_record
        self._live = OwnerCache(vm)
        self._responsive = OwnerCache(vm)

    def record_address(self, *, vm: str, data_centre: str, address: str) -> bool:
        """Store an address from the VM list or a peer; liveness stays as it is.

        Returns
        -------
        bool
            Whether the stored address changed.
        """
        record = self._get_or_add_record(vm, data_centre)
        if record is self.own_record or not address or record.address == address:
            return False
        # A lagging VM list may still contain the address of an earlier VM of this
        # name, so it must not replace an address that was verified.
        if record.alive and record.address_verified:
            return False
        record.address = address
        record.address_verified = False
        self.version += 1
        return True

    def apply_list(
        self, listed_agents: Iterable[tuple[str, str, str]], *, now: float
    ) -> None:
        """Apply a VM list, given as tuples of VM, data centre and address.

        An agent that the list omits is kept as long as it is alive.
        """
        listed = set()
        for vm, data_centre, address in listed_agents:
            listed.add(vm)
            self.record_address(vm=vm, data_centre=data_centre, address=address)
        for record in list(self.agents.values()):
            record.listed = record.vm in listed
            silent_s = now - record.last_seen_at
            if not record.listed and not record.alive and silent_s > FORGET_AFTER_S:
                del self.agents[record.vm]
                self.version += 1

    def record_greeting(
        self,
        *,
        vm: str,
        data_centre: str,
        incarnation: int,
        address: str = "",
        now: float,
    ) -> bool:
        """Record an authenticated greeting.

        Returns
        -------
        bool
            False if the incarnation is older than the recorded one.
        """
        record = self._get_or_add_record(vm, data_centre)
        if not self._record_sign_of_life(record, incarnation, now):
            return False
        if address and record is not self.own_record:
            self.version += record.address != address
            record.address = address
            record.address_verified = True
        return True

    def record_heartbeat(
        self,
        *,
        vm: str,
        data_centre: str,
        incarnation: int,
        leaving: bool,
        revision: int,
        digest: int,
        now: float,
    ) -> bool:
        """Record a heartbeat.

        Returns
        -------
        bool
            False if the incarnation is older than the recorded one.
        """
        record = self._get_or_add_record(vm, data_centre)
        if not self._record_sign_of_life(record, incarnation, now):
            return False
        record.revision = revision
        record.digest = digest
        # Leaving is final for an incarnation.
        if leaving and not record.leaving:
            record.leaving = True
            self._update_live_agents()
        return True

    def expire(self, *, now: float) -> bool:
        """Mark silent agents as suspected or dead; return whether any state changed."""
        changed = False
        for record in self.agents.values():
            if not record.alive:
                continue
            silent_s = now - record.last_seen_at
            if silent_s > self.dead_after_s:
                record.alive = False
                changed = True
            elif (
                not record.suspected and silent_s > SUSPECT_FRACTION * self.dead_after_s
            ):
                record.suspected = True
                changed = True
        if changed:
            self._update_live_agents()
        return changed

    def compensate_pause(self, *, gap_s: float) -> None:
        """Extend the heartbeat deadline of every live agent after a pause.

        While this process is paused, heartbeats wait in its sockets. Without the
        extension it would consider all of its peers dead when it resumes.

        Parameters
        ----------
        gap_s : float
            Seconds for which this process did not run.
        """
        for record in self.agents.values():
            if record.alive:
                record.last_seen_at += gap_s

    def link_closed(self, *, vm: str, incarnation: int) -> None:
        """Suspect an agent whose link closed until its next greeting or heartbeat."""
        record = self.agents.get(vm)
        if record is not None and record.alive and record.incarnation == incarnation:
            record.suspected = True
            self._update_live_agents()

    def leave(self) -> None:
        """Mark this agent as leaving; from then on it owns no keys."""
        self.own_record.leaving = True
        self._update_live_agents()

    def live_agents(self) -> tuple[str, ...]:
        """Return the live agents of this data centre, without those that leave."""
        return self._live.agents

    def responsive_agents(self) -> tuple[str, ...]:
        """Return the live agents that are not suspected to be dead."""
        return self._responsive.agents

    def owner(self, key: str) -> str | None:
        """Return the live agent that owns a key, or None if no agent is live."""
        return self._live.owner(key)

    def prober(self, upstream: str) -> str | None:
        """Return the responsive agent that probes an upstream."""
        return self._responsive.owner(f"engine:{upstream}")

    def owns(self, key: str) -> bool:
        """Return whether this agent owns a key."""
        return self.owner(key) == self.vm

    def gateways(self, data_centre: str) -> list[str]:
        """Return the agents of this data centre that hold links to another one."""
        return _rendezvous.rank(f"link:{data_centre}", self.live_agents())[
            :GATEWAYS_PER_DATA_CENTRE
        ]

    def local_peers(self) -> list[AgentRecord]:
        """Return all other agents of this data centre, including dead ones."""
        return [
            record
            for record in self.agents.values()
            if record.data_centre == self.data_centre and record is not self.own_record
        ]

    def remote_agents(self) -> dict[str, list[AgentRecord]]:
        """Return the agents of other data centres, by data centre."""
        by_data_centre: dict[str, list[AgentRecord]] = {}
        for record in self.agents.values():
            if record.data_centre != self.data_centre:
                by_data_centre.setdefault(record.data_centre, []).append(record)
        return by_data_centre

    def live_count(self) -> int:
        """Return the number of live agents of this data centre, this one included."""
        return 1 + sum(record.alive for record in self.local_peers())

    def agent_entries(self) -> list[AgentEntry]:
        """Return the live and leaving agents of this data centre, sorted by name."""
        records = [
            self.own_record,
            *(item for item in self.local_peers() if item.alive),
        ]
        return [
            AgentEntry(
                vm=record.vm,
                address=record.address,
                incarnation=record.incarnation,
                leaving=record.leaving,
            )
            for record in sorted(records, key=lambda record: record.vm)
        ]

    def _get_or_add_record(self, vm: str, data_centre: str) -> AgentRecord:
        record = self.agents.get(vm)
        if record is None:
            record = AgentRecord(vm=vm, data_centre=data_centre)
            self.agents[vm] = record
            self.version += 1
        return record

    def _record_sign_of_life(
        self, record: AgentRecord, incarnation: int, now: float
    ) -> bool:
        if record is self.own_record or incarnation < record.incarnation:
            self.stale_rejected += 1
            return False
        if incarnation > record.incarnation or not record.alive or record.suspected:
            if incarnation > record.incarnation:
                record.leaving = False
            record.incarnation = incarnation
            record.alive = True
            record.suspected = False
            self._update_live_agents()
        record.last_seen_at = now
        return True

    def _update_live_agents(self) -> None:
        """Recompute the live and responsive agents after a state change."""
        self.version += 1
        live = [
            record
            for record in self.agents.values()
            if record.data_centre == self.data_centre
            and record.alive
            and not record.leaving
        ]
        self._live.set_agents(record.vm for record in live)
        self._responsive.set_agents(
            record.vm for record in live if not record.suspected
        )
