"""Continues a broken stream at the engine that keeps a backup of its run."""

from collections.abc import Callable

from endivelug.forwarding.calls import AttemptOutcome, Call, Lost
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.placement import Placement

# An engine that has ended refuses connections within this time.
PROBE_TIMEOUT_S = 0.25


class StreamRecovery:
    """Decides whether a broken stream may continue at its backup engine."""

    def __init__(
        self,
        *,
        view: ClusterView,
        reach: EngineReach,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.reach = reach
        self.clock = clock

    async def find_continuation(
        self, call: Call, failed: Placement, outcome: AttemptOutcome
    ) -> Placement | None:
        """Return the placement that continues the run, or None if it cannot continue.

        The failed engine must have ended or be cut off: otherwise it may still run the
        request, and a request must not run at two engines.
        """
        backup = failed.backup
        if not isinstance(outcome, Lost) or backup is None or call.continued:
            return None
        if not call.streaming or call.splitter.last_id is None:
            return None
        has_ended = await self._has_ended(failed.instance, outcome)
        self.view.log(
            "run-checked",
            request=call.request.id,
            instance=failed.instance.name,
            closed_by_engine=outcome.closed,
            cut_off=self.view.loads.of(failed.instance.name).cut_off,
            ended=has_ended,
        )
        if not has_ended:
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

    async def _has_ended(self, engine: Instance, lost: Lost) -> bool:
        """Return whether an engine has ended or is cut off from this VM."""
        if self.view.loads.of(engine.name).cut_off:
            return True
        if not lost.closed:
            return False
        shown = await self.reach.check(engine.address, timeout_s=PROBE_TIMEOUT_S)
        if shown is Reach.NO_ANSWER:
            shown = await self.reach.check_cut_off(engine.address)
        if shown is Reach.REFUSES:
            stopping = self.view.registry.is_stopping(engine)
            return not stopping and await self.reach.all_closed(engine.address)
        return shown is Reach.NO_ANSWER
