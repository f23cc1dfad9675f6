"""Closes connections so that their peers can read everything that was written.

The kernel resets a connection that is closed while received bytes are unread, or to
which bytes come after its close, and drops what its peer has not acknowledged. So only
the sending side is shut down at first, and what still comes is read and dropped.

Source: RFC 9112, section 9.6.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from tornado.iostream import IOStream

# Time that a peer which has everything gets to close its side.
LINGER_S = 1.0
# Time that a peer which reads slowly gets.
MAX_LINGER_S = 30.0
DROP_BYTES = 64 * 1024


class LingeringCloser:
    """Closes connections, and waits for their peers.

    Attributes
    ----------
    until : float
        Time until which peers that have not acknowledged everything are waited for.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.until = float("inf")
        self._tasks: dict[asyncio.Task[None], None] = {}

    def __len__(self) -> int:
        """Return the number of connections that wait for their peers."""
        return len(self._tasks)

    def close(self, stream: IOStream) -> None:
        """Shut the sending side down; the stream must have written everything."""
        if stream.closed():
            return
        try:
            # The stream closes its own descriptor, which does not end the connection
            # as long as there is another one.
            sock = stream.socket.dup()
        except OSError:
            stream.close()
            return
        stream.close()
        task = asyncio.get_running_loop().create_task(self._drop_until_closed(sock))
        self._tasks[task] = None
        task.add_done_callback(lambda ended: self._tasks.pop(ended, None))

    def close_oldest(self) -> bool:
        """Close the connection that has waited for longest; return whether one did."""
        task = next(iter(self._tasks), None)
        if task is None:
            return False
        del self._tasks[task]
        task.cancel()
        return True

    async def wait(self, *, until: float) -> None:
        """Wait until the connections are closed, and close what is left at a time."""
        if not self._tasks:
            return
        tasks = set(self._tasks)
        await asyncio.wait(tasks, timeout=max(0.0, until - self.clock()))
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def _drop_until_closed(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            sock.setblocking(False)
            sock.shutdown(socket.SHUT_WR)
            linger_until = self.clock() + LINGER_S
            read_until = self.clock() + MAX_LINGER_S
            while True:
                now = self.clock()
                late = now >= linger_until and _unacknowledged_bytes(sock) == 0
                if late or now >= min(self.until, read_until):
                    return
                try:
                    async with asyncio.timeout(LINGER_S):
                        if not await loop.sock_recv(sock, DROP_BYTES):
                            return
                except TimeoutError:
                    continue
        except OSError:
            # The peer has reset the connection; nothing can be sent to it any more.
            return
        finally:
            sock.close()


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how much of what was written the peer's kernel has not acknowledged."""
    buffer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", buffer)[0])
