"""Queues calls until an instance can serve them, and places them in order."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from endivelug.forwarding.calls import Call
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.overload.control import (
    AdmissionControl,
    tokens_of,
)
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
    """A waiting call and the future that receives its placement or refusal."""

    call: Call
    future: asyncio.Future[Placement | NoPlacement]


@dataclass(slots=True, kw_only=True)
class _Room:
    """What is known in one round of the room that the engines of a service have.

    Rounds follow each report of a peer. While all engines are full, no samples of them
    are drawn and weighed for each waiting call.

    Attributes
    ----------
    full_for_tokens : float
        Size of the smallest call that no engine has room for. Room only shrinks during
        a round, so that larger calls do not fit either.
    """

    placer: Placer
    full_for_tokens: float = float("inf")

    def place(self, call: Call) -> Placement | NoPlacement:
        """Return the placement of a waiting call, or that it has none."""
        if call.request.model is not None:
            tokens = call.request.total_tokens
            if tokens < self.full_for_tokens and not self.placer.may_fit(call):
                self.full_for_tokens = tokens
            if tokens >= self.full_for_tokens:
                return NoPlacement()
        return self.placer.place(call)


class Dispatcher:
    """Assigns calls to instances in the order of the queue.

    A placement counts as work of its instance as soon as it is chosen.

    Attributes
    ----------
    admission : AdmissionControl
        Refuses calls that would be sent too late.
    """

    def __init__(self, *, placer: Placer, clock: Callable[[], float]) -> None:
        self.placer = placer
        self.clock = clock
        self.queue = RequestQueue()
        self.admission = AdmissionControl(
            view=placer.view, queue=self.queue, limits=placer.pace.limits, clock=clock
        )
        self.waiters: dict[str, _Waiter] = {}
        self._scheduled = False
        self._has_waiters = asyncio.Event()

    async def place(
        self, call: Call, *, expires_at: float, returning: bool
    ) -> Placement | NoPlacement:
        """Return the placement of a call, or why it has none at ``expires_at``.

        A call that clearly would be sent later than that is refused before.
        """
        self.admission.record_arrival(call)
        if not self._must_queue(call):
            placement = self.placer.place(call)
            if isinstance(placement, Placement):
                self.add_work(call, placement)
                self.admission.record_sent(call)
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
            self._review()
            if not self.waiters:
                self._has_waiters.clear()

    def refuse_waiting(self, refuse: Callable[[Call], NoPlacement | None]) -> None:
        """End the wait of the calls for which a function returns a refusal."""
        for waiter in self.waiters.values():
            refusal = None if waiter.future.done() else refuse(waiter.call)
            if refusal is not None:
                waiter.future.set_result(refusal)

    def queue_length(self, service: str) -> int:
        """Return the number of calls that wait for a service."""
        return self.queue.count(service)

    def _must_queue(self, call: Call) -> bool:
        """Return whether a waiting call of the service has precedence."""
        return self.queue.has_precedence(call.service, call.priority)

    async def _wait(
        self, call: Call, *, expires_at: float, returning: bool
    ) -> Placement | NoPlacement:
        key = call.key
        item = QueuedRequest(
            request=key,
            service=call.service,
            priority=call.priority,
            returning=returning,
            target_at=call.target_at,
            expires_at=expires_at,
            expected_s=self.placer.idle_first_byte_s(call),
            tokens=tokens_of(call),
        )
        future: asyncio.Future[Placement | NoPlacement] = (
            asyncio.get_running_loop().create_future()
        )
        self.queue.add(item)
        self.waiters[key] = _Waiter(call=call, future=future)
        try:
            refusal = self.admission.begin_waiting(call, item)
            if refusal is not None:
                return refusal
            self._has_waiters.set()
            self.schedule_assignment()
            async with asyncio.timeout(max(0.0, expires_at - self.clock())):
                return await future
        except TimeoutError:
            result = _result_of(future)
            if isinstance(result, Placement):
                # Placed in the same turn of the loop in which the time ran out.
                return result
            placement = self.placer.place(call)
            if isinstance(placement, Placement):
                return NoPlacement(reasons=Counter({WaitReason.QUEUED: 1}))
            return placement
        except asyncio.CancelledError:
            result = _result_of(future)
            if isinstance(result, Placement):
                # Placed in the same turn of the loop in which the caller disconnected.
                self.remove_work(call, result)
            raise
        finally:
            self._end_waiting(item)
            del self.waiters[key]

    def _end_waiting(self, item: QueuedRequest) -> None:
        if item.request in self.queue.requests:
            self.queue.remove(item.request)
            self.admission.end_waiting(item)

    def _assign(self) -> None:
        self._scheduled = False
        now = self.clock()
        for service in {waiter.call.service for waiter in self.waiters.values()}:
            failed = 0
            placed = []
            room = _Room(placer=self.placer)
            for waiting in self.queue.in_send_order(service, now=now):
                waiter = self.waiters[waiting.request]
                if waiter.future.done():
                    continue
                try:
                    placement = room.place(waiter.call)
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
                self.admission.record_sent(waiter.call)
                waiter.future.set_result(placement)
                placed.append(waiting)
            for waiting in placed:
                self._end_waiting(waiting)

    def _review(self) -> None:
        """Refuse the waiting calls that can no longer be sent in time."""
        for service in {waiter.call.service for waiter in self.waiters.values()}:
            for item, refusal in self.admission.review(service, self._waiting_call):
                self.waiters[item.request].future.set_result(refusal)
                self._end_waiting(item)

    def _waiting_call(self, key: str) -> Call | None:
        waiter = self.waiters[key]
        return None if waiter.future.done() else waiter.call

    def add_work(self, call: Call, placement: Placement) -> None:
        """Add a placed call to the work of its instance."""
        self.placer.pace.slow_starts.record_sent(placement.instance.name)
        self.placer.pace.limits.record_sent(placement.instance)
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

    def remove_work(self, call: Call, placement: Placement) -> None:
        """Remove a call from the work of its instance; it has ended or never began."""
        name = placement.instance.name
        self.placer.view.loads.remove_work(name, call.key)
        self.placer.pace.slow_starts.record_ended(name)


def _result_of(
    future: asyncio.Future[Placement | NoPlacement],
) -> Placement | NoPlacement | None:
    """Return the result of a future; None if it has none."""
    if not future.done() or future.cancelled() or future.exception() is not None:
        return None
    return future.result()


def _is_known_late(call: Call, refused: NoPlacement, expires_at: float) -> bool:
    """Return whether no instance will take a call in time, by what they stated."""
    if refused.retry_at is None:
        return False
    return refused.retry_at >= min(call.target_at, expires_at)
