"""Bound on what the answers that are kept until their end hold in all.

Load pattern: a faulty upstream answers many requests at once without end. Each answer
alone is within the longest that is kept, all of them together are not. The longest is
ended first, so that sound answers, which are shorter, stay.
"""

from weakref import WeakSet

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.buffers.memory_account import (
    MEBIBYTE,
    SMALL_BODY_BYTES,
    account_bytes,
)
from endivelug.forwarding.upstream_connection import UpstreamConnection

# Part of the account of a VM that kept answers may occupy; the rest is left to the
# bodies of callers.
KEPT_PART = 0.5
# Bound on a VM that states no memory: eight answers of the longest length.
DEFAULT_KEPT_BYTES = 64 * MEBIBYTE
# An answer up to this length is always kept.
SMALL_ANSWER_BYTES = SMALL_BODY_BYTES


def kept_answer_bytes(memory_mb: float) -> int:
    """Return the bound of a VM; 0 MB if its memory is not stated.

    Examples
    --------
    >>> kept_answer_bytes(160) // MEBIBYTE, kept_answer_bytes(0) // MEBIBYTE
    (33, 64)
    """
    if memory_mb <= 0:
        return DEFAULT_KEPT_BYTES
    return int(account_bytes(memory_mb) * KEPT_PART)


class KeptAnswers:
    """Records what answers hold, and ends the longest ones beyond the bound.

    Attributes
    ----------
    limit_bytes : int
        Bytes that all answers above ``SMALL_ANSWER_BYTES`` may hold together.
    ended_total : int
        Answers ended because of the bound.
    """

    def __init__(self, *, limit_bytes: int = DEFAULT_KEPT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.ended_total = 0
        self._long: WeakSet[UpstreamConnection] = WeakSet()
        self._complete: WeakSet[UpstreamConnection] = WeakSet()
        self._ended: WeakSet[UpstreamConnection] = WeakSet()

    def hold(self, connection: UpstreamConnection, held_bytes: int) -> None:
        """Charge what the reader of an answer holds, before it holds it.

        Raises
        ------
        UpstreamBroken
            If there is no room for it.
        """
        connection.keep(held_bytes - connection.kept_bytes)
        if held_bytes <= SMALL_ANSWER_BYTES:
            return
        self._long.add(connection)
        self._complete.discard(connection)
        self._end_longest()
        self.check(connection)

    def complete(self, connection: UpstreamConnection) -> None:
        """Record that an answer is complete, so that it is not ended any more."""
        if connection in self._long:
            self._complete.add(connection)

    def check(self, connection: UpstreamConnection) -> None:
        """Raise ``UpstreamBroken`` if the answer was ended because of the bound."""
        if connection in self._ended:
            raise UpstreamBroken(
                "no memory is left for so long an answer; look at the upstream"
            )

    def _end_longest(self) -> None:
        # A connection that is released holds nothing, and one that is aborted has no
        # account any more.
        for connection in list(self._long):
            if connection.account is None or not connection.kept_bytes:
                self._long.discard(connection)
        held_bytes = sum(connection.kept_bytes for connection in self._long)
        while held_bytes > self.limit_bytes:
            longest = max(
                self._long - self._complete,
                key=lambda connection: connection.kept_bytes,
                default=None,
            )
            if longest is None:
                return
            held_bytes -= longest.kept_bytes
            self._long.discard(longest)
            self._ended.add(longest)
            self.ended_total += 1
            longest.abort()
