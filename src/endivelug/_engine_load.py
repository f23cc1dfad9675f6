"""Outstanding work of one engine, as counted by one router."""

import math
from dataclasses import dataclass, field
from typing import Literal

# Share of an engine's streams that batch work may use; interactive work has the rest.
MAX_BATCH_STREAM_SHARE = 0.75
# A longer prompt is counted as this share of the batch prefill bound, so that it is
# admitted although it exceeds the bound.
MAX_COUNTED_PROMPT_SHARE = 0.5

WorkClass = Literal["interactive", "batch"]
CLASSES: tuple[WorkClass, ...] = ("interactive", "batch")


@dataclass(slots=True, kw_only=True)
class EngineBounds:
    """Limits of the work on one engine, from the settings of its pool.

    Attributes
    ----------
    prefill_tokens_s : float
        Prefill speed of the engine, in prompt tokens/s.
    batch_prefill_tokens : int
        Maximum batch prefill tokens outstanding from all routers.
    max_streams : int
        Maximum requests outstanding from all routers.
    """

    prefill_tokens_s: float
    batch_prefill_tokens: int
    max_streams: int


@dataclass(slots=True, kw_only=True, eq=False)
class Work:
    """One request, from submission to its end.

    Attributes
    ----------
    engine_group : str
        Name of the set of engines that can run it, usually of its model.
    tokens : int
        Prompt tokens that are expected to be computed.
    run_s : float
        Expected seconds of generation after the prefill; 0 if the deadline is that
        of the first token.
    deadline : float
        Time at which the response must be complete or, if ``run_s`` is 0, at which
        the first token must have arrived.
    weight : float
        Fair-queueing weight of the organisation.
    engine : str or None
        Engine whose load includes the work, from release to the end.
    """

    organisation: str
    engine_group: str
    work_class: WorkClass
    tokens: int
    deadline: float
    run_s: float = 0.0
    weight: float = 1.0
    engine: str | None = None
    submitted_at: float = 0.0
    wait_s: float = 0.0
    released_at: float = 0.0
    expected_s: float = 0.0
    announced: bool = False
    prefilling: bool = False


@dataclass(slots=True)
class Load:
    """Prefill tokens per class and number of streams."""

    interactive: float = 0.0
    batch: float = 0.0
    streams: int = 0


@dataclass(slots=True, kw_only=True)
class EngineLoad:
    """Limits and load of one engine.

    Attributes
    ----------
    own : Load
        Work of this router, from release to the end.
    announced : Load
        Part of ``own`` that was announced to the owner of the engine.
    others : Load
        Work of other routers at ``observed_at``.
    room_since : float
        Time at which the engine first had room for batch work of this router.
    """

    bounds: EngineBounds
    own: Load = field(default_factory=Load)
    announced: Load = field(default_factory=Load)
    others: Load = field(default_factory=Load)
    observed_at: float = 0.0
    room_since: float = math.inf

    def observe(
        self, *, interactive: float, batch: float, streams: int, now: float
    ) -> None:
        """Record the outstanding work of all routers, as reported by the owner."""
        announced_load = self.announced
        self.others = Load(
            max(0.0, interactive - announced_load.interactive),
            max(0.0, batch - announced_load.batch),
            max(0, streams - announced_load.streams),
        )
        self.observed_at = now

    def interactive_tokens(self, now: float) -> float:
        """Return the interactive prefill tokens outstanding from all routers."""
        drained = self.bounds.prefill_tokens_s * max(0.0, now - self.observed_at)
        return self.own.interactive + max(0.0, self.others.interactive - drained)

    def batch_tokens(self, now: float) -> float:
        """Return the batch prefill tokens outstanding from all routers."""
        # Between observations the engine drains the work of other routers,
        # interactive work first.
        drained = self.bounds.prefill_tokens_s * max(0.0, now - self.observed_at)
        drained = max(0.0, drained - self.others.interactive)
        return self.own.batch + max(0.0, self.others.batch - drained)

    def streams(self) -> int:
        """Return the requests outstanding from all routers."""
        return self.own.streams + self.others.streams

    def add(self, work: Work, sign: int) -> None:
        """Add work of this router to the load (1) or subtract it (-1)."""
        for load in (self.own, self.announced) if work.announced else (self.own,):
            load.streams += sign
            if work.prefilling:
                self._add_tokens(load, work, sign)

    def subtract_prefill(self, work: Work) -> None:
        """Subtract the prefill tokens of work from the load."""
        for load in (self.own, self.announced) if work.announced else (self.own,):
            self._add_tokens(load, work, -1)

    def has_room(self, work: Work, *, now: float) -> bool:
        """Return whether work that is not part of the load may be added."""
        bounds = self.bounds
        if work.work_class == "interactive":
            return self.streams() < bounds.max_streams
        batch = self.batch_tokens(now)
        # At its full size, a long prompt would need an engine without batch work and
        # would never get one.
        bound = bounds.batch_prefill_tokens
        fits = batch + min(work.tokens, MAX_COUNTED_PROMPT_SHARE * bound) <= bound
        limit = max(1, int(MAX_BATCH_STREAM_SHARE * bounds.max_streams))
        return fits and self.streams() < limit

    @staticmethod
    def _add_tokens(load: Load, work: Work, sign: int) -> None:
        if work.work_class == "batch":
            load.batch += sign * work.tokens
        else:
            load.interactive += sign * work.tokens
