"""Builders of test data for the forwarding package and the platform's adapter."""

import json
from typing import Any

from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.engine_choice import EngineState, Prompt
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.routes import Repeat, Route, WeightedService
from endivelug.forwarding.row_store import StoredRow
from endivelug.platform.records import PlatformRecords


class ManualClock:
    """Clock whose time a test sets."""

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class LogRecorder:
    """Keeps log lines in memory, in place of the decision log."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def begin_stop(self) -> None:
        """Keep every line, also during a stop."""

    def finish(self, *, until: float) -> None:
        """Write nothing, as the lines stay in memory."""

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


def make_instance(name: str = "e1", **changes: Any) -> Instance:
    values: dict[str, Any] = {
        "name": name,
        "service": "engines",
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "slots": 8,
        "draining": False,
        "started_ms": 1000,
        "model_versions": (("m", 1),),
    }
    return Instance(**{**values, **changes})


def make_route(**changes: Any) -> Route:
    values: dict[str, Any] = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "repeat": Repeat.UNSAFE,
        "streaming": True,
        "resumable": True,
        "timeout_s": 10.0,
        "target_s": 1.0,
        "gap_target_s": 0.8,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        "generates": True,
        "services": (WeightedService(service="engines", weight=1.0),),
    }
    return Route(**{**values, **changes})


def make_request(**changes: Any) -> InboundRequest:
    values: dict[str, Any] = {
        "id": "q1",
        "method": "POST",
        "target": "/a/x",
        "host": "h.example",
        "headers": [],
        "key": "k",
        "received_at": 100.0,
        "deadline": 110.0,
        "model": "m",
        "prompt": [PromptSegment(segment_id="g", tokens=13000)],
        "prompt_tokens": 13000,
        "output_tokens": 30,
    }
    return InboundRequest(**{**values, **changes})


def make_call(**changes: Any) -> Call:
    values: dict[str, Any] = {
        "request": make_request(),
        "route": make_route(),
        "organisation": None,
        "service": "engines",
        "configuration_version": 1,
        "target_at": 101.0,
        "deadline": 110.0,
    }
    return Call(**{**values, **changes})


def make_engine_state(name: str, **changes: Any) -> EngineState:
    values: dict[str, Any] = {
        "name": name,
        "local": True,
        "current": True,
        "requests": 0,
        "backlog_tokens": 0,
        "memory_tokens": 0,
        "slots": 64,
        "cache_tokens": 147_000,
        "cached_tokens": 0,
        "fetch_tokens": 0,
        "fetch_s": 0.0,
        "slowdown": 1.0,
    }
    return EngineState(**{**values, **changes})


def make_prompt(**changes: Any) -> Prompt:
    values: dict[str, Any] = {
        "prompt_tokens": 17_000,
        "output_tokens": 30,
        "target_s": 1.2,
    }
    return Prompt(**{**values, **changes})


def configuration_document(**changes: Any) -> dict[str, Any]:
    """Return a configuration as the platform's operator writes it to the store."""
    document: dict[str, Any] = {
        "version": 7,
        "routes": [
            {
                "name": "r-review",
                "host": "h.example",
                "prefix": "/a/",
                "kind": "streaming",
                "timeoutMs": 10000,
                "targetLatencyMs": 1200,
                "priority": 1,
                "service": "engines",
                "maxAttempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 800,
            },
            {
                "name": "r-order",
                "host": "h.example",
                "prefix": "/a/orders/",
                "kind": "unsafe",
                "timeoutMs": 1000,
                "targetLatencyMs": 125,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 1,
                "public": False,
            },
            {
                "name": "r-look",
                "host": "h.example",
                "prefix": "/look/",
                "kind": "safe",
                "timeoutMs": 1000,
                "targetLatencyMs": 125,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "engines",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 146957,
                    "kvTokenBytes": 18432,
                    "linkMbps": 180000.0,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "desk", "maxConnections": 96},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
        "tenants": [
            {"name": "org1", "apiKeys": ["k1"], "priority": 1, "isolated": True},
            {"name": "org2", "apiKeys": ["k2"]},
        ],
    }
    return {**document, **changes}


def registration_document(**changes: Any) -> dict[str, Any]:
    """Return a registration as an upstream writes it to the platform's store."""
    document: dict[str, Any] = {
        "service": "engines",
        "address": "127.0.0.1:8080",
        "zone": "dc1",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "seq": 4,
        "born": 1000,
    }
    return {**document, **changes}


def stored_row(
    table: str, key: str, document: Any, version: int, era: int = 0
) -> StoredRow:
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return StoredRow(table=table, key=key, value=value, version=version, era=era)


def make_view(clock: ManualClock, log: LogRecorder | None = None) -> ClusterView:
    """Return a complete cluster view with a configuration and one engine."""
    view = ClusterView(records=PlatformRecords(), clock=clock, log=log or LogRecorder())
    view.apply(
        [
            stored_row("op", "config", configuration_document(), 1),
            stored_row("servers", "e1", registration_document(), 2),
        ],
        source="store",
    )
    view.loaded_tables.update(("op", "servers"))
    return view


def load_tables(view: ClusterView, version: int) -> None:
    """Apply a configuration and a registration, and mark the tables as read."""
    document = configuration_document(version=version)
    view.apply(
        [
            stored_row("op", "config", document, version),
            stored_row("servers", "e1", registration_document(), version + 1),
        ],
        source="store",
    )
    view.loaded_tables.update(("op", "servers"))
