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
from endivelug.forwarding.row_store import (
    RowPage,
    RowStore,
    RowWrite,
    StoredRow,
    StoreVersion,
    WriteResult,
)

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
# Between the other two keys, so that one read has all of them.
SUSPECTS_KEY = "suspects"
SECRET_BYTES = 32
VM_PREFIX = "vm/"


@dataclass(slots=True, kw_only=True)
class JoinedVms:
    """What a VM learns when it joins.

    Attributes
    ----------
    secret : bytes
        The link secret.
    vms : list of RegisteredVm
        All registered VMs.
    version : StoreVersion
        Version of the store at which this VM registered.
    suspects : bytes
        Evidence of the suspects that were blocked; empty if none ever were.
    """

    secret: bytes
    vms: list[RegisteredVm]
    version: StoreVersion
    suspects: bytes


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
        registered = await self._retry(lambda: self.store.write([registration]))
        await asyncio.sleep(LIST_DELAY_S)
        new_secret = secrets.token_bytes(SECRET_BYTES)
        attempts = 0
        while True:
            page = await self._retry(lambda: self._read(SECRET_KEY, VM_PREFIX + "\x7f"))
            vms = self._decode_vms(page)
            secrets_read = [row.value for row in page.rows if row.key == SECRET_KEY]
            if secrets_read:
                return JoinedVms(
                    secret=secrets_read[0],
                    vms=vms,
                    version=registered.store_version,
                    suspects=_value_of(SUSPECTS_KEY, page),
                )
            attempts += 1
            if _is_first(vm, vms) or attempts > MAX_SECRET_ATTEMPTS:
                await self._retry(lambda: self.write_secret(new_secret))
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

    def make_second_registration(
        self, vm: RegisteredVm, *, replaces: StoredRow | None
    ) -> RowWrite:
        """Return the write of a VM's row that the store has lost.

        Parameters
        ----------
        vm : RegisteredVm
            The VM; the row says when it registered first, so that VMs keep their order.
        replaces : StoredRow or None
            The row of an earlier process that the store has; None if there is none.
        """
        joined = [vm.joined_era, vm.joined]
        return RowWrite(
            table=self.table,
            key=VM_PREFIX + vm.name,
            value=cbor2.dumps([vm.address, vm.data_centre, vm.cores, *joined]),
            expected_version=replaces.version if replaces is not None else 0,
            expected_era=replaces.era if replaces is not None else None,
        )

    async def read_registration(self, vm: str) -> StoredRow | None:
        """Return the row of a VM, or None if there is none.

        Raises
        ------
        TableUnavailable
            If the store does not answer.
        """
        return await self._read_row(VM_PREFIX + vm)

    async def list_vms(self) -> list[RegisteredVm]:
        """Return all registered VMs.

        Raises
        ------
        TableUnavailable
            If the store does not answer.
        """
        return self._decode_vms(await self._read(VM_PREFIX, VM_PREFIX + "\x7f"))

    async def read_secret(self) -> bytes | None:
        """Return the link secret, or None if the store has none.

        Raises
        ------
        TableUnavailable
            If the store does not answer.
        """
        row = await self._read_row(SECRET_KEY)
        return row.value if row is not None else None

    async def write_secret(self, secret: bytes) -> WriteResult:
        """Write the link secret if the store has none.

        Raises
        ------
        TableUnavailable, TableOutcomeUnknown
            If the store does not answer.
        """
        return await self.store.write(
            [
                RowWrite(
                    table=self.table,
                    key=SECRET_KEY,
                    value=secret,
                    expected_version=0,
                )
            ]
        )

    async def write_suspects(self, value: bytes) -> None:
        """Write the evidence of the suspects that are blocked.

        Raises
        ------
        TableUnavailable, TableOutcomeUnknown
            If the store does not answer.
        """
        await self.store.write(
            [RowWrite(table=self.table, key=SUSPECTS_KEY, value=value)]
        )

    def _decode_vms(self, page: RowPage) -> list[RegisteredVm]:
        rows = [row for row in page.rows if row.key.startswith(VM_PREFIX)]
        decoded = [self.decode(row) for row in rows]
        return [item for item in decoded if item is not None]

    def decode(self, row: StoredRow) -> RegisteredVm | None:
        """Return the VM that a row registers; None if it is unreadable."""
        try:
            address, data_centre, *rest = cbor2.loads(row.value)
            # Rows of earlier versions have no capacity.
            cores = float(rest[0]) if rest else 0.0
            # Rows that were written again say when the VM registered first.
            era, joined = map(int, rest[1:3] or (row.era, row.version))
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
            joined=joined,
            joined_era=era,
            cores=cores,
        )

    async def _read_row(self, key: str) -> StoredRow | None:
        page = await self._read(key, key + "!")
        return next((row for row in page.rows if row.key == key), None)

    async def _read(self, first: str, last: str) -> RowPage:
        return await self.store.read(self.table, first=first, last=last)

    async def _retry(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        """Return the answer of the store; call it until there is one."""
        while True:
            try:
                return await call()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self.log("join-delayed", reason=str(error))
                await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))


def _is_first(vm: str, vms: list[RegisteredVm]) -> bool:
    first = min(vms, key=lambda item: item.joined_order, default=None)
    return first is not None and first.name == vm


def _value_of(key: str, page: RowPage) -> bytes:
    return next((row.value for row in page.rows if row.key == key), b"")
