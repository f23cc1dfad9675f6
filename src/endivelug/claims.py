"""At-most-once claims of non-idempotent calls, stored in the platform's table.

A VM writes a claim for the idempotency key, dispatches the call once and records its
outcome. No other VM ever takes a claim over. Every transaction in this module is
idempotent and stays correct if an earlier copy, whose response was lost, takes effect
later.
"""

import dataclasses
import datetime
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import cbor2

from endivelug.refusals import InProgress, MayHaveRun, NotRun, Outcome, Ran
from endivelug.transactions import (
    Absent,
    Condition,
    Delete,
    Get,
    Operation,
    Put,
    Transaction,
    TransactionResult,
    ValueEquals,
)

PREFIX = "claim/"
RECORD_VERSION = 1
# Larger response bodies go to the object store: a group of 64 outcomes has to stay
# below the request limit of the table service (1.5 MB in etcd).
MAX_RECORDED_BODY = 16 * 1024
# Keeps the current day, the day before and one day of margin for wrong clocks.
RETENTION_DAYS = 2
MAX_RETRY_AFTER_S = 5.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Claimed:
    """The claimant may dispatch the call, or may already have dispatched it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Released:
    """The claimant did not dispatch the call and never will.

    The record stays in the table, so that the conditions of a delayed copy of the
    claim fail.
    """


@dataclass(slots=True, kw_only=True, frozen=True)
class Completed:
    """The call ran and the upstream responded.

    Attributes
    ----------
    body : bytes or None
        Response body; None if it is in the object store or was not stored.
    object_name : str
        Name of the body in the object store; empty if it is not there.
    """

    status: int
    content_type: str
    body: bytes | None
    object_name: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Unresolved:
    """The call was dispatched without a complete response; it may have run."""

    kind: str


State = Claimed | Released | Completed | Unresolved
_STATES: tuple[type[State], ...] = (Claimed, Released, Completed, Unresolved)


@dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """The claim of one attempt of a call.

    Attributes
    ----------
    keys : tuple of str
        Table keys of the day before, the day of the claim and the day after. The
        claim is written under the second one; the others catch claims of the same
        idempotency key around midnight and by VMs whose clocks differ.
    request_digest : bytes
        Digest of method, target and body.
    claimant : str
        Name of the VM that claims the call.
    token : bytes
        Random value, unique to this attempt.
    deadline : float
        Unix seconds until which duplicates get the response "in progress".
    """

    keys: tuple[str, str, str]
    request_digest: bytes
    claimant: str
    token: bytes
    deadline: float

    @property
    def key(self) -> str:
        """Table key under which the claim is written."""
        return self.keys[1]

    def value(self, state: State) -> bytes:
        """Return the encoded table record of this claim in the given state."""
        fields = [getattr(state, item.name) for item in dataclasses.fields(state)]
        record = [
            RECORD_VERSION,
            self.request_digest,
            self.claimant,
            self.token,
            self.deadline,
            _STATES.index(type(state)),
            fields,
        ]
        return cbor2.dumps(record)


@dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """A claim and its state as read from the table."""

    request_digest: bytes
    claimant: str
    token: bytes
    deadline: float
    state: State


@dataclass(slots=True, kw_only=True)
class ClaimAcquired:
    """The claim is in the table: only this attempt may dispatch the call."""


@dataclass(slots=True, kw_only=True)
class ClaimConflict:
    """Another attempt has claimed the idempotency key."""

    record: Record


@dataclass(slots=True, kw_only=True)
class ClaimReplaceable:
    """The key has only released claims, which a new claim may replace.

    Attributes
    ----------
    rows : dict of str to bytes
        The released records by table key, to be passed to the next
        ``claim_transaction``.
    """

    rows: dict[str, bytes]


def utc_day(now: float, *, offset: int = 0) -> str:
    """Return the UTC date of a Unix time, shifted by ``offset`` days.

    Examples
    --------
    >>> utc_day(86399.0), utc_day(86399.0, offset=1)
    ('1970-01-01', '1970-01-02')
    """
    moment = datetime.datetime.fromtimestamp(now, datetime.UTC)
    return (moment + datetime.timedelta(days=offset)).date().isoformat()


def claim_keys(
    *, organisation: str, idempotency_key: str, now: float
) -> tuple[str, str, str]:
    """Return the claim's table keys for the previous, the current and the next day."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    owner = quote(organisation, safe="")
    before, day, after = (
        f"{PREFIX}{utc_day(now, offset=offset)}/{owner}/{digest}"
        for offset in (-1, 0, 1)
    )
    return before, day, after


