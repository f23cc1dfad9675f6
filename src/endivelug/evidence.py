"""What one engine is known to cache, from its late and incomplete event stream."""

import enum
import struct
import sys
from array import array
from bisect import bisect_left
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

KEY_BYTES = 8
MAX_AGE_S = 10.0
# Inserting into one sorted array of 50,000 keys moves 200 KB per event; a part of
# it moves under 2 KB, and 256 empty arrays are 20 KB per engine.
_PARTS = 256
_PART_SHIFT = 56


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
    """Raise ``ValueError`` where the length is not a multiple of 8 bytes."""
    if len(packed) % KEY_BYTES:
        raise ValueError("packed keys are 8 bytes each; resync from the engine")


def unpack_keys(packed: bytes) -> tuple[int, ...]:
    """Unpack keys packed by `pack_keys`.

    Raises
    ------
    ValueError
        Where the length is not a multiple of 8 bytes.
    """
    check_keys(packed)
    return struct.unpack(f">{len(packed) // KEY_BYTES}Q", packed)


class Applied(enum.Enum):
    """What became of one batch of cache events."""

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
        Start of the engine process; a restart has a higher one.
    first : int
        Sequence number of the batch, from 0 in each incarnation.
    added, removed : bytes
        Packed keys; both empty in a keep-alive.
    snapshot : bool
        Whether ``added`` is the complete content after batch ``first``.
    """

    incarnation: int
    first: int
    added: bytes = b""
    removed: bytes = b""
    snapshot: bool = False


def _empty_parts() -> list["array[int]"]:
    return [array("Q") for _ in range(_PARTS)]


@dataclass(slots=True, kw_only=True)
class EngineEvidence:
    """Keys that one engine is known to cache; about 9 bytes per key.

    Attributes
    ----------
    incarnation : int
        Incarnation that the keys belong to; 0 before the first batch.
    next_sequence : int
        Sequence number of the next batch in order.
    synced : bool
        False from a gap until the missing batches or a snapshot have arrived.
    heard_at : float
        Time of the last event or keep-alive, in seconds.
    """

    incarnation: int = 0
    next_sequence: int = 0
    synced: bool = False
    heard_at: float = float("-inf")
    _parts: list["array[int]"] = field(default_factory=_empty_parts)
    _count: int = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return self._count

    def __contains__(self, key: int) -> bool:
        """Return whether the key is held, without regard to sync and age."""
        part = self._parts[key >> _PART_SHIFT]
        place = bisect_left(part, key)
        return place < len(part) and part[place] == key

    @property
    def resume_after(self) -> int:
        """Return the last sequence number applied, -1 for none: where to resync."""
        return self.next_sequence - 1

    def is_known(self, now: float) -> bool:
        """Return whether the keys may be relied on."""
        return self.synced and now - self.heard_at <= MAX_AGE_S

    def apply(self, batch: CacheBatch, *, now: float) -> Applied:
        """Apply one batch of the engine's event stream.

        Parameters
        ----------
        batch : CacheBatch
            The batch; duplicates and batches of an earlier incarnation are ignored.
        now : float
            Time in seconds.

        Returns
        -------
        Applied
            ``GAP`` tells the caller to resync after ``resume_after``.

        Raises
        ------
        ValueError
            Where the packed keys are malformed; nothing was applied.
        """
        if batch.incarnation < self.incarnation:
            return Applied.OLD_INCARNATION
        check_keys(batch.added)
        removed = unpack_keys(batch.removed)
        self.observe_incarnation(batch.incarnation)
        self.heard_at = max(self.heard_at, now)
        if batch.snapshot:
            # A snapshot older than the batches applied would bring back evicted keys.
            if batch.first < self.resume_after or (
                self.synced and batch.first == self.resume_after
            ):
                return Applied.DUPLICATE
            self._load(batch.added)
        elif batch.first < self.next_sequence:
            return Applied.DUPLICATE
        elif batch.first > self.next_sequence:
            self.synced = False
            return Applied.GAP
        else:
            for key in removed:
                self._remove(key)
            for key in unpack_keys(batch.added):
                self._add(key)
        self.next_sequence = batch.first + 1
        self.synced = True
        return Applied.APPLIED

    def observe_incarnation(self, incarnation: int) -> bool:
        """Discard everything where the engine has restarted.

        Parameters
        ----------
        incarnation : int
            Incarnation from any source, for example a response header.

        Returns
        -------
        bool
            Whether the incarnation is newer than the one held.
        """
        if incarnation <= self.incarnation:
            return False
        self.incarnation = incarnation
        self.next_sequence = 0
        self.invalidate()
        return True

    def invalidate(self) -> None:
        """Discard all keys; a snapshot or a complete replay makes them known again."""
        self.next_sequence = 0
        self.synced = False
        self._parts = _empty_parts()
        self._count = 0

    def depth(
        self, keys: Sequence[int], *, now: float, soon: Collection[int] = ()
    ) -> int:
        """Return the number of leading keys held or about to be held.

        Parameters
        ----------
        keys : sequence of int
            Keys of a prompt, root first.
        now : float
            Time in seconds.
        soon : collection of int
            Keys announced to be computed, `OutstandingWork.announced_keys`.
        """
        known = self.is_known(now)
        for depth, key in enumerate(keys):
            if key not in soon and not (known and key in self):
                return depth
        return len(keys)

    def _add(self, key: int) -> None:
        part = self._parts[key >> _PART_SHIFT]
        place = bisect_left(part, key)
        if place == len(part) or part[place] != key:
            part.insert(place, key)
            self._count += 1

    def _remove(self, key: int) -> None:
        part = self._parts[key >> _PART_SHIFT]
        place = bisect_left(part, key)
        if place < len(part) and part[place] == key:
            del part[place]
            self._count -= 1

    def _load(self, packed: bytes) -> None:
        """Replace all keys; needs 16 bytes per key meanwhile, not 100 as objects."""
        self.invalidate()
        keys = array("Q", packed)
        if sys.byteorder == "little":
            keys.byteswap()
        for key in keys:
            self._parts[key >> _PART_SHIFT].append(key)
        for place, part in enumerate(self._parts):
            self._parts[place] = array("Q", sorted(set(part)))
            self._count += len(self._parts[place])
