"""Structured log lines for changes of state, as JSON on standard output."""

import sys
from typing import Any

import eliot


def start_logging(*, program: str, vm: str) -> None:
    """Send log lines to standard output.

    Parameters
    ----------
    program, vm : str
        Added to every line.
    """
    eliot.add_global_fields(program=program, vm=vm)
    eliot.to_file(sys.stdout)


def log_change(event: str, **fields: Any) -> None:
    """Log one change of state.

    Parameters
    ----------
    event : str
        Kind of the change, for example ``router-ready``; docs/OPERATIONS.md lists
        all of them.
    **fields : Any
        Values that an operator needs; never a key, prompt or answer.
    """
    eliot.log_message(message_type=event, **fields)
