"""Interface to the platform on which a node runs."""

from typing import Protocol

from endivelug.forwarding.records import RecordFormat
from endivelug.forwarding.requests import WireFormat
from endivelug.forwarding.row_store import RowStore
from endivelug.forwarding.weights_order_sender import EngineControl
from endivelug.lease_keeper import LeaseStore


class Platform(Protocol):
    """Adapter to the platform on which a node runs."""

    @property
    def wire(self) -> WireFormat:
        """Wire format of callers and upstreams."""

    @property
    def records(self) -> RecordFormat:
        """Format of the rows in the platform's tables."""

    @property
    def store(self) -> RowStore:
        """Client of the platform's store."""

    @property
    def lease_rows(self) -> LeaseStore:
        """Access to the rows of leases."""

    @property
    def engines(self) -> EngineControl:
        """Client for the reports of engines and for orders to them."""

    @property
    def router_table(self) -> str:
        """Name of the table for the rows of the routers themselves."""
