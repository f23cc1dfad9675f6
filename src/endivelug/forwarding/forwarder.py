"""Serves callers' requests: authorises, places, sends and retries or refuses them."""

import asyncio
import random
from collections.abc import Callable

from endivelug.exceptions import CallerLeft, EndivelugError
from endivelug.forwarding.attempt import AttemptRunner
from endivelug.forwarding.attempt_limits import (
    MIN_GENERATION_S,
    MIN_PLAIN_S,
    RESPONSE_MARGIN_S,
)
from endivelug.forwarding.buffers.admission import Admission
from endivelug.forwarding.buffers.head_check import Denied, Permitted
from endivelug.forwarding.buffers.kept_answers import SMALL_ANSWER_BYTES
from endivelug.forwarding.call_recorder import CallRecorder, reason_of
from endivelug.forwarding.calls import (
    AttemptOutcome,
    Call,
    Delivered,
    Failed,
    Lost,
    NotRun,
    NotSent,
)
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.crashes.watch import CrashWatch
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.error_responses import ErrorResponses
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.planned_stop import Stopping, StopTimes
from endivelug.forwarding.quotas.quota_gate import QuotaGate
from endivelug.forwarding.refused_callers import RefusedCallers, request_digest
from endivelug.forwarding.requests import InboundRequest, WireFormat
from endivelug.forwarding.response_writer import Writer
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.stream_recovery import StreamRecovery
from endivelug.forwarding.upstream_connection import Headers
from endivelug.forwarding.wait_reasons import NoPlacement

# Times for which an instance is avoided, by the outcome of an attempt. One that refused
# is busy for about the time of a short request.
REFUSED_AVOID_S = 0.3
UNREACHABLE_AVOID_S = 0.6
# Another instance has the address; the registry reports that within some heartbeats.
MOVED_AVOID_S = 3.0
# Consecutive failures after which an instance is avoided for a while.
FAILURES_TO_AVOID = 3
FAILED_AVOID_S = 0.8


