"""Client of the platform's table service, a key-value store with transactions.

The protocol is the key-value part of the etcd v3 JSON gateway: ``/v3/kv/range``,
``/v3/kv/txn`` and ``/v3/kv/deleterange`` with base64 keys and values.
"""

import base64
import json
import ssl
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from endivelug._address_resolver import AddressResolver
from endivelug._tls import client_context
from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.settings import PlatformSettings
from endivelug.transactions import (
    Absent,
    Condition,
    Delete,
    Get,
    Operation,
    Put,
    RevisionEquals,
    Row,
    TableVersion,
    Transaction,
    TransactionResult,
    ValueEquals,
)


def _encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _encode_key(key: str) -> str:
    return _encode_bytes(key.encode())


def _encode_condition(condition: Condition) -> dict[str, Any]:
    match condition:
        case Absent():
            check: dict[str, Any] = {"target": "VERSION", "version": "0"}
        case RevisionEquals():
            check = {"target": "MOD", "mod_revision": str(condition.mod_revision)}
        case ValueEquals():
            check = {"target": "VALUE", "value": _encode_bytes(condition.value)}
    return {"key": _encode_key(condition.key), "result": "EQUAL", **check}


def _encode_operation(operation: Operation) -> dict[str, Any]:
    match operation:
        case Put():
            body = {
                "key": _encode_key(operation.key),
                "value": _encode_bytes(operation.value),
            }
            return {"request_put": body}
        case Get():
            return {"request_range": {"key": _encode_key(operation.key)}}
        case Delete():
            return {"request_delete_range": {"key": _encode_key(operation.key)}}
        case Transaction():
            return {"request_txn": _encode_transaction(operation)}


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "compare": [
            _encode_condition(condition) for condition in transaction.conditions
        ],
        "success": [_encode_operation(operation) for operation in transaction.success],
        "failure": [_encode_operation(operation) for operation in transaction.failure],
    }


def _decode_rows(response_body: dict[str, Any]) -> list[Row]:
    return [
        Row(
            key=base64.b64decode(item["key"]).decode(),
            value=base64.b64decode(item.get("value", "")),
            mod_revision=int(item["mod_revision"]),
        )
        for item in response_body.get("kvs", [])
    ]


def _decode_result(response_body: dict[str, Any]) -> TransactionResult:
    rows: list[Row] = []
    nested: list[TransactionResult] = []
    for response in response_body.get("responses", []):
        if "response_range" in response:
            rows.extend(_decode_rows(response["response_range"]))
        elif "response_txn" in response:
            nested.append(_decode_result(response["response_txn"]))
    return TransactionResult(
        succeeded=bool(response_body.get("succeeded", False)), rows=rows, nested=nested
    )


class Table:
    """Reads rows and runs transactions on the table service.

    Parameters
    ----------
    url : str
        Base URL of the JSON gateway.
    timeout_s : float
        Seconds to wait for each response.
    credential : str
        Bearer token; empty for none.
    tls : ssl.SSLContext or None
        Client context for ``https``.

    Attributes
    ----------
    reads, writes : int
        Requests sent.
    version : TableVersion
        Era 0, as this table is never restored from an older copy.
    """

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float = 2.0,
        credential: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.tls = tls
        self.reads = 0
        self.writes = 0
        self.version = TableVersion()
        self._headers = {"Content-Type": "application/json"}
        if credential:
            self._headers["Authorization"] = f"Bearer {credential}"
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=64, resolver=AddressResolver()
        )

    @classmethod
    def open(cls, platform: PlatformSettings) -> "Table":
        """Return a client configured from the platform's settings."""
        return cls(
            url=platform.table,
            timeout_s=platform.timeout_s,
            credential=platform.credential,
            tls=client_context(platform.tls_ca),
        )

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if the key does not exist.

        Raises
        ------
        TableUnavailable
            If the table did not respond.
        """
        rows = await self.scan(key)
        return rows[0] if rows else None

    async def scan(
        self, start: str, end: str | None = None, *, limit: int = 0
    ) -> list[Row]:
        """Return the rows with ``start <= key < end`` in key order.

        Parameters
        ----------
        start : str
            First key.
        end : str or None
            Exclusive end of the range; None reads only ``start``.
        limit : int
            Largest number of rows; 0 for all.

        Raises
        ------
        TableUnavailable
            If the table did not respond.
        """
        body: dict[str, Any] = {"key": _encode_key(start), "limit": str(limit)}
        if end is not None:
            body["range_end"] = _encode_key(end)
        self.reads += 1
        try:
            return _decode_rows(await self._post("/v3/kv/range", body))
        except TableOutcomeUnknown as error:
            # A read changes nothing, so a lost response leaves no unknown outcome.
            raise TableUnavailable(str(error)) from error

    async def run(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction.

        Raises
        ------
        TableUnavailable
            If the table did not run it.
        TableOutcomeUnknown
            If it may have run; the caller has to read the keys to find out.
        """
        self.writes += 1
        return _decode_result(
            await self._post("/v3/kv/txn", _encode_transaction(transaction))
        )

    async def delete_range(self, start: str, end: str) -> None:
        """Delete the rows with ``start <= key < end``.

        Raises
        ------
        TableUnavailable, TableOutcomeUnknown
            As for ``run``.
        """
        self.writes += 1
        body = {"key": _encode_key(start), "range_end": _encode_key(end)}
        await self._post("/v3/kv/deleterange", body)

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        request = HTTPRequest(
            self.url + path,
            method="POST",
            headers=self._headers,
            body=json.dumps(body),
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            ssl_options=self.tls,
        )
        try:
            response = await self._client.fetch(request)
            response_body: dict[str, Any] = json.loads(response.body)
        except ConnectionRefusedError as error:
            raise TableUnavailable(
                "the table service refused the connection; retry later"
            ) from error
        except HTTPClientError as error:
            if error.code in (429, 503):
                raise TableUnavailable(
                    f"the table service responded with status {error.code}; retry later"
                ) from error
            raise TableOutcomeUnknown(
                f"no usable response from the table service ({error}); read the keys "
                "back"
            ) from error
        except (OSError, ValueError, RecursionError) as error:
            raise TableOutcomeUnknown(
                f"the table service's response was lost ({error}); read the keys back"
            ) from error
        return response_body
