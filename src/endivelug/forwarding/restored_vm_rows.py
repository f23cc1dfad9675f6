"""Writes again what this VM had written and the store lost when it was restored."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.row_store import RowWrite
from endivelug.forwarding.store_eras import StoreEras
from endivelug.forwarding.vm_rows import VmRows
from endivelug.links import Identity

# All VMs meet a new era within a second. Their reads and writes are spread so that all
# together stay well below the store's 2,000 reads and one table part's 150 writes a
# second; each VM reads and writes up to two rows.
VMS_READING_PER_S = 300.0
VMS_WRITING_PER_S = 40.0
MIN_SPREAD_S = 0.3
RETRY_S = 0.5


class RestoredVmRows:
    """Looks for the rows of this VM in each new era of the store.

    Parameters
    ----------
    identity : Identity
        Identity of this process, with the link secret.
    rows : VmRows
        Access to the rows.
    eras : StoreEras
        The newest era that this VM has met.
    vms : callable
        Returns the number of VMs over which calls to the store are spread.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        rows: VmRows,
        eras: StoreEras,
        vms: Callable[[], int],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.identity = identity
        self.rows = rows
        self.eras = eras
        self.vms = vms
        self.rng = rng
        self.log = log
        self._has_newer = asyncio.Event()
        eras.on_newer.append(self._note_era)

    async def run(self, own: RegisteredVm) -> None:
        """Write what is missing after each restoration, until cancelled.

        Parameters
        ----------
        own : RegisteredVm
            This VM as it has registered.
        """
        if (self.eras.newest or 0) > own.joined_era:
            # The answer to the registration came after one of a newer era.
            self._has_newer.set()
        while True:
            await self._has_newer.wait()
            self._has_newer.clear()
            while not await self._try_to_restore(own):
                await asyncio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))

    def _note_era(self, before: int, era: int) -> None:
        self._has_newer.set()

    async def _try_to_restore(self, own: RegisteredVm) -> bool:
        """Write the missing rows; return whether the store answered all calls."""
        try:
            await self._restore(own)
        except (TableUnavailable, TableOutcomeUnknown) as error:
            self.log("vm-rows-delayed", era=self.eras.newest, reason=str(error))
            return False
        return True

    async def _restore(self, own: RegisteredVm) -> None:
        await self._sleep(VMS_READING_PER_S)
        registration = await self._missing_registration(own)
        lacks_secret = not await self._adopt_secret()
        if registration is None and not lacks_secret:
            return
        await self._sleep(VMS_WRITING_PER_S)
        if registration is not None:
            await self._write_registration(registration)
        # Most VMs find that another one has written the secret meanwhile.
        if lacks_secret and not await self._adopt_secret():
            await self._write_secret()

    async def _write_registration(self, write: RowWrite) -> None:
        result = await self.rows.store.write([write])
        if result.done:
            self.log("vm-row-restored", key=write.key, era=result.era)
        else:
            # A late write of this VM was done, or the store was restored again.
            self._has_newer.set()

    async def _write_secret(self) -> None:
        result = await self.rows.write_secret(self.identity.secret)
        if result.done:
            self.log("link-secret-restored", era=result.era)
        elif not await self._adopt_secret():
            # The store was restored again.
            self._has_newer.set()

    async def _adopt_secret(self) -> bool:
        """Use the secret that the store has; return whether it has one.

        A VM that started before the secret was written again may have created another.
        Links that are open stay open; new ones need the same secret on both sides.
        """
        secret = await self.rows.read_secret()
        if secret and secret != self.identity.secret:
            self.identity.secret = secret
            self.log("link-secret-adopted", era=self.eras.newest)
        return secret is not None

    async def _missing_registration(self, own: RegisteredVm) -> RowWrite | None:
        """Return the write of this VM's row unless the store has it."""
        row = await self.rows.read_registration(own.name)
        known = self.rows.decode(row) if row is not None else None
        if known is not None and known.states_same(own):
            return None
        return self.rows.make_second_registration(own, replaces=row)

    async def _sleep(self, vms_per_s: float) -> None:
        """Wait for a random time that spreads the calls of all VMs."""
        spread_s = max(MIN_SPREAD_S, self.vms() / vms_per_s)
        await asyncio.sleep(self.rng.uniform(0.0, spread_s))
