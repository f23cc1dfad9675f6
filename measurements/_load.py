"""Load generator: streamed completions at a steady rate through the ready routers."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from measurements._cluster import Vm

# Interval at which the platform's load balancer checks readiness.
READINESS_POLL_S = 0.2
REQUEST_TIMEOUT_S = 30.0


@dataclass(slots=True, kw_only=True)
class Sample:
    """One request and its outcome.

    Attributes
    ----------
    started, ended : float
        Monotonic seconds; ``ended`` is 0 until the response has ended.
    outcome : str
        ``whole``, ``refused`` (not run), ``failed`` (with an explicit error) or
        ``cut`` (incomplete without an error).
    """

    started: float
    vm: str
    outcome: str = "cut"
    ended: float = 0.0
    status: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Prompts:
    """Generator of nested prompts: house rules, one of the guides, one of many cases.

    Attributes
    ----------
    shift : int
        Number of guides by which the popularity ranking is rotated.
    """

    rng: random.Random
    guides: int = 12
    shift: int = 0

    def messages(self) -> list[dict[str, str]]:
        """Return the messages of one request; guides have skewed popularity."""
        weights = [1.0 / (rank + 1) for rank in range(self.guides)]
        rank = self.rng.choices(range(self.guides), weights)[0]
        guide = (rank + self.shift) % self.guides
        rules = "Rules. " + "Answer briefly and cite. " * 160
        text = f"Guide {guide}. " + "Sizes in centimetres. " * 500
        case = f"Case {self.rng.random()}: which size?"
        return [
            {"role": "system", "content": rules},
            {"role": "system", "content": text},
            {"role": "user", "content": case},
        ]


@dataclass(slots=True, kw_only=True)
class LoadGenerator:
    """Sends completions to the ready routers until ``stop`` is set.

    Attributes
    ----------
    rate_s : float
        Mean requests/s; the gaps between requests are exponentially distributed.
    ready_vms : set of str
        VMs whose router was ready at the last check.
    """

    vms: list[Vm]
    key: str
    requests_s: float
    rng: random.Random
    prompts: Prompts
    max_tokens: int = 20
    samples: list[Sample] = field(default_factory=list)
    ready_vms: set[str] = field(default_factory=set)
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    _client: SimpleAsyncHTTPClient = field(init=False)
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=500)

    async def run(self) -> None:
        """Send requests until stopped, then wait for those in flight."""
        polls = [asyncio.create_task(self._poll_readiness(vm)) for vm in self.vms]
        while not self.ready_vms:
            await asyncio.sleep(0.05)
        while not self.stop.is_set():
            await asyncio.sleep(self.rng.expovariate(self.requests_s))
            names = sorted(self.ready_vms)
            if names:
                name = self.rng.choice(names)
                vm = next(vm for vm in self.vms if vm.name == name)
                task = asyncio.create_task(self._send(vm))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        for poll in polls:
            poll.cancel()

    async def _poll_readiness(self, vm: Vm) -> None:
        while True:
            try:
                await self._client.fetch(
                    HTTPRequest(f"{vm.router_url}/readyz", request_timeout=1.0)
                )
                self.ready_vms.add(vm.name)
            except (HTTPClientError, OSError):
                self.ready_vms.discard(vm.name)
            await asyncio.sleep(READINESS_POLL_S)

    async def _send(self, vm: Vm) -> None:
        sample = Sample(started=time.monotonic(), vm=vm.name)
        self.samples.append(sample)
        body = {
            "model": "chat",
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": self.max_tokens,
            "messages": self.prompts.messages(),
        }
        received = bytearray()
        request = HTTPRequest(
            f"{vm.router_url}/v1/chat/completions",
            method="POST",
            body=json.dumps(body),
            headers={
                "Authorization": f"Bearer {self.key}",
                "Content-Type": "application/json",
            },
            request_timeout=REQUEST_TIMEOUT_S,
            streaming_callback=received.extend,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            sample.status = response.code
        except (HTTPClientError, OSError) as error:
            sample.detail = repr(error)
        sample.ended = time.monotonic()
        _set_outcome(sample, received.decode(errors="replace"))


def _set_outcome(sample: Sample, text: str) -> None:
    """Set the outcome of a sample from its status and the received text."""
    if sample.status != 200:
        document = _parse_object(text)
        if document.get("run") == "not-run":
            sample.outcome = "refused"
        elif "run" in document:
            sample.outcome = "failed"
        sample.detail = sample.detail or text[:300]
        return
    numbers, last = [], ""
    for line in text.splitlines():
        if line.startswith("id: "):
            numbers.append(int(line[4:]))
        elif line.startswith("data: "):
            last = line[6:]
            usage = (_parse_object(last) or {}).get("usage") or {}
            if usage:
                details = usage.get("prompt_tokens_details") or {}
                sample.prompt_tokens = usage["prompt_tokens"]
                sample.cached_tokens = details.get("cached_tokens", 0)
    if last == "[DONE]" and numbers == list(range(len(numbers))):
        sample.outcome = "whole"
    elif "error" in _parse_object(last):
        sample.outcome = "failed"
        sample.detail = last[:300]


def _parse_object(text: str) -> dict[str, Any]:
    try:
        document = json.loads(text)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def hit_rate(samples: list[Sample]) -> float:
    """Return the share of cached prompt tokens; 0 if there are no samples."""
    prompt = sum(sample.prompt_tokens for sample in samples)
    return sum(sample.cached_tokens for sample in samples) / prompt if prompt else 0.0


def quantile(values: list[float], fraction: float) -> float:
    """Return the smallest value with at least a fraction of the values up to it."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def count_outcomes(samples: list[Sample], *outcomes: str) -> int:
    """Return the number of samples with one of the given outcomes."""
    return sum(sample.outcome in outcomes for sample in samples)
