"""Tests that KNOWN-RED.txt lists: they run, must fail, and are printed."""

import re
from pathlib import Path

import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^test (\S+::\S+) \((issue \d+)\)$", re.MULTILINE)


def listed_failures(text: str) -> dict[str, str]:
    """Return the issue of each listed test, by its node id."""
    return dict(_ENTRY.findall(text))


def mark_listed(items: list[pytest.Item], listed: dict[str, str]) -> None:
    """Expect the listed tests to fail; one that passes fails the run."""
    for item in items:
        issue = listed.get(item.nodeid)
        if issue is not None:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"KNOWN-RED.txt, {issue}")
            )