class Forwarder:
    """Handles the requests of callers.

    Parameters
    ----------
    on_avoid : callable
        Called with the name of an instance to avoid and the duration in seconds.
    on_sending, on_ended : callable
        Called before and after each attempt. The outcome is None if the attempt was
        cancelled, for example because the caller disconnected.

    Attributes
    ----------
    closed : bool
        Whether new requests are refused because this VM is stopping.
    stop_times : StopTimes
        When the calls in progress have to end, if this VM is stopping.
    calls : dict of str to Call
        Calls in progress, by their keys.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        view: ClusterView,
        dispatcher: Dispatcher,
        runner: AttemptRunner,
        recovery: StreamRecovery,
        budget: SharedRetryBudget,
        quotas: QuotaGate,
        recorder: CallRecorder,
        errors: ErrorResponses,
        clock: Callable[[], float],
        rng: random.Random,
        refused: RefusedCallers,
        crash_watch: CrashWatch,
        on_avoid: Callable[[str, float], None],
        on_sending: Callable[[Placement], None],
        on_ended: Callable[[Call, Placement, AttemptOutcome | None], None],
    ) -> None:
        self.wire = wire
        self.view = view
        self.dispatcher = dispatcher
        self.runner = runner
        self.recovery = recovery
        self.budget = budget
        self.quotas = quotas
        self.recorder = recorder
        self.errors = errors
        self.clock = clock
        self.rng = rng
        self.refused = refused
        self.crash_watch = crash_watch
        self.on_avoid = on_avoid
        self.on_sending = on_sending
        self.on_ended = on_ended
        self.closed = False
        self.stop_times = StopTimes()
        self.calls: dict[str, Call] = {}
        self.admission = Admission(
            wire=wire,
            view=view,
            recorder=recorder,
            clock=clock,
            is_closed=lambda: self.closed,
            retry_after_s=errors.retry_after_s,
            serve=self._serve_request,
        )

    def close(self) -> None:
        """Refuse new requests."""
        self.closed = True

    def refuse_late(self) -> None:
        """Refuse the waiting calls that would not end before this VM stops."""
        self.dispatcher.refuse_waiting(
            lambda call: None if self._may_begin(call) else Stopping()
        )

    async def handle(
        self, method: str, target: str, headers: Headers, body: bytes, writer: Writer
    ) -> None:
        """Serve one request and send its response."""
        try:
            request = self.wire.decode_request(
                method=method, target=target, headers=headers, now=self.clock()
            )
        except EndivelugError as error:
            await self.errors.send("", writer, 400, str(error))
            return
        await self._serve_request(request, None, body, writer)

    async def _serve_request(
        self,
        request: InboundRequest,
        checked: Permitted | None,
        body: bytes,
        writer: Writer,
    ) -> None:
        # The time to read the body does not count.
        now = self.clock()
        request.deadline += now - request.received_at
        request.received_at = now
        request.body = body
        call = await self._admit(request, checked, writer)
        if call is None:
            return
        self.budget.record_request(call.service, now=now)
        self.recorder.metrics.record_request(call)
        self.calls[call.key] = call
        try:
            await self._serve(call, writer)
        except CallerLeft:
            self.recorder.record_left(call)
        except asyncio.CancelledError:
            if not self.stop_times.ending or writer.disconnected:
                self.recorder.record_left(call)
                raise
            await self.errors.fail_stopped(call, writer)
        except Exception as error:
            await self.errors.fail_unforeseen(call, writer, error)
        finally:
            del self.calls[call.key]
            self.quotas.end(call)
            if call.retry is not None:
                self.budget.release(call.retry)

    async def _admit(
        self, request: InboundRequest, head_check: Permitted | None, writer: Writer
    ) -> Call | None:
        """Return the call of a valid request, or send an error response."""
        checked = self.admission.check_again(request, head_check)
        if isinstance(checked, Denied):
            await self.errors.send(
                request.id,
                writer,
                checked.status,
                checked.reason,
                checked.retry_after_s,
            )
            return None
        route, configuration = checked.route, checked.configuration
        received = request.received_at
        call = Call(
            request=request,
            route=route,
            organisation=checked.organisation,
            service=route.service_for(self.rng.random()),
            configuration_version=configuration.version,
            target_at=received + route.target_s,
            deadline=min(request.deadline, received + route.timeout_s),
        )
        refusal = self.quotas.admit(call)
        if refusal is not None:
            self.recorder.metrics.record_over_quota(call)
            await self.errors.send(
                request.id,
                writer,
                429,
                "the organisation is over its quota",
                refusal.retry_after_s,
            )
            return None
        return call

    async def _serve(self, call: Call, writer: Writer) -> None:
        failure: Failed | None = None
        continuation: Placement | None = None
        while True:
            block = self.crash_watch.block_of(call)
            if block is not None:
                if continuation is not None:
                    self.dispatcher.remove_work(call, continuation)
                await self.errors.fail_blocked(call, writer, failure, block)
                return
            placement = continuation or await self._place(call)
            if isinstance(placement, NoPlacement):
                await self.errors.fail_unplaced(call, writer, failure, placement)
                return
            name = placement.instance.name
            if self.crash_watch.is_blocked(call):
                # Blocked while it waited; the next round refuses it.
                self.dispatcher.remove_work(call, placement)
                self.dispatcher.schedule_assignment()
                continuation = None
                continue
            self.quotas.before_send(call)
            self.recorder.record_sent(call, placement)
            self.on_sending(placement)
            call.instance = name
            outcome: AttemptOutcome | None = None
            sent_at = self.clock()
            if call.retry is not None:
                self.budget.record_sent(call.retry, now=sent_at)
            try:
                outcome = await self.runner.run(call, placement, writer)
                call.instance = None
            finally:
                self.dispatcher.remove_work(call, placement)
                self.on_ended(call, placement, outcome)
                self.dispatcher.schedule_assignment()
            await self.crash_watch.record_outcome(call, placement, outcome)
            if isinstance(outcome, Delivered):
                self.dispatcher.admission.record_answer(call, self.clock() - sent_at)
                self.recorder.record_delivered(call, name)
                taken_s = self.clock() - call.request.received_at
                self.stop_times.record_delivered(call.route.name, taken_s)
                return
            self._record_failure(call, placement, outcome)
            if isinstance(outcome, Failed):
                failure = outcome
            continuation = await self._find_continuation(call, placement, outcome)
            if continuation is None and not self._try_acquire_retry(call, outcome):
                await self.errors.fail(call, writer, failure, reason_of(outcome))
                return
            if failure is not None and len(failure.body) > SMALL_ANSWER_BYTES:
                # Nothing bounds what many calls would keep while they wait and retry.
                failure = None

    async def _place(self, call: Call) -> Placement | NoPlacement:
        if not self.dispatcher.placer.has_instances(call):
            return NoPlacement()
        if not self._may_begin(call):
            return Stopping()
        min_run_s = MIN_GENERATION_S if call.route.generates else MIN_PLAIN_S
        expires_at = min(call.deadline, call.caller_abandons_at) - min_run_s
        digest = request_digest(call)
        returning = digest is not None and self.refused.is_returning(
            digest, now=self.clock()
        )
        placement = await self.dispatcher.place(
            call, expires_at=expires_at, returning=returning
        )
        if isinstance(placement, Placement) and not self._may_begin(call):
            self.dispatcher.remove_work(call, placement)
            self.dispatcher.schedule_assignment()
            return Stopping()
        return placement

    def _may_begin(self, call: Call) -> bool:
        """Return whether a call has begun already, or ends before this VM stops."""
        return call.runs > 0 or self.stop_times.fits(call, now=self.clock())

    async def _find_continuation(
        self, call: Call, placement: Placement, outcome: AttemptOutcome
    ) -> Placement | None:
        """Return a placement that continues a broken stream from a backup, or None."""
        continuation = await self.recovery.find_continuation(call, placement, outcome)
        if continuation is None:
            return None
        limits = self.dispatcher.placer.pace.limits
        until = min(call.deadline, self.clock() + call.route.gap_target_s)
        if not await limits.wait_for_turn(continuation.instance, until=until):
            return None
        if not self._reserve_retry(call):
            return None
        call.continued = True
        self.dispatcher.add_work(call, continuation)
        return continuation

    def _try_acquire_retry(self, call: Call, outcome: AttemptOutcome) -> bool:
        """Return whether to retry the call; a retry consumes retry budget."""
        now = self.clock()
        if now >= call.deadline - 2 * RESPONSE_MARGIN_S or not call.may_run_again:
            return False
        if isinstance(outcome, NotSent):
            # No upstream received it, so the next attempt needs no more of the budget.
            if call.retry is not None:
                self.budget.record_not_sent(call.retry)
            return True
        return self._reserve_retry(call)

    def _reserve_retry(self, call: Call) -> bool:
        """Return whether the budget allows a retry, and keep it for the call."""
        now = self.clock()
        call.retry = self.budget.reserve(call.service, now=now)
        if call.retry is None:
            self.recorder.record_retry_denied(
                call,
                used=self.budget.used(call.service, now=now),
                cautious=now < self.budget.cautious_until,
            )
        return call.retry is not None

    def _record_failure(
        self, call: Call, placement: Placement, outcome: AttemptOutcome
    ) -> None:
        """Update the state of the instance after a failed attempt, and log it."""
        name = placement.instance.name
        load = self.view.loads.of(name)
        self.dispatcher.placer.pace.slow_starts.record_failure(name, outcome)
        match outcome:
            case NotRun(other_instance=True):
                self.avoid(name, MOVED_AVOID_S)
            case NotRun():
                # An upstream that stated when to try again has asked this VM only.
                if self.clock() >= load.paused_until:
                    self.avoid(name, REFUSED_AVOID_S)
            case NotSent(local=False):
                self.avoid(name, UNREACHABLE_AVOID_S)
            case Lost() | Failed():
                load.failures += 1
                call.excluded_instances.add(name)
                if load.failures >= FAILURES_TO_AVOID:
                    self.avoid(name, FAILED_AVOID_S)
        self.recorder.record_failed_attempt(call, name, outcome)

    def avoid(self, name: str, for_s: float) -> None:
        """Send no requests to an instance for a while, and tell the peers."""
        load = self.view.loads.of(name)
        load.avoid_until = max(load.avoid_until, self.clock() + for_s)
        self.view.on_avoided(name, for_s)
        self.on_avoid(name, for_s)
