"""Applies the memory account to the clients of a process: waits, closes, refuses."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from endivelug.forwarding.buffers.memory_account import (
    BODY_PROGRESS,
    Holder,
    HolderKind,
    MemoryAccount,
    account_bytes,
)
from endivelug.forwarding.cluster_view import LogLine

# A body waits for room this long before its request is refused. Bodies without progress
# are closed within STALL_S meanwhile.
ROOM_WAIT_S = 10.0
# Log lines per second for closed and refused clients; more are only counted.
MAX_LINES_PER_S = 20
# Memory of a connection: the objects of the server, a head, and what is read ahead.
CONNECTION_BYTES = 16 * 1024


class CloseReason(Enum):
    """Why a client was closed or refused."""

    BODY_SLOW = "body-slow"
    BODY_EVICTED = "body-evicted"
    BODY_REFUSED = "body-refused"
    HEAD_SLOW = "head-slow"
    HEAD_EVICTED = "head-evicted"
    RESPONSE_UNREAD = "response-unread"
    CONNECTION_IDLE = "connection-idle"


def close_gauge(reason: CloseReason) -> str:
    """Return the name of the gauge of clients closed for a reason.

    Examples
    --------
    >>> close_gauge(CloseReason.BODY_SLOW)
    'closed_body_slow'
    """
    return "closed_" + reason.value.replace("-", "_")


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    """A holder that waits for room."""

    holder: Holder
    count: int
    granted: asyncio.Future[bool]
    deadline: float


class ClientGuard:
    """Grants memory to holders, and closes clients that keep it without progress.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM; 0 if it is not stated.

    Attributes
    ----------
    closed : dict of CloseReason to int
        Clients closed or refused since the start.
    connections_bytes : int
        Bytes charged for connections and heads.
    """

    def __init__(
        self,
        *,
        memory_mb: float,
        clock: Callable[[], float],
        log: LogLine,
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        self.account = MemoryAccount(total_bytes=account_bytes(memory_mb))
        self.clock = clock
        self.log = log
        self.closed = dict.fromkeys(CloseReason, 0)
        self.connections_bytes = 0
        self._closers: dict[Holder, Callable[[], None]] = {}
        self._waiters: list[_Waiter] = []
        self._finisher: Holder | None = None
        self._lines_until = 0.0
        self._lines = 0
        gauges["client_memory_bytes"] = lambda: self.account.held_bytes
        gauges["client_memory_peak_bytes"] = lambda: self.account.peak_bytes
        gauges["client_memory_limit_bytes"] = lambda: self.account.total_bytes
        gauges["bodies_waiting"] = lambda: len(self._waiters)
        for reason in CloseReason:
            gauges[close_gauge(reason)] = partial(self.closed.__getitem__, reason)

    def watch(self, holder: Holder, close: Callable[[], None]) -> None:
        """Begin to wait for the client of a holder; ``close`` ends the wait."""
        BODY_PROGRESS.start(holder, now=self.clock())
        self.account.charge(holder, 0)
        self._closers[holder] = close

    def record_progress(self, holder: Holder, count: int) -> None:
        """Record bytes that the client has sent or read."""
        BODY_PROGRESS.record(holder, count, now=self.clock())

    def request_room(self, holder: Holder, count: int) -> asyncio.Future[bool] | None:
        """Charge bytes to a holder before they are held.

        Returns
        -------
        asyncio.Future or None
            None if the bytes are charged; otherwise whether they were charged after a
            wait, during which nothing is read from the client.
        """
        if (not self._waiters or holder.small) and self.account.fits(holder, count):
            self.account.charge(holder, count)
            return None
        now = self.clock()
        BODY_PROGRESS.pause(holder, now=now)
        waiter = _Waiter(
            holder=holder,
            count=count,
            granted=asyncio.get_running_loop().create_future(),
            deadline=now + ROOM_WAIT_S,
        )
        self._waiters.append(waiter)
        self._serve_waiters()
        return waiter.granted

    def try_charge(self, count: int) -> bool:
        """Charge the bytes of a short body, unless the account is full."""
        if self.account.held_bytes + count > self.account.total_bytes:
            return False
        self.account.add(count)
        return True

    def release_bytes(self, count: int) -> None:
        """Return what ``try_charge`` has charged."""
        self.account.add(-count)
        self._serve_waiters()

    def release(self, holder: Holder) -> None:
        """Return what a holder has charged, and end its wait."""
        self._closers.pop(holder, None)
        if holder is self._finisher:
            self._finisher = None
        self.account.release(holder)
        if holder.paused_at is not None:
            for waiter in self._waiters:
                if waiter.holder is holder:
                    self._end_wait(waiter, granted=False)
                    break
        self._serve_waiters()

    def sweep(self) -> None:
        """Close clients without progress, and refuse bodies that found no room."""
        now = self.clock()
        for holder in self.account.overdue(now=now):
            self._close(holder, _slow_reason(holder))
        # Connections to upstreams return their charges without a call of this object.
        self._serve_waiters()
        account = self.account
        while self._waiters or account.held_bytes > account.total_bytes:
            waiting = self._waiters[0].holder if self._waiters else None
            victim = account.victim(waiting, now=now)
            if victim is None:
                break
            self._close(victim, _evicted_reason(victim))
        for waiter in reversed(self._waiters.copy()):
            if waiter.deadline <= now and not waiter.granted.done():
                self.record_close(CloseReason.BODY_REFUSED, waiter.holder)
                # Its room may let the others go on, which need not be refused then.
                self.release(waiter.holder)

    def charge_connections(self, count: int) -> None:
        """Charge what connections and heads hold; their number is bounded elsewhere."""
        self.account.add(count - self.connections_bytes)
        self.connections_bytes = count

    def close_slowest(self) -> bool:
        """Close the client that has made no progress for longest, if one is stalled."""
        victim = self.account.victim(None, now=self.clock())
        if victim is not None:
            self._close(victim, _evicted_reason(victim))
        return victim is not None

    def record_close(
        self, reason: CloseReason, holder: Holder | None = None, address: str = ""
    ) -> None:
        """Count and log a client that is closed or refused."""
        self.closed[reason] += 1
        now = self.clock()
        if now >= self._lines_until:
            self._lines_until, self._lines = now + 1.0, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            return
        lag_s = None
        if holder is not None and holder.paused_at is None:
            lag_s = round(BODY_PROGRESS.lag_s(holder, now=now), 3)
        self.log(
            "client-closed",
            reason=reason.value,
            address=holder.address if holder else address,
            organisation=holder.organisation if holder else None,
            held=holder.held_bytes if holder else None,
            expected=holder.expected_bytes if holder else None,
            lag_s=lag_s,
            account=self.account.held_bytes,
            limit=self.account.total_bytes,
        )

    def _close(self, holder: Holder, reason: CloseReason) -> None:
        self.record_close(reason, holder)
        close = self._closers.get(holder)
        self.release(holder)
        if close is not None:
            close()

    def _serve_waiters(self) -> None:
        """Grant room to waiting bodies; those that lack the least come first."""
        if not self._waiters:
            return
        self._waiters.sort(key=lambda waiter: waiter.holder.missing_bytes)
        if self._finisher is None:
            self._finisher = self._waiters[0].holder
        for waiter in self._waiters.copy():
            holder = waiter.holder
            completing = holder is self._finisher
            if self.account.fits(holder, waiter.count, completing=completing):
                self.account.charge(holder, waiter.count)
                self._end_wait(waiter, granted=True)

    def _end_wait(self, waiter: _Waiter, *, granted: bool) -> None:
        self._waiters.remove(waiter)
        BODY_PROGRESS.resume(waiter.holder, now=self.clock())
        if not waiter.granted.done():
            waiter.granted.set_result(granted)


def _slow_reason(holder: Holder) -> CloseReason:
    if holder.kind is HolderKind.RESPONSE:
        return CloseReason.RESPONSE_UNREAD
    return CloseReason.BODY_SLOW


def _evicted_reason(holder: Holder) -> CloseReason:
    if holder.kind is HolderKind.RESPONSE:
        return CloseReason.RESPONSE_UNREAD
    return CloseReason.BODY_EVICTED
