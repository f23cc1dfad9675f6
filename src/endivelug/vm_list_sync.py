"""Polls the platform's VM list and sends the listed upstreams to the peers.

Two agents of a data centre, the pollers, fetch the list every second and send each
change to the others, which therefore need not fetch it as often. The others still
poll within a minute, in case the pollers cannot reach the platform.
"""

import asyncio

from endivelug import _rendezvous
from endivelug._tls import client_context
from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link
from endivelug.messages import ListedUpstream, ListedUpstreams, Message
from endivelug.vm_list import ListedVm, VmListClient, VmListUnavailable

POLLERS = 2
POLL_S = 1.0
FALLBACK_POLL_S = 60.0


class VmListSync:
    """Component that keeps the VM list of this agent up to date.

    Parameters
    ----------
    context : AgentContext
        Shared state of the agent.
    """

    message_types: tuple[type, ...] = (ListedUpstreams,)

    def __init__(self, *, context: AgentContext) -> None:
        platform = context.settings.platform
        self.context = context
        self.client = VmListClient(
            url=platform.vm_list,
            timeout_s=platform.timeout_s,
            credential=platform.credential,
            tls=client_context(platform.tls_ca),
        )
        self.polls = 0
        self.failures = 0
        self.fetched_at = float("-inf")
        self.listed_upstreams: list[ListedUpstream] | None = None
        self._unsent_vms: set[str] = set()
        context.on_link.append(self._send_to_new_peer)

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Apply the upstreams of a peer's VM list if it is newer than the own list."""
        assert isinstance(message, ListedUpstreams)
        fetched_at = self.context.clock() - message.age_s
        if link.peer.data_centre != self.context.membership.data_centre:
            return None
        if fetched_at > self.fetched_at and message.upstreams != self.listed_upstreams:
            self.fetched_at = fetched_at
            self._apply(message.upstreams)
        return None

    async def run(self) -> None:
        """Poll until cancelled."""
        context = self.context
        while True:
            await self.poll()
            period_s = POLL_S
            if not self._is_poller():
                period_s = FALLBACK_POLL_S * context.rng.uniform(0.5, 1.0)
            deadline = context.clock() + period_s * context.rng.uniform(0.9, 1.0)
            # A membership change can make this agent a poller before the deadline.
            while (remaining_s := deadline - context.clock()) > 0:
                await asyncio.sleep(min(remaining_s, POLL_S))
                if period_s > POLL_S and (
                    self._is_poller() or self.listed_upstreams is None
                ):
                    break

    async def poll(self) -> None:
        """Fetch the list once, apply it and send changed upstreams to the peers."""
        context = self.context
        self.polls += 1
        try:
            listed = await self.client.fetch()
        except VmListUnavailable:
            self.failures += 1
            return
        now = context.clock()
        context.platform_responded_at = now
        self.fetched_at = now
        if listed is None:
            if self._unsent_vms:
                self._push(self._unsent_vms)
            return
        agents = [vm for vm in listed if vm.kind == "agent"]
        context.membership.apply_list(
            ((vm.vm, vm.data_centre, vm.address) for vm in agents), now=now
        )
        upstreams = [
            ListedUpstream(
                name=vm.vm,
                address=vm.address,
                kind=vm.kind,
                pool=vm.pool,
                leaving=vm.leaving,
            )
            for vm in listed
            if vm.kind != "agent" and vm.data_centre == context.membership.data_centre
        ]
        if upstreams != self.listed_upstreams:
            self._apply(upstreams)
            self._push({record.vm for record in context.membership.local_peers()})
        else:
            context.notify_change()

    def _is_poller(self) -> bool:
        membership = self.context.membership
        return any(
            _rendezvous.owner(f"vms:{number}", membership.live_agents())
            == membership.vm
            for number in range(POLLERS)
        )

    def _apply(self, upstreams: list[ListedUpstream]) -> None:
        self.listed_upstreams = upstreams
        context = self.context
        context.upstreams.apply_vm_list(
            [
                ListedVm(
                    vm=item.name,
                    address=item.address,
                    data_centre=context.membership.data_centre,
                    kind=item.kind,
                    pool=item.pool,
                    leaving=item.leaving,
                )
                for item in upstreams
            ],
            live=context.membership.responsive_agents(),
        )
        context.notify_change()

    def _build_message(self) -> ListedUpstreams:
        return ListedUpstreams(
            age_s=max(self.context.clock() - self.fetched_at, 0.0),
            upstreams=self.listed_upstreams or [],
        )

    def _push(self, vms: set[str]) -> None:
        """Broadcast the list; remember which of the given VMs did not get it."""
        message = self._build_message()
        failed = set(self.context.peers.broadcast(message))
        self._unsent_vms = failed & vms

    def _send_to_new_peer(self, link: Link) -> None:
        """Send the list to a new peer, which may have just started."""
        if (
            self.listed_upstreams is None
            or link.peer.role != "agent"
            or link.peer.data_centre != self.context.membership.data_centre
            or not self._is_poller()
        ):
            return
        try:
            link.send(self._build_message())
        except (LinkBusy, LinkClosed):
            pass
