"""Simulated VMs that order weights at simulated engines, with faults.

The VMs run the real lease, keeper and order sender on an event loop with virtual time.
"""

import asyncio
import random
from dataclasses import dataclass, field

from endivelug.exceptions import (
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.forwarding.order_lease import LEASE_RENEW_S, make_order_lease
from endivelug.forwarding.weights_order_sender import OrderGiver
from endivelug.forwarding.weights_rollout import EngineReport, OrderReply
from endivelug.lease_keeper import LeaseKeeper
from endivelug.transactions import (
    Put,
    Row,
    TableVersion,
    TransactionResult,
)
from forwarding_builders import (
    LogRecorder,
    make_view,
    registration_document,
    stored_row,
)

# Time within which orders of two VMs to one engine are a fault.
TURN_GAP_S = 3.0
LOAD_S = 0.4
NETWORK_S = 0.002


class SimulatedRow:
    """The lease's row; answers of writes may be lost or the write be done late."""

    def __init__(self, *, rng):
        self.row = None
        self.rng = rng
        self.lose_share = 0.0
        self.era = 0
        self.former_rows = [None]

    @property
    def version(self):
        """Version that the answers of the store state."""
        revision = self.row.mod_revision if self.row else 0
        return TableVersion(era=self.era, revision=revision)

    def restore(self, rng):
        """Come back from a copy without the row, or with one of the last rows."""
        count = len(self.former_rows)
        kept = rng.choice((0, rng.randrange(max(0, count - 8), count)))
        del self.former_rows[kept + 1 :]
        self.row = self.former_rows[kept]
        self.era += 1

    async def get(self, vm):
        await vm.wait_until_running()
        await asyncio.sleep(NETWORK_S)
        if not vm.reaches_store:
            raise TableUnavailable("cut")
        return self.row

    async def run(self, vm, transaction):
        await vm.wait_until_running()
        await asyncio.sleep(NETWORK_S)
        if not vm.reaches_store:
            raise TableUnavailable("cut")
        if self.rng.random() < self.lose_share:
            late_s = self.rng.choice((0.0, self.rng.uniform(0.0, 5.0)))
            asyncio.get_running_loop().call_later(late_s, self._apply, transaction)
            await asyncio.sleep(1.0)
            raise TableOutcomeUnknown("lost")
        return self._apply(transaction)

    def _apply(self, transaction):
        (condition,), (write,) = transaction.conditions, transaction.success
        assert isinstance(write, Put)
        value = self.row.value if self.row else None
        if value != getattr(condition, "value", None):
            rows = [self.row] if self.row else []
            return TransactionResult(succeeded=False, rows=rows, nested=[])
        revision = self.row.mod_revision + 1 if self.row else 1
        self.row = Row(key=write.key, value=write.value, mod_revision=revision)
        self.former_rows.append(self.row)
        return TransactionResult(succeeded=True, rows=[], nested=[])


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One order as the engine received it."""

    at: float
    vm: str
    fencing: int


@dataclass(slots=True, kw_only=True)
class SimulatedEngine:
    """Engine that counts the orders it accepted."""

    version: int = 1
    orders: int = 0
    busy_until: float = 0.0
    pending_version: int = 1
    arrivals: list[Arrival] = field(default_factory=list)

    def report(self, *, now):
        self._finish_load(now)
        return EngineReport(
            versions={"m": self.version}, busy=now < self.busy_until, orders=self.orders
        )

    def accept(self, order, *, now):
        self._finish_load(now)
        if self.version >= order.version:
            return OrderReply.ALREADY_LOADED
        if now < self.busy_until or order.expected_orders != self.orders:
            return OrderReply.CONFLICT
        self.orders += 1
        self.busy_until, self.pending_version = now + LOAD_S, order.version
        return OrderReply.ACCEPTED

    def _finish_load(self, now):
        if now >= self.busy_until:
            self.version = self.pending_version


class SimulatedControl:
    """Control calls of one VM to the engines; answers may be lost, orders be late."""

    def __init__(self, *, vm, engines, rng):
        self.vm = vm
        self.engines = engines
        self.rng = rng
        self.late_share = 0.0

    async def report(self, instance):
        await self.vm.wait_until_running()
        await asyncio.sleep(NETWORK_S)
        if instance.name in self.vm.unreachable_engines:
            raise UpstreamUnreachable("cut")
        return self.engines[instance.name].report(now=self.vm.clock())

    async def order_weights(self, instance, order, *, may_send):
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await self.vm.wait_until_running()
        if instance.name in self.vm.unreachable_engines or not may_send():
            raise UpstreamUnreachable("cut, or the lease ended")
        engine, now = self.engines[instance.name], self.vm.clock()
        engine.arrivals.append(Arrival(at=now, vm=self.vm.name, fencing=order.fencing))
        if self.rng.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(2.0, 12.0),
                lambda: engine.accept(order, now=self.vm.clock()),
            )
            await asyncio.sleep(0.3)
            raise UpstreamBroken("lost")
        return engine.accept(order, now=now)


class SimulatedVm:
    """One VM with the order lease and the order sender of a node."""

    def __init__(self, *, name, row, engines, checks_fencing, rng):
        self.name = name
        self.clock = asyncio.get_running_loop().time
        self.log = LogRecorder()
        self.reaches_store = True
        self.unreachable_engines = set()
        self.running = asyncio.Event()
        self.running.set()
        self.view = make_view(self.clock, self.log)
        for number, engine in enumerate(sorted(engines), start=10):
            entry = registration_document(address=f"127.0.0.1:{number}")
            self.view.apply(
                [stored_row("servers", engine, entry, number)], source="store"
            )
        self.control = SimulatedControl(vm=self, engines=engines, rng=rng)
        self.lease = make_order_lease(
            vm=name, checks_fencing=checks_fencing, lease_s=TURN_GAP_S
        )
        self.orders = OrderGiver(
            view=self.view,
            control=self.control,
            lease=self.lease,
            holder=name,
            announce=lambda: None,
            clock=self.clock,
            lease_clock=self.clock,
            checks_fencing=checks_fencing,
            peer_order_gap_s=TURN_GAP_S,
            weights_usable_s=6.0,
            rng=rng,
            log=self.log,
        )
        self.keeper = LeaseKeeper(
            table=_RowOfVm(row=row, vm=self),
            lease=self.lease,
            renew_s=LEASE_RENEW_S,
            rng=rng,
            clock=self.clock,
        )
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self.orders.run()),
        ]

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.orders.close()

    async def stop(self):
        self.orders.stopping = True
        await self.keeper.resign()
        await self.kill()

    async def wait_until_running(self):
        await self.running.wait()

    def announce_version(self, version, row_version):
        document = {"model": "m", "version": version}
        self.view.apply(
            [stored_row("op", "version/m", document, row_version)], source="store"
        )


class _RowOfVm:
    def __init__(self, *, row, vm):
        self.row = row
        self.vm = vm
        self.version = TableVersion()

    async def get(self, key):
        row = await self.row.get(self.vm)
        self.version = self.row.version
        return row

    async def run(self, transaction):
        era = self.version.era
        result = await self.row.run(self.vm, transaction)
        if self.row.era != era:
            raise TableOutcomeUnknown("restored")
        self.version = self.row.version
        return result


def make_vms(*, count, engines, checks_fencing, seed):
    """Return VMs that share one lease row; call it with a running event loop."""
    rng = random.Random(seed)
    row = SimulatedRow(rng=rng)
    vms = [
        SimulatedVm(
            name=f"vm{number}",
            row=row,
            engines=engines,
            checks_fencing=checks_fencing,
            rng=rng,
        )
        for number in range(count)
    ]
    return vms, row
