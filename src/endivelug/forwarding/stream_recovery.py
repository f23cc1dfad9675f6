"""Continues a stream at the engine that holds a copy of its run."""

from collections.abc import Callable

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.calls import Call, Ending, Lost
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.placing import Placement
from endivelug.forwarding.upstream_connection import connect

# An engine that accepts no connection within this time is gone or cut off.
GONE_S = 0.25


class StreamRecovery:
    """Finds out whether a broken stream may go on elsewhere."""

    def __init__(
        self,
        *,
        view: ClusterView,
        pool: ConnectionPool,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.pool = pool
        self.clock = clock

    async def placement(
        self, call: Call, failed: Placement, ending: Ending
    ) -> Placement | None:
        """Return where the run goes on, or None where it does not.

        An engine that still accepts connections may still work on the request, which
        must not run at two engines.
        """
        backup = failed.backup
        if not isinstance(ending, Lost) or backup is None or call.continued:
            return None
        if not call.streaming or call.splitter.last_id is None:
            return None
        if not await self._is_gone(failed.instance.address):
            return None
        known = self.view.registry.get(backup.name)
        if known is None or known.incarnation != backup.incarnation:
            return None
        model = call.request.model or ""
        if self.view.weights_of(backup, model) != failed.weights:
            return None
        if not self.view.loads.of(backup.name).takes_work(now=self.clock()):
            return None
        return Placement(
            instance=backup,
            weights=failed.weights,
            namespace=failed.namespace,
            memory_tokens=failed.memory_tokens,
            continue_at=backup.address,
        )

    async def _is_gone(self, address: str) -> bool:
        # Idle connections of the pool may have outlived the engine.
        try:
            connection = await connect(address, timeout_s=GONE_S, clock=self.clock)
        except UpstreamUnreachable:
            return True
        self.pool.release(address, connection, idle_s=None)
        return False
