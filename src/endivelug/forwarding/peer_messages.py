"""Messages between routers; durations are remaining seconds."""

from dataclasses import dataclass
from typing import ClassVar

from endivelug.forwarding.engine_load import LoadReport
from endivelug.forwarding.retry_budget import RetryReport


@dataclass(slots=True, kw_only=True)
class InstanceMark:
    """An instance that gets no new requests for a while.

    Attributes
    ----------
    kind : str
        ``avoid``, ``order`` or ``silent``.
    for_s : float
        Remaining seconds.
    """

    instance: str
    kind: str
    for_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineWeights:
    """Weights that the sender saw on an engine."""

    instance: str
    started_ms: int
    model: str
    version: int


@dataclass(slots=True, kw_only=True)
class WantedAge:
    """How long ago wanted weights were named, where the sender saw the change."""

    model: str
    version: int
    age_s: float


@dataclass(slots=True, kw_only=True)
class HeldPart:
    """A prompt part that a holder has kept or read since the last message.

    Attributes
    ----------
    reading_s : float
        0 for a part that is kept; else the holder reads it, for at most this long.
        Negative where it stopped without having read it.
    """

    holder: str
    namespace: str
    part: str
    tokens: int
    reading_s: float


@dataclass(slots=True, kw_only=True)
class TableVersion:
    """Highest row version that the sender knows of a table."""

    table: str
    version: int


@dataclass(slots=True, kw_only=True)
class RouterReport:
    """State of a router that its peers use.

    Attributes
    ----------
    lease_s : float
        For how long the sender certainly holds the lease of orders; 0 without it.
    """

    TYPE: ClassVar[int] = 40
    lease_s: float
    tables: list[TableVersion]
    work: list[LoadReport]
    retries: list[RetryReport]
    marks: list[InstanceMark]
    weights: list[EngineWeights]
    parts: list[HeldPart]
    wanted: list[WantedAge]


@dataclass(slots=True, kw_only=True)
class RowsRequest:
    """Request for the rows of a table that changed after a version."""

    TYPE: ClassVar[int] = 41
    table: str
    after: int


@dataclass(slots=True, kw_only=True)
class TableRow:
    """One row of the platform's table."""

    key: str
    value: bytes
    version: int
    removed: bool


@dataclass(slots=True, kw_only=True)
class RowsReply:
    """Rows of a table.

    Attributes
    ----------
    complete : bool
        Whether they are all that the sender knows and it has read the whole table.
    """

    TYPE: ClassVar[int] = 42
    table: str
    complete: bool
    rows: list[TableRow]


# Records that lists of the messages hold.
RECORDS = (
    LoadReport,
    RetryReport,
    InstanceMark,
    EngineWeights,
    HeldPart,
    TableVersion,
    TableRow,
    WantedAge,
)
