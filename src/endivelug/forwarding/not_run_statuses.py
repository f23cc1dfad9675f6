"""Statuses that promise a caller that its request did not run and never will."""

from endivelug.forwarding.calls import Call, Failed

PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})


def promises_wrongly(call: Call, failure: Failed) -> bool:
    """Return whether passing a failure on would promise what nobody has stated.

    The upstream gave the status without stating that the request did not run. A caller
    sends a request that may run only once again after such a status; one that may run
    again is repeated after any failure.
    """
    return not call.repeatable and failure.head.status in PROMISED_NOT_RUN
