"""Structured log of decisions and state changes, one line each, on standard output.

Lines are written with eliot. Their rate is limited and the output never blocks; dropped
lines are counted, and a separate line reports the count. Only the last lines of a
process wait for a slow reader, for a bounded time.
"""

import asyncio
import json
import os
import select
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import eliot

# Rate and token bucket of lines that name a request.
MAX_LINES_PER_S = 150.0
BURST_LINES = 300.0
# The same during a planned stop, which lasts for seconds: each request that it ends
# should have its line.
STOP_LINES_PER_S = 1000.0
STOP_BURST_LINES = 2000.0
# Rate and token bucket of all other lines, which report changes of state. They have
# their own, so that a flood of requests does not hide them.
MAX_STATE_LINES_PER_S = 50.0
STATE_BURST_LINES = 200.0
MAX_BUFFERED_BYTES = 256 * 1024
# Room beyond that for lines that report changes of state.
STATE_BUFFERED_BYTES = 64 * 1024
FLUSH_S = 0.05
WRITE_BYTES = 64 * 1024


@dataclass(slots=True, kw_only=True)
class LineBucket:
    """Token bucket that limits the rate of lines.

    Examples
    --------
    >>> bucket = LineBucket(lines_per_s=1.0, burst=1.0, tokens=1.0, refilled_at=0.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.5), bucket.take(now=1.0)
    (True, False, True)
    """

    lines_per_s: float
    burst: float
    tokens: float
    refilled_at: float

    def take(self, *, now: float) -> bool:
        """Consume a token; return whether there was one."""
        refill = (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.burst, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class DecisionLog:
    """Writes lines without blocking.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that reported the count.
    dropped_total : int
        Lines dropped since the start.
    """

    def __init__(self, *, descriptor: int, clock: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self._requests = self._bucket(MAX_LINES_PER_S, BURST_LINES)
        self._states = self._bucket(MAX_STATE_LINES_PER_S, STATE_BURST_LINES)
        self._buffer = bytearray()
        self._scheduled = False
        self._at_once = False
        os.set_blocking(descriptor, False)

    def start(self, *, program: str, vm: str) -> None:
        """Register with eliot, and add the program and the VM to each line."""
        eliot.add_global_fields(program=program, vm=vm)
        eliot.add_destinations(self._write)

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one decision or state change, or drop it if there is no room for it."""
        names_request = "request" in fields
        limit = MAX_BUFFERED_BYTES
        if not names_request:
            limit += STATE_BUFFERED_BYTES
        bucket = self._requests if names_request else self._states
        if len(self._buffer) > limit or not bucket.take(now=self.clock()):
            self.dropped += 1
            self.dropped_total += 1
            return
        self._report_dropped()
        eliot.log_message(message_type=event, **fields)

    def begin_stop(self) -> None:
        """Write each line at once, and allow more of them, until the process ends.

        The process may be killed at the end of its grace period.
        """
        self._requests = self._bucket(STOP_LINES_PER_S, STOP_BURST_LINES)
        self._at_once = True
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        self._scheduled = False
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer[:WRITE_BYTES])
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # The reader has closed the output; requests are still served.
                lost = self._buffer.count(b"\n")
                self.dropped += lost
                self.dropped_total += lost
                self._buffer.clear()
                return
            del self._buffer[:written]

    def finish(self, *, until: float) -> None:
        """Write what is left, and wait for a slow reader until a time on the clock.

        Nothing else runs meanwhile; only a process that ends calls it.
        """
        self._report_dropped()
        poller = select.poll()
        poller.register(self.descriptor, select.POLLOUT)
        self.flush()
        while self._buffer and (left_s := until - self.clock()) > 0:
            poller.poll(left_s * 1000)
            self.flush()

    def _report_dropped(self) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            eliot.log_message(message_type="log-lines-dropped", count=dropped)

    def _bucket(self, lines_per_s: float, burst: float) -> LineBucket:
        return LineBucket(
            lines_per_s=lines_per_s,
            burst=burst,
            tokens=burst,
            refilled_at=self.clock(),
        )

    def _write(self, message: dict[str, Any]) -> None:
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level") and value is not None
        }
        self._buffer += json.dumps(line, default=str).encode() + b"\n"
        if self._at_once and not self._scheduled:
            self.flush()
        else:
            self._schedule()

    def _schedule(self) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the event loop starts and after it ends, callers flush themselves.
            return
        self._scheduled = True
        loop.call_later(FLUSH_S, self.flush)
