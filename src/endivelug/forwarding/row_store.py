"""The platform's rows as the router reads and writes them."""

from dataclasses import dataclass, field
from typing import Protocol

from endivelug.exceptions import EndivelugError


class HistoryLost(EndivelugError):
    """The feed cannot go on from this version; read the table again."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredRow:
    """One row, or its removal.

    Attributes
    ----------
    version : int
        Store-wide version of the row's last change.
    changed : int
        Version of the last change that mattered, where a peer says so; heartbeats that
        change nothing else do not count. 0 where it is not known.
    """

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False
    changed: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class RowPage:
    """Rows as of one version of the store."""

    rows: list[StoredRow]
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RowWrite:
    """One row to write under the condition that it still has a version.

    Attributes
    ----------
    expected_version : int or None
        0 where the row must not exist; None for no condition.
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
    rows : list of StoredRow
        Present rows of the conditions where it was not done.
    """

    done: bool
    version: int
    rows: list[StoredRow] = field(default_factory=list)


class RowStore(Protocol):
    """Reads, conditional writes and the feed of changes.

    Every call raises ``TableUnavailable`` where the store did nothing, and
    ``TableOutcomeUnknown`` where a write may have been done.
    """

    async def read(self, table: str, *, first: str = "", last: str = "") -> RowPage:
        """Return the rows of a table with ``first <= key < last``; empty: no bound."""

    async def write(self, writes: list[RowWrite]) -> WriteResult:
        """Write rows in one transaction, all or none."""

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowPage:
        """Return changes after a version; raise ``HistoryLost`` where they are gone."""
