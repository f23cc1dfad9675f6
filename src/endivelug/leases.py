"""State machine of the order lease, for its holder and for the candidates.

The holder of the lease is the only VM of a data centre that sends orders to engines.
Clocks of different hosts are never compared. The holder counts the lease from a time
before its write; a candidate counts from the time at which it first read the row,
which is later. In a table that was restored from an older copy, a lease of the former
era may be held that nobody can see; it counts from the time at which the VM met the new
era. Source: Gray and Cheriton, "Leases: an efficient fault-tolerant
mechanism for distributed file cache consistency", SOSP 1989.
"""

from dataclasses import dataclass
from typing import Any

import cbor2

from endivelug.fencing_numbers import MAX_FENCING_ERA, fencing_era, next_fencing
from endivelug.transactions import (
    Absent,
    Condition,
    Get,
    Put,
    Row,
    TableVersion,
    Transaction,
    TransactionResult,
    ValueEquals,
)

RECORD_VERSION = 1
# Version of a table that is never restored.
FIRST_ERA = TableVersion()


def lease_key(data_centre: str) -> str:
    """Return the table key of a data centre's order lease."""
    return f"lease/{data_centre}/orders"


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaseRecord:
    """Value of the lease's row in the table.

    Attributes
    ----------
    holder : str
        Name of the VM that holds the lease; empty after it resigned.
    fencing : int
        Fencing number, which rises whenever the lease is acquired; see
        ``fencing_numbers``.
    nonce : bytes
        Unique to each write, so that every renewal changes the row.
    """

    holder: str
    fencing: int
    nonce: bytes

    def encode(self) -> bytes:
        """Return the encoded value of the row."""
        return cbor2.dumps([RECORD_VERSION, self.holder, self.fencing, self.nonce])


def parse_lease(value: bytes) -> LeaseRecord:
    """Parse the value of the lease's row.

    Raises
    ------
    ValueError
        If it is not a record of this version.
    """
    document: Any = cbor2.loads(value)
    if not isinstance(document, list) or document[:1] != [RECORD_VERSION]:
        raise ValueError("unsupported lease record version; update this VM")
    _, holder, fencing, nonce = document
    return LeaseRecord(holder=holder, fencing=fencing, nonce=nonce)


@dataclass(slots=True, kw_only=True)
class LeaseWrite:
    """A write of the lease's row, whose transaction the caller runs.

    Attributes
    ----------
    transaction : Transaction
        Writes ``record`` if the row is still as last read; otherwise reads the row.
    record : LeaseRecord
        The value to write.
    started : float
        Time before the write, from which the lease's duration counts.
    ready_at : float
        Time from which orders may be sent under the lease.
    era : int
        Era of the table in which the row was read that the write replaces.
    """

    transaction: Transaction
    record: LeaseRecord
    started: float
    ready_at: float
    era: int


