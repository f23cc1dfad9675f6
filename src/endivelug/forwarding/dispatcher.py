"""Queues calls until an instance can serve them, and places them in order."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from endivelug.forwarding.calls import Call
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.placement import Placement, Placer
from endivelug.forwarding.request_queue import QueuedRequest, RequestQueue
from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# Interval at which waiting calls are tried again even if no event has occurred.
ASSIGN_INTERVAL_S = 0.05
# Calls without a placement after which a round skips the rest of a service's queue, so
# that a long queue does not block the event loop.
MAX_FAILED_PLACEMENTS = 16


@dataclass(slots=True, kw_only=True)
class _Waiter:
    """A waiting call and the future that receives its placement."""

    call: Call
    future: asyncio.Future[Placement | NoPlacement]


class Dispatcher:
    """Assigns calls to instances in the order of the queue.

    A placement counts as work of its instance as soon as it is chosen.
    """

    def __init__(self, *, placer: Placer, clock: Callable[[], float]) -> None:
        self.placer = placer
        self.clock = clock
        self.queue = RequestQueue()
        self.waiters: dict[str, _Waiter] = {}
        self._scheduled = False
        self._has_waiters = asyncio.Event()

    async def place(
        self, call: Call, *, expires_at: float, returning: bool
    ) -> Placement | NoPlacement:
        """Return the placement of a call, or why it has none at ``expires_at``."""
        if not self._must_queue(call):
            placement = self.placer.place(call)
            if isinstance(placement, Placement):
                self.add_work(call, placement)
                return placement
            if _is_known_late(call, placement, expires_at):
                return placement
        return await self._wait(call, expires_at=expires_at, returning=returning)

    def schedule_assignment(self) -> None:
        """Schedule a round of assignments in the next turn of the event loop."""
        if self.waiters and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._assign)

    async def run(self) -> None:
        """Assign waiting calls at a fixed interval until cancelled."""
        while True:
            await self._has_waiters.wait()
            await asyncio.sleep(ASSIGN_INTERVAL_S)
            self._assign()
            if not self.waiters:
                self._has_waiters.clear()

    def queue_length(self, service: str) -> int:
        """Return the number of calls that wait for a service."""
        return self.queue.count(service)

    def _must_queue(self, call: Call) -> bool:
        """Return whether a waiting call of the service has precedence."""
        return any(
            waiting.service == call.service and waiting.priority <= call.priority
            for waiting in self.queue.requests.values()
        )

    async def _wait(
        self, call: Call, *, expires_at: float, returning: bool
    ) -> Placement | NoPlacement:
        key = call.key
        future: asyncio.Future[Placement | NoPlacement] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters[key] = _Waiter(call=call, future=future)
        self._has_waiters.set()
        self.queue.add(
            QueuedRequest(
                request=key,
                service=call.service,
                priority=call.priority,
                returning=returning,
                target_at=call.target_at,
                expires_at=expires_at,
                expected_s=self.placer.idle_first_byte_s(call),
            )
        )
        self.schedule_assignment()
        try:
            async with asyncio.timeout(max(0.0, expires_at - self.clock())):
                return await future
        except TimeoutError:
            placement = self.placer.place(call)
            if isinstance(placement, Placement):
                return NoPlacement(reasons=Counter({WaitReason.QUEUED: 1}))
            return placement
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                # The placement was set in the same turn of the loop in which the caller
                # disconnected.
                placement = future.result()
                if isinstance(placement, Placement):
                    self._remove_work(call, placement)
            raise
        finally:
            self.queue.remove(key)
            del self.waiters[key]

    def _assign(self) -> None:
        self._scheduled = False
        now = self.clock()
        for service in {waiter.call.service for waiter in self.waiters.values()}:
            failed = 0
            for waiting in self.queue.in_send_order(service, now=now):
                waiter = self.waiters[waiting.request]
                if waiter.future.done():
                    continue
                try:
                    placement = self.placer.place(waiter.call)
                except Exception as error:
                    # Only this call fails; those behind it are placed.
                    waiter.future.set_exception(error)
                    continue
                if isinstance(placement, NoPlacement):
                    if _is_known_late(waiter.call, placement, waiting.expires_at):
                        waiter.future.set_result(placement)
                        continue
                    failed += 1
                    if failed >= MAX_FAILED_PLACEMENTS:
                        break
                    continue
                self.add_work(waiter.call, placement)
                waiter.future.set_result(placement)

    def add_work(self, call: Call, placement: Placement) -> None:
        """Add a placed call to the work of its instance."""
        self.placer.pace.slow_starts.record_sent(placement.instance.name)
        self.placer.view.loads.add_work(
            placement.instance.name,
            Work(
                request=call.key,
                sent_at=self.clock(),
                uncached_tokens=placement.uncached_tokens,
                memory_tokens=placement.memory_tokens,
                expected_s=placement.expected_s,
            ),
        )

    def _remove_work(self, call: Call, placement: Placement) -> None:
        self.placer.view.loads.remove_work(placement.instance.name, call.key)


def _is_known_late(call: Call, refused: NoPlacement, expires_at: float) -> bool:
    """Return whether no instance will take a call in time, by what they stated."""
    if refused.retry_at is None:
        return False
    return refused.retry_at >= min(call.target_at, expires_at)
