"""Events of a relayed stream for the caller, and its interface to placement."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from endivelug.exceptions import EndivelugError, UpstreamRejected
from endivelug.refusals import MayHaveRun, NotRun, problem_document

# Statuses that are not retried: every engine would reject the request in the same way.
FINAL_REJECTIONS = frozenset({400, 413, 422})
REPEAT_REMEDY = "repeat the request; nothing but tokens was spent"


@dataclass(slots=True, kw_only=True)
class Target:
    """Engine selected for the next attempt.

    Attributes
    ----------
    engine, address : str
        Name and ``ip:port``.
    version : str
        Weights version that the engine must serve.
    request_members : dict
        Members added to the request for this engine, such as ``prefix`` and
        ``priority``.
    """

    engine: str
    address: str
    version: str
    request_members: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class AttemptContext:
    """Context for choosing the engine of the next attempt.

    Attributes
    ----------
    number : int
        1 for the first attempt of the stream.
    failed_engines : list of str
        Engines whose attempts failed since the caller's last event, oldest first.
    version : str or None
        Weights version that the engine must serve; None until a token was delivered.
    error : EndivelugError or None
        Failure of the previous attempt.
    """

    number: int
    failed_engines: list[str]
    version: str | None
    error: EndivelugError | None

    @property
    def is_first_continuation(self) -> bool:
        """Whether this is the first attempt to continue after a delivered token."""
        return self.version is not None and len(self.failed_engines) <= 1


ChooseTarget = Callable[[AttemptContext], Awaitable[Target | None]]


@dataclass(slots=True, kw_only=True)
class StreamOpened:
    """Id under which the stream can be resumed; sent again whenever it changes."""

    stream_id: str


@dataclass(slots=True, kw_only=True)
class StreamEvent:
    """One event for the caller; the data of the last one is ``[DONE]``."""

    number: int
    data: str


@dataclass(slots=True, kw_only=True)
class StreamFailed:
    """The stream cannot be completed; sent as the last event instead of ``[DONE]``."""

    refusal: NotRun | MayHaveRun


RelayEvent = StreamOpened | StreamEvent | StreamFailed


def encode_sse(event: RelayEvent) -> bytes:
    r"""Encode an event as a server-sent event.

    Examples
    --------
    >>> encode_sse(StreamEvent(number=3, data="[DONE]"))
    b'id: 3\ndata: [DONE]\n\n'
    """
    match event:
        case StreamOpened():
            # Clients that do not know this comment line ignore it.
            return f": stream-id {event.stream_id}\n\n".encode()
        case StreamEvent():
            return f"id: {event.number}\ndata: {event.data}\n\n".encode()
        case StreamFailed():
            _, document = problem_document(event.refusal)
            error = {"message": event.refusal.remedy, **document}
            return f"event: error\ndata: {json.dumps({'error': error})}\n\n".encode()


def stream_refusal(
    *,
    error: EndivelugError | None,
    deadline_passed: bool,
    may_have_run: bool,
    request_unknown: bool,
) -> NotRun | MayHaveRun:
    """Build the refusal for a stream that cannot be completed.

    Parameters
    ----------
    error : EndivelugError or None
        Failure of the last attempt.
    deadline_passed : bool
        Whether the deadline has passed.
    may_have_run : bool
        Whether an engine may have started the request.
    request_unknown : bool
        Whether only the stream id is known, so that no other engine can continue.
    """
    if may_have_run:
        kind = "stream-not-held" if request_unknown else "stream-broken"
        return MayHaveRun(
            kind="deadline-exceeded" if deadline_passed else kind, remedy=REPEAT_REMEDY
        )
    if deadline_passed:
        remedy = "repeat the request with a later deadline"
        return NotRun(kind="deadline-exceeded", status=504, remedy=remedy)
    if isinstance(error, UpstreamRejected) and error.status in FINAL_REJECTIONS:
        remedy = f"correct the request; {error.reason}"
        return NotRun(kind="request-refused", status=error.status, remedy=remedy)
    remedy = "repeat the request later"
    return NotRun(kind="no-upstream", status=503, remedy=remedy, retry_after_s=1.0)
