"""Links between agents: dialling, heartbeats and recovery after partitions."""

import asyncio
import ssl
import time
from collections.abc import Callable

from endivelug import codec
from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link, LinkKeeper
from endivelug.membership import GATEWAYS_PER_DATA_CENTRE
from endivelug.messages import AgentAddress, AgentAddresses, Heartbeat, Message

# Of two agents the one with the smaller name dials. The other one dials too if there
# is no link after this time, for example because the first lacks its address.
SECOND_DIALLER_DELAY_S = 1.5
# Longest wait between two iterations of the main loop.
MAX_WAIT_S = 1.0
# A longer time between two iterations means that this process was paused.
PAUSE_THRESHOLD_S = 2.0
# Links are checked at this interval even if membership has not changed.
LINK_CHECK_INTERVAL_S = 1.5
# All agents send their heartbeats within this time of a multiple of the period on the
# wall clock, so that a receiver wakes up once for many heartbeats. If the clocks
# differ, heartbeats are only spread over the period.
HEARTBEAT_SPREAD_S = 0.01


class Mesh:
    """Component that tracks live agents and maintains the links to them.

    Each agent has a link to every other agent of its data centre. The gateways also
    have links to agents of other data centres.

    Parameters
    ----------
    seeds : list of str
        Addresses to dial while this agent has no links.
    tls : ssl.SSLContext or None
        Client context of the links.
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    message_types: tuple[type, ...] = (Heartbeat, AgentAddresses)

    def __init__(
        self,
        *,
        seeds: list[str],
        tls: ssl.SSLContext | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.context: AgentContext
        self.wall_clock = wall_clock
        self.seeds = seeds
        self.tls = tls
        self.closed_link_bytes = [0, 0]
        self.closed_link_sent = 0
        self.closed_link_received = 0
        self.links: dict[str, Link] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._unlinked_since: dict[str, float] = {}
        self._chosen_remote: dict[str, list[str]] = {}
        self._wakeup = asyncio.Event()

    def set_context(self, context: AgentContext) -> None:
        """Set the shared state; it refers to this object, so it is created later."""
        self.context = context

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Apply a heartbeat, or store the addresses that a peer sent."""
        if isinstance(message, Heartbeat):
            self.apply_heartbeat(link, message)
            return None
        membership = self.context.membership
        before = membership.version
        if isinstance(message, AgentAddresses):
            for agent in message.agents:
                is_new = membership.record_address(
                    vm=agent.vm, data_centre=agent.data_centre, address=agent.address
                )
                # An agent that is not in the VM list yet is announced to the others
                # once, by the agents that received its address from itself.
                if is_new and agent.vm == link.peer.vm:
                    self.broadcast(AgentAddresses(agents=[agent]))
        if membership.version != before:
            self._wakeup.set()
            self.context.notify_change()
        return None

    def apply_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Apply a heartbeat; ignored if it names another VM than the peer."""
        if message.vm != link.peer.vm:
            return
        membership = self.context.membership
        before = membership.version
        accepted = membership.record_heartbeat(
            vm=message.vm,
            data_centre=link.peer.data_centre,
            incarnation=message.incarnation,
            leaving=message.leaving,
            revision=message.revision,
            digest=message.digest,
            now=self.context.clock(),
        )
        if accepted and message.vm not in self.links:
            self.links[message.vm] = link
        if membership.version != before:
            self._wakeup.set()
            self.context.notify_change()

    async def run(self) -> None:
        """Send heartbeats and keep links until cancelled."""
        context = self.context
        heartbeat_at = link_check_at = 0.0
        version = -1
        last_iteration_at = context.clock()
        try:
            while True:
                now = context.clock()
                if now - last_iteration_at > PAUSE_THRESHOLD_S:
                    context.membership.compensate_pause(gap_s=now - last_iteration_at)
                last_iteration_at = now
                if context.membership.expire(now=now):
                    self._abort_dead_links()
                    context.notify_change()
                if now >= heartbeat_at:
                    self.send_heartbeats()
                    heartbeat_at = now + self._heartbeat_wait_s()
                if self._wakeup.is_set() or now >= link_check_at:
                    link_check_at = now + LINK_CHECK_INTERVAL_S
                    self._update_keepers(now)
                if context.membership.version != version:
                    version = context.membership.version
                    self._wakeup.set()
                    continue
                self._wakeup.clear()
                try:
                    wait_s = min(heartbeat_at - context.clock(), MAX_WAIT_S)
                    async with asyncio.timeout(max(wait_s, 0.0)):
                        await self._wakeup.wait()
                except TimeoutError:
                    pass
        finally:
            for task in self._keepers.values():
                task.cancel()
            await asyncio.gather(*self._keepers.values(), return_exceptions=True)

    def add_link(self, link: Link, address: str = "") -> None:
        """Register a new link.

        Parameters
        ----------
        address : str
            Address that was dialled; empty for an accepted link.
        """
        peer = link.peer
        membership = self.context.membership
        if peer.role != "agent" or peer.vm == membership.vm:
            return
        before = membership.version
        accepted = membership.record_greeting(
            vm=peer.vm,
            data_centre=peer.data_centre,
            incarnation=peer.incarnation,
            address=address,
            now=self.context.clock(),
        )
        if not accepted:
            return
        current = self.links.get(peer.vm)
        if (
            current is None
            or current.closed.is_set()
            or current.peer.incarnation < peer.incarnation
            or self._is_dialled_by_smaller_name(link)
        ):
            self.links[peer.vm] = link
        try:
            link.send(self._build_heartbeat())
            link.send(self._build_addresses())
        except (LinkBusy, LinkClosed):
            pass
        self._wakeup.set()
        if membership.version != before:
            self.context.notify_change()

    def remove_link(self, link: Link) -> None:
        """Remove a closed link; the peer may be an agent, a router or an operator."""
        self.closed_link_bytes[0] += link.sent_bytes
        self.closed_link_bytes[1] += link.received_bytes
        self.closed_link_sent += link.sent
        self.closed_link_received += link.received
        if self.links.get(link.peer.vm) is link:
            del self.links[link.peer.vm]
            self.context.membership.link_closed(
                vm=link.peer.vm, incarnation=link.peer.incarnation
            )
            self._wakeup.set()
            self.context.notify_change()

    def link(self, vm: str) -> Link | None:
        """Return the open link to an agent, or None."""
        link = self.links.get(vm)
        return None if link is None or link.closed.is_set() else link

    def broadcast(self, message: Message) -> list[str]:
        """Send to every agent of this data centre; return the VMs where it failed."""
        data = codec.encode(message)
        failed = []
        for vm, link in list(self.links.items()):
            if link.peer.data_centre != self.context.membership.data_centre:
                continue
            try:
                link.send(message, encoded=data)
            except (LinkBusy, LinkClosed):
                failed.append(vm)
        return failed

    def remote_links(self) -> dict[str, list[Link]]:
        """Return the links to agents of other data centres, by data centre."""
        by_data_centre: dict[str, list[Link]] = {}
        for link in self.links.values():
            data_centre = link.peer.data_centre
            if data_centre != self.context.membership.data_centre:
                by_data_centre.setdefault(data_centre, []).append(link)
        return by_data_centre

    def send_heartbeats(self) -> None:
        """Send one heartbeat on every link."""
        heartbeat = self._build_heartbeat()
        data = codec.encode(heartbeat)
        for link in list(self.links.values()):
            try:
                link.send(heartbeat, encoded=data)
            except (LinkBusy, LinkClosed):
                pass

    def _abort_dead_links(self) -> None:
        """Abort the links of dead agents, so that new ones are dialled.

        TCP retransmits with growing intervals: after a partition, a link that stayed
        open would take as long again as the partition lasted to recover.
        """
        for vm, link in list(self.links.items()):
            record = self.context.membership.agents.get(vm)
            if record is None or not record.alive:
                link.socket.abort()

    def _heartbeat_wait_s(self) -> float:
        """Return the time until the next heartbeat, at most one period."""
        period_s = self.context.settings.agent.heartbeat_s
        spread_s = min(HEARTBEAT_SPREAD_S, period_s / 4)
        wait_s = period_s - self.wall_clock() % period_s
        # Just before a boundary, target the next one; subtract the spread so that the
        # result is at most one period.
        if wait_s < spread_s:
            wait_s += period_s - spread_s
        return wait_s + self.context.rng.uniform(0, spread_s)

    def _build_heartbeat(self) -> Heartbeat:
        own = self.context.membership.own_record
        revision, digest = self.context.revision_and_digest()
        return Heartbeat(
            vm=own.vm,
            incarnation=own.incarnation,
            revision=revision,
            digest=digest,
            leaving=own.leaving,
            reach=self.context.membership.live_count(),
        )

    def _build_addresses(self) -> AgentAddresses:
        return AgentAddresses(
            agents=[
                AgentAddress(
                    vm=record.vm,
                    data_centre=record.data_centre,
                    address=record.address,
                )
                for record in self.context.membership.agents.values()
                if record.address
            ]
        )

    def _is_dialled_by_smaller_name(self, link: Link) -> bool:
        own, peer = self.context.membership.vm, link.peer.vm
        return link.dialled == (own < peer)

    def _update_keepers(self, now: float) -> None:
        """Start and stop link keepers to match the addresses to dial."""
        addresses = self._addresses_to_dial(now)
        for address in [item for item in self._keepers if item not in addresses]:
            self._keepers.pop(address).cancel()
        for address in addresses:
            if address not in self._keepers:
                self._keepers[address] = asyncio.create_task(self._run_keeper(address))

    def _addresses_to_dial(self, now: float) -> set[str]:
        membership = self.context.membership
        addresses: set[str] = set()
        known_addresses = {record.address for record in membership.agents.values()}
        if not self.links:
            addresses.update(seed for seed in self.seeds if seed not in known_addresses)
        for record in membership.local_peers():
            if not record.address:
                continue
            link = self.link(record.vm)
            if link is not None and not link.dialled:
                self._unlinked_since.pop(record.vm, None)
                continue
            if membership.vm < record.vm or link is not None:
                addresses.add(record.address)
                continue
            since = self._unlinked_since.setdefault(record.vm, now)
            if now - since > SECOND_DIALLER_DELAY_S:
                addresses.add(record.address)
        addresses.update(self._remote_addresses_to_dial())
        return addresses

    def _remote_addresses_to_dial(self) -> set[str]:
        membership = self.context.membership
        to_dial: set[str] = set()
        for data_centre, records in membership.remote_agents().items():
            if membership.vm not in membership.gateways(data_centre):
                self._chosen_remote.pop(data_centre, None)
                continue
            addresses = {item.vm: item.address for item in records if item.address}
            chosen = [
                vm for vm in self._chosen_remote.get(data_centre, []) if vm in addresses
            ]
            candidates = [vm for vm in sorted(addresses) if vm not in chosen]
            while len(chosen) < GATEWAYS_PER_DATA_CENTRE and candidates:
                vm = self.context.rng.choice(candidates)
                candidates.remove(vm)
                chosen.append(vm)
            self._chosen_remote[data_centre] = chosen
            to_dial.update(addresses[vm] for vm in chosen)
        return to_dial

    async def _run_keeper(self, address: str) -> None:
        keeper = LinkKeeper(
            address=address,
            identity=self.context.identity,
            handler=self.context.dispatch,
            sync_handlers=self.context.sync_handlers,
            rng=self.context.rng,
            tls=self.tls,
            on_open=lambda link: self._link_opened(link),
            on_close=self.remove_link,
        )
        await keeper.run()

    def _link_opened(self, link: Link) -> None:
        self.add_link(link, link.address)
        for notify in self.context.on_link:
            notify(link)
