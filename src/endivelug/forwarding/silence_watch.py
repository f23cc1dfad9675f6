"""Stops sending to silent instances until they accept connections again."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.instance_load import InstanceLoad
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.placement import Placer
from endivelug.forwarding.silence_detection import (
    ENGINE_SILENCE_S,
    ENGINE_SUSPECT_S,
    is_silent,
)

CHECK_INTERVAL_S = 0.1
# Interval of the checks while this VM has no requests in progress.
IDLE_CHECK_INTERVAL_S = 0.5
# Lifetime of the notice to avoid a silent instance; each failed probe repeats it.
AVOID_NOTICE_S = 1.0
PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 0.3
# A quiet engine that accepted a connection is not checked again for this long.
REACHED_S = 0.5


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
        reach: EngineReach,
        on_avoid: Callable[[str, float], None],
        clock: Callable[[], float],
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.view = view
        self.placer = placer
        self.reach = reach
        self.on_avoid = on_avoid
        self.clock = clock
        self.rng = rng
        self.log = log
        self.probes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check for silent instances until cancelled, and probe each of them."""
        while True:
            busy = self.view.loads.has_work()
            await asyncio.sleep(CHECK_INTERVAL_S if busy else IDLE_CHECK_INTERVAL_S)
            for instance in self._instances_with_work():
                self._check(instance)

    def _check(self, instance: Instance) -> None:
        load = self.view.loads.of(instance.name)
        if load.silent:
            return
        if self._is_silent(instance, load, ENGINE_SILENCE_S):
            self._mark_silent(instance, load)
        elif instance.name not in self.probes and self._is_suspect(instance, load):
            self._start_probe(instance, self._check_reachable(instance))

    def _is_silent(
        self, instance: Instance, load: InstanceLoad, silence_s: float
    ) -> bool:
        return is_silent(
            load,
            total=self.view.loads.total(instance.name),
            now=self.clock(),
            engine=bool(instance.model_versions),
            tokens_per_s=self.placer.prefill_rate(instance.service).tokens_per_s,
            silence_s=silence_s,
            running_since=self.reach.pauses.running_since(),
        )

    def _is_suspect(self, instance: Instance, load: InstanceLoad) -> bool:
        """Return whether to check if an engine can be reached."""
        return (
            bool(instance.model_versions)
            and self.clock() >= load.reached_at + REACHED_S
            and self._is_silent(instance, load, ENGINE_SUSPECT_S)
        )

    def _mark_silent(self, instance: Instance, load: InstanceLoad) -> None:
        now = self.clock()
        load.silent = True
        self.reach.pool.close_idle(instance.address)
        self.log(
            "instance-silent",
            instance=instance.name,
            work=len(load.work),
            unreachable=load.unreachable,
            oldest_s=_age_s(min(work.sent_at for work in load.work.values()), now)
            if load.work
            else None,
            heard_s=_age_s(load.last_heard_at, now) if load.last_heard_at else None,
        )
        self.on_avoid(instance.name, AVOID_NOTICE_S)
        self.view.on_avoided(instance.name, AVOID_NOTICE_S)
        self._start_probe(instance, self._probe(instance))

    def _start_probe(
        self, instance: Instance, probe: Coroutine[Any, Any, None]
    ) -> None:
        task = asyncio.create_task(probe)
        self.probes[instance.name] = task
        task.add_done_callback(partial(self._probe_ended, instance.name))

    def _probe_ended(self, name: str, task: asyncio.Task[None]) -> None:
        if self.probes.get(name) is task:
            del self.probes[name]

    async def _check_reachable(self, instance: Instance) -> None:
        """Mark a suspected engine as silent if it accepts no connection."""
        load = self.view.loads.of(instance.name)
        shown = await self._check_once(instance)
        if shown is Reach.ACCEPTS:
            load.reached_at = self.clock()
            return
        # It may have sent something meanwhile.
        quiet = self._is_silent(instance, load, ENGINE_SUSPECT_S)
        if shown is not Reach.UNKNOWN and not load.silent and quiet:
            load.unreachable = True
            self._mark_silent(instance, load)

    async def _check_once(self, instance: Instance) -> Reach:
        return await self.reach.check(instance.address, timeout_s=PROBE_TIMEOUT_S)

    def _instances_with_work(self) -> list[Instance]:
        names = [name for name, load in self.view.loads.loads.items() if load.work]
        found = [self.view.registry.get(name) for name in names]
        return [instance for instance in found if instance is not None]

    async def _probe(self, instance: Instance) -> None:
        """Probe a silent instance until it accepts a connection or is replaced."""
        load = self.view.loads.of(instance.name)
        while self.view.registry.get(instance.name) == instance:
            if load.unreachable and not load.cut_off:
                began_at = self.clock()
                shown = await self.reach.check_cut_off(instance.address)
                # One that is heard has no room for new connections.
                heard = load.last_byte_at >= began_at
                load.cut_off = shown is Reach.NO_ANSWER and not heard
                self.on_avoid(instance.name, AVOID_NOTICE_S)
            await asyncio.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.7, 1.3))
            shown = await self._check_once(instance)
            if shown is Reach.ACCEPTS:
                break
            if shown is Reach.UNKNOWN:
                continue
            load.unreachable = True
            load.cut_off = load.cut_off and shown is Reach.NO_ANSWER
            self.on_avoid(instance.name, AVOID_NOTICE_S)
        load.silent = load.unreachable = load.cut_off = False
        load.last_byte_at = load.reached_at = self.clock()
        if self.view.registry.get(instance.name) == instance:
            self.log("instance-reached", instance=instance.name)
        self.view.on_change()


def _age_s(at: float, now: float) -> float:
    return round(now - at, 2)
