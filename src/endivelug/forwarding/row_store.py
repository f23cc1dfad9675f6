"""Interface to the platform's store: rows, conditional writes and the change feed.

The store may come back from an older copy. Each time a new era begins, in which it
gives out versions of the former one again.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from endivelug.exceptions import EndivelugError

# Source of rows that this VM has read from the store itself.
STORE_SOURCE = "store"


class HistoryLost(EndivelugError):
    """The feed can't continue from this version; the table has to be read again."""


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class StoreVersion:
    """Version of the store in one of its eras; later ones are greater."""

    era: int = 0
    number: int = 0


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class WriterCount:
    """Count by which the writer of a row orders what it writes.

    Attributes
    ----------
    started_ms : int
        Start of the upstream that wrote the row; 0 for the operator's rows.
    number : int
        Sequence number of a registration, number of a configuration or version of
        desired weights.
    """

    started_ms: int = 0
    number: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredRow:
    """One row, or its removal.

    Attributes
    ----------
    version : int
        Store-wide version of the row's last change.
    changed : int
        Version of the row's last change other than a heartbeat, for rows from peers;
        0 if unknown.
    era : int
        Era of the store that gave out both versions.
    count : WriterCount or None
        Highest count that a peer knew of the row's writer, for rows from peers.
    content_era : int or None
        Era in which a peer read the content from the store, for rows from peers.
    """

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False
    changed: int = 0
    era: int = 0
    count: WriterCount | None = None
    content_era: int | None = None

    @property
    def store_version(self) -> StoreVersion:
        """Version of the row's last change, with its era."""
        return StoreVersion(era=self.era, number=self.version)


@dataclass(slots=True, kw_only=True, frozen=True)
class RowPage:
    """Rows of a table as of one version of the store."""

    rows: list[StoredRow]
    version: int
    era: int = 0

    @property
    def store_version(self) -> StoreVersion:
        """Version of the store, with its era."""
        return StoreVersion(era=self.era, number=self.version)


@dataclass(slots=True, kw_only=True, frozen=True)
class RowWrite:
    """One row to write, on the condition that it still has the expected version.

    Attributes
    ----------
    expected_version : int or None
        Version that the row must have, 0 if it must not exist, None for no condition.
    expected_era : int or None
        Era in which the row had that version; None if the condition holds in any era,
        such as the one that the row must not exist.
    """

    table: str
    key: str
    value: bytes
    expected_version: int | None = None
    expected_era: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class WriteResult:
    """Result of a conditional write.

    Attributes
    ----------
    done : bool
        Whether the rows were written.
    rows : list of StoredRow
        If not done, the current rows that the conditions refer to.
    """

    done: bool
    version: int
    rows: list[StoredRow] = field(default_factory=list)
    era: int = 0

    @property
    def store_version(self) -> StoreVersion:
        """Version of the write, with its era."""
        return StoreVersion(era=self.era, number=self.version)


class RowStore(Protocol):
    """Client of the store: reads, conditional writes and the feed of changes.

    Every call raises ``TableUnavailable`` if the store did nothing, and
    ``TableOutcomeUnknown`` if a write may have been done. A write that is answered from
    another era than that of its condition raises ``TableOutcomeUnknown``.

    Attributes
    ----------
    on_answer : callable
        Called with the era that an answer names, for each answer.
    """

    on_answer: Callable[[int], None]

    async def read(self, table: str, *, first: str = "", last: str = "") -> RowPage:
        """Return the rows of a table with ``first <= key < last``.

        An empty string means that there is no bound. All rows are of one era.
        """

    async def write(self, writes: list[RowWrite]) -> WriteResult:
        """Write all rows in one transaction, or none of them."""

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowPage:
        """Wait up to ``wait_s`` for changes after a version and return them.

        Raises ``HistoryLost`` if the store no longer has these changes. The caller has
        to compare the era of the page with the one in which it got ``after``.
        """
