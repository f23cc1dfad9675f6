"""Stand-in of the platform's row store on loopback."""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler


@dataclass(kw_only=True, frozen=True)
class StoreCopy:
    """Rows and version of a store at one time."""

    rows: dict[tuple[str, str], tuple[bytes, int, bool]]
    version: int


class StoreStandIn:
    """Row store with row versions, conditional writes and a change feed.

    Attributes
    ----------
    fail_with : int or None
        Status of all responses while it is set; no request is carried out then.
    lose_answers : bool
        Whether writes are carried out but the connection closes without a response.
    history_start : int
        Feeds that continue from a lower version get status 410.
    era : int or None
        Number that all answers name, if it is set; a restoration raises it.
    page_rows : int
        Largest number of rows in an answer to a read.
    after_answer : callable or None
        Called once after the next answer to a read.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int, bool]] = {}
        self.version = 0
        self.history_start = 0
        self.era: int | None = None
        self.page_rows = 500
        self.after_answer: Callable[[], None] | None = None
        self.fail_with: int | None = None
        self.lose_answers = False
        self.request_paths: list[str] = []
        self.changed = asyncio.Event()
        self.address = ""

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row unconditionally, as the operator or an upstream does."""
        value = document if isinstance(document, bytes) else json.dumps(document)
        data = value if isinstance(value, bytes) else value.encode()
        self._write_row(table, key, data, removed=False)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write_row(table, key, b"", removed=True)

    def drop_history(self) -> None:
        """Drop the change history, so that feeds behind the current version fail."""
        self.history_start = self.version
        self._notify_waiters()

    def take_copy(self) -> "StoreCopy":
        """Return a copy from which the store can be restored."""
        return StoreCopy(rows=dict(self.rows), version=self.version)

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy; versions go back, and waiting feeds are cut."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.history_start = min(self.history_start, copy.version)
        self.era = (self.era or 0) + 1
        self._notify_waiters()

    def make_page(self, table: str, after: int | None, start: str, end: str) -> dict:
        """Return the rows of a key range, or those changed after a version."""
        rows = []
        for (name, key), (value, version, removed) in self.rows.items():
            if name != table or key < start or (end and key >= end):
                continue
            if (after is None and removed) or (after is not None and version <= after):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            row["value"] = base64.b64encode(value).decode()
            rows.append({**row, "tombstone": True} if removed else row)
        order = "ver" if after is not None else "key"
        rows.sort(key=lambda row: row[order])
        has_more = after is None and len(rows) > self.page_rows
        rows = rows[: self.page_rows] if after is None else rows
        return {"rows": rows, "hasMore": has_more, "ver": self.version, "nowMs": 1}

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply the writes if all expected versions match; return status and body."""
        for row in body["expected"]:
            existing = self.rows.get((row["table"], row["key"]))
            version = existing[1] if existing and not existing[2] else 0
            if version != row["ver"]:
                page = self.make_page(row["table"], None, row["key"], row["key"] + "\0")
                return 412, page
        for row in body["writes"]:
            data = base64.b64decode(row["value"])
            self._write_row(row["table"], row["key"], data, removed=False)
        return 200, {"ver": self.version, "nowMs": 1}

    def _write_row(self, table: str, key: str, value: bytes, *, removed: bool) -> None:
        self.version += 1
        self.rows[table, key] = (value, self.version, removed)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _StoreHandler(RequestHandler):
    store: StoreStandIn

    def initialize(self, store: StoreStandIn) -> None:
        self.store = store

    def _name_era(self) -> None:
        if self.store.era is not None:
            self.set_header("Store-Era", str(self.store.era))

    async def get(self) -> None:
        self._name_era()
        store, path = self.store, self.request.path
        store.request_paths.append(path)
        if store.fail_with is not None:
            self.set_status(store.fail_with)
            return
        table = self.get_query_argument("table")
        if path == "/rows-get":
            start = self.get_query_argument("from", "")
            end = self.get_query_argument("to", "")
            self.write(store.make_page(table, None, start, end))
            if store.after_answer is not None:
                callback, store.after_answer = store.after_answer, None
                callback()
            return
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("waitMs")) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        era = store.era
        while True:
            if store.era != era:
                self.request.connection.stream.close()  # type: ignore[attr-defined]
                return
            if not store.history_start <= after <= store.version:
                self.set_status(410)
                return
            page = store.make_page(table, after, "", "")
            if page["rows"] or loop.time() >= until:
                self.write(page)
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await store.changed.wait()

    async def post(self) -> None:
        store = self.store
        store.request_paths.append(self.request.path)
        self._name_era()
        if store.fail_with is not None:
            self.set_status(store.fail_with)
            return
        status, body = store.transact(json.loads(self.request.body))
        if store.lose_answers:
            self.request.connection.stream.close()  # type: ignore[attr-defined]
            return
        self.set_status(status)
        self.write(body)


@contextlib.asynccontextmanager
async def running_store() -> AsyncIterator[StoreStandIn]:
    """Run a store on loopback."""
    store = StoreStandIn()
    application = Application([(r"/.*", _StoreHandler, {"store": store})])
    server = HTTPServer(application)
    server.listen(0, address="127.0.0.1")
    (listener,) = server._sockets.values()
    store.address = f"127.0.0.1:{listener.getsockname()[1]}"
    try:
        yield store
    finally:
        server.stop()
        await server.close_all_connections()
