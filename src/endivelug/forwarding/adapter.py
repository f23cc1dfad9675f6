"""What a node needs of the platform that it runs on."""

from typing import Protocol

from endivelug.forwarding.order_giver import EngineControl
from endivelug.forwarding.records import RecordFormat
from endivelug.forwarding.requests import WireFormat
from endivelug.forwarding.row_store import RowStore
from endivelug.lease_keeper import LeaseStore


class Platform(Protocol):
    """The adapter to the platform that a node runs on."""

    @property
    def wire(self) -> WireFormat:
        """Headers of callers and upstreams."""

    @property
    def records(self) -> RecordFormat:
        """Rows of the platform's tables."""

    @property
    def store(self) -> RowStore:
        """The platform's store."""

    @property
    def lease_rows(self) -> LeaseStore:
        """Rows of leases."""

    @property
    def engines(self) -> EngineControl:
        """Reports and orders of engines."""

    @property
    def own_table(self) -> str:
        """Table for the rows of the routers themselves."""