def request_digest(*, method: str, target: str, body: bytes) -> bytes:
    """Return a digest that distinguishes requests with the same idempotency key.

    The length of each part is hashed too, so that bytes which move from one part to
    the next give another digest.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def parse_record(value: bytes) -> Record:
    """Parse a claim record.

    Raises
    ------
    ValueError
        If the value is not a record of this version.
    """
    document: Any = cbor2.loads(value)
    if not isinstance(document, list) or document[:1] != [RECORD_VERSION]:
        raise ValueError(
            "unsupported claim record version; purge the claims of that day"
        )
    _, digest, claimant, token, deadline, state_index, fields = document
    state_type = _STATES[state_index]
    names = [item.name for item in dataclasses.fields(state_type)]
    return Record(
        request_digest=digest,
        claimant=claimant,
        token=token,
        deadline=deadline,
        state=state_type(**dict(zip(names, fields, strict=True))),
    )


def claim_transaction(claim: Claim, *, replaceable: dict[str, bytes]) -> Transaction:
    """Return the transaction that writes a claim if its key is not claimed.

    Parameters
    ----------
    claim : Claim
        The claim to write.
    replaceable : dict of str to bytes
        Released records by table key, which do not prevent the claim
        (``ClaimReplaceable.rows``).
    """
    return Transaction(
        conditions=_unclaimed_conditions(claim, replaceable),
        success=[Put(key=claim.key, value=claim.value(Claimed()))],
        failure=[Get(key=key) for key in claim.keys],
    )


def claim_result(
    claim: Claim, result: TransactionResult
) -> ClaimAcquired | ClaimConflict | ClaimReplaceable:
    """Interpret the result of a ``claim_transaction``.

    An earlier copy of the transaction, whose response was lost, may have written the
    claim. A record with the claim's own token therefore counts as success.
    """
    if result.succeeded:
        return ClaimAcquired()
    records = {row.key: parse_record(row.value) for row in result.rows}
    for record in records.values():
        if record.token == claim.token and isinstance(record.state, Claimed):
            return ClaimAcquired()
    for record in records.values():
        if not isinstance(record.state, Released):
            return ClaimConflict(record=record)
    return ClaimReplaceable(rows={row.key: row.value for row in result.rows})


def outcome_transaction(claim: Claim, state: Completed | Unresolved) -> Transaction:
    """Return the transaction that records the outcome of a dispatched call."""
    return Transaction(
        conditions=[ValueEquals(key=claim.key, value=claim.value(Claimed()))],
        success=[Put(key=claim.key, value=claim.value(state))],
        failure=[Get(key=claim.key)],
    )


def release_transaction(claim: Claim, *, replaceable: dict[str, bytes]) -> Transaction:
    """Return the transaction that releases the claim of a call never dispatched.

    If the claim is not in the table, a delayed copy of it may still arrive. The
    released record is then written in its place, so that the copy's conditions fail.

    Parameters
    ----------
    claim : Claim
        The claim to release.
    replaceable : dict of str to bytes
        As passed to the last ``claim_transaction``.
    """
    released = Put(key=claim.key, value=claim.value(Released()))
    return Transaction(
        conditions=[ValueEquals(key=claim.key, value=claim.value(Claimed()))],
        success=[released],
        failure=[
            Transaction(
                conditions=_unclaimed_conditions(claim, replaceable),
                success=[released],
            )
        ],
    )


def _unclaimed_conditions(
    claim: Claim, replaceable: dict[str, bytes]
) -> list[Condition]:
    """Return the conditions under which a claim may be written."""
    return [
        ValueEquals(key=key, value=replaceable[key])
        if key in replaceable
        else Absent(key=key)
        for key in claim.keys
    ]


def written_keys(transaction: Transaction) -> set[str]:
    """Return the keys that a transaction may write, nested transactions included."""
    keys: set[str] = set()
    operations: Iterable[Operation] = [*transaction.success, *transaction.failure]
    for operation in operations:
        match operation:
            case Put() | Delete():
                keys.add(operation.key)
            case Transaction():
                keys |= written_keys(operation)
            case Get():
                pass
    return keys


def outcome_for_duplicate(record: Record, *, digest: bytes, now: float) -> Outcome:
    """Return the outcome for a request whose key another attempt has claimed.

    Parameters
    ----------
    record : Record
        The record of the other attempt; its state is not ``Released``.
    digest : bytes
        Request digest of the duplicate.
    now : float
        Unix seconds.

    Returns
    -------
    Outcome
        ``Ran`` without a body if the body is in the object store or was not stored.
    """
    if record.request_digest != digest:
        return NotRun(
            kind="idempotency-key-reused",
            status=422,
            remedy="send a new Idempotency-Key with a different request",
        )
    match record.state:
        case Claimed() if now < record.deadline:
            # Ask for a retry within a second: most calls end long before the deadline.
            wait_s = min(max(record.deadline - now, 0.1), MAX_RETRY_AFTER_S)
            return InProgress(retry_after_s=min(wait_s, 1.0))
        case Completed(status=status, content_type=content_type, body=body):
            return Ran(
                status=status, content_type=content_type, body=body, replayed=True
            )
        case Unresolved(kind=kind):
            return MayHaveRun(kind=kind)
        case _:
            return MayHaveRun(kind="claimant-lost")


def purge_range(now: float) -> tuple[str, str]:
    """Return the range of keys that may be deleted, as start and exclusive end.

    Examples
    --------
    >>> purge_range(10 * 86400.0)
    ('claim/', 'claim/1970-01-09/')
    """
    return PREFIX, f"{PREFIX}{utc_day(now, offset=-RETENTION_DAYS)}/"
