"""Stand-in service with non-idempotent calls and injected faults."""

import asyncio
import collections
import json
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Application, RequestHandler


@dataclass(slots=True)
class ServiceFaults:
    """Faults to inject.

    Attributes
    ----------
    delay_s : float
        Delay before each run in seconds.
    drop_answers : int
        Number of upcoming runs whose connection is closed without a response.
    cut_answers : int
        Number of upcoming runs whose response is truncated after its first half.
    refuse : int
        Number of upcoming calls whose connection is closed before they run.
    crashed : bool
        Whether the connection of every call is closed before it runs.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    cut_answers: int = 0
    refuse: int = 0
    crashed: bool = False


@dataclass(slots=True)
class ServiceState:
    """In-memory state of the stand-in service.

    Attributes
    ----------
    runs : Counter
        Number of runs by the ``key`` member of the body.
    received_attempts : set of str
        ``X-Attempt`` headers of all calls that arrived, whether they ran or not.
    answer_bytes : int
        Size in bytes to which responses are padded.
    """

    runs: collections.Counter[str] = field(default_factory=collections.Counter)
    received_attempts: set[str] = field(default_factory=set)
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    answer_bytes: int = 0


class _Handler(RequestHandler):
    def initialize(self, state: ServiceState) -> None:
        self.state = state


class _ReserveHandler(_Handler):
    async def post(self) -> None:
        faults = self.state.faults
        self.state.received_attempts.add(self.request.headers.get("X-Attempt", ""))
        if faults.crashed or faults.refuse > 0:
            faults.refuse = max(0, faults.refuse - 1)
            self.detach().close()
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        key = str(json.loads(self.request.body)["key"])
        self.state.runs[key] += 1
        if faults.drop_answers > 0 or faults.crashed:
            faults.drop_answers = max(0, faults.drop_answers - 1)
            self.detach().close()
            return
        answer: dict[str, Any] = {"key": key, "run": self.state.runs[key]}
        text = json.dumps(answer).ljust(self.state.answer_bytes)
        self.set_header("Content-Type", "application/json")
        request_id = self.request.headers.get("X-Request-Id")
        if request_id:
            self.set_header("X-Request-Id", request_id)
        if faults.cut_answers > 0:
            faults.cut_answers -= 1
            self.set_header("Content-Length", str(len(text)))
            self.write(text[: len(text) // 2])
            await self.flush()
            self.detach().close()
            return
        self.write(text)


class _CountHandler(_Handler):
    async def get(self) -> None:
        key = self.get_query_argument("key", "")
        total = sum(self.state.runs.values())
        self.write({"runs": self.state.runs[key] if key else total})


class _FaultsHandler(_Handler):
    async def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.state.faults, name, value)


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.write("ok")


def make_service(state: ServiceState) -> Application:
    """Return the web application of a stand-in service.

    ``POST /reserve`` with ``{"key": ...}`` runs once per request and is counted;
    ``GET /count?key=...`` returns the count; ``POST /faults`` sets faults.

    Parameters
    ----------
    state : ServiceState
        State of the service; tests read and change it directly.
    """
    options = {"state": state}
    return Application(
        [
            (r"/reserve", _ReserveHandler, options),
            (r"/count", _CountHandler, options),
            (r"/faults", _FaultsHandler, options),
            (r"/healthz", _HealthHandler, options),
        ]
    )
