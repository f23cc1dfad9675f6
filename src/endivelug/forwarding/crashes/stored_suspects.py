"""Keeps the blocked suspects in the store, for VMs that all start again.

VMs that are up tell a new one what they know. The row is for the case that none is.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import cbor2

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.crashes.exchange import CrashExchange
from endivelug.forwarding.crashes.suspects import BLOCK_KEPT_S
from endivelug.forwarding.vm_rows import VmRows

RETRY_S = 0.5
# Runs in the row, which must stay below the store's limit for one; the newest are kept.
MAX_RUNS = 200


class StoredSuspects:
    """Writes the evidence of all blocks where this VM changed them, and reads it.

    Parameters
    ----------
    clock : callable
        Returns the time in which the evidence is kept.
    wall_clock : callable
        Returns the seconds since the epoch, by which VMs that restart tell its age.
    """

    def __init__(
        self,
        *,
        rows: VmRows,
        exchange: CrashExchange,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.rows = rows
        self.exchange = exchange
        self.clock = clock
        self.wall_clock = wall_clock
        self.log = log
        self.changed = asyncio.Event()
        exchange.on_blocks_changed = self.changed.set

    async def run(self) -> None:
        """Write the row whenever this VM has changed a block, until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while not await self._write():
                await asyncio.sleep(RETRY_S)

    def restore(self, value: bytes) -> None:
        """Apply the evidence that a row holds; an unreadable one is left out."""
        try:
            runs = [self._decode(*item) for item in cbor2.loads(value)]
        except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
            self.log("suspects-unreadable", reason=str(error))
            return
        self.exchange.restore(runs)

    async def _write(self) -> bool:
        try:
            await self.rows.write_suspects(self._encode())
        except (TableUnavailable, TableOutcomeUnknown) as error:
            self.log("suspects-not-stored", reason=str(error))
            return False
        return True

    def _encode(self) -> bytes:
        """Return the evidence of all blocks."""
        suspects, now = self.exchange.suspects, self.clock()
        blocked = {block.suspect for block in suspects.blocked(now=now)}
        items: list[list[Any]] = []
        for run in suspects.runs(now=now)[-MAX_RUNS:]:
            segments = [name for name in run.segments if name in blocked]
            if segments or run.request in blocked:
                age_s, sent_age_s = now - run.at, now - run.sent_at
                times = [self.wall_clock() - age_s, self.wall_clock() - sent_age_s]
                identity = [run.instance, run.started_ms, run.vm, run.request]
                items.append([*identity, segments, run.begun, *times])
        return cbor2.dumps(items)

    def _decode(
        self,
        instance: str,
        started_ms: int,
        vm: str,
        request: str,
        segments: list[str],
        begun: bool,
        crashed: float,
        sent: float,
    ) -> CrashedRun:
        now, wall_now = self.clock(), self.wall_clock()
        age_s = min(max(0.0, wall_now - crashed), BLOCK_KEPT_S)
        return CrashedRun(
            instance=str(instance),
            started_ms=int(started_ms),
            vm=str(vm),
            request=str(request),
            segments=tuple(str(name) for name in segments),
            begun=bool(begun),
            sent_at=now - age_s - max(0.0, crashed - sent),
            at=now - age_s,
        )
