"""Rows of the platform's tables that a VM keeps."""

from dataclasses import dataclass

from endivelug.forwarding.records import Record
from endivelug.forwarding.row_store import StoredRow


@dataclass(slots=True, kw_only=True)
class CachedRow:
    """A row with its decoded record.

    Attributes
    ----------
    changed : int
        Version of the row's last change other than a heartbeat.
    """

    row: StoredRow
    record: Record
    changed: int
