"""Messages between routers.

Times are sent as remaining or elapsed seconds, because the clocks of VMs differ.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from endivelug.forwarding.instance_load import LoadReport
from endivelug.forwarding.retry_budget import RetryReport
from endivelug.forwarding.shared_amounts import AmountReport

# Digits of the largest start time that a registration may have.
MAX_DIGITS = 16


class NoticeKind(StrEnum):
    """Kind of a notice; the values are sent on the wire.

    Attributes
    ----------
    AVOID : str
        An instance gets no new requests, because it refused or failed.
    ORDER : str
        An instance gets no new requests, because it carries out an order.
    STORE_GONE : str
        A cache store is unreachable.
    REFUSED : str
        A request was refused, and its caller was asked to retry when the notice
        expires.
    LEAVING : str
        An incarnation of an instance stated that it is leaving. It stays so; the notice
        is repeated until the registry says so too.
    LIMIT : str
        An incarnation of an instance stated a limit on the requests of all VMs, or no
        longer does, as ``stated_limits.statement.notice_name`` writes it.
    """

    AVOID = "avoid"
    ORDER = "order"
    STORE_GONE = "store-gone"
    REFUSED = "refused"
    LEAVING = "leaving"
    LIMIT = "limit"


@dataclass(slots=True, kw_only=True)
class Mark:
    """Notice to all routers that expires.

    Attributes
    ----------
    name : str
        Name of an instance, address of a cache store, digest of a request, or an
        incarnation as ``incarnation_name`` writes it.
    kind : str
        One of ``NoticeKind``.
    for_s : float
        Seconds until the notice expires; 0 if it no longer holds.
    origin : int
        Number of the member from which the relay has the notice, or -1.
    """

    name: str
    kind: str
    for_s: float
    origin: int = -1


def incarnation_name(name: str, started_ms: int) -> str:
    """Return the name of a notice on one incarnation of an instance."""
    return f"{started_ms}/{name}"


def incarnation_of(notice: str) -> tuple[str, int] | None:
    """Return the incarnation that a notice names, or None if it names none.

    Examples
    --------
    >>> incarnation_of(incarnation_name("a/b", 1000))
    ('a/b', 1000)
    >>> incarnation_of("x/b")
    """
    started, separator, name = notice.partition("/")
    usable = started.isascii() and started.isdecimal() and len(started) <= MAX_DIGITS
    if not separator or not usable:
        return None
    return (name, int(started))


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineWeights:
    """Weights that the sender observed on an engine."""

    instance: str
    started_ms: int
    model: str
    version: int


@dataclass(slots=True, kw_only=True)
class WantedAge:
    """Time since desired weights were announced, if the sender observed the change."""

    model: str
    version: int
    age_s: float


@dataclass(slots=True, kw_only=True)
class HeldPart:
    """A prompt segment whose state in a cache changed since the last message.

    Attributes
    ----------
    holder : str
        The cache: an engine's name or a cache store's address.
    part : str
        Identity of the segment.
    prefill_s : float
        0 if the segment is cached. Positive if the engine is prefilling it, for at most
        this long. Negative if the engine stopped without having prefilled it.
    origin : int
        Number of the member from which the relay has the segment, or -1.
    """

    holder: str
    namespace: str
    part: str
    tokens: int
    prefill_s: float
    origin: int = -1


@dataclass(slots=True, kw_only=True)
class TableVersion:
    """Version of the last change of a table that the sender has applied.

    Attributes
    ----------
    era : int
        Era of the store in which it was given out.
    """

    table: str
    version: int
    era: int


@dataclass(slots=True, kw_only=True)
class RouterReport:
    """State that a router sends to its neighbours.

    A full report has all amounts; the following ones have those that changed.

    Attributes
    ----------
    sequence : int
        Number of the report; the receiver acknowledges it if it is a relay.
    full : bool
        Whether amounts that the report does not name are zero.
    number : int
        In a full report, the number of the receiver as a member of the sender, or -1.
    acknowledged : list of int
        By member number, the last report that the amounts include.
    relay : bool
        Whether the sender passes on the reports of other VMs.
    vms : int
        Number of VMs that the report covers, the receiver included if it is a member.
    relays : list of str
        The sender and the relays that it is linked to; empty if it is not a relay or
        if they have not changed.
    registry_lost : bool
        Whether the sender cannot reach the registry of upstreams.
    follows_store : bool
        Whether the sender follows the store itself, and the store answers.
    rows_age_s : float
        Time since the sender's rows were last known to be current.
    lease_s : float
        Time for which the sender certainly holds the order lease; 0 without it.
    tables : list of TableVersion
        Table versions that have changed.
    store_era : int
        Newest era that the store named to the sender; 0 before the first answer.
    configuration : int
        Number of the configuration in force at the sender; 0 before the first one.
    amounts : list of AmountReport
        Shared amounts; see ``shared_amounts``.
    parts : list of HeldPart
        Changes to cached segments since the last report.
    desired_weights : list of WantedAge
        Ages of the announcements of desired weights that the receiver was not told.
    """

    TYPE: ClassVar[int] = 40
    sequence: int
    full: bool
    number: int
    acknowledged: list[int]
    relay: bool
    vms: int
    relays: list[str]
    registry_lost: bool
    follows_store: bool
    rows_age_s: float
    lease_s: float
    tables: list[TableVersion]
    store_era: int
    configuration: int
    work: list[LoadReport]
    retries: list[RetryReport]
    amounts: list[AmountReport]
    notices: list[Mark]
    weights: list[EngineWeights]
    parts: list[HeldPart]
    desired_weights: list[WantedAge]


@dataclass(slots=True, kw_only=True)
class FullReportRequest:
    """Request for a full report, because the sender has missed a report."""

    TYPE: ClassVar[int] = 43


@dataclass(slots=True, kw_only=True)
class RowsRequest:
    """Request for the rows of a table that changed after a version.

    Attributes
    ----------
    after : int
        Version up to which the sender has the rows, or 0 for all rows.
    era : int
        Era of the store in which it was given out.
    """

    TYPE: ClassVar[int] = 41
    table: str
    after: int
    era: int


@dataclass(slots=True, kw_only=True)
class TableRow:
    """One row of the platform's table.

    Attributes
    ----------
    changed : int
        Version of the row's last change other than a heartbeat.
    era : int
        Era of the store in which both versions were given out.
    content_era : int
        Era in which the sender, or who told it, read the content from the store.
    started_ms, number : int
        Highest count of the row's writer that the sender knows, as in ``WriterCount``;
        0 if it knows none.
    """

    key: str
    value: bytes
    version: int
    removed: bool
    changed: int
    era: int
    content_era: int
    started_ms: int
    number: int


@dataclass(slots=True, kw_only=True)
class RowsReply:
    """Rows of a table.

    Attributes
    ----------
    version : int
        Version of the last change that the sender has applied.
    era : int
        Era of the store in which it was given out.
    complete : bool
        Whether the sender has read the whole table and ``rows`` holds all of its rows.
    """

    TYPE: ClassVar[int] = 42
    table: str
    version: int
    era: int
    complete: bool
    rows: list[TableRow]


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashedRunReport:
    """A request that an engine had not got past the beginning of when it crashed.

    Attributes
    ----------
    started_ms : int
        Start of the engine; with its name, the identity of the crash.
    vm : str
        VM that had sent the request.
    request : str
        Identity of the request.
    segments : list of str
        Shared segments of its prompt.
    begun : bool
        Whether the engine had begun to answer.
    sent_age_s, age_s : float
        Time since the request was sent, and since the crash.
    """

    instance: str
    started_ms: int
    vm: str
    request: str
    segments: list[str]
    begun: bool
    sent_age_s: float
    age_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ClearedSuspect:
    """A segment, or the identity of a request, that was answered without a crash."""

    suspect: str
    age_s: float


@dataclass(slots=True, kw_only=True)
class CrashNews:
    """Evidence of crashes that the receiver may not know; it passes new items on."""

    TYPE: ClassVar[int] = 44
    runs: list[CrashedRunReport]
    cleared: list[ClearedSuspect]


PeerMessage = RouterReport | FullReportRequest | RowsRequest | RowsReply | CrashNews

# Types of the list items in these messages, for the codec.
RECORDS = (
    LoadReport,
    RetryReport,
    AmountReport,
    Mark,
    EngineWeights,
    HeldPart,
    TableVersion,
    TableRow,
    WantedAge,
    CrashedRunReport,
    ClearedSuspect,
)
