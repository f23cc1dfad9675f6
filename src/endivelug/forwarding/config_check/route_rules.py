"""Rules for the routes of a configuration."""

import re
from collections import Counter
from collections.abc import Iterator

from endivelug.forwarding.attempt_limits import (
    MIN_GENERATION_S,
    MIN_PLAIN_S,
    SAFE_ATTEMPT_MIN_S,
    SAFE_ATTEMPT_SHARE,
)
from endivelug.forwarding.config_check.entries import ConfigurationEntries
from endivelug.forwarding.config_check.findings import Finding, Place, error, warning
from endivelug.forwarding.routes import Repeat, Route, RoutingConfiguration

# Prefixes that the path of a request can have: visible ASCII without a query.
POSSIBLE_PREFIX = re.compile(r"(/[!-~]*)?")


def check_routes(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Yield the faults of routes."""
    if not entries.routes and not entries.has_unread_routes:
        yield error(
            Place(section="route"),
            "there is no route, so every request is answered 404",
            remedy="add a route",
        )
    services = {service.name for service in entries.services} | entries.unread_services
    stores = {store.service for store in entries.cache_stores}
    served = RoutingConfiguration(
        version=entries.version, limits=entries.limits, services={}
    )
    for route in entries.routes:
        served.add_route(route)
    for route in entries.routes:
        yield from _check_match(route, served)
        yield from _check_services(route, services, stores)
        yield from _check_times(route)
        yield from _check_attempts(route)
    for name, count in Counter(route.name for route in entries.routes).items():
        if count > 1:
            yield warning(
                Place(section="route", name=name, member="name"),
                f"{count} routes have this name, so logs cannot tell them apart",
                remedy="give each route a name of its own",
            )


def attempts_within(timeout_s: float, *, min_run_s: float) -> int:
    """Return how many attempts of a safe call begin if each uses its whole time limit.

    Examples
    --------
    >>> attempts_within(1.0, min_run_s=0.1), attempts_within(0.2, min_run_s=0.1)
    (3, 1)
    """
    attempts, remaining_s = 1, timeout_s
    while True:
        remaining_s -= max(SAFE_ATTEMPT_MIN_S, SAFE_ATTEMPT_SHARE * remaining_s)
        if remaining_s < min_run_s:
            return attempts
        attempts += 1


def _place(route: Route, member: str) -> Place:
    return Place(section="route", name=route.name, member=member)


def _check_match(route: Route, served: RoutingConfiguration) -> Iterator[Finding]:
    if ":" in route.host or route.host != route.host.strip():
        yield error(
            _place(route, "host"),
            "the route can never match: hosts are compared without port and spaces",
            remedy="write the host name alone",
        )
        return
    if not POSSIBLE_PREFIX.fullmatch(route.prefix) or set(route.prefix) & {"?", "#"}:
        yield error(
            _place(route, "prefix"),
            "the route can never match: no path of a request begins like this",
            remedy="begin with / and use visible ASCII characters without ? and #",
        )
        return
    # If another route takes the shortest path that begins with the prefix, then another
    # one takes every such path.
    hiding = served.route_for(route.host, route.prefix or "/")
    if hiding is not None and hiding is not route:
        yield error(
            _place(route, "prefix"),
            f"the route can never match: {hiding.name!r} has the same host and prefix "
            "and goes first",
            remedy="remove one of the two, or change its prefix",
        )


def _check_services(
    route: Route, services: set[str], stores: set[str]
) -> Iterator[Finding]:
    place = _place(route, "services")
    if sum(share.weight for share in route.services) == 0:
        yield error(
            place,
            "all weights are 0, so the last service gets every request",
            remedy="give a weight above 0 to each service that is to get requests",
        )
    else:
        for share in route.services:
            if share.weight == 0:
                yield warning(
                    place,
                    f"the service {share.service!r} has weight 0 and gets no request",
                    remedy="give it a weight above 0, or remove it from the route",
                )
    for name, count in Counter(share.service for share in route.services).items():
        if count > 1:
            yield warning(
                place,
                f"the service {name!r} is listed {count} times; its weights add up",
                remedy="list it once, with the sum of its weights",
            )
        if name not in services:
            kind = "is a cache store" if name in stores else "does not exist"
            yield error(
                place,
                f"the service {name!r} {kind}",
                remedy="name a service of this configuration, or add the service",
            )


def _check_times(route: Route) -> Iterator[Finding]:
    for member, value_s, name in (
        ("target_s", route.target_s, "target time"),
        ("gap_target_s", route.gap_target_s, "target for pauses"),
    ):
        if value_s > route.timeout_s:
            yield error(
                _place(route, member),
                f"the {name} of {value_s:g} s is above the time limit of "
                f"{route.timeout_s:g} s",
                remedy="lower the target, or raise the time limit",
            )


def _check_attempts(route: Route) -> Iterator[Finding]:
    if route.max_attempts <= 1:
        return
    place = _place(route, "max_attempts")
    may_repeat = route.resumable if route.streaming else route.repeat is Repeat.SAFE
    if not may_repeat:
        yield warning(
            place,
            f"{route.max_attempts} attempts have no effect, because requests of this "
            "route may run only once",
            remedy="write 1, or let the route's requests be repeated",
        )
        return
    if route.streaming:
        # How long an engine may be silent depends on its speed, not on the route alone.
        return
    min_run_s = MIN_GENERATION_S if route.generates else MIN_PLAIN_S
    possible = attempts_within(route.timeout_s, min_run_s=min_run_s)
    if route.max_attempts > possible:
        yield warning(
            place,
            f"within {route.timeout_s:g} s only {possible} of {route.max_attempts} "
            "attempts begin if each uses its time limit",
            remedy="raise the time limit, or allow fewer attempts",
        )
