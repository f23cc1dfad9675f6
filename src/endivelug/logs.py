"""Structured logging of state changes, as JSON lines on standard output."""

import sys
from typing import Any

import eliot


def start_logging(*, program: str, vm: str) -> None:
    """Write log lines to standard output.

    Parameters
    ----------
    program, vm : str
        Name of the program and of the VM, added to every line.
    """
    eliot.add_global_fields(program=program, vm=vm)
    eliot.to_file(sys.stdout)


def log_change(event: str, **fields: Any) -> None:
    """Log one state change.

    Parameters
    ----------
    event : str
        Kind of the change, for example ``router-ready``; docs/OPERATIONS.md lists
        all kinds.
    **fields : Any
        Values for the operator. API keys, prompts and responses are never logged.
    """
    eliot.log_message(message_type=event, **fields)
