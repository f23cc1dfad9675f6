"""Follows the platform's tables and keeps the cluster view up to date."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.row_store import HistoryLost, RowStore

# A connection can fall silent without a reset; the wait bounds how long that lasts.
FEED_WAIT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
EXPIRE_S = 0.25
# Registrations are written with every heartbeat, so a feed of many instances always has
# rows. Some heartbeats are taken with one call; a change may wait for as long.
HEARTBEATS_PAUSE_MIN_S = 0.25
HEARTBEATS_PAUSE_MAX_S = 1.0
INSTANCES_PER_PAUSE_S = 60
# How often a VM that gets its rows from a relay looks whether it still does.
NEED_CHECK_S = 0.1


class StateSync:
    """Feeds of all tables of the view.

    Attributes
    ----------
    needed : callable
        Whether this VM has to follow the tables itself, once it has read them.
    """

    def __init__(
        self, *, store: RowStore, view: ClusterView, rng: random.Random, log: LogLine
    ) -> None:
        self.needed: Callable[[], bool] = lambda: True
        self.store = store
        self.view = view
        self.rng = rng
        self.log = log
        self.lost: dict[str, float] = {}

    @property
    def connected(self) -> bool:
        """Whether every feed answers."""
        return not self.lost

    @property
    def registry_connected(self) -> bool:
        """Whether the feed of registrations answers."""
        return self.view.records.instance_table not in self.lost

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            for table in self.view.records.tables:
                group.create_task(self._follow(table))
            group.create_task(self._expire())

    async def _follow(self, table: str) -> None:
        after: int | None = None
        delay_s = RETRY_MIN_S
        while True:
            if table in self.view.loaded_tables and not self.needed():
                self._pause(table)
                await asyncio.sleep(NEED_CHECK_S)
                continue
            try:
                if after is None:
                    page = await self.store.read(table)
                    self._regained(table)
                    self.view.replace_table(table, page, source="store")
                else:
                    # After a loss an answer is wanted at once, also without changes.
                    wait_s = 0.0 if table in self.lost else FEED_WAIT_S
                    page = await self.store.changes(table, after=after, wait_s=wait_s)
                    self._regained(table)
                    changed = self.view.apply(page.rows, source="store")
                    if page.rows and not changed:
                        # Heartbeats only; a few are taken with one call.
                        await asyncio.sleep(self._heartbeats_pause_s())
                after = page.version
                delay_s = RETRY_MIN_S
            except HistoryLost as error:
                self.log("feed-history-lost", table=table, reason=str(error))
                after = None
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self._lost(table, error)
                await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.view.expire()

    def _heartbeats_pause_s(self) -> float:
        instances = len(self.view.registry.entries)
        pause_s = max(HEARTBEATS_PAUSE_MIN_S, instances / INSTANCES_PER_PAUSE_S)
        return min(HEARTBEATS_PAUSE_MAX_S, pause_s)

    def _pause(self, table: str) -> None:
        """Leave it to a relay to bring the rows of a table."""
        if self.lost.pop(table, None) is not None:
            self._registry_regained(table)

    def _lost(self, table: str, error: Exception) -> None:
        if table not in self.lost:
            self.lost[table] = self.view.clock()
            if table == self.view.records.instance_table:
                self.view.registry.record_registry_lost()
            self.log("dependency-lost", dependency=f"store/{table}", reason=str(error))

    def _regained(self, table: str) -> None:
        since = self.lost.pop(table, None)
        if since is None:
            return
        self._registry_regained(table)
        self.log(
            "dependency-regained",
            dependency=f"store/{table}",
            after_s=self.view.clock() - since,
        )

    def _registry_regained(self, table: str) -> None:
        """Begin the time in which live instances register again.

        The other tables do not count: a quiet one answers later, and removals seen
        until then would be taken as provisional for too long.
        """
        if table == self.view.records.instance_table:
            self.view.registry.record_registry_regained(now=self.view.clock())
