"""Batches the claim transactions of one VM into few writes to the table."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from endivelug.claims import PREFIX, purge_range, utc_day, written_keys
from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.table import Table
from endivelug.transactions import (
    Put,
    Transaction,
    TransactionResult,
)

MAX_GROUP = 64
MAX_WAIT_S = 0.005
# etcd rejects requests above 1.5 MB; half of that leaves room for conditions.
MAX_GROUP_BYTES = 768 * 1024
MAX_GROUPS_IN_FLIGHT = 8
# Background transactions; each takes at most about 32 KiB, so all take at most 32 MB.
MAX_BACKGROUND = 1024
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
# A retry that is still in flight at the deadline has an unknown outcome, so a retry is
# sent only if at least this much time is left for its response.
MIN_SEND_S = 0.05


@dataclass(slots=True, kw_only=True, eq=False)
class _PendingTransaction:
    """A transaction without a result, either queued, in flight or backing off.

    Attributes
    ----------
    keys : set of str
        Table keys that the transaction may write.
    size : int
        Estimated size in the request, in bytes.
    deadline : float
        Monotonic seconds after which it is not sent again.
    unknown : bool
        Whether the response to an earlier copy was lost.
    in_flight : bool
        Whether a copy is being sent now.
    failures : int
        Attempts that failed.
    """

    transaction: Transaction
    keys: set[str]
    size: int
    deadline: float
    future: "asyncio.Future[TransactionResult]"
    unknown: bool = False
    in_flight: bool = False
    failures: int = 0


def _estimated_size(transaction: Transaction) -> int:
    """Return an estimate of the encoded size of a transaction in bytes."""
    puts = (op for op in transaction.success if isinstance(op, Put))
    return 1024 + 2 * sum(len(put.value) for put in puts)


async def purge_claims(table: Table, *, now: float) -> bool:
    """Delete the claims of all days past their retention.

    Claims are deleted only if the table has claims of today or yesterday. Otherwise a
    clock that is days ahead would delete claims that still have to prevent a second
    run.

    Parameters
    ----------
    table : Table
        The table service.
    now : float
        Unix seconds.

    Returns
    -------
    bool
        False if there are no recent claims, so that nothing was deleted.

    Raises
    ------
    TableUnavailable, TableOutcomeUnknown
        If the deletion may not have run; purging again is safe.
    """
    recent = f"{PREFIX}{utc_day(now, offset=-1)}/", f"{PREFIX}{utc_day(now, offset=1)}/"
    if not await table.scan(*recent, limit=1):
        return False
    await table.delete_range(*purge_range(now))
    return True


class ClaimWriter:
    """Sends independent idempotent transactions in groups and retries failed ones.

    Parameters
    ----------
    table : Table
        The table service.
    rng : random.Random
        Source of the jitter of retries.
    max_group : int
        Largest number of transactions in one write.
    max_wait_s : float
        Longest time for which a transaction waits for others to join its group.
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    groups, transactions : int
        Writes sent and the transactions in them, retries included.
    abandoned : int
        Background transactions that were dropped because ``MAX_BACKGROUND`` others had
        not finished.
    background : set of asyncio.Future
        Background transactions that have not finished.
    """

    def __init__(
        self,
        *,
        table: Table,
        rng: random.Random,
        max_group: int = MAX_GROUP,
        max_wait_s: float = MAX_WAIT_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = table
        self.rng = rng
        self.max_group = max_group
        self.max_wait_s = max_wait_s
        self.clock = clock
        self.groups = 0
        self.transactions = 0
        self.abandoned = 0
        self.background: set[asyncio.Future[TransactionResult]] = set()
        self._queue: list[_PendingTransaction] = []
        self._timer: asyncio.TimerHandle | None = None
        self._in_flight: set[asyncio.Task[None]] = set()
        self._backing_off: set[asyncio.TimerHandle] = set()

    async def run(
        self, transaction: Transaction, *, deadline: float
    ) -> TransactionResult:
        """Run an idempotent transaction, retrying it until a deadline.

        Parameters
        ----------
        transaction : Transaction
            An idempotent transaction: a retry may run it a second time.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        TableUnavailable
            If the table did not run the transaction and never will.
        TableOutcomeUnknown
            If the table may have run the transaction or may still run it.
        """
        item = self._enqueue(transaction, deadline=deadline)
        remaining_s = max(0.0, deadline - self.clock())
        await asyncio.wait([item.future], timeout=remaining_s)
        if item.future.done():
            return item.future.result()
        if item in self._queue:
            self._queue.remove(item)
        item.future.cancel()
        if item.unknown or item.in_flight:
            raise TableOutcomeUnknown(
                "the table did not respond before the deadline; the transaction may "
                "have run, release the claim"
            )
        raise TableUnavailable(
            "the table did not run the transaction before the deadline"
        )

    def run_in_background(
        self, transaction: Transaction
    ) -> "asyncio.Future[TransactionResult]":
        """Run an idempotent transaction in the background, retrying without a deadline.

        Returns
        -------
        asyncio.Future
            Completes with the result; already cancelled if ``MAX_BACKGROUND`` other
            transactions have not finished.
        """
        if len(self.background) >= MAX_BACKGROUND:
            self.abandoned += 1
            cancelled: asyncio.Future[TransactionResult] = (
                asyncio.get_running_loop().create_future()
            )
            cancelled.cancel()
            return cancelled
        future = self._enqueue(transaction, deadline=float("inf")).future
        self.background.add(future)
        future.add_done_callback(self.background.discard)
        return future

    async def drain(self, *, deadline: float) -> int:
        """Wait for the background transactions and return how many did not finish.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        while self.background and self.clock() < deadline:
            await asyncio.wait(self.background, timeout=deadline - self.clock())
        return len(self.background)

    def close(self) -> None:
        """Cancel all timers, writes in flight and background transactions."""
        if self._timer is not None:
            self._timer.cancel()
        for handle in self._backing_off:
            handle.cancel()
        for task in self._in_flight:
            task.cancel()
        for future in list(self.background):
            future.cancel()

    def _enqueue(
        self, transaction: Transaction, *, deadline: float
    ) -> _PendingTransaction:
        item = _PendingTransaction(
            transaction=transaction,
            keys=written_keys(transaction),
            size=_estimated_size(transaction),
            deadline=deadline,
            future=asyncio.get_running_loop().create_future(),
        )
        self._append(item)
        return item

    def _append(self, item: _PendingTransaction) -> None:
        """Queue a transaction and flush the queue if it fills a group."""
        if item.future.done():
            return
        self._queue.append(item)
        if len(self._queue) >= self.max_group:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.max_wait_s, self._flush)

    def _flush(self) -> None:
        """Send queued transactions up to the limit of groups in flight."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue and len(self._in_flight) < MAX_GROUPS_IN_FLIGHT:
            group = self._pop_group()
            task = asyncio.get_running_loop().create_task(self._send(group))
            self._in_flight.add(task)
            task.add_done_callback(self._on_group_done)

    def _on_group_done(self, task: "asyncio.Task[None]") -> None:
        self._in_flight.discard(task)
        # If a timer is running, it will flush the queue.
        if self._queue and self._timer is None and not task.cancelled():
            self._flush()

    def _pop_group(self) -> list[_PendingTransaction]:
        """Remove the next group from the queue and return it.

        etcd rejects a request that writes a key twice, so transactions that may write
        the same key go into different groups.
        """
        group: list[_PendingTransaction] = []
        remaining: list[_PendingTransaction] = []
        keys: set[str] = set()
        size = 0
        for item in self._queue:
            fits = len(group) < self.max_group and (
                not group or size + item.size <= MAX_GROUP_BYTES
            )
            if fits and not keys & item.keys:
                group.append(item)
                keys |= item.keys
                size += item.size
            else:
                remaining.append(item)
        self._queue = remaining
        return group

    async def _send(self, group: list[_PendingTransaction]) -> None:
        """Send a group as one write; set its results or schedule retries."""
        self.groups += 1
        self.transactions += len(group)
        for item in group:
            item.in_flight = True
        try:
            result = await self.table.run(
                Transaction(success=[item.transaction for item in group])
            )
            if len(result.nested) != len(group):
                raise TableOutcomeUnknown(
                    "the table did not return one result for each transaction"
                )
        except (TableUnavailable, TableOutcomeUnknown) as error:
            for item in group:
                item.in_flight = False
                item.unknown |= isinstance(error, TableOutcomeUnknown)
                self._schedule_retry(item)
            return
        for item, nested_result in zip(group, result.nested, strict=True):
            item.in_flight = False
            if not item.future.done():
                item.future.set_result(nested_result)

    def _schedule_retry(self, item: _PendingTransaction) -> None:
        """Queue a failed transaction again after a backoff if its deadline allows."""
        if item.future.done():
            return
        item.failures += 1
        limit_s = min(FIRST_BACKOFF_S * 2**item.failures, MAX_BACKOFF_S)
        delay_s = self.rng.uniform(0.0, limit_s)
        if self.clock() + delay_s + MIN_SEND_S >= item.deadline:
            error: Exception = TableUnavailable("the table is unavailable; retry later")
            if item.unknown:
                error = TableOutcomeUnknown(
                    "the table's response was lost; the transaction may have run"
                )
            item.future.set_exception(error)
            return
        loop = asyncio.get_running_loop()

        def requeue() -> None:
            self._backing_off.discard(handle)
            self._append(item)

        handle = loop.call_later(delay_s, requeue)
        self._backing_off.add(handle)
