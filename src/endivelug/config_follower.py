"""Keeps the configuration of an agent or router up to date from its peers.

Peers push deltas and heads. Missing revisions are requested from the peer that has
them, as deltas or as the parts of a snapshot.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from endivelug.configuration import Applied, Configuration, Gap, Rejected, UpdateResult
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Link
from endivelug.messages import (
    ConfigDelta,
    ConfigHead,
    ConfigRequest,
    ConfigSnapshot,
    Contact,
    Message,
)
from endivelug.staleness import Staleness

# An edit must be in force within 5 s; this leaves time to request it from a second
# peer after one that does not reply.
REQUEST_TIMEOUT_S = 1.5
# Two, so that a slow peer does not prevent a request to another one.
MAX_CONCURRENT_PULLS = 2
# A snapshot of 35,000 organisations has 7 parts. These limits end the transfer from
# a peer that never sends the last part.
MAX_SNAPSHOT_PARTS = 256
MAX_REQUESTS_PER_PULL = 2 * MAX_SNAPSHOT_PARTS
# Spreads the requests of peers that learn of a revision from the same heartbeat.
PULL_JITTER_S = 0.2


class ConfigFollower:
    """Applies the revisions that peers push and requests the missing ones.

    Parameters
    ----------
    configuration : Configuration
        Configuration to keep up to date.
    staleness : Staleness
        Records each contact with a peer that has no newer revision.
    clock : callable
        Returns seconds.
    rng : random.Random
        Source of the jitter.
    on_applied : callable
        Called after each update with the previous revision and the link that
        delivered the new one.

    Attributes
    ----------
    needs_table_read : bool
        Whether the table must be read to decide which content is right: a peer
        has different content at the same revision, or sent changes that were
        rejected.
    pulls, failed_pulls : int
        Number of attempts to fetch missing revisions from a peer, and of failures.
    """

    message_types: tuple[type, ...] = (ConfigHead, ConfigDelta)

    def __init__(
        self,
        *,
        configuration: Configuration,
        staleness: Staleness,
        clock: Callable[[], float],
        rng: random.Random,
        on_applied: Callable[[int, Link], None] = lambda old_revision, link: None,
    ) -> None:
        self.configuration = configuration
        self.staleness = staleness
        self.clock = clock
        self.rng = rng
        self.on_applied = on_applied
        self.needs_table_read = False
        self.pulls = 0
        self.failed_pulls = 0
        self._active_pulls: set[Link] = set()

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Apply a pushed delta, or compare a pushed head with the configuration."""
        match message:
            case ConfigDelta():
                result = self._apply_deltas(link, message)
                if isinstance(result, Gap):
                    await self.pull(link)
            case ConfigHead():
                await self.compare_head(
                    link,
                    revision=message.revision,
                    digest=message.digest,
                    contacts=message.contacts,
                )
        return None

    async def compare_head(
        self,
        link: Link,
        *,
        revision: int,
        digest: int,
        contacts: Iterable[Contact] = (),
    ) -> None:
        """Compare the peer's revision with the own one, and fetch what is missing.

        Parameters
        ----------
        link : Link
            Link to the peer.
        revision, digest : int
            Revision and digest of the peer's configuration.
        contacts : iterable of Contact
            Contacts that the peer had while it was at this revision.
        """
        contacted_at = self.clock()
        if revision > self.configuration.revision:
            await asyncio.sleep(self.rng.uniform(0, PULL_JITTER_S))
            if revision > self.configuration.revision:
                await self.pull(link)
        configuration = self.configuration
        if revision > configuration.revision:
            return
        if revision == configuration.revision and digest != configuration.digest:
            self.needs_table_read = True
            return
        # The contact counts, because the peer knows no newer revision.
        self.staleness.record_contact(link.peer.data_centre, contacted_at)
        self.staleness.merge_contacts(contacts, now=contacted_at)

    async def pull(self, link: Link) -> bool:
        """Fetch all newer revisions from a peer; return whether any was applied.

        At most two pulls run at a time. Others return at once, because the next
        heartbeat of their peer starts them again.
        """
        if (
            len(self._active_pulls) >= MAX_CONCURRENT_PULLS
            or link in self._active_pulls
        ):
            return False
        # endivelugctl pushes one delta and does not reply to requests.
        if link.peer.role == "operator":
            return False
        self._active_pulls.add(link)
        old_revision = self.configuration.revision
        self.pulls += 1
        try:
            await self._pull(link)
        except (LinkBusy, LinkClosed, TimeoutError):
            self.failed_pulls += 1
        finally:
            self._active_pulls.discard(link)
        return self.configuration.revision > old_revision

    async def _pull(self, link: Link) -> None:
        body = bytearray()
        snapshot = part = 0
        for _ in range(MAX_REQUESTS_PER_PULL):
            request = ConfigRequest(
                held=self.configuration.revision, snapshot=snapshot, part=part
            )
            reply = await link.request(request, timeout_s=REQUEST_TIMEOUT_S)
            match reply:
                case ConfigDelta():
                    if not isinstance(self._apply_deltas(link, reply), Applied):
                        return
                    body.clear()
                    snapshot = part = 0
                case ConfigSnapshot(revision=revision) if (
                    reply.parts <= MAX_SNAPSHOT_PARTS
                ):
                    # Part 0 starts a transfer, also when the peer replaces the
                    # requested snapshot by a newer one.
                    if reply.part == 0:
                        body.clear()
                        snapshot = revision
                    elif (revision, reply.part) != (snapshot, part):
                        self.failed_pulls += 1
                        return
                    body += reply.body
                    part = reply.part + 1
                    if part < reply.parts:
                        continue
                    if not isinstance(self._apply_snapshot(link, reply, body), Applied):
                        return
                    body.clear()
                    snapshot = part = 0
                case _:
                    return

    def _apply_deltas(self, link: Link, message: ConfigDelta) -> UpdateResult:
        old_revision = self.configuration.revision
        if message.last != message.first + len(message.bodies) - 1:
            result: UpdateResult = Rejected(
                reason="the number of deltas does not match their revisions"
            )
        else:
            result = self.configuration.apply_deltas(message.first, message.bodies)
        self._handle_result(link, old_revision, result)
        return result

    def _apply_snapshot(
        self, link: Link, message: ConfigSnapshot, body: bytearray
    ) -> UpdateResult:
        old_revision = self.configuration.revision
        result = self.configuration.apply_snapshot(
            message.revision, message.digest, bytes(body)
        )
        self._handle_result(link, old_revision, result)
        return result

    def _handle_result(
        self, link: Link, old_revision: int, result: UpdateResult
    ) -> None:
        match result:
            case Applied():
                self.on_applied(old_revision, link)
            case Rejected():
                self.needs_table_read = True
