"""Outstanding work of one engine as one router counts it."""

import math
from dataclasses import dataclass, field
from typing import Literal

# Batch work leaves this part of an engine's streams to interactive work.
BATCH_STREAMS = 0.75
# Longer prompts count as this part of the bound, and exceed it by the rest.
LONG_PROMPT = 0.5

WorkClass = Literal["interactive", "batch"]
CLASSES: tuple[WorkClass, ...] = ("interactive", "batch")


@dataclass(slots=True, kw_only=True)
class EngineBounds:
    """Bounds of one engine, from the settings of its pool.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens that the engine computes per second.
    batch_prefill_tokens : int
        Bound of batch prefill tokens outstanding from all routers.
    max_streams : int
        Bound of requests outstanding from all routers.
    """

    prefill_tokens_s: float
    batch_prefill_tokens: int
    max_streams: int


@dataclass(slots=True, kw_only=True, eq=False)
class Work:
    """One request.

    Attributes
    ----------
    engine_group : str
        Set of engines that can run it, usually its model.
    tokens : int
        Prompt tokens that are expected to be computed.
    run_s : float
        Expected seconds of generation after the prefill; 0 where the deadline is
        that of the first token.
    deadline : float
        Absolute time at which the answer must be complete, or its first token be
        there where ``run_s`` is 0.
    weight : float
        Share of the organisation relative to others.
    engine : str or None
        Engine that the work is counted at, from release to the end.
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
    """Interactive and batch prefill tokens, and streams."""

    interactive: float = 0.0
    batch: float = 0.0
    streams: int = 0


@dataclass(slots=True, kw_only=True)
class EngineLoad:
    """Bounds and load of one engine.

    Attributes
    ----------
    own : Load
        Work of this router, from release to the end.
    announced : Load
        The part of ``own`` that the owner of the engine knows.
    others : Load
        Work of other routers at ``observed_at``.
    room_since : float
        When batch work of this router first found room.
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
        """Take the outstanding work of all routers from the engine's owner."""
        known = self.announced
        self.others = Load(
            max(0.0, interactive - known.interactive),
            max(0.0, batch - known.batch),
            max(0, streams - known.streams),
        )
        self.observed_at = now

    def interactive_tokens(self, now: float) -> float:
        """Return the interactive prefill tokens outstanding, of all routers."""
        drained = self.bounds.prefill_tokens_s * max(0.0, now - self.observed_at)
        return self.own.interactive + max(0.0, self.others.interactive - drained)

    def batch_tokens(self, now: float) -> float:
        """Return the batch prefill tokens outstanding, of all routers."""
        # Between observations the work of others drains, interactive first.
        drained = self.bounds.prefill_tokens_s * max(0.0, now - self.observed_at)
        drained = max(0.0, drained - self.others.interactive)
        return self.own.batch + max(0.0, self.others.batch - drained)

    def streams(self) -> int:
        """Return the requests outstanding, of all routers."""
        return self.own.streams + self.others.streams

    def add(self, work: Work, sign: int) -> None:
        """Count work of this router (1) or no longer count it (-1)."""
        for load in (self.own, self.announced) if work.announced else (self.own,):
            load.streams += sign
            if work.prefilling:
                self._add_tokens(load, work, sign)

    def prefilled(self, work: Work) -> None:
        """Stop counting the prefill of work."""
        for load in (self.own, self.announced) if work.announced else (self.own,):
            self._add_tokens(load, work, -1)

    def has_room(self, work: Work, *, now: float) -> bool:
        """Return whether work that is not counted here may be added."""
        bounds = self.bounds
        if work.work_class == "interactive":
            return self.streams() < bounds.max_streams
        batch = self.batch_tokens(now)
        # A prompt that needed an engine without batch work would never find one.
        bound = bounds.batch_prefill_tokens
        fits = batch + min(work.tokens, LONG_PROMPT * bound) <= bound
        limit = max(1, int(BATCH_STREAMS * bounds.max_streams))
        return fits and self.streams() < limit

    @staticmethod
    def _add_tokens(load: Load, work: Work, sign: int) -> None:
        if work.work_class == "batch":
            load.batch += sign * work.tokens
        else:
            load.interactive += sign * work.tokens
