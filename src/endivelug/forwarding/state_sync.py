"""Follows the feeds of the platform's tables and updates the cluster view."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.row_store import (
    STORE_SOURCE,
    HistoryLost,
    RowPage,
    RowStore,
    StoreVersion,
)

# Long-poll wait. A connection can go silent without a reset; this wait bounds the time
# until that is detected.
FEED_WAIT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# Interval of the check for instances that did not register again after an outage.
EXPIRE_S = 0.25
# Pause after a change, which is often the first of several.
CHANGE_PAUSE_S = 0.1
# Every heartbeat rewrites the registration, so with many instances the feed always has
# rows. The pause fetches several heartbeats with one call, and delays changes as much.
HEARTBEAT_PAUSE_MIN_S = 0.6
HEARTBEAT_PAUSE_MAX_S = 1.0
INSTANCES_PER_PAUSE_S = 60
# Interval at which a VM that gets its rows from a relay checks whether it still does.
NEED_CHECK_S = 0.2
# Time after which such a VM reads a table whose era only peers have named. It is drawn
# from this range, so that the VMs do not read at the same time.
CONFIRM_MIN_S = 10.0
CONFIRM_MAX_S = 30.0


class StateSync:
    """Reads the feeds of all tables of the cluster view.

    Attributes
    ----------
    must_follow : callable
        Whether this VM has to follow the tables itself after the first full read.
    lost_since : dict of str to float
        Time at which each feed that is now lost stopped answering, by table.
    """

    def __init__(
        self, *, store: RowStore, view: ClusterView, rng: random.Random, log: LogLine
    ) -> None:
        self.must_follow: Callable[[], bool] = lambda: True
        self.store = store
        self.view = view
        self.rng = rng
        self.log = log
        self.lost_since: dict[str, float] = {}
        self._confirm_at: dict[str, float] = {}
        # Set for each table when a newer era is met, whoever named it.
        self._newer_era = {table: asyncio.Event() for table in view.records.tables}
        store.on_answer = view.eras.observe
        view.eras.on_newer.append(self._read_anew)

    @property
    def connected(self) -> bool:
        """Whether every feed answers."""
        return not self.lost_since

    @property
    def registry_connected(self) -> bool:
        """Whether the feed of registrations answers."""
        return self.view.records.instance_table not in self.lost_since

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            for table in self.view.records.tables:
                group.create_task(self._follow(table))
            group.create_task(self._expire())

    async def _follow(self, table: str) -> None:
        after: StoreVersion | None = None
        delay_s = RETRY_MIN_S
        while True:
            if table in self.view.loaded_tables and not self.must_follow():
                self._stop_following(table)
                await self._confirm_era(table)
                await asyncio.sleep(NEED_CHECK_S)
                continue
            self._newer_era[table].clear()
            try:
                after = await self._advance(table, after)
                delay_s = RETRY_MIN_S
            except HistoryLost as error:
                self.log("feed-history-lost", table=table, reason=str(error))
                after = None
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self._feed_lost(table, error)
                await self._pause(table, delay_s * self.rng.uniform(0.5, 1.0))
                delay_s = min(RETRY_MAX_S, delay_s * 2)
            except Exception as error:
                # The feeds of the other tables go on.
                self.log("feed-failed", table=table, reason=repr(error))
                after = None
                await asyncio.sleep(RETRY_MAX_S)

    async def _advance(
        self, table: str, after: StoreVersion | None
    ) -> StoreVersion | None:
        """Read a table, or its changes after a version.

        Returns the version up to which the rows were read, or None if the table has to
        be read as a whole.
        """
        if after is None or after.era < self._named_era(table):
            return await self._read_whole(table)
        # A lost feed is requested without a wait: an answer shows that the store is
        # back, even if nothing has changed.
        wait_s = 0.0 if table in self.lost_since else FEED_WAIT_S
        changes = await self._changes(table, after, wait_s)
        if changes is None or not after.era == changes.era == self._named_era(table):
            # The feed would go on from a version that may have been given out again.
            return None
        self._feed_regained(table)
        if self.view.apply(changes.rows, source=STORE_SOURCE):
            await self._pause(table, CHANGE_PAUSE_S)
        elif changes.rows:
            # Only heartbeats; let several collect for the next call.
            await self._pause(table, self._heartbeat_pause_s())
        return changes.store_version

    async def _read_whole(self, table: str) -> StoreVersion:
        """Read and apply a table as a whole; return its version."""
        eras = self.view.eras
        named = {eras.newest or 0, self.view.rows.latest_version(table).era}
        page = await self.store.read(table)
        floor = eras.confirmed or 0
        if page.era < floor:
            raise TableUnavailable(
                f"the answer is of era {page.era}, before era {floor}"
            )
        self._feed_regained(table)
        refuted = [era for era in named if era > page.era]
        if refuted:
            # The store would have named an era that had begun before the request.
            eras.refute(min(refuted))
            self.view.withdraw_eras(table, page.era)
            self.log("era-refuted", table=table, era=min(refuted), confirmed=page.era)
        self.view.replace_table(table, page, source=STORE_SOURCE)
        return page.store_version

    async def _confirm_era(self, table: str) -> None:
        """Read a table from the store if its era has come from peers alone for long.

        Otherwise rows of an era that does not exist would shut out those of the store.
        """
        now = self.view.clock()
        if self.view.rows.latest_version(table).era <= (self.view.eras.confirmed or 0):
            self._confirm_at.pop(table, None)
            return
        delay_s = self.rng.uniform(CONFIRM_MIN_S, CONFIRM_MAX_S)
        if now < self._confirm_at.setdefault(table, now + delay_s):
            return
        self._confirm_at[table] = now + delay_s
        try:
            await self._read_whole(table)
        except (TableUnavailable, TableOutcomeUnknown) as error:
            self.log("feed-failed", table=table, reason=str(error))

    async def _changes(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> RowPage | None:
        """Return the changes after a version; None if a newer era is met meanwhile."""
        call = asyncio.create_task(
            self.store.changes(table, after=after.number, wait_s=wait_s)
        )
        newer_era = asyncio.create_task(self._newer_era[table].wait())
        try:
            await asyncio.wait({call, newer_era}, return_when=asyncio.FIRST_COMPLETED)
            return await call if call.done() else None
        finally:
            newer_era.cancel()
            call.cancel()

    async def _pause(self, table: str, seconds: float) -> None:
        """Wait, but not longer than until a newer era is met."""
        try:
            async with asyncio.timeout(seconds):
                await self._newer_era[table].wait()
        except TimeoutError:
            pass

    def _named_era(self, table: str) -> int:
        """Return the newest era that the store, a peer or the known rows name."""
        newest = self.view.eras.newest or 0
        return max(newest, self.view.rows.latest_version(table).era)

    def _read_anew(self, before: int, era: int) -> None:
        """Read all tables at once, because the store was restored."""
        self.log("newer-era", era=era, before=before)
        for event in self._newer_era.values():
            event.set()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.view.expire()

    def _heartbeat_pause_s(self) -> float:
        instances = len(self.view.registry.entries)
        pause_s = max(HEARTBEAT_PAUSE_MIN_S, instances / INSTANCES_PER_PAUSE_S)
        pause_s = min(HEARTBEAT_PAUSE_MAX_S, pause_s)
        registry = self.view.registry
        if not registry.has_unregistered():
            return pause_s
        # An upstream that registers again in its time has to be read before the time
        # is over.
        remaining_s = registry.provisional_until - self.view.clock()
        return min(pause_s, max(CHANGE_PAUSE_S, remaining_s - CHANGE_PAUSE_S))

    def _stop_following(self, table: str) -> None:
        """Stop following a table whose rows come from a relay."""
        if self.lost_since.pop(table, None) is not None:
            self._registry_regained(table)

    def _feed_lost(self, table: str, error: Exception) -> None:
        if table not in self.lost_since:
            self.lost_since[table] = self.view.clock()
            if table == self.view.records.instance_table:
                self.view.registry.record_registry_lost()
            self.log("dependency-lost", dependency=f"store/{table}", reason=str(error))

    def _feed_regained(self, table: str) -> None:
        since = self.lost_since.pop(table, None)
        if since is None:
            return
        self._registry_regained(table)
        self.log(
            "dependency-regained",
            dependency=f"store/{table}",
            after_s=self.view.clock() - since,
        )

    def _registry_regained(self, table: str) -> None:
        """Start the period in which live instances register again.

        Only the registry's feed starts it. An idle feed of another table answers later,
        and removals until then would stay provisional for too long.
        """
        if table == self.view.records.instance_table:
            self.view.registry.record_registry_regained(now=self.view.clock())
