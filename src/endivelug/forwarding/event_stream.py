"""Whole server-sent events from the bytes of an answer, with their ids.

Only whole events are passed on, so that an answer can go on at another engine without
a piece of an event left over from the first one.
"""

from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1024 * 1024


@dataclass(slots=True, kw_only=True)
class EventSplitter:
    r"""Incremental splitter.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event, as sent by the engine.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.last_id
    '1'
    """

    rest: bytearray = field(default_factory=bytearray)
    last_id: str | None = None
    overflow: bool = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that the bytes complete."""
        self.rest += data
        events = []
        while (end := _event_end(self.rest)) is not None:
            event = bytes(self.rest[:end])
            del self.rest[:end]
            self.last_id = _event_id(event) or self.last_id
            events.append(event)
        self.overflow = len(self.rest) > MAX_EVENT_BYTES
        return events

    def discard_partial(self) -> None:
        """Drop an event that an engine did not finish."""
        self.rest.clear()


def _event_end(data: bytearray) -> int | None:
    plain = data.find(b"\n\n")
    crlf = data.find(b"\r\n\r\n")
    if plain < 0 and crlf < 0:
        return None
    if crlf < 0 or (0 <= plain < crlf):
        return plain + 2
    return crlf + 4


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
