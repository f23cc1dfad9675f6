"""Decoded rows of the platform's tables, and the protocol of their decoder."""

from dataclasses import dataclass, field
from typing import Protocol

from endivelug.forwarding.instances import Instance
from endivelug.forwarding.routes import RoutingConfiguration
from endivelug.forwarding.row_store import StoredRow


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationRecord:
    """A version of the operator's configuration."""

    configuration: RoutingConfiguration


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsRecord:
    """Desired weights of a model, as announced by the operator."""

    model: str
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceRecord:
    """A registered upstream.

    Attributes
    ----------
    sequence : int
        Number of the entry, which each heartbeat raises; 0 if it has none. Two entries
        that differ in nothing else are equal.
    """

    instance: Instance
    sequence: int = field(default=0, compare=False)


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceRemoved:
    """An upstream that is no longer registered."""

    name: str


@dataclass(slots=True, kw_only=True, frozen=True)
class UnreadableRecord:
    """A row that can't be decoded; the previous state stays in force."""

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class OtherRecord:
    """A row that the router does not use."""


Record = (
    ConfigurationRecord
    | WeightsRecord
    | InstanceRecord
    | InstanceRemoved
    | UnreadableRecord
    | OtherRecord
)


class RecordFormat(Protocol):
    """Table names and row format of the platform."""

    @property
    def tables(self) -> tuple[str, ...]:
        """Names of the tables to follow."""

    @property
    def instance_table(self) -> str:
        """Name of the table in which upstreams register."""

    @property
    def operator_table(self) -> str:
        """Name of the table with the configuration and the desired weights."""

    def decode(self, row: StoredRow) -> Record:
        """Decode a row; return ``UnreadableRecord`` if it is malformed."""
