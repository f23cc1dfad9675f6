"""The table row ``config/head``, and the keys of delta rows and snapshot objects."""

from dataclasses import dataclass

import cbor2

from endivelug.exceptions import ConfigurationDamaged
from endivelug.transactions import (
    Row,
)

HEAD_KEY = "config/head"


def delta_key(revision: int) -> str:
    """Return the table key of a delta; keys sort in revision order."""
    return f"config/delta/{revision:012d}"


def snapshot_name(revision: int, digest: int) -> str:
    """Return the object name of a snapshot.

    The digest is part of the name because two concurrent editors may each write a
    snapshot of the same revision before one of them loses the compare-and-swap.
    """
    return f"config-snapshot-{revision:012d}-{digest:016x}"


@dataclass(slots=True, kw_only=True)
class Head:
    """The newest configuration revision, as stored in row ``config/head``.

    Attributes
    ----------
    revision, digest : int
        Newest revision and the digest of its content; 0 before the first edit.
    token : bytes
        Token of the edit that created this revision.
    snapshot_revision, snapshot_digest : int
        Revision and digest of the newest snapshot in the object store; 0 before
        the first.
    mod_revision : int
        Table revision at which the row was last modified; 0 if the row does not
        exist yet.
    """

    revision: int = 0
    digest: int = 0
    token: bytes = b""
    snapshot_revision: int = 0
    snapshot_digest: int = 0
    mod_revision: int = 0

    def pack(self) -> bytes:
        """Encode the head as the value of its table row."""
        return bytes(
            cbor2.dumps(
                [
                    self.revision,
                    self.digest,
                    self.token,
                    self.snapshot_revision,
                    self.snapshot_digest,
                ]
            )
        )


def unpack_head(row: Row | None) -> Head:
    """Decode a head; a missing row gives the head of a table without edits.

    Raises
    ------
    ConfigurationDamaged
        If the row does not hold a head.
    """
    if row is None:
        return Head()
    try:
        revision, digest, token, snapshot_revision, snapshot_digest = cbor2.loads(
            row.value
        )
    except Exception as error:
        raise ConfigurationDamaged(f"{HEAD_KEY} is not a head ({error})") from error
    return Head(
        revision=revision,
        digest=digest,
        token=token,
        snapshot_revision=snapshot_revision,
        snapshot_digest=snapshot_digest,
        mod_revision=row.mod_revision,
    )
