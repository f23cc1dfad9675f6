"""State of one relayed stream: ordering, duplicates, resumption, continuation."""

import json
from dataclasses import dataclass, field
from typing import Any

from endivelug._sse import DONE, EngineEvent
from endivelug.exceptions import StreamTokenInvalid
from endivelug.stream_ids import StreamAddress

# Bounds the memory of a stream. The text of a longer stream is dropped; the stream can
# then be resumed at its engine but not continued at another one.
MAX_TEXT_CHARACTERS = 1024 * 1024


@dataclass(slots=True, kw_only=True)
class Deliver:
    """The event is the next one and is sent to the caller.

    Attributes
    ----------
    number : int
        Sequence number in the caller's stream.
    data : str
        Data of the event as sent to the caller.
    """

    number: int
    data: str


@dataclass(slots=True, kw_only=True)
class Skip:
    """The event is a duplicate or is not forwarded to the caller."""


@dataclass(slots=True, kw_only=True)
class Gap:
    """Events are missing before this one; resume the stream after ``resume_after``."""

    resume_after: int


AcceptResult = Deliver | Skip | Gap


@dataclass(slots=True, kw_only=True)
class StreamState:
    """Delivery state of one stream, from which it can be resumed or continued.

    Attributes
    ----------
    completion_id : str
        Completion id in the caller's events.
    wants_usage : bool
        Whether the caller requested the usage event.
    body : dict or None
        The caller's request; None if only the stream id is known.
    max_text_characters : int
        Length above which the delivered text is dropped.
    engine_stream_id : str
        Id of the stream at the current engine.
    attempts : int
        Number of attempts that were started.
    next_number : int
        Number of the caller's next event.
    offset : int
        Caller's event number minus the current engine's event number.
    next_engine_number : int
        Number of the next event expected from the current engine.
    delivered_tokens : int
        Generated tokens delivered by all engines together.
    tokens_before_attempt : int
        Tokens that were delivered before the current attempt.
    text : list of str or None
        Text delivered; None if it was dropped because of its length.
    is_plain_text : bool
        Whether only one choice of plain text was delivered, without tool calls; other
        output cannot be continued.
    finish_reason : str or None
        Finish reason; set once the caller has received it.
    created : int
        Creation time in the caller's first event.
    """

    completion_id: str
    wants_usage: bool
    body: dict[str, Any] | None
    max_text_characters: int = MAX_TEXT_CHARACTERS
    engine_stream_id: str = ""
    attempts: int = 0
    next_number: int = 0
    offset: int = 0
    next_engine_number: int = 0
    delivered_tokens: int = 0
    tokens_before_attempt: int = 0
    text: list[str] | None = field(default_factory=list)
    text_length: int = 0
    is_plain_text: bool = True
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    usage_sent: bool = False
    created: int = 0
    model: str = ""
    done: bool = False

    @classmethod
    def from_address(cls, *, stream: StreamAddress, after: int) -> "StreamState":
        """Create the state of a stream that another router relayed before.

        Parameters
        ----------
        stream : StreamAddress
            Location of the stream.
        after : int
            Number of the last event that the caller received; -1 for none.

        Raises
        ------
        StreamTokenInvalid
            If the engine does not have the event after that one.
        """
        first = stream.offset if stream.offset > 0 else -1
        if after < first:
            raise StreamTokenInvalid(
                "that event is from an earlier engine; repeat the request"
            )
        return cls(
            completion_id=stream.completion_id,
            wants_usage=stream.wants_usage,
            body=None,
            engine_stream_id=stream.engine_stream_id,
            next_number=after + 1,
            offset=stream.offset,
            next_engine_number=after + 1 - stream.offset,
        )

    def begin_attempt(self) -> dict[str, Any] | None:
        """Start an attempt at another engine and build its request.

        Returns
        -------
        body : dict or None
            Request with a new ``stream_id``; None if the stream cannot be continued
            at another engine.
        """
        if self.body is None or self.done:
            return None
        body = dict(self.body)
        if self.delivered_tokens:
            continued = self._continuation_request(body)
            if continued is None:
                return None
            body = continued
        # Each attempt has its own id, so that late events of an earlier attempt are
        # not mistaken for events of this one.
        self.attempts += 1
        suffix = f".{self.attempts}" if self.attempts > 1 else ""
        self.engine_stream_id = self.completion_id + suffix
        self.tokens_before_attempt = self.delivered_tokens
        self.next_engine_number = 0
        self.offset = self.next_number
        if self.next_number:
            # The engine's first event usually only names the role, which the caller
            # already has, and is then skipped.
            self.offset -= 1
        options = body.get("stream_options") or {}
        body["stream_options"] = {**options, "include_usage": True}
        body["stream_id"] = self.engine_stream_id
        body["stream"] = True
        return body

    def _continuation_request(self, body: dict[str, Any]) -> dict[str, Any] | None:
        if (
            self.text is None
            or not self.is_plain_text
            or body.get("n") not in (None, 1)
        ):
            return None
        messages = list(body["messages"])
        text = "".join(self.text)
        if body.get("continue_final_message") and messages:
            text = str(messages.pop()["content"]) + text
        messages.append({"role": "assistant", "content": text})
        body["messages"] = messages
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
        for name in ("max_tokens", "max_completion_tokens"):
            if body.get(name):
                body[name] = int(body[name]) - self.delivered_tokens
                if body[name] <= 0:
                    return None
        return body

    @property
    def resume_after(self) -> int:
        """Number of the last event received from the current engine."""
        return self.next_engine_number - 1

    def accept(self, event: EngineEvent) -> AcceptResult:
        """Apply an event of the current engine and classify it for the caller."""
        if event.number < self.next_engine_number:
            return Skip()
        if event.number > self.next_engine_number:
            return Gap(resume_after=self.resume_after)
        self.next_engine_number += 1
        if event.data == DONE:
            self.done = True
            return self._deliver(DONE)
        chunk = event.chunk
        usage = chunk.get("usage")
        if usage:
            self.usage = self._total_usage(usage)
        choices = chunk.get("choices") or []
        if not choices:
            if not (usage and self.wants_usage):
                # The caller's event numbers stay consecutive without this event.
                self.offset -= 1
                return Skip()
            self.usage_sent = True
            return self._deliver(
                self._with_completion_id({**chunk, "usage": self.usage})
            )
        first_event_of_continuation = self.attempts > 1 and event.number == 0
        self._record_choices(choices, usage)
        if not self.created:
            self.created = chunk.get("created", 0)
            self.model = chunk.get("model", "")
        if first_event_of_continuation and self.next_number:
            if not any(
                (choice.get("delta") or {}).get("content") for choice in choices
            ):
                return Skip()
            self.offset += 1
        if self.engine_stream_id == self.completion_id:
            return self._deliver(event.data)
        return self._deliver(self._with_completion_id(chunk))

    def _record_choices(self, choices: list[Any], usage: dict[str, Any] | None) -> None:
        for choice in choices:
            delta = choice.get("delta") or {}
            if choice.get("index", 0) != 0 or set(delta) - {"role", "content"}:
                self.is_plain_text = False
            content = delta.get("content")
            if content:
                self.delivered_tokens += 1
                self._append_text(content)
            if choice.get("finish_reason"):
                self.finish_reason = choice["finish_reason"]
        if usage and usage.get("completion_tokens"):
            # The usage member gives the exact count if events hold several tokens.
            self.delivered_tokens = self.tokens_before_attempt + int(
                usage["completion_tokens"]
            )

    def _append_text(self, content: str) -> None:
        if self.text is None or self.body is None:
            return
        self.text_length += len(content)
        if self.text_length > self.max_text_characters:
            self.text = None
        else:
            self.text.append(content)

    def _total_usage(self, usage: dict[str, Any]) -> dict[str, Any]:
        earlier = self.tokens_before_attempt
        prompt = int(usage.get("prompt_tokens", 0)) - earlier
        generated = int(usage.get("completion_tokens", 0)) + earlier
        return {
            **usage,
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
        }

    def _deliver(self, data: str) -> Deliver:
        number = self.next_number
        self.next_number += 1
        return Deliver(number=number, data=data)

    def _with_completion_id(self, chunk: dict[str, Any]) -> str:
        names: dict[str, Any] = {"id": self.completion_id}
        if self.created:
            names["created"] = self.created
        return json.dumps({**chunk, **names})

    @property
    def can_continue(self) -> bool:
        """Whether another engine can continue the stream."""
        body = self.body
        if body is None or self.done:
            return False
        return (
            not self.delivered_tokens
            or self._continuation_request(dict(body)) is not None
        )

    @property
    def can_complete_locally(self) -> bool:
        """Whether all tokens were delivered and only the final events are missing."""
        body = self.body or {}
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        exhausted = bool(max_tokens) and self.delivered_tokens >= int(max_tokens or 0)
        return self.finish_reason is not None or exhausted

    def complete_locally(self) -> list[Deliver] | None:
        """Generate the final events of a stream whose tokens were all delivered.

        Returns
        -------
        events : list of Deliver or None
            The remaining events; None if tokens may be missing.
        """
        if self.done:
            return []
        if not self.can_complete_locally:
            return None
        body = self.body or {}
        events = []
        if self.finish_reason is None:
            self.finish_reason = "length"
            choice = {"index": 0, "delta": {}, "finish_reason": "length"}
            events.append(self._deliver(self._local_chunk([choice])))
        if self.usage is None:
            # The engine is unreachable and only it knew the exact prompt length.
            prompt = sum(int(tokens) for _, tokens in body.get("prefix", []))
            self.usage = {
                "prompt_tokens": prompt,
                "completion_tokens": self.delivered_tokens,
                "total_tokens": prompt + self.delivered_tokens,
            }
        if self.wants_usage and not self.usage_sent:
            events.append(self._deliver(self._local_chunk([], usage=self.usage)))
        self.done = True
        events.append(self._deliver(DONE))
        return events

    def response_document(self, text: str) -> dict[str, Any]:
        """Build the response to a caller that did not request a stream."""
        message = {"role": "assistant", "content": text}
        reason = self.finish_reason
        return {
            "id": self.completion_id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": reason}],
            "usage": self.usage,
        }

    def _local_chunk(self, choices: list[Any], **members: Any) -> str:
        chunk = {
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": choices,
            **members,
        }
        return self._with_completion_id(chunk)
