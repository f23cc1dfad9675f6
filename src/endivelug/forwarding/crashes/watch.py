"""Finds out whether an upstream crashed when requests were lost, and reports it."""

import asyncio
from collections.abc import Callable

from endivelug.forwarding.calls import AttemptOutcome, Call, Delivered, Lost
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.crashes.exchange import CrashExchange
from endivelug.forwarding.crashes.identity import request_identity
from endivelug.forwarding.crashes.lost_runs import LostRuns
from endivelug.forwarding.crashes.suspects import (
    MAX_SEGMENTS_PER_RUN,
    Block,
    CrashSuspects,
)
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.instances import Instance, InstanceRegistry
from endivelug.forwarding.placement import Placement

# A process that has ended refuses connections at once; a cut one answers nothing.
PROBE_TIMEOUT_S = 0.5
# A call is not sent elsewhere for this long, so that what its own crash shows counts.
PROBE_WAIT_S = 0.1
# A run with more events is past its beginning: it did not crash its engine, and its
# prompt crashes none. A run with a single event counts as one that only waited.
BEGINNING_EVENTS = 1
# Requests of each kind that the log line of a crash names.
MAX_LOGGED = 50


class CrashWatch:
    """Confirms crashes of upstreams, and keeps the suspects of them.

    Parameters
    ----------
    on_crash : callable
        Called with the name of an engine that refuses connections.
    """

    def __init__(
        self,
        *,
        vm: str,
        suspects: CrashSuspects,
        exchange: CrashExchange,
        reach: EngineReach,
        registry: InstanceRegistry,
        on_crash: Callable[[str], None],
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.vm = vm
        self.suspects = suspects
        self.exchange = exchange
        self.reach = reach
        self.registry = registry
        self.on_crash = on_crash
        self.clock = clock
        self.log = log
        self.lost_runs = LostRuns()
        self.probes: dict[tuple[str, int], asyncio.Task[None]] = {}

    def block_of(self, call: Call) -> Block | None:
        """Return why a call must not be sent, or None.

        A test of a suspect may be sent; it begins with this call.
        """
        identity = self._identity(call)
        if identity is None or call.tests_suspect:
            return None
        now, segments = self.clock(), call.shared_segments
        block = self.suspects.block_of(identity, segments, now=now)
        if block is None or not self.suspects.may_test(identity, segments, now=now):
            return block
        call.tests_suspect = True
        self.log("suspect-tested", request=call.request.id, suspect=block.suspect)
        return None

    def is_blocked(self, call: Call) -> bool:
        """Return whether a call that was sent would not be sent now."""
        if call.tests_suspect or call.events > BEGINNING_EVENTS:
            return False
        identity = self._identity(call)
        if identity is None:
            return False
        segments = call.shared_segments
        return self.suspects.block_of(identity, segments, now=self.clock()) is not None

    def record_events(self, call: Call) -> None:
        """Record that more of a stream has arrived."""
        if call.events > BEGINNING_EVENTS:
            self._record_answer(call)

    async def record_outcome(
        self, call: Call, placement: Placement, outcome: AttemptOutcome
    ) -> None:
        """Record an answer, or check whether the engine crashed before it came."""
        # A test has one attempt: after a crash, the call is as suspect as any other.
        call.tests_suspect = False
        match outcome:
            case Delivered():
                self._record_answer(call)
            case Lost(closed=closed) if call.events <= BEGINNING_EVENTS:
                await self._record_lost(call, placement.instance, closed=closed)

    def _identity(self, call: Call) -> str | None:
        """Return the identity of a request, or None if nothing is suspected."""
        return request_identity(call) if self.suspects.suspects else None

    def _record_answer(self, call: Call) -> None:
        if call.recorded_answer:
            return
        call.recorded_answer = True
        cleared = self.suspects.record_answer(
            self._identity(call) or "", call.shared_segments
        )
        if cleared:
            self.exchange.clear(cleared)

    async def _record_lost(
        self, call: Call, instance: Instance, *, closed: bool
    ) -> None:
        """Keep a lost run until it is known whether its upstream has crashed.

        Runs that end with an upstream which stops as announced show nothing.
        """
        run = CrashedRun(
            instance=instance.name,
            started_ms=instance.started_ms,
            vm=self.vm,
            request=request_identity(call),
            segments=tuple(call.shared_segments[-MAX_SEGMENTS_PER_RUN:]),
            begun=call.begun and call.events == 0,
            sent_at=call.sent_at,
            at=self.clock(),
        )
        if not self.registry.is_stopping(instance):
            self.lost_runs.add(instance, run, closed=closed)
        if not closed:
            return
        key = instance.incarnation
        probe = self.probes.get(key)
        if probe is None:
            probe = self.probes[key] = asyncio.create_task(self._probe(instance))
            probe.add_done_callback(lambda task: self.probes.pop(key))
        await asyncio.wait([probe], timeout=PROBE_WAIT_S)

    async def _probe(self, instance: Instance) -> None:
        """Connect anew; report the lost runs if nothing listens any more."""
        shown = await self.reach.check(instance.address, timeout_s=PROBE_TIMEOUT_S)
        if shown is not Reach.REFUSES:
            # If it is cut off, the watch for silence looks after it.
            return
        self.on_crash(instance.name)
        if not self.registry.is_stopping(instance):
            self._report(self.lost_runs.take_closed(instance, now=self.clock()))

    def record_registered(self, before: Instance | None, instance: Instance) -> None:
        """Report the runs of the upstream in whose place another one has started.

        That shows the crash of one that is back before a connection to it is refused,
        or whose host was away.
        """
        if instance.draining:
            self.lost_runs.discard(instance)
        self._report(self.lost_runs.take_replaced(instance, now=self.clock()))

    def _report(self, runs: list[CrashedRun]) -> None:
        if not runs:
            return
        self.log(
            "engine-crashed",
            instance=runs[0].instance,
            started_ms=runs[0].started_ms,
            begun=[run.request for run in runs if run.begun][:MAX_LOGGED],
            waiting=[run.request for run in runs if not run.begun][:MAX_LOGGED],
        )
        self.exchange.record_crash(runs)
