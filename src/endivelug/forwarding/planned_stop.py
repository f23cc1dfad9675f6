"""Planned stop of a VM: which calls still fit into it, and how it ends them."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from endivelug.forwarding.call_recorder import CallRecorder
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.front_server import FrontServer
from endivelug.forwarding.overload.answer_time import AnswerTime
from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# The platform sends new connections for this long after the readiness check begins to
# fail: it checks once a second and acts on the second failure.
READINESS_NOTICE_S = 2.3
# Rest of the grace period, to close connections and exit before the process is killed.
SHUTDOWN_MARGIN_S = 0.6
# Time before that in which the calls that are still in progress get their answers.
FINAL_ANSWERS_S = 0.2
CHECK_INTERVAL_S = 0.05
# Mean deviations beyond the mean within which a call counts as answered; two cover 95%
# of times that are normally distributed. A refused call costs a caller one more send,
# one that is cut off all that it waited for.
DEVIATIONS = 2.0
# Time that heads which have begun to arrive get to arrive whole and be refused.
HEAD_ARRIVAL_S = 1.0
# Requests in progress that the first line of a stop names, and the part of each id.
MAX_NAMED = 200
MAX_ID_LENGTH = 64


@dataclass(slots=True, kw_only=True)
class Stopping(NoPlacement):
    """The call would not end before this VM stops, and is not sent."""

    reasons: Counter[WaitReason] = field(
        default_factory=lambda: Counter({WaitReason.STOPPING: 1})
    )

    def __str__(self) -> str:
        """Return the reason in words."""
        return "this VM is stopping, and the call would not end before"


@dataclass(slots=True, kw_only=True)
class StopTimes:
    """When calls have to end, and how long those of each route take.

    Attributes
    ----------
    calls_end_at : float
        Time by which calls have to end; infinite unless this VM is stopping.
    answer_times : dict of str to AnswerTime
        Times from a request to the end of its answer, by route.
    ending : bool
        Whether the calls in progress are being ended.

    Examples
    --------
    >>> times = StopTimes()
    >>> times.record_delivered("r", 2.0)
    >>> times.expected_s("r", default=0.5), times.expected_s("other", default=0.5)
    (4.0, 0.5)
    """

    calls_end_at: float = float("inf")
    answer_times: dict[str, AnswerTime] = field(default_factory=dict)
    ending: bool = False

    def record_delivered(self, route: str, seconds: float) -> None:
        """Record how long a call took from its request to the end of its answer."""
        self.answer_times.setdefault(route, AnswerTime()).observe(seconds)

    def expected_s(self, route: str, *, default: float) -> float:
        """Return the time in which nearly all calls of a route have been answered."""
        known = self.answer_times.get(route)
        if known is None:
            return default
        return known.mean_s + DEVIATIONS * known.deviation_s

    def fits(self, call: Call, *, now: float) -> bool:
        """Return whether a call that begins now ends before this VM stops."""
        if call.deadline <= self.calls_end_at:
            return True
        route = call.route
        # The target of a stream is the time to its first event and says nothing about
        # its end. Another VM may know more about the route, or is not stopping.
        unknown_s = float("inf") if route.streaming else route.target_s
        expected_s = self.expected_s(route.name, default=unknown_s)
        return now + expected_s <= self.calls_end_at


class StoppingForwarder(Protocol):
    """What a planned stop needs of the forwarder."""

    stop_times: StopTimes
    calls: dict[str, Call]
    recorder: CallRecorder

    def close(self) -> None:
        """Refuse the requests that come on open connections."""

    def refuse_late(self) -> None:
        """Refuse the waiting calls that would not end before this VM stops."""


class PlannedStop:
    """Refuses and ends the requests of a VM within its grace period."""

    def __init__(
        self,
        *,
        front_server: FrontServer,
        forwarder: StoppingForwarder,
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.front_server = front_server
        self.forwarder = forwarder
        self.times = forwarder.stop_times
        self.clock = clock
        self.log = log

    async def run(self, *, end_at: float) -> None:
        """Serve on during the notice, then finish what is in progress until a time."""
        server = self.front_server
        began_at = self.clock()
        ends_before = self.forwarder.recorder.ends.copy()
        server.begin_closing()
        self._log_begin(end_at)
        self.times.calls_end_at = end_at - FINAL_ANSWERS_S
        notice_until = self.clock() + READINESS_NOTICE_S
        while (left_s := notice_until - self.clock()) > 0:
            self.forwarder.refuse_late()
            await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))
        # The only VM of a data centre gets new connections until it refuses them.
        server.stop_accepting()
        self.forwarder.close()
        server.refuse_arriving()
        heads_until = self.clock() + HEAD_ARRIVAL_S
        # Connections may be open without a task: their requests are arriving, or their
        # callers have not read the end of an answer.
        while self.clock() < self.times.calls_end_at and server.connections:
            self.forwarder.refuse_late()
            await asyncio.sleep(CHECK_INTERVAL_S)
            server.close_idle(with_begun=self.clock() >= heads_until)
        left, connections = len(server.tasks), server.connections
        await self.end_requests()
        self.log(
            "stopped",
            left=left,
            connections=connections,
            took_s=round(self.clock() - began_at, 3),
            ends=dict(self.forwarder.recorder.ends - ends_before),
        )

    async def end_requests(self) -> None:
        """Answer the requests that are still in progress."""
        self.times.ending = True
        await self.front_server.end_requests(timeout_s=FINAL_ANSWERS_S)

    def _log_begin(self, end_at: float) -> None:
        ids = [call.request.id for call in self.forwarder.calls.values()]
        self.log(
            "stopping",
            in_progress=len(self.front_server.tasks),
            requests=[request_id[:MAX_ID_LENGTH] for request_id in ids[:MAX_NAMED]],
            ends_in_s=round(end_at - self.clock(), 3),
        )
