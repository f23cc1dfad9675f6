"""Table rows (slots) that limit the deployment to two orders in progress.

Every order occupies a slot, so that the next holder of the lease finds the order.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import cbor2

from endivelug.messages import UpstreamEntry
from endivelug.transactions import (
    Absent,
    Condition,
    Get,
    Put,
    Transaction,
    ValueEquals,
)

SLOT_KEYS = ("loads/0", "loads/1")
SLOT_RANGE = ("loads/", "loads0")
RECORD_VERSION = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class Slot:
    """Value of one of the two slots for weight loads.

    Attributes
    ----------
    engine, data_centre : str
        Engine that has the order, and its data centre; no engine name: free slot.
    kind : str
        ``load``, ``unload`` or ``adapter``; empty for a free slot.
    token : bytes
        Unique for each write of the slot.
    deadline : float
        Unix time in seconds after which another order may take the slot.
    """

    engine: str
    data_centre: str
    kind: str
    model: str
    version: str
    adapter: str
    token: bytes
    deadline: float

    def encode(self) -> bytes:
        """Return the stored form of the slot."""
        return cbor2.dumps(
            [
                RECORD_VERSION,
                self.engine,
                self.data_centre,
                self.kind,
                self.model,
                self.version,
                self.adapter,
                self.token,
                self.deadline,
            ]
        )

    def is_free(self, now: float, *, clock_bound_s: float) -> bool:
        """Return whether the slot may be taken at ``now`` in Unix seconds."""
        return self.engine == "" or now > self.deadline + clock_bound_s


def parse_slot(value: bytes) -> Slot:
    """Parse the value of a slot.

    Raises
    ------
    ValueError
        If the value is not a record of this version.
    """
    document: Any = cbor2.loads(value)
    if not isinstance(document, list) or document[:1] != [RECORD_VERSION]:
        raise ValueError("not a slot record of this version; update this VM")
    _, engine, data_centre, kind, model, version, adapter, token, deadline = document
    return Slot(
        engine=engine,
        data_centre=data_centre,
        kind=kind,
        model=model,
        version=version,
        adapter=adapter,
        token=token,
        deadline=deadline,
    )


def slot_transaction(key: str, *, old: Slot | None, new: Slot) -> Transaction:
    """Return an idempotent compare-and-swap of a slot."""
    condition: Condition = Absent(key=key)
    if old is not None:
        condition = ValueEquals(key=key, value=old.encode())
    return Transaction(
        conditions=[condition],
        success=[Put(key=key, value=new.encode())],
        failure=[Get(key=key)],
    )


def make_free_slot(slot: Slot, *, token: bytes) -> Slot:
    """Return the value that frees a slot after its order has ended.

    The row is not deleted, so that a delayed duplicate of an earlier write cannot take
    the slot again.
    """
    return Slot(
        engine="",
        data_centre=slot.data_centre,
        kind="",
        model="",
        version="",
        adapter="",
        token=token,
        deadline=0.0,
    )


def is_order_complete(slot: Slot, observed: Iterable[UpstreamEntry]) -> bool:
    """Return whether the slot's engine reports the state that was ordered."""
    for entry in observed:
        if entry.name != slot.engine or entry.state != "live":
            continue
        match slot.kind:
            case "unload":
                names = {report.partition("=")[0] for report in entry.models}
                return slot.model not in names
            case "adapter":
                return slot.adapter in entry.adapters
            case _:
                return f"{slot.model}={slot.version}" in entry.models
    return False
