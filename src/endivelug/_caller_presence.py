"""Finds out whether callers have closed their connections, ahead of the event loop."""

import select
from collections.abc import Iterable
from typing import Any

from tornado.httputil import HTTPConnection

# Tornado reads the end of a connection only once everything before it has been read, so
# the callers of requests in progress are looked at in this interval too.
CALLER_CHECK_INTERVAL_S = 0.2


def closed_connections(
    connections: Iterable[HTTPConnection | None],
) -> list[HTTPConnection | None]:
    """Return the connections that the callers have closed.

    All are looked at in one system call. None stands for one that is gone already.
    """
    return _ready_connections(connections, select.POLLRDHUP)


def unread_connections(
    connections: Iterable[HTTPConnection | None],
) -> list[HTTPConnection | None]:
    """Return the connections of which the kernel has received unread bytes or an end.

    All are looked at in one system call. None stands for one that is gone already.
    """
    return _ready_connections(connections, select.POLLIN)


def _ready_connections(
    connections: Iterable[HTTPConnection | None], events: int
) -> list[HTTPConnection | None]:
    ready: list[HTTPConnection | None] = []
    by_descriptor: dict[int, HTTPConnection | None] = {}
    poller = select.poll()
    for connection in connections:
        stream: Any = getattr(connection, "stream", None)
        if stream is None or stream.closed():
            ready.append(connection)
            continue
        descriptor = stream.socket.fileno()
        by_descriptor[descriptor] = connection
        poller.register(descriptor, events)
    if by_descriptor:
        ready += [by_descriptor[descriptor] for descriptor, _ in poller.poll(0)]
    return ready
