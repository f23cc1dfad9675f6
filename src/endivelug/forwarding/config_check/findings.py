"""Results of the validation of a configuration."""

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Whether a configuration with the finding may be sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, kw_only=True, frozen=True)
class Place:
    """Location within a configuration.

    Attributes
    ----------
    section : str
        Kind of the entry, such as ``route``; empty for the whole configuration.
    name : str
        Name of the entry.
    member : str
        Attribute of the entry; empty for the whole entry.
    """

    section: str = ""
    name: str = ""
    member: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """One fault of a configuration, with what to do about it."""

    severity: Severity
    place: Place
    message: str
    remedy: str


def error(place: Place, message: str, *, remedy: str) -> Finding:
    """Return a finding that forbids sending the configuration."""
    return Finding(severity=Severity.ERROR, place=place, message=message, remedy=remedy)


def warning(place: Place, message: str, *, remedy: str) -> Finding:
    """Return a finding with which the configuration may be sent."""
    return Finding(
        severity=Severity.WARNING, place=place, message=message, remedy=remedy
    )
