"""Output of ``endivelugctl``: text lines or one JSON object."""

import json
import sys
from typing import Any

from endivelug.exceptions import EndivelugError, ListError, RevisionConflict


class Output:
    """Prints text lines, or collects the members of one JSON object.

    Parameters
    ----------
    as_json : bool
        Print one JSON object at the end instead of lines.
    """

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json
        self.members: dict[str, Any] = {}

    def write_line(self, text: str, **members: Any) -> None:
        """Print a line, or add its members to the JSON object."""
        self.members.update(members)
        if not self.as_json:
            print(text, flush=True)

    def write_progress(self, text: str) -> None:
        """Print a progress message on standard error."""
        print(text, file=sys.stderr, flush=True)

    def finish(self) -> None:
        """Print the JSON object, if the output is JSON."""
        if self.as_json:
            print(json.dumps(self.members))

    def write_error(self, error: EndivelugError, *, exit_code: int) -> None:
        """Print an error on standard error, or as the JSON object."""
        if not self.as_json:
            print(error, file=sys.stderr)
            return
        self.members.update(
            error=type(error).__name__, message=str(error), exit_code=exit_code
        )
        match error:
            case ListError():
                self.members["problems"] = error.problems
            case RevisionConflict():
                self.members["expected"] = error.expected
                self.members["actual"] = error.actual
                self.members["changes"] = error.changes
        self.finish()
