"""Rows of the platform's tables that a VM keeps, and which of two is newer.

What a row says is ordered by the count of its writer: configurations by their number,
desired weights by their version, registrations by the start of the upstream and the
sequence number of its entry. Positions in the store order the rows of one era, but a
row of a new era may come from an older copy.
"""

from dataclasses import dataclass
from enum import Enum

from endivelug.forwarding.records import (
    ConfigurationRecord,
    InstanceRecord,
    OtherRecord,
    Record,
    WeightsRecord,
)
from endivelug.forwarding.row_store import StoredRow, StoreVersion, WriterCount


class Verdict(Enum):
    """What to do with a row.

    Attributes
    ----------
    NEWER : Verdict
        Its content is the newest, or repeats it.
    OUTDATED : Verdict
        It is the latest of the store, but its content is older than the known one,
        which is kept and filed under the version of the row.
    IGNORED : Verdict
        It is neither.
    """

    NEWER = "newer"
    OUTDATED = "outdated"
    IGNORED = "ignored"


@dataclass(slots=True, kw_only=True)
class CachedRow:
    """A row with its decoded record.

    Attributes
    ----------
    row : StoredRow
        The newest content, under the version of the latest row of the store.
    changed : StoreVersion
        Version of the row's last change other than a heartbeat.
    content_era : int
        Era in which the last readable content was read.
    count : WriterCount or None
        Writer's count of the last readable content.
    kept : bool
        Whether the row of the store has other, older content.
    """

    row: StoredRow
    record: Record
    changed: StoreVersion
    content_era: int
    count: WriterCount | None
    kept: bool = False


def writer_count(record: Record) -> WriterCount | None:
    """Return the writer's count of a record, or None if it has none."""
    match record:
        case ConfigurationRecord(configuration=configuration):
            return WriterCount(number=configuration.version)
        case WeightsRecord(version=version):
            return WriterCount(number=version)
        case InstanceRecord(instance=instance, sequence=sequence):
            return WriterCount(started_ms=instance.started_ms, number=sequence)
        case _:
            return None


def judge(
    row: StoredRow, record: Record, cached: CachedRow, *, in_use: bool
) -> Verdict:
    """Return whether a row is newer than the cached one of the same key.

    Parameters
    ----------
    in_use : bool
        Whether the upstream of the row is known and not removed for good.
    """
    is_later = row.store_version > cached.row.store_version
    by_position = Verdict.NEWER if is_later else Verdict.IGNORED
    older = Verdict.OUTDATED if is_later else Verdict.IGNORED
    count, known = writer_count(record), cached.count
    if known is None:
        return by_position
    match record:
        case OtherRecord() if row.removed and row.era > cached.content_era:
            # The copy is from a time before the row was written.
            return older
        case ConfigurationRecord() | WeightsRecord():
            assert count is not None
            if count > known:
                return Verdict.NEWER
            return by_position if count == known else older
        case InstanceRecord() if row.era != cached.content_era:
            assert count is not None
            if count > known:
                # An entry of an earlier era is older than a removal of this one.
                return by_position if cached.row.removed else Verdict.NEWER
            repeats = cached.record == record or (cached.row.removed and in_use)
            return by_position if count == known and repeats else older
        case _:
            return by_position


def file_row(row: StoredRow, record: Record, cached: CachedRow | None) -> CachedRow:
    """Return what to keep of a row whose content is the newest."""
    known = cached.count if cached is not None else None
    count = writer_count(record)
    content_era = row.era if row.content_era is None else row.content_era
    kept = False
    position = row.store_version
    changed = StoreVersion(era=row.era, number=row.changed or row.version)
    if cached is not None:
        if count is None:
            # A removal or an unreadable row does not hide what was known before.
            content_era = cached.content_era
        position = max(position, cached.row.store_version)
        if position > row.store_version:
            changed, kept = position, True
        elif cached.record == record and cached.changed.era == row.era:
            changed = cached.changed
    return CachedRow(
        row=_at(row, position),
        record=record,
        changed=changed,
        content_era=content_era,
        count=_later(known, row) if count is None else count,
        kept=kept,
    )


def file_known(row: StoredRow, record: Record, cached: CachedRow) -> CachedRow:
    """Return the known content, filed under the version of a row that is older."""
    is_same_era = cached.changed.era == row.era
    return CachedRow(
        row=_at(cached.row, row.store_version),
        record=cached.record,
        changed=cached.changed if is_same_era else row.store_version,
        content_era=cached.content_era,
        count=cached.count,
        kept=record != cached.record,
    )


def file_before(cached: CachedRow, era: int) -> CachedRow:
    """Return a row of a later era, filed before all versions of an era."""
    start = StoreVersion(era=era)
    return CachedRow(
        row=_at(cached.row, min(cached.row.store_version, start)),
        record=cached.record,
        changed=min(cached.changed, start),
        content_era=min(cached.content_era, era),
        count=cached.count,
        kept=cached.kept,
    )


def _later(known: WriterCount | None, row: StoredRow) -> WriterCount | None:
    """Return the higher of the known count and that which a peer knew of a row.

    Either is None if it is not known.
    """
    if known is None:
        return row.count
    return known if row.count is None else max(known, row.count)


def _at(row: StoredRow, position: StoreVersion) -> StoredRow:
    return StoredRow(
        table=row.table,
        key=row.key,
        value=row.value,
        version=position.number,
        era=position.era,
        removed=row.removed,
    )
