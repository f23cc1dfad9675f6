"""The body of one request while it is read, charged before its bytes are held."""

import asyncio
from collections.abc import Callable

from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.memory_account import Holder, HolderKind

# Bytes read from a caller at once; as much is charged before each read.
READ_BYTES = 32 * 1024


class HeldBody:
    """Collects a body; the account holds its bytes and those of the next read.

    Parameters
    ----------
    expected_bytes : int or None
        Announced length; None if the body comes in chunks.
    limit_bytes : int
        Longest body that the configuration allows.
    close : callable
        Closes the connection of the caller.
    """

    def __init__(
        self,
        *,
        guard: ClientGuard,
        address: str,
        organisation: str | None,
        expected_bytes: int | None,
        limit_bytes: int,
        close: Callable[[], None],
    ) -> None:
        self.guard = guard
        self.limit_bytes = limit_bytes
        self.holder = Holder(
            kind=HolderKind.BODY,
            address=address,
            organisation=organisation,
            expected_bytes=expected_bytes,
        )
        self.data = bytearray()
        self.released = False
        guard.watch(self.holder, close)

    @property
    def too_long(self) -> bool:
        """Whether more has come than the configuration allows."""
        return len(self.data) > self.limit_bytes

    def request_room(self) -> asyncio.Future[bool] | None:
        """Charge the next read; None if it may begin, else a future to wait for."""
        if self.released:
            return None
        held = len(self.data)
        needed = held + READ_BYTES
        if self.holder.expected_bytes is not None:
            needed = min(needed, self.holder.expected_bytes)
        count = needed - self.holder.held_bytes
        return self.guard.request_room(self.holder, count) if count > 0 else None

    def add(self, chunk: bytes) -> None:
        """Append what was read."""
        if self.released:
            return
        self.data += chunk
        self.guard.record_progress(self.holder, len(chunk))

    def complete(self) -> bytes:
        """Return the whole body; its charge stays until ``release``."""
        self.holder.deadline = float("inf")
        body = bytes(self.data)
        # Only one copy is kept while the request is served.
        self.data = bytearray()
        return body

    def release(self) -> None:
        """Drop the body and return its charge; a second call has no effect."""
        self.released = True
        self.data = bytearray()
        self.guard.release(self.holder)
