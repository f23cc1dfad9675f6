"""Bound on what the responses that are being read hold in all.

A faulty service may answer many calls at once without end. Each response alone is
within the longest that is read, all of them together are not. The longest is ended
first, so that sound responses, which are shorter, stay.
"""

import asyncio
from collections.abc import Awaitable

# The rest of an ended response is dropped in parts of 64 KiB with this pause, until its
# call's time limit: tornado's client cannot be told to close one connection.
DROP_PAUSE_S = 0.1


class ResponseBody:
    """The body of one response, as far as it was read.

    Attributes
    ----------
    ended : asyncio.Future
        Done once the response was ended because of the bound.
    held_bytes : int
        Length of what was read.
    """

    def __init__(self, *, memory: "ResponseMemory") -> None:
        self.memory = memory
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.held_bytes = 0
        self._parts: list[bytes] = []

    def add(self, part: bytes) -> Awaitable[None] | None:
        """Add a part; return what the reader has to wait for before the next one."""
        if not self.ended.done():
            self._parts.append(part)
            self.held_bytes += len(part)
            self.memory.end_longest()
        return asyncio.sleep(DROP_PAUSE_S) if self.ended.done() else None

    def take(self) -> bytes:
        """Return the complete body."""
        return b"".join(self._parts)

    def end(self) -> None:
        """Drop what was read, and what is still to come."""
        self._parts.clear()
        self.held_bytes = 0
        if not self.ended.done():
            self.ended.set_result(None)


class ResponseMemory:
    """Ends the longest of the responses that are being read beyond a bound.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all of them may hold together.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.bodies: set[ResponseBody] = set()

    def open(self) -> ResponseBody:
        """Return the body of a new response; ``close`` has to follow."""
        body = ResponseBody(memory=self)
        self.bodies.add(body)
        return body

    def close(self, body: ResponseBody) -> None:
        """Forget a response that is not read any more."""
        self.bodies.discard(body)
        body.end()

    def end_longest(self) -> None:
        """End responses until the others are within the bound."""
        while sum(body.held_bytes for body in self.bodies) > self.limit_bytes:
            max(self.bodies, key=lambda body: body.held_bytes).end()
