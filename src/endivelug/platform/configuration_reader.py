"""Reader of the operator's configuration that lists every fault of every entry.

The router stops at the first fault (``records.decode_configuration``). Entries without
a fault are decoded by that function here as well, so both agree on what they mean.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from endivelug.forwarding.config_check.entries import (
    ConfigurationEntries,
    OrganisationEntry,
)
from endivelug.forwarding.config_check.findings import Finding, Place, error, warning
from endivelug.forwarding.routes import RoutingConfiguration
from endivelug.platform import configuration_members as wire
from endivelug.platform.documents import DocumentUnreadable, is_integer, is_text
from endivelug.platform.records import RecordUnreadable, decode_configuration

# Names of our places in the operator's document.
SECTIONS = {"route": "routes", "service": "services", "organisation": "tenants"}
MEMBERS = {
    "route": {
        "services": "trafficSplit",
        "repeat": "kind",
        "streaming": "kind",
        "timeout_s": "timeoutMs",
        "target_s": "targetLatencyMs",
        "gap_target_s": "gapAimMs",
        "max_attempts": "maxAttempts",
        "generates": "sticky",
    },
    "service": {
        "max_connections": "maxConnections",
        "address": "kvStoreAddr",
        "data_centre": "zone",
        "link_mbps": "linkMbps",
        "cache_tokens": "kvCapacityTokens",
        "engine.cache_tokens": "engine.kvCapacityTokens",
        "engine.token_bytes": "engine.kvTokenBytes",
        "engine.link_mbps": "engine.linkMbps",
    },
    "organisation": {
        "keys": "apiKeys",
        "quota": "ratePerS",
        "quota.rate": "ratePerS",
        "quota.burst": "burst",
        "quota.unit": "unit",
        "quota.default_tokens": "plainTokens",
    },
    "limits": {
        "header_bytes": "maxHeaderBytes",
        "body_bytes": "maxBodyBytes",
        "header_timeout_s": "headerTimeoutMs",
        "idle_timeout_s": "idleTimeoutMs",
    },
}


class _Object(dict[str, Any]):
    """JSON object that keeps the names that it has more than once."""

    repeated: tuple[str, ...] = ()


def _make_object(pairs: list[tuple[str, Any]]) -> _Object:
    made = _Object(pairs)
    names = [name for name, _ in pairs]
    if len(made) < len(names):
        made.repeated = tuple(name for name in made if names.count(name) > 1)
    return made


def read_document(data: bytes) -> dict[str, Any]:
    """Return the JSON object that bytes hold.

    Raises
    ------
    DocumentUnreadable
        If they hold none.
    """
    try:
        document = json.loads(data, object_pairs_hook=_make_object)
    except (ValueError, RecursionError) as fault:
        raise DocumentUnreadable(f"this is not readable JSON: {fault}") from fault
    if not isinstance(document, dict):
        raise DocumentUnreadable("this is not a JSON object")
    return document


def describe_place(place: Place) -> str:
    """Return a place in the operator's names, such as ``routes/NAME/timeoutMs``."""
    member, _, index = place.member.partition("[")
    member = MEMBERS.get(place.section, {}).get(member, member)
    parts = [SECTIONS.get(place.section, place.section), place.name]
    parts.append(f"{member}[{index}" if index else member)
    return "/".join(part for part in parts if part) or "configuration"


