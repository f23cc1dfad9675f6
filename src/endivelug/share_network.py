"""Construction of an agent's ``ShareComponent`` from its membership and links."""

from endivelug.components import AgentContext
from endivelug.configuration import Configuration
from endivelug.exceptions import LinkClosed
from endivelug.links import Link
from endivelug.plan_limits import limits_lookup
from endivelug.shares import ShareComponent


class AgentShareNetwork:
    """Provides an agent's membership and links to ``ShareComponent``.

    Parameters
    ----------
    context : AgentContext
        State that is common to the components of one agent.
    """

    def __init__(self, *, context: AgentContext) -> None:
        self.context = context

    def agents(self) -> list[str]:
        """Return the live agents of the data centre, without leaving ones."""
        return list(self.context.membership.live_agents())

    def data_centres(self) -> list[str]:
        """Return all data centres of the deployment, including unreachable ones."""
        return self.context.settings.vm.all_data_centres()

    def link(self, vm: str) -> Link:
        """Return the link to an agent of this data centre.

        Raises
        ------
        LinkClosed
            If there is no such link.
        """
        link = self.context.peers.link(vm)
        if link is None:
            raise LinkClosed(f"no link to {vm}; ask again later")
        return link

    def link_to(self, data_centre: str) -> Link:
        """Return a link to an agent of another data centre.

        Raises
        ------
        LinkClosed
            If there is no such link.
        """
        links = self.context.peers.remote_links().get(data_centre)
        if not links:
            raise LinkClosed(f"no link to {data_centre}; ask again later")
        return links[0]

    def gateways(self) -> list[str]:
        """Return the agents of this data centre that have links to other ones."""
        membership = self.context.membership
        found = {
            vm
            for data_centre in self.data_centres()
            if data_centre != membership.data_centre
            for vm in membership.gateways(data_centre)
        }
        return sorted(found)


def make_share_component(
    context: AgentContext, configuration: Configuration
) -> ShareComponent:
    """Return the ``ShareComponent`` of an agent."""
    return ShareComponent(
        vm=context.identity.vm,
        data_centre=context.identity.data_centre,
        network=AgentShareNetwork(context=context),
        limits_of=limits_lookup(configuration),
        clock=context.clock,
    )
