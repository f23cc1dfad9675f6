"""Reads the platform's VM list and passes its upstreams on to the peers.

Two agents of a data centre poll every second and push what changed, so that the
others need not fetch the whole list; each of those polls rarely, in case the
readers cannot reach the platform.
"""

import asyncio

from endivelug import _rendezvous
from endivelug._tls import client_context
from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link
from endivelug.messages import ListedUpstream, ListedUpstreams, Message
from endivelug.vm_list import ListedVm, VmListReader, VmListUnavailable

READERS = 2
POLL_S = 1.0
RARE_POLL_S = 60.0


class VmListSync:
    """Component that keeps the VM list.

    Parameters
    ----------
    context : AgentContext
        Shared state of the agent.
    """

    message_types: tuple[type, ...] = (ListedUpstreams,)

    def __init__(self, *, context: AgentContext) -> None:
        platform = context.settings.platform
        self.context = context
        self.reader = VmListReader(
            url=platform.vm_list,
            timeout_s=platform.timeout_s,
            credential=platform.credential,
            tls=client_context(platform.tls_ca),
        )
        self.polls = 0
        self.failures = 0
        self.fetched_at = float("-inf")
        self.listed: list[ListedUpstream] | None = None
        self._unsent: set[str] = set()
        context.on_link.append(self._greet)

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Apply the upstreams of a peer's list where it is newer than the own one."""
        assert isinstance(message, ListedUpstreams)
        fetched_at = self.context.clock() - message.fetched_s
        if link.peer.data_centre != self.context.membership.data_centre:
            return None
        if fetched_at > self.fetched_at and message.upstreams != self.listed:
            self.fetched_at = fetched_at
            self._apply(message.upstreams)
        return None

    async def run(self) -> None:
        """Poll until cancelled."""
        context = self.context
        while True:
            await self.poll()
            period_s = POLL_S
            if not self._is_reader():
                period_s = RARE_POLL_S * context.rng.uniform(0.5, 1.0)
            deadline = context.clock() + period_s * context.rng.uniform(0.9, 1.0)
            # Membership can make this agent a reader before the deadline.
            while (left_s := deadline - context.clock()) > 0:
                await asyncio.sleep(min(left_s, POLL_S))
                if period_s > POLL_S and (self._is_reader() or self.listed is None):
                    break

    async def poll(self) -> None:
        """Fetch the list once and pass on what changed."""
        context = self.context
        self.polls += 1
        try:
            listed = await self.reader.fetch()
        except VmListUnavailable:
            self.failures += 1
            return
        now = context.clock()
        context.platform_heard_at = now
        self.fetched_at = now
        if listed is None:
            if self._unsent:
                self._push(self._unsent)
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
        if upstreams != self.listed:
            self._apply(upstreams)
            self._push({record.vm for record in context.membership.others()})
        else:
            context.changed()

    def _is_reader(self) -> bool:
        membership = self.context.membership
        return any(
            _rendezvous.owner(f"vms:{number}", membership.live()) == membership.vm
            for number in range(READERS)
        )

    def _apply(self, upstreams: list[ListedUpstream]) -> None:
        self.listed = upstreams
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
            live=context.membership.responsive(),
        )
        context.changed()

    def _message(self) -> ListedUpstreams:
        return ListedUpstreams(
            fetched_s=max(self.context.clock() - self.fetched_at, 0.0),
            upstreams=self.listed or [],
        )

    def _push(self, vms: set[str]) -> None:
        message = self._message()
        failed = set(self.context.peers.broadcast(message))
        self._unsent = failed & vms

    def _greet(self, link: Link) -> None:
        """Give a new peer the list, for example one that has just started."""
        if (
            self.listed is None
            or link.peer.role != "agent"
            or link.peer.data_centre != self.context.membership.data_centre
            or not self._is_reader()
        ):
            return
        try:
            link.send(self._message())
        except (LinkBusy, LinkClosed):
            pass
