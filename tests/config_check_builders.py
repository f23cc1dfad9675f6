"""Valid configurations as the platform's operator writes them, and faults in them."""

import copy
import json
from typing import Any

from hypothesis import strategies as st

from endivelug.forwarding.config_check.rules import check_entries
from endivelug.platform.configuration_reader import (
    ConfigurationReader,
    describe_place,
    read_document,
)
from forwarding_builders import configuration_document

NAMES = st.text("abcdefgh", min_size=1, max_size=4)
NUMBERS = st.integers(1, 9000) | st.floats(0.5, 9000.0)


def find(document: Any) -> list[tuple[str, str, str]]:
    """Return severity, place and message of each finding."""
    reader = ConfigurationReader()
    entries = reader.read(read_document(json.dumps(document).encode()))
    return [
        (item.severity.value, describe_place(item.place), item.message)
        for item in [*reader.findings, *check_entries(entries)]
    ]


def change(path: str, value: Any, document: dict[str, Any] | None = None) -> Any:
    """Return a configuration with the value at a path such as ``routes/0/host``.

    ``...`` removes the member.
    """
    changed = copy.deepcopy(document or configuration_document())
    at: Any = changed
    *parents, last = (
        int(part) if part.isdecimal() else part for part in path.split("/")
    )
    for part in parents:
        at = at[part]
    if value is ...:
        del at[last]
    else:
        at[last] = value
    return changed


@st.composite
def services(draw: st.DrawFn, name: str) -> dict[str, Any]:
    slots = draw(st.integers(1, 200))
    item = {"name": name, "maxConnections": slots + draw(st.integers(0, 300))}
    if draw(st.booleans()):
        item["engine"] = {
            "slots": slots,
            "kvCapacityTokens": draw(st.integers(1, 10**6)),
            "models": [{"name": draw(NAMES)}],
        }
    return item


@st.composite
def routes(draw: st.DrawFn, number: int, names: list[str]) -> dict[str, Any]:
    timeout_ms = draw(st.integers(400, 60_000))
    kind = draw(st.sampled_from(["safe", "unsafe", "streaming"]))
    item = {
        "name": f"r{number}",
        "host": draw(st.sampled_from(["h.example", "H.other", "10.0.0.1"])),
        "prefix": draw(st.sampled_from(["/", "/a/", "/b"])) + f"{number}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "priority": draw(st.integers(0, 9)),
        "public": draw(st.booleans()),
    }
    for member in ("targetLatencyMs", "gapAimMs"):
        item[member] = draw(st.none() | st.integers(0, timeout_ms))
    if kind == "safe":
        # 1 s and more leave time for a second attempt, also of a generation.
        item["maxAttempts"] = draw(st.integers(1, 2 if timeout_ms >= 1000 else 1))
    if kind == "streaming" and draw(st.booleans()):
        item |= {"resumable": True, "maxAttempts": draw(st.integers(1, 5))}
    if draw(st.booleans()):
        item["service"] = draw(st.sampled_from(names))
    else:
        item["trafficSplit"] = [
            {"service": name, "weight": draw(NUMBERS)} for name in names
        ]
    return item


@st.composite
def organisations(draw: st.DrawFn, number: int) -> dict[str, Any]:
    item: dict[str, Any] = {
        "name": f"o{number}",
        "apiKeys": [f"k{number}", f"l{number}"],
    }
    if draw(st.booleans()):
        item |= {"ratePerS": draw(NUMBERS), "burst": draw(st.integers(500, 9000))}
        if draw(st.booleans()):
            item |= {"unit": "token_stream", "plainTokens": draw(st.integers(1, 500))}
    return item


@st.composite
def configurations(draw: st.DrawFn) -> dict[str, Any]:
    """Generate a valid configuration with at least two of each kind of entry."""
    names = draw(st.lists(NAMES, min_size=2, max_size=4, unique=True))
    count = draw(st.integers(2, 4))
    document: dict[str, Any] = {
        "version": draw(st.integers(0, 2**40)),
        "services": [draw(services(name)) for name in names],
        "routes": [draw(routes(number, names)) for number in range(count)],
        "tenants": [draw(organisations(number)) for number in range(count)],
        "otherPrograms": {"may": ["add", "members"]},
    }
    if draw(st.booleans()):
        document["limits"] = {"maxBodyBytes": draw(st.integers(1, 10**7))}
    if draw(st.booleans()):
        document["services"].append({"name": "store", "kvStoreAddr": "10.0.0.2:90"})
    return document
