"""Caller's side of one stream: collects its events and checks them."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from endivelug.standin_engine import expected_text

PROMPT = "Style guide: sizes are in centimetres, colours in words. " * 60


class CallerLeft(Exception):
    """Raised when the caller closes its connection before the stream ends."""


@dataclass(slots=True, kw_only=True)
class CallerStream:
    """One stream as its caller receives it, compared with the expected answer.

    Attributes
    ----------
    tokens : int
        Number of tokens that the answer should have.
    leave_after : int or None
        Event id after which the caller leaves; None to read to the end.
    pause_s : float
        Pause after each read, which makes the caller slow.
    expected : str
        Text of the complete answer.
    last_event_id : int
        Id of the last event; -1 before the first.
    done : bool
        Whether ``[DONE]`` arrived.
    gaps : int
        Events whose id doesn't follow the previous one, or that came after the end.
    outcome : str
        ``complete``, ``error`` (an explicit error), ``refused`` (not run), ``lost``
        (the connection broke), ``left`` or ``unmarked`` (the response ended normally
        before the end of the answer, without an error).
    """

    name: str
    tokens: int
    leave_after: int | None
    pause_s: float
    messages: list[dict[str, str]] = field(init=False)
    expected: str = field(init=False)
    buffer: bytes = b""
    stream_id: str = ""
    last_event_id: int = -1
    completion_ids: set[str] = field(default_factory=set)
    text: str = ""
    done: bool = False
    error: str = ""
    retry_after_s: float = 0.0
    gaps: int = 0
    resumes: int = 0
    repeats: int = 0
    outcome: str = ""
    started_at: float = field(default_factory=time.monotonic)
    ended_at: float = 0.0
    routers: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.messages = [
            {"role": "system", "content": PROMPT},
            {"role": "user", "content": f"question {self.name}"},
        ]
        self.expected = expected_text(
            messages=self.messages, model="chat", version="1", tokens=self.tokens
        )

    async def feed(self, data: bytes) -> None:
        """Process bytes of the response; raise `CallerLeft` after ``leave_after``."""
        self.buffer += data
        while b"\n\n" in self.buffer:
            block, _, self.buffer = self.buffer.partition(b"\n\n")
            self.apply_event(block.decode())
        if self.leave_after is not None and self.last_event_id >= self.leave_after:
            raise CallerLeft
        if self.pause_s:
            await asyncio.sleep(self.pause_s)

    def apply_event(self, block: str) -> None:
        """Process one event or comment of the stream."""
        if block.startswith(": stream-id "):
            self.stream_id = block.removeprefix(": stream-id ")
            return
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        data = fields["data"]
        if fields.get("event") == "error":
            self.error = json.loads(data)["error"]["title"]
            return
        event_id = int(fields["id"])
        self.gaps += event_id != self.last_event_id + 1 or self.done
        self.last_event_id = event_id
        if data == "[DONE]":
            self.done = True
            return
        chunk = json.loads(data)
        self.completion_ids.add(chunk["id"])
        for choice in chunk["choices"]:
            self.text += choice["delta"].get("content", "")

    def find_errors(self) -> dict[str, bool]:
        """Return for each kind of error whether the received events show it."""
        prefix = self.expected.startswith(self.text)
        foreign = set(self.text.split()) - set(self.expected.split())
        return {
            "incomplete_unmarked": self.outcome == "unmarked"
            or (self.done and self.text != self.expected),
            "reordered": bool(self.gaps) or (not prefix and not foreign),
            "crossed": bool(foreign) or len(self.completion_ids) > 1,
        }
