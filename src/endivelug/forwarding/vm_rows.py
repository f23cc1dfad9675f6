"""Rows that the routers keep in the store: the link secret and the list of VMs."""

import asyncio
import random
import secrets

import cbor2

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.row_store import RowPage, RowStore, RowWrite, StoredRow

RETRY_S = 0.5
# The list of VMs is read this long after the registration, because the VMs of a
# deployment start within a few tenths of a second.
LIST_DELAY_S = 0.4
SECRET_KEY = "link-secret"
SECRET_BYTES = 32
VM_PREFIX = "vm/"


class VmRows:
    """Reads and writes the routers' rows.

    ``link_secret`` and ``register`` retry until the store answers.
    """

    def __init__(
        self, *, store: RowStore, table: str, rng: random.Random, log: LogLine
    ) -> None:
        self.store = store
        self.table = table
        self.rng = rng
        self.log = log

    async def link_secret(self) -> bytes:
        """Return the link secret; the first VM creates it."""
        while True:
            try:
                page = await self._read(SECRET_KEY, SECRET_KEY + "!")
                if page.rows:
                    return page.rows[0].value
                await self.store.write([self._new_secret()])
            except (TableUnavailable, TableOutcomeUnknown) as error:
                await self._wait_before_retry(error)

    async def register(
        self, vm: str, *, address: str, data_centre: str, cores: float
    ) -> list[RegisteredVm]:
        """Write the address and capacity of this VM; return all registered VMs.

        VMs that start together are all listed, because the list is read a while later.
        """
        registration = RowWrite(
            table=self.table,
            key=VM_PREFIX + vm,
            value=cbor2.dumps([address, data_centre, cores]),
        )
        while True:
            try:
                await self.store.write([registration])
                await asyncio.sleep(LIST_DELAY_S)
                return await self.list_vms()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                await self._wait_before_retry(error)

    async def list_vms(self) -> list[RegisteredVm]:
        """Return all registered VMs.

        Raises
        ------
        TableUnavailable
            If the store does not answer.
        """
        page = await self._read(VM_PREFIX, VM_PREFIX + "\x7f")
        decoded = [self._decode(row) for row in page.rows]
        return [item for item in decoded if item is not None]

    def _decode(self, row: StoredRow) -> RegisteredVm | None:
        try:
            address, data_centre, *rest = cbor2.loads(row.value)
            # Rows of earlier versions have no capacity.
            cores = float(rest[0]) if rest else 0.0
        except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
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

    async def _wait_before_retry(self, error: Exception) -> None:
        self.log("join-delayed", reason=str(error))
        await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))
