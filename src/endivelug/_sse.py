"""Strict parser of the server-sent events of engines."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from endivelug.exceptions import UpstreamBroken

DONE = "[DONE]"
MAX_EVENT_BYTES = 256 * 1024


@dataclass(slots=True, kw_only=True)
class EngineEvent:
    """One event of an engine's stream.

    Attributes
    ----------
    number : int
        Sequence number in the engine's stream, from 0.
    data : str
        Data of the event: a JSON document or ``[DONE]``.
    chunk : dict
        The parsed document; empty for ``[DONE]``.
    """

    number: int
    data: str
    chunk: dict[str, Any]

    @property
    def done(self) -> bool:
        """Whether this is the last event."""
        return self.data == DONE


class SseParser:
    r"""Incremental parser of numbered server-sent events.

    Parameters
    ----------
    expected_number : int
        Number of the next event.
    stream_id : str
        Stream id that every document must carry.

    Examples
    --------
    >>> parser = SseParser(expected_number=0, stream_id="s")
    >>> list(parser.feed(b'id: 0\ndata: {"id": "s"}'))
    []
    >>> [event.number for event in parser.feed(b"\n\n")]
    [0]
    """

    def __init__(self, *, expected_number: int, stream_id: str) -> None:
        self.expected_number = expected_number
        self.stream_id = stream_id
        self.partial = bytearray()

    def feed(self, data: bytes) -> Iterator[EngineEvent]:
        """Yield the events that are complete with ``data``.

        Raises
        ------
        UpstreamBroken
            If an event is malformed or too long, has an unexpected number or belongs
            to another stream.
        """
        self.partial += data
        if b"\r" in self.partial:
            self.partial = self.partial.replace(b"\r\n", b"\n")
        while (end := self.partial.find(b"\n\n")) >= 0:
            block = bytes(self.partial[:end])
            del self.partial[: end + 2]
            event = self._parse(block)
            if event is not None:
                yield event
        if len(self.partial) > MAX_EVENT_BYTES:
            raise UpstreamBroken(
                "received an event above the size limit; check the engine"
            )

    def _parse(self, block: bytes) -> EngineEvent | None:
        number: int | None = None
        lines: list[str] = []
        try:
            for line in block.decode().split("\n"):
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "id":
                    number = int(value)
                elif name == "data":
                    lines.append(value)
            if not lines:
                return None
            data = "\n".join(lines)
            chunk = {} if data == DONE else json.loads(data)
        except (ValueError, RecursionError) as error:
            raise UpstreamBroken(
                "received a malformed event; check the engine"
            ) from error
        if number != self.expected_number:
            raise UpstreamBroken(
                f"received event {number}, expected {self.expected_number}; "
                "resume the stream"
            )
        if data != DONE and (
            not isinstance(chunk, dict) or chunk.get("id") != self.stream_id
        ):
            raise UpstreamBroken(
                "received an event of another stream; resume the stream"
            )
        self.expected_number += 1
        return EngineEvent(number=number, data=data, chunk=chunk)
