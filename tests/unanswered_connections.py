"""Upstreams on loopback that leave connection attempts unanswered for a while."""

import socket
import struct

from router_process import wait_until

# State of a TCP connection in /proc/net/tcp whose first packet has no answer yet.
SYN_SENT = "02"
OPEN_BACKLOG = 128
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FullListener:
    """Takes the place of an upstream's listener; its queue of connections is full.

    The kernel drops the first packet of each further connection, as a lossy network
    does. Connections that were made before go on.
    """

    def __init__(self, upstream):
        upstream.server.close()
        host, port = upstream.address.split(":")
        self.address, self.port = upstream.address, int(port)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, self.port))
        self.socket.listen(0)
        self.queued = socket.create_connection((host, self.port))

    async def wait_for_attempt(self):
        """Wait until a connection attempt is under way and its first packet is lost."""
        await wait_until(lambda: self.port in _ports_of_attempts())

    def accept_again(self):
        """Accept further connections; what is lost by then is sent again after 1 s."""
        self.socket.listen(OPEN_BACKLOG)

    def reset_next(self):
        """Wait for the next connection without running the event loop, and reset it."""
        self.socket.accept()[0].close()
        connection, _ = self.socket.accept()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    def close(self):
        self.queued.close()
        self.socket.close()


def _ports_of_attempts():
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return {int(row[2].partition(":")[2], 16) for row in rows if row[3] == SYN_SENT}
