"""Acquires and renews the order lease in the table."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.leases import Lease, LeaseWrite
from endivelug.transactions import (
    Row,
    TableVersion,
    Transaction,
    TransactionResult,
)


class LeaseStore(Protocol):
    """The operations of ``Table`` that the lease needs.

    Attributes
    ----------
    version : TableVersion
        Version that the table stated with its last answer.
    """

    version: TableVersion

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""

    async def run(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction."""


def boot_clock() -> float:
    """Return seconds since boot, including time in which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseKeeper:
    """Renews the lease while this VM holds it and acquires it once it has expired.

    Parameters
    ----------
    table : LeaseStore
        The table service.
    lease : Lease
        This VM's view of the lease.
    renew_s : float
        Seconds between renewals, and between reads while another VM holds the lease.
    is_candidate : callable
        Returns whether this VM should try to acquire the lease. With only a few
        candidates per data centre, the table gets few reads.
    rng : random.Random
        Source of nonces and jitter.
    clock : callable
        Returns seconds; the sender of orders must use the same clock.
    """

    def __init__(
        self,
        *,
        table: LeaseStore,
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
        # Serialises writes: a renewal that is still in progress would acquire the lease
        # again after a resignation.
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled or resigned."""
        while not self.resigned:
            async with self._lock:
                await self.renew_or_acquire()
            await asyncio.sleep(self.renew_s * self.rng.uniform(0.8, 1.0))

    async def renew_or_acquire(self) -> None:
        """Read the row if necessary, then renew or acquire the lease if allowed."""
        held = self.lease.remaining_s(self.clock()) > 0
        if not held and not self.is_candidate():
            return
        if not held or not self.lease.row_is_fresh:
            try:
                row = await self.table.get(self.lease.key)
            except TableUnavailable:
                return
            self.lease.observe(row, self.clock(), self.table.version)
        write = self.lease.next_write(self.clock(), nonce=self.rng.randbytes(8))
        if write is not None:
            await self._write(write)

    async def resign(self) -> None:
        """Release the lease and stop renewing it; no order may be sent afterwards."""
        self.resigned = True
        async with self._lock:
            write = self.lease.resignation_write(
                self.clock(), nonce=self.rng.randbytes(8)
            )
            if write is not None:
                await self._write(write)

    async def _write(self, write: LeaseWrite) -> None:
        try:
            result = await self.table.run(write.transaction)
        except (TableUnavailable, TableOutcomeUnknown):
            self.lease.invalidate()
            return
        self.lease.apply_result(write, result, self.clock(), self.table.version)
