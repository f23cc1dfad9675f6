"""Splitting of a response into complete server-sent events, and their ids.

Only complete events are forwarded. Otherwise a stream that continues at another engine
could contain a partial event of the first one.
"""

import re
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_MAX_END_BYTES = 4


@dataclass(slots=True, kw_only=True)
class EventSplitter:
    r"""Incremental splitter of server-sent events.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event that has one, as sent by the engine.
    overflow : bool
        Whether the partial event exceeds ``MAX_EVENT_BYTES``.
    goes_back : bool
        Whether an event came whose id is not above the last one; it and the events
        after it are dropped.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.last_id
    '1'
    """

    partial: bytearray = field(default_factory=bytearray)
    last_id: str | None = None
    overflow: bool = False
    goes_back: bool = False

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that they complete."""
        # The partial event holds no end, but may hold the start of one.
        search_from = max(0, len(self.partial) - _MAX_END_BYTES + 1)
        self.partial += data
        events = []
        begin = 0
        for match in _EVENT_END.finditer(self.partial, search_from):
            event = bytes(self.partial[begin : match.end()])
            begin = match.end()
            event_id = _event_id(event)
            self.goes_back = self.goes_back or _goes_back(self.last_id, event_id)
            if self.goes_back:
                break
            self.last_id = event_id or self.last_id
            events.append(event)
        del self.partial[:begin]
        self.overflow = len(self.partial) > MAX_EVENT_BYTES
        return events

    def discard_partial(self) -> None:
        """Discard an event that the engine did not complete."""
        self.partial.clear()
        self.goes_back = False


def _goes_back(last_id: str | None, event_id: str | None) -> bool:
    """Return whether an id is a number that is not above the last one."""
    if last_id is None or event_id is None:
        return False
    if not (last_id.isdecimal() and event_id.isdecimal()):
        return False
    # Compares numbers of any length without converting them.
    last, new = last_id.lstrip("0"), event_id.lstrip("0")
    return (len(new), new) <= (len(last), last)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