class Lease:
    """One VM's view of the order lease; does no I/O.

    All times are seconds of one clock of the VM.

    Parameters
    ----------
    data_centre : str
        Data centre of the lease.
    vm : str
        Name of this VM.
    lease_s : float
        Duration of the lease after each write.
    clock_bound_s : float
        Upper bound of the drift between the clocks of two hosts during one lease.
    order_timeout_s : float
        Longest time for which an order may be in progress.
    handover_gap_s : float
        Shortest time between the orders of one holder and those of the next; 0 where
        upstreams check fencing numbers.

    Attributes
    ----------
    held_write : LeaseWrite or None
        The write under which this VM holds the lease; None if it does not.
    row_value : bytes or None
        Last known value of the row; None if the row did not exist.
    row_changed_at : float
        Time at which this value was first read or was written by this VM.
    version : TableVersion
        Version of the table that was stated with the last read or write of the row.
    ready_not_before : float
        Time from which no lease of a former era of the table can be held and the orders
        under it have ended.
    row_is_fresh : bool
        Whether ``row_value`` may be used for a write; False requires a read first.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        vm: str,
        lease_s: float,
        clock_bound_s: float,
        order_timeout_s: float,
        handover_gap_s: float = 0.0,
    ) -> None:
        self.key = lease_key(data_centre)
        self.vm = vm
        self.lease_s = lease_s
        self.clock_bound_s = clock_bound_s
        self.order_timeout_s = order_timeout_s
        self.handover_gap_s = handover_gap_s
        self.held_write: LeaseWrite | None = None
        self.row_value: bytes | None = None
        self.row_changed_at = float("-inf")
        self.row_is_fresh = False
        self.version = FIRST_ERA
        self.ready_not_before = float("-inf")
        self._pending_writes: dict[bytes, LeaseWrite] = {}

    @property
    def fencing(self) -> int:
        """Fencing number of the held lease; 0 if this VM does not hold it."""
        return self.held_write.record.fencing if self.held_write else 0

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which the lease is certainly still held, or 0."""
        if self.held_write is None:
            return 0.0
        return max(0.0, self.held_write.started + self.lease_s - now)

    def may_order(self, now: float) -> bool:
        """Return whether the lease is held and the previous holder's orders ended."""
        ready = self.held_write is not None and now >= self.held_write.ready_at
        return ready and self.remaining_s(now) > 0

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        """Return whether an order may be sent now.

        An upstream that does not check the fencing number could still run the order
        after the next holder started to send orders. For such an upstream, the order
        therefore has to end within the lease.

        Parameters
        ----------
        now : float
            Present time.
        checks_fencing : bool
            Whether the upstream rejects orders with an old fencing number.
        """
        if not self.may_order(now):
            return False
        if checks_fencing:
            return True
        return self.remaining_s(now) > self.order_timeout_s + self.clock_bound_s

    def meet_era(self, era: int, now: float) -> None:
        """Note that the table is in an era; ``now`` is a time after it has begun.

        The lease has to be acquired anew: the row may have been lost, and a write of
        the former era that is done in this one may replace any row.
        """
        if era <= self.version.era:
            return
        self.version = TableVersion(era=era)
        lease_ends_at = now + self.lease_s + self.clock_bound_s
        self.ready_not_before = lease_ends_at + self._handover_s
        self.held_write = None
        self._pending_writes.clear()
        self.row_is_fresh = False
        self.row_changed_at = float("-inf")

    def observe(
        self, row: Row | None, now: float, version: TableVersion = FIRST_ERA
    ) -> None:
        """Update the state from a read of the row.

        Parameters
        ----------
        row : Row or None
            The row; None if it does not exist.
        now : float
            A time after the read.
        version : TableVersion
            Version of the table that was stated with the read.
        """
        self.meet_era(version.era, now)
        if version.era < self.version.era:
            # An answer that was under way when a later one named the new era.
            self.row_is_fresh = False
            return
        value = row.value if row else None
        self.version = version
        self.row_is_fresh = True
        written = self._pending_writes.get(value) if value is not None else None
        if written is not None:
            self._set_held_write(written)
        elif self.held_write is None or value != self.held_write.record.encode():
            self.held_write = None
            if value != self.row_value:
                # The row has changed, so the conditions of pending writes will fail.
                self._pending_writes.clear()
        if value != self.row_value or self.row_changed_at == float("-inf"):
            self.row_value = value
            self.row_changed_at = now

    def next_write(self, now: float, *, nonce: bytes) -> LeaseWrite | None:
        """Return the write that renews or acquires the lease.

        Returns
        -------
        LeaseWrite or None
            None if another VM holds the lease or the row has to be read first.
        """
        if not self.row_is_fresh or self.version.era > MAX_FENCING_ERA:
            return None
        record = parse_lease(self.row_value) if self.row_value is not None else None
        if self.held_write is not None and self.remaining_s(now) > 0:
            fencing, ready_at = self.fencing, self.held_write.ready_at
        elif record is None:
            fencing, ready_at = next_fencing(0, self.version), now
        elif record.holder == "" and fencing_era(record.fencing) == self.version.era:
            # A holder resigns only after its last order has ended. A resignation of a
            # former era may have been done late and replaced the row of a holder.
            fencing = next_fencing(record.fencing, self.version)
            ready_at = now + self.handover_gap_s
        elif now > self.row_changed_at + self.lease_s + self.clock_bound_s:
            fencing = next_fencing(record.fencing, self.version)
            ready_at = now + self._handover_s
        else:
            return None
        # Whatever a restored table says, an older lease may be held.
        ready_at = max(ready_at, self.ready_not_before)
        return self._build_write(
            LeaseRecord(holder=self.vm, fencing=fencing, nonce=nonce), now, ready_at
        )

    def resignation_write(self, now: float, *, nonce: bytes) -> LeaseWrite | None:
        """Return the write that releases the lease, or None if it is not held.

        Call it only when no order is in progress; no order may be sent afterwards.
        """
        still_held = self.remaining_s(now) > 0
        held, self.held_write = self.held_write, None
        if held is None or not still_held or self.row_value != held.record.encode():
            return None
        record = LeaseRecord(holder="", fencing=held.record.fencing, nonce=nonce)
        self._pending_writes.clear()
        return self._build_write(record, now, now)

    def apply_result(
        self,
        write: LeaseWrite,
        result: TransactionResult,
        now: float,
        version: TableVersion = FIRST_ERA,
    ) -> None:
        """Update the state from the result of a write.

        Parameters
        ----------
        write : LeaseWrite
            The write, from ``next_write`` or ``resignation_write``.
        result : TransactionResult
            Result of its transaction.
        now : float
            A time after the write.
        version : TableVersion
            Version of the table that was stated with the result.
        """
        self.meet_era(version.era, now)
        if result.succeeded and not write.era == version.era == self.version.era:
            self.invalidate()
        elif result.succeeded:
            self.version = version
            self.row_value = write.record.encode()
            self.row_changed_at = now
            self._set_held_write(write)
        else:
            self.observe(result.rows[0] if result.rows else None, now, version)

    def invalidate(self) -> None:
        """Require a read of the row before the next write.

        Called if the outcome of a write is unknown, or if an upstream rejected the
        fencing number because another VM holds the lease.
        """
        self.row_is_fresh = False

    @property
    def _handover_s(self) -> float:
        """Seconds from the end of a lease to the next holder's first order."""
        return max(self.order_timeout_s + self.clock_bound_s, self.handover_gap_s)

    def _build_write(
        self, record: LeaseRecord, now: float, ready_at: float
    ) -> LeaseWrite:
        condition: Condition = Absent(key=self.key)
        if self.row_value is not None:
            condition = ValueEquals(key=self.key, value=self.row_value)
        value = record.encode()
        write = LeaseWrite(
            transaction=Transaction(
                conditions=[condition],
                success=[Put(key=self.key, value=value)],
                failure=[Get(key=self.key)],
            ),
            record=record,
            started=now,
            ready_at=ready_at,
            era=self.version.era,
        )
        self._pending_writes[value] = write
        return write

    def _set_held_write(self, write: LeaseWrite) -> None:
        """Set the held lease from a successful write."""
        # Earlier writes can no longer take effect.
        self._pending_writes.clear()
        self.held_write = write if write.record.holder == self.vm else None
