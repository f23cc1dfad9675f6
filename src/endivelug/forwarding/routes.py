"""The operators' configuration as the data path uses it: routes, services and keys."""

from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedService:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """One route.

    Attributes
    ----------
    repeat : Repeat
        Whether a request may run more than once from its beginning.
    streaming, resumable : bool
        Whether answers are event streams, and whether another engine may continue one.
    timeout_s, target_s, gap_target_s : float
        Longest time to an answer, target time to the first byte or event, and longest
        pause between two events.
    max_attempts : int
        Upstreams on which one request may run.
    priority : int
        0 is the most urgent.
    generates : bool
        Whether the requests name a model and a prompt.
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
        """Return the service for a number drawn from [0, 1).

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
        left = draw * total
        for share in self.services:
            left -= share.weight
            if left < 0:
                return share.service
        return self.services[-1].service


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineLimits:
    """What one engine of a service can hold.

    Attributes
    ----------
    cache_tokens : int
        Tokens of running requests and cached prompt parts.
    token_bytes : float
        Bytes of KV cache per token.
    link_mbps : float
        Rate of KV cache transfers.
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
    """A store of kept KV cache."""

    service: str
    address: str
    data_centre: str
    link_mbps: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """One service.

    Attributes
    ----------
    max_connections : int
        Connections that one of its upstreams takes from all VMs together.
    engine : EngineLimits or None
        None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send; times in seconds."""

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Organisation:
    """One organisation.

    Attributes
    ----------
    priority : int or None
        Takes precedence over the priority of the route.
    isolated : bool
        Whether it shares no cached prompt with others.
    """

    name: str
    priority: int | None
    isolated: bool


@dataclass(slots=True, kw_only=True)
class RoutingConfiguration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Version that the operator gave it.
    routes : dict of str to list of Route
        Routes by host, the longest prefix first.
    organisations_by_key : dict of str to Organisation
        Empty where requests carry no keys.
    """

    version: int
    limits: CallerLimits
    services: dict[str, Service]
    cache_stores: list[CacheStore] = field(default_factory=list)
    routes: dict[str, list[Route]] = field(default_factory=dict)
    organisations_by_key: dict[str, Organisation] = field(default_factory=dict)
    has_organisations: bool = False

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def add_route(self, route: Route) -> None:
        """Add a route and keep the longest prefix first."""
        routes = self.routes.setdefault(route.host.lower(), [])
        routes.append(route)
        routes.sort(key=lambda item: -len(item.prefix))
