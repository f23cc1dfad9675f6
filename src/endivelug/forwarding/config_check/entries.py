"""Entries of a configuration as they are written.

``RoutingConfiguration`` holds services and keys by name, so it cannot tell that one is
there twice.
"""

from dataclasses import dataclass, field

from endivelug.forwarding.routes import (
    CacheStore,
    CallerLimits,
    Organisation,
    Route,
    Service,
)


@dataclass(slots=True, kw_only=True, frozen=True)
class OrganisationEntry:
    """One organisation with its API keys."""

    organisation: Organisation
    keys: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class ConfigurationEntries:
    """All entries of a configuration that can be decoded, in their order.

    Attributes
    ----------
    organisations : list of OrganisationEntry or None
        None if the configuration has no list, so that requests need no key.
    unread_services : set of str
        Names of services whose entries cannot be decoded.
    has_unread_routes, has_unread_organisations : bool
        Whether entries are missing because they cannot be decoded.
    """

    version: int
    limits: CallerLimits
    services: list[Service] = field(default_factory=list)
    cache_stores: list[CacheStore] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    organisations: list[OrganisationEntry] | None = None
    unread_services: set[str] = field(default_factory=set)
    has_unread_routes: bool = False
    has_unread_organisations: bool = False
