"""Continues a broken stream at the engine that keeps a backup of its run."""

from collections.abc import Callable

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.calls import AttemptOutcome, Call, Lost
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.upstream_connection import connect

# An engine that accepts no connection within this time has ended or is unreachable.
PROBE_TIMEOUT_S = 0.25


class StreamRecovery:
    """Decides whether a broken stream may continue at its backup engine."""

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

    async def find_continuation(
        self, call: Call, failed: Placement, outcome: AttemptOutcome
    ) -> Placement | None:
        """Return the placement that continues the run, or None if it cannot continue.

        The failed engine must be unreachable: while it accepts connections, it may
        still run the request, and a request must not run at two engines.
        """
        backup = failed.backup
        if not isinstance(outcome, Lost) or backup is None or call.continued:
            return None
        if not call.streaming or call.splitter.last_id is None:
            return None
        if not await self._is_unreachable(failed.instance):
            return None
        registered = self.view.registry.get(backup.name)
        if registered is None or registered.incarnation != backup.incarnation:
            return None
        if self.view.registry.is_leaving(registered):
            # It wants no request more, and a continuation is one.
            return None
        model = call.request.model or ""
        if self.view.weights_of(backup, model) != failed.weights:
            return None
        if not self.view.loads.of(backup.name).accepts_requests(now=self.clock()):
            return None
        return Placement(
            instance=backup,
            weights=failed.weights,
            namespace=failed.namespace,
            memory_tokens=failed.memory_tokens,
            continue_at=backup.address,
        )

    async def _is_unreachable(self, engine: Instance) -> bool:
        if self.view.loads.of(engine.name).unreachable:
            return True
        # Connects anew: an idle connection in the pool may have outlived its engine.
        try:
            connection = await connect(
                engine.address, timeout_s=PROBE_TIMEOUT_S, clock=self.clock
            )
        except UpstreamUnreachable:
            return True
        self.pool.release(engine.address, connection, idle_s=None)
        return False
