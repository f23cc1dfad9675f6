"""Client of the platform's metadata store."""

import base64
import json
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
    WriteResult,
)
from endivelug.forwarding.upstream_connection import RequestHead

NOT_DONE = (403, 429, 503)
PAGE_ROWS = 500


class PlatformStore:
    """Rows of the store under the project's own interface.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout_s : float
        Longest time to an answer.
    """

    def __init__(
        self, *, address: str, pool: ConnectionPool, timeout_s: float = 1.0
    ) -> None:
        self.address = address
        self.pool = pool
        self.timeout_s = timeout_s
        self.calls = 0

    async def read(self, table: str, *, first: str = "", last: str = "") -> RowPage:
        """Return the rows of a table with ``first <= key < last``, page by page."""
        rows: list[StoredRow] = []
        version: int | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            answer = await self._get("/rows-get", query, timeout_s=self.timeout_s)
            page = _rows(answer, table)
            rows.extend(page)
            if version is None:
                # Changes made while later pages are read come again with the feed.
                version = int(answer["ver"])
            if not answer.get("hasMore") or not page:
                return RowPage(rows=rows, version=version)
            first = page[-1].key + "\0"

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowPage:
        """Return changes after a version, as soon as there is one."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + self.timeout_s
        answer = await self._get("/rows-feed", query, timeout_s=timeout_s)
        return RowPage(rows=_rows(answer, table), version=int(answer["ver"]))

    async def write(self, writes: list[RowWrite]) -> WriteResult:
        """Write rows in one transaction."""
        body = {
            "expected": [
                {**_name(write), "ver": write.expected_version}
                for write in writes
                if write.expected_version is not None
            ],
            "writes": [
                {**_name(write), "value": base64.b64encode(write.value).decode()}
                for write in writes
            ],
            "remove": [],
        }
        answer = await self._call("POST", "/rows-tx", json.dumps(body).encode())
        document = _document(answer)
        if answer.head.status == 412:
            rows = [row for write in writes for row in _rows(document, write.table)]
            return WriteResult(done=False, version=0, rows=rows)
        return WriteResult(done=True, version=int(document["ver"]))

    async def _get(
        self, path: str, query: dict[str, str], *, timeout_s: float
    ) -> dict[str, Any]:
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await self._call("GET", target, b"", timeout_s=timeout_s)
        except TableOutcomeUnknown as error:
            # A read changes nothing, so a lost answer is only an unavailable one.
            raise TableUnavailable(str(error)) from error
        return _document(answer)

    async def _call(
        self, method: str, target: str, body: bytes, *, timeout_s: float | None = None
    ) -> BufferedResponse:
        self.calls += 1
        headers = [("Host", self.address)]
        if body:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        try:
            answer = await self.pool.request(
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
                f"the store's answer was lost: {error}"
            ) from error
        status = answer.head.status
        if status in NOT_DONE:
            raise TableUnavailable(f"the store answered {status}; retry later")
        if status == 410:
            raise HistoryLost("the store dropped its history; read the table again")
        if status not in (200, 412):
            raise TableOutcomeUnknown(f"the store answered {status}; read back")
        return answer


def _name(write: RowWrite) -> dict[str, str]:
    return {"table": write.table, "part": "", "key": write.key}


def _document(answer: BufferedResponse) -> dict[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError as error:
        raise TableOutcomeUnknown(f"the store's answer is not JSON: {error}") from error
    if not isinstance(document, dict) or (
        answer.head.status == 200 and type(document.get("ver")) is not int
    ):
        raise TableOutcomeUnknown("the store's answer has no version; read back")
    return document


def _rows(document: dict[str, Any], table: str) -> list[StoredRow]:
    rows = []
    for item in document.get("rows", []):
        if not isinstance(item, dict) or item.get("table") != table:
            continue
        removed = bool(item.get("tombstone"))
        try:
            value = base64.b64decode(item.get("value") or "", validate=True)
        except ValueError:
            # Kept as a row, so that readers see the version and refuse its content.
            value = b""
        rows.append(
            StoredRow(
                table=table,
                key=str(item.get("key", "")),
                value=value,
                version=int(item.get("ver", 0)),
                removed=removed,
            )
        )
    return rows
