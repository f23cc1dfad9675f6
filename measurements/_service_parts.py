"""Callers, upstreams and VMs of the service model, and shares of their outcomes."""

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivelug.forwarding.cache_tracker import CacheTracker
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.placement import Placer
from endivelug.forwarding.routes import (
    Repeat,
    Route,
    WeightedService,
)

if TYPE_CHECKING:
    from measurements._service_model import ServiceModel

PREFILL_TOKENS_PER_S = 40_000.0
STEP_S = 0.01
BASE_S = 0.04
SERVICE = "s"


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """One kind of request, and its rate over all VMs.

    Attributes
    ----------
    shared_tokens, own_tokens, output_tokens : int
        Tokens of the segment that it shares with others, of its own, and of the output.
    shared_prompts : int
        Number of different shared segments.
    rate : callable
        Returns the requests per second at a time since the start.
    """

    name: str
    priority: int
    target_s: float
    timeout_s: float
    rate: Callable[[float], float]
    own_tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0
    shared_prompts: int = 1
    generates: bool = True
    returns: int = 0

    def route(self) -> Route:
        return Route(
            name=self.name,
            host="h",
            prefix="/",
            repeat=Repeat.SAFE,
            streaming=self.generates,
            resumable=False,
            timeout_s=self.timeout_s,
            target_s=self.target_s,
            gap_target_s=0.8,
            max_attempts=1,
            priority=self.priority,
            public=True,
            generates=self.generates,
            services=(WeightedService(service=SERVICE, weight=1.0),),
        )


@dataclass(slots=True, kw_only=True)
class Outcome:
    """How one request of a caller ended.

    Attributes
    ----------
    first_s : float or None
        Time from its arrival to the first event or answer; None if it was refused.
    refused_s : float or None
        Time from its arrival to the refusal.
    attempt : int
        0 for a new request, 1 for one that returned after a refusal, and so on.
    """

    kind: str
    arrived_at: float
    attempt: int
    first_s: float | None = None
    refused_s: float | None = None
    early: bool = False


class Upstream:
    """Engine or plain upstream with slots; a run prefills, then decodes or works.

    Prefills run one after the other. Requests beyond the slots or the memory wait.
    """

    def __init__(self, *, slots: int, cache_tokens: int, work_s: float = 0.0) -> None:
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.work_s = work_s
        self.running = 0
        self.memory = 0
        self.prefill_until = 0.0
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.cached: OrderedDict[str, int] = OrderedDict()

    async def run(self, call: Call, on_first: Callable[[], None]) -> None:
        request = call.request
        tokens = request.prompt_tokens + request.output_tokens
        await self._acquire(tokens)
        loop = asyncio.get_running_loop()
        try:
            if call.route.generates:
                uncached = sum(
                    segment.tokens
                    for segment in request.prompt
                    if segment.segment_id not in self.cached
                )
                start = max(loop.time(), self.prefill_until)
                self.prefill_until = start + uncached / PREFILL_TOKENS_PER_S
                await asyncio.sleep(self.prefill_until - loop.time() + BASE_S)
                for segment in request.prompt[:-1]:
                    self.cached[segment.segment_id] = segment.tokens
                on_first()
                await asyncio.sleep(STEP_S * request.output_tokens)
            else:
                await asyncio.sleep(self.work_s)
                on_first()
        finally:
            self._release(tokens)

    async def _acquire(self, tokens: int) -> None:
        if self.waiting or not self._fits(tokens):
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append((tokens, future))
            await future
            return
        self.running += 1
        self.memory += tokens

    def _release(self, tokens: int) -> None:
        self.running -= 1
        self.memory -= tokens
        while self.waiting and self._fits(self.waiting[0][0]):
            tokens, future = self.waiting.popleft()
            self.running += 1
            self.memory += tokens
            future.set_result(None)

    def _fits(self, tokens: int) -> bool:
        if self.running == 0:
            return True
        if self.running >= self.slots:
            return False
        return not self.cache_tokens or self.memory + tokens <= self.cache_tokens


class NoRecords:
    tables: tuple[str, ...] = ()


class Vm:
    """Decisions of one VM."""

    def __init__(
        self, *, model: "ServiceModel", name: str, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.view = ClusterView(
            records=NoRecords(),  # type: ignore[arg-type]
            clock=clock,
            log=lambda *event, **fields: None,
        )
        self.view.configuration = model.configuration
        self.placer = Placer(
            view=self.view,
            data_centre="dc",
            weights_limit_s=60.0,
            clock=clock,
            rng=random.Random(model.rng.random()),
        )
        self.placer.fleet.vms = model.vms
        self.dispatcher = Dispatcher(placer=self.placer, clock=clock)
        self.tracker = CacheTracker(
            view=self.view, announce=model.announcer(self), clock=clock
        )
        self.returning: set[str] = set()


def share_in_target(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share of the requests of a kind whose first event came in time."""
    found = [item for item in outcomes if item.kind == kind.name]
    in_time = sum(
        1
        for item in found
        if item.first_s is not None and item.first_s <= kind.target_s
    )
    return in_time / max(1, len(found))


def share_served(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share of the requests of a kind that were served in their time."""
    found = [item for item in outcomes if item.kind == kind.name]
    served = sum(
        1
        for item in found
        if item.first_s is not None and item.first_s <= kind.timeout_s
    )
    return served / max(1, len(found))


def share_refused_late(outcomes: list[Outcome], kind: Kind) -> float:
    """Return the share that was refused after three quarters of its time."""
    found = [item for item in outcomes if item.kind == kind.name]
    late = sum(
        1
        for item in found
        if item.refused_s is not None and item.refused_s >= 0.75 * kind.timeout_s
    )
    return late / max(1, len(found))


def without_admission(vm: Vm) -> None:
    """Let calls wait until their deadline, as without admission control."""
    vm.dispatcher.admission.begin_waiting = (  # type: ignore[method-assign]
        lambda call, item: None
    )
    vm.dispatcher.admission.end_waiting = (  # type: ignore[method-assign]
        lambda item: None
    )
    vm.dispatcher.admission.review = (  # type: ignore[method-assign]
        lambda service, calls: []
    )
