"""Typed messages between agents, routers and operator tools.

The order of the fields is the order on the wire; see ``codec``. Times are sent as
ages or remaining seconds, because the clocks of two hosts differ.
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
from endivelug.forwarding.peer_messages import PeerMessage

PROTOCOL_VERSION = 5

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
    """Greeting: the first message on a link, sent by both sides."""

    TYPE: ClassVar[int] = 1
    protocol: int
    vm: str
    data_centre: str
    role: str
    incarnation: int
    nonce: bytes


@dataclass(slots=True, kw_only=True)
class Proof:
    """Response to the peer's ``Hello``: HMAC over both greetings."""

    TYPE: ClassVar[int] = 2
    hmac: bytes


@dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Heartbeat of an agent, with the configuration that it has in force.

    Attributes
    ----------
    incarnation : int
        Start time of the process in microseconds.
    revision, digest : int
        Revision in force and the digest of its content.
    leaving : bool
        Whether the VM is stopping.
    reach : int
        Number of live agents of the data centre, as the sender sees it.
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
    """Request to the owner of engines for their cache depth and outstanding work.

    Attributes
    ----------
    request : bytes
        Request id, 8 bytes.
    engines : list of str
        Names of engines that the receiver owns.
    keys : list of int
        Keys of the prompt's segments, root first.
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
    """State of one engine as its owner sees it.

    Attributes
    ----------
    depth : int
        Number of leading prompt segments that are cached or about to be cached.
    interactive_tokens, batch_tokens : int
        Outstanding prefill tokens of all routers, per work class.
    streams : int
        Outstanding requests of all routers.
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
    """Reply to ``Lookup``."""

    TYPE: ClassVar[int] = 5
    request: bytes
    views: list[EngineView]


@dataclass(slots=True, kw_only=True)
class Announce:
    """Announcement of work that a router has just dispatched to an engine.

    Attributes
    ----------
    tokens : int
        Prefill tokens that the engine must compute.
    ttl_s : float
        Seconds after which the entry expires if no ``Finish`` arrives.
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
    """Progress of announced work: the request (``over``) or its prefill ended."""

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
    """Membership and upstreams, sent by an agent to its router on each change."""

    TYPE: ClassVar[int] = 15
    agents: list[AgentEntry]
    upstreams: list[UpstreamEntry]
    connected: bool


@dataclass(slots=True, kw_only=True)
class Subscribe:
    """Request of a router to be sent ``LocalState`` and configuration changes."""

    TYPE: ClassVar[int] = 16
    held: int


@dataclass(slots=True, kw_only=True)
class StatusRequest:
    """Request of an operator for the status of every data centre."""

    TYPE: ClassVar[int] = 17


@dataclass(slots=True, kw_only=True)
class VmStatus:
    """Configuration revision in force on one VM."""

    vm: str
    data_centre: str
    revision: int
    state: str
    age_s: float


@dataclass(slots=True, kw_only=True)
class Status:
    """Reply to ``StatusRequest`` and ``DataCentreStatusRequest``."""

    TYPE: ClassVar[int] = 18
    vm: str
    data_centre: str
    revision: int
    digest: int
    platform_age_s: float
    vms: list[VmStatus]


@dataclass(slots=True, kw_only=True)
class Failure:
    """Reply to a request that failed, with the class name and text of the error."""

    TYPE: ClassVar[int] = 19
    kind: str
    remedy: str


@dataclass(slots=True, kw_only=True)
class AgentAddress:
    """Address of an agent, whether or not it is alive."""

    vm: str
    data_centre: str
    address: str


@dataclass(slots=True, kw_only=True)
class AgentAddresses:
    """Addresses of agents that the sender knows, sent when a link opens.

    An agent also forwards the address of a peer that it received from the peer itself
    and that is new to it.
    """

    TYPE: ClassVar[int] = 30
    agents: list[AgentAddress]


@dataclass(slots=True, kw_only=True)
class UpstreamReport:
    """Results of the sender's probes, sent on change and when a link opens."""

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
    age_s : float
        Seconds since the sender fetched the list from the platform.
    """

    TYPE: ClassVar[int] = 32
    age_s: float
    upstreams: list[ListedUpstream]


@dataclass(slots=True, kw_only=True)
class DataCentreStatusRequest:
    """Request between agents for the status of one data centre.

    An agent of another data centre forwards it over its links to that one.
    """

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
    | PeerMessage
)
