"""Parsing and validation of chat completion requests."""

import json
from dataclasses import dataclass
from typing import Any

from endivelug.exceptions import EndivelugError

DEFAULT_MAX_TOKENS = 1024
MAX_MAX_TOKENS = 131072
MAX_MESSAGES = 1024
# Far above the nesting of real tool schemas, and below the depth at which the JSON
# encoder fails.
MAX_DEPTH = 100
# Members that the router sets on requests to engines; a value from the caller would
# select another cache, priority or stream.
RESERVED_MEMBERS = frozenset(
    {
        "cache_salt",
        "prefix",
        "stream_id",
        "priority",
        "import_keys",
        "continue_final_message",
    }
)


class RequestInvalid(EndivelugError):
    """The body of a request is malformed; the message says what to send."""


@dataclass(slots=True, kw_only=True)
class ChatRequest:
    """A validated request.

    Attributes
    ----------
    model : str
        Model name, without the adapter.
    adapter : str
        Adapter name; empty for none. Callers write ``model:adapter``.
    messages : list of dict
        Messages as sent, with their content joined into one string. All members are
        retained, because each can change the prompt that the engine caches.
    max_tokens : int
        Maximum number of tokens to generate.
    extra : dict
        Members that are passed to the engine unchanged.
    """

    model: str
    adapter: str
    messages: list[dict[str, Any]]
    stream: bool
    include_usage: bool
    max_tokens: int
    extra: dict[str, Any]


def _parse_message(item: Any, location: str) -> dict[str, Any]:
    if not isinstance(item, dict) or not isinstance(item.get("role"), str):
        raise RequestInvalid(f"{location}: send an object with role and content")
    content = item.get("content")
    if isinstance(content, list):
        texts = [
            part["text"]
            for part in content
            if isinstance(part, dict)
            and part.get("type") == "text"
            and isinstance(part.get("text"), str)
        ]
        if len(texts) != len(content):
            raise RequestInvalid(f"{location}: send content as text parts only")
        content = "".join(texts)
    if not isinstance(content, str):
        raise RequestInvalid(f"{location}: send content as a string")
    return {**item, "content": content}


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def _check_encodable(document: dict[str, Any], body: bytes) -> None:
    """Reject documents that the parser accepts but the encoder cannot write."""
    level: list[Any] = [document]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]
        if not level:
            break
    else:
        raise RequestInvalid(f"send members nested at most {MAX_DEPTH} deep")
    if b"\\ud" in body or b"\\uD" in body:
        try:
            json.dumps(document, ensure_ascii=False).encode()
        except UnicodeEncodeError as error:
            raise RequestInvalid("send surrogates only in pairs") from error


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse and validate the body of ``POST /v1/chat/completions``.

    Raises
    ------
    RequestInvalid
        If a member is missing or has the wrong type.

    Examples
    --------
    >>> body = b'{"model": "m:a", "messages": [{"role": "user", "content": "x"}]}'
    >>> request = parse_chat_request(body)
    >>> request.model, request.adapter, request.stream
    ('m', 'a', False)
    """
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise RequestInvalid("send a JSON object as the body") from error
    if not isinstance(document, dict):
        raise RequestInvalid("send a JSON object as the body")
    _check_encodable(document, body)
    name = document.pop("model", None)
    if not isinstance(name, str) or not name:
        raise RequestInvalid("model: send the name of a model from /v1/models")
    listed = document.pop("messages", None)
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_MESSAGES:
        raise RequestInvalid(f"messages: send 1 to {MAX_MESSAGES} messages")
    messages = [
        _parse_message(item, f"messages[{number}]")
        for number, item in enumerate(listed)
    ]
    stream = document.pop("stream", False)
    if not isinstance(stream, bool):
        raise RequestInvalid("stream: send true or false")
    options = document.pop("stream_options", None) or {}
    if not isinstance(options, dict):
        raise RequestInvalid("stream_options: send an object")
    max_tokens = document.pop("max_completion_tokens", None)
    if max_tokens is None:
        max_tokens = document.pop("max_tokens", None)
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if type(max_tokens) is not int or not 0 < max_tokens <= MAX_MAX_TOKENS:
        raise RequestInvalid(f"max_tokens: send a number from 1 to {MAX_MAX_TOKENS}")
    count = document.pop("n", 1)
    if count != 1:
        raise RequestInvalid("n: only one choice is supported; send 1")
    reserved = RESERVED_MEMBERS & document.keys()
    if reserved:
        raise RequestInvalid(f"{', '.join(sorted(reserved))}: remove these members")
    model, _, adapter = name.partition(":")
    return ChatRequest(
        model=model,
        adapter=adapter,
        messages=messages,
        stream=stream,
        include_usage=bool(options.get("include_usage", False)),
        max_tokens=max_tokens,
        extra=document,
    )
