"""Options and state of the sockets of connections to upstreams."""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from contextlib import suppress

# The kernel closes a connection whose peer acknowledges nothing for this long.
USER_TIMEOUT_MS = 4000
# On, and no time to send what is left: closing discards it and resets the connection.
_DISCARD_UNSENT = struct.pack("ii", 1, 0)


def set_options(transport: asyncio.Transport) -> None:
    """Set the options of a new connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Not available on every platform; the timeouts of requests still apply.
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def discard_unsent(transport: asyncio.Transport) -> None:
    """Make the kernel drop what the peer has not taken when the connection is closed.

    It would otherwise go on sending, for as long as the upstream does not read or
    cannot be reached, and a request that was given up would still arrive. A connection
    that has nothing left to send is closed as usual.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # A socket that is closed already has nothing left to send.
    with suppress(OSError):
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        if any(count):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)


def has_unread(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds bytes, or the end, that were not read yet.

    The event loop learns of them in one of its next turns, after a pause of the process
    only once all expired timers have run.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))
