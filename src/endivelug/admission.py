"""Admission control of one router: fair queues, engine capacity and deadlines.

Interactive and batch work have separate queues, and interactive work is released
first. Batch work is released only to engines whose outstanding batch prefill and
streams, from all routers, are below the bounds of their pool.
"""

import math
from dataclasses import dataclass

from endivelug._engine_group import EngineGroup
from endivelug._engine_load import CLASSES, EngineBounds, EngineLoad, Work, WorkClass
from endivelug._fair_queue import FairQueue
from endivelug._quantile import Quantile
from endivelug.refusals import NotRun

# An earlier retry would find the same queue.
RETRY_AFTER_MIN_S = 0.5
# Limits late work to 1% of the admitted work; only tight deadlines are affected.
RUN_QUANTILE = 0.99
# Waits are estimated from the work that is queued now, so work that arrives later makes
# most estimates too low. At 0.8, the largest organisation got 1.12 times its share in
# one seed of 8, because smaller ones were refused work that would have been in time.
WAIT_QUANTILE = 0.6
# Shorter estimates are not recorded: they do not predict the error of long ones.
MIN_RECORDED_WAIT_S = 5.0
# Shorter run times are not recorded: they depend more on the network than the engine.
MIN_RECORDED_RUN_S = 0.1
# The batch rate is measured over these windows and averaged with this gain.
RATE_WINDOW_S = 5.0
RATE_GAIN = 0.2
# A router leaves new room to other routers for a time that grows with its own part of
# the outstanding batch work. Without this, the router whose work has just ended always
# takes the room: the rates of 7 routers with the same load differed by a factor of 20.
# The maximum is below the time in which an engine computes the work still outstanding.
YIELD_S = 0.5
YIELD_MAX_S = 0.5

__all__ = ["Admission", "EngineBounds", "LateWork", "ReleasedWork", "Work", "WorkClass"]


@dataclass(slots=True, kw_only=True)
class ReleasedWork:
    """Work that may be dispatched now.

    Attributes
    ----------
    engines : list of str
        Engines with room for the work, the least loaded first.
    """

    work: Work
    engines: list[str]


@dataclass(slots=True, kw_only=True)
class LateWork:
    """Queued work that can no longer meet its deadline."""

    work: Work
    refusal: NotRun


