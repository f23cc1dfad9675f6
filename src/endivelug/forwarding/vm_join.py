"""Registers this VM in the store and keeps its list of VMs up to date."""

import asyncio
import random

from endivelug.exceptions import TableUnavailable
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.peers import Peers
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

    async def run(self) -> None:
        """Register, then link to the other VMs and report to them until cancelled."""
        if not self.joined:
            await self._join()
            self.joined = True
        await self.peers.run()

    async def refresh(self) -> None:
        """Read the list of VMs regularly while this VM follows the store."""
        while True:
            await asyncio.sleep(REFRESH_S * self.rng.uniform(0.8, 1.2))
            if not self.joined or not self.peers.follows_store():
                continue
            try:
                self.peers.set_registered_vms(await self.rows.list_vms())
            except TableUnavailable as error:
                self.log("vm-list-failed", reason=str(error))

    async def _join(self) -> None:
        identity = self.peers.identity
        joined = await self.rows.join(
            identity.vm,
            address=f"{self.host}:{self.port}",
            data_centre=identity.data_centre,
            cores=self.cores,
        )
        identity.secret = joined.secret
        await self.peers.listen(host=self.host, port=self.port)
        # VMs that start together are listening as well by then.
        await asyncio.sleep(DIAL_DELAY_S)
        self.peers.set_registered_vms(joined.vms)
