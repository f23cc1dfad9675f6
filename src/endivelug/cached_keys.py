"""Keys that one engine caches, from its delayed and possibly incomplete events."""

import enum
import struct
import sys
from array import array
from bisect import bisect_left
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

KEY_BYTES = 8
# After this time without events or keep-alives, the cached keys are not used.
MAX_AGE_S = 10.0
# Inserting into one sorted array of 50,000 keys moves 200 KB per event. With 256
# buckets it moves less than 2 KB; the empty arrays take 20 KB per engine.
_BUCKETS = 256
_BUCKET_SHIFT = 56


def pack_keys(keys: Iterable[int]) -> bytes:
    """Pack keys as 8 bytes each, most significant byte first.

    Examples
    --------
    >>> unpack_keys(pack_keys([1, 2**64 - 1]))
    (1, 18446744073709551615)
    """
    listed = list(keys)
    return struct.pack(f">{len(listed)}Q", *listed)


def check_keys(packed: bytes) -> None:
    """Raise ``ValueError`` if the length is not a multiple of 8 bytes."""
    if len(packed) % KEY_BYTES:
        raise ValueError("packed keys are 8 bytes each; resync from the engine")


def unpack_keys(packed: bytes) -> tuple[int, ...]:
    """Unpack keys packed by `pack_keys`.

    Raises
    ------
    ValueError
        If the length is not a multiple of 8 bytes.
    """
    check_keys(packed)
    return struct.unpack(f">{len(packed) // KEY_BYTES}Q", packed)


class BatchOutcome(enum.Enum):
    """Outcome of applying one batch of cache events."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    OLD_INCARNATION = "old-incarnation"
    GAP = "gap"


@dataclass(slots=True, kw_only=True)
class CacheBatch:
    """One batch of cache events of an engine.

    Attributes
    ----------
    incarnation : int
        Incarnation of the engine process; every restart raises it.
    first : int
        Sequence number of the batch, from 0 in each incarnation.
    added, removed : bytes
        Packed keys; both are empty in a keep-alive.
    snapshot : bool
        Whether ``added`` is the complete cache content after batch ``first``.
    """

    incarnation: int
    first: int
    added: bytes = b""
    removed: bytes = b""
    snapshot: bool = False


def _empty_buckets() -> list["array[int]"]:
    return [array("Q") for _ in range(_BUCKETS)]


@dataclass(slots=True, kw_only=True)
class CachedKeys:
    """Keys in the cache of one engine; about 9 bytes per key.

    Attributes
    ----------
    incarnation : int
        Incarnation of the engine that the keys belong to; 0 before the first batch.
    next_sequence : int
        Sequence number expected of the next batch.
    synced : bool
        False from a gap until the missing batches or a snapshot are applied.
    last_event_at : float
        Time of the last event or keep-alive, in seconds.
    """

    incarnation: int = 0
    next_sequence: int = 0
    synced: bool = False
    last_event_at: float = float("-inf")
    _buckets: list["array[int]"] = field(default_factory=_empty_buckets)
    _count: int = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return self._count

    def __contains__(self, key: int) -> bool:
        """Return whether the key is in the set, regardless of sync and age."""
        bucket = self._buckets[key >> _BUCKET_SHIFT]
        position = bisect_left(bucket, key)
        return position < len(bucket) and bucket[position] == key

    @property
    def resume_after(self) -> int:
        """Return the last sequence number applied, to resync from; -1 for none."""
        return self.next_sequence - 1

    def is_known(self, now: float) -> bool:
        """Return whether the keys are in sync and recent enough to be used."""
        return self.synced and now - self.last_event_at <= MAX_AGE_S

    def apply(self, batch: CacheBatch, *, now: float) -> BatchOutcome:
        """Apply one batch of the engine's event stream.

        Parameters
        ----------
        batch : CacheBatch
            The batch; duplicates and batches of an earlier incarnation are ignored.
        now : float
            Time in seconds.

        Returns
        -------
        BatchOutcome
            On ``GAP``, the caller must resync after ``resume_after``.

        Raises
        ------
        ValueError
            If the packed keys are malformed; nothing was applied.
        """
        if batch.incarnation < self.incarnation:
            return BatchOutcome.OLD_INCARNATION
        check_keys(batch.added)
        removed = unpack_keys(batch.removed)
        self.observe_incarnation(batch.incarnation)
        self.last_event_at = max(self.last_event_at, now)
        if batch.snapshot:
            # A snapshot older than the applied batches would restore evicted keys.
            if batch.first < self.resume_after or (
                self.synced and batch.first == self.resume_after
            ):
                return BatchOutcome.DUPLICATE
            self._load(batch.added)
        elif batch.first < self.next_sequence:
            return BatchOutcome.DUPLICATE
        elif batch.first > self.next_sequence:
            self.synced = False
            return BatchOutcome.GAP
        else:
            for key in removed:
                self._remove(key)
            for key in unpack_keys(batch.added):
                self._add(key)
        self.next_sequence = batch.first + 1
        self.synced = True
        return BatchOutcome.APPLIED

    def observe_incarnation(self, incarnation: int) -> bool:
        """Discard all keys if the engine has restarted.

        Parameters
        ----------
        incarnation : int
            Incarnation from any source, for example a response header.

        Returns
        -------
        bool
            Whether the incarnation is newer than the recorded one.
        """
        if incarnation <= self.incarnation:
            return False
        self.incarnation = incarnation
        self.next_sequence = 0
        self.invalidate()
        return True

    def invalidate(self) -> None:
        """Discard all keys until a snapshot or a complete replay restores them."""
        self.next_sequence = 0
        self.synced = False
        self._buckets = _empty_buckets()
        self._count = 0

    def depth(
        self, keys: Sequence[int], *, now: float, announced_keys: Collection[int] = ()
    ) -> int:
        """Return the number of leading keys that are cached or about to be.

        Parameters
        ----------
        keys : sequence of int
            Keys of a prompt, root first.
        now : float
            Time in seconds.
        announced_keys : collection of int
            Keys of announced work that the engine is about to cache,
            `OutstandingWork.announced_keys`.
        """
        known = self.is_known(now)
        for depth, key in enumerate(keys):
            if key not in announced_keys and not (known and key in self):
                return depth
        return len(keys)

    def _add(self, key: int) -> None:
        bucket = self._buckets[key >> _BUCKET_SHIFT]
        position = bisect_left(bucket, key)
        if position == len(bucket) or bucket[position] != key:
            bucket.insert(position, key)
            self._count += 1

    def _remove(self, key: int) -> None:
        bucket = self._buckets[key >> _BUCKET_SHIFT]
        position = bisect_left(bucket, key)
        if position < len(bucket) and bucket[position] == key:
            del bucket[position]
            self._count -= 1

    def _load(self, packed: bytes) -> None:
        """Replace all keys; uses 16 bytes per key during the call, 100 with ints."""
        self.invalidate()
        keys = array("Q", packed)
        if sys.byteorder == "little":
            keys.byteswap()
        for key in keys:
            self._buckets[key >> _BUCKET_SHIFT].append(key)
        for position, bucket in enumerate(self._buckets):
            self._buckets[position] = array("Q", sorted(set(bucket)))
            self._count += len(self._buckets[position])
