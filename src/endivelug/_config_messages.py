"""Messages that distribute the configuration between peers; see ``messages``."""

from dataclasses import dataclass, field
from typing import ClassVar


@dataclass(slots=True, kw_only=True)
class Contact:
    """Last contact of the sender with the platform or another data centre.

    Attributes
    ----------
    name : str
        Name of the data centre; empty for the platform.
    age_s : float
        Seconds since the contact.
    """

    name: str
    age_s: float


@dataclass(slots=True, kw_only=True)
class ConfigHead:
    """Revision and digest of the sender's configuration, with its last contacts."""

    TYPE: ClassVar[int] = 8
    revision: int
    digest: int
    contacts: list[Contact] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class ConfigRequest:
    """Request for every change after the sender's own revision.

    The reply is a ``ConfigDelta``, the first part of a ``ConfigSnapshot``, or a
    ``ConfigHead`` if there is nothing newer. The other parts of a snapshot are
    requested one by one, so that a large body never fills a send queue.

    Attributes
    ----------
    held : int
        Revision that the sender has.
    snapshot, part : int
        Revision of the snapshot and number of the requested part; both 0 in the
        first request.
    """

    TYPE: ClassVar[int] = 9
    held: int
    snapshot: int = 0
    part: int = 0


@dataclass(slots=True, kw_only=True)
class ConfigDelta:
    """Changes from revision ``first - 1`` to ``last``; one body for each revision."""

    TYPE: ClassVar[int] = 10
    first: int
    last: int
    digest: int
    bodies: list[bytes]


@dataclass(slots=True, kw_only=True)
class ConfigSnapshot:
    """One part of the full configuration at ``revision``."""

    TYPE: ClassVar[int] = 11
    revision: int
    digest: int
    part: int
    parts: int
    body: bytes
