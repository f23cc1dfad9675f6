"""Lease rows in the platform's store."""

from endivelug.forwarding.row_store import RowStore, RowWrite, StoredRow
from endivelug.transactions import (
    Absent,
    Put,
    RevisionEquals,
    Row,
    TableVersion,
    Transaction,
    TransactionResult,
    ValueEquals,
)

# Table of the routers' own rows; the platform writes nothing there.
ROUTER_TABLE = "endivelug"


class LeaseTable:
    """Conditional reads and writes of single rows, as ``LeaseKeeper`` needs them.

    The store compares versions instead of values, so this class remembers the version
    of each value that it read or wrote.

    Attributes
    ----------
    last_rows : dict of str to Row
        By key, the row as last read or written.
    version : TableVersion
        Version of the store that its last answer stated.
    """

    def __init__(self, *, store: RowStore) -> None:
        self.store = store
        self.last_rows: dict[str, Row] = {}
        self.version = TableVersion()

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        page = await self.store.read(ROUTER_TABLE, first=key, last=key + "!")
        self.version = TableVersion(era=page.era, revision=page.version)
        for row in page.rows:
            if row.key == key:
                return self._remember(row)
        self.last_rows.pop(key, None)
        return None

    async def run(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction that has exactly one condition and one write."""
        (condition,) = transaction.conditions
        (write,) = transaction.success
        assert isinstance(write, Put)
        match condition:
            case Absent():
                expected = 0
            case RevisionEquals(mod_revision=revision):
                expected = revision
            case ValueEquals(value=value):
                last_row = self.last_rows.get(condition.key)
                if last_row is None or last_row.value != value:
                    row = await self.get(condition.key)
                    return TransactionResult(
                        succeeded=False, rows=[row] if row else [], nested=[]
                    )
                expected = last_row.mod_revision
        result = await self.store.write(
            [
                RowWrite(
                    table=ROUTER_TABLE,
                    key=write.key,
                    value=write.value,
                    expected_version=expected,
                    expected_era=self.version.era,
                )
            ]
        )
        newest = max((row.version for row in result.rows), default=result.version)
        self.version = TableVersion(era=result.era, revision=newest)
        if result.done:
            self.last_rows[write.key] = Row(
                key=write.key, value=write.value, mod_revision=result.version
            )
            return TransactionResult(succeeded=True, rows=[], nested=[])
        rows = [self._remember(row) for row in result.rows if row.key == write.key]
        return TransactionResult(succeeded=False, rows=rows, nested=[])

    def _remember(self, row: StoredRow) -> Row:
        result = Row(key=row.key, value=row.value, mod_revision=row.version)
        self.last_rows[row.key] = result
        return result
