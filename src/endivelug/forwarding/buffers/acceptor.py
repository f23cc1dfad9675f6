"""Accepts connections of clients up to a bound, and pauses instead of failing."""

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

BACKLOG = 1024
# Connections accepted in one turn of the event loop.
MAX_ACCEPTED_A_TURN = 128
# Pause after the bound is reached or the process has no descriptor left.
PAUSE_S = 0.05


class Acceptor:
    """Listens on one address.

    Parameters
    ----------
    has_room : callable
        Returns whether one more connection may be accepted.
    on_accepted : callable
        Called with the stream and the remote address of a connection.
    max_buffer_size, read_chunk_size : int
        Sizes of the read buffer of a stream.
    """

    def __init__(
        self,
        *,
        has_room: Callable[[], bool],
        on_accepted: Callable[[IOStream, tuple[str, int]], None],
        max_buffer_size: int,
        read_chunk_size: int,
    ) -> None:
        self.has_room = has_room
        self.on_accepted = on_accepted
        self.max_buffer_size = max_buffer_size
        self.read_chunk_size = read_chunk_size
        self.sockets: list[socket.socket] = []
        self.pauses = 0
        self._resumes: dict[socket.socket, asyncio.TimerHandle] = {}

    def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        for sock in bind_sockets(port, address=host, backlog=BACKLOG):
            self.sockets.append(sock)
            self._resume(sock)

    def stop(self) -> None:
        """Accept what has connected already, and refuse new connections."""
        loop = asyncio.get_running_loop()
        for sock in self.sockets:
            # The kernel resets connections that wait when their listener closes.
            while sock not in self._resumes and self._accept(sock):
                pass
            resume = self._resumes.pop(sock, None)
            if resume is not None:
                resume.cancel()
            loop.remove_reader(sock)
            sock.close()
        self.sockets.clear()

    def _resume(self, sock: socket.socket) -> None:
        self._resumes.pop(sock, None)
        asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def _pause(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock)
        self.pauses += 1
        self._resumes[sock] = loop.call_later(PAUSE_S, self._resume, sock)

    def _accept(self, sock: socket.socket) -> bool:
        """Accept connections; return whether more may wait."""
        for _ in range(MAX_ACCEPTED_A_TURN):
            if not self.has_room():
                self._pause(sock)
                return False
            try:
                connection, address = sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except ConnectionAbortedError:
                continue
            except OSError:
                # No descriptors or memory are left. Accepting again at once would use
                # up the processor.
                self._pause(sock)
                return False
            connection.setblocking(False)
            stream = IOStream(
                connection,
                max_buffer_size=self.max_buffer_size,
                read_chunk_size=self.read_chunk_size,
            )
            self.on_accepted(stream, address)
        return True
