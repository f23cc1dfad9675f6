"""Sends the orders of one data centre while this VM holds the order lease."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from endivelug._order_client import OrderClient, OrderNotSent
from endivelug._tls import client_context
from endivelug.claim_writer import purge_claims
from endivelug.claims import utc_day
from endivelug.exceptions import (
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamBroken,
    UpstreamRejected,
    UpstreamUnreachable,
)
from endivelug.lease_keeper import LeaseKeeper
from endivelug.load_slots import (
    SLOT_KEYS,
    SLOT_RANGE,
    Slot,
    is_order_complete,
    make_free_slot,
    parse_slot,
    slot_transaction,
)
from endivelug.messages import UpstreamEntry
from endivelug.orders import (
    DesiredModel,
    LoadAdapter,
    Order,
    UnloadWeights,
    next_orders,
    order_kind,
)
from endivelug.settings import PoolSettings
from endivelug.table import Table

# A load takes about 1 to 2 s; a failed one occupies its slot for this long.
SLOT_TIMEOUT_S = 30.0
PERIOD_S = 1.0
CONFIRM_TIMEOUT_S = 1.0
PURGE_RETRY_S = 600.0
STALE_FENCING_STATUS = 412


@dataclass(slots=True, kw_only=True)
class OrderCounts:
    """Number of orders by outcome.

    Attributes
    ----------
    sent, refused, not_sent : int
        Orders that the engine accepted, that it refused, and that were not sent.
    unknown : int
        Orders that got no response and may be in progress.
    """

    sent: int = 0
    refused: int = 0
    unknown: int = 0
    not_sent: int = 0


class OrderSender:
    """Component that plans and sends orders while this VM holds the order lease.

    Parameters
    ----------
    keeper : LeaseKeeper
        Acquires and renews the order lease.
    table : Table
        Table that stores the slots.
    data_centre : str
        Data centre whose engines get the orders.
    desired_models : callable
        Returns the models that the configuration in force requires.
    observed_upstreams : callable
        Returns the upstreams of the data centre; at most ``order_timeout_s`` old.
    pools : dict of str to PoolSettings
        Settings of each pool, such as whether its engines check the fencing number.
    rng : random.Random
        Random source for slot tokens.
    wall_clock : callable
        Returns the Unix time in seconds.
    period_s : float
        Pause between two rounds of planning.
    slot_timeout_s : float
        Time from the writing of a slot to its deadline.

    Attributes
    ----------
    blocked : list of str
        Changes of the last plan that cannot be ordered, with the remedy.
    excluded_until : dict of str to float
        Unix time until which an engine gets no orders, because an order failed or its
        outcome is unknown.
    unresolved_orders : int
        Number of orders whose end is unknown. While there are any, the lease is not
        resigned but expires.
    """

    message_types: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        keeper: LeaseKeeper,
        table: Table,
        data_centre: str,
        desired_models: Callable[[], list[DesiredModel]],
        observed_upstreams: Callable[[], list[UpstreamEntry]],
        pools: dict[str, PoolSettings],
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
        period_s: float = PERIOD_S,
        slot_timeout_s: float = SLOT_TIMEOUT_S,
    ) -> None:
        self.keeper = keeper
        self.lease = keeper.lease
        self.table = table
        self.data_centre = data_centre
        self.desired_models = desired_models
        self.observed_upstreams = observed_upstreams
        self.pools = pools
        self.rng = rng
        self.wall_clock = wall_clock
        self.period_s = period_s
        self.slot_timeout_s = slot_timeout_s
        self.counts = OrderCounts()
        self.blocked: list[str] = []
        self.excluded_until: dict[str, float] = {}
        self.unresolved_orders = 0
        self._clients: dict[tuple[str, int, bool], OrderClient] = {}
        self._confirmed_fencing = 0
        self._purged_day = ""
        self._purge_after = 0.0
        self._confirmed: dict[tuple[str, int], float] = {}

    def holds_lease(self) -> bool:
        """Return whether this VM holds the order lease now."""
        return self.lease.remaining_s(self.keeper.clock()) > 0

    async def handle(self, *, link: Any, message: Any) -> None:
        """Do nothing; the component handles no messages and sends orders over HTTP."""

    async def run(self) -> None:
        """Keep the lease and send orders until cancelled, then resign.

        After an order without a response the lease is not resigned but expires: the
        next holder may send orders immediately after a resignation, while the order
        may still be in progress.
        """
        lease_task = asyncio.create_task(self.keeper.run())
        try:
            while True:
                await self.plan_and_send()
                await asyncio.sleep(self.period_s)
        finally:
            lease_task.cancel()
            for client in self._clients.values():
                client.close()
            if not self.unresolved_orders:
                await self.keeper.resign()

    async def plan_and_send(self) -> None:
        """Free the slots of completed orders, then plan and send the next orders."""
        if self.lease.remaining_s(self.keeper.clock()) <= 0:
            return
        # The orders of this plan must not be sent under a later lease, which would have
        # another fencing number.
        fencing = self.lease.fencing
        await self._purge()
        observed = self.observed_upstreams()
        await self._confirm_fencing(observed, fencing)
        if not self.lease.may_order(self.keeper.clock()):
            return
        try:
            slots = await self._read_slots()
            for key, slot in slots.items():
                if slot is not None and self._is_finished(slot, observed):
                    slots[key] = await self._free_slot(key, slot)
        except (TableUnavailable, TableOutcomeUnknown):
            return
        now = self.wall_clock()
        clock_bound_s = self.lease.clock_bound_s
        plan = next_orders(
            desired=self.desired_models(),
            observed=observed,
            data_centre=self.data_centre,
            slots=list(slots.values()),
            excluded_engines={
                name for name, until in self.excluded_until.items() if now < until
            },
            uncertain_engines=self._uncertain_engines(observed),
            now=now,
            clock_bound_s=clock_bound_s,
        )
        self.blocked = plan.blocked
        free = [
            key
            for key, slot in slots.items()
            if slot is None or slot.is_free(now, clock_bound_s=clock_bound_s)
        ]
        entries = {entry.name: entry for entry in observed}
        sends = [
            self._send_order(order, entries[order.engine], key, slots[key], fencing)
            for order, key in zip(plan.orders, free, strict=False)
        ]
        await asyncio.gather(*sends)
        self._close_old_clients()

    async def _purge(self) -> None:
        """Purge old claims once a day; any data centre's lease holder may do so."""
        now = self.wall_clock()
        if utc_day(now) == self._purged_day or now < self._purge_after:
            return
        self._purge_after = now + PURGE_RETRY_S
        try:
            await purge_claims(self.table, now=now)
        except (TableUnavailable, TableOutcomeUnknown):
            return
        self._purged_day = utc_day(now)

    async def _confirm_fencing(
        self, observed: list[UpstreamEntry], fencing: int
    ) -> None:
        """Send the fencing number to each engine that checks it and has not seen it.

        Until an engine has seen the number, it would still run an order from an earlier
        holder that was paused.
        """
        if fencing != self._confirmed_fencing:
            self._confirmed_fencing = fencing
            self._confirmed.clear()
        await asyncio.gather(
            *(
                self._confirm_engine(entry, fencing)
                for entry in observed
                if entry.state == "live"
                and self._checks_fencing(entry)
                and (entry.name, entry.incarnation) not in self._confirmed
            )
        )

    async def _confirm_engine(self, entry: UpstreamEntry, fencing: int) -> None:
        client = self._client(entry.pool, fencing, confirms=True)
        try:
            await client.send(None, url=self._url(entry), timeout_s=CONFIRM_TIMEOUT_S)
        except (UpstreamUnreachable, UpstreamBroken, UpstreamRejected, OrderNotSent):
            return
        if fencing == self._confirmed_fencing:
            self._confirmed[(entry.name, entry.incarnation)] = self.keeper.clock()

    def _uncertain_engines(self, observed: list[UpstreamEntry]) -> set[str]:
        """Return the engines that an order of an earlier holder may still change.

        When an engine confirms the fencing number, an earlier order may be in progress
        until its timeout, and for the same time the observed state may be older than
        the confirmation.
        """
        wait_s = self.lease.order_timeout_s + self.lease.clock_bound_s
        cutoff = self.keeper.clock() - wait_s
        return {
            entry.name
            for entry in observed
            if self._checks_fencing(entry)
            and self._confirmed.get((entry.name, entry.incarnation), cutoff) >= cutoff
        }

    def _checks_fencing(self, entry: UpstreamEntry) -> bool:
        settings = self.pools.get(entry.pool)
        return entry.kind == "engine" and bool(settings and settings.checks_fencing)

    async def _read_slots(self) -> dict[str, Slot | None]:
        rows = {row.key: row.value for row in await self.table.scan(*SLOT_RANGE)}
        return {
            key: parse_slot(rows[key]) if key in rows else None for key in SLOT_KEYS
        }

    def _is_finished(self, slot: Slot, observed: list[UpstreamEntry]) -> bool:
        own = slot.engine != "" and slot.data_centre == self.data_centre
        return own and is_order_complete(slot, observed)

    async def _free_slot(self, key: str, slot: Slot) -> Slot:
        """Free a slot; return the free slot, or the old one if the write failed."""
        free = make_free_slot(slot, token=self.rng.randbytes(8))
        result = await self.table.run(slot_transaction(key, old=slot, new=free))
        return free if result.succeeded else slot

    async def _send_order(
        self,
        order: Order,
        entry: UpstreamEntry,
        key: str,
        old: Slot | None,
        fencing: int,
    ) -> None:
        """Acquire a slot and send one order; free the slot if the order did not run."""
        slot = Slot(
            engine=order.engine,
            data_centre=self.data_centre,
            kind=order_kind(order),
            model=order.model,
            version="" if isinstance(order, UnloadWeights) else order.version,
            adapter=order.adapter if isinstance(order, LoadAdapter) else "",
            token=self.rng.randbytes(8),
            deadline=self.wall_clock() + self.slot_timeout_s,
        )
        if not await self._acquire_slot(key, old, slot):
            return
        client = self._client(entry.pool, fencing)
        timeout_s = self.lease.order_timeout_s
        self.unresolved_orders += 1
        try:
            # Sending may take one timeout, and running the order another one.
            latest_end = self.wall_clock() + 2 * timeout_s + self.lease.clock_bound_s
            if latest_end > slot.deadline:
                raise OrderNotSent("the order may outlast the deadline of its slot")
            await client.send(order, url=self._url(entry), timeout_s=timeout_s)
            self.unresolved_orders -= 1
            self.counts.sent += 1
        except UpstreamBroken:
            # The order may be running: the slot stays occupied until its deadline.
            self.counts.unknown += 1
            self.excluded_until[order.engine] = slot.deadline
        except (UpstreamUnreachable, OrderNotSent, UpstreamRejected) as error:
            self.unresolved_orders -= 1
            if isinstance(error, UpstreamRejected):
                self.counts.refused += 1
                if error.status == STALE_FENCING_STATUS:
                    # Another VM holds the lease; the next read of the row shows which.
                    self.lease.invalidate()
            else:
                self.counts.not_sent += 1
            self.excluded_until[order.engine] = self.wall_clock() + self.period_s
            try:
                await self._free_slot(key, slot)
            except (TableUnavailable, TableOutcomeUnknown):
                return

    async def _acquire_slot(self, key: str, old: Slot | None, slot: Slot) -> bool:
        """Write a slot for an order; return whether the write certainly succeeded.

        After an unknown outcome the write is repeated once. If the row then contains
        this slot already, the first write succeeded.
        """
        for _ in range(2):
            try:
                result = await self.table.run(slot_transaction(key, old=old, new=slot))
            except TableUnavailable:
                return False
            except TableOutcomeUnknown:
                continue
            values = [row.value for row in result.rows]
            return result.succeeded or values == [slot.encode()]
        return False

    def _client(
        self, pool: str, fencing: int, *, confirms: bool = False
    ) -> OrderClient:
        key = (pool, fencing, confirms)
        if key not in self._clients:
            settings = self.pools.get(pool)

            def may_send() -> bool:
                if self.lease.fencing != fencing:
                    return False
                now = self.keeper.clock()
                if confirms:
                    return self.lease.remaining_s(now) > 0
                checks = settings.checks_fencing if settings else False
                return self.lease.may_send(now, checks_fencing=checks)

            self._clients[key] = OrderClient(
                fencing=fencing,
                may_send=may_send,
                credential=settings.credential if settings else "",
                tls=client_context(settings.tls_ca) if settings else None,
            )
        return self._clients[key]

    def _close_old_clients(self) -> None:
        for key in list(self._clients):
            if key[1] != self.lease.fencing:
                self._clients.pop(key).close()

    def _url(self, entry: UpstreamEntry) -> str:
        settings = self.pools.get(entry.pool)
        scheme = "https" if settings and settings.tls_ca else "http"
        address = entry.address
        return address if "://" in address else f"{scheme}://{address}"
