"""Holds the order giver's lease in the table, or waits for it."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.leases import Lease, LeaseWrite
from endivelug.table import Row, Transaction, Verdict


class LeaseRows(Protocol):
    """The part of ``Table`` that a lease needs."""

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""

    async def run(self, transaction: Transaction) -> Verdict:
        """Run a transaction."""


def boot_clock() -> float:
    """Return seconds since boot, including time in which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseKeeper:
    """Renews a lease that is held and takes one that has ended.

    Parameters
    ----------
    table : LeaseRows
        The table service.
    lease : Lease
        This VM's view.
    renew_s : float
        Interval of renewals, and of reads while another VM holds it.
    is_candidate : callable
        Whether this VM should try; a few per data centre keep the reads low.
    rng : random.Random
        Source of nonces and jitter.
    clock : callable
        Seconds; the same clock as that of the order giver.
    """

    def __init__(
        self,
        *,
        table: LeaseRows,
        lease: Lease,
        renew_s: float,
        is_candidate: Callable[[], bool] = lambda: True,
        rng: random.Random,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        self.table = table
        self.lease = lease
        self.renew_s = renew_s
        self.is_candidate = is_candidate
        self.rng = rng
        self.clock = clock
        self.resigned = False
        # A renewal in progress would take the lease again after a resignation.
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Keep the lease until cancelled or resigned."""
        while not self.resigned:
            async with self._lock:
                await self.step()
            await asyncio.sleep(self.renew_s * self.rng.uniform(0.8, 1.0))

    async def step(self) -> None:
        """Read, then renew or take the lease where that is allowed."""
        held = self.lease.remaining_s(self.clock()) > 0
        if not held and not self.is_candidate():
            return
        if not held or not self.lease.fresh:
            try:
                row = await self.table.get(self.lease.key)
            except TableUnavailable:
                return
            self.lease.observe(row, self.clock())
        write = self.lease.next_write(self.clock(), nonce=self.rng.randbytes(8))
        if write is not None:
            await self._run(write)

    async def resign(self) -> None:
        """Give the lease up for good; call it when no order is sent any more."""
        self.resigned = True
        async with self._lock:
            write = self.lease.resignation(self.clock(), nonce=self.rng.randbytes(8))
            if write is not None:
                await self._run(write)

    async def _run(self, write: LeaseWrite) -> None:
        try:
            verdict = await self.table.run(write.transaction)
        except (TableUnavailable, TableOutcomeUnknown):
            self.lease.lose_answer()
            return
        self.lease.settle(write, verdict, self.clock())
