"""Graceful shutdown of a process: a state machine for its steps, and its driver."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

POLL_INTERVAL_S = 0.02


class DrainStep(enum.Enum):
    """Step of a graceful shutdown, in this order."""

    SERVING = "serving"
    NOTICE = "notice"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class Drain:
    """State machine of a graceful shutdown; does no I/O.

    After ``begin`` the process reports that it is not ready but accepts requests for
    the notice period, because the load balancer notices the change late. Then it
    accepts no more requests and finishes those in flight; this ends because every
    request has a deadline. Times are seconds of the caller's clock.

    Attributes
    ----------
    notice_s : float
        Seconds until the load balancer certainly sends no more requests.
    limit_s : float
        Longest time for finishing; requests still in flight then are aborted.
    step : DrainStep
        Current step.
    notice_until, finish_until : float
        Times at which the notice period and the time for finishing end.
    aborted : int
        Requests aborted at the end; 0 in a graceful shutdown.

    Examples
    --------
    >>> drain = Drain(notice_s=2.0, limit_s=60.0)
    >>> drain.begin(now=0.0)
    >>> drain.ready, drain.accepting
    (False, True)
    >>> drain.advance(now=2.0, in_flight=1)
    <DrainStep.FINISHING: 'finishing'>
    >>> drain.advance(now=3.0, in_flight=0)
    <DrainStep.ENDED: 'ended'>
    """

    notice_s: float
    limit_s: float
    step: DrainStep = DrainStep.SERVING
    notice_until: float = 0.0
    finish_until: float = 0.0
    aborted: int = 0

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new requests."""
        return self.step is DrainStep.SERVING

    @property
    def accepting(self) -> bool:
        """Whether the process accepts new requests."""
        return self.step in (DrainStep.SERVING, DrainStep.NOTICE)

    def begin(self, *, now: float) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.step is DrainStep.SERVING:
            self.step = DrainStep.NOTICE
            self.notice_until = now + self.notice_s
            self.finish_until = self.notice_until + self.limit_s

    def advance(self, *, now: float, in_flight: int) -> DrainStep:
        """Move to the next step if it is due, and return the current step.

        Parameters
        ----------
        now : float
            Current time.
        in_flight : int
            Number of unfinished requests and other tasks.
        """
        if self.step is DrainStep.NOTICE and now >= self.notice_until:
            self.step = DrainStep.FINISHING
        elif self.step is DrainStep.FINISHING and (
            in_flight == 0 or now >= self.finish_until
        ):
            self.step = DrainStep.ENDED
            self.aborted = in_flight
        return self.step


async def run_drain(
    drain: Drain,
    *,
    clock: Callable[[], float],
    in_flight: Callable[[], int],
    stop_accepting: Callable[[], None],
    hand_over: Callable[[], Awaitable[None]] | None = None,
) -> bool:
    """Run a graceful shutdown; return whether no request was aborted.

    Parameters
    ----------
    drain : Drain
        State of the shutdown; handlers read readiness and acceptance from it.
    clock : callable
        Returns the current time in seconds.
    in_flight : callable
        Returns the number of unfinished requests.
    stop_accepting : callable
        Called once after the notice period, to stop accepting connections.
    hand_over : callable, optional
        Awaited once after the last request, to transfer ownership to other processes.
    """
    drain.begin(now=clock())
    previous = drain.step
    while True:
        step = drain.advance(now=clock(), in_flight=in_flight())
        if step is not previous and step is DrainStep.FINISHING:
            stop_accepting()
        previous = step
        if step is DrainStep.ENDED:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    if hand_over is not None:
        await hand_over()
    return drain.aborted == 0
