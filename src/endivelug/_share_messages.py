"""Messages that allocate the limits of organisations; see ``messages``."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(slots=True, kw_only=True)
class ShareRequest:
    """Request of a router for a share of an organisation's limits.

    Attributes
    ----------
    streams : int
        Number of open streams and of further streams in demand.
    open_streams : int
        Number of open streams; they may outlast the grant under which they began.
    lent : list of float
        ``lent`` of the last grant, which informs a new owner.
    sequence : int
        Increases with each request of the router. The receiver drops older requests,
        because the router releases whatever its newest request does not include.
    """

    TYPE: ClassVar[int] = 12
    organisation: str
    sequence: int
    requests_s: float
    tokens_s: float
    streams: int
    open_streams: int
    lent: list[float]


@dataclass(slots=True, kw_only=True)
class ShareGrant:
    """Share of an organisation's limits that one router may use.

    Attributes
    ----------
    ttl_s : float
        Lifetime in seconds, counted from the time at which the router sent its request.
    lent : list of float
        Fractions of the data centre's base share (requests/s, tokens/s, streams)
        that are lent to other data centres at present.
    """

    TYPE: ClassVar[int] = 13
    organisation: str
    requests_s: float
    tokens_s: float
    streams: int
    ttl_s: float
    lent: list[float]


@dataclass(slots=True, kw_only=True)
class ShareDemand:
    """Demand of one data centre for a part of another's base share.

    An agent that is not in the lender's data centre, or does not own the organisation,
    forwards the demand. The reply is a ``ShareLoan``.

    Attributes
    ----------
    data_centre, lender : str
        Data centre that sends the demand, and the one that may lend.
    sequence : int
        Increases with each demand of the data centre. The lender drops older demands,
        because the borrower releases whatever its newest demand does not include.
    """

    TYPE: ClassVar[int] = 14
    organisation: str
    sequence: int
    data_centre: str
    lender: str
    requests_s: float
    tokens_s: float
    streams: int
    ttl_s: float


@dataclass(slots=True, kw_only=True)
class ShareLoan:
    """Part of one data centre's base share, lent to another for ``ttl_s`` seconds."""

    TYPE: ClassVar[int] = 20
    organisation: str
    lender: str
    requests_s: float
    tokens_s: float
    streams: int
    ttl_s: float
