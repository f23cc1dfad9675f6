"""Builders of VMs that share an order lease on a stand-in of the platform's store."""

import asyncio
import random
from dataclasses import dataclass

from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.lease_keeper import LeaseKeeper
from endivelug.leases import Lease, lease_key
from endivelug.platform.lease_table import ROUTER_TABLE, LeaseTable
from endivelug.platform.store import PlatformStore

LEASE_S = 10.0
CLOCK_BOUND_S = 0.5
ORDER_TIMEOUT_S = 4.0
HANDOVER_GAP_S = 6.0
# Time after which no lease of a former era can be held and its orders have ended.
ERA_WAIT_S = LEASE_S + CLOCK_BOUND_S + HANDOVER_GAP_S
LEASE_ROW = (ROUTER_TABLE, lease_key("dc1"))


@dataclass(kw_only=True)
class Clock:
    """Clock that tests advance."""

    now: float = 100.0

    def __call__(self):
        return self.now


def make_keeper(store, vm, clock):
    """Return the lease keeper of a VM that has just started."""
    pool = ConnectionPool(clock=asyncio.get_running_loop().time)
    return LeaseKeeper(
        table=LeaseTable(store=PlatformStore(address=store.address, pool=pool)),
        lease=Lease(
            data_centre="dc1",
            vm=vm,
            lease_s=LEASE_S,
            clock_bound_s=CLOCK_BOUND_S,
            order_timeout_s=ORDER_TIMEOUT_S,
            handover_gap_s=HANDOVER_GAP_S,
        ),
        renew_s=LEASE_S / 3,
        rng=random.Random(vm),
        clock=clock,
    )


def may_order(keeper):
    """Return whether a VM may order now."""
    return keeper.lease.may_order(keeper.clock())
