"""Encoding of configuration changes, deltas and snapshots.

A digest is the sum, modulo 2**64, of one hash per record. It does not depend on the
order of the records, and a change of one record updates it without rehashing the
others.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import cbor2

from endivelug._organisation_table import (
    OrganisationTable,
    pack_organisation,
    record_end,
    unpack_organisation,
)
from endivelug.lists import (
    Change,
    OrganisationRemoved,
    OrganisationSet,
    Plan,
    PlanRemoved,
    PlanSet,
)

DIGEST_MODULUS = 1 << 64
# Size of the length prefix of the plans in a snapshot.
_LENGTH_BYTES = 4


class MalformedRecord(ValueError):
    """Bytes that do not decode as a configuration record; use another source."""


@dataclass(slots=True, kw_only=True)
class Delta:
    """The edit that created one revision.

    Attributes
    ----------
    token : bytes
        Unique token by which the editor recognises its own edit.
    digest : int
        Digest of the configuration after the edit.
    changes : list of Change or None
        None if the edit is too large for a table row; its result is then stored
        as the snapshot of this revision in the object store.
    """

    token: bytes
    digest: int
    changes: list[Change] | None


def pack_plan(plan: Plan) -> bytes:
    """Encode a plan as a record."""
    return bytes(cbor2.dumps(_plan_to_array(plan)))


def plan_hash(plan: Plan) -> int:
    """Return the 64-bit hash of a plan."""
    return _hash(b"plan", pack_plan(plan))


def organisation_hash(record: bytes) -> int:
    """Return the 64-bit hash of an organisation's record."""
    return _hash(b"organisation", record)


def _hash(kind: bytes, record: bytes) -> int:
    digest = hashlib.blake2b(record, digest_size=8, person=kind).digest()
    return int.from_bytes(digest, "big")


def _plan_to_array(plan: Plan) -> list[Any]:
    return [
        plan.name,
        list(plan.models),
        list(plan.adapters),
        sorted(plan.versions.items()),
        list(plan.routes),
        float(plan.requests_s),
        float(plan.tokens_s),
        plan.streams,
        sorted(plan.work_class.items()),
        float(plan.weight),
    ]


def _plan_from_array(array: list[Any]) -> Plan:
    name, models, adapters, versions, routes, *rest = array
    requests_s, tokens_s, streams, work_class, weight = rest
    return Plan(
        name=name,
        models=tuple(models),
        adapters=tuple(adapters),
        versions=dict(versions),
        routes=tuple(routes),
        requests_s=requests_s,
        tokens_s=tokens_s,
        streams=streams,
        work_class=dict(work_class),
        weight=weight,
    )


def _change_to_array(change: Change) -> list[Any]:
    match change:
        case PlanSet(plan=plan):
            return [0, _plan_to_array(plan)]
        case PlanRemoved(name=name):
            return [1, name]
        case OrganisationSet(organisation=organisation):
            return [2, pack_organisation(organisation)]
        case OrganisationRemoved(name=name):
            return [3, name]


def _change_from_array(array: list[Any]) -> Change:
    kind, value = array
    match kind:
        case 0:
            return PlanSet(plan=_plan_from_array(value))
        case 1:
            return PlanRemoved(name=value)
        case 2:
            if record_end(value, 0) != len(value):
                raise ValueError("the length of the organisation record is wrong")
            return OrganisationSet(organisation=unpack_organisation(value))
        case 3:
            return OrganisationRemoved(name=value)
    raise ValueError(f"unknown kind of change {kind!r}")


def pack_delta(delta: Delta) -> bytes:
    """Encode a delta as the value of its table row."""
    changes = delta.changes
    arrays = None if changes is None else [_change_to_array(item) for item in changes]
    return bytes(cbor2.dumps([delta.token, delta.digest, arrays]))


def unpack_delta(body: bytes) -> Delta:
    """Decode a delta from the value of its table row.

    Raises
    ------
    MalformedRecord
        If the bytes are not a delta.
    """
    try:
        token, digest, arrays = cbor2.loads(body)
        changes = (
            None if arrays is None else [_change_from_array(item) for item in arrays]
        )
    except Exception as error:
        raise MalformedRecord(f"not a configuration delta ({error})") from error
    return Delta(token=token, digest=digest, changes=changes)


def pack_snapshot(plans: dict[str, Plan], organisations: OrganisationTable) -> bytes:
    """Encode a full configuration.

    The format is the length of the encoded plans, the plans, and then the records
    of the organisations.
    """
    arrays = [_plan_to_array(plans[name]) for name in sorted(plans)]
    head = bytes(cbor2.dumps(arrays))
    return b"".join(
        (len(head).to_bytes(_LENGTH_BYTES, "big"), head, *organisations.records())
    )


def unpack_snapshot(body: bytes) -> tuple[dict[str, Plan], OrganisationTable, int]:
    """Decode a full configuration into plans, organisations and digest.

    Raises
    ------
    MalformedRecord
        If the bytes are not a snapshot.
    """
    try:
        end = _LENGTH_BYTES + int.from_bytes(body[:_LENGTH_BYTES], "big")
        plans = [
            _plan_from_array(array) for array in cbor2.loads(body[_LENGTH_BYTES:end])
        ]
        organisations = OrganisationTable(body[end:])
    except Exception as error:
        raise MalformedRecord(f"not a configuration snapshot ({error})") from error
    digest = sum(_record_hashes(plans, organisations)) % DIGEST_MODULUS
    return {plan.name: plan for plan in plans}, organisations, digest


def _record_hashes(
    plans: list[Plan], organisations: OrganisationTable
) -> Iterator[int]:
    yield from (plan_hash(plan) for plan in plans)
    yield from (organisation_hash(record) for record in organisations.records())
