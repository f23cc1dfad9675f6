"""Waiting calls, and the placement that each of them gets."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from endivelug.forwarding.calls import Call
from endivelug.forwarding.engine_load import Work
from endivelug.forwarding.placing import Placement, Placer
from endivelug.forwarding.waiting import Waiting, WaitingRequests

# Waiting calls are looked at again this often even without an event.
TICK_S = 0.05
# Calls looked at per round, so that a long queue does not hold up the loop.
MAX_LOOKS = 16


@dataclass(slots=True, kw_only=True)
class _Waiter:
    call: Call
    future: asyncio.Future[Placement]


class Dispatcher:
    """Gives calls to instances in the order of the waiting requests.

    A placement counts as work of the instance from the moment it is given.
    """

    def __init__(self, *, placer: Placer, clock: Callable[[], float]) -> None:
        self.placer = placer
        self.clock = clock
        self.waiting = WaitingRequests()
        self.waiters: dict[str, _Waiter] = {}
        self._scheduled = False

    async def place(
        self, call: Call, *, give_up_at: float, returning: bool
    ) -> Placement | None:
        """Return where to send a call, or None where nothing took it in time."""
        if not self._ahead(call):
            placement = self.placer.place(call)
            if placement is not None:
                self.begin(call, placement)
                return placement
        return await self._wait(call, give_up_at=give_up_at, returning=returning)

    def wake(self) -> None:
        """Look at the waiting calls in the next turn of the loop."""
        if self.waiters and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._assign)

    async def run(self) -> None:
        """Look at the waiting calls regularly until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._assign()

    def queued(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return self.waiting.count(service)

    def _ahead(self, call: Call) -> bool:
        """Return whether a waiting call of the service goes first."""
        return any(
            waiting.service == call.service and waiting.priority <= call.priority
            for waiting in self.waiting.requests.values()
        )

    async def _wait(
        self, call: Call, *, give_up_at: float, returning: bool
    ) -> Placement | None:
        request = call.request.id
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        self.waiters[request] = _Waiter(call=call, future=future)
        self.waiting.add(
            Waiting(
                request=request,
                service=call.service,
                priority=call.priority,
                returning=returning,
                target_at=call.target_at,
                give_up_at=give_up_at,
                need_s=self.placer.need_s(call),
            )
        )
        self.wake()
        try:
            async with asyncio.timeout(max(0.0, give_up_at - self.clock())):
                return await future
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # The placement came in the same turn as the end of the caller.
                self._end(call, future.result())
            raise
        finally:
            self.waiting.remove(request)
            del self.waiters[request]

    def _assign(self) -> None:
        self._scheduled = False
        now = self.clock()
        for service in {waiter.call.service for waiter in self.waiters.values()}:
            blocked = 0
            for waiting in self.waiting.in_order(service, now=now):
                waiter = self.waiters[waiting.request]
                if waiter.future.done():
                    continue
                placement = self.placer.place(waiter.call)
                if placement is None:
                    blocked += 1
                    if blocked >= MAX_LOOKS:
                        break
                    continue
                self.begin(waiter.call, placement)
                waiter.future.set_result(placement)

    def begin(self, call: Call, placement: Placement) -> None:
        """Count a placement as work of its instance."""
        self.placer.view.loads.begin(
            placement.instance.name,
            Work(
                request=call.request.id,
                sent_at=self.clock(),
                missing_tokens=placement.missing_tokens,
                memory_tokens=placement.memory_tokens,
                expected_s=placement.expected_s,
            ),
        )

    def _end(self, call: Call, placement: Placement) -> None:
        self.placer.view.loads.end(placement.instance.name, call.request.id)
