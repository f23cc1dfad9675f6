"""What the error of a connection attempt says of the upstream; nothing was sent."""

import errno

from endivelug.exceptions import (
    NoDescriptor,
    UpstreamNotAnswering,
    UpstreamNotListening,
    UpstreamUnreachable,
)

# This process or its host has no socket, port or memory left.
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM}
)
# Neither the upstream nor its host has answered.
NO_ANSWER_ERRORS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN}
)


def connect_error(address: str, error: Exception) -> UpstreamUnreachable:
    """Return the typed error of a connection attempt."""
    code = getattr(error, "errno", None)
    if code in LOCAL_ERRORS:
        return NoDescriptor(f"no socket for {address} ({error}); look at the callers")
    message = f"no connection to {address} ({error or 'timeout'}); use another upstream"
    if isinstance(error, ConnectionRefusedError):
        return UpstreamNotListening(message)
    # The time limit of the attempt has no code.
    if isinstance(error, TimeoutError) or code in NO_ANSWER_ERRORS:
        return UpstreamNotAnswering(message)
    return UpstreamUnreachable(message)