@dataclass(slots=True, kw_only=True)
class ConfigurationReader:
    """Reads one configuration.

    Attributes
    ----------
    findings : list of Finding
        Faults that decoding finds; errors are those of entries that are left out.
    """

    findings: list[Finding] = field(default_factory=list)

    def read(self, document: dict[str, Any]) -> ConfigurationEntries:
        """Return the entries that can be decoded."""
        self._check(Place(), document, wire.DOCUMENT)
        self._check_repeated("", document)
        limits = document.get("limits")
        usable = isinstance(limits, dict) and self._check(
            Place(section="limits"), limits, wire.LIMITS
        )
        base = decode_configuration(_encode(limits=limits if usable else {}))
        version = document.get("version")
        entries = ConfigurationEntries(
            version=version if is_integer(version) else 0, limits=base.limits
        )
        for label, item in self._objects("services", document.get("services")):
            self._read_service(entries, label, item)
        entries.has_unread_routes = document.get("routes") != []
        for label, item in self._objects("routes", document.get("routes")):
            self._read_route(entries, label, item)
        self._read_organisations(entries, document)
        return entries

    def _read_service(
        self, entries: ConfigurationEntries, label: str, item: dict[str, Any]
    ) -> None:
        place = Place(section="services", name=label)
        is_store = bool(item.get("kvStoreAddr"))
        valid = self._check(place, item, wire.CACHE_STORE if is_store else wire.SERVICE)
        engine = item.get("engine")
        if not is_store and isinstance(engine, dict):
            inner = Place(section="services", name=f"{label}/engine")
            if not engine:
                self._warn(
                    inner,
                    "the object is empty, so this is a plain service",
                    "fill it in, or remove it",
                )
            else:
                valid &= self._check(inner, engine, wire.ENGINE)
                valid &= self._check_items(inner, engine, "models", wire.MODEL)
        found = self._decode(place, services=[item]) if valid else None
        if found is None:
            entries.unread_services.add(str(item.get("name")))
            return
        entries.services.extend(found.services.values())
        entries.cache_stores.extend(found.cache_stores)

    def _read_route(
        self, entries: ConfigurationEntries, label: str, item: dict[str, Any]
    ) -> None:
        place = Place(section="routes", name=label)
        valid = self._check(place, item, wire.ROUTE)
        split = item.get("trafficSplit")
        if split == [] and "service" in item:
            self._warn(
                Place(section="routes", name=label, member="trafficSplit"),
                "the list is empty, so the route's service gets every request",
                "remove the list, or list services with weights",
            )
        if not split and "service" not in item:
            self._fail(
                Place(section="routes", name=label, member="service"),
                "the route has no service",
                "name a service, or list services with weights in trafficSplit",
            )
            valid = False
        valid &= self._check_items(place, item, "trafficSplit", wire.SHARE)
        found = self._decode(place, routes=[item]) if valid else None
        if found is not None:
            for routes in found.routes.values():
                entries.routes.extend(routes)

    def _read_organisations(
        self, entries: ConfigurationEntries, document: dict[str, Any]
    ) -> None:
        if "tenants" not in document:
            return
        items = document["tenants"]
        if items is None:
            self._warn(
                Place(section="tenants"),
                "null stands for no list, so requests need no key",
                "list the organisations, or remove the member",
            )
            return
        entries.organisations = []
        entries.has_unread_organisations = not isinstance(items, list)
        for label, item in self._objects("tenants", items):
            place = Place(section="tenants", name=label)
            valid = self._check(place, item, wire.TENANT)
            if item.get("burst") and not item.get("ratePerS"):
                self._warn(
                    Place(section="tenants", name=label, member="burst"),
                    "without a rate there is no limit, whatever the burst is",
                    "add ratePerS, or remove the burst",
                )
            keys = item.get("apiKeys", [])
            if isinstance(keys, list):
                for index, key in enumerate(keys):
                    if not isinstance(key, str) or not key:
                        self._fail(
                            Place(section="tenants", name=f"{label}/apiKeys[{index}]"),
                            "the key is not a text",
                            "write a text that is not empty",
                        )
                        valid = False
            # The decoder holds organisations by key; this one need not have any.
            entry = {**item, "apiKeys": [""]}
            found = self._decode(place, tenants=[entry]) if valid else None
            if found is None:
                entries.has_unread_organisations = True
                continue
            entries.organisations.append(
                OrganisationEntry(
                    organisation=found.organisations_by_key[""], keys=tuple(keys)
                )
            )

    def _decode(self, place: Place, **members: Any) -> RoutingConfiguration | None:
        """Decode one entry as the router does; None if the router rejects it."""
        try:
            found = decode_configuration(_encode(**members))
        except RecordUnreadable as fault:
            self._fail(place, str(fault), "correct the entry")
            return None
        for reason in found.unusable_quotas.values():
            self._fail(place, f"the quota is not applied: {reason}", "correct it")
            return None
        return found

    def _objects(self, section: str, items: Any) -> Iterator[tuple[str, Any]]:
        """Yield the objects of a list with a label of each."""
        for index, item in enumerate(items if isinstance(items, list) else []):
            if isinstance(item, dict):
                name = item.get("name")
                yield name if name and is_text(name) else f"[{index}]", item
                continue
            self._fail(
                Place(section=section, name=f"[{index}]"),
                "the entry is not an object",
                "write an object, or remove the entry",
            )

    def _check_items(
        self,
        place: Place,
        item: dict[str, Any],
        name: str,
        members: dict[str, wire.Member],
    ) -> bool:
        """Check the objects of an inner list; return whether all can be used."""
        valid = True
        inner = f"{place.name}/{name}"
        items = item.get(name)
        for index, part in enumerate(items if isinstance(items, list) else []):
            at = Place(section=place.section, name=f"{inner}[{index}]")
            if isinstance(part, dict):
                valid &= self._check(at, part, members)
            else:
                self._fail(at, "the entry is not an object", "write an object")
                valid = False
        return valid

    def _check(
        self, place: Place, item: dict[str, Any], members: dict[str, wire.Member]
    ) -> bool:
        """Check the members of an object; return whether all can be used."""
        valid = True
        for name, message, remedy in wire.check_members(item, members):
            valid = False
            at = Place(section=place.section, name=place.name, member=name)
            self._fail(at, message, remedy)
        for name, meant in wire.find_misspelt(item, members):
            at = Place(section=place.section, name=place.name, member=name)
            self._warn(at, "the member is not known", f"did you mean {meant}?")
        return valid

    def _check_repeated(self, path: str, value: Any) -> None:
        """Report names that stand twice in one object; only the last one is read."""
        match value:
            case _Object():
                for name in value.repeated:
                    self._fail(
                        Place(section=path, member=name),
                        "the member stands there more than once; the last is used",
                        "keep one of them",
                    )
                for name, inner in value.items():
                    self._check_repeated(f"{path}/{name}".lstrip("/"), inner)
            case list():
                for index, inner in enumerate(value):
                    self._check_repeated(f"{path}[{index}]", inner)

    def _fail(self, place: Place, message: str, remedy: str) -> None:
        self.findings.append(error(place, message, remedy=remedy))

    def _warn(self, place: Place, message: str, remedy: str) -> None:
        self.findings.append(warning(place, message, remedy=remedy))


def _encode(**members: Any) -> bytes:
    document = {"version": 0, "services": [], "routes": [], **members}
    return json.dumps(document).encode()
