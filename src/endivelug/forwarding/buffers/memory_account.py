"""Account of the memory that a process holds for its clients.

Load pattern: clients send many large bodies and stop just short of their end, or stop
reading what they asked for. Every holder charges the account before it allocates. The
module decides what may grow and what is closed; it neither reads nor closes anything.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

MEBIBYTE = 1024 * 1024
# Memory of a process that serves no client: its modules, the cluster's state, and the
# buffers of links and of the allocator.
PROCESS_BYTES = 72 * MEBIBYTE
# Part of the rest that clients may occupy; what remains covers copies that exist for a
# moment and memory that the allocator keeps.
CLIENT_PART = 0.75
# A VM that states no memory has an account that clients inside the limits never fill.
DEFAULT_TOTAL_BYTES = 1024 * MEBIBYTE
# Smallest account: a body of 4 MiB fits into the reserve for completion.
MIN_TOTAL_BYTES = 36 * MEBIBYTE
# Bodies up to this length are small; the reserve for them admits them in any state.
SMALL_BODY_BYTES = 64 * 1024
SMALL_RESERVE_DIVISOR = 12
# Reserve by which the body that lacks the least can always be completed, so that bodies
# that wait for each other cannot fill the account for good.
COMPLETION_RESERVE_DIVISOR = 8


def account_bytes(memory_mb: float) -> int:
    """Return the size of the account of a VM; 0 MB if the memory is not stated.

    Examples
    --------
    >>> account_bytes(160) // MEBIBYTE, account_bytes(0) // MEBIBYTE
    (66, 1024)
    """
    if memory_mb <= 0:
        return DEFAULT_TOTAL_BYTES
    free_bytes = memory_mb * MEBIBYTE - PROCESS_BYTES
    return max(MIN_TOTAL_BYTES, int(free_bytes * CLIENT_PART))


class HolderKind(Enum):
    """What a holder keeps in memory."""

    BODY = "body"
    RESPONSE = "response"


@dataclass(slots=True, kw_only=True, eq=False)
class Holder:
    """One part of the memory that is held for a client.

    Attributes
    ----------
    address : str
        IP address of the client; empty if no client is known.
    organisation : str or None
        Organisation of the request, once its key is checked.
    expected_bytes : int or None
        Bytes that the holder needs in all, if known.
    held_bytes : int
        Bytes charged.
    deadline : float
        Time at which the holder is closed unless it makes progress; infinite if it
        does not wait for its client.
    paused_at : float or None
        Time since which this process does not read from the client.
    """

    kind: HolderKind
    address: str = ""
    organisation: str | None = None
    expected_bytes: int | None = None
    held_bytes: int = 0
    deadline: float = float("inf")
    paused_at: float | None = None

    @property
    def small(self) -> bool:
        """Whether the holder may use the reserve for small requests."""
        size = self.held_bytes if self.expected_bytes is None else self.expected_bytes
        return size <= SMALL_BODY_BYTES

    @property
    def is_response(self) -> bool:
        """Whether the holder keeps a response, and not the body of a request."""
        return self.kind is HolderKind.RESPONSE

    @property
    def waits_for_client(self) -> bool:
        """Whether only the client can make progress."""
        return self.paused_at is None and self.deadline != float("inf")

    @property
    def missing_bytes(self) -> float:
        """Bytes that the holder still needs; infinite if that is not known."""
        if self.expected_bytes is None:
            return float("inf")
        return self.expected_bytes - self.held_bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class ProgressRule:
    """How long a client may make no progress.

    Attributes
    ----------
    pause_s : float
        Longest pause of a client.
    min_rate : float
        Rate in bytes per second below which a client uses up its pause.
    """

    pause_s: float
    min_rate: float

    def start(self, holder: Holder, *, now: float) -> None:
        """Begin to wait for the client."""
        holder.deadline = now + self.pause_s

    def record(self, holder: Holder, count: int, *, now: float) -> None:
        """Extend the deadline by what has been transferred."""
        extended = holder.deadline + count / self.min_rate
        holder.deadline = min(extended, now + self.pause_s)

    def lag_s(self, holder: Holder, *, now: float) -> float:
        """Return for how long a client has made less progress than the rate."""
        return now + self.pause_s - holder.deadline

    def pause(self, holder: Holder, *, now: float) -> None:
        """Stop the time of a client from which this process does not read."""
        if holder.paused_at is None:
            holder.paused_at = now

    def resume(self, holder: Holder, *, now: float) -> None:
        """Continue the time of a client."""
        if holder.paused_at is not None:
            holder.deadline += now - holder.paused_at
            holder.paused_at = None


# Bodies of callers: a pause as long as the longest idle time that callers are granted,
# and a rate at which hundreds of callers can share the slowest link of a VM.
BODY_PROGRESS = ProgressRule(pause_s=15.0, min_rate=2048.0)
# A body or reader with a lag below this is never closed to make room: retransmissions
# after a loss take some hundred milliseconds.
STALL_S = 1.0


@dataclass(slots=True, kw_only=True)
class MemoryAccount:
    """Sums of the held bytes, and the decisions about them.

    Attributes
    ----------
    total_bytes : int
        Bytes that may be held.
    held_bytes, peak_bytes : int
        Bytes held now, and the largest value since the start.
    holders : set of Holder
        All that hold something or wait for it.
    """

    total_bytes: int
    held_bytes: int = 0
    peak_bytes: int = 0
    holders: set[Holder] = field(default_factory=set)

    @property
    def is_full(self) -> bool:
        """Whether a large body would have to wait."""
        return self.held_bytes + SMALL_BODY_BYTES > self._limit(small=False)

    def fits(self, holder: Holder, count: int, *, completing: bool = False) -> bool:
        """Return whether a holder may hold more.

        Parameters
        ----------
        completing : bool
            Whether the holder may use the reserve for the completion of bodies.
        """
        limit = self.total_bytes if completing else self._limit(small=holder.small)
        return self.held_bytes + count <= limit

    def charge(self, holder: Holder, count: int) -> None:
        """Charge bytes to a holder; the caller has asked ``fits`` where it can wait."""
        self.holders.add(holder)
        holder.held_bytes += count
        self.add(count)

    def add(self, count: int) -> None:
        """Charge or return bytes that no client can be closed for."""
        self.held_bytes += count
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def release(self, holder: Holder) -> None:
        """Return all that a holder has charged; a second call has no effect."""
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0
        holder.deadline = float("inf")
        self.holders.discard(holder)

    def overdue(self, *, now: float) -> list[Holder]:
        """Return the holders whose clients have made no progress until a deadline."""
        return [
            holder
            for holder in self.holders
            if holder.deadline <= now and holder.paused_at is None
        ]

    def victim(self, waiting: Holder | None, *, now: float) -> Holder | None:
        """Return what to close so that another holder can grow, or None.

        Parameters
        ----------
        waiting : Holder or None
            The holder that waits for room; None if the account is overdrawn.
        """
        candidates = [
            holder
            for holder in self.holders
            if holder.waits_for_client and holder.held_bytes and holder is not waiting
        ]
        stalled = [
            holder
            for holder in candidates
            if BODY_PROGRESS.lag_s(holder, now=now) >= STALL_S
        ]
        if stalled:
            # The request of a response has run already; closing it loses more.
            return min(
                stalled, key=lambda holder: (holder.is_response, holder.deadline)
            )
        if waiting is None:
            return None
        return self._over_share(waiting, candidates, _address) or self._over_share(
            waiting, candidates, _organisation
        )

    def _limit(self, *, small: bool) -> int:
        total = self.total_bytes
        limit = total - total // COMPLETION_RESERVE_DIVISOR
        return limit if small else limit - total // SMALL_RESERVE_DIVISOR

    def _over_share(
        self,
        waiting: Holder,
        candidates: Iterable[Holder],
        party_of: Callable[[Holder], str | None],
    ) -> Holder | None:
        """Return the slowest holder of the party that holds most, if above its share.

        The party of the waiting holder has to hold less than its share.
        """
        held: dict[str, int] = {}
        for holder in self.holders:
            party = party_of(holder)
            if party:
                held[party] = held.get(party, 0) + holder.held_bytes
        own = party_of(waiting)
        if not own or len(held) < 2:
            return None
        share = self.total_bytes // len(held)
        largest = max(held, key=lambda party: held[party])
        if largest == own or held[largest] <= share or held.get(own, 0) >= share:
            return None
        return min(
            (
                holder
                for holder in candidates
                if party_of(holder) == largest and not holder.is_response
            ),
            key=lambda holder: holder.deadline,
            default=None,
        )


def _address(holder: Holder) -> str | None:
    return holder.address


def _organisation(holder: Holder) -> str | None:
    return holder.organisation
