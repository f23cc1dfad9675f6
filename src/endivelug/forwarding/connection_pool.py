"""A pool of idle connections to upstreams, by address and use.

An upstream may send a second copy of an answer, late, on a connection that is in use
again. The id of a request tells its answer from those of other requests, but not from
those of its other attempts. So no connection carries a request twice, and what carries
no id has connections of its own.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from endivelug.exceptions import NoDescriptor, UpstreamBroken, UpstreamUnreachable
from endivelug.forwarding.buffers.kept_answers import KeptAnswers
from endivelug.forwarding.buffers.memory_account import (
    DEFAULT_TOTAL_BYTES,
    MemoryAccount,
)
from endivelug.forwarding.response_parser import (
    MAX_RESPONSE_BYTES,
    BodyData,
    BodyEnd,
    ResponseHead,
)
from endivelug.forwarding.upstream_connection import (
    RequestHead,
    UpstreamConnection,
    Use,
    connect,
)

# Idle time after which a connection is not reused, unless the upstream states less.
MAX_IDLE_S = 20.0
# A connection is not reused within this time before the upstream's idle timeout.
IDLE_MARGIN_S = 0.5
MAX_IDLE_PER_ADDRESS = 64
# Interval in which a request that has no descriptor looks for one.
DESCRIPTOR_CHECK_INTERVAL_S = 0.02
# A connection is closed after so many requests, all of which it remembers.
MAX_REQUESTS = 512


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
    opening : int
        Connections that are being opened.
    open_counts : Counter of str
        Connections that are open, by address.
    account : MemoryAccount
        Charged for responses that are read from upstreams.
    kept_answers : KeptAnswers
        Bounds what all responses that are kept hold together.
    may_open : callable
        Returns whether a descriptor is left for a connection that carries a request.
    """

    clock: Callable[[], float]
    idle: dict[tuple[str, Use], list[_IdleEntry]] = field(default_factory=dict)
    opened_total: int = 0
    opening: int = 0
    open_counts: Counter[str] = field(default_factory=Counter)
    account: MemoryAccount = field(
        default_factory=lambda: MemoryAccount(total_bytes=DEFAULT_TOTAL_BYTES)
    )
    kept_answers: KeptAnswers = field(default_factory=KeptAnswers)
    may_open: Callable[[], bool] = lambda: True

    async def acquire(
        self,
        address: str,
        *,
        timeout_s: float,
        max_idle_s: float = MAX_IDLE_S,
        request_id: str | None = None,
    ) -> UpstreamConnection:
        """Return an idle connection or a new one.

        Parameters
        ----------
        max_idle_s : float
            Longest idle time of a reused connection; short if the request must not be
            repeated.
        request_id : str or None
            Id of the request that the connection is to carry; it has not carried it
            before. None for a connection of control calls.

        Raises
        ------
        NoDescriptor
            If no descriptor was left in time.
        UpstreamUnreachable
            If no connection was made in time.
        """
        use = Use.CONTROL if request_id is None else Use.CALLS
        connection = self._take_idle(address, use, max_idle_s, hash(request_id))
        if connection is None:
            if use is Use.CALLS:
                timeout_s = await self._wait_for_descriptor(address, timeout_s)
            connection = await self.open(address, timeout_s=timeout_s)
            connection.use = use
        connection.carried.add(hash(request_id))
        return connection

    async def _wait_for_descriptor(self, address: str, timeout_s: float) -> float:
        """Wait until a connection may be opened; return the rest of the time limit."""
        ends_at = self.clock() + timeout_s
        while not self.may_open():
            if self.clock() >= ends_at:
                raise NoDescriptor(
                    f"no descriptor is left for {address}; look at the callers"
                )
            await asyncio.sleep(DESCRIPTOR_CHECK_INTERVAL_S)
        return max(0.0, ends_at - self.clock())

    async def open(self, address: str, *, timeout_s: float) -> UpstreamConnection:
        """Return a new connection.

        Raises
        ------
        UpstreamUnreachable
            If no connection was made in time.
        """
        self.opened_total += 1
        self.opening += 1
        try:
            connection = await connect(address, timeout_s=timeout_s, clock=self.clock)
        finally:
            self.opening -= 1
        connection.account = self.account
        self.open_counts[address] += 1
        connection.on_closed = partial(self._count_closed, address)
        return connection

    def _count_closed(self, address: str) -> None:
        self.open_counts[address] -= 1
        if not self.open_counts[address]:
            del self.open_counts[address]

    @property
    def descriptors(self) -> int:
        """Number of connections that are open or being opened."""
        return self.open_counts.total() + self.opening

    def _take_idle(
        self, address: str, use: Use, max_idle_s: float, request: int
    ) -> UpstreamConnection | None:
        """Take the idle connection that was used last and may carry a request."""
        now = self.clock()
        entries = self.idle.get((address, use), [])
        for entry in reversed(entries.copy()):
            connection = entry.connection
            unexpired = now < min(connection.idle_until, entry.since + max_idle_s)
            usable = connection.reusable and unexpired
            if usable and use is Use.CALLS and request in connection.carried:
                continue
            entries.remove(entry)
            if usable and not connection.has_unread:
                return connection
            connection.abort()
        return None

    def release(
        self, address: str, connection: UpstreamConnection, *, idle_s: float | None
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused.

        Parameters
        ----------
        idle_s : float or None
            Idle timeout that the upstream stated, if any.
        """
        connection.drop_kept()
        connection.is_new = False
        entries = self.idle.setdefault((address, connection.use), [])
        used_up = len(connection.carried) >= MAX_REQUESTS
        full = len(entries) >= MAX_IDLE_PER_ADDRESS
        if not connection.reusable or used_up or full:
            connection.abort()
            return
        now = self.clock()
        limit_s = MAX_IDLE_S if idle_s is None else max(0.0, idle_s - IDLE_MARGIN_S)
        connection.idle_until = now + limit_s
        entries.append(_IdleEntry(connection=connection, since=now))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for use in Use:
            for entry in self.idle.pop((address, use), []):
                entry.connection.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self.clock()
        for key, entries in list(self.idle.items()):
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
                self.idle[key] = usable
            else:
                del self.idle[key]

    def close(self) -> None:
        """Close every idle connection."""
        for address, _ in list(self.idle):
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
        own_connection: bool = False,
    ) -> BufferedResponse:
        """Send a control call and return the complete response.

        Parameters
        ----------
        own_connection : bool
            Whether the call has a new connection, on which no other answer can arrive.
        may_send : callable or None
            Called once a connection is open; if it returns False, nothing is sent.

        Raises
        ------
        UpstreamUnreachable
            If no connection was made or ``may_send`` returned False; nothing was sent.
        UpstreamBroken
            If the response was lost; the request may have run.
        """
        get = self.open if own_connection else self.acquire
        connection = await get(address, timeout_s=min(timeout_s, connect_timeout_s))
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
            if done and not own_connection:
                self.release(address, connection, idle_s=None)
            else:
                connection.abort()
        return response

    async def _read_response(self, connection: UpstreamConnection) -> BufferedResponse:
        head = await connection.next_event()
        assert isinstance(head, ResponseHead)
        return BufferedResponse(head=head, body=await self.read_body(connection))

    async def read_body(self, connection: UpstreamConnection) -> bytes:
        """Return the rest of a response.

        Raises
        ------
        UpstreamBroken
            If it is incomplete, longer than ``MAX_RESPONSE_BYTES``, or no memory is
            left for it.
        """
        body = bytearray()
        while True:
            try:
                event = await connection.next_event()
            except UpstreamBroken:
                self.kept_answers.check(connection)
                raise
            match event:
                case BodyData(data=data):
                    self.kept_answers.hold(connection, len(body) + len(data))
                    body += data
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise UpstreamBroken(
                            "the answer is too long to be kept; look at the upstream"
                        )
                case BodyEnd():
                    self.kept_answers.complete(connection)
                    return bytes(body)
