"""Asynchronous interface to ``Admission``."""

import asyncio
from collections.abc import Callable

from endivelug.admission import Admission, LateWork, ReleasedWork, Work
from endivelug.refusals import NotRun

# Room is polled, because work of other routers drains without a message to this one.
RECHECK_S = 0.02


class AdmissionGate:
    """Lets coroutines wait until their work is released.

    Parameters
    ----------
    admission : Admission
        The admission controller; call ``wake`` after changing it directly.
    clock : callable
        Returns the current time in seconds.

    Examples
    --------
    The router uses it as follows::

        released = await gate.admit(work)
        if isinstance(released, NotRun):
            ...  # respond with the refusal
        try:
            ...  # look up and place among released.engines
            gate.admission.record_dispatch(work, engine=name, tokens=missed)
            ...  # on the first token: gate.record_first_token(work)
        finally:
            gate.record_end(work)
    """

    def __init__(self, *, admission: Admission, clock: Callable[[], float]) -> None:
        self.admission = admission
        self.clock = clock
        self._waiting: dict[int, asyncio.Future[ReleasedWork | NotRun]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def admit(self, work: Work) -> ReleasedWork | NotRun:
        """Wait until the work is released or refused."""
        refusal = self.admission.submit(work, now=self.clock())
        if refusal is not None:
            return refusal
        return await self._wait(work)

    async def requeue(self, work: Work) -> ReleasedWork | NotRun:
        """Queue released work again after newer loads showed no room, and wait."""
        self.admission.requeue(work, now=self.clock())
        return await self._wait(work)

    def record_first_token(self, work: Work) -> None:
        """Record the first token of dispatched work."""
        self.admission.record_first_token(work, now=self.clock())
        self.wake()

    def record_end(self, work: Work) -> None:
        """Record the end of released work, with or without success."""
        self.admission.record_end(work, now=self.clock())
        self.wake()

    def wake(self) -> None:
        """Wake the coroutines whose work is released or refused now."""
        for result in self.admission.release(now=self.clock()):
            future = self._waiting.pop(id(result.work), None)
            if future is None or future.done():
                self.admission.cancel(result.work, now=self.clock())
            elif isinstance(result, LateWork):
                future.set_result(result.refusal)
            else:
                future.set_result(result)
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.wake()

    async def _wait(self, work: Work) -> ReleasedWork | NotRun:
        future: asyncio.Future[ReleasedWork | NotRun] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[id(work)] = future
        self.wake()
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(id(work), None)
            self.admission.cancel(work, now=self.clock())
            raise
