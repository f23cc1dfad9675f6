"""Exchange of the platform's table rows between linked VMs."""

import asyncio
from collections.abc import Callable
from functools import partial

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.cached_rows import CachedRow
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.peer_messages import (
    RowsReply,
    RowsRequest,
    TableRow,
)
from endivelug.forwarding.row_store import (
    RowPage,
    StoredRow,
    StoreVersion,
    WriterCount,
)
from endivelug.links import Link

# Newer rows are requested from a peer unless this VM's own feed delivers them in this
# time.
ROWS_DELAY_S = 0.25
ROWS_TIMEOUT_S = 1.0
# The operator's table that was fetched for its content is fetched again after this time
# at the earliest.
REPEAT_S = 1.0
# What a peer may be ahead in: the version of a table, or the configuration or desired
# weights in force.
_TABLE = "table"
_CONTENT = "content"


class PeerRows:
    """Requests newer rows from peers, and answers their requests.

    Parameters
    ----------
    follows_store : callable
        Whether this VM follows the store's feed itself.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        follows_store: Callable[[], bool],
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.view = view
        self.follows_store = follows_store
        self.clock = clock
        self.log = log
        self.behind_since: dict[tuple[str, str, str], float] = {}
        self._fetching: set[str] = set()

    def compare(self, link: Link, neighbour: Neighbour) -> None:
        """Compare what a peer has with what this VM has, and fetch what is newer."""
        for table, version in neighbour.tables.items():
            is_behind = version > self.view.rows.latest_version(table)
            is_behind = is_behind and self.view.eras.is_credible(version.era)
            self._consider(link, table, _TABLE, is_behind=is_behind)
        # The rows of a VM that has read an older copy of the store may have the same
        # versions as those of its peers.
        is_behind = neighbour.configuration > self.view.configuration_number
        is_behind = is_behind or bool(neighbour.announcements)
        table = self.view.records.operator_table
        self._consider(link, table, _CONTENT, is_behind=is_behind)

    def _consider(self, link: Link, table: str, what: str, *, is_behind: bool) -> None:
        """Fetch a table if this VM has been behind a peer for long enough."""
        now, key = self.clock(), (link.peer.vm, table, what)
        if not is_behind:
            self.behind_since.pop(key, None)
            return
        since = self.behind_since.setdefault(key, now)
        delay_s = ROWS_DELAY_S if self.follows_store() else 0.0
        if now - since >= delay_s:
            self._start_fetch(link, table, whole=what == _CONTENT)

    def forget(self, vm: str) -> None:
        """Drop the state of a disconnected peer."""
        for key in [key for key in self.behind_since if key[0] == vm]:
            del self.behind_since[key]

    def answer(self, request: RowsRequest) -> RowsReply:
        """Return the rows that a peer requested."""
        rows = self.view.rows
        version = rows.latest_version(request.table)
        after = StoreVersion(era=request.era, number=request.after)
        if after.era != version.era:
            after = StoreVersion()
        is_whole = after == StoreVersion()
        return RowsReply(
            table=request.table,
            version=version.number,
            era=version.era,
            complete=is_whole and request.table in rows.loaded_tables,
            rows=[_table_row(row) for row in rows.rows_after(request.table, after)],
        )

    def _start_fetch(self, link: Link, table: str, *, whole: bool) -> None:
        if table in self._fetching:
            return
        self._fetching.add(table)
        task = asyncio.create_task(self._fetch(link, table, whole=whole))
        task.add_done_callback(partial(self._fetch_done, table))

    def _fetch_done(self, table: str, task: asyncio.Task[None]) -> None:
        self._fetching.discard(table)
        if not task.cancelled() and task.exception() is not None:
            self.log("job-failed", job="PeerRows.fetch", reason=repr(task.exception()))

    async def _fetch(self, link: Link, table: str, *, whole: bool) -> None:
        after = self._after(table, whole=whole)
        request = RowsRequest(table=table, after=after.number, era=after.era)
        vm = link.peer.vm
        try:
            reply = await link.request(request, timeout_s=ROWS_TIMEOUT_S)
        except (EndivelugError, TimeoutError) as error:
            self.log("peer-rows-failed", peer=vm, table=table, reason=str(error))
            return
        if not isinstance(reply, RowsReply) or reply.table != table:
            self.log("peer-rows-failed", peer=vm, table=table, reason="wrong reply")
            return
        self._apply(reply, vm)
        self.behind_since.pop((vm, table, _TABLE), None)
        if whole:
            # The rows of the peer may not hold what it has in force.
            self.behind_since[vm, table, _CONTENT] = self.clock() + REPEAT_S

    def _after(self, table: str, *, whole: bool) -> StoreVersion:
        """Return the version up to which this VM has the rows of a table."""
        if whole or table not in self.view.loaded_tables:
            return StoreVersion()
        return self.view.rows.latest_version(table)

    def _apply(self, reply: RowsReply, vm: str) -> None:
        view, source = self.view, f"peer/{vm}"
        if not view.eras.accepts(reply.era, peer=vm):
            return
        rows = [
            _stored_row(reply.table, row)
            for row in reply.rows
            if self._has_usable_eras(row, reply, vm)
        ]
        unusable = len(reply.rows) - len(rows)
        if unusable:
            reason = f"{unusable} rows have unusable eras"
            self.log("peer-rows-failed", peer=vm, table=reply.table, reason=reason)
        view.eras.hear(reply.era, peer=vm)
        era = view.rows.latest_version(reply.table).era
        is_loaded = reply.table in view.loaded_tables
        # The rows that are left out would be taken for removed ones.
        if reply.complete and not unusable and reply.era >= era:
            number = max((row.version for row in rows), default=0)
            page = RowPage(rows=rows, version=number, era=reply.era)
            view.replace_table(reply.table, page, source=source)
        elif is_loaded and reply.era > era:
            # Without the other rows, the table would be of two eras.
            return
        else:
            view.apply(rows, source=source)
        version = StoreVersion(era=reply.era, number=reply.version)
        view.rows.advance_version(reply.table, version)

    def _has_usable_eras(self, row: TableRow, reply: RowsReply, vm: str) -> bool:
        """Return whether the eras of a row can be those of rows of its table."""
        eras = self.view.eras
        if not all(eras.accepts(era, peer=vm) for era in (row.era, row.content_era)):
            return False
        return max(row.era, row.content_era) <= reply.era


def _table_row(cached: CachedRow) -> TableRow:
    count = cached.count or WriterCount()
    return TableRow(
        key=cached.row.key,
        value=cached.row.value,
        version=cached.row.version,
        removed=cached.row.removed,
        changed=cached.changed.number,
        era=cached.row.era,
        content_era=cached.content_era,
        started_ms=count.started_ms,
        number=count.number,
    )


def _stored_row(table: str, row: TableRow) -> StoredRow:
    count = WriterCount(started_ms=row.started_ms, number=row.number)
    return StoredRow(
        table=table,
        key=row.key,
        value=row.value,
        version=row.version,
        removed=row.removed,
        changed=row.changed,
        era=row.era,
        content_era=row.content_era,
        count=None if count == WriterCount() else count,
    )