class Admission:
    """Admission controller of one router.

    Parameters
    ----------
    routers : int
        Number of routers in the data centre that share the engines.
    """

    def __init__(self, *, routers: int = 1) -> None:
        self.routers = routers
        self._loads: dict[str, EngineLoad] = {}
        self._groups: dict[str, EngineGroup] = {}

    def set_engines(self, group: str, engines: dict[str, EngineBounds]) -> None:
        """Set the usable engines of a group; running work on others stays counted."""
        for name, bounds in engines.items():
            if name in self._loads:
                self._loads[name].bounds = bounds
            else:
                self._loads[name] = EngineLoad(bounds=bounds)
        state = self._groups.get(group)
        if state is None:
            state = self._groups[group] = EngineGroup(
                engines=[],
                queues={name: FairQueue() for name in CLASSES},
                wait_ratio={name: Quantile(WAIT_QUANTILE, 1.0) for name in CLASSES},
                run_ratio={name: Quantile(RUN_QUANTILE, 1.25) for name in CLASSES},
            )
        before = self._prefill_rate(state)
        state.engines = list(engines)
        after = self._prefill_rate(state)
        if before > 0.0:
            state.batch_rate *= after / before
        if state.batch_rate <= 0.0:
            state.batch_rate = after / max(1, self.routers)
        used = {name for each in self._groups.values() for name in each.engines}
        for name in list(self._loads):
            if name not in used and self._loads[name].own.streams == 0:
                del self._loads[name]

    def observe(
        self,
        engine: str,
        *,
        interactive_tokens: float,
        batch_tokens: float,
        streams: int,
        now: float,
    ) -> None:
        """Update an engine's load from a look-up reply, which covers all routers."""
        state = self._loads.get(engine)
        if state is None:
            return
        state.observe(
            interactive=interactive_tokens, batch=batch_tokens, streams=streams, now=now
        )

    def submit(self, work: Work, *, now: float) -> NotRun | None:
        """Queue work, or return a refusal if its deadline cannot be met.

        The caller must call ``release`` afterwards.
        """
        group = self._groups.get(work.engine_group)
        if group is None or not group.engines:
            return NotRun(
                kind="no-engine",
                status=503,
                remedy="no engine serves this model now; retry later",
                retry_after_s=1.0,
            )
        queue = group.queues[work.work_class]
        rate = self._release_rate(group, work)
        work.submitted_at = now
        work.wait_s = queue.wait_s(
            organisation=work.organisation,
            weight=work.weight,
            deadline=work.deadline,
            rate=rate,
            now=now,
        )
        wait_s = work.wait_s
        # An organisation with a backlog also waits for work that others submit later.
        if queue.has_items(work.organisation):
            wait_s *= group.wait_ratio[work.work_class].estimate
        run_s = self._run_bound_s(group, work, now)
        finish = now + wait_s + run_s
        if finish > work.deadline:
            if len(queue) == 0:
                group.run_ratio[work.work_class].decay()
            return _refusal(finish - work.deadline)
        if queue.causes_late_start(
            organisation=work.organisation,
            weight=work.weight,
            cost=work.tokens,
            deadline=work.deadline,
            rate=rate,
            now=now,
        ):
            return _refusal(wait_s)
        self._enqueue(group, work, now)
        return None

    def release(self, *, now: float) -> list[ReleasedWork | LateWork]:
        """Remove and return work that can start or is too late, interactive first."""
        results: list[ReleasedWork | LateWork] = []
        for name in CLASSES:
            for group in self._groups.values():
                self._release(group, group.queues[name], results, now=now)
        for group in self._groups.values():
            self._update_batch_rate(group, now=now)
        return results

    def record_dispatch(self, work: Work, *, engine: str, tokens: int) -> None:
        """Record that released work was announced and sent to an engine.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the engine has to compute.
        """
        self._remove_from_engine(work)
        work.tokens = tokens
        work.announced = True
        self._add_to_engine(work, engine)
        group = self._groups.get(work.engine_group)
        if group is not None:
            self._record_wait(group, work, work.released_at)

    def requeue(self, work: Work, *, now: float) -> None:
        """Queue released work again, because no engine has room for it any more."""
        self._remove_from_engine(work)
        group = self._groups[work.engine_group]
        if work.work_class == "batch":
            group.window_tokens -= work.tokens
        queue = group.queues[work.work_class]
        self._enqueue(group, work, now)
        queue.refund(organisation=work.organisation, cost=work.tokens, now=now)

    def record_first_token(self, work: Work, *, now: float | None = None) -> None:
        """Record the first token of dispatched work.

        Parameters
        ----------
        now : float or None
            Current time, to learn from work with a deadline for its first token.
        """
        if now is not None and work.prefilling and work.run_s == 0.0:
            self._record_run_time(work, now)
        if work.engine is not None and work.prefilling:
            self._loads[work.engine].subtract_prefill(work)
            work.prefilling = False

    def record_end(self, work: Work, *, now: float) -> None:
        """Record the end of released work, with or without success."""
        if work.engine is None:
            return
        completed = work.announced and not work.prefilling
        self._remove_from_engine(work)
        # Without an expected generation time, only the first token is predicted.
        if completed and work.run_s > 0.0:
            self._record_run_time(work, now)

    def cancel(self, work: Work, *, now: float) -> None:
        """Remove work whose caller no longer waits for it."""
        if work.engine is not None:
            self.record_end(work, now=now)
        elif (group := self._groups.get(work.engine_group)) is not None:
            queue = group.queues[work.work_class]
            queue.remove(work, organisation=work.organisation)

    def engines_with_room(self, work: Work, *, now: float) -> list[str]:
        """Return the engines with room for released work, the least loaded first.

        The router calls this after it has updated the engine loads. It then chooses
        an engine and calls ``record_dispatch``, or calls ``requeue`` if none has room.
        """
        counted_engine = work.engine
        self._remove_from_engine(work)
        group = self._groups.get(work.engine_group)
        names = [] if group is None else self._with_room(group, work, now)
        if counted_engine is not None:
            self._add_to_engine(work, counted_engine)
        return names

    def queued(self, work_class: WorkClass) -> int:
        """Return the number of queued requests of a class."""
        return sum(len(group.queues[work_class]) for group in self._groups.values())

    def _record_run_time(self, work: Work, now: float) -> None:
        group = self._groups.get(work.engine_group)
        if group is not None and work.expected_s >= MIN_RECORDED_RUN_S:
            taken_s = max(0.0, now - work.released_at)
            group.run_ratio[work.work_class].update(taken_s / work.expected_s)

    def _release(
        self,
        group: EngineGroup,
        queue: FairQueue[Work],
        results: list[ReleasedWork | LateWork],
        *,
        now: float,
    ) -> None:
        while (work := queue.head()) is not None:
            late_s = now + self._run_bound_s(group, work, now) - work.deadline
            if late_s > 0:
                queue.remove(work, organisation=work.organisation)
                self._record_wait(group, work, now)
                results.append(LateWork(work=work, refusal=_refusal(late_s)))
                continue
            engines = self._with_room(group, work, now)
            batch = work.work_class == "batch"
            if batch:
                group.window_backlogged |= not engines
                engines = self._engines_after_yield(group, engines, now)
            if not engines:
                return
            queue.pop(now=now)
            work.released_at = now
            work.expected_s = self._expected_s(group, work, now)
            work.announced = False
            work.prefilling = True
            self._add_to_engine(work, engines[0])
            if batch:
                group.window_tokens += work.tokens
            results.append(ReleasedWork(work=work, engines=engines))

    def _engines_after_yield(
        self, group: EngineGroup, engines: list[str], now: float
    ) -> list[str]:
        """Return the engines that have had room for at least the yield time."""
        states = [self._loads[name] for name in group.engines]
        own = sum(state.own.batch for state in states)
        bound = sum(state.bounds.batch_prefill_tokens for state in states)
        own_fraction = own * (self.routers - 1) / max(1, bound)
        yield_s = min(YIELD_MAX_S, YIELD_S * own_fraction)
        ready = []
        for name in group.engines:
            state = self._loads[name]
            if name not in engines:
                state.room_since = math.inf
                continue
            state.room_since = min(state.room_since, now)
            if now >= state.room_since + yield_s:
                ready.append(name)
        return [name for name in engines if name in ready]

    def _with_room(self, group: EngineGroup, work: Work, now: float) -> list[str]:
        names = [
            name for name in group.engines if self._loads[name].has_room(work, now=now)
        ]
        return sorted(names, key=lambda name: self._load_order(name, work, now))

    def _load_order(self, name: str, work: Work, now: float) -> tuple[float, float]:
        state = self._loads[name]
        rate = state.bounds.prefill_tokens_s
        interactive = state.interactive_tokens(now) / rate
        batch = state.batch_tokens(now) / rate
        # Engines run interactive work first, so batch work does not delay it.
        if work.work_class == "interactive":
            return interactive, batch
        return interactive + batch, 0.0

    @staticmethod
    def _record_wait(group: EngineGroup, work: Work, now: float) -> None:
        if work.wait_s > MIN_RECORDED_WAIT_S:
            waited_s = max(0.0, now - work.submitted_at)
            group.wait_ratio[work.work_class].update(waited_s / work.wait_s)

    def _add_to_engine(self, work: Work, engine: str) -> None:
        state = self._loads.get(engine)
        if state is not None:
            work.engine = engine
            state.add(work, 1)

    def _remove_from_engine(self, work: Work) -> None:
        if work.engine is not None:
            state = self._loads.get(work.engine)
            if state is not None:
                state.add(work, -1)
            work.engine = None

    def _enqueue(self, group: EngineGroup, work: Work, now: float) -> None:
        group.queues[work.work_class].push(
            work,
            organisation=work.organisation,
            weight=work.weight,
            cost=work.tokens,
            deadline=work.deadline,
            latest_start=work.deadline - self._run_bound_s(group, work, now),
            now=now,
        )

    def _release_rate(self, group: EngineGroup, work: Work) -> float:
        """Return the tokens per second that this router can release of the class."""
        if work.work_class == "batch":
            return group.batch_rate
        return self._prefill_rate(group) / max(1, self.routers)

    def _prefill_rate(self, group: EngineGroup) -> float:
        return sum(self._loads[name].bounds.prefill_tokens_s for name in group.engines)

    def _expected_s(self, group: EngineGroup, work: Work, now: float) -> float:
        """Return the expected seconds from release to the end on the fastest engine."""
        shortest = float("inf")
        for name in group.engines:
            state = self._loads[name]
            ahead = state.interactive_tokens(now)
            if work.work_class == "batch":
                ahead += state.bounds.batch_prefill_tokens
            seconds = (ahead + work.tokens) / state.bounds.prefill_tokens_s
            shortest = min(shortest, seconds)
        return shortest + work.run_s

    def _run_bound_s(self, group: EngineGroup, work: Work, now: float) -> float:
        run_ratio = group.run_ratio[work.work_class]
        return self._expected_s(group, work, now) * run_ratio.estimate

    def _update_batch_rate(self, group: EngineGroup, *, now: float) -> None:
        elapsed = now - group.window_start
        if elapsed < RATE_WINDOW_S:
            return
        if group.window_backlogged and elapsed < 2 * RATE_WINDOW_S:
            rate = group.window_tokens / elapsed
            group.batch_rate += RATE_GAIN * (rate - group.batch_rate)
        group.window_start = now
        group.window_tokens = 0.0
        group.window_backlogged = len(group.queues["batch"]) > 0


def _refusal(late_s: float) -> NotRun:
    return NotRun(
        kind="deadline-unreachable",
        status=503,
        remedy="retry after the stated time, or send a later deadline",
        retry_after_s=max(RETRY_AFTER_MIN_S, late_s),
    )
