"""Stops sending to silent instances until they accept connections again."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.placement import Placer
from endivelug.forwarding.silence_detection import is_silent

CHECK_INTERVAL_S = 0.1
# Interval of the checks while this VM has no requests in progress.
IDLE_CHECK_INTERVAL_S = 0.5
# Lifetime of the notice to avoid a silent instance; each failed probe repeats it.
AVOID_NOTICE_S = 1.0
PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 0.4


class SilenceWatch:
    """Checks all instances for silence, and probes the silent ones.

    Parameters
    ----------
    on_avoid : callable
        Called with the name of an instance and the seconds for which peers should avoid
        it.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        placer: Placer,
        pool: ConnectionPool,
        on_avoid: Callable[[str, float], None],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.view = view
        self.placer = placer
        self.pool = pool
        self.on_avoid = on_avoid
        self.clock = clock
        self.rng = rng
        self.log = log
        self.probes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check for silent instances until cancelled, and start a probe for each."""
        while True:
            loads = self.view.loads
            interval_s = CHECK_INTERVAL_S if loads.has_work() else IDLE_CHECK_INTERVAL_S
            await asyncio.sleep(interval_s)
            now = self.clock()
            for instance in self._instances_with_work():
                load = loads.of(instance.name)
                engine = bool(instance.model_versions)
                rate = self.placer.prefill_rate(instance.service).tokens_per_s
                if load.silent or not is_silent(
                    load,
                    total=loads.total(instance.name),
                    now=now,
                    engine=engine,
                    tokens_per_s=rate,
                ):
                    continue
                load.silent = True
                self.pool.close_idle(instance.address)
                self.log(
                    "instance-silent",
                    instance=instance.name,
                    work=len(load.work),
                    oldest_s=round(
                        now - min(work.sent_at for work in load.work.values()), 2
                    ),
                    heard_s=round(now - load.last_heard_at, 2)
                    if load.last_heard_at
                    else None,
                )
                self.on_avoid(instance.name, AVOID_NOTICE_S)
                task = asyncio.create_task(self._probe(instance))
                self.probes[instance.name] = task

    def _instances_with_work(self) -> list[Instance]:
        names = [name for name, load in self.view.loads.loads.items() if load.work]
        found = [self.view.registry.get(name) for name in names]
        return [instance for instance in found if instance is not None]

    async def _probe(self, instance: Instance) -> None:
        """Probe a silent instance until it accepts a connection or is replaced."""
        load = self.view.loads.of(instance.name)
        while self.view.registry.get(instance.name) == instance:
            await asyncio.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.7, 1.3))
            try:
                connection = await self.pool.acquire(
                    instance.address, timeout_s=PROBE_TIMEOUT_S
                )
            except UpstreamUnreachable:
                self.on_avoid(instance.name, AVOID_NOTICE_S)
                continue
            self.pool.release(instance.address, connection, idle_s=None)
            break
        load.silent = False
        load.last_byte_at = self.clock()
        if self.view.registry.get(instance.name) == instance:
            self.log("instance-reached", instance=instance.name)
        self.view.on_change()
