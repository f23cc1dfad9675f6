"""Rows that the routers keep in the store: the link secret and the list of VMs."""

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import cbor2

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.row_store import RowPage, RowStore, RowWrite, StoredRow

RETRY_S = 0.5
# The list of VMs is read this long after the registration, because the VMs of a
# deployment start within a few tenths of a second.
LIST_DELAY_S = 0.4
# The VM that registered first creates the link secret. The others read again after this
# time, and after some attempts each of them creates it, because the first may be gone.
SECRET_WAIT_S = 0.15
MAX_SECRET_ATTEMPTS = 5

Answer = TypeVar("Answer")
SECRET_KEY = "link-secret"
SECRET_BYTES = 32
VM_PREFIX = "vm/"


@dataclass(slots=True, kw_only=True)
class JoinedVms:
    """What a VM learns when it joins: the link secret and all registered VMs."""

    secret: bytes
    vms: list[RegisteredVm]


class VmRows:
    """Reads and writes the routers' rows."""

    def __init__(
        self, *, store: RowStore, table: str, rng: random.Random, log: LogLine
    ) -> None:
        self.store = store
        self.table = table
        self.rng = rng
        self.log = log

    async def join(
        self, vm: str, *, address: str, data_centre: str, cores: float
    ) -> JoinedVms:
        """Write the address and capacity of this VM, and read the other VMs.

        VMs that start together are all listed, because the list is read a while later.
        Retries until the store answers.
        """
        registration = self.make_registration(vm, address, data_centre, cores)
        await self._retry(lambda: self.store.write([registration]))
        await asyncio.sleep(LIST_DELAY_S)
        attempts = 0
        while True:
            page = await self._retry(lambda: self._read(SECRET_KEY, VM_PREFIX + "\x7f"))
            vms = self._decode_vms(page)
            secrets_read = [row.value for row in page.rows if row.key == SECRET_KEY]
            if secrets_read:
                return JoinedVms(secret=secrets_read[0], vms=vms)
            attempts += 1
            if _is_first(vm, vms) or attempts > MAX_SECRET_ATTEMPTS:
                await self._retry(lambda: self.store.write([self._new_secret()]))
            else:
                await asyncio.sleep(SECRET_WAIT_S * self.rng.uniform(1.0, 2.0))

    def make_registration(
        self, vm: str, address: str, data_centre: str, cores: float
    ) -> RowWrite:
        """Return the write of a VM's row."""
        return RowWrite(
            table=self.table,
            key=VM_PREFIX + vm,
            value=cbor2.dumps([address, data_centre, cores]),
        )

    async def list_vms(self) -> list[RegisteredVm]:
        """Return all registered VMs.

        Raises
        ------
        TableUnavailable
            If the store does not answer.
        """
        return self._decode_vms(await self._read(VM_PREFIX, VM_PREFIX + "\x7f"))

    def _decode_vms(self, page: RowPage) -> list[RegisteredVm]:
        rows = [row for row in page.rows if row.key.startswith(VM_PREFIX)]
        decoded = [self._decode(row) for row in rows]
        return [item for item in decoded if item is not None]

    def _decode(self, row: StoredRow) -> RegisteredVm | None:
        try:
            address, data_centre, *rest = cbor2.loads(row.value)
            # Rows of earlier versions have no capacity.
            cores = float(rest[0]) if rest else 0.0
        except (
            ValueError,
            TypeError,
            OverflowError,
            cbor2.CBORDecodeError,
        ) as error:
            self.log(
                "row-unreadable",
                table=row.table,
                key=row.key,
                row_version=row.version,
                reason=str(error),
            )
            return None
        return RegisteredVm(
            name=row.key.removeprefix(VM_PREFIX),
            address=str(address),
            data_centre=str(data_centre),
            joined=row.version,
            cores=cores,
        )

    async def _read(self, first: str, last: str) -> RowPage:
        return await self.store.read(self.table, first=first, last=last)

    def _new_secret(self) -> RowWrite:
        return RowWrite(
            table=self.table,
            key=SECRET_KEY,
            value=secrets.token_bytes(SECRET_BYTES),
            expected_version=0,
        )

    async def _retry(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        """Return the answer of the store; call it until there is one."""
        while True:
            try:
                return await call()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self.log("join-delayed", reason=str(error))
                await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))


def _is_first(vm: str, vms: list[RegisteredVm]) -> bool:
    first = min(vms, key=lambda item: item.joined, default=None)
    return first is not None and first.name == vm
