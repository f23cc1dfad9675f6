"""Registers this VM in the store and keeps its list of VMs up to date."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.overlay import RegisteredVm
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.restored_vm_rows import RestoredVmRows
from endivelug.forwarding.vm_rows import VmRows

# Interval at which VMs that follow the store read the list of VMs.
REFRESH_S = 20.0
# Delay before the first links are dialled.
DIAL_DELAY_S = 0.15


class VmJoin:
    """Background jobs for joining the other VMs and learning of new ones.

    Parameters
    ----------
    host, port : str, int
        Address on which the VM accepts links.
    cores : float
        Processor capacity of the VM.

    Attributes
    ----------
    on_suspects : callable
        Called with the stored evidence of blocked suspects, if there is any.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        rows: VmRows,
        host: str,
        port: int,
        cores: float,
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.peers = peers
        self.rows = rows
        self.host = host
        self.port = port
        self.cores = cores
        self.rng = rng
        self.log = log
        self.joined = False
        self.on_suspects: Callable[[bytes], None] = _ignore
        self.restored = RestoredVmRows(
            identity=peers.identity,
            rows=rows,
            eras=peers.view.eras,
            vms=lambda: max(peers.vms, len(peers.overlay.registered)),
            rng=rng,
            log=log,
        )

    async def run(self) -> None:
        """Register, then link to the other VMs and report to them until cancelled.

        What the store loses of this VM meanwhile is written again.
        """
        if not self.joined:
            self.own = await self._join()
            self.joined = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self.peers.run())
            group.create_task(self.restored.run(self.own))

    async def refresh(self) -> None:
        """Read the list of VMs regularly while this VM follows the store."""
        while True:
            await asyncio.sleep(REFRESH_S * self.rng.uniform(0.8, 1.2))
            if not self.joined or not self.peers.follows_store():
                continue
            try:
                self._add_registered_vms(await self.rows.list_vms())
            except TableUnavailable as error:
                self.log("vm-list-failed", reason=str(error))

    def _add_registered_vms(self, listed: list[RegisteredVm]) -> None:
        """Update the known VMs from a list.

        A VM that it lacks is kept. No VM's row is ever removed, so the store has lost
        the row, and the VM will write it again.
        """
        known = dict(self.peers.overlay.registered)
        known.update((item.name, item) for item in listed)
        self.peers.set_registered_vms(list(known.values()))

    async def _join(self) -> RegisteredVm:
        """Register and start to link; return this VM as it has registered."""
        identity = self.peers.identity
        joined = await self.rows.join(
            identity.vm,
            address=f"{self.host}:{self.port}",
            data_centre=identity.data_centre,
            cores=self.cores,
        )
        identity.secret = joined.secret
        if joined.suspects:
            self.on_suspects(joined.suspects)
        await self.peers.listen(host=self.host, port=self.port)
        # VMs that start together are listening as well by then.
        await asyncio.sleep(DIAL_DELAY_S)
        own = RegisteredVm(
            name=identity.vm,
            address=f"{self.host}:{self.port}",
            data_centre=identity.data_centre,
            joined=joined.version.number,
            joined_era=joined.version.era,
            cores=self.cores,
        )
        # The store may have lost this VM's row before it was listed.
        self._add_registered_vms([own, *joined.vms])
        return own


def _ignore(value: bytes) -> None:
    """Do nothing."""
