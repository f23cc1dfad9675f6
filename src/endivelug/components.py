"""Interface of an agent's components, and the state that they share."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from endivelug.links import Handler, Identity, Link, SyncHandler
from endivelug.membership import Membership
from endivelug.messages import Message
from endivelug.settings import Settings
from endivelug.upstreams import Upstreams


class Component(Protocol):
    """One part of the agent.

    Attributes
    ----------
    message_types : tuple of type
        Types of the messages that the component handles. Several components may
        handle the same type; the first reply that is not None is sent.
    """

    message_types: tuple[type, ...]

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Handle one message; the result is the reply if it is a request."""
        ...

    async def run(self) -> None:
        """Run until cancelled."""
        ...


class Peers(Protocol):
    """Links to other agents; see ``mesh.Mesh``."""

    def link(self, vm: str) -> Link | None:
        """Return the open link to an agent, or None."""
        ...

    def broadcast(self, message: Message) -> list[str]:
        """Send to every agent of this data centre; return the VMs where it failed."""
        ...

    def remote_links(self) -> dict[str, list[Link]]:
        """Return the links to agents of other data centres, by data centre."""
        ...


@dataclass(slots=True, kw_only=True)
class AgentContext:
    """State that the components of an agent share.

    Attributes
    ----------
    on_change : list of callable
        Called after each change of membership or upstreams.
    on_link : list of callable
        Called with each new authenticated link, accepted or opened.
    router_links : set of Link
        Links of subscribed routers.
    dispatch : callable
        Handler of every link: passes a message to the components that handle its
        type.
    revision_and_digest : callable
        Returns (revision, digest) of the configuration in force.
    sync_handlers : dict of type to callable
        Synchronous handlers of every link, by message type.
    contact_age_s : callable
        Returns the seconds since this data centre last had contact with the platform
        or another data centre, by the contact times that its agents exchange.
    platform_age_s : callable
        Returns the seconds since the platform confirmed the configuration.
    platform_responded_at : float
        Time of the platform's last response; minus infinity before the first one.
    merged_agents : tuple of str
        Responsive agents whose reports on upstreams were used in the last merge.
    """

    settings: Settings
    identity: Identity
    membership: Membership
    upstreams: Upstreams
    rng: random.Random
    peers: Peers
    dispatch: Handler
    clock: Callable[[], float] = time.monotonic
    on_change: list[Callable[[], None]] = field(default_factory=list)
    on_link: list[Callable[[Link], None]] = field(default_factory=list)
    router_links: set[Link] = field(default_factory=set)
    revision_and_digest: Callable[[], tuple[int, int]] = lambda: (0, 0)
    sync_handlers: dict[type, SyncHandler] = field(default_factory=dict)
    contact_age_s: Callable[[], float] = lambda: float("inf")
    platform_age_s: Callable[[], float] = lambda: float("inf")
    platform_responded_at: float = float("-inf")
    merged_agents: tuple[str, ...] = ()

    def notify_change(self) -> None:
        """Notify the components that membership or upstreams changed."""
        responsive = self.membership.responsive_agents()
        if responsive != self.merged_agents:
            self.merged_agents = responsive
            self.upstreams.merge_all(live=responsive)
        for notify in self.on_change:
            notify()
