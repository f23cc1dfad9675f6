"""Exchange of the platform's table rows between linked VMs."""

import asyncio
from collections.abc import Callable
from functools import partial

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.cluster_view import ClusterView, LogLine
from endivelug.forwarding.peer_messages import (
    RowsReply,
    RowsRequest,
    TableRow,
)
from endivelug.forwarding.row_store import RowPage, StoredRow
from endivelug.links import Link

# Newer rows are requested from a peer unless this VM's own feed delivers them in this
# time.
ROWS_DELAY_S = 0.25
ROWS_TIMEOUT_S = 1.0


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
        self.behind_since: dict[tuple[str, str], float] = {}
        self._fetching: set[str] = set()

    def compare_versions(self, link: Link, tables: dict[str, int]) -> None:
        """Compare a peer's table versions with this VM's, and fetch newer rows."""
        now, vm = self.clock(), link.peer.vm
        for table, version in tables.items():
            key = (vm, table)
            if version <= self.view.latest_versions.get(table, 0):
                self.behind_since.pop(key, None)
                continue
            since = self.behind_since.setdefault(key, now)
            if not self.follows_store() or now - since >= ROWS_DELAY_S:
                self._start_fetch(link, table)

    def forget(self, vm: str) -> None:
        """Drop the state of a disconnected peer."""
        for key in [key for key in self.behind_since if key[0] == vm]:
            del self.behind_since[key]

    def answer(self, request: RowsRequest) -> RowsReply:
        """Return the rows that a peer requested."""
        return RowsReply(
            table=request.table,
            version=self.view.latest_versions.get(request.table, 0),
            complete=request.table in self.view.loaded_tables,
            rows=[
                TableRow(
                    key=cached.row.key,
                    value=cached.row.value,
                    version=cached.row.version,
                    removed=cached.row.removed,
                    changed=cached.changed,
                )
                for cached in self.view.rows_after(request.table, request.after)
            ],
        )

    def _start_fetch(self, link: Link, table: str) -> None:
        if table in self._fetching:
            return
        self._fetching.add(table)
        task = asyncio.create_task(self._fetch(link, table))
        task.add_done_callback(partial(self._fetch_done, table))

    def _fetch_done(self, table: str, task: asyncio.Task[None]) -> None:
        self._fetching.discard(table)
        if not task.cancelled() and task.exception() is not None:
            self.log("job-failed", job="PeerRows.fetch", reason=repr(task.exception()))

    async def _fetch(self, link: Link, table: str) -> None:
        full_read = table not in self.view.loaded_tables
        after = 0 if full_read else self.view.latest_versions.get(table, 0)
        request = RowsRequest(table=table, after=after)
        try:
            reply = await link.request(request, timeout_s=ROWS_TIMEOUT_S)
        except (EndivelugError, TimeoutError) as error:
            self.log(
                "peer-rows-failed", peer=link.peer.vm, table=table, reason=str(error)
            )
            return
        if not isinstance(reply, RowsReply) or reply.table != table:
            self.log(
                "peer-rows-failed", peer=link.peer.vm, table=table, reason="wrong reply"
            )
            return
        self._apply(reply, full_read=full_read, source=f"peer/{link.peer.vm}")
        self.behind_since.pop((link.peer.vm, table), None)

    def _apply(self, reply: RowsReply, *, full_read: bool, source: str) -> None:
        rows = [
            StoredRow(
                table=reply.table,
                key=row.key,
                value=row.value,
                version=row.version,
                removed=row.removed,
                changed=row.changed,
            )
            for row in reply.rows
        ]
        if full_read and reply.complete:
            version = max((row.version for row in rows), default=0)
            page = RowPage(rows=rows, version=version)
            self.view.replace_table(reply.table, page, source=source)
        else:
            self.view.apply(rows, source=source)
        self.view.advance_version(reply.table, reply.version)
