"""Creates the component of an agent that sends orders to engines."""

from endivelug import _rendezvous
from endivelug.components import AgentContext
from endivelug.configuration import Configuration
from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease
from endivelug.order_sender import OrderSender
from endivelug.orders import DesiredModel
from endivelug.table import Table

# Only two agents compete for the order lease; otherwise all agents, for example 70,
# would read its row every 3 s.
LEASE_CANDIDATES = 2


def desired_models(configuration: Configuration) -> list[DesiredModel]:
    """Return the desired models, each with the adapters of the plans that list it."""
    adapters: dict[str, set[str]] = {}
    for plan in configuration.plans.values():
        for model in plan.versions:
            adapters.setdefault(model, set()).update(plan.adapters)
    return [
        DesiredModel(
            model=model,
            version=version,
            adapters=tuple(sorted(adapters.get(model, ()))),
        )
        for model, version in configuration.desired_versions().items()
    ]


def make_order_sender(
    context: AgentContext, configuration: Configuration
) -> OrderSender:
    """Return the component that sends orders while this VM holds the order lease."""
    platform, agent = context.settings.platform, context.settings.agent
    membership = context.membership
    table = Table.open(platform)
    lease = Lease(
        data_centre=membership.data_centre,
        vm=membership.vm,
        lease_s=agent.lease_s,
        clock_bound_s=agent.clock_bound_s,
        order_timeout_s=agent.order_timeout_s,
    )

    def is_candidate() -> bool:
        # Before the first configuration the desired models are unknown, and an empty
        # list would unload the models of all engines.
        if not configuration.revision:
            return False
        live = membership.live_agents()
        return any(
            _rendezvous.owner(f"orders:{number}", live) == membership.vm
            for number in range(LEASE_CANDIDATES)
        )

    return OrderSender(
        keeper=LeaseKeeper(
            table=table,
            lease=lease,
            renew_s=agent.lease_renew_s,
            is_candidate=is_candidate,
            rng=context.rng,
        ),
        table=table,
        data_centre=membership.data_centre,
        desired_models=lambda: desired_models(configuration),
        observed_upstreams=context.upstreams.entries,
        pools=context.settings.pools,
        rng=context.rng,
    )
