"""Members of the operator's configuration, and which values each may have."""

import difflib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from endivelug.platform.documents import MAX_INTEGER, is_integer, is_text
from endivelug.platform.records import QUOTA_UNITS

KINDS = ("safe", "streaming", "unsafe")
# Similarity from which an unknown member is taken for a misspelt one.
MISSPELT_SIMILARITY = 0.85


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """One member of an object.

    Attributes
    ----------
    accepts : callable
        Whether a value can be used.
    expected : str
        What the value must be; part of the remedy.
    """

    accepts: Callable[[Any], bool]
    expected: str
    required: bool = False
    nullable: bool = False


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= MAX_INTEGER


def _is_whole(value: Any) -> bool:
    return _is_number(value) and value >= 1 and value == int(value)


def _text(*, required: bool = False, nullable: bool = False) -> Member:
    return Member(
        accepts=lambda value: is_text(value) and value != "",
        expected="a text that is not empty",
        required=required,
        nullable=nullable,
    )


def _number(*, nullable: bool = False, required: bool = False) -> Member:
    return Member(
        accepts=_is_number,
        expected="a number from 0, without quotes",
        required=required,
        nullable=nullable,
    )


def _positive(*, required: bool = False) -> Member:
    return Member(
        accepts=lambda value: _is_number(value) and value > 0,
        expected="a number above 0, without quotes",
        required=required,
    )


def _count(*, required: bool = False) -> Member:
    return Member(
        accepts=_is_whole,
        expected="a whole number from 1, without quotes",
        required=required,
    )


def _integer(*, nullable: bool = False, required: bool = False) -> Member:
    return Member(
        accepts=is_integer,
        expected="a whole number from 0, without quotes and decimal point",
        required=required,
        nullable=nullable,
    )


def _list(*, nullable: bool = False, required: bool = False) -> Member:
    return Member(
        accepts=lambda value: isinstance(value, list),
        expected="a list",
        required=required,
        nullable=nullable,
    )


def _object(*, nullable: bool = False) -> Member:
    return Member(
        accepts=lambda value: isinstance(value, dict),
        expected="an object",
        nullable=nullable,
    )


# The router takes any value as true or false, the text "false" as true.
FLAG = Member(accepts=lambda value: isinstance(value, bool), expected="true or false")
DOCUMENT = {
    "version": _integer(required=True),
    "services": _list(required=True),
    "routes": _list(required=True),
    "limits": _object(),
    "tenants": _list(nullable=True),
}
LIMITS = {
    "maxHeaderBytes": _count(),
    "maxBodyBytes": _count(),
    "headerTimeoutMs": _positive(),
    "idleTimeoutMs": _positive(),
}
ROUTE = {
    "name": _text(required=True),
    "host": _text(required=True),
    "prefix": Member(accepts=is_text, expected="a text", required=True),
    "kind": Member(
        accepts=lambda value: isinstance(value, str) and value in KINDS,
        expected="one of " + ", ".join(KINDS),
        required=True,
    ),
    "timeoutMs": _positive(required=True),
    "targetLatencyMs": _number(nullable=True),
    "gapAimMs": _number(nullable=True),
    "maxAttempts": _count(),
    "priority": _integer(),
    "public": FLAG,
    "sticky": FLAG,
    "resumable": FLAG,
    "service": _text(),
    "trafficSplit": _list(nullable=True),
}
SHARE = {"service": _text(required=True), "weight": _number(required=True)}
SERVICE = {
    "name": _text(required=True),
    "maxConnections": _count(),
    "engine": _object(nullable=True),
    "kvStoreAddr": Member(accepts=is_text, expected="a text", nullable=True),
}
CACHE_STORE = {
    "name": _text(required=True),
    "kvStoreAddr": _text(required=True),
    "zone": _text(),
    "linkMbps": _positive(),
    "kvCapacityTokens": _count(),
}
ENGINE = {
    "slots": _count(required=True),
    "kvCapacityTokens": _count(required=True),
    "kvTokenBytes": _number(),
    "linkMbps": _positive(),
    "models": _list(),
}
MODEL = {"name": _text(required=True)}
TENANT = {
    "name": _text(required=True),
    "apiKeys": _list(),
    "priority": _integer(nullable=True),
    "isolated": FLAG,
    "ratePerS": _number(nullable=True),
    "burst": _number(nullable=True),
    "unit": Member(
        accepts=lambda value: isinstance(value, str) and value in QUOTA_UNITS,
        expected="one of " + ", ".join(QUOTA_UNITS) + "; else there is no limit",
    ),
    "plainTokens": _integer(),
}


def check_members(
    item: dict[str, Any], members: dict[str, Member]
) -> Iterator[tuple[str, str, str]]:
    """Yield name, message and remedy of each member that cannot be used."""
    for name, member in members.items():
        if name not in item:
            if member.required:
                yield name, "it is missing", f"add it as {member.expected}"
            continue
        value = item[name]
        if value is None and member.nullable:
            continue
        if not member.accepts(value):
            message = f"the value of type {type(value).__name__} cannot be used"
            if isinstance(value, int | float):
                message = f"the value {value} cannot be used"
            yield name, message, f"write {member.expected}"


def find_misspelt(
    item: dict[str, Any], members: dict[str, Member]
) -> Iterator[tuple[str, str]]:
    """Yield unknown names that resemble a member that is absent, and that member.

    Other unknown names are left alone: other programs read the configuration as well.
    """
    absent = [name for name in members if name not in item]
    for name in item:
        if name not in members:
            for meant in difflib.get_close_matches(
                name, absent, n=1, cutoff=MISSPELT_SIMILARITY
            ):
                yield name, meant
