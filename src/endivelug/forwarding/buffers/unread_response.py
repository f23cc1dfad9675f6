"""What is held of a response while its caller does not read it."""

import asyncio
from collections.abc import Callable

from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.memory_account import (
    BODY_PROGRESS,
    Holder,
    HolderKind,
)

# A longer body is written in parts of this length, so that a slow reader's progress
# shows.
WRITE_BYTES = 64 * 1024


class UnreadResponse:
    """Waits for a caller to read, and closes one that reads too slowly.

    Parameters
    ----------
    close : callable
        Closes the connection of the caller.
    """

    def __init__(
        self, *, guard: ClientGuard, address: str, close: Callable[[], None]
    ) -> None:
        self.guard = guard
        self.close = close
        self.holder = Holder(kind=HolderKind.RESPONSE, address=address)

    async def wait(self, written: asyncio.Future[None], count: int) -> None:
        """Wait until bytes that the socket did not take at once are written."""
        holder, guard = self.holder, self.guard
        if holder.deadline == float("inf"):
            guard.watch(holder, self.close)
        else:
            BODY_PROGRESS.resume(holder, now=guard.clock())
        guard.account.charge(holder, count)
        try:
            await written
        finally:
            guard.account.charge(holder, -min(count, holder.held_bytes))
            guard.record_progress(holder, count)
            # Until the next write the upstream is waited for, not the caller.
            BODY_PROGRESS.pause(holder, now=guard.clock())

    def release(self) -> None:
        """Return what is charged; a second call has no effect."""
        self.guard.release(self.holder)
