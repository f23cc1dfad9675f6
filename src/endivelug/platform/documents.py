"""JSON documents of other writers."""

import ipaddress
import json
from typing import Any, TypeGuard

from endivelug.exceptions import EndivelugError

# Larger whole numbers are not exact for most writers of JSON, and overflow in
# calculations here.
MAX_INTEGER = 2**53 - 1
MAX_PORT = 65535


class DocumentUnreadable(EndivelugError):
    """Bytes are not the JSON object that they should be; look at their writer."""


def read_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object that bytes hold.

    Raises
    ------
    DocumentUnreadable
        If they hold none, or one that is nested too deeply to be read.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentUnreadable(f"this is not readable JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentUnreadable("this is not a JSON object")
    return document


def is_integer(value: object, *, minimum: int = 0) -> TypeGuard[int]:
    """Return whether a value is a whole number of a usable size."""
    return type(value) is int and minimum <= value <= MAX_INTEGER


def is_text(value: object) -> TypeGuard[str]:
    """Return whether a value is a text that can be sent on; half a surrogate can't."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_name(value: object) -> bool:
    """Return whether a value can be a name in a header: visible ASCII characters."""
    return (
        isinstance(value, str)
        and value != ""
        and all("!" <= character <= "~" for character in value)
    )


def is_address(value: object) -> bool:
    """Return whether a value is an IPv4 address and port that can be connected to."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= MAX_PORT
