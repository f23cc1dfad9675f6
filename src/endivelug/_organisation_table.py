"""Compact in-memory table of organisations: about 90 bytes each, 400 as objects.

All records are in one buffer. Two sorted arrays of 64-bit hashes index them by name
and by key digest.
"""

import hashlib
import hmac
from array import array
from bisect import bisect_left
from collections.abc import Iterator

from endivelug.lists import Organisation

DIGEST_BYTES = 32
_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


def pack_organisation(organisation: Organisation) -> bytes:
    """Encode an organisation as a record.

    A record has three fields: name, plan and key digests. Each one starts with a byte
    for its length or count.
    """
    name, plan = organisation.name.encode(), organisation.plan.encode()
    return b"".join(
        (
            bytes((len(name),)),
            name,
            bytes((len(plan),)),
            plan,
            bytes((len(organisation.keys),)),
            *organisation.keys,
        )
    )


def record_end(buffer: bytes | bytearray | memoryview, start: int) -> int:
    """Return the offset at which the record at ``start`` ends.

    Raises
    ------
    IndexError
        If the buffer ends within the record.
    """
    plan_start = start + 1 + buffer[start]
    count_at = plan_start + 1 + buffer[plan_start]
    end = count_at + 1 + buffer[count_at] * DIGEST_BYTES
    if end > len(buffer):
        raise IndexError("truncated record")
    return end


def unpack_organisation(record: bytes) -> Organisation:
    """Decode an organisation from its record."""
    plan_start = 1 + record[0]
    count_at = plan_start + 1 + record[plan_start]
    keys_start = count_at + 1
    return Organisation(
        name=record[1:plan_start].decode(),
        plan=record[plan_start + 1 : count_at].decode(),
        keys=tuple(
            record[start : start + DIGEST_BYTES]
            for start in range(keys_start, len(record), DIGEST_BYTES)
        ),
    )


def _name_hash(name: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")


def _key_hash(digest: bytes) -> int:
    return int.from_bytes(digest[:8], "big")


class _HashIndex:
    """Sorted hashes with the offsets of their records."""

    def __init__(self, entries: list[int]) -> None:
        # An entry is a single integer of hash and offset, because a tuple would take
        # three times the memory.
        entries.sort()
        self.hashes = array("Q", (entry >> _OFFSET_BITS for entry in entries))
        self.offsets = array("I", (entry & _OFFSET_MASK for entry in entries))

    def find(self, value: int) -> Iterator[int]:
        position = bisect_left(self.hashes, value)
        while position < len(self.hashes) and self.hashes[position] == value:
            yield self.offsets[position]
            position += 1

    def add(self, value: int, offset: int) -> None:
        position = bisect_left(self.hashes, value)
        self.hashes.insert(position, value)
        self.offsets.insert(position, offset)

    def discard(self, value: int, offset: int) -> None:
        position = bisect_left(self.hashes, value)
        while self.hashes[position] == value:
            if self.offsets[position] == offset:
                del self.hashes[position], self.offsets[position]
                return
            position += 1


class OrganisationTable:
    """Organisations by name and by caller key.

    Parameters
    ----------
    records : bytes
        Concatenated records.

    Raises
    ------
    ValueError
        If the records are malformed.
    """

    def __init__(self, records: bytes | bytearray = b"") -> None:
        self.buffer = bytearray(records)
        self._build_indexes()

    def _build_indexes(self) -> None:
        self.unused_bytes = 0
        self._free_offsets: dict[int, list[int]] = {}
        names: list[int] = []
        keys: list[int] = []
        start = 0
        try:
            while start < len(self.buffer):
                end = record_end(self.buffer, start)
                record = bytes(self.buffer[start:end])
                names.append(_name_hash(_record_name(record)) << _OFFSET_BITS | start)
                keys.extend(
                    _key_hash(key) << _OFFSET_BITS | start
                    for key in _record_keys(record)
                )
                start = end
        except IndexError as error:
            raise ValueError("truncated organisation record") from error
        self._names = _HashIndex(names)
        self._keys = _HashIndex(keys)

    def __len__(self) -> int:
        return len(self._names.hashes)

    def record(self, name: str) -> bytes | None:
        """Return the record of an organisation, or None."""
        offset = self._find_offset(name.encode())
        return None if offset is None else self._record_at(offset)

    def record_of_key(self, digest: bytes) -> bytes | None:
        """Return the record that contains a key digest, or None."""
        for offset in self._keys.find(_key_hash(digest)):
            record = self._record_at(offset)
            for key in _record_keys(record):
                if hmac.compare_digest(key, digest):
                    return record
        return None

    def put(self, record: bytes) -> None:
        """Add or replace an organisation."""
        self.remove(_record_name(record).decode())
        free_offsets = self._free_offsets.get(len(record))
        if free_offsets:
            offset = free_offsets.pop()
            self.buffer[offset : offset + len(record)] = record
            self.unused_bytes -= len(record)
        else:
            offset = len(self.buffer)
            self.buffer += record
        self._names.add(_name_hash(_record_name(record)), offset)
        for key in _record_keys(record):
            self._keys.add(_key_hash(key), offset)

    def remove(self, name: str) -> None:
        """Remove an organisation if it exists."""
        offset = self._find_offset(name.encode())
        if offset is None:
            return
        record = self._record_at(offset)
        self._names.discard(_name_hash(_record_name(record)), offset)
        for key in _record_keys(record):
            self._keys.discard(_key_hash(key), offset)
        self._free_offsets.setdefault(len(record), []).append(offset)
        self.unused_bytes += len(record)
        # The buffer is compacted only here, because that takes about 0.1 s for 35,000
        # records, too long for each change. Freed space is reused, so only a list that
        # shrinks reaches this limit.
        if self.unused_bytes * 2 > len(self.buffer):
            self.buffer = bytearray(b"".join(self.records()))
            self._build_indexes()

    def records(self) -> Iterator[bytes]:
        """Yield all records in the order of their offsets."""
        for offset in sorted(self._names.offsets):
            yield self._record_at(offset)

    def _record_at(self, offset: int) -> bytes:
        return bytes(self.buffer[offset : record_end(self.buffer, offset)])

    def _find_offset(self, name: bytes) -> int | None:
        for offset in self._names.find(_name_hash(name)):
            if _record_name(self._record_at(offset)) == name:
                return offset
        return None


def _record_name(record: bytes) -> bytes:
    return record[1 : 1 + record[0]]


def _record_keys(record: bytes) -> Iterator[bytes]:
    plan_start = 1 + record[0]
    keys_start = plan_start + 2 + record[plan_start]
    for start in range(keys_start, len(record), DIGEST_BYTES):
        yield record[start : start + DIGEST_BYTES]
