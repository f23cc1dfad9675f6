"""Connections without a request, and heads that take too long."""

from collections.abc import Callable

from endivelug._caller_presence import unread_connections
from endivelug.forwarding.buffers.client_guard import (
    CONNECTION_BYTES,
    ClientGuard,
    CloseReason,
)
from endivelug.forwarding.buffers.request_reader import RequestReader

# Interval in which heads are looked at; each look costs a little for each connection.
HEAD_CHECK_INTERVAL_S = 1.0
# A caller that keeps a connection often sends its next request within this time after
# an answer. It would cross the close, while it can be refused in order.
REUSE_S = 1.0


class IdleConnections:
    """Readers that wait for a request, the longest waiting first.

    Parameters
    ----------
    header_timeout_s : callable
        Returns the time for a head from its first byte.

    Attributes
    ----------
    readers : dict of RequestReader to float
        Since when each reader waits.
    """

    def __init__(
        self, *, guard: ClientGuard, header_timeout_s: Callable[[], float]
    ) -> None:
        self.guard = guard
        self.header_timeout_s = header_timeout_s
        self.readers: dict[RequestReader, float] = {}
        self._next_check_at = 0.0

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self.readers)

    def add(self, reader: RequestReader) -> None:
        """Add a connection that waits for a request."""
        self.readers[reader] = self.guard.clock()

    def discard(self, reader: RequestReader) -> None:
        """Remove a connection whose request has begun, or that has closed."""
        self.readers.pop(reader, None)

    def quiet(self, *, with_begun: bool) -> list[RequestReader]:
        """Return the readers of connections on which nothing arrives any more.

        Parameters
        ----------
        with_begun : bool
            Whether to include those on which a part of a head has arrived.
        """
        last = self.guard.clock() - REUSE_S
        waiting = [
            item
            for item, since in self.readers.items()
            if since <= last and (with_begun or not item.buffered_bytes)
        ]
        # The event loop may not have read yet what the kernel has received.
        unread = set(unread_connections(item.connection for item in waiting))
        return [item for item in waiting if item.connection not in unread]

    def close_oldest(self) -> bool:
        """Close the connection that has waited for longest; return whether one did."""
        reader = next(iter(self.readers), None)
        if reader is None:
            return False
        self._close(reader, CloseReason.CONNECTION_IDLE)
        return True

    def sweep(self, *, connections: int) -> None:
        """Charge the connections and heads, and close heads that take too long."""
        now = self.guard.clock()
        if now < self._next_check_at:
            return
        self._next_check_at = now + HEAD_CHECK_INTERVAL_S
        held = connections * CONNECTION_BYTES
        begun: list[RequestReader] = []
        for reader in list(self.readers):
            count = reader.buffered_bytes
            if not count:
                reader.head_deadline = float("inf")
                continue
            if reader.head_deadline == float("inf"):
                # The head may have begun just after the last look.
                reader.head_deadline = now + self.header_timeout_s()
            elif now >= reader.head_deadline:
                self._close(reader, CloseReason.HEAD_SLOW)
                continue
            held += count
            begun.append(reader)
        self.guard.charge_connections(held)
        account = self.guard.account
        for reader in begun:
            if account.held_bytes <= account.total_bytes:
                break
            held -= reader.buffered_bytes
            self._close(reader, CloseReason.HEAD_EVICTED)
            self.guard.charge_connections(held)

    def _close(self, reader: RequestReader, reason: CloseReason) -> None:
        self.discard(reader)
        self.guard.record_close(reason, address=reader.address)
        reader.close()
