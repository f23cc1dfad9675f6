"""State of one request in the router, and the possible outcomes of an attempt."""

import itertools
from dataclasses import dataclass, field

from endivelug.forwarding.event_stream import EventSplitter
from endivelug.forwarding.quotas.charges import QuotaCharge
from endivelug.forwarding.requests import InboundRequest
from endivelug.forwarding.retry_budget import RetryReservation
from endivelug.forwarding.routes import Organisation, Repeat, Route
from endivelug.forwarding.upstream_connection import ResponseHead

# A caller abandons a stream without a first event after the longest of these: a time in
# seconds, a multiple of the route's target for the first event, and a multiple of its
# target for pauses.
CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_TARGETS = 4.0
CALLER_PATIENCE_GAPS = 8.0


_numbers = itertools.count(1)


def _new_key() -> str:
    return str(next(_numbers))


@dataclass(slots=True, kw_only=True)
class Call:
    """A request with its route and the state of its attempts.

    Attributes
    ----------
    key : str
        Identity of the call within the process. The id of a request is its caller's
        choice, and two callers may choose the same.
    target_at : float
        Target time of the first byte or event.
    deadline : float
        The earlier of the caller's deadline and the route's timeout.
    runs : int
        Number of upstreams that may have run the request.
    sends : int
        Number of times that the request was sent, including refused attempts.
    excluded_instances : set of str
        Instances to which the request is not sent again.
    streaming : bool
        Whether the head of the response has been sent to the caller.
    head : ResponseHead or None
        That head.
    continued : bool
        Whether the run was continued from its backup on another engine.
    instance : str or None
        Instance at which an attempt is in progress.
    begun : bool
        Whether the instance of the last attempt had begun to answer.
    sent_at : float
        Time of the last attempt.
    identity : str
        Digest that is the same for each repetition of the request; empty until it is
        asked for.
    tests_suspect : bool
        Whether the call is sent to find out if its prompt still crashes engines.
    recorded_answer : bool
        Whether the prompt is recorded as one that was answered.
    recorded_end : bool
        Whether the end of the call is logged and counted.
    first_event_at, last_event_at : float or None
        Times of the first and the last complete event of the stream.
    longest_pause_s : float
        Longest pause between two events.
    events : int
        Complete events received from the instance of the attempt in progress.
    quota_charge : QuotaCharge or None
        What the call is charged to its organisation's quota.
    retry : RetryReservation or None
        The last retry that the budget has allowed.
    """

    request: InboundRequest
    route: Route
    organisation: Organisation | None
    service: str
    configuration_version: int
    target_at: float
    deadline: float
    runs: int = 0
    sends: int = 0
    excluded_instances: set[str] = field(default_factory=set)
    streaming: bool = False
    head: ResponseHead | None = None
    continued: bool = False
    instance: str | None = None
    begun: bool = False
    sent_at: float = 0.0
    identity: str = ""
    tests_suspect: bool = False
    recorded_answer: bool = False
    recorded_end: bool = False
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    events: int = 0
    quota_charge: QuotaCharge | None = None
    retry: RetryReservation | None = None
    key: str = field(default_factory=_new_key)
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def record_events(self, count: int, *, now: float) -> None:
        """Record that complete events of the stream have arrived."""
        self.events += count
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    @property
    def shared_segments(self) -> list[str]:
        """Ids of the prompt's segments but the last, which is the request's own."""
        return [segment.segment_id for segment in self.request.prompt[:-1]]

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again after a failed run."""
        if self.route.streaming:
            return self.route.resumable
        return self.route.repeat is Repeat.SAFE

    @property
    def caller_abandons_at(self) -> float:
        """Time at which the caller abandons a stream without a first event."""
        if not self.route.streaming or self.streaming:
            return float("inf")
        patience_s = max(
            CALLER_PATIENCE_S,
            CALLER_PATIENCE_TARGETS * self.route.target_s,
            CALLER_PATIENCE_GAPS * self.route.gap_target_s,
        )
        return self.request.received_at + patience_s

    @property
    def may_run_again(self) -> bool:
        """Whether another upstream may run the request."""
        if self.runs == 0:
            return True
        return self.repeatable and self.runs < self.route.max_attempts

    @property
    def priority(self) -> int:
        """Priority from the organisation or else the route; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass(slots=True, kw_only=True, frozen=True)
class Delivered:
    """The caller received the whole response."""


@dataclass(slots=True, kw_only=True, frozen=True)
class NotRun:
    """The upstream states that it did not run the request.

    Attributes
    ----------
    other_instance : bool
        Whether another instance answered at the address.
    """

    status: int
    reason: str
    other_instance: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class NotSent:
    """No connection was established, so the request did not run.

    Attributes
    ----------
    local : bool
        Whether this VM, and not the upstream, is the cause.
    """

    reason: str
    local: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Lost:
    """The request was sent, but no complete response arrived; it may have run.

    Attributes
    ----------
    closed : bool
        Whether the upstream closed the connection; otherwise the router left it after
        its time limit or an answer that is not valid.
    """

    reason: str
    closed: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class GivenUp:
    """The router ended the attempt, because the prompt turned out to crash engines."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Failed:
    """The upstream ran the request and responded with an error."""

    head: ResponseHead
    body: bytes


AttemptOutcome = Delivered | NotRun | NotSent | Lost | GivenUp | Failed
