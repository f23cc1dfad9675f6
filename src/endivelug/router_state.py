"""Router's view of the configuration, the agents and the upstreams."""

import random
from collections.abc import Callable

from endivelug.config_follower import ConfigFollower
from endivelug.configuration import Configuration
from endivelug.links import Link
from endivelug.messages import AgentEntry, LocalState, Message, UpstreamEntry
from endivelug.refusals import NotRun
from endivelug.settings import Settings
from endivelug.staleness import Staleness

# Longest time that a starting router waits for its agent to find a live upstream in
# each pool.
UPSTREAM_WAIT_S = 3.0


class RouterState:
    """State pushed by the agent of this VM; retained while the agent is disconnected.

    Parameters
    ----------
    settings : Settings
        Settings of the VM.
    clock : callable
        Returns the monotonic time in seconds.
    rng : random.Random
        Source of random jitter.
    on_change : callable
        Called after each update of the agents and upstreams.
    on_revision : callable
        Called after each new configuration revision.

    Attributes
    ----------
    agents : list of AgentEntry
        Agents of the data centre.
    upstreams : dict of str to UpstreamEntry
        Upstreams of the data centre by name.
    upstream_wait_until : float or None
        Time at which the wait for upstreams ends; None before the first update.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[], None] = lambda: None,
        on_revision: Callable[[], None] = lambda: None,
    ) -> None:
        self.clock = clock
        self.on_change = on_change
        self.on_revision = on_revision
        self.configuration = Configuration()
        own = settings.vm.data_centre
        self.other_data_centres = [
            name for name in settings.vm.all_data_centres() if name != own
        ]
        self.staleness = Staleness(
            data_centre=own, stale_limit_s=settings.agent.stale_limit_s
        )
        self.follower = ConfigFollower(
            configuration=self.configuration,
            staleness=self.staleness,
            clock=clock,
            rng=rng,
            on_applied=lambda old_revision, link: self.on_revision(),
        )
        self.agents: list[AgentEntry] = []
        self.upstreams: dict[str, UpstreamEntry] = {}
        self.upstream_wait_until: float | None = None

    async def handle(self, link: Link, message: Message) -> Message | None:
        """Handle a message of this VM's agent."""
        if isinstance(message, LocalState):
            self.agents = message.agents
            self.upstreams = {entry.name: entry for entry in message.upstreams}
            self._update_upstream_wait()
            self.on_change()
            return None
        return await self.follower.handle(link=link, message=message)

    def is_ready(self) -> bool:
        """Return whether the configuration is loaded and the upstream wait is over."""
        return (
            self.configuration.revision > 0
            and self.upstream_wait_until is not None
            and self.clock() >= self.upstream_wait_until
        )

    def refusal(self) -> NotRun | None:
        """Return a refusal for new requests, or None if they can be served."""
        if not self.is_ready():
            return NotRun(
                kind="not-ready",
                status=503,
                remedy="this router is starting; retry",
                retry_after_s=1.0,
            )
        if self.staleness.is_stale(self.other_data_centres, now=self.clock()):
            return NotRun(
                kind="configuration-stale",
                status=503,
                remedy="this data centre is cut off; use another one or retry later",
                retry_after_s=30.0,
            )
        return None

    def _update_upstream_wait(self) -> None:
        """End the wait when each pool has a live upstream; else start its timeout."""
        now = self.clock()
        live = {
            entry.pool for entry in self.upstreams.values() if entry.state == "live"
        }
        if self.upstreams and live == {entry.pool for entry in self.upstreams.values()}:
            self.upstream_wait_until = min(now, self.upstream_wait_until or now)
        elif self.upstream_wait_until is None:
            self.upstream_wait_until = now + UPSTREAM_WAIT_S

    def live_services(self, pool: str) -> list[UpstreamEntry]:
        """Return the live upstreams of a service."""
        return [
            entry
            for entry in self.upstreams.values()
            if entry.kind == "service" and entry.pool == pool and entry.state == "live"
        ]
