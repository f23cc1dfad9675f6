"""Distributes the configuration from the table to all agents and routers.

A few agents in each data centre, the readers, poll the small head in the table. They
push new revisions to their peers, to other data centres and to the routers.
Heartbeats carry revision and digest, so that a missed push is detected and repaired.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from endivelug import _rendezvous
from endivelug.components import AgentContext, Peers
from endivelug.config_follower import ConfigFollower
from endivelug.config_server import ConfigServer
from endivelug.config_store import ConfigStore
from endivelug.configuration import Applied, Configuration, Gap, Rejected
from endivelug.exceptions import (
    ConfigurationDamaged,
    LinkBusy,
    LinkClosed,
    ObjectStoreUnavailable,
    TableUnavailable,
)
from endivelug.links import Link
from endivelug.membership import Membership
from endivelug.messages import (
    ConfigDelta,
    ConfigHead,
    ConfigRequest,
    Contact,
    Heartbeat,
    Message,
    Subscribe,
)
from endivelug.staleness import PLATFORM, Staleness

# For larger changes only the head is pushed, and peers request the changes, so that
# pushes never fill the send queues.
MAX_PUSH_BYTES = 64 * 1024
# Interval at which contacts are announced. It may be long, because only the stale
# limit, which is hours, depends on it.
CONTACT_INTERVAL_S = 15.0
# First delay between attempts to leave the stale state; it doubles each time.
STALE_RETRY_S = 0.25
# Range of delays before the first table read. When many agents start together, a few
# read it early, and the others only if no peer had a configuration by then.
EARLY_READ_S = (0.0, 0.2)
LATE_READ_S = (2.0, 4.0)
# A peer that has the configuration makes a table read unnecessary.
FIRST_LINK_WAIT_S = 0.5
MAX_STARTUP_PULLS = 2
# Minimum time between two table reads that repair diverged content.
REPAIR_INTERVAL_S = 5.0


class ConfigSync:
    """Agent component that keeps the configuration up to date and distributes it.

    Parameters
    ----------
    configuration : Configuration
        The agent's copy.
    store : ConfigStore
        The lists in the platform.
    peers, membership : Peers, Membership
        Links to other agents, and the list of known and live agents.
    data_centres : callable
        Returns the names of all other data centres of the deployment.
    rng : random.Random
        Source of the jitter.
    head_poll_s : float
        Seconds between two reads of the head by a reader.
    config_readers : int
        Number of readers in a data centre.
    stale_limit_s : float
        Seconds that the configuration may be used unconfirmed; see ``staleness``.
    router_links : set of Link
        Links of subscribed routers; ``Subscribe`` adds a link.
    on_change : callable
        Called after each new revision.

    Attributes
    ----------
    table_failures : int
        Number of reads of the platform that failed.
    regressions : int
        Number of reads whose head was ignored for being below the revision in force.
    platform_damage : str
        Damage that the last read of the platform found; empty for none.
    """

    message_types: tuple[type, ...] = (
        ConfigHead,
        ConfigDelta,
        ConfigRequest,
        Heartbeat,
        Subscribe,
    )

    def __init__(
        self,
        *,
        configuration: Configuration,
        store: ConfigStore,
        peers: Peers,
        membership: Membership,
        data_centres: Callable[[], Iterable[str]],
        rng: random.Random,
        head_poll_s: float = 1.0,
        config_readers: int = 3,
        stale_limit_s: float = 7200.0,
        contact_interval_s: float = CONTACT_INTERVAL_S,
        clock: Callable[[], float] = time.monotonic,
        router_links: set[Link] | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.configuration = configuration
        self.store = store
        self.peers = peers
        self.membership = membership
        self.data_centres = data_centres
        self.rng = rng
        self.head_poll_s = head_poll_s
        self.config_readers = config_readers
        self.contact_interval_s = contact_interval_s
        self.clock = clock
        self.router_links = set() if router_links is None else router_links
        self.on_change = on_change
        self.staleness = Staleness(
            data_centre=membership.data_centre, stale_limit_s=stale_limit_s
        )
        self.follower = ConfigFollower(
            configuration=configuration,
            staleness=self.staleness,
            clock=clock,
            rng=rng,
            on_applied=self._on_applied,
        )
        self.server = ConfigServer(configuration=configuration, clock=clock)
        self.table_failures = 0
        self.regressions = 0
        self.platform_damage = ""
        self._repair_started_at = 0.0

    def revision_and_digest(self) -> tuple[int, int]:
        """Return the revision and digest in force."""
        return self.configuration.revision, self.configuration.digest

    def stale_at(self) -> float:
        """Return the time, by the clock, from which new requests must be refused."""
        return self.staleness.stale_at(self.data_centres())

    def platform_age_s(self) -> float:
        """Return the seconds since the platform confirmed the configuration."""
        return self.staleness.platform_age_s(now=self.clock())

    def is_reader(self) -> bool:
        """Return whether this agent is a reader, which polls the head."""
        return any(
            self.membership.owns(f"config:{number}")
            for number in range(self.config_readers)
        )

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Handle a message of a peer or a router."""
        match message:
            case ConfigRequest():
                if link.peer.role == "agent" and not message.part:
                    # The contacts in the head say how recent this copy is.
                    self._send(link, self._make_head())
                return self.server.build_reply(message) or self._make_head()
            case Subscribe():
                self.router_links.add(link)
                self._send(link, self._make_router_head())
                return None
            case Heartbeat():
                if message.vm == link.peer.vm:
                    await self.follower.compare_head(
                        link, revision=message.revision, digest=message.digest
                    )
                return None
        return await self.follower.handle(link=link, message=message)

    async def run(self) -> None:
        """Load the configuration and keep it up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._announce_contacts())
            tasks.create_task(self._leave_stale_state())
            await self.start()
            tasks.create_task(self._poll_head())

    async def start(self) -> None:
        """Load the first configuration from one of two peers, or from the table.

        Also return if the table holds no configuration yet.
        """
        wait_until = self.clock() + FIRST_LINK_WAIT_S
        while not self._links() and self.clock() < wait_until:
            await asyncio.sleep(FIRST_LINK_WAIT_S / 20)
        while not self.configuration.revision:
            links = self._links()
            count = min(MAX_STARTUP_PULLS, len(links))
            for link in self.rng.sample(links, count):
                if await self.follower.pull(link):
                    return
            first, last = EARLY_READ_S if self._reads_table_early() else LATE_READ_S
            read_at = self.clock() + self.rng.uniform(first, last)
            while self.clock() < read_at and not self.configuration.revision:
                await asyncio.sleep(0.02)
            if self.configuration.revision or await self.read_table():
                return

    def _reads_table_early(self) -> bool:
        """Return whether this agent is among the first to read the table.

        Known agents count even before their first heartbeat. Otherwise each of
        several agents that start together would consider itself the only one.
        """
        vms = [self.membership.vm, *(peer.vm for peer in self.membership.local_peers())]
        early = _rendezvous.rank("config:start", vms)[: self.config_readers]
        return self.membership.vm in early

    async def read_table(self) -> bool:
        """Read the head and newer revisions; return False if the platform failed."""
        read_at = self.clock()
        old_revision = self.configuration.revision
        try:
            head = await self.store.read_head()
            result = await self.store.update(self.configuration, head)
        except (TableUnavailable, ObjectStoreUnavailable):
            self.table_failures += 1
            # The snapshot may have been applied before the read of the deltas failed.
            self._push(old_revision)
            return False
        except ConfigurationDamaged as error:
            self.platform_damage = str(error)
            self.table_failures += 1
            return False
        if isinstance(result, Gap | Rejected):
            self.platform_damage = f"revision {head.revision}: {result}"
            self.table_failures += 1
            self._push(old_revision)
            return False
        self.platform_damage = ""
        self.staleness.record_contact(PLATFORM, read_at)
        if isinstance(result, Applied) or self.configuration.revision != old_revision:
            self._push(old_revision)
        if head.revision < self.configuration.revision:
            self.regressions += head.revision < old_revision
        self.follower.needs_table_read = False
        return True

    async def _poll_head(self) -> None:
        while True:
            # Jitter spreads the reads of agents that started together.
            await asyncio.sleep(self.head_poll_s * self.rng.uniform(0.8, 1.2))
            needs_repair = (
                self.follower.needs_table_read
                and self.clock() - self._repair_started_at > REPAIR_INTERVAL_S
            )
            if needs_repair:
                self._repair_started_at = self.clock()
            if needs_repair or self.is_reader() or not self.configuration.revision:
                await self.read_table()

    async def _announce_contacts(self) -> None:
        while True:
            await asyncio.sleep(self.contact_interval_s * self.rng.uniform(0.8, 1.0))
            head = self._make_head()
            remote = self.peers.remote_links()
            # Other agents learn of contacts only from these announcements.
            if remote or self.is_reader():
                self.peers.broadcast(head)
            for links in remote.values():
                for link in links:
                    self._send(link, head)
            self._send_routers(self._make_router_head())

    async def _leave_stale_state(self) -> None:
        """Leave the stale state without waiting for the next announced contact.

        Otherwise an agent that has just started, and its router, would refuse
        requests for up to ``contact_interval_s`` although they have the configuration.
        """
        delay_s, head_announced = STALE_RETRY_S, False
        while True:
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            if self.staleness.is_stale(self.data_centres(), now=self.clock()):
                head_announced = False
                delay_s = min(2 * delay_s, self.contact_interval_s)
                if links := self._links():
                    await self.follower.pull(self.rng.choice(links))
            elif head_announced:
                delay_s = self.contact_interval_s
            else:
                head_announced, delay_s = True, STALE_RETRY_S
                self._send_routers(self._make_router_head())

    def _make_head(self) -> ConfigHead:
        return ConfigHead(
            revision=self.configuration.revision,
            digest=self.configuration.digest,
            contacts=self.staleness.contacts(now=self.clock()),
        )

    def _make_router_head(self) -> ConfigHead:
        """Return the head for a router, with a single contact for all."""
        confirmed_at = self.staleness.confirmed_at(self.data_centres())
        age_s = max(0.0, self.clock() - confirmed_at)
        return ConfigHead(
            revision=self.configuration.revision,
            digest=self.configuration.digest,
            contacts=[Contact(name=PLATFORM, age_s=age_s)],
        )

    def _on_applied(self, old_revision: int, link: Link) -> None:
        # A peer of this data centre has pushed the revision to the others itself.
        local = link.peer.data_centre == self.membership.data_centre
        self._push(old_revision, to_local=not local, exclude=link.peer.data_centre)

    def _push(
        self, old_revision: int, *, to_local: bool = True, exclude: str = ""
    ) -> None:
        """Push newer revisions to the routers and to peers outside ``exclude``."""
        if self.configuration.revision == old_revision:
            return
        bodies = self.configuration.deltas_after(old_revision)
        message: Message = self._make_head()
        push_delta = bodies is not None and sum(map(len, bodies)) <= MAX_PUSH_BYTES
        if bodies is not None and push_delta:
            message = ConfigDelta(
                first=old_revision + 1,
                last=self.configuration.revision,
                digest=self.configuration.digest,
                bodies=bodies,
            )
        # A delta carries no contacts. Without the head after it, an agent or router
        # that has just started would count as stale until the next contact.
        messages = [message, self._make_head()] if push_delta else [message]
        for item in messages:
            if to_local:
                self.peers.broadcast(item)
            for data_centre, links in self.peers.remote_links().items():
                if data_centre != exclude:
                    for link in links:
                        self._send(link, item)
        if push_delta:
            self._send_routers(message)
        self._send_routers(self._make_router_head())
        self.on_change()

    def _links(self) -> list[Link]:
        """Return the links to agents of this data centre, or else to the others."""
        names = (vm for vm in self.membership.live_agents() if vm != self.membership.vm)
        local = [link for link in map(self.peers.link, names) if link is not None]
        remote = self.peers.remote_links().values()
        return local or [link for links in remote for link in links]

    def _send_routers(self, message: Message) -> None:
        for link in list(self.router_links):
            if link.closed.is_set():
                self.router_links.discard(link)
            else:
                self._send(link, message)

    def _send(self, link: Link, message: Message) -> None:
        try:
            link.send(message)
        except (LinkBusy, LinkClosed):
            # The next heartbeat or head causes a pull of what the peer missed.
            pass


def make_config_sync(context: AgentContext) -> ConfigSync:
    """Create the component of an agent, with clients of the platform."""
    agent = context.settings.agent
    own = context.membership.data_centre

    def data_centres() -> set[str]:
        configured = set(context.settings.vm.all_data_centres())
        return (configured | set(context.membership.remote_agents())) - {own}

    sync = ConfigSync(
        configuration=Configuration(),
        store=ConfigStore.open(context.settings.platform, rng=context.rng),
        peers=context.peers,
        membership=context.membership,
        data_centres=data_centres,
        rng=context.rng,
        head_poll_s=agent.head_poll_s,
        config_readers=int(agent.config_readers),
        stale_limit_s=agent.stale_limit_s,
        clock=context.clock,
        router_links=context.router_links,
        on_change=context.notify_change,
    )
    context.revision_and_digest = sync.revision_and_digest
    return sync
