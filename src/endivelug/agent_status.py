"""Reports to the operator which configuration revision is in force on each VM."""

import math

from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link
from endivelug.messages import (
    DataCentreStatusRequest,
    Message,
    Status,
    StatusRequest,
    VmStatus,
)

FORWARD_TIMEOUT_S = 1.0
# Reported instead of infinity, which CBOR can encode but the JSON output of the
# operator's command cannot.
MAX_AGE_S = 1e9


class AgentStatus:
    """Component that reports the status of this and the other data centres."""

    message_types: tuple[type, ...] = (StatusRequest, DataCentreStatusRequest)

    def __init__(self, *, context: AgentContext) -> None:
        self.context = context

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Return the status of all data centres, or of the requested one.

        A data centre that does not respond is absent from the reply.
        """
        own = self.context.membership.data_centre
        if isinstance(message, DataCentreStatusRequest):
            if message.data_centre == own:
                return self.own_status()
            return await self._request_status(message.data_centre, forward=False)
        status = self.own_status()
        known = set(self.context.settings.vm.all_data_centres())
        known.update(self.context.membership.remote_agents())
        for data_centre in sorted(known - {own}):
            remote = await self._request_status(data_centre, forward=True)
            if remote is not None:
                status.vms.extend(remote.vms)
        return status

    async def run(self) -> None:
        """Do nothing; the component only responds to requests."""

    def own_status(self) -> Status:
        """Return the status of this data centre."""
        context, membership = self.context, self.context.membership
        now = context.clock()
        revision, digest = context.revision_and_digest()
        vms = [
            VmStatus(
                vm=membership.vm,
                data_centre=membership.data_centre,
                revision=revision,
                state="leaving" if membership.own_record.leaving else "live",
                age_s=0.0,
            )
        ]
        for record in membership.local_peers():
            state = "live" if record.alive else "dead"
            if record.alive and record.leaving:
                state = "leaving"
            vms.append(
                VmStatus(
                    vm=record.vm,
                    data_centre=record.data_centre,
                    revision=record.revision,
                    state=state,
                    age_s=min(now - record.last_seen_at, MAX_AGE_S),
                )
            )
        platform_age_s = context.platform_age_s()
        return Status(
            vm=membership.vm,
            data_centre=membership.data_centre,
            revision=revision,
            digest=digest,
            platform_age_s=MAX_AGE_S if math.isinf(platform_age_s) else platform_age_s,
            vms=vms,
        )

    async def _request_status(
        self, data_centre: str, *, forward: bool
    ) -> Status | None:
        """Return the status of another data centre, or None without a response.

        The request goes over this agent's links to the data centre; with ``forward``,
        it is then retried through peers that have such a link.
        """
        request = DataCentreStatusRequest(data_centre=data_centre)
        peers = self.context.peers
        links = list(peers.remote_links().get(data_centre, []))
        if forward:
            gateways = self.context.membership.gateways(data_centre)
            links.extend(link for vm in gateways if (link := peers.link(vm)))
        for link in links:
            try:
                reply = await link.request(request, timeout_s=FORWARD_TIMEOUT_S)
            except (LinkBusy, LinkClosed, TimeoutError):
                continue
            if isinstance(reply, Status):
                return reply
        return None
