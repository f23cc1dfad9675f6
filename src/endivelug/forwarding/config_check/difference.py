"""Difference between two configurations, in order of its effect on callers."""

import dataclasses
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from endivelug.forwarding.config_check.entries import ConfigurationEntries
from endivelug.forwarding.config_check.findings import Finding, Place, warning
from endivelug.forwarding.quotas.quota import Quota
from endivelug.forwarding.routes import Route, WeightedService


class Effect(IntEnum):
    """What a change affects; the lowest value is the strongest effect."""

    ACCESS = 0
    ROUTING = 1
    LIMITS = 2
    PRIORITY = 3


# Effects of attributes; a changed attribute that is not listed is a changed limit.
EFFECTS = {
    "public": Effect.ACCESS,
    "services": Effect.ROUTING,
    "repeat": Effect.ROUTING,
    "streaming": Effect.ROUTING,
    "resumable": Effect.ROUTING,
    "generates": Effect.ROUTING,
    "address": Effect.ROUTING,
    "engine": Effect.ROUTING,
    "engine.models": Effect.ROUTING,
    "priority": Effect.PRIORITY,
    "isolated": Effect.PRIORITY,
    "name": Effect.PRIORITY,
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """One change, with the values before and after it where it has them."""

    effect: Effect
    place: Place
    message: str


def compare(before: ConfigurationEntries, after: ConfigurationEntries) -> list[Change]:
    """Return the changes from one configuration to another, the strongest first."""
    changes = [
        *_compare_organisations(before, after),
        *_compare_entries("route", _routes(before), _routes(after)),
        *_compare_entries(
            "service",
            {item.name: item for item in before.services},
            {item.name: item for item in after.services},
        ),
        *_compare_entries(
            "service",
            {item.service: item for item in before.cache_stores},
            {item.service: item for item in after.cache_stores},
        ),
        *_compare_attributes(Place(section="limits"), before.limits, after.limits),
    ]
    return sorted(changes, key=lambda change: change.effect)


def check_version(
    before: ConfigurationEntries, after: ConfigurationEntries
) -> list[Finding]:
    """Return a warning if a changed configuration lacks a higher version."""
    if after.version > before.version or not compare(before, after):
        return []
    return [
        warning(
            Place(member="version"),
            f"version {after.version} does not follow version {before.version}, which "
            "is in force",
            remedy=f"write {before.version + 1} or more",
        )
    ]


def _routes(entries: ConfigurationEntries) -> dict[str, Route]:
    """Return the routes that can match, by host and prefix."""
    found: dict[str, Route] = {}
    for route in entries.routes:
        found.setdefault(route.host.lower() + route.prefix, route)
    return found


def _compare_organisations(
    before: ConfigurationEntries, after: ConfigurationEntries
) -> Iterator[Change]:
    match before.organisations, after.organisations:
        case None, list():
            message = "requests now need a key, except on public routes"
            yield _access(Place(section="organisation"), message)
        case list(), None:
            message = "the list is gone, so requests need no key"
            yield _access(Place(section="organisation"), message)
    old_keys, new_keys = _keys(before), _keys(after)
    old = {item.organisation.name: item for item in before.organisations or []}
    new = {item.organisation.name: item for item in after.organisations or []}
    for name in [*old, *(name for name in new if name not in old)]:
        place = Place(section="organisation", name=name, member="keys")
        had, has = old_keys.get(name, set()), new_keys.get(name, set())
        if had - has:
            yield _access(place, f"{len(had - has)} key(s) removed")
        if has - had:
            yield _access(place, f"{len(has - had)} key(s) added")
    yield from _compare_entries(
        "organisation",
        {name: item.organisation for name, item in old.items()},
        {name: item.organisation for name, item in new.items()},
        effect=Effect.ACCESS,
    )


def _access(place: Place, message: str) -> Change:
    return Change(effect=Effect.ACCESS, place=place, message=message)


def _keys(entries: ConfigurationEntries) -> dict[str, set[str]]:
    """Return the keys of each organisation; the last one that has a key owns it."""
    owners = {
        key: entry.organisation.name
        for entry in entries.organisations or []
        for key in entry.keys
    }
    found: dict[str, set[str]] = {}
    for key, name in owners.items():
        found.setdefault(name, set()).add(key)
    return found


def _compare_entries(
    section: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
    *,
    effect: Effect = Effect.ROUTING,
) -> Iterator[Change]:
    """Yield removed, added and changed entries; ``effect`` is that of the first two."""
    for key, value in before.items():
        if key not in after:
            place, suffix = _describe(section, key, value)
            yield Change(effect=effect, place=place, message="removed" + suffix)
    for key, value in after.items():
        place, suffix = _describe(section, key, value)
        if key not in before:
            yield Change(effect=effect, place=place, message="added" + suffix)
        else:
            yield from _compare_attributes(place, before[key], value)


def _describe(section: str, key: str, value: Any) -> tuple[Place, str]:
    """Return the place of an entry, and what a message has to add to its name."""
    if isinstance(value, Route):
        return Place(section=section, name=value.name), f": {key}"
    return Place(section=section, name=key), ""


def _compare_attributes(place: Place, before: Any, after: Any) -> Iterator[Change]:
    for item in dataclasses.fields(after):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old == new:
            continue
        member = f"{place.member}.{item.name}".lstrip(".")
        inner = dataclasses.replace(place, member=member)
        if dataclasses.is_dataclass(old) and dataclasses.is_dataclass(new):
            yield from _compare_attributes(inner, old, new)
            continue
        unit = " s" if item.name.endswith("_s") else ""
        yield Change(
            effect=EFFECTS.get(member, Effect.LIMITS),
            place=inner,
            message=f"{_text(old)}{unit} -> {_text(new)}{unit}",
        )


def _text(value: Any) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case Quota():
            return f"{value.rate:g} {value.unit.value}/s, burst {value.burst:g}"
        case WeightedService():
            return f"{value.service} {value.weight:g}"
        case tuple():
            return ", ".join(_text(item) for item in value) or "none"
    if dataclasses.is_dataclass(value):
        return "set"
    return str(getattr(value, "value", value))
