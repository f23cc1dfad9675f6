"""Stores the lists in the platform: head and deltas as rows, snapshots as objects.

An edit replaces the head by compare-and-swap and writes the row of its delta in the
same transaction. It carries a unique token by which the editor recognises its own
edit when the response of the table was lost.
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
    Rejected,
    UpdateResult,
    build_configuration,
)
from endivelug.exceptions import (
    ConfigurationDamaged,
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from endivelug.lists import Change, Lists, describe_change, diff_lists
from endivelug.object_store import ObjectStore
from endivelug.settings import PlatformSettings
from endivelug.table import Table
from endivelug.transactions import (
    Absent,
    Condition,
    Get,
    Put,
    RevisionEquals,
    Transaction,
    TransactionResult,
)

SNAPSHOT_INTERVAL = 64  # revisions
# A larger delta is stored as a snapshot instead. An etcd request may have at most
# 1.5 MB, and a table row must stay well below that.
MAX_DELTA_BYTES = 256 * 1024
# Delta rows kept when older ones are deleted. They cover the last one or two days, so
# that an editor with a conflict sees the changes of others.
MAX_DELTA_ROWS = 4096
MAX_LISTED_CHANGES = 50
# Exponential backoff while the outcome of a commit is unknown.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0


@dataclass(slots=True, kw_only=True)
class Committed:
    """Result of an edit that is durable.

    Attributes
    ----------
    revision : int
        Revision that the edit created; the current one if nothing changed.
    digest : int
        Digest of the configuration after the edit.
    changes : list of Change
        Changes of the edit; empty if the lists were already in force.
    body : bytes
        Encoded delta to push to agents; empty if nothing changed.
    """

    revision: int
    digest: int
    changes: list[Change]
    body: bytes = b""


class ConfigStore:
    """Reads and edits the lists stored in the platform.

    Parameters
    ----------
    table : Table
        Client of the table service.
    objects : ObjectStore
        Client of the object store.
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
        """Create a store with clients of the platform; call ``close`` to end them."""
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
        """Read the head from the table; its revision is 0 before the first edit.

        Raises
        ------
        TableUnavailable
            If the table did not respond.
        """
        return unpack_head(await self.table.get(HEAD_KEY))

    async def read_deltas(self, first: int, last: int) -> list[bytes] | None:
        """Read the deltas from ``first`` to ``last``; None if any is missing.

        Raises
        ------
        TableUnavailable
            If the table did not respond.
        """
        rows = await self.table.scan(delta_key(first), delta_key(last + 1))
        if [row.key for row in rows] != [
            delta_key(revision) for revision in range(first, last + 1)
        ]:
            return None
        return [row.value for row in rows]

    async def update(self, configuration: Configuration, head: Head) -> UpdateResult:
        """Update a configuration to a head that was read from the table.

        Raises
        ------
        TableUnavailable, ObjectStoreUnavailable
            If the platform did not respond; the configuration may have advanced
            to a revision below the head.
        """
        if head.revision < configuration.revision:
            # A table restored from a backup must not revert newer revisions.
            return Ignored()
        if head.revision == configuration.revision:
            if head.digest == configuration.digest:
                return Ignored()
            reloaded = Configuration()
            result = await self.update(reloaded, head)
            if not isinstance(result, Applied):
                return result
            return configuration.apply_snapshot(
                head.revision, head.digest, reloaded.snapshot(), from_table=True
            )
        if configuration.revision < head.snapshot_revision:
            body = await self.objects.get(
                snapshot_name(head.snapshot_revision, head.snapshot_digest)
            )
            if body is None:
                return Gap(held=configuration.revision)
            result = configuration.apply_snapshot(
                head.snapshot_revision, head.snapshot_digest, body
            )
            if isinstance(result, Rejected):
                return result
            if configuration.revision >= head.revision:
                return Applied(revision=configuration.revision)
        first = configuration.revision + 1
        bodies = await self.read_deltas(first, head.revision)
        if bodies is None:
            return Gap(held=configuration.revision)
        return configuration.apply_deltas(first, bodies)

    async def load(self) -> tuple[Configuration, Head]:
        """Load the newest configuration and its head from the platform.

        Raises
        ------
        TableUnavailable, ObjectStoreUnavailable
            If the platform did not respond.
        ConfigurationDamaged
            If the rows and objects do not give the configuration at the head.
        """
        head = await self.read_head()
        configuration = Configuration()
        result = await self.update(configuration, head)
        if configuration.revision != head.revision:
            raise ConfigurationDamaged(
                f"revision {head.revision} cannot be read back ({result}); restore "
                f"{HEAD_KEY}, the deltas after {head.snapshot_revision} and "
                f"{snapshot_name(head.snapshot_revision, head.snapshot_digest)}"
            )
        return configuration, head

    async def describe_changes(self, base: int, head: Head) -> list[str]:
        """Describe the changes between a revision and the head, one line each.

        Raises
        ------
        TableUnavailable
            If the table did not respond.
        """
        bodies = await self.read_deltas(base + 1, head.revision)
        if bodies is None:
            return [
                "too many changes to list; run 'endivelugctl diff' to see the result"
            ]
        lines: list[str] = []
        for revision, body in enumerate(bodies, base + 1):
            try:
                changes = unpack_delta(body).changes
            except MalformedRecord as error:
                raise ConfigurationDamaged(f"{delta_key(revision)}: {error}") from error
            if changes is None:
                lines.append(f"revision {revision}: too many changes to list")
                continue
            lines.extend(
                f"revision {revision}: {describe_change(change)}" for change in changes
            )
        omitted = len(lines) - MAX_LISTED_CHANGES
        if omitted > 0:
            lines[MAX_LISTED_CHANGES:] = [f"and {omitted} more"]
        return lines

    async def commit(
        self, *, base: int, lists: Lists, timeout_s: float = 30.0
    ) -> Committed:
        """Store checked lists as the next revision.

        Parameters
        ----------
        base : int
            Revision that the lists were edited from.
        lists : Lists
            The new content of the lists.
        timeout_s : float
            Seconds to keep retrying while the outcome of the edit is unknown.

        Raises
        ------
        RevisionConflict
            If another edit came first; nothing was changed.
        TableUnavailable, ObjectStoreUnavailable
            If the platform did not respond; nothing was changed.
        EditOutcomeUnknown
            If it remained unknown whether the edit was made.
        """
        configuration, head = await self.load()
        changes = diff_lists(configuration.lists(), lists)
        if not changes and head.revision:
            return Committed(revision=head.revision, digest=head.digest, changes=[])
        if head.revision != base:
            raise await self._make_conflict(base, head)
        target = build_configuration(lists)
        token = self.rng.randbytes(16)
        delta = Delta(token=token, digest=target.digest, changes=changes)
        body = pack_delta(delta)
        new_head = Head(
            revision=head.revision + 1,
            digest=target.digest,
            token=token,
            snapshot_revision=head.snapshot_revision,
            snapshot_digest=head.snapshot_digest,
        )
        is_large = len(body) > MAX_DELTA_BYTES
        if is_large or new_head.revision - head.snapshot_revision >= SNAPSHOT_INTERVAL:
            try:
                await self.objects.put(
                    snapshot_name(new_head.revision, new_head.digest), target.snapshot()
                )
                new_head.snapshot_revision = new_head.revision
                new_head.snapshot_digest = new_head.digest
            except ObjectStoreUnavailable:
                # Without the snapshot, readers have more deltas to read, and the
                # next edit writes one. A large edit is stored nowhere else.
                if is_large:
                    raise
        if is_large:
            delta.changes = None
            body = pack_delta(delta)
        await self._commit_head(head, new_head, body, base=base, timeout_s=timeout_s)
        if new_head.snapshot_revision == new_head.revision:
            await self._delete_old_rows(new_head.revision)
        return Committed(
            revision=new_head.revision,
            digest=new_head.digest,
            changes=changes,
            body=body,
        )

    async def _commit_head(
        self,
        old_head: Head,
        new_head: Head,
        body: bytes,
        *,
        base: int,
        timeout_s: float,
    ) -> None:
        """Replace the head and write the delta in one transaction, or raise.

        A retry cannot commit twice, because the head must still be ``old_head``.
        """
        condition: Condition = Absent(key=HEAD_KEY)
        if old_head.mod_revision:
            condition = RevisionEquals(key=HEAD_KEY, mod_revision=old_head.mod_revision)
        transaction = Transaction(
            conditions=[condition],
            success=[
                Put(key=delta_key(new_head.revision), value=body),
                Put(key=HEAD_KEY, value=new_head.pack()),
            ],
            failure=[Get(key=HEAD_KEY), Get(key=delta_key(new_head.revision))],
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        outcome_unknown = False
        delay_s = RETRY_MIN_S
        while True:
            try:
                result = await self.table.run(transaction)
            except TableUnavailable:
                if not outcome_unknown:
                    raise
            except TableOutcomeUnknown:
                outcome_unknown = True
            else:
                if result.succeeded or _is_own_edit(result, new_head):
                    return
                raise await self._make_commit_error(
                    result, base, new_head, outcome_unknown
                )
            if loop.time() + delay_s > deadline:
                raise EditOutcomeUnknown(revision=new_head.revision)
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * delay_s)
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def _make_commit_error(
        self,
        result: TransactionResult,
        base: int,
        new_head: Head,
        outcome_unknown: bool,
    ) -> Exception:
        rows = {row.key: row for row in result.rows}
        head = unpack_head(rows.get(HEAD_KEY))
        if outcome_unknown and delta_key(new_head.revision) not in rows:
            # The row that holds the token of the edit has been deleted.
            return EditOutcomeUnknown(revision=new_head.revision)
        return await self._make_conflict(base, head)

    async def _make_conflict(self, base: int, head: Head) -> RevisionConflict:
        try:
            changes = await self.describe_changes(base, head)
        except TableUnavailable:
            changes = ["not known because the table did not answer"]
        return RevisionConflict(expected=base, actual=head.revision, changes=changes)

    async def _delete_old_rows(self, revision: int) -> None:
        last = revision - MAX_DELTA_ROWS
        if last <= 0:
            return
        try:
            await self.table.delete_range(delta_key(1), delta_key(last + 1))
        except (TableUnavailable, TableOutcomeUnknown):
            # The deletion after the next snapshot covers the same range.
            pass


def _is_own_edit(result: TransactionResult, new_head: Head) -> bool:
    for row in result.rows:
        if row.key == delta_key(new_head.revision):
            try:
                return unpack_delta(row.value).token == new_head.token
            except MalformedRecord:
                return False
    return False
