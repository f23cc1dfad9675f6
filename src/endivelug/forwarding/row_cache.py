"""The rows of the platform's tables that a VM knows, across the eras of the store.

Each row is decoded once, and applied to the state of the VM if it is the newest of its
key. A row that is older by the count of its writer is not applied: the known content
is kept under its version, so that VMs which copy the rows get the newer content.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.cached_rows import (
    CachedRow,
    Verdict,
    file_before,
    file_known,
    file_row,
    judge,
    writer_count,
)
from endivelug.forwarding.records import Record, RecordFormat, UnreadableRecord
from endivelug.forwarding.row_store import RowPage, StoredRow, StoreVersion

LogLine = Callable[..., None]
ApplyRecord = Callable[[Record, StoredRow, str], None]

# Longest part of the reason, in characters, for which a row is not applied.
MAX_LOGGED_REASON = 200
# Rows that a line on a restored table names.
MAX_LOGGED_ROWS = 20


def _ignore() -> None:
    """Stand for a callback that nobody has set."""


@dataclass(slots=True, kw_only=True)
class RowCache:
    """Rows of all tables that a VM follows.

    Attributes
    ----------
    apply_record : callable
        Applies a record that is the newest of its row, with the row and its source.
    is_in_use : callable
        Whether an upstream is known, by name, and not removed for good.
    before_restored : callable
        Called with a table before its rows of a new era are applied.
    latest_versions : dict of str to StoreVersion
        Version of the last change of each table other than a heartbeat.
    loaded_tables : set of str
        Tables that were read as a whole.
    """

    records: RecordFormat
    log: LogLine
    apply_record: ApplyRecord
    is_in_use: Callable[[str], bool]
    before_restored: Callable[[str], None]
    on_version_advanced: Callable[[], None] = _ignore
    rows: dict[tuple[str, str], CachedRow] = field(default_factory=dict)
    latest_versions: dict[str, StoreVersion] = field(default_factory=dict)
    loaded_tables: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Begin with the version of a store that was never written."""
        self.latest_versions = dict.fromkeys(self.records.tables, StoreVersion())

    def latest_version(self, table: str) -> StoreVersion:
        """Return the version of the last change of a table."""
        return self.latest_versions.get(table, StoreVersion())

    def kept_rows(self) -> int:
        """Return how many rows hold newer content than the store does."""
        return sum(cached.kept for cached in self.rows.values())

    def replace_table(self, table: str, page: RowPage, *, source: str) -> bool:
        """Apply a full read of a table; return whether any row has changed.

        Rows that it does not contain are removed. A page of a new era replaces all rows
        of the former ones, and a page of a former era nothing.
        """
        before = self.latest_version(table)
        if page.era < before.era:
            return False
        restored = page.era > before.era and table in self.loaded_tables
        if restored:
            self.before_restored(table)
        removals = self._removals(table, page, restored=restored)
        changed = self.apply([*page.rows, *removals], source=source)
        # Members of a relay fetch the table also if no row of it differs.
        self.advance_version(table, StoreVersion(era=page.era))
        self.loaded_tables.add(table)
        if restored:
            self._log_restored(table, before, page, source)
        return changed

    def apply(self, rows: list[StoredRow], *, source: str) -> bool:
        """Apply changed rows; return whether any change was more than a heartbeat."""
        changed = False
        for row in sorted(rows, key=lambda item: item.store_version):
            changed = self._apply_row(row, source) or changed
        return changed

    def rows_after(self, table: str, version: StoreVersion) -> list[CachedRow]:
        """Return the rows of a table whose last change is after a version."""
        return [
            cached
            for cached in self.rows.values()
            if cached.row.table == table and cached.changed > version
        ]

    def advance_version(self, table: str, version: StoreVersion) -> None:
        """Record that all changes of a table up to a version have been applied."""
        if version > self.latest_version(table):
            self.latest_versions[table] = version
            self.on_version_advanced()

    def withdraw_eras(self, table: str, era: int) -> None:
        """File the rows of later eras, which do not exist, before those of an era."""
        for key, cached in self.rows.items():
            if cached.row.table == table and cached.row.era > era:
                self.rows[key] = file_before(cached, era)
        if self.latest_version(table).era > era:
            self.latest_versions[table] = StoreVersion(era=era)
            self.on_version_advanced()

    def log_unreadable(self, row: StoredRow, reason: str) -> None:
        """Log that a row was not applied."""
        self.log(
            "row-unreadable",
            table=row.table,
            key=row.key,
            row_version=row.version,
            era=row.era,
            reason=reason[:MAX_LOGGED_REASON],
        )

    def _removals(
        self, table: str, page: RowPage, *, restored: bool
    ) -> list[StoredRow]:
        """Return the removals of the rows that a full read does not contain."""
        present = {row.key for row in page.rows}
        absent = [
            cached
            for (name, key), cached in self.rows.items()
            if name == table
            and key not in present
            and cached.row.store_version < page.store_version
        ]
        return [
            StoredRow(
                table=table,
                key=cached.row.key,
                value=b"",
                version=page.version,
                era=page.era,
                removed=True,
            )
            for cached in absent
            if restored or not cached.row.removed
        ]

    def _apply_row(self, row: StoredRow, source: str) -> bool:
        """Apply a row that is news; return whether it is more than a heartbeat."""
        key = (row.table, row.key)
        cached = self.rows.get(key)
        if cached is None and row.era < self.latest_version(row.table).era:
            return False
        record = self._decode(row)
        verdict = Verdict.NEWER
        if cached is not None:
            in_use = self.is_in_use(row.key)
            verdict = judge(row, record, cached, in_use=in_use)
        match verdict:
            case Verdict.IGNORED:
                return False
            case Verdict.OUTDATED:
                assert cached is not None
                filed = file_known(row, record, cached)
            case Verdict.NEWER:
                filed = file_row(row, record, cached)
        self.rows[key] = filed
        if verdict is Verdict.NEWER:
            self._apply_newest(filed, source)
        if cached is not None and cached.changed == filed.changed:
            same = cached.record == filed.record
            if not same:
                # It is newer by the count of its writer only.
                self.on_version_advanced()
            return not same
        self.advance_version(row.table, filed.changed)
        return True

    def _apply_newest(self, filed: CachedRow, source: str) -> None:
        try:
            self.apply_record(filed.record, filed.row, source)
        except Exception as error:
            # One row must not keep the rows after it from being applied.
            self.log_unreadable(filed.row, f"it cannot be applied: {error!r}")

    def _decode(self, row: StoredRow) -> Record:
        """Decode a row of another writer, whatever it holds."""
        try:
            return self.records.decode(row)
        except Exception as error:
            return UnreadableRecord(reason=repr(error))

    def _log_restored(
        self, table: str, before: StoreVersion, page: RowPage, source: str
    ) -> None:
        kept = [
            _describe(cached)
            for (name, _), cached in self.rows.items()
            if name == table and cached.kept
        ]
        self.log(
            "store-restored",
            table=table,
            era=page.era,
            era_before=before.era,
            row_version=page.version,
            row_version_before=before.number,
            kept=kept[:MAX_LOGGED_ROWS],
            kept_count=len(kept),
            source=source,
        )


def _describe(cached: CachedRow) -> str:
    """Return the key and number of a row whose content the store does not have."""
    count = cached.count or writer_count(cached.record)
    number = f" {count.number}" if count is not None else ""
    removed = " removed" if cached.row.removed else ""
    return f"{cached.row.key}{number}{removed}"
