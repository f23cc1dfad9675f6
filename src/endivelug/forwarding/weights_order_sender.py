"""Orders engines to load the desired weights while this VM holds the order lease."""

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

# Interval at which engines without the desired weights are looked for.
ROUND_S = 0.1
# Interval at which a VM without the lease checks whether it has it.
IDLE_ROUND_S = 0.4
# Interval at which an engine with an order in progress is polled for its report.
POLL_S = 0.25
# An order is announced to the routers this long before it is sent, so that they stop
# sending requests to the engine.
ANNOUNCE_S = 0.03
# Longest time from the start of an order to its completion; an order whose answer was
# lost may be carried out as late as this.
COMPLETION_TIMEOUT_S = 15.0
# The order notice expires after this time unless it is repeated.
ORDER_NOTICE_S = 1.0
# First delay before a failed order is retried; it doubles with each failure.
RETRY_S = 0.5
RETRY_MAX_S = 2.0
# Expected time from an order to its completion until one has been measured, and the
# weight of a sample in the moving average.
INITIAL_ORDER_S = 2.5
DURATION_SAMPLE_WEIGHT = 0.3


class EngineControl(Protocol):
    """Control calls to an engine."""

    async def report(self, instance: Instance) -> EngineReport:
        """Return the report of an engine."""

    async def order_weights(
        self,
        instance: Instance,
        order: WeightsOrder,
        *,
        may_send: Callable[[], bool],
    ) -> OrderReply:
        """Order an engine to load weights.

        Raises ``UpstreamUnreachable`` if ``may_send`` returns False once the engine is
        connected; it is called immediately before the order is sent.
        """


