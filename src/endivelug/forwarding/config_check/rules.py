"""Rules for all entries of a configuration."""

from collections import Counter
from collections.abc import Iterator

from endivelug.forwarding.config_check.entries import (
    ConfigurationEntries,
    OrganisationEntry,
)
from endivelug.forwarding.config_check.findings import (
    Finding,
    Place,
    Severity,
    error,
    warning,
)
from endivelug.forwarding.config_check.route_rules import check_routes
from endivelug.forwarding.quotas.quota import Quota, QuotaUnit

# Names that a message lists; the others are counted.
MAX_LISTED_NAMES = 5


def check_entries(entries: ConfigurationEntries) -> list[Finding]:
    """Return the faults of entries that can be decoded."""
    return [
        *check_routes(entries),
        *_check_services(entries),
        *_check_organisations(entries),
    ]


def sort_findings(findings: list[Finding]) -> list[Finding]:
    """Return findings with errors first, otherwise in their order."""
    return sorted(findings, key=lambda item: item.severity is Severity.WARNING)


def _check_services(entries: ConfigurationEntries) -> Iterator[Finding]:
    names = Counter(service.name for service in entries.services)
    names.update(store.service for store in entries.cache_stores)
    for name, count in names.items():
        if count > 1:
            yield error(
                Place(section="service", name=name, member="name"),
                f"{count} services have this name, and only the last is used",
                remedy="give each service a name of its own",
            )
    for service in entries.services:
        if service.engine is None:
            continue
        if service.engine.slots > service.max_connections:
            yield warning(
                Place(section="service", name=service.name, member="max_connections"),
                f"{service.max_connections} connections cannot fill "
                f"{service.engine.slots} slots",
                remedy="allow at least as many connections as slots",
            )
        if not service.engine.models:
            yield warning(
                Place(section="service", name=service.name, member="engine.models"),
                "the list of models is empty",
                remedy="list the models that the engines serve",
            )


def _check_organisations(entries: ConfigurationEntries) -> Iterator[Finding]:
    if entries.organisations is None:
        return
    if not any(entry.keys for entry in entries.organisations):
        yield from _check_without_keys(entries)
    names = Counter(entry.organisation.name for entry in entries.organisations)
    for name, count in names.items():
        if count > 1:
            yield error(
                _place(name, "name"),
                f"{count} organisations have this name, and they share one quota",
                remedy="merge them, or give each a name of its own",
            )
    yield from _check_keys(entries.organisations)
    for entry in entries.organisations:
        if entry.organisation.quota is not None:
            yield from _check_quota(entry.organisation.name, entry.organisation.quota)


def _check_without_keys(entries: ConfigurationEntries) -> Iterator[Finding]:
    closed = [route.name for route in entries.routes if not route.public]
    if not closed or entries.has_unread_organisations:
        return
    listed = ", ".join(repr(name) for name in closed[:MAX_LISTED_NAMES])
    if len(closed) > MAX_LISTED_NAMES:
        listed += f" and {len(closed) - MAX_LISTED_NAMES} more"
    yield error(
        Place(section="organisation"),
        f"the list of organisations has no key, so no caller may use the routes "
        f"{listed}",
        remedy="add an organisation with a key; without the list no key is needed",
    )


def _check_keys(organisations: list[OrganisationEntry]) -> Iterator[Finding]:
    # Keys are secrets, so a finding names only the organisation and the position.
    owners: dict[str, str] = {}
    for entry in organisations:
        name = entry.organisation.name
        if not entry.keys:
            yield warning(
                _place(name, "keys"),
                "the organisation has no key, so no caller belongs to it",
                remedy="add a key, or remove the organisation",
            )
        seen: set[str] = set()
        for position, key in enumerate(entry.keys):
            owner = owners.setdefault(key, name)
            place = _place(name, f"keys[{position}]")
            if owner != name:
                yield error(
                    place,
                    f"the key also belongs to {owner!r}; the last organisation gets it",
                    remedy="keep the key in one organisation",
                )
            elif key in seen:
                yield warning(place, "the key is listed twice", remedy="list it once")
            seen.add(key)


def _check_quota(name: str, quota: Quota) -> Iterator[Finding]:
    place = _place(name, "quota.burst")
    match quota.unit:
        case QuotaUnit.REQUESTS:
            if quota.burst < 1:
                yield warning(
                    place,
                    f"a burst of {quota.burst:g} is below one request",
                    remedy="allow a burst of at least 1",
                )
        case QuotaUnit.TOKENS:
            if quota.default_tokens == 0:
                yield warning(
                    _place(name, "quota.default_tokens"),
                    "requests that do not state their tokens count 0 and are not "
                    "limited",
                    remedy="state the tokens of such a request",
                )
            if quota.burst < max(1, quota.default_tokens):
                yield warning(
                    place,
                    f"a burst of {quota.burst:g} tokens is below one request, which "
                    f"counts {max(1, quota.default_tokens)}",
                    remedy="allow a burst of at least the tokens of one request",
                )


def _place(name: str, member: str) -> Place:
    return Place(section="organisation", name=name, member=member)
