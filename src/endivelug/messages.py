"""Typed messages between the system's own processes.

Field order is the wire order; see ``codec``. Times are remaining seconds because
the clocks of two hosts differ.
"""

from dataclasses import dataclass
from typing import ClassVar

from endivelug._config_messages import (
    ConfigDelta,
    ConfigHead,
    ConfigRequest,
    ConfigSnapshot,
    Contact,
)
from endivelug._share_messages import (
    ShareDemand,
    ShareGrant,
    ShareLoan,
    ShareRequest,
)
from endivelug.forwarding.peer_messages import RouterReport, RowsReply, RowsRequest

PROTOCOL_VERSION = 1

__all__ = [
    "PROTOCOL_VERSION",
    "AgentAddress",
    "AgentAddresses",
    "AgentEntry",
    "Announce",
    "ConfigDelta",
    "ConfigHead",
    "ConfigRequest",
    "ConfigSnapshot",
    "Contact",
    "DataCentreStatusRequest",
    "EngineView",
    "Failure",
    "Finish",
    "Heartbeat",
    "Hello",
    "ListedUpstream",
    "ListedUpstreams",
    "LocalState",
    "Lookup",
    "LookupReply",
    "Message",
    "Proof",
    "RouterReport",
    "RowsReply",
    "RowsRequest",
    "ShareDemand",
    "ShareGrant",
    "ShareLoan",
    "ShareRequest",
    "Status",
    "StatusRequest",
    "Subscribe",
    "UpstreamEntry",
    "UpstreamReport",
    "VmStatus",
]


@dataclass(slots=True, kw_only=True)
class Hello:
    """First message on a link, from both sides."""

    TYPE: ClassVar[int] = 1
    protocol: int
    vm: str
    data_centre: str
    role: str
    incarnation: int
    nonce: bytes


@dataclass(slots=True, kw_only=True)
class Proof:
    """Answer to the peer's ``Hello``: HMAC over both nonces."""

    TYPE: ClassVar[int] = 2
    hmac: bytes


@dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Liveness of an agent and the configuration that it holds.

    Attributes
    ----------
    incarnation : int
        Start time of the process in microseconds.
    revision, digest : int
        Revision in force and the digest of its content.
    leaving : bool
        Whether the VM is stopping.
    reach : int
        Number of agents of the data centre that the sender sees alive.
    """

    TYPE: ClassVar[int] = 3
    vm: str
    incarnation: int
    revision: int
    digest: int
    leaving: bool
    reach: int


@dataclass(slots=True, kw_only=True)
class Lookup:
    """Question to the owner of engines: depth held and work outstanding.

    Attributes
    ----------
    request : bytes
        Request id, 8 bytes.
    engines : list of str
        Names of engines that the receiver owns.
    keys : list of int
        Keys of the prompt's pieces, root first.
    work_class : str
        ``interactive`` or ``batch``.
    """

    TYPE: ClassVar[int] = 4
    request: bytes
    engines: list[str]
    keys: list[int]
    work_class: str


@dataclass(slots=True, kw_only=True)
class EngineView:
    """What the owner knows of one engine.

    Attributes
    ----------
    depth : int
        Number of leading pieces held or about to be held.
    interactive_tokens, batch_tokens : int
        Prefill tokens outstanding from all routers, per class.
    streams : int
        Requests outstanding from all routers.
    preferred_count : int
        Number of preferred engines that the demand of the prefix requires.
    known : bool
        False if the receiver does not own the engine or has no current cached keys.
    recent_tokens : int
        Decaying sum of the prefill tokens announced for the engine.
    """

    engine: str
    incarnation: int
    depth: int
    interactive_tokens: int
    batch_tokens: int
    streams: int
    preferred_count: int
    known: bool
    recent_tokens: int


@dataclass(slots=True, kw_only=True)
class LookupReply:
    """Answer to ``Lookup``."""

    TYPE: ClassVar[int] = 5
    request: bytes
    views: list[EngineView]


@dataclass(slots=True, kw_only=True)
class Announce:
    """Work that a router has just dispatched to an engine.

    Attributes
    ----------
    tokens : int
        Prefill tokens that the engine has to compute.
    ttl_s : float
        Seconds after which the entry expires without a ``Finish``.
    """

    TYPE: ClassVar[int] = 6
    request: bytes
    engine: str
    work_class: str
    tokens: int
    keys: list[int]
    ttl_s: float


@dataclass(slots=True, kw_only=True)
class Finish:
    """Progress of announced work: prefill done, or the request over."""

    TYPE: ClassVar[int] = 7
    request: bytes
    engine: str
    over: bool


@dataclass(slots=True, kw_only=True)
class AgentEntry:
    """One agent of the data centre as its peers see it."""

    vm: str
    address: str
    incarnation: int
    leaving: bool


@dataclass(slots=True, kw_only=True)
class UpstreamEntry:
    """One upstream of the data centre.

    Attributes
    ----------
    kind : str
        ``engine`` or ``service``.
    models : list of str
        ``model=version`` for each model that an engine serves.
    state : str
        ``live``, ``leaving`` or ``dead``.
    """

    name: str
    address: str
    kind: str
    pool: str
    models: list[str]
    adapters: list[str]
    incarnation: int
    state: str


@dataclass(slots=True, kw_only=True)
class LocalState:
    """Membership and upstreams, from an agent to its router, on change."""

    TYPE: ClassVar[int] = 15
    agents: list[AgentEntry]
    upstreams: list[UpstreamEntry]
    connected: bool


@dataclass(slots=True, kw_only=True)
class Subscribe:
    """Request for ``LocalState`` and configuration pushes."""

    TYPE: ClassVar[int] = 16
    held: int


@dataclass(slots=True, kw_only=True)
class StatusRequest:
    """Operator's question to one agent."""

    TYPE: ClassVar[int] = 17


