"""Messages between routers; durations are remaining seconds."""

from dataclasses import dataclass
from typing import ClassVar

from endivelug.forwarding.engine_load import LoadReport
from endivelug.forwarding.retry_budget import RetryReport


class MarkKind:
    """What a mark says; the values are those on the wire.

    Attributes
    ----------
    AVOID, ORDER : str
        An instance gets no new requests, because it refused or failed, or because it
        carries out an order.
    STORE_GONE : str
        The store of kept KV cache cannot be reached.
    REFUSED : str
        A request was asked to come back at the end of the mark.
    """

    AVOID = "avoid"
    ORDER = "order"
    STORE_GONE = "store-gone"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True)
class Mark:
    """Something that all routers have to know for a while.

    Attributes
    ----------
    name : str
        Name of an instance, address of a store, or digest of a request.
    kind : str
        One of ``MarkKind``.
    for_s : float
        Remaining seconds.
    """

    name: str
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
    """Version of the last change that the sender knows of a table."""

    table: str
    version: int


@dataclass(slots=True, kw_only=True)
class RouterReport:
    """State of a router that its peers use.

    Attributes
    ----------
    relay : bool
        Whether the sender passes on the reports of other VMs.
    vms : int
        Number of VMs that the report speaks for.
    relays : list of str
        Relays that the sender is linked to, itself included.
    registry_lost : bool
        Whether the sender cannot reach the registry of upstreams.
    rows_age_s : float
        Time since the sender's rows were known to be current.
    lease_s : float
        For how long the sender certainly holds the lease of orders; 0 without it.
    """

    TYPE: ClassVar[int] = 40
    relay: bool
    vms: int
    relays: list[str]
    registry_lost: bool
    rows_age_s: float
    lease_s: float
    tables: list[TableVersion]
    work: list[LoadReport]
    retries: list[RetryReport]
    marks: list[Mark]
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
    """One row of the platform's table.

    Attributes
    ----------
    changed : int
        Version of its last change that was more than a heartbeat.
    """

    key: str
    value: bytes
    version: int
    removed: bool
    changed: int


@dataclass(slots=True, kw_only=True)
class RowsReply:
    """Rows of a table.

    Attributes
    ----------
    version : int
        Version of the last change that the sender knows.
    complete : bool
        Whether they are all that the sender knows and it has read the whole table.
    """

    TYPE: ClassVar[int] = 42
    table: str
    version: int
    complete: bool
    rows: list[TableRow]


# Records that lists of the messages hold.
RECORDS = (
    LoadReport,
    RetryReport,
    Mark,
    EngineWeights,
    HeldPart,
    TableVersion,
    TableRow,
    WantedAge,
)
