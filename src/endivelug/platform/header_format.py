"""Headers of callers' requests and upstreams' responses."""

import re

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.requests import (
    InboundRequest,
    ResponseInfo,
    SendOptions,
)
from endivelug.forwarding.upstream_connection import (
    Headers,
    RequestHead,
    ResponseHead,
)

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that only the router sets; a caller's value is dropped.
ROUTER_HEADERS = frozenset(
    {
        "x-credential",
        "x-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-tenant",
        "x-cache-salt",
        "x-kv-fetch",
        "x-kv-save",
        "x-kv-backup",
        "kv-from",
        "x-hold",
        "x-pin-ms",
        "x-request-priority",
        "last-event-id",
        "content-length",
        "expect",
        "host",
    }
)
# Numbers with more digits are not exact for most readers.
MAX_NUMBER_DIGITS = 15
# Longest part of an unusable value that is kept for the log.
MAX_LOGGED_VALUE = 40
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)


class BadRequest(EndivelugError):
    """A header of the request is missing or malformed; correct it."""


class HeaderFormat:
    """Decodes and builds the platform's headers; implements ``WireFormat``."""

    def decode_request(
        self, *, method: str, target: str, headers: Headers, now: float
    ) -> InboundRequest:
        """Decode the head of a caller's request."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get("x-request-id", "")
        if not request_id:
            raise BadRequest("the request has no id")
        if not target.isascii():
            raise BadRequest("the path has characters that must be percent-encoded")
        dropped = HOP_BY_HOP | ROUTER_HEADERS | _connection_names(values)
        request = InboundRequest(
            id=request_id,
            method=method,
            target=target,
            host=values.get("host", ""),
            headers=[
                (name, value) for name, value in headers if name.lower() not in dropped
            ],
            key=_text(values.get("x-credential")),
            received_at=now,
            deadline=now + _seconds_from_ms(values.get("x-deadline-ms")),
            model=_text(values.get("x-model")),
            last_event=values.get("last-event-id"),
        )
        _decode_prompt(request, values)
        return request

    def upstream_head(
        self, request: InboundRequest, options: SendOptions
    ) -> RequestHead:
        """Return the head of the request to send to an upstream."""
        headers = [("Host", request.host), *request.headers]
        left_ms = max(1, int(options.remaining_s * 1000))
        headers.append(("X-Deadline-Ms", str(left_ms)))
        headers.append(("X-Expect-Instance", options.instance))
        optional = (
            ("X-Tenant", _header_value(options.organisation)),
            ("X-Expect-Version", options.weights),
            ("X-Cache-Salt", _header_value(options.cache_namespace)),
            ("X-Kv-Fetch", options.fetch_from),
            ("X-Kv-Save", options.save_to),
            ("X-Request-Priority", options.priority),
            ("Last-Event-Id", options.last_event),
            ("X-Kv-Backup", options.backup_to),
            ("Kv-From", _backup_id(request, options)),
        )
        headers += [(name, str(value)) for name, value in optional if value is not None]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(request.body))))
        return RequestHead(
            method=request.method, target=request.target, headers=headers
        )

    def matches_request(self, request: InboundRequest, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request.

        An error without an id may belong to it; ``ResponseInfo.identified`` tells.
        """
        request_id = head.get("x-request-id")
        if request_id is not None:
            return request_id == request.id
        return not 200 <= head.status < 300

    def response_info(self, head: ResponseHead, *, instance: str) -> ResponseInfo:
        """Return what the head of an instance's response states about the run."""
        responder = head.get("x-instance-id")
        weights = head.get("x-weight-versions")
        idle = _KEEP_ALIVE_TIMEOUT.search(head.get("keep-alive") or "")
        # What another instance at the address states does not concern this one.
        own = responder in (None, instance) and head.status != 421
        retry_after = head.get("retry-after") if own and head.status == 503 else None
        retry_after_s = _decimal(retry_after)
        limit = head.get("server-limit") if own else None
        limit_per_s = _decimal(limit)
        return ResponseInfo(
            not_run=head.status == 421 or head.get("x-not-executed") is not None,
            signed=head.get("x-response-seal") is not None,
            weights=_version(weights),
            idle_s=float(idle[1]) if idle else None,
            other_instance=head.status == 421 and responder not in (None, instance),
            identified=head.get("x-request-id") is not None,
            retry_after_s=retry_after_s,
            invalid_retry_after=retry_after[:MAX_LOGGED_VALUE]
            if retry_after is not None and retry_after_s is None
            else None,
            leaving=own and (head.get("server-leaving") or "").strip() == "1",
            own=own,
            limit_per_s=limit_per_s,
            invalid_limit=limit[:MAX_LOGGED_VALUE]
            if limit is not None and limit_per_s is None
            else None,
        )

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the response headers to forward to the caller."""
        connection_names = _connection_names(dict(head.headers))
        dropped = HOP_BY_HOP | connection_names | {"content-length"}
        return [(name, value) for name, value in head.headers if name not in dropped]

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a response that the router generates itself."""
        headers = [("Content-Type", "application/problem+json")]
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        return headers


def _backup_id(request: InboundRequest, options: SendOptions) -> str | None:
    # The platform identifies a backup of a run by the address of the engine that keeps
    # it and the request's id.
    if options.continue_at is None:
        return None
    return f"{options.continue_at}/{request.id}"


def _text(value: str | None) -> str | None:
    """Return the text in a header, whose bytes are read as Latin-1, if it is UTF-8."""
    if value is None or value.isascii():
        return value
    try:
        return value.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return value


def _header_value(text: str | None) -> str | None:
    """Return a text as the value of a header: its bytes in UTF-8, read as Latin-1."""
    return None if text is None else text.encode("utf-8").decode("latin-1")


def _version(text: str | None) -> int | None:
    """Return a version in a header, or None if there is no usable one."""
    if text is None or not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)


def _decimal(text: str | None) -> float | None:
    """Return the number in a header, or None if it is no plain decimal number."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def _connection_names(values: dict[str, str]) -> set[str]:
    """Return the names of the headers that the ``Connection`` header lists."""
    return {
        name.strip().lower() for name in values.get("connection", "").split(",") if name
    }


def _seconds_from_ms(text: str | None) -> float:
    if text is None:
        return float("inf")
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise BadRequest("the time limit is not a number") from None


def _decode_prompt(request: InboundRequest, values: dict[str, str]) -> None:
    try:
        # Number of prompt tokens, then the largest number of tokens to generate.
        usage = values.get("x-token-usage")
        if usage:
            request.states_tokens = True
            prompt, _, output = usage.partition(",")
            request.prompt_tokens = _size(prompt)
            request.output_tokens = _size(output or "0")
        for entry in filter(None, values.get("x-prompt-prefix", "").split(",")):
            segment, _, tokens = entry.strip().partition(":")
            request.prompt.append(
                PromptSegment(segment_id=segment, tokens=_size(tokens))
            )
    except ValueError:
        raise BadRequest("the sizes of the prompt are not whole numbers") from None
    if not request.prompt_tokens:
        request.prompt_tokens = sum(segment.tokens for segment in request.prompt)


def _size(text: str) -> int:
    digits = text.strip()
    if not digits.isdecimal() or len(digits) > MAX_NUMBER_DIGITS:
        raise ValueError(digits[:MAX_NUMBER_DIGITS])
    return int(digits)
