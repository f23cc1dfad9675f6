"""Tests that KNOWN-RED.txt lists: they run, and are printed if they fail."""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^(flaky )?test (\S+::\S+) \((issue \d+)\)$", re.MULTILINE)


@dataclass(slots=True, kw_only=True, frozen=True)
class KnownFailure:
    """Entry of a test that fails, always or at times."""

    issue: str
    flaky: bool


def listed_failures(text: str) -> dict[str, KnownFailure]:
    """Return the entries of the list by the node ids of their tests."""
    return {
        node_id: KnownFailure(issue=issue, flaky=bool(flaky))
        for flaky, node_id, issue in _ENTRY.findall(text)
    }


def mark_listed(items: list[pytest.Item], listed: dict[str, KnownFailure]) -> None:
    """Let the listed tests fail; one that is not flaky must fail."""
    for item in items:
        known = listed.get(item.nodeid)
        if known is not None:
            reason = f"KNOWN-RED.txt, {known.issue}"
            item.add_marker(pytest.mark.xfail(strict=not known.flaky, reason=reason))
