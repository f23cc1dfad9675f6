"""Links to the other agents, heartbeats over them, and healing of partitions."""

import asyncio
import ssl
import time
from collections.abc import Callable

from endivelug import codec
from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link, LinkKeeper
from endivelug.membership import GATEWAYS
from endivelug.messages import AgentAddress, AgentAddresses, Heartbeat, Message

# The agent with the smaller name dials; the other one dials too when no link came
# after this time, for example because the first does not know its address yet.
SECOND_DIALLER_DELAY_S = 1.5
TICK_S = 1.0
# A turn this late means that this process was paused.
PAUSE_S = 2.0
# Links are looked over this often even without a change.
KEEP_LINKS_S = 1.5
# Agents send their heartbeats in the same part of each period of the wall clock, so
# that a receiver is woken once for many. Without a common clock they only spread.
HEARTBEAT_SPREAD_S = 0.01


class Mesh:
    """Component that knows which agents live and holds a link to each.

    Parameters
    ----------
    seeds : list of str
        Addresses of agents to start from.
    tls : ssl.SSLContext or None
        Client context of the links.
    wall_clock : callable
        Unix seconds.
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
        self.closed_bytes = [0, 0]
        self.closed_sent = 0
        self.closed_received = 0
        self.links: dict[str, Link] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._missing_since: dict[str, float] = {}
        self._remote_choice: dict[str, list[str]] = {}
        self._wakeup = asyncio.Event()

    def attach(self, context: AgentContext) -> None:
        """Set the shared state, which in turn holds this object."""
        self.context = context

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Record a heartbeat, or learn addresses from a peer."""
        if isinstance(message, Heartbeat):
            self.heard(link, message)
            return None
        membership = self.context.membership
        before = membership.version
        if isinstance(message, AgentAddresses):
            for agent in message.agents:
                new = membership.learn(
                    vm=agent.vm, data_centre=agent.data_centre, address=agent.address
                )
                # An agent that no list names yet is passed on once, by those whom
                # it told itself.
                if new and agent.vm == link.peer.vm:
                    self.broadcast(AgentAddresses(agents=[agent]))
        if membership.version != before:
            self._wakeup.set()
            self.context.changed()
        return None

    def heard(self, link: Link, message: Heartbeat) -> None:
        """Record a heartbeat."""
        if message.vm != link.peer.vm:
            return
        membership = self.context.membership
        before = membership.version
        fresh = membership.heard(
            vm=message.vm,
            data_centre=link.peer.data_centre,
            incarnation=message.incarnation,
            leaving=message.leaving,
            revision=message.revision,
            digest=message.digest,
            now=self.context.clock(),
        )
        if fresh and message.vm not in self.links:
            self.links[message.vm] = link
        if membership.version != before:
            self._wakeup.set()
            self.context.changed()

    async def run(self) -> None:
        """Send heartbeats and keep links until cancelled."""
        context = self.context
        heartbeat_at = keep_at = 0.0
        version = -1
        woken_at = context.clock()
        try:
            while True:
                now = context.clock()
                if now - woken_at > PAUSE_S:
                    context.membership.was_paused(gap_s=now - woken_at)
                woken_at = now
                if context.membership.expire(now=now):
                    self._drop_silent()
                    context.changed()
                if now >= heartbeat_at:
                    self.send_heartbeats()
                    heartbeat_at = now + self._until_heartbeat_s()
                if self._wakeup.is_set() or now >= keep_at:
                    keep_at = now + KEEP_LINKS_S
                    self._keep_links(now)
                if context.membership.version != version:
                    version = context.membership.version
                    self._wakeup.set()
                    continue
                self._wakeup.clear()
                try:
                    wait_s = min(heartbeat_at - context.clock(), TICK_S)
                    async with asyncio.timeout(max(wait_s, 0.0)):
                        await self._wakeup.wait()
                except TimeoutError:
                    pass
        finally:
            for task in self._keepers.values():
                task.cancel()
            await asyncio.gather(*self._keepers.values(), return_exceptions=True)

    def opened(self, link: Link, address: str = "") -> None:
        """Register a new link, accepted or dialled (then with its address)."""
        peer = link.peer
        membership = self.context.membership
        if peer.role != "agent" or peer.vm == membership.vm:
            return
        before = membership.version
        fresh = membership.greeted(
            vm=peer.vm,
            data_centre=peer.data_centre,
            incarnation=peer.incarnation,
            address=address,
            now=self.context.clock(),
        )
        if not fresh:
            return
        held = self.links.get(peer.vm)
        if (
            held is None
            or held.closed.is_set()
            or held.peer.incarnation < peer.incarnation
            or self._dialled_by_smaller(link)
        ):
            self.links[peer.vm] = link
        try:
            link.send(self._heartbeat())
            link.send(self._addresses())
        except (LinkBusy, LinkClosed):
            pass
        self._wakeup.set()
        if membership.version != before:
            self.context.changed()

    def closed(self, link: Link) -> None:
        """Forget a closed link of any peer."""
        self.closed_bytes[0] += link.sent_bytes
        self.closed_bytes[1] += link.received_bytes
        self.closed_sent += link.sent
        self.closed_received += link.received
        if self.links.get(link.peer.vm) is link:
            del self.links[link.peer.vm]
            self.context.membership.link_closed(
                vm=link.peer.vm, incarnation=link.peer.incarnation
            )
            self._wakeup.set()
            self.context.changed()

    def link(self, vm: str) -> Link | None:
        """Return the open link to an agent, or None."""
        link = self.links.get(vm)
        return None if link is None or link.closed.is_set() else link

    def broadcast(self, message: Message) -> list[str]:
        """Send to every agent of this data centre; return those it failed for."""
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
        """Return the open links to each other data centre."""
        found: dict[str, list[Link]] = {}
        for link in self.links.values():
            data_centre = link.peer.data_centre
            if data_centre != self.context.membership.data_centre:
                found.setdefault(data_centre, []).append(link)
        return found

    def send_heartbeats(self) -> None:
        """Send one heartbeat on every link."""
        heartbeat = self._heartbeat()
        data = codec.encode(heartbeat)
        for link in list(self.links.values()):
            try:
                link.send(heartbeat, encoded=data)
            except (LinkBusy, LinkClosed):
                pass

    def _drop_silent(self) -> None:
        """Abort the links of dead agents, so that a new one is dialled.

        After a partition a link that stayed open repeats its lost packets only after
        a time as long as the partition was.
        """
        for vm, link in list(self.links.items()):
            record = self.context.membership.agents.get(vm)
            if record is None or not record.alive:
                link.socket.abort()

    def _until_heartbeat_s(self) -> float:
        """Return the time until the next heartbeat, at most one period."""
        period_s = self.context.settings.agent.heartbeat_s
        spread_s = min(HEARTBEAT_SPREAD_S, period_s / 4)
        left_s = period_s - self.wall_clock() % period_s
        # Just before a boundary the one after it is near enough.
        if left_s < spread_s:
            left_s += period_s - spread_s
        return left_s + self.context.rng.uniform(0, spread_s)

    def _heartbeat(self) -> Heartbeat:
        own = self.context.membership.own
        revision, digest = self.context.revision_and_digest()
        return Heartbeat(
            vm=own.vm,
            incarnation=own.incarnation,
            revision=revision,
            digest=digest,
            leaving=own.leaving,
            reach=self.context.membership.reach(),
        )

    def _addresses(self) -> AgentAddresses:
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

    def _dialled_by_smaller(self, link: Link) -> bool:
        own, peer = self.context.membership.vm, link.peer.vm
        return link.dialled == (own < peer)

    def _keep_links(self, now: float) -> None:
        """Start and stop outgoing links so that each wanted peer has one."""
        wanted = self._wanted(now)
        for address in [address for address in self._keepers if address not in wanted]:
            self._keepers.pop(address).cancel()
        for address in wanted:
            if address not in self._keepers:
                self._keepers[address] = asyncio.create_task(self._keep(address))

    def _wanted(self, now: float) -> set[str]:
        membership = self.context.membership
        wanted: set[str] = set()
        known = {record.address for record in membership.agents.values()}
        if not self.links:
            wanted.update(seed for seed in self.seeds if seed not in known)
        for record in membership.others():
            if not record.address:
                continue
            link = self.link(record.vm)
            if link is not None and not link.dialled:
                self._missing_since.pop(record.vm, None)
                continue
            if membership.vm < record.vm or link is not None:
                wanted.add(record.address)
                continue
            since = self._missing_since.setdefault(record.vm, now)
            if now - since > SECOND_DIALLER_DELAY_S:
                wanted.add(record.address)
        wanted.update(self._wanted_remote())
        return wanted

    def _wanted_remote(self) -> set[str]:
        membership = self.context.membership
        wanted: set[str] = set()
        for data_centre, records in membership.remote().items():
            if membership.vm not in membership.gateways(data_centre):
                self._remote_choice.pop(data_centre, None)
                continue
            addresses = {item.vm: item.address for item in records if item.address}
            chosen = [
                vm for vm in self._remote_choice.get(data_centre, []) if vm in addresses
            ]
            spare = [vm for vm in sorted(addresses) if vm not in chosen]
            while len(chosen) < GATEWAYS and spare:
                vm = self.context.rng.choice(spare)
                spare.remove(vm)
                chosen.append(vm)
            self._remote_choice[data_centre] = chosen
            wanted.update(addresses[vm] for vm in chosen)
        return wanted

    async def _keep(self, address: str) -> None:
        keeper = LinkKeeper(
            address=address,
            identity=self.context.identity,
            handler=self.context.dispatch,
            prompt=self.context.prompt,
            rng=self.context.rng,
            tls=self.tls,
            on_open=lambda link: self._notify(link),
            on_close=self.closed,
        )
        await keeper.run()

    def _notify(self, link: Link) -> None:
        self.opened(link, link.address)
        for notify in self.context.on_link:
            notify(link)
