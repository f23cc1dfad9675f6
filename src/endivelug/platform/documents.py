"""JSON documents of other writers."""

import json
from typing import Any

from endivelug.exceptions import EndivelugError


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
