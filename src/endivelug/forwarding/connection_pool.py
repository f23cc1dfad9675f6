"""A pool of idle connections to upstreams, by address."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.exceptions import UpstreamBroken, UpstreamUnreachable
from endivelug.forwarding.response_parser import (
    MAX_RESPONSE_BYTES,
    BodyData,
    BodyEnd,
    ResponseHead,
)
from endivelug.forwarding.upstream_connection import (
    RequestHead,
    UpstreamConnection,
    connect,
)

# Idle time after which a connection is not reused, unless the upstream states less.
MAX_IDLE_S = 20.0
# A connection is not reused within this time before the upstream's idle timeout.
IDLE_MARGIN_S = 0.5
MAX_IDLE_PER_ADDRESS = 64


@dataclass(slots=True, kw_only=True)
class _IdleEntry:
    """A connection and the time since which it has been idle."""

    connection: UpstreamConnection
    since: float


@dataclass(slots=True, kw_only=True, frozen=True)
class BufferedResponse:
    """A complete response, for calls whose response bodies are small."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True, kw_only=True)
class ConnectionPool:
    """Keeps idle connections by address and reuses the most recently used first.

    Attributes
    ----------
    opened_total : int
        Connections opened so far.
    """

    clock: Callable[[], float]
    idle: dict[str, list[_IdleEntry]] = field(default_factory=dict)
    opened_total: int = 0

    async def acquire(
        self, address: str, *, timeout_s: float, max_idle_s: float = MAX_IDLE_S
    ) -> UpstreamConnection:
        """Return an idle connection or a new one.

        Parameters
        ----------
        max_idle_s : float
            Longest idle time of a reused connection; short if the request must not be
            repeated.

        Raises
        ------
        UpstreamUnreachable
            If no connection was made in time.
        """
        now = self.clock()
        entries = self.idle.get(address, [])
        while entries:
            entry = entries.pop()
            connection = entry.connection
            unexpired = now < min(connection.idle_until, entry.since + max_idle_s)
            if connection.reusable and unexpired:
                return connection
            connection.abort()
        self.opened_total += 1
        return await connect(address, timeout_s=timeout_s, clock=self.clock)

    def release(
        self, address: str, connection: UpstreamConnection, *, idle_s: float | None
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused.

        Parameters
        ----------
        idle_s : float or None
            Idle timeout that the upstream stated, if any.
        """
        entries = self.idle.setdefault(address, [])
        if not connection.reusable or len(entries) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        now = self.clock()
        limit_s = MAX_IDLE_S if idle_s is None else max(0.0, idle_s - IDLE_MARGIN_S)
        connection.idle_until = now + limit_s
        entries.append(_IdleEntry(connection=connection, since=now))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for entry in self.idle.pop(address, []):
            entry.connection.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self.clock()
        for address, entries in list(self.idle.items()):
            usable = []
            for entry in entries:
                expired = now >= min(
                    entry.connection.idle_until, entry.since + MAX_IDLE_S
                )
                if expired or not entry.connection.reusable:
                    entry.connection.abort()
                else:
                    usable.append(entry)
            if usable:
                self.idle[address] = usable
            else:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self.idle):
            self.close_idle(address)

    async def request(
        self,
        address: str,
        head: RequestHead,
        body: bytes = b"",
        *,
        timeout_s: float,
        connect_timeout_s: float = 1.0,
        may_send: Callable[[], bool] | None = None,
    ) -> BufferedResponse:
        """Send a request and return the complete response.

        Parameters
        ----------
        may_send : callable or None
            Called once a connection is open; if it returns False, nothing is sent.

        Raises
        ------
        UpstreamUnreachable
            If no connection was made or ``may_send`` returned False; nothing was sent.
        UpstreamBroken
            If the response was lost; the request may have run.
        """
        connection = await self.acquire(
            address, timeout_s=min(timeout_s, connect_timeout_s)
        )
        if may_send is not None and not may_send():
            self.release(address, connection, idle_s=None)
            raise UpstreamUnreachable(
                f"the request to {address} may no longer be sent; nothing was sent"
            )
        done = False
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(head, body, accepts=lambda response: True)
                response = await self._read_response(connection)
            done = True
        except TimeoutError as error:
            raise UpstreamBroken(
                f"{address} did not respond in time; check whether the request ran "
                "before repeating it"
            ) from error
        finally:
            if done:
                self.release(address, connection, idle_s=None)
            else:
                connection.abort()
        return response

    async def _read_response(self, connection: UpstreamConnection) -> BufferedResponse:
        head = await connection.next_event()
        assert isinstance(head, ResponseHead)
        return BufferedResponse(head=head, body=await read_body(connection))


async def read_body(connection: UpstreamConnection) -> bytes:
    """Return the rest of a response.

    Raises
    ------
    UpstreamBroken
        If it is incomplete or longer than ``MAX_RESPONSE_BYTES``.
    """
    body = bytearray()
    while True:
        match await connection.next_event():
            case BodyData(data=data):
                body += data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise UpstreamBroken(
                        "the answer is too long to be kept; look at the upstream"
                    )
            case BodyEnd():
                return bytes(body)
