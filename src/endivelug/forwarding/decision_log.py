"""One structured line for each decision and change of belief, on standard output.

Lines go through eliot. Their number per second is bounded and the output never blocks;
what is left out is counted and told in a line of its own.
"""

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import eliot

MAX_LINES_PER_S = 150.0
# Lines of these kinds change what the process believes; they may use this burst beyond
# the rate, so that a flood of requests does not hide them.
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
        Lines left out since the last one that told of it.
    """

    def __init__(self, *, descriptor: int, clock: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self._allowance = BURST_LINES
        self._filled_at = clock()
        self._buffer = bytearray()
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def start(self, *, program: str, vm: str) -> None:
        """Take the lines of eliot, with the program and the VM in each."""
        eliot.add_global_fields(program=program, vm=vm)
        eliot.add_destinations(self._write)

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one decision or change."""
        if not self._allow():
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            eliot.log_message(message_type="log-lines-dropped", count=dropped)
        eliot.log_message(message_type=event, **fields)

    def flush(self) -> None:
        """Write what is buffered, as far as the output takes it."""
        self._scheduled = False
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer[:65536])
            except BlockingIOError:
                self._schedule()
                return
            except OSError:
                # Nobody reads the output any more; serving goes on.
                self.dropped_total += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _allow(self) -> bool:
        now = self.clock()
        refill = (now - self._filled_at) * MAX_LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + refill)
        self._filled_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
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
            # Without a loop, before the start and after the end, callers flush.
            return
        self._scheduled = True
        loop.call_later(FLUSH_S, self.flush)