@dataclass(slots=True, kw_only=True)
class VmStatus:
    """Revision that one VM holds in force."""

    vm: str
    data_centre: str
    revision: int
    state: str
    age_s: float


@dataclass(slots=True, kw_only=True)
class Status:
    """Answer to ``StatusRequest``."""

    TYPE: ClassVar[int] = 18
    vm: str
    data_centre: str
    revision: int
    digest: int
    platform_age_s: float
    vms: list[VmStatus]


@dataclass(slots=True, kw_only=True)
class Failure:
    """Answer to a request that the receiver could not serve."""

    TYPE: ClassVar[int] = 19
    kind: str
    remedy: str


@dataclass(slots=True, kw_only=True)
class AgentAddress:
    """Where an agent listens; says nothing of whether it is alive."""

    vm: str
    data_centre: str
    address: str


@dataclass(slots=True, kw_only=True)
class AgentAddresses:
    """Agents that the sender knows, sent when a link opens and on change."""

    TYPE: ClassVar[int] = 30
    agents: list[AgentAddress]


@dataclass(slots=True, kw_only=True)
class UpstreamReport:
    """Results of the sender's probes, on change and when a link opens."""

    TYPE: ClassVar[int] = 31
    upstreams: list[UpstreamEntry]


@dataclass(slots=True, kw_only=True)
class ListedUpstream:
    """One upstream of the VM list."""

    name: str
    address: str
    kind: str
    pool: str
    leaving: bool


@dataclass(slots=True, kw_only=True)
class ListedUpstreams:
    """Upstreams of the data centre in the sender's last VM list.

    Attributes
    ----------
    fetched_s : float
        Age of the list at the sender: seconds since the platform served it.
    """

    TYPE: ClassVar[int] = 32
    fetched_s: float
    upstreams: list[ListedUpstream]


@dataclass(slots=True, kw_only=True)
class DataCentreStatusRequest:
    """Request for the status of one data centre, forwarded over its links."""

    TYPE: ClassVar[int] = 33
    data_centre: str


Message = (
    Hello
    | Proof
    | Heartbeat
    | Lookup
    | LookupReply
    | Announce
    | Finish
    | ConfigHead
    | ConfigRequest
    | ConfigDelta
    | ConfigSnapshot
    | ShareRequest
    | ShareGrant
    | ShareDemand
    | ShareLoan
    | LocalState
    | Subscribe
    | StatusRequest
    | Status
    | Failure
    | AgentAddresses
    | UpstreamReport
    | ListedUpstreams
    | DataCentreStatusRequest
    | RouterReport
    | RowsRequest
    | RowsReply
)
