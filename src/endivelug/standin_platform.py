"""Stand-in platform: table service, object store, VM list and injected faults."""

import asyncio
import base64
import bisect
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Application, RequestHandler


@dataclass(slots=True)
class PlatformFaults:
    """Faults to inject; times are monotonic seconds.

    Attributes
    ----------
    outage_until : float
        Time until which requests get the status 503 and have no effect.
    delay_s : float
        Delay of every response in seconds.
    lose_answers : int
        Number of upcoming writes that take effect but get no response.
    reads_per_s : float
        Combined rate limit for reads of the table and the object store; 0 for no
        limit. Reads above the limit get the status 429. The VM list is a separate
        service and is not limited.
    list_lag_s : float
        Age in seconds of the VM list that is served.
    """

    outage_until: float = 0.0
    delay_s: float = 0.0
    lose_answers: int = 0
    reads_per_s: float = 0.0
    list_lag_s: float = 0.0


@dataclass(slots=True)
class StoredValue:
    """Value of one key, with its last revision and its number of writes."""

    value: bytes
    mod_revision: int
    version: int


class MemoryTable:
    """In-memory key-value store with the transactions of the etcd v3 API."""

    def __init__(self) -> None:
        self.revision = 0
        self.values: dict[str, StoredValue] = {}
        self.keys: list[str] = []

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle ``/v3/kv/range``."""
        selected = self._select(body)
        limit = int(body.get("limit", 0)) or len(selected)
        rows = [self._row(key) for key in selected[:limit]]
        return {"kvs": rows, "count": str(len(selected))}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle ``/v3/kv/txn``; all changes get the same revision."""
        self.revision += 1
        return self._txn(body)

    def delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle ``/v3/kv/deleterange``."""
        selected = self._select(body)
        if selected:
            self.revision += 1
        for key in selected:
            self._delete(key)
        return {"deleted": str(len(selected))}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(
            self._condition_holds(check) for check in body.get("compare", [])
        )
        branch = body.get("success" if succeeded else "failure", [])
        return {
            "succeeded": succeeded,
            "responses": [self._apply(operation) for operation in branch],
        }

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            request = operation["request_put"]
            self._put(_decode_key(request["key"]), base64.b64decode(request["value"]))
            return {"response_put": {}}
        if "request_range" in operation:
            return {"response_range": self.range(operation["request_range"])}
        if "request_delete_range" in operation:
            for key in self._select(operation["request_delete_range"]):
                self._delete(key)
            return {"response_delete_range": {}}
        return {"response_txn": self._txn(operation["request_txn"])}

    def _condition_holds(self, check: dict[str, Any]) -> bool:
        stored = self.values.get(_decode_key(check["key"]))
        match check["target"]:
            case "VERSION":
                return (stored.version if stored else 0) == int(check["version"])
            case "MOD":
                actual = stored.mod_revision if stored else 0
                return actual == int(check["mod_revision"])
            case "VALUE":
                expected = base64.b64decode(check["value"])
                return stored is not None and stored.value == expected
        raise ValueError(f"unsupported compare target {check['target']!r}")

    def _select(self, body: dict[str, Any]) -> list[str]:
        start = _decode_key(body["key"])
        if not body.get("range_end"):
            return [start] if start in self.values else []
        first = bisect.bisect_left(self.keys, start)
        last = bisect.bisect_left(self.keys, _decode_key(body["range_end"]))
        return self.keys[first:last]

    def _row(self, key: str) -> dict[str, str]:
        stored = self.values[key]
        return {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(stored.value).decode(),
            "mod_revision": str(stored.mod_revision),
            "version": str(stored.version),
        }

    def _put(self, key: str, value: bytes) -> None:
        stored = self.values.get(key)
        version = stored.version + 1 if stored else 1
        if stored is None:
            bisect.insort(self.keys, key)
        self.values[key] = StoredValue(value, self.revision, version)

    def _delete(self, key: str) -> None:
        if self.values.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]


def _decode_key(text: str) -> str:
    return base64.b64decode(text).decode()


@dataclass(slots=True)
class PlatformState:
    """In-memory state of the stand-in platform."""

    table: MemoryTable = field(default_factory=MemoryTable)
    objects: dict[str, bytes] = field(default_factory=dict)
    vm_lists: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    reads: int = 0
    writes: int = 0
    read_tokens: float = 0.0
    read_tokens_at: float = 0.0

    def try_acquire_read(self, now: float) -> bool:
        """Return whether the rate limit allows a read, and count it."""
        rate = self.faults.reads_per_s
        if not rate:
            return True
        refill = (now - self.read_tokens_at) * rate
        # The burst is limited to 0.1 s, so that the limit holds within one second.
        self.read_tokens = min(self.read_tokens + refill, rate / 10)
        self.read_tokens_at = now
        if self.read_tokens < 1:
            return False
        self.read_tokens -= 1
        return True

    def set_vm_list(self, document: list[dict[str, Any]], now: float) -> None:
        """Set the VM list; earlier lists are kept to serve them with a lag."""
        self.vm_lists.append((now, document))
        del self.vm_lists[:-64]

    def current_vm_list(self, now: float) -> list[dict[str, Any]]:
        """Return the VM list as of ``list_lag_s`` seconds ago."""
        served: list[dict[str, Any]] = []
        for since, document in self.vm_lists:
            if since <= now - self.faults.list_lag_s or not served:
                served = document
        return served


class _Handler(RequestHandler):
    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def apply_faults(self, *, write: bool, limited: bool = True) -> bool:
        """Delay the request or refuse it with 503 or 429; return whether refused."""
        faults = self.state.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        now = time.monotonic()
        if now < faults.outage_until:
            self.set_status(503)
            return True
        if limited and not write and not self.state.try_acquire_read(now):
            self.set_status(429)
            return True
        return False

    def lose_answer(self) -> bool:
        """Close the connection without a response if ``lose_answers`` is above 0.

        Return whether it was closed.
        """
        if self.state.faults.lose_answers <= 0:
            return False
        self.state.faults.lose_answers -= 1
        self.detach().close()
        return True


class _TableHandler(_Handler):
    async def post(self, method: str) -> None:
        write = method != "range"
        if await self.apply_faults(write=write):
            return
        try:
            body = json.loads(self.request.body)
            if method == "range":
                self.state.reads += 1
                answer = self.state.table.range(body)
            elif method == "txn":
                self.state.writes += 1
                answer = self.state.table.txn(body)
            else:
                self.state.writes += 1
                answer = self.state.table.delete_range(body)
        except (ValueError, KeyError, TypeError):
            self.set_status(400)
            return
        if write and self.lose_answer():
            return
        self.write(answer)


class _ObjectHandler(_Handler):
    async def put(self, name: str) -> None:
        if await self.apply_faults(write=True):
            return
        self.state.writes += 1
        if name in self.state.objects:
            self.set_status(412)
            return
        self.state.objects[name] = self.request.body
        self.lose_answer()

    async def get(self, name: str) -> None:
        if await self.apply_faults(write=False):
            return
        self.state.reads += 1
        if name not in self.state.objects:
            self.set_status(404)
            return
        self.write(self.state.objects[name])


class _VmListHandler(_Handler):
    async def get(self) -> None:
        if await self.apply_faults(write=False, limited=False):
            return
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.state.current_vm_list(time.monotonic())))

    async def put(self) -> None:
        self.state.set_vm_list(json.loads(self.request.body), time.monotonic())


class _FaultsHandler(_Handler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        if "outage_s" in body:
            self.state.faults.outage_until = time.monotonic() + body.pop("outage_s")
        for name, value in body.items():
            setattr(self.state.faults, name, value)

    async def get(self) -> None:
        counts = {"reads": self.state.reads, "writes": self.state.writes}
        self.write(counts)


def make_platform(state: PlatformState) -> Application:
    """Return the web application of a stand-in platform.

    Parameters
    ----------
    state : PlatformState
        State of the platform; tests read and change it directly.
    """
    options = {"state": state}
    return Application(
        [
            (r"/v3/kv/(range|txn|deleterange)", _TableHandler, options),
            (r"/objects/(.+)", _ObjectHandler, options),
            (r"/v1/vms", _VmListHandler, options),
            (r"/faults", _FaultsHandler, options),
        ]
    )
