"""Logs changes in the state of the agent."""

import asyncio
from typing import Any

from endivelug.components import AgentContext
from endivelug.configuration import Configuration
from endivelug.links import Link
from endivelug.logs import log_change
from endivelug.messages import Message
from endivelug.order_sender import OrderSender

COMPARE_INTERVAL_S = 1.0


class AgentLogs:
    """Component that compares the state with the previous one every second.

    A change that is reverted within a second may not be logged; the metrics count it.

    Parameters
    ----------
    context : AgentContext
        Objects shared by the components of the agent.
    configuration : Configuration
        The agent's copy of the configuration.
    orders : OrderSender
        Component that holds the order lease or tries to acquire it.
    """

    message_types: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        context: AgentContext,
        configuration: Configuration,
        orders: OrderSender,
    ) -> None:
        self.context = context
        self.configuration = configuration
        self.orders = orders
        self.revision = 0
        self.agents: set[str] = set()
        self.upstreams: dict[str, str] = {}
        self.lease_held = False

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Do nothing; the component handles no messages."""
        return None

    async def run(self) -> None:
        """Log changes every second until cancelled."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            self.log_changes()

    def log_changes(self) -> None:
        """Log the differences from the state at the last call."""
        revision = self.configuration.revision
        if revision != self.revision:
            log_change("configuration-held", revision=revision, before=self.revision)
            self.revision = revision
        agents = set(self.context.membership.live_agents())
        if agents != self.agents:
            joined, left = sorted(agents - self.agents), sorted(self.agents - agents)
            log_change("agents-changed", joined=joined, left=left, live=len(agents))
            self.agents = agents
        states = {entry.name: entry.state for entry in self.context.upstreams.entries()}
        for name in sorted(states.keys() | self.upstreams.keys()):
            self._log_upstream(name, states.get(name))
        self.upstreams = states
        held = self.orders.holds_lease()
        if held != self.lease_held:
            log_change("order-lease", held=held, fencing=self.orders.lease.fencing)
            self.lease_held = held

    def _log_upstream(self, name: str, state: Any) -> None:
        before = self.upstreams.get(name)
        if state != before:
            log_change("upstream-state", upstream=name, state=state, before=before)
