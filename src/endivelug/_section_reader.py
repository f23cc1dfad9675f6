"""Parses and checks the values in one section of a list."""

import math
import re
from collections.abc import Callable
from typing import Any

from endivelug._ini import Section

# The limits apply because names become parts of table keys, URLs and metric labels.
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_NAME_REMEDY = (
    "use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
)


class SectionReader:
    """Reads the values of one section and collects problems.

    Parameters
    ----------
    section : Section
        Section to read.
    problems : list of str
        Receives one message for each invalid value.
    """

    def __init__(self, section: Section, problems: list[str]) -> None:
        self.section = section
        self.problems = problems

    def report(self, key: str, detail: str, remedy: str) -> None:
        """Record a problem with its place, value and remedy."""
        place = f"{self.section.path}:{self.section.line_number(key)}"
        label = f"[{self.section.name}]" + (f" {key}" if key else "")
        self.problems.append(f"{place}: {label}: {detail}; {remedy}")

    def check_section(self, *keys: str) -> None:
        """Check the name of the section, and report every other key than these."""
        for key in self.section.values.keys() - set(keys):
            remedy = f"remove it; known keys are {', '.join(keys)}"
            self.report(key, repr(self.section.values[key]), remedy)
        if not _NAME.fullmatch(self.section.name):
            self.report("", repr(self.section.name), _NAME_REMEDY)

    def text(self, key: str, remedy: str) -> str:
        """Return a required text; empty if it is missing."""
        value = self.section.values.get(key)
        if value is None:
            self.report(key, "missing", remedy)
        return value or ""

    def positive_number(
        self, key: str, convert: Callable[[str], Any], remedy: str
    ) -> Any:
        """Return a required finite number above 0; 1 if it is missing or invalid."""
        value = self.section.values.get(key)
        if value is None:
            self.report(key, "missing", remedy)
            return convert("1")
        try:
            number = convert(value)
            if number > 0 and math.isfinite(number):
                return number
        except ValueError:
            pass
        self.report(key, repr(value), remedy)
        return convert("1")

    def names(self, key: str, remedy: str, *, required: bool) -> tuple[str, ...]:
        """Return a sorted list of distinct names."""
        value = self.section.values.get(key)
        if value is None or (required and not value.strip()):
            if required:
                self.report(key, "missing" if value is None else "empty", remedy)
            return ()
        names = split_items(value)
        for name in sorted({name for name in names if not _NAME.fullmatch(name)}):
            self.report(key, repr(name), _NAME_REMEDY)
        for name in sorted({name for name in names if names.count(name) > 1}):
            self.report(key, repr(name), "write each name once")
        return tuple(sorted(set(names)))

    def pairs(
        self, key: str, names: tuple[str, ...], remedy: str, *, required: bool
    ) -> dict[str, str]:
        """Return ``name=setting`` pairs, one for each of ``names``."""
        value = self.section.values.get(key)
        if value is None:
            if required:
                self.report(key, "missing", remedy)
            return {}
        pairs: dict[str, str] = {}
        for item in split_items(value):
            name, equals, setting = (part.strip() for part in item.partition("="))
            if not equals or not _NAME.fullmatch(setting):
                self.report(key, repr(item), remedy)
            elif name in pairs:
                self.report(key, repr(item), f"write {name} once")
            elif name not in names:
                known = ", ".join(names) or "none"
                self.report(key, repr(item), f"name one of this plan's: {known}")
            pairs[name] = setting
        for name in names:
            if name not in pairs:
                self.report(key, repr(value), f"add {name}=...; {remedy}")
        return {name: pairs.get(name, "") for name in names}


def split_items(value: str) -> list[str]:
    """Split a value at commas, blanks and line ends."""
    return [part for part in re.split(r"[,\s]+", value) if part]
