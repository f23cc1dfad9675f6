"""What the agent's components share and the protocol that each one follows."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from endivelug.links import Handler, Identity, Link, PromptHandler
from endivelug.membership import Membership
from endivelug.messages import Message
from endivelug.settings import Settings
from endivelug.upstreams import Upstreams


class Component(Protocol):
    """One part of the agent.

    Attributes
    ----------
    message_types : tuple of type
        Messages that the component handles; several components may name the same
        type, and the first reply that is not None is sent.
    """

    message_types: tuple[type, ...]

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Handle one message; the result answers a request."""
        ...

    async def run(self) -> None:
        """Work until cancelled."""
        ...


class Peers(Protocol):
    """Links to other agents; see ``mesh.Mesh``."""

    def link(self, vm: str) -> Link | None:
        """Return the open link to an agent, or None."""
        ...

    def broadcast(self, message: Message) -> list[str]:
        """Send to every agent of this data centre; return those it failed for."""
        ...

    def remote_links(self) -> dict[str, list[Link]]:
        """Return the open links to each other data centre."""
        ...


@dataclass(slots=True, kw_only=True)
class AgentContext:
    """What the components of one agent share.

    Attributes
    ----------
    on_change : list of callable
        Called after any change of membership or upstreams.
    on_link : list of callable
        Called with each new authenticated link, accepted or opened.
    router_links : set of Link
        Links of subscribed routers.
    dispatch : callable
        Handler of every link: gives a message to the components that take it.
    revision_and_digest : callable
        Returns (revision, digest) of the configuration in force.
    prompt : dict of type to callable
        Handlers of every link that do not wait.
    contact_age_s : callable
        Returns the seconds since this data centre last heard of the platform or of
        another data centre, as its agents tell each other.
    platform_age_s : callable
        Returns the seconds since the platform confirmed the configuration.
    platform_heard_at : float
        Time of the last answer of the platform; minus infinity before the first.
    merged_for : tuple of str
        Responsive agents for which the reports on upstreams were last merged.
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
    prompt: dict[type, PromptHandler] = field(default_factory=dict)
    contact_age_s: Callable[[], float] = lambda: float("inf")
    platform_age_s: Callable[[], float] = lambda: float("inf")
    platform_heard_at: float = float("-inf")
    merged_for: tuple[str, ...] = ()

    def changed(self) -> None:
        """Tell the components that membership or upstreams changed."""
        responsive = self.membership.responsive()
        if responsive != self.merged_for:
            self.merged_for = responsive
            self.upstreams.merge_all(live=responsive)
        for notify in self.on_change:
            notify()
