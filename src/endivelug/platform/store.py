"""Client of the platform's metadata store."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from endivelug.exceptions import (
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.forwarding.connection_pool import BufferedResponse, ConnectionPool
from endivelug.forwarding.row_store import (
    HistoryLost,
    RowPage,
    RowWrite,
    StoredRow,
    StoreVersion,
    WriteResult,
)
from endivelug.forwarding.upstream_connection import RequestHead
from endivelug.platform.documents import DocumentUnreadable, read_object

# Statuses that state that the store did not execute the call.
NOT_EXECUTED = (403, 429, 503)
# Largest number of rows in one response to a read.
PAGE_ROWS = 500
# Header of all answers, with a number that rises each time the store comes back from an
# older copy; a store that is never restored does not send it.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 15
# Reads of a table that may be broken off by a restoration between two of their pages.
MAX_READS = 3


class PlatformStore:
    """Reads, writes and follows rows of the metadata store.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    timeout_s : float
        Time limit of a call; a feed's wait is added to it.

    Attributes
    ----------
    calls : int
        Number of calls since the start.
    on_answer : callable
        Called with the era that an answer names, for each answer.
    """

    def __init__(
        self, *, address: str, pool: ConnectionPool, timeout_s: float = 1.0
    ) -> None:
        self.address = address
        self.pool = pool
        self.timeout_s = timeout_s
        self.calls = 0
        self.on_answer: Callable[[int], None] = _ignore_era

    async def read(self, table: str, *, first: str = "", last: str = "") -> RowPage:
        """Read all pages of the rows of a table with ``first <= key < last``."""
        for _ in range(MAX_READS):
            page = await self._read_pages(table, first, last)
            if page is not None:
                return page
        raise TableUnavailable(
            f"the store was restored during {MAX_READS} reads; retry later"
        )

    async def _read_pages(self, table: str, first: str, last: str) -> RowPage | None:
        """Return the rows of all pages; None if the pages are of two eras."""
        rows: list[StoredRow] = []
        start: StoreVersion | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            answer = await self._get("/rows-get", query, timeout_s=self.timeout_s)
            rows.extend(answer.rows)
            if start is None:
                # The feed starts at the first page's version, so that it repeats the
                # changes made while later pages are read.
                start = answer.version
            if answer.version.era != start.era:
                return None
            if not answer.has_more or not answer.rows:
                return RowPage(rows=rows, version=start.number, era=start.era)
            first = answer.rows[-1].key + "\0"

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowPage:
        """Return changes after a version; wait up to ``wait_s`` for the first one."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + self.timeout_s
        answer = await self._get("/rows-feed", query, timeout_s=timeout_s)
        version = answer.version
        return RowPage(rows=answer.rows, version=version.number, era=version.era)

    async def write(self, writes: list[RowWrite]) -> WriteResult:
        """Write rows in one transaction."""
        body = {
            "expected": [
                {**_row_key(write), "ver": write.expected_version}
                for write in writes
                if write.expected_version is not None
            ],
            "writes": [
                {**_row_key(write), "value": base64.b64encode(write.value).decode()}
                for write in writes
            ],
            "remove": [],
        }
        response = await self._call("POST", "/rows-tx", json.dumps(body).encode())
        document = _document(response)
        era = _era_of_answer(response)
        _check_conditions(writes, era)
        if response.head.status == 412:
            rows = [
                row for write in writes for row in _rows(document, write.table, era)
            ]
            return WriteResult(done=False, version=0, rows=rows, era=era)
        return WriteResult(done=True, version=int(document["ver"]), era=era)

    async def _get(
        self, path: str, query: dict[str, str], *, timeout_s: float
    ) -> "_TableAnswer":
        """Return the answer to a read of a table."""
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._call("GET", target, b"", timeout_s=timeout_s)
            document = _document(response)
            era = _era_of_answer(response)
            return _TableAnswer(
                rows=_rows(document, query["table"], era),
                version=StoreVersion(era=era, number=int(document["ver"])),
                has_more=bool(document.get("hasMore")),
            )
        except TableOutcomeUnknown as error:
            # A read changes nothing, so it can be retried like one that was not sent.
            raise TableUnavailable(str(error)) from error

    async def _call(
        self, method: str, target: str, body: bytes, *, timeout_s: float | None = None
    ) -> BufferedResponse:
        self.calls += 1
        headers = [("Host", self.address)]
        if body:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        try:
            response = await self.pool.request(
                self.address,
                RequestHead(method=method, target=target, headers=headers),
                body,
                timeout_s=timeout_s or self.timeout_s,
                connect_timeout_s=self.timeout_s,
            )
        except UpstreamUnreachable as error:
            raise TableUnavailable(f"the store is unreachable: {error}") from error
        except UpstreamBroken as error:
            raise TableOutcomeUnknown(
                f"the store's response was lost: {error}"
            ) from error
        era = _era(response)
        if era is not None:
            self.on_answer(era)
        status = response.head.status
        if status in NOT_EXECUTED:
            raise TableUnavailable(f"the store returned status {status}; retry later")
        if status == 410:
            raise HistoryLost(
                "the store no longer has these changes; read the table again"
            )
        if status not in (200, 412):
            raise TableOutcomeUnknown(
                f"the store returned status {status}; read the rows back"
            )
        return response


