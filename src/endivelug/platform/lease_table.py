"""The store's rows under the interface of the table that leases use."""

from endivelug.forwarding.row_store import RowStore, RowWrite, StoredRow
from endivelug.table import (
    Absent,
    Put,
    RevisionEquals,
    Row,
    Transaction,
    TransactionResult,
    ValueEquals,
)

# The router's own rows; the platform writes nothing there.
ROUTER_TABLE = "endivelug"


class LeaseTable:
    """Single rows under conditions.

    The store compares versions and not values, so the version of each value that was
    read or written is remembered.
    """

    def __init__(self, *, store: RowStore) -> None:
        self.store = store
        self.seen: dict[str, Row] = {}

    async def get(self, key: str) -> Row | None:
        """Return a row, or None."""
        page = await self.store.read(ROUTER_TABLE, first=key, last=key + "!")
        for row in page.rows:
            if row.key == key:
                return self._remember(row)
        self.seen.pop(key, None)
        return None

    async def run(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction of one condition and one write."""
        (condition,) = transaction.conditions
        (write,) = transaction.success
        assert isinstance(write, Put)
        match condition:
            case Absent():
                expected = 0
            case RevisionEquals(mod_revision=revision):
                expected = revision
            case ValueEquals(value=value):
                known = self.seen.get(condition.key)
                if known is None or known.value != value:
                    row = await self.get(condition.key)
                    return TransactionResult(
                        succeeded=False, rows=[row] if row else [], nested=[]
                    )
                expected = known.mod_revision
        result = await self.store.write(
            [
                RowWrite(
                    table=ROUTER_TABLE,
                    key=write.key,
                    value=write.value,
                    expected_version=expected,
                )
            ]
        )
        if result.done:
            self.seen[write.key] = Row(
                key=write.key, value=write.value, mod_revision=result.version
            )
            return TransactionResult(succeeded=True, rows=[], nested=[])
        rows = [self._remember(row) for row in result.rows if row.key == write.key]
        return TransactionResult(succeeded=False, rows=rows, nested=[])

    def _remember(self, row: StoredRow) -> Row:
        found = Row(key=row.key, value=row.value, mod_revision=row.version)
        self.seen[row.key] = found
        return found
