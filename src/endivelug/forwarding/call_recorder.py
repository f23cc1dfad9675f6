"""Log lines and metrics for the course of each call."""

from collections import Counter
from collections.abc import Callable

from endivelug.forwarding.calls import (
    AttemptOutcome,
    Call,
    Delivered,
    Failed,
    GivenUp,
    Lost,
    NotRun,
    NotSent,
)
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.crashes.identity import request_identity
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.requests import InboundRequest


class CallRecorder:
    """Records what happens to calls.

    Parameters
    ----------
    queue_length : callable
        Returns the number of calls that wait for a service.

    Attributes
    ----------
    ends : Counter of str
        Ended calls since the start, by outcome.
    """

    def __init__(
        self,
        *,
        metrics: NodeMetrics,
        clock: Callable[[], float],
        log: LogLine,
        queue_length: Callable[[str], int],
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.log = log
        self.queue_length = queue_length
        self.ends: Counter[str] = Counter()

    def record_denied(
        self, request: InboundRequest, status: int, *, configuration: int
    ) -> None:
        """Log a request that the configuration does not allow."""
        self.log(
            "denied",
            request=request.id,
            status=status,
            host=request.host,
            path=request.path,
            configuration=configuration,
        )

    def record_sent(self, call: Call, placement: Placement) -> None:
        """Log an attempt that begins."""
        self.log(
            "sent",
            **_fields(call),
            instance=placement.instance.name,
            weights=placement.weights,
            expected_s=round(placement.expected_s, 3),
            missing=placement.uncached_tokens,
            fetch=placement.fetch_from is not None,
            backup=placement.backup.name if placement.backup else None,
            continued=placement.continue_at is not None,
        )

    def record_failed_attempt(
        self, call: Call, instance: str, outcome: AttemptOutcome
    ) -> None:
        """Log and count an attempt without a complete response."""
        ending = type(outcome).__name__
        self.log(
            "attempt-failed",
            **_fields(call),
            instance=instance,
            ending=ending,
            reason=reason_of(outcome),
            identity=request_identity(call) if isinstance(outcome, Lost) else None,
            events=call.events,
            after_s=self._age_s(call),
        )
        self.metrics.record_failed_attempt(call, ending)

    def record_delivered(self, call: Call, instance: str) -> None:
        """Log and count a call whose caller has the whole response."""
        self._record_end(call, "delivered")
        self.log(
            "delivered",
            **_fields(call),
            instance=instance,
            after_s=self._age_s(call),
            first_s=None
            if call.first_event_at is None
            else round(call.first_event_at - call.request.received_at, 3),
            pause_s=round(call.longest_pause_s, 3) or None,
        )

    def record_undelivered(
        self, call: Call, outcome: str, reason: str, **fields: object
    ) -> None:
        """Log and count a call that is refused or fails."""
        self._record_end(call, outcome)
        self.log(
            "refused" if outcome == "not-run" else "ended",
            **_fields(call),
            outcome=outcome,
            reason=reason,
            runs=call.runs,
            sends=call.sends,
            queued=self.queue_length(call.service),
            after_s=self._age_s(call),
            **fields,
        )

    def record_retry_denied(self, call: Call, *, used: float, cautious: bool) -> None:
        """Log that the shared budget allows no retry of a call.

        Parameters
        ----------
        used : float
            Retries of this VM that count at present.
        cautious : bool
            Whether none are sent because this process has just started.
        """
        self.log("retry-denied", **_fields(call), used=used, cautious=cautious)

    def record_left(self, call: Call) -> None:
        """Log and count a call whose caller closed the connection before its end."""
        if call.recorded_end:
            return
        self._record_end(call, "left")
        self.log(
            "caller-left",
            **_fields(call),
            instance=call.instance,
            sends=call.sends,
            streaming=call.streaming,
            after_s=self._age_s(call),
        )

    def _record_end(self, call: Call, outcome: str) -> None:
        call.recorded_end = True
        self.ends[outcome] += 1
        self.metrics.record_end(call, outcome, now=self.clock())

    def _age_s(self, call: Call) -> float:
        return round(self.clock() - call.request.received_at, 3)


def reason_of(outcome: AttemptOutcome) -> str:
    """Return why an attempt brought no response, in words."""
    match outcome:
        case NotRun(status=status):
            return f"the upstream answered {status} and did not run it"
        case NotSent(reason=reason):
            return reason
        case Lost(reason=reason):
            return f"lost after it was sent: {reason}"
        case GivenUp():
            return "given up after it was sent: its prompt crashes engines"
        case Failed(head=head):
            return f"the upstream answered {head.status}"
        case Delivered():
            return ""


def _fields(call: Call) -> dict[str, object]:
    organisation = call.organisation
    return {
        "request": call.request.id,
        "route": call.route.name,
        "service": call.service,
        "organisation": organisation.name if organisation else None,
        "configuration": call.configuration_version,
    }
