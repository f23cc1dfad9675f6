"""What a relayed stream gives its caller, and what it asks of placement."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from endivelug.exceptions import EndivelugError, UpstreamRejected
from endivelug.refusals import MayHaveRun, NotRun, problem_document

# A request that is malformed at one engine is malformed at all of them.
FINAL_REJECTIONS = frozenset({400, 413, 422})
REPEAT = "repeat the request; nothing but tokens was spent"


@dataclass(slots=True, kw_only=True)
class Target:
    """Engine that gets the next attempt.

    Attributes
    ----------
    engine, address : str
        Name and ``ip:port``.
    version : str
        Weights version that the engine must have.
    members : dict
        Request members for this engine, such as ``prefix`` and ``priority``.
    """

    engine: str
    address: str
    version: str
    members: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Attempt:
    """What is known when an engine is to be chosen.

    Attributes
    ----------
    number : int
        1 for the first attempt of the stream.
    failed : list of str
        Engines whose attempts failed since the caller's last event, the latest last.
    version : str or None
        Weights version that the engine must have; None while nothing is delivered.
    error : EndivelugError or None
        Failure of the attempt before.
    """

    number: int
    failed: list[str]
    version: str | None
    error: EndivelugError | None

    @property
    def continues(self) -> bool:
        """Whether this is the first attempt since the caller got a token."""
        return self.version is not None and len(self.failed) <= 1


Choose = Callable[[Attempt], Awaitable[Target | None]]


@dataclass(slots=True, kw_only=True)
class StreamOpened:
    """The stream can be resumed under this id; sent again where it changes."""

    stream_id: str


@dataclass(slots=True, kw_only=True)
class StreamEvent:
    """One event for the caller; the last one has the data ``[DONE]``."""

    number: int
    data: str


@dataclass(slots=True, kw_only=True)
class StreamFailed:
    """The stream cannot be completed; the last event, instead of ``[DONE]``."""

    refusal: NotRun | MayHaveRun


RelayEvent = StreamOpened | StreamEvent | StreamFailed


def sse(event: RelayEvent) -> bytes:
    r"""Return the wire form of an event.

    Examples
    --------
    >>> sse(StreamEvent(number=3, data="[DONE]"))
    b'id: 3\ndata: [DONE]\n\n'
    """
    match event:
        case StreamOpened():
            # A comment, which clients that do not know it ignore.
            return f": stream-id {event.stream_id}\n\n".encode()
        case StreamEvent():
            return f"id: {event.number}\ndata: {event.data}\n\n".encode()
        case StreamFailed():
            _, document = problem_document(event.refusal)
            error = {"message": event.refusal.remedy, **document}
            return f"event: error\ndata: {json.dumps({'error': error})}\n\n".encode()


def explain_failure(
    *,
    error: EndivelugError | None,
    late: bool,
    may_have_run: bool,
    resumed_only: bool,
) -> NotRun | MayHaveRun:
    """Return the refusal for a stream that cannot be completed.

    Parameters
    ----------
    error : EndivelugError or None
        Failure of the last attempt.
    late : bool
        Whether the deadline has passed.
    may_have_run : bool
        Whether an engine may have started the request.
    resumed_only : bool
        Whether only the stream id is known, so that no other engine can continue.
    """
    if may_have_run:
        kind = "stream-not-held" if resumed_only else "stream-broken"
        return MayHaveRun(kind="deadline-exceeded" if late else kind, remedy=REPEAT)
    if late:
        remedy = "repeat the request with a later deadline"
        return NotRun(kind="deadline-exceeded", status=504, remedy=remedy)
    if isinstance(error, UpstreamRejected) and error.status in FINAL_REJECTIONS:
        remedy = f"correct the request; {error.reason}"
        return NotRun(kind="request-refused", status=error.status, remedy=remedy)
    remedy = "repeat the request later"
    return NotRun(kind="no-upstream", status=503, remedy=remedy, retry_after_s=1.0)
