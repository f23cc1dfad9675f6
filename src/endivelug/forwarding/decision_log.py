"""Structured log of decisions and state changes, one line each, on standard output.

Lines are written with eliot. Their rate is limited and the output never blocks; dropped
lines are counted, and a separate line reports the count.
"""

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import eliot

MAX_LINES_PER_S = 150.0
# Size of the token bucket. State changes may use this burst beyond the rate, so that a
# flood of requests does not hide them.
BURST_LINES = 300.0
MAX_BUFFERED_BYTES = 256 * 1024
FLUSH_S = 0.05


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
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._buffer = bytearray()
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def start(self, *, program: str, vm: str) -> None:
        """Register with eliot, and add the program and the VM to each line."""
        eliot.add_global_fields(program=program, vm=vm)
        eliot.add_destinations(self._write)

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one decision or state change, or drop it if the rate is exceeded."""
        if not self._consume_token():
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            eliot.log_message(message_type="log-lines-dropped", count=dropped)
        eliot.log_message(message_type=event, **fields)

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        self._scheduled = False
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer[:65536])
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # The reader has closed the output; requests are still served.
                self.dropped_total += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _consume_token(self) -> bool:
        now = self.clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, message: dict[str, Any]) -> None:
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.dropped_total += 1
            return
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level") and value is not None
        }
        self._buffer += json.dumps(line, default=str).encode() + b"\n"
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