@dataclass(slots=True, kw_only=True, frozen=True)
class _TableAnswer:
    """Answer to a read or a feed; ``has_more`` if other pages follow."""

    rows: list[StoredRow]
    version: StoreVersion
    has_more: bool


def _ignore_era(era: int) -> None:
    """Stand for a callback that nobody has set."""


def _era(response: BufferedResponse) -> int | None:
    """Return the era that an answer names; None if its header is malformed."""
    text = response.head.get(ERA_HEADER)
    if text is None:
        return 0
    usable = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if usable else None


def _era_of_answer(response: BufferedResponse) -> int:
    era = _era(response)
    if era is None:
        raise TableOutcomeUnknown(
            "the store's response has a malformed era; read the rows back"
        )
    return era


def _check_conditions(writes: list[RowWrite], era: int) -> None:
    """Raise if an answer is not of the era of the conditions that it decided."""
    if any(write.expected_era not in (None, era) for write in writes):
        raise TableOutcomeUnknown(
            "the store was restored and may have given out the expected version again; "
            "read the rows back"
        )


def _row_key(write: RowWrite) -> dict[str, str]:
    return {"table": write.table, "part": "", "key": write.key}


def _document(response: BufferedResponse) -> dict[str, Any]:
    try:
        document = read_object(response.body)
    except DocumentUnreadable as error:
        raise TableOutcomeUnknown(
            f"the store's response is unusable: {error}; read the rows back"
        ) from error
    if response.head.status == 200 and type(document.get("ver")) is not int:
        raise TableOutcomeUnknown(
            "the store's response has no version; read the rows back"
        )
    return document


def _rows(document: dict[str, Any], table: str, era: int) -> list[StoredRow]:
    items = document.get("rows", [])
    if not isinstance(items, list):
        raise TableOutcomeUnknown("the store's rows are no list; read them back")
    return [_row(item, era) for item in items if _is_row(item, table)]


def _is_row(item: Any, table: str) -> bool:
    return (
        isinstance(item, dict)
        and item.get("table") == table
        and isinstance(item.get("key"), str)
        and type(item.get("ver")) is int
    )


def _row(item: dict[str, Any], era: int) -> StoredRow:
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (ValueError, TypeError):
        # The row stays in the result with an empty value: its version still counts,
        # and the decoder rejects its content.
        value = b""
    return StoredRow(
        table=item["table"],
        key=item["key"],
        value=value,
        version=item["ver"],
        removed=bool(item.get("tombstone")),
        era=era,
    )
