"""Decoded rows of the platform's tables."""

from dataclasses import dataclass
from typing import Protocol

from endivelug.forwarding.instances import Instance
from endivelug.forwarding.routes import RoutingConfiguration
from endivelug.forwarding.row_store import StoredRow


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationRecord:
    """A configuration of the operator."""

    configuration: RoutingConfiguration


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsRecord:
    """Weights that the operator wants."""

    model: str
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceRecord:
    """A registered upstream."""

    instance: Instance


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceRemoved:
    """An upstream that is no longer registered."""

    name: str


@dataclass(slots=True, kw_only=True, frozen=True)
class UnreadableRecord:
    """A row that cannot be decoded; what was known before stays in force."""

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
    """Names and formats of the platform's tables."""

    @property
    def tables(self) -> tuple[str, ...]:
        """Tables to follow."""

    @property
    def instance_table(self) -> str:
        """The table in which upstreams register."""

    def decode(self, row: StoredRow) -> Record:
        """Decode a row."""
