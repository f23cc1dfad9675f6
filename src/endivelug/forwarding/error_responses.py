"""Responses of the router itself: refusals, and errors of calls without a response."""

import random
from collections.abc import Callable

from endivelug.forwarding.attempt_limits import RESPONSE_MARGIN_S
from endivelug.forwarding.buffers.admission import router_response
from endivelug.forwarding.call_recorder import CallRecorder
from endivelug.forwarding.calls import Call, Failed
from endivelug.forwarding.crashes.suspects import Block
from endivelug.forwarding.not_run_statuses import promises_wrongly
from endivelug.forwarding.overload.control import Overloaded
from endivelug.forwarding.refused_callers import RefusedCallers, request_digest
from endivelug.forwarding.requests import WireFormat
from endivelug.forwarding.response_writer import Writer
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON
from endivelug.forwarding.wait_reasons import NoPlacement

# Range of the Retry-After time: a minimum and a random addition, so that callers that
# were refused together do not return together.
RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_JITTER_S = 0.35
# Longest Retry-After time of a request that is suspected of crashing upstreams.
MAX_BLOCKED_RETRY_AFTER_S = 600.0


class ErrorResponses:
    """Ends calls that get no response of an upstream.

    Parameters
    ----------
    on_refused : callable
        Called with the digest of a refused request and its Retry-After in seconds.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        recorder: CallRecorder,
        refused: RefusedCallers,
        on_refused: Callable[[str, float], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.wire = wire
        self.recorder = recorder
        self.refused = refused
        self.on_refused = on_refused
        self.clock = clock
        self.rng = rng

    async def fail_unplaced(
        self, call: Call, writer: Writer, failure: Failed | None, why: NoPlacement
    ) -> None:
        """Send the error response of a call that got no instance."""
        self.recorder.metrics.record_unplaced(call, why.main_reason)
        if not isinstance(why, Overloaded):
            await self.fail(call, writer, failure, str(why), retry_at=why.retry_at)
            return
        self.recorder.metrics.record_refused_early(call, arrived=why.arrived)
        after_s = max(self.retry_after_s(), why.spread_retry_after_s(self.rng))
        self._record_refusal(call, after_s)
        fields = why.log_fields()
        await self.fail(
            call, writer, None, str(why), retry_after_s=after_s, fields=fields
        )

    async def fail_blocked(
        self, call: Call, writer: Writer, failure: Failed | None, block: Block
    ) -> None:
        """Send the error response of a call that is suspected of crashing upstreams."""
        now = self.clock()
        reason = (
            f"the request is suspected of crashing upstreams: {block.suspect} was "
            f"there at {block.moments} moments in {block.requests} requests, the last "
            f"{now - block.last_at:.1f} s ago"
        )
        wait_s = min(max(block.test_at - now, 0.0), MAX_BLOCKED_RETRY_AFTER_S)
        retry_after_s = wait_s + self.retry_after_s()
        await self.fail(call, writer, failure, reason, retry_after_s=retry_after_s)

    async def fail(
        self,
        call: Call,
        writer: Writer,
        failure: Failed | None,
        reason: str,
        *,
        retry_after_s: float | None = None,
        retry_at: float | None = None,
        fields: dict[str, object] | None = None,
    ) -> None:
        """Send the error response of an undelivered call, or abort its stream.

        Parameters
        ----------
        retry_at : float or None
            Time before which no upstream will take the call, if that is known.
        retry_after_s : float or None
            Time after which a call that was not sent may succeed, if it is known.
        fields : dict or None
            Further fields of the log line of a call that was not sent.
        """
        now = self.clock()
        if call.streaming:
            self.recorder.record_undelivered(call, "broken", reason)
            writer.abort()
        elif failure is not None and not promises_wrongly(call, failure):
            self.recorder.record_undelivered(call, "failed", reason)
            headers = self.wire.caller_headers(failure.head)
            await writer.start(
                failure.head.status, failure.head.reason, headers, failure.body
            )
        elif call.runs:
            late = now >= call.deadline - 2 * RESPONSE_MARGIN_S
            self.recorder.record_undelivered(call, "may-have-run", reason)
            await self.send(call.request.id, writer, 504 if late else 502, reason)
        else:
            if retry_after_s is None:
                retry_after_s = self.retry_after_s(retry_at)
                self._record_refusal(call, retry_after_s)
            self.recorder.record_undelivered(
                call, "not-run", reason, retry_after_s=retry_after_s, **(fields or {})
            )
            await self.send(call.request.id, writer, 503, reason, retry_after_s)

    async def fail_stopped(self, call: Call, writer: Writer) -> None:
        """End a call that is still in progress when this VM stops."""
        reason = "this VM has stopped before the call ended"
        if call.streaming or not writer.head_sent:
            await self.fail(call, writer, None, reason)
            return
        if not call.recorded_end:
            self.recorder.record_undelivered(call, "broken", reason)
        writer.abort()

    async def fail_unforeseen(
        self, call: Call, writer: Writer, error: Exception
    ) -> None:
        """End a call that met a fault of the program; it may have run."""
        reason = f"unforeseen: {error!r}"[:MAX_LOGGED_REASON]
        if not call.recorded_end:
            self.recorder.record_undelivered(call, "error", reason)
        if writer.head_sent:
            writer.abort()
        else:
            await self.send(
                call.request.id, writer, 502, "the router failed; look at its log"
            )

    def _record_refusal(self, call: Call, retry_after_s: float) -> None:
        digest = request_digest(call)
        if digest is None:
            return
        now = self.clock()
        self.refused.record_refusal(digest, retry_at=now + retry_after_s, now=now)
        self.on_refused(digest, retry_after_s)

    def retry_after_s(self, earliest: float | None = None) -> float:
        """Return a Retry-After time that spreads the callers.

        Parameters
        ----------
        earliest : float or None
            Time before which no upstream will take the call, if that is known.
        """
        known_s = 0.0 if earliest is None else earliest - self.clock()
        return (
            max(RETRY_AFTER_MIN_S, known_s) + self.rng.random() * RETRY_AFTER_JITTER_S
        )

    async def send(
        self,
        request_id: str,
        writer: Writer,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send an error response that has no body of an upstream."""
        response = router_response(self.wire, request_id, status, reason, retry_after_s)
        await writer.start(status, "", response.headers, response.body)
