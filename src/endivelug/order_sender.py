"""Gives the orders of one data centre while this VM holds the lease."""

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
    LoadAdapter,
    Order,
    UnloadWeights,
    WantedModel,
    next_orders,
    order_kind,
)
from endivelug.settings import PoolSettings
from endivelug.table import Table

# Loads take about 1 to 2 s; a slot is lost for this long where a load fails.
LOAD_LIMIT_S = 30.0
PERIOD_S = 1.0
CONFIRM_TIMEOUT_S = 1.0
PURGE_RETRY_S = 600.0
STALE_FENCING = 412


@dataclass(slots=True, kw_only=True)
class OrderCounts:
    """Counters of one order giver."""

    sent: int = 0
    refused: int = 0
    unknown: int = 0
    not_sent: int = 0


class OrderGiver:
    """Plans and sends orders while the lease is held.

    Parameters
    ----------
    keeper : LeaseKeeper
        Holds the lease.
    table : Table
        Has the slots.
    data_centre : str
        Whose engines get orders.
    wanted : callable
        Returns the models that the lists in force ask for.
    observed : callable
        Returns the upstreams of the data centre; at most ``order_timeout_s`` old.
    pools : dict of str to PoolSettings
        Tells whether the engines of a pool check the fencing number.
    rng : random.Random
        Source of tokens.
    wall_clock : callable
        Unix seconds.
    """

    message_types: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        keeper: LeaseKeeper,
        table: Table,
        data_centre: str,
        wanted: Callable[[], list[WantedModel]],
        observed: Callable[[], list[UpstreamEntry]],
        pools: dict[str, PoolSettings],
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
        period_s: float = PERIOD_S,
        load_limit_s: float = LOAD_LIMIT_S,
    ) -> None:
        self.keeper = keeper
        self.lease = keeper.lease
        self.table = table
        self.data_centre = data_centre
        self.wanted = wanted
        self.observed = observed
        self.pools = pools
        self.rng = rng
        self.wall_clock = wall_clock
        self.period_s = period_s
        self.load_limit_s = load_limit_s
        self.counts = OrderCounts()
        self.blocked: list[str] = []
        # Engines without orders until a time: a load failed or ended unseen.
        self.excluded: dict[str, float] = {}
        # Orders whose end is not known; while there are any, the lease has to run out.
        self.uncertain = 0
        self._clients: dict[tuple[str, int, bool], OrderClient] = {}
        self._confirmed_fencing = 0
        self._purged_day = ""
        self._purge_after = 0.0
        self._confirmed: dict[tuple[str, int], float] = {}

    def holds_lease(self) -> bool:
        """Return whether this VM gives the orders now."""
        return self.lease.remaining_s(self.keeper.clock()) > 0

    async def handle(self, *, link: Any, message: Any) -> None:
        """Handle no message; orders go over HTTP."""

    async def run(self) -> None:
        """Keep the lease and give orders until cancelled; then resign.

        After an order without an answer the lease is not given up but runs out,
        because the next holder begins at once after a resignation.
        """
        keeping = asyncio.create_task(self.keeper.run())
        try:
            while True:
                await self.step()
                await asyncio.sleep(self.period_s)
        finally:
            keeping.cancel()
            for client in self._clients.values():
                client.close()
            if not self.uncertain:
                await self.keeper.resign()

    async def step(self) -> None:
        """Free finished slots, then plan and send what the lease covers."""
        if self.lease.remaining_s(self.keeper.clock()) <= 0:
            return
        # The plan is bound to this number: it must not be sent under a later lease.
        fencing = self.lease.fencing
        await self._purge()
        observed = self.observed()
        await self._confirm(observed, fencing)
        if not self.lease.may_order(self.keeper.clock()):
            return
        try:
            slots = await self._read_slots()
            for key, slot in slots.items():
                if slot is not None and self._is_finished(slot, observed):
                    slots[key] = await self._free(key, slot)
        except (TableUnavailable, TableOutcomeUnknown):
            return
        now = self.wall_clock()
        clock_bound_s = self.lease.clock_bound_s
        plan = next_orders(
            wanted=self.wanted(),
            observed=observed,
            data_centre=self.data_centre,
            slots=list(slots.values()),
            excluded={name for name, until in self.excluded.items() if now < until},
            uncertain=self._uncertain_engines(observed),
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
            self._give(order, entries[order.engine], key, slots[key], fencing)
            for order, key in zip(plan.orders, free, strict=False)
        ]
        await asyncio.gather(*sends)
        self._close_old_clients()

    async def _purge(self) -> None:
        """Purge old claims once a day; the holder of any data centre may do it."""
        now = self.wall_clock()
        if utc_day(now) == self._purged_day or now < self._purge_after:
            return
        self._purge_after = now + PURGE_RETRY_S
        try:
            await purge_claims(self.table, now=now)
        except (TableUnavailable, TableOutcomeUnknown):
            return
        self._purged_day = utc_day(now)

    async def _confirm(self, observed: list[UpstreamEntry], fencing: int) -> None:
        """Let each engine that checks it know the fencing number.

        An engine that has not seen the number would still run an order that a paused
        earlier holder sends.
        """
        if fencing != self._confirmed_fencing:
            self._confirmed_fencing = fencing
            self._confirmed.clear()
        await asyncio.gather(
            *(
                self._confirm_one(entry, fencing)
                for entry in observed
                if entry.state == "live"
                and self._checks_fencing(entry)
                and (entry.name, entry.incarnation) not in self._confirmed
            )
        )

    async def _confirm_one(self, entry: UpstreamEntry, fencing: int) -> None:
        client = self._client(entry.pool, fencing, confirms=True)
        try:
            await client.send(None, url=self._url(entry), timeout_s=CONFIRM_TIMEOUT_S)
        except (UpstreamUnreachable, UpstreamBroken, UpstreamRejected, OrderNotSent):
            return
        if fencing == self._confirmed_fencing:
            self._confirmed[(entry.name, entry.incarnation)] = self.keeper.clock()

    def _uncertain_engines(self, observed: list[UpstreamEntry]) -> set[str]:
        """Return the engines that an order of an earlier holder may still change.

        After the confirmation an older order may be in progress until its timeout,
        and an older observation may be shown for as long.
        """
        wait_s = self.lease.order_timeout_s + self.lease.clock_bound_s
        since = self.keeper.clock() - wait_s
        return {
            entry.name
            for entry in observed
            if self._checks_fencing(entry)
            and self._confirmed.get((entry.name, entry.incarnation), since) >= since
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

    async def _free(self, key: str, slot: Slot) -> Slot:
        """Free a slot; returns the slot as it now is, or as it was."""
        free = make_free_slot(slot, token=self.rng.randbytes(8))
        verdict = await self.table.run(slot_transaction(key, old=slot, new=free))
        return free if verdict.succeeded else slot

    async def _give(
        self,
        order: Order,
        entry: UpstreamEntry,
        key: str,
        old: Slot | None,
        fencing: int,
    ) -> None:
        """Take a slot and send one order; free the slot where nothing was run."""
        slot = Slot(
            engine=order.engine,
            data_centre=self.data_centre,
            kind=order_kind(order),
            model=order.model,
            version="" if isinstance(order, UnloadWeights) else order.version,
            adapter=order.adapter if isinstance(order, LoadAdapter) else "",
            token=self.rng.randbytes(8),
            deadline=self.wall_clock() + self.load_limit_s,
        )
        if not await self._take(key, old, slot):
            return
        client = self._client(entry.pool, fencing)
        timeout_s = self.lease.order_timeout_s
        self.uncertain += 1
        try:
            # The order may be sent for one timeout and be in progress for another.
            ends = self.wall_clock() + 2 * timeout_s + self.lease.clock_bound_s
            if ends > slot.deadline:
                raise OrderNotSent("the slot does not cover the order any more")
            await client.send(order, url=self._url(entry), timeout_s=timeout_s)
            self.uncertain -= 1
            self.counts.sent += 1
        except UpstreamBroken:
            # The load may be running: the slot stays taken until its deadline.
            self.counts.unknown += 1
            self.excluded[order.engine] = slot.deadline
        except (UpstreamUnreachable, OrderNotSent, UpstreamRejected) as error:
            self.uncertain -= 1
            if isinstance(error, UpstreamRejected):
                self.counts.refused += 1
                if error.status == STALE_FENCING:
                    # Another VM has the lease; the next read tells which.
                    self.lease.invalidate()
            else:
                self.counts.not_sent += 1
            self.excluded[order.engine] = self.wall_clock() + self.period_s
            try:
                await self._free(key, slot)
            except (TableUnavailable, TableOutcomeUnknown):
                return

    async def _take(self, key: str, old: Slot | None, slot: Slot) -> bool:
        """Take a slot; False where it is not certain that this write holds it."""
        for _ in range(2):
            try:
                verdict = await self.table.run(slot_transaction(key, old=old, new=slot))
            except TableUnavailable:
                return False
            except TableOutcomeUnknown:
                continue
            found = [row.value for row in verdict.rows]
            return verdict.succeeded or found == [slot.encode()]
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
