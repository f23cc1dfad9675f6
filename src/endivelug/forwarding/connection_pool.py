"""Kept connections to upstreams, by address."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.upstream_connection import (
    BodyData,
    BodyEnd,
    RequestHead,
    ResponseHead,
    UpstreamConnection,
    connect,
)

# Idle time after which a connection is not used again, unless the upstream says less.
IDLE_S = 20.0
# Margin before the upstream's own idle timeout.
IDLE_MARGIN_S = 0.5
MAX_IDLE = 64


@dataclass(slots=True, kw_only=True)
class _Kept:
    connection: UpstreamConnection
    since: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SmallAnswer:
    """A whole answer of a call whose body is small."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True, kw_only=True)
class ConnectionPool:
    """Idle connections by address, the most recently used first.

    Attributes
    ----------
    opened : int
        Connections opened so far.
    """

    clock: Callable[[], float]
    idle: dict[str, list[_Kept]] = field(default_factory=dict)
    opened: int = 0

    async def acquire(
        self, address: str, *, timeout_s: float, max_idle_s: float = IDLE_S
    ) -> UpstreamConnection:
        """Return a kept connection or a new one.

        Parameters
        ----------
        max_idle_s : float
            Longest idle time of a kept one; short where a request may not be repeated.

        Raises
        ------
        UpstreamUnreachable
            Where no connection was made in time.
        """
        now = self.clock()
        kept = self.idle.get(address, [])
        while kept:
            item = kept.pop()
            connection = item.connection
            fresh = now < min(connection.idle_until, item.since + max_idle_s)
            if connection.reusable and fresh:
                return connection
            connection.abort()
        self.opened += 1
        return await connect(address, timeout_s=timeout_s, clock=self.clock)

    def release(
        self, address: str, connection: UpstreamConnection, *, idle_s: float | None
    ) -> None:
        """Keep a connection whose answer is complete, or close it.

        Parameters
        ----------
        idle_s : float or None
            Idle timeout that the upstream stated.
        """
        kept = self.idle.setdefault(address, [])
        if not connection.reusable or len(kept) >= MAX_IDLE:
            connection.abort()
            return
        now = self.clock()
        limit_s = IDLE_S if idle_s is None else max(0.0, idle_s - IDLE_MARGIN_S)
        connection.idle_until = now + limit_s
        kept.append(_Kept(connection=connection, since=now))

    def drop(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for item in self.idle.pop(address, []):
            item.connection.abort()

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        now = self.clock()
        for address, kept in list(self.idle.items()):
            good = []
            for item in kept:
                expired = now >= min(item.connection.idle_until, item.since + IDLE_S)
                if expired or not item.connection.reusable:
                    item.connection.abort()
                else:
                    good.append(item)
            if good:
                self.idle[address] = good
            else:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self.idle):
            self.drop(address)

    async def call(
        self,
        address: str,
        head: RequestHead,
        body: bytes = b"",
        *,
        timeout_s: float,
        connect_timeout_s: float = 1.0,
    ) -> SmallAnswer:
        """Send a request and return its whole answer.

        Raises
        ------
        UpstreamUnreachable
            Where no connection was made; nothing was sent.
        UpstreamBroken
            Where the answer was lost; the request may have run.
        """
        connection = await self.acquire(
            address, timeout_s=min(timeout_s, connect_timeout_s)
        )
        done = False
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(head, body, accepts=lambda answer: True)
                answer = await self._collect(connection)
            done = True
        except TimeoutError as error:
            raise UpstreamBroken(
                f"{address} did not answer in time; read back before a repeat"
            ) from error
        finally:
            if done:
                self.release(address, connection, idle_s=None)
            else:
                connection.abort()
        return answer

    async def _collect(self, connection: UpstreamConnection) -> SmallAnswer:
        head: ResponseHead | None = None
        body = bytearray()
        while True:
            match await connection.next_event():
                case ResponseHead() as received:
                    head = received
                case BodyData(data=data):
                    body += data
                case BodyEnd():
                    assert head is not None
                    return SmallAnswer(head=head, body=bytes(body))