class OrderGiver:
    """Orders all engines to load the desired weights while this VM holds the lease.

    Parameters
    ----------
    announce : callable
        Sends a report to the peers at once.
    lease_clock : callable
        Clock of the lease, which also advances while the VM is suspended.
    checks_fencing : bool
        Whether engines reject an old fencing number.
    peer_order_gap_s : float
        Time after a peer's order to an engine during which this VM must not order it.
    weights_usable_s : float
        Time for which weights may be used after newer ones were announced.

    Attributes
    ----------
    rejected_fencing : int
        Highest of this VM's fencing numbers that an engine rejected.
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
        peer_order_gap_s: float,
        weights_usable_s: float,
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
        self.peer_order_gap_s = peer_order_gap_s
        self.weights_usable_s = weights_usable_s
        self.order_s = INITIAL_ORDER_S
        self.rng = rng
        self.log = log
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.failed_until: dict[str, float] = {}
        self.rejected_fencing = 0
        self.stopping = False
        self.last_peer_order_at: Callable[[str], float] = lambda name: float("-inf")
        self._failures: dict[str, int] = {}
        self._lease_held = False
        view.eras.on_newer.append(self._meet_era)

    @property
    def busy(self) -> bool:
        """Whether an order is in progress."""
        return bool(self.tasks)

    def ordered_engines(self) -> list[str]:
        """Return the engines at which this VM has an order in progress."""
        return list(self.tasks)

    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        if self.stopping or self.lease.fencing <= self.rejected_fencing:
            return False
        return self.lease.may_send(
            self.lease_clock(), checks_fencing=self.checks_fencing
        )

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            self._log_lease_change()
            if self.may_send():
                self._start_orders()
            await asyncio.sleep(ROUND_S if self._lease_held else IDLE_ROUND_S)

    async def close(self) -> None:
        """Cancel the orders in progress; engines finish those that they accepted."""
        for task in list(self.tasks.values()):
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def _meet_era(self, before: int, era: int) -> None:
        self.lease.meet_era(era, self.lease_clock())

    def _log_lease_change(self) -> None:
        held = self.lease.remaining_s(self.lease_clock()) > 0
        if held != self._lease_held:
            self._lease_held = held
            self.log(
                "order-lease",
                held=held,
                fencing=self.lease.fencing,
                row=repr(self.lease.row_value)[:80],
            )
            waits_s = self.lease.ready_not_before - self.lease_clock()
            if held and waits_s > 0:
                self.log(
                    "order-lease-waits",
                    era=self.lease.version.era,
                    fencing=self.lease.fencing,
                    waits_s=round(waits_s, 2),
                )

    def _start_orders(self) -> None:
        now = self.clock()
        for model, desired in self.view.desired_weights.items():
            engines: list[RolloutEngine] = []
            for instance in self.view.registry.all():
                version = self.view.weights_of(instance, model)
                if version is None or instance.draining:
                    continue
                load = self.view.loads.of(instance.name)
                allowed_at = (
                    self.last_peer_order_at(instance.name) + self.peer_order_gap_s
                )
                failed = now < self.failed_until.get(instance.name, 0.0)
                if now < allowed_at:
                    continue
                engines.append(
                    RolloutEngine(
                        name=instance.name,
                        version=version,
                        requests=self.view.loads.total(instance.name).requests,
                        ordered=instance.name in self.tasks or load.is_ordered(now=now),
                        silent=load.silent or failed,
                        usable_until=desired.expires_at(
                            version, after_s=self.weights_usable_s
                        ),
                    )
                )
            names = next_engines(
                engines,
                desired_version=desired.version,
                now=now,
                order_s=self.order_s,
            )
            for name in names:
                task = asyncio.create_task(self._update_engine(name, model))
                self.tasks[name] = task
                task.add_done_callback(partial(self._order_ended, name))

    def _order_ended(self, name: str, task: asyncio.Task[None]) -> None:
        self.tasks.pop(name, None)
        self.view.loads.of(name).orders.pop(self.holder, None)
        self.announce()
        self.view.on_change()

    async def _update_engine(self, name: str, model: str) -> None:
        """Send an order to one engine and wait until it has the weights."""
        instance = self.view.registry.get(name)
        if instance is None:
            return
        deadline = self.clock() + COMPLETION_TIMEOUT_S
        try:
            report = await self.control.report(instance)
            self._record_report(instance, model, report)
            if self._has_desired_weights(instance, model) or report.busy:
                await self._wait_for_weights(
                    instance, model, deadline, accepted=report.busy
                )
                return
            self._extend_order_notice(name)
            self.announce()
            await asyncio.sleep(ANNOUNCE_S)
            if await self._order(instance, model, report.orders):
                await self._wait_for_weights(instance, model, deadline, accepted=True)
        except UpstreamUnreachable as error:
            self._record_failure(name, str(error))
        except UpstreamBroken as error:
            self._record_failure(name, str(error))

    async def _order(self, instance: Instance, model: str, orders: int) -> bool:
        """Send the order; return whether to wait for its completion."""
        if not self.may_send():
            return False
        order = WeightsOrder(
            model=model,
            version=self.view.desired_weights[model].version,
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
            reply = await self.control.order_weights(
                instance,
                order,
                may_send=lambda: (
                    self.lease.fencing == order.fencing and self.may_send()
                ),
            )
        except UpstreamBroken as error:
            # The engine may have accepted it; its report will show that.
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
                self.rejected_fencing = max(self.rejected_fencing, order.fencing)
                return False
            case OrderReply.CONFLICT:
                return True
            case OrderReply.REFUSED:
                self._record_failure(instance.name, "the engine refused the order")
                return False

    async def _wait_for_weights(
        self, instance: Instance, model: str, deadline: float, *, accepted: bool
    ) -> None:
        """Wait until the engine has the weights and accepts requests again."""
        idle_polls = 0
        started_at = self.clock()
        while self.clock() < deadline:
            if self.view.registry.get(instance.name) is None:
                return
            self._extend_order_notice(instance.name)
            await asyncio.sleep(POLL_S)
            try:
                report = await self.control.report(instance)
            except (UpstreamBroken, UpstreamUnreachable) as error:
                self._record_failure(instance.name, str(error))
                return
            self._record_report(instance, model, report)
            if report.busy:
                idle_polls = 0
                continue
            if self._has_desired_weights(instance, model):
                self._record_duration(self.clock() - started_at)
                return
            # The report lags: only the second one without an order in progress shows
            # that the order was lost.
            idle_polls += 1
            if idle_polls >= 2:
                return

    def _record_duration(self, seconds: float) -> None:
        self.order_s += DURATION_SAMPLE_WEIGHT * (seconds - self.order_s)

    def _record_report(
        self, instance: Instance, model: str, report: EngineReport
    ) -> None:
        version = report.versions.get(model)
        if version is not None:
            self.view.observe_weights(instance, model, version)

    def _has_desired_weights(self, instance: Instance, model: str) -> bool:
        version = self.view.weights_of(instance, model)
        desired = self.view.desired_weights.get(model)
        return desired is None or (version is not None and version >= desired.version)

    def _extend_order_notice(self, name: str) -> None:
        self.view.loads.of(name).orders[self.holder] = self.clock() + ORDER_NOTICE_S

    def _record_failure(self, name: str, reason: str) -> None:
        failures = self._failures[name] = self._failures.get(name, 0) + 1
        delay_s = min(RETRY_MAX_S, RETRY_S * 2 ** (failures - 1))
        delay_s *= self.rng.uniform(1.0, 1.5)
        self.failed_until[name] = self.clock() + delay_s
        self.log("order-failed", instance=name, reason=reason)
