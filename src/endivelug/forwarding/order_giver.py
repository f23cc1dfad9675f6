"""Brings the engines to the wanted weights while this VM holds the lease of orders."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from endivelug.exceptions import UpstreamBroken, UpstreamUnreachable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.weights_rollout import (
    EngineReport,
    OrderReply,
    RolloutEngine,
    WeightsOrder,
    next_engines,
)
from endivelug.leases import Lease

ROUND_S = 0.1
POLL_S = 0.25
# Routers hear of an order before the engine gets it, so that nothing is sent there.
ANNOUNCE_S = 0.03
# An order whose answer was lost may be carried out this much later.
ORDER_LIMIT_S = 15.0
# Peers drop the mark of an order that is not repeated.
MARK_S = 1.0
# A failed order is tried again after this time.
RETRY_S = 0.5
RETRY_MAX_S = 2.0


class EngineControl(Protocol):
    """Calls to an engine beside requests."""

    async def report(self, instance: Instance) -> EngineReport:
        """Return what an engine reports."""

    async def order_weights(
        self, instance: Instance, order: WeightsOrder
    ) -> OrderReply:
        """Order new weights."""


class OrderGiver:
    """Gives the orders of the deployment.

    Parameters
    ----------
    announce : callable
        Tells the peers at once what changed.
    lease_clock : callable
        Clock of the lease, which also counts while the VM is suspended.
    checks_fencing : bool
        Whether engines refuse an old fencing number.
    turn_s : float
        Seconds within which no two VMs may order the same engine.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        control: EngineControl,
        lease: Lease,
        holder: str,
        announce: Callable[[], None],
        clock: Callable[[], float],
        lease_clock: Callable[[], float],
        checks_fencing: bool,
        turn_s: float,
        rng: random.Random,
        log: LogLine,
    ) -> None:
        self.view = view
        self.control = control
        self.lease = lease
        self.holder = holder
        self.announce = announce
        self.clock = clock
        self.lease_clock = lease_clock
        self.checks_fencing = checks_fencing
        self.turn_s = turn_s
        self.rng = rng
        self.log = log
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.failed_until: dict[str, float] = {}
        self.fenced = 0
        self.stopping = False
        self.ordered_by_peer_at: Callable[[str], float] = lambda name: float("-inf")
        self._failures: dict[str, int] = {}
        self._held = False

    @property
    def busy(self) -> bool:
        """Whether an order is in progress."""
        return bool(self.tasks)

    def ordered(self) -> list[str]:
        """Return the engines that this VM has under an order."""
        return list(self.tasks)

    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        if self.stopping or self.lease.fencing <= self.fenced:
            return False
        return self.lease.may_send(
            self.lease_clock(), checks_fencing=self.checks_fencing
        )

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            self._note_lease()
            if self.may_send():
                self._start_orders()
            await asyncio.sleep(ROUND_S)

    async def close(self) -> None:
        """Cancel the orders in progress; the engines carry out what they have."""
        for task in list(self.tasks.values()):
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def _note_lease(self) -> None:
        held = self.lease.remaining_s(self.lease_clock()) > 0
        if held != self._held:
            self._held = held
            self.log(
                "order-lease",
                held=held,
                fencing=self.lease.fencing,
                row=repr(self.lease.row_value)[:80],
            )

    def _start_orders(self) -> None:
        now = self.clock()
        for model, wanted in self.view.weights.items():
            engines: list[RolloutEngine] = []
            for instance in self.view.registry.all():
                version = self.view.weights_of(instance, model)
                if version is None or instance.draining:
                    continue
                load = self.view.loads.of(instance.name)
                turn_at = self.ordered_by_peer_at(instance.name) + self.turn_s
                failed = now < self.failed_until.get(instance.name, 0.0)
                if now < turn_at:
                    continue
                engines.append(
                    RolloutEngine(
                        name=instance.name,
                        version=version,
                        requests=load.total(instance.name, now=now).requests,
                        ordered=instance.name in self.tasks or load.is_ordered(now=now),
                        silent=load.silent or failed,
                    )
                )
            for name in next_engines(engines, desired_version=wanted.version):
                task = asyncio.create_task(self._bring(name, model))
                self.tasks[name] = task
                task.add_done_callback(partial(self._ended, name))

    def _ended(self, name: str, task: asyncio.Task[None]) -> None:
        self.tasks.pop(name, None)
        self.view.loads.of(name).orders.pop(self.holder, None)
        self.announce()
        self.view.on_change()

    async def _bring(self, name: str, model: str) -> None:
        """Order one engine and wait until it has the weights."""
        instance = self.view.registry.get(name)
        if instance is None:
            return
        limit = self.clock() + ORDER_LIMIT_S
        try:
            report = await self.control.report(instance)
            self._observe(instance, model, report)
            if self._has(instance, model) or report.busy:
                await self._watch(instance, model, limit, accepted=report.busy)
                return
            self._mark(name)
            self.announce()
            await asyncio.sleep(ANNOUNCE_S)
            if await self._order(instance, model, report.orders):
                await self._watch(instance, model, limit, accepted=True)
        except UpstreamUnreachable as error:
            self._failed(name, str(error))
        except UpstreamBroken as error:
            self._failed(name, str(error))

    async def _order(self, instance: Instance, model: str, orders: int) -> bool:
        """Send the order; return whether to wait for its end."""
        if not self.may_send():
            return False
        order = WeightsOrder(
            model=model,
            version=self.view.weights[model].version,
            holder=self.holder,
            fencing=self.lease.fencing,
            expected_orders=orders,
        )
        fields = {
            "instance": instance.name,
            "model": model,
            "version": order.version,
            "fencing": order.fencing,
        }
        try:
            reply = await self.control.order_weights(instance, order)
        except UpstreamBroken as error:
            # It may be carried out later; the report tells.
            self.log("order-answer-lost", reason=str(error), **fields)
            return True
        self.log("order-given", reply=reply.value, **fields)
        self._failures.pop(instance.name, None)
        match reply:
            case OrderReply.ACCEPTED:
                return True
            case OrderReply.ALREADY_LOADED:
                self.view.observe_weights(instance, model, order.version)
                return False
            case OrderReply.FENCED:
                self.fenced = max(self.fenced, order.fencing)
                return False
            case OrderReply.CONFLICT:
                return True
            case OrderReply.REFUSED:
                self._failed(instance.name, "the engine refused the order")
                return False

    async def _watch(
        self, instance: Instance, model: str, limit: float, *, accepted: bool
    ) -> None:
        """Wait until the engine has the weights and takes requests again."""
        idle_polls = 0
        while self.clock() < limit:
            if self.view.registry.get(instance.name) is None:
                return
            self._mark(instance.name)
            await asyncio.sleep(POLL_S)
            try:
                report = await self.control.report(instance)
            except (UpstreamBroken, UpstreamUnreachable) as error:
                self._failed(instance.name, str(error))
                return
            self._observe(instance, model, report)
            if report.busy:
                idle_polls = 0
                continue
            if self._has(instance, model):
                return
            # The report lags, so one idle one does not mean that the order was lost.
            idle_polls += 1
            if idle_polls >= 2:
                return

    def _observe(self, instance: Instance, model: str, report: EngineReport) -> None:
        version = report.versions.get(model)
        if version is not None:
            self.view.observe_weights(instance, model, version)

    def _has(self, instance: Instance, model: str) -> bool:
        version = self.view.weights_of(instance, model)
        wanted = self.view.weights.get(model)
        return wanted is None or (version is not None and version >= wanted.version)

    def _mark(self, name: str) -> None:
        self.view.loads.of(name).orders[self.holder] = self.clock() + MARK_S

    def _failed(self, name: str, reason: str) -> None:
        failures = self._failures[name] = self._failures.get(name, 0) + 1
        delay_s = min(RETRY_MAX_S, RETRY_S * 2 ** (failures - 1))
        delay_s *= self.rng.uniform(1.0, 1.5)
        self.failed_until[name] = self.clock() + delay_s
        self.log("order-failed", instance=name, reason=reason)
