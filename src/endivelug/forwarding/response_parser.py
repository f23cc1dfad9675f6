"""Parsing of an upstream's response in steps of bounded work.

An upstream may send bytes of any form, also without end. One read can hold tens of
thousands of tiny chunks, so that the caller of a step decides when the next one is due.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass

import h11

MAX_HEAD_BYTES = 64 * 1024
# Longest body of a response that is kept in memory as a whole, or skipped. A faulty
# upstream may send bytes without end.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Interim responses and responses to other requests that may precede the own one.
MAX_OTHER_RESPONSES = 64
# Bounds of one step: bytes that are given to the parser, and parts that it finds.
STEP_BYTES = 16 * 1024
STEP_PARTS = 64

# What must not stand in a header or in the reason; h11 lets most of it pass.
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

Headers = list[tuple[str, str]]


class ResponseInvalid(Exception):
    """The bytes are not a response to the request; close the connection."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseHead:
    """Status line and headers of a response; header names are in lower case."""

    status: int
    reason: str
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def media_type(self) -> str:
        """Type of the body without parameters, in lower case; empty if not stated."""
        return (self.get("content-type") or "").partition(";")[0].strip().lower()

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return self.media_type == "text/event-stream"

    def continues(self, begun: "ResponseHead") -> bool:
        """Return whether this is a response of the kind that has begun before."""
        return (begun.status, begun.media_type) == (self.status, self.media_type)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks."""
        return (
            self.get("content-length") is None and self.get("transfer-encoding") is None
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyData:
    """A part of the response body."""

    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyEnd:
    """The end of a complete response."""


ResponseEvent = ResponseHead | BodyData | BodyEnd


def new_parser() -> h11.Connection:
    """Return the client side of a connection before its request."""
    return h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _values(head: ResponseHead) -> list[str]:
    return [value for _, value in head.headers]


class ResponseParser:
    """Finds the response to one request in the bytes of a connection.

    Parameters
    ----------
    parser : h11.Connection
        Client side of the connection, by which the request was encoded.
    method : str
        Method of the request.
    accepts : callable
        Returns whether a response belongs to the request; others are skipped.

    Attributes
    ----------
    complete : bool
        Whether the response has ended.
    keep_alive : bool
        Whether the connection can carry another request after the response.
    """

    def __init__(
        self,
        *,
        parser: h11.Connection,
        method: str,
        accepts: Callable[[ResponseHead], bool],
    ) -> None:
        self.method = method
        self.accepts = accepts
        self.complete = False
        self.keep_alive = False
        self._parser = parser
        self._unparsed = bytearray()
        self._needs_data = True
        self._at_end = False
        self._end_parsed = False
        self._skipping = False
        self._skipped_bytes = 0
        self._other_responses = 0

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed += data

    def receive_end(self) -> None:
        """Record that the upstream has closed the connection."""
        self._at_end = True

    @property
    def unparsed_bytes(self) -> int:
        """Bytes received and not yet given to the parser."""
        return len(self._unparsed)

    @property
    def has_work(self) -> bool:
        """Whether another step may find something in what was received."""
        if self.complete:
            return False
        unread_end = self._at_end and not self._end_parsed
        return bool(self._unparsed) or unread_end or not self._needs_data

    def step(self) -> tuple[list[ResponseEvent], int]:
        """Parse a bounded amount of the received bytes.

        Returns
        -------
        events : list of ResponseEvent
            What they hold; adjacent parts of the body are joined.
        parts : int
            Number of parts that were parsed, each of which costs about the same time.

        Raises
        ------
        ResponseInvalid
            If the bytes are not valid HTTP, or hold too much that is no response to
            the request.
        """
        events: list[ResponseEvent] = []
        body = bytearray()
        parts = 0
        try:
            self._feed()
            while parts < STEP_PARTS and not self.complete:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._needs_data = True
                    break
                parts += 1 + len(getattr(event, "headers", ()))
                self._handle(event, events, body)
        except h11.ProtocolError as error:
            raise ResponseInvalid(f"the answer is not valid HTTP ({error})") from error
        if body:
            events.append(BodyData(data=bytes(body)))
        if self.complete:
            events.append(BodyEnd())
        return events, parts

    def _feed(self) -> None:
        if not self._needs_data:
            return
        if self._unparsed:
            self._parser.receive_data(bytes(self._unparsed[:STEP_BYTES]))
            del self._unparsed[:STEP_BYTES]
        elif self._at_end and not self._end_parsed:
            self._end_parsed = True
            self._parser.receive_data(b"")
        self._needs_data = False

    def _handle(
        self, event: object, events: list[ResponseEvent], body: bytearray
    ) -> None:
        match event:
            case h11.InformationalResponse():
                self._count_other_response()
            case h11.Response():
                self._on_head(event, events)
            case h11.Data():
                self._on_data(event, body)
            case h11.EndOfMessage():
                self._on_end()
            case h11.ConnectionClosed():
                raise ResponseInvalid("the connection was closed before the answer")
            case _:
                raise ResponseInvalid("the answer switches to another protocol")

    def _on_head(self, event: h11.Response, events: list[ResponseEvent]) -> None:
        head = ResponseHead(
            status=event.status_code,
            reason=bytes(event.reason).decode("latin-1"),
            headers=[
                (bytes(name).decode("latin-1"), bytes(value).decode("latin-1"))
                for name, value in event.headers
            ],
        )
        if any(_CONTROL.search(text) for text in (head.reason, *_values(head))):
            raise ResponseInvalid("the head of an answer holds control characters")
        self._skipping = not self.accepts(head)
        if self._skipping:
            self._count_other_response()
        else:
            events.append(head)

    def _on_data(self, event: h11.Data, body: bytearray) -> None:
        if not self._skipping:
            body += event.data
            return
        self._skipped_bytes += len(event.data)
        if self._skipped_bytes > MAX_RESPONSE_BYTES:
            raise ResponseInvalid("an answer to another request is too long")

    def _on_end(self) -> None:
        trailing, closed = self._parser.trailing_data
        if not self._skipping:
            self.complete = True
            self.keep_alive = (
                self._parser.their_state is h11.DONE
                and self._parser.our_state is h11.DONE
                and not trailing
                and not self._unparsed
            )
            return
        self._skipping = False
        self._parser = new_parser()
        # Of the request, only the method matters to the reading side.
        self._parser.send(
            h11.Request(method=self.method, target="/", headers=[("host", "skipped")])
        )
        self._parser.send(h11.EndOfMessage())
        self._unparsed[:0] = trailing
        self._needs_data = True
        self._end_parsed = self._end_parsed and not closed
        self._feed()

    def _count_other_response(self) -> None:
        self._other_responses += 1
        if self._other_responses > MAX_OTHER_RESPONSES:
            raise ResponseInvalid("too many answers to other requests")
