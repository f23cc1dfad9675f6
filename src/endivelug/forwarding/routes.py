"""Operator configuration in decoded form: routes, services, limits and API keys."""

from dataclasses import dataclass, field
from enum import Enum

from endivelug.forwarding.quotas.quota import Quota


class Repeat(Enum):
    """Whether the requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedService:
    """Service with its relative share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Requests by host and path prefix, with their services and limits.

    Attributes
    ----------
    repeat : Repeat
        Whether a request may run more than once from its beginning.
    streaming, resumable : bool
        Whether responses are event streams, and whether another engine may continue
        one.
    timeout_s, target_s, gap_target_s : float
        Time limit of a request, target time to the first byte or event, and target for
        the longest pause between two events.
    max_attempts : int
        Number of upstreams on which one request may run.
    priority : int
        0 is the most urgent.
    generates : bool
        Whether the requests carry a model and a prompt.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streaming: bool
    resumable: bool
    timeout_s: float
    target_s: float
    gap_target_s: float
    max_attempts: int
    priority: int
    public: bool
    generates: bool
    services: tuple[WeightedService, ...]

    def service_for(self, draw: float) -> str:
        """Return the service that a random number from [0, 1) selects by weight.

        Examples
        --------
        >>> halves = (WeightedService(service="a", weight=1.0),
        ...           WeightedService(service="b", weight=1.0))
        >>> import dataclasses
        >>> route = Route(name="r", host="h", prefix="/", repeat=Repeat.SAFE,
        ...     streaming=False, resumable=False, timeout_s=1.0, target_s=1.0,
        ...     gap_target_s=0.0, max_attempts=1, priority=0, public=True,
        ...     generates=False, services=halves)
        >>> route.service_for(0.2), route.service_for(0.7)
        ('a', 'b')
        """
        total = sum(share.weight for share in self.services)
        remaining = draw * total
        for share in self.services:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.services[-1].service


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineLimits:
    """Capacity of each engine of a service.

    Attributes
    ----------
    slots : int
        Number of requests that may run at the same time.
    cache_tokens : int
        KV cache capacity, in tokens of running requests and cached prompt segments.
    token_bytes : float
        Bytes of KV cache per token.
    link_mbps : float
        Rate of KV cache transfers in Mbit/s.
    models : tuple of str
        Models that the engines serve.
    """

    slots: int
    cache_tokens: int
    token_bytes: float
    link_mbps: float
    models: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class CacheStore:
    """A store that caches the KV cache of prompt segments outside of engines.

    ``cache_tokens`` is its capacity.
    """

    service: str
    address: str
    data_centre: str
    link_mbps: float
    cache_tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """One service with its limits.

    Attributes
    ----------
    max_connections : int
        Connections that each upstream accepts from all VMs together.
    engine : EngineLimits or None
        Capacity of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Limits on callers: bytes of headers and body, times of a head and idle times."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Organisation:
    """One organisation, to which callers belong by their API key.

    Attributes
    ----------
    priority : int or None
        Priority of its requests; None for the priority of the route.
    isolated : bool
        Whether its cached prompts are not shared with other organisations.
    quota : Quota or None
        Limit of its requests at all VMs together; None without any.
    """

    name: str
    priority: int | None
    isolated: bool
    quota: Quota | None = None


@dataclass(slots=True, kw_only=True)
class RoutingConfiguration:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Version number from the operator.
    routes : dict of str to list of Route
        Routes by host, the longest prefix first.
    organisations_by_key : dict of str to Organisation
        Organisations by API key; empty if requests carry no keys.
    quotas : dict of str to Quota
        Quotas by organisation.
    unusable_quotas : dict of str to str
        By organisation, why its quota is not applied.
    """

    version: int
    limits: CallerLimits
    services: dict[str, Service]
    cache_stores: list[CacheStore] = field(default_factory=list)
    routes: dict[str, list[Route]] = field(default_factory=dict)
    organisations_by_key: dict[str, Organisation] = field(default_factory=dict)
    has_organisations: bool = False
    quotas: dict[str, Quota] = field(default_factory=dict)
    unusable_quotas: dict[str, str] = field(default_factory=dict)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, or None."""
        for route in self.routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def add_route(self, route: Route) -> None:
        """Add a route; keep the routes sorted by prefix length, longest first."""
        routes = self.routes.setdefault(route.host.lower(), [])
        routes.append(route)
        routes.sort(key=lambda item: -len(item.prefix))
