"""Pushes membership and upstreams to the routers that subscribe to this agent."""

import asyncio

from endivelug import codec
from endivelug.components import AgentContext
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link
from endivelug.messages import LocalState, Message, Subscribe

# Changes within this time are combined into one push.
COALESCE_S = 0.05
# Interval at which ``connected`` is checked when nothing else changes.
CONNECTED_CHECK_S = 2.5
# Agents announce their contacts every 15 s; this allows for two intervals and a margin.
MAX_CONTACT_AGE_S = 35.0


class LocalStatePublisher:
    """Agent component that answers ``Subscribe`` and pushes ``LocalState``.

    A router that subscribes gets the state at once, even if this agent has reached
    neither a peer nor the platform; the state then names only this agent.
    """

    message_types: tuple[type, ...] = (Subscribe,)

    def __init__(self, *, context: AgentContext) -> None:
        self.context = context
        self.pushes = 0
        self._wakeup = asyncio.Event()
        context.on_change.append(self._wakeup.set)

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Register the router, push the state to it, and return the state as reply."""
        self.context.router_links.add(link)
        state = self.state()
        link.send(state)
        return state

    async def run(self) -> None:
        """Push the state after each change until cancelled."""
        pushed_version: tuple[int, int, bool] | None = None
        while True:
            try:
                # ``connected`` may change without a wake-up, hence the timeout.
                async with asyncio.timeout(CONNECTED_CHECK_S):
                    await self._wakeup.wait()
                await asyncio.sleep(COALESCE_S)
            except TimeoutError:
                pass
            self._wakeup.clear()
            # A copy, because closed links are removed from the set during iteration.
            registered = list(self.context.router_links)
            links = [link for link in registered if self._is_open(link)]
            if not links:
                continue
            membership, upstreams = self.context.membership, self.context.upstreams
            version = (membership.version, upstreams.version, self.connected())
            if version == pushed_version:
                continue
            pushed_version = version
            state = self.state()
            data = codec.encode(state)
            for link in links:
                try:
                    link.send(state, encoded=data)
                    self.pushes += 1
                except (LinkBusy, LinkClosed):
                    # Retry in the next iteration.
                    pushed_version = None

    def state(self) -> LocalState:
        """Return the current state of membership and upstreams."""
        context = self.context
        return LocalState(
            agents=context.membership.agent_entries(),
            upstreams=context.upstreams.entries(),
            connected=self.connected(),
        )

    def connected(self) -> bool:
        """Return whether the platform or another data centre had recent contact."""
        context = self.context
        age_s = min(
            context.clock() - context.platform_responded_at, context.contact_age_s()
        )
        return age_s <= MAX_CONTACT_AGE_S or bool(context.peers.remote_links())

    def _is_open(self, link: Link) -> bool:
        """Return whether a link is open; unregister a closed one."""
        if link.closed.is_set():
            self.context.router_links.discard(link)
            return False
        return True
