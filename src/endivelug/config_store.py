"""The lists in the platform: head and deltas in the table, snapshots as objects.

The head moves only by compare-and-swap, together with the row of its delta. Each
edit carries a unique token, by which its editor recognises it after a lost answer.
"""

import asyncio
import random
from dataclasses import dataclass

from endivelug._config_head import (
    HEAD_KEY,
    Head,
    delta_key,
    snapshot_name,
    unpack_head,
)
from endivelug._config_records import Delta, MalformedRecord, pack_delta, unpack_delta
from endivelug._tls import client_context
from endivelug.configuration import (
    Applied,
    Configuration,
    Gap,
    Ignored,
    Outcome,
    Rejected,
    configuration_of,
)
from endivelug.exceptions import (
    ConfigurationDamaged,
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from endivelug.lists import Change, Lists, describe, diff_lists
from endivelug.object_store import ObjectStore
from endivelug.settings import PlatformSettings
from endivelug.table import (
    Absent,
    Condition,
    Get,
    Put,
    RevisionEquals,
    Table,
    Transaction,
    TransactionResult,
)

SNAPSHOT_EVERY = 64
# A table row must stay well under the 1.5 MB that an etcd request may have.
MAX_DELTA_BYTES = 256 * 1024
# Deltas of the last one or two days name what others changed after a conflict.
KEPT_ROWS = 4096
MAX_LISTED_CHANGES = 50
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0


@dataclass(slots=True, kw_only=True)
class Committed:
    """An edit that is durable.

    Attributes
    ----------
    revision : int
        Revision that the edit made; the present one where nothing changed.
    digest : int
        Digest after the edit.
    changes : list of Change
        What the edit changed; empty where the lists were in force already.
    body : bytes
        The delta, to be handed to agents; empty where nothing changed.
    """

    revision: int
    digest: int
    changes: list[Change]
    body: bytes = b""


class ConfigStore:
    """Reads and edits the lists in the platform.

    Parameters
    ----------
    table : Table
        The table service.
    objects : ObjectStore
        The object store.
    rng : random.Random
        Source of edit tokens and of the jitter of retries.
    """

    def __init__(
        self, *, table: Table, objects: ObjectStore, rng: random.Random
    ) -> None:
        self.table = table
        self.objects = objects
        self.rng = rng

    @classmethod
    def open(cls, platform: PlatformSettings, *, rng: random.Random) -> "ConfigStore":
        """Return a store with clients of the platform; end with ``close``."""
        return cls(
            table=Table.open(platform),
            objects=ObjectStore(
                url=platform.object_store,
                timeout_s=platform.timeout_s,
                credential=platform.credential,
                tls=client_context(platform.tls_ca),
            ),
            rng=rng,
        )

    def close(self) -> None:
        """Close the clients of the platform."""
        self.table.close()
        self.objects.close()

    async def read_head(self) -> Head:
        """Return the head; revision 0 where no edit was made yet.

        Raises
        ------
        TableUnavailable
            Where the table did not answer.
        """
        return unpack_head(await self.table.get(HEAD_KEY))

    async def read_deltas(self, first: int, last: int) -> list[bytes] | None:
        """Return the deltas from ``first`` to ``last``, or None where one misses.

        Raises
        ------
        TableUnavailable
            Where the table did not answer.
        """
        rows = await self.table.scan(delta_key(first), delta_key(last + 1))
        if [row.key for row in rows] != [
            delta_key(revision) for revision in range(first, last + 1)
        ]:
            return None
        return [row.value for row in rows]

    async def update(self, configuration: Configuration, head: Head) -> Outcome:
        """Bring a configuration up to a head that was read from the table.

        Raises
        ------
        TableUnavailable, ObjectStoreUnavailable
            Where the platform did not answer; the configuration may have
            advanced to a revision below the head.
        """
        if head.revision < configuration.revision:
            # A restored table must not revert what was in force.
            return Ignored()
        if head.revision == configuration.revision:
            if head.digest == configuration.digest:
                return Ignored()
            fresh = Configuration()
            outcome = await self.update(fresh, head)
            if not isinstance(outcome, Applied):
                return outcome
            return configuration.offer_snapshot(
                head.revision, head.digest, fresh.snapshot(), from_table=True
            )
        if configuration.revision < head.snapshot_revision:
            body = await self.objects.get(
                snapshot_name(head.snapshot_revision, head.snapshot_digest)
            )
            if body is None:
                return Gap(held=configuration.revision)
            outcome = configuration.offer_snapshot(
                head.snapshot_revision, head.snapshot_digest, body
            )
            if isinstance(outcome, Rejected):
                return outcome
            if configuration.revision >= head.revision:
                return Applied(revision=configuration.revision)
        first = configuration.revision + 1
        bodies = await self.read_deltas(first, head.revision)
        if bodies is None:
            return Gap(held=configuration.revision)
        return configuration.offer_deltas(first, bodies)

    async def load(self) -> tuple[Configuration, Head]:
        """Return the configuration at the head.

        Raises
        ------
        TableUnavailable, ObjectStoreUnavailable
            Where the platform did not answer.
        ConfigurationDamaged
            Where the rows and objects do not give the head's digest.
        """
        head = await self.read_head()
        configuration = Configuration()
        outcome = await self.update(configuration, head)
        if configuration.revision != head.revision:
            raise ConfigurationDamaged(
                f"revision {head.revision} cannot be read back ({outcome}); restore "
                f"{HEAD_KEY}, the deltas after {head.snapshot_revision} and "
                f"{snapshot_name(head.snapshot_revision, head.snapshot_digest)}"
            )
        return configuration, head

    async def changes_after(self, base: int, head: Head) -> list[str]:
        """Return one line for each change between a revision and the head.

        Raises
        ------
        TableUnavailable
            Where the table did not answer.
        """
        bodies = await self.read_deltas(base + 1, head.revision)
        if bodies is None:
            return ["too many to list; run 'endivelugctl diff' to see the result"]
        lines: list[str] = []
        for revision, body in enumerate(bodies, base + 1):
            try:
                changes = unpack_delta(body).changes
            except MalformedRecord as error:
                raise ConfigurationDamaged(f"{delta_key(revision)}: {error}") from error
            if changes is None:
                lines.append(f"revision {revision}: too large to list")
                continue
            lines.extend(
                f"revision {revision}: {describe(change)}" for change in changes
            )
        more = len(lines) - MAX_LISTED_CHANGES
        if more > 0:
            lines[MAX_LISTED_CHANGES:] = [f"and {more} more"]
        return lines

    async def commit(
        self, *, base: int, lists: Lists, timeout_s: float = 30.0
    ) -> Committed:
        """Make checked lists the next revision.

        Parameters
        ----------
        base : int
            Revision that the lists were edited from.
        lists : Lists
            The lists wanted.
        timeout_s : float
            Seconds to go on finding out the outcome after a lost answer.

        Raises
        ------
        RevisionConflict
            Where another edit came first; nothing was changed.
        TableUnavailable, ObjectStoreUnavailable
            Where the platform did not answer; nothing was changed.
        EditOutcomeUnknown
            Where the edit may have been made.
        """
        configuration, head = await self.load()
        changes = diff_lists(configuration.lists(), lists)
        if not changes and head.revision:
            return Committed(revision=head.revision, digest=head.digest, changes=[])
        if head.revision != base:
            raise await self._conflict(base, head)
        target = configuration_of(lists)
        token = self.rng.randbytes(16)
        delta = Delta(token=token, digest=target.digest, changes=changes)
        body = pack_delta(delta)
        new = Head(
            revision=head.revision + 1,
            digest=target.digest,
            token=token,
            snapshot_revision=head.snapshot_revision,
            snapshot_digest=head.snapshot_digest,
        )
        large = len(body) > MAX_DELTA_BYTES
        if large or new.revision - head.snapshot_revision >= SNAPSHOT_EVERY:
            try:
                await self.objects.put(
                    snapshot_name(new.revision, new.digest), target.snapshot()
                )
                new.snapshot_revision = new.revision
                new.snapshot_digest = new.digest
            except ObjectStoreUnavailable:
                # Without it a reader has more deltas to read, and the next edit
                # tries again; a large edit has no other place for its content.
                if large:
                    raise
        if large:
            delta.changes = None
            body = pack_delta(delta)
        await self._swap(head, new, body, base=base, timeout_s=timeout_s)
        if new.snapshot_revision == new.revision:
            await self._delete_old_rows(new.revision)
        return Committed(
            revision=new.revision, digest=new.digest, changes=changes, body=body
        )

    async def _swap(
        self, old: Head, new: Head, body: bytes, *, base: int, timeout_s: float
    ) -> None:
        """Move the head, or raise; a repeat cannot move it twice."""
        condition: Condition = Absent(key=HEAD_KEY)
        if old.mod_revision:
            condition = RevisionEquals(key=HEAD_KEY, mod_revision=old.mod_revision)
        transaction = Transaction(
            conditions=[condition],
            success=[
                Put(key=delta_key(new.revision), value=body),
                Put(key=HEAD_KEY, value=new.pack()),
            ],
            failure=[Get(key=HEAD_KEY), Get(key=delta_key(new.revision))],
        )
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_s
        unknown = False
        delay_s = RETRY_MIN_S
        while True:
            try:
                verdict = await self.table.run(transaction)
            except TableUnavailable:
                if not unknown:
                    raise
            except TableOutcomeUnknown:
                unknown = True
            else:
                if verdict.succeeded or _is_ours(verdict, new):
                    return
                raise await self._conflict_after(verdict, base, new, unknown)
            if loop.time() + delay_s > give_up_at:
                raise EditOutcomeUnknown(revision=new.revision)
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * delay_s)
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def _conflict_after(
        self, verdict: TransactionResult, base: int, new: Head, unknown: bool
    ) -> Exception:
        rows = {row.key: row for row in verdict.rows}
        head = unpack_head(rows.get(HEAD_KEY))
        if unknown and delta_key(new.revision) not in rows:
            # The row that would tell whose edit it was has been deleted.
            return EditOutcomeUnknown(revision=new.revision)
        return await self._conflict(base, head)

    async def _conflict(self, base: int, head: Head) -> RevisionConflict:
        try:
            changes = await self.changes_after(base, head)
        except TableUnavailable:
            changes = ["not known, because the table does not answer"]
        return RevisionConflict(expected=base, actual=head.revision, changes=changes)

    async def _delete_old_rows(self, revision: int) -> None:
        last = revision - KEPT_ROWS
        if last <= 0:
            return
        try:
            await self.table.delete_range(delta_key(1), delta_key(last + 1))
        except (TableUnavailable, TableOutcomeUnknown):
            # The next snapshot deletes the same range again.
            pass


def _is_ours(verdict: TransactionResult, new: Head) -> bool:
    for row in verdict.rows:
        if row.key == delta_key(new.revision):
            try:
                return unpack_delta(row.value).token == new.token
            except MalformedRecord:
                return False
    return False
