"""Discrete-event model of engines with chunked prefill and priorities."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

CHUNK_TOKENS = 512
# Decode time that each running stream adds to a step.
DECODE_S_PER_STREAM = 0.0002


class Simulator:
    """Runs callbacks in the order of their simulated times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request at an engine.

    Attributes
    ----------
    arrived_at, deadline : float
        Simulated seconds.
    tokens, remaining_tokens : int
        Prompt tokens to be computed, at first and now.
    output_s : float
        Seconds for which the answer is decoded.
    engine : str
        Name of the engine that the request was sent to; empty until then.
    first_token_at, finished_at, refused_at : float or None
        Simulated seconds; None until the event.
    on_prefilled, on_finished : callable
        Called after the last prefill step and after the last token.
    """

    organisation: str
    work_class: str
    arrived_at: float
    tokens: int
    output_s: float
    deadline: float
    remaining_tokens: int = 0
    engine: str = ""
    first_token_at: float | None = None
    finished_at: float | None = None
    refused_at: float | None = None
    on_prefilled: Callable[[], None] = field(default=lambda: None)
    on_finished: Callable[[], None] = field(default=lambda: None)


class Engine:
    """Engine that computes one chunk of the first queued prompt in each step."""

    def __init__(
        self, sim: Simulator, *, prefill_rate: float, use_priorities: bool
    ) -> None:
        self.sim = sim
        self.prefill_rate = prefill_rate
        self.use_priorities = use_priorities
        self.running_streams = 0
        # Time, work class, organisation and tokens of each computed chunk.
        self.prefill_log: list[tuple[float, str, str, int]] = []
        self._queue: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._busy = False

    def submit(self, job: Job) -> None:
        job.remaining_tokens = job.tokens
        priority = int(self.use_priorities and job.work_class == "batch")
        heapq.heappush(self._queue, (priority, next(self._sequence), job))
        if not self._busy:
            self._step()

    def _step(self) -> None:
        self._busy = bool(self._queue)
        if self._busy:
            job = self._queue[0][2]
            chunk = min(CHUNK_TOKENS, job.remaining_tokens)
            step_s = (
                chunk / self.prefill_rate + DECODE_S_PER_STREAM * self.running_streams
            )
            self.sim.call_later(step_s, lambda: self._end_step(job, chunk))

    def _end_step(self, job: Job, chunk: int) -> None:
        job.remaining_tokens -= chunk
        entry = (self.sim.now, job.work_class, job.organisation, chunk)
        self.prefill_log.append(entry)
        if job.remaining_tokens == 0:
            # The job may no longer be first in the queue: a request with a higher
            # priority may have arrived during the step.
            self._queue = [entry for entry in self._queue if entry[2] is not job]
            heapq.heapify(self._queue)
            job.first_token_at = self.sim.now
            self.running_streams += 1
            self.sim.call_later(job.output_s, lambda: self._finish(job))
            job.on_prefilled()
        self._step()

    def _finish(self, job: Job) -> None:
        self.running_streams -= 1
        job.finished_at = self.sim.now
        job.on_finished()
