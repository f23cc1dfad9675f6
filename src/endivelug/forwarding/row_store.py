"""Interface to the platform's store: rows, conditional writes and the change feed."""

from dataclasses import dataclass, field
from typing import Protocol

from endivelug.exceptions import EndivelugError


class HistoryLost(EndivelugError):
    """The feed can't continue from this version; the table has to be read again."""


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
    """

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False
    changed: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class RowPage:
    """Rows of a table as of one version of the store."""

    rows: list[StoredRow]
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RowWrite:
    """One row to write, on the condition that it still has the expected version.

    Attributes
    ----------
    expected_version : int or None
        Version that the row must have, 0 if it must not exist, None for no condition.
    """

    table: str
    key: str
    value: bytes
    expected_version: int | None = None


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


class RowStore(Protocol):
    """Client of the store: reads, conditional writes and the feed of changes.

    Every call raises ``TableUnavailable`` if the store did nothing, and
    ``TableOutcomeUnknown`` if a write may have been done.
    """

    async def read(self, table: str, *, first: str = "", last: str = "") -> RowPage:
        """Return the rows of a table with ``first <= key < last``.

        An empty string means that there is no bound.
        """

    async def write(self, writes: list[RowWrite]) -> WriteResult:
        """Write all rows in one transaction, or none of them."""

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowPage:
        """Wait up to ``wait_s`` for changes after a version and return them.

        Raises ``HistoryLost`` if the store no longer has these changes.
        """
