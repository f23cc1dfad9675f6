"""Decoded requests of callers, the options of each send, and the wire format."""

from dataclasses import dataclass, field
from typing import Protocol

from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.upstream_connection import (
    Headers,
    RequestHead,
    ResponseHead,
)


@dataclass(slots=True, kw_only=True)
class InboundRequest:
    """One request of a caller.

    Attributes
    ----------
    target : str
        Path and query as received.
    headers : list of (str, str)
        Headers to pass on, without hop-by-hop headers and those that the router sets.
    deadline : float
        Time until which the caller waits; infinite if the request has no deadline.
    model : str or None
        Model of a generation.
    states_tokens : bool
        Whether the caller states the tokens of prompt and output.
    last_event : str or None
        Id of the event after which the caller wants to resume a stream.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    key: str | None
    received_at: float
    deadline: float
    model: str | None = None
    prompt: list[PromptSegment] = field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0
    states_tokens: bool = False
    last_event: str | None = None
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def total_tokens(self) -> int:
        """Tokens of the prompt and of the longest output."""
        return self.prompt_tokens + self.output_tokens


@dataclass(slots=True, kw_only=True, frozen=True)
class SendOptions:
    """Options that the router sets when it sends a request to an upstream.

    Attributes
    ----------
    instance : str
        Name of the only instance that may run the request.
    remaining_s : float
        Time that remains for the upstream to respond.
    weights : int or None
        Weights version on which the request has to run.
    cache_namespace : str or None
        Namespace within which cached prompts are shared.
    fetch_from, save_to : str or None
        Address from which to copy cached segments, and address at which to store new
        ones.
    backup_to : str or None
        Address of the engine that gets a backup of the run while it proceeds.
    continue_at : str or None
        Address of the engine that has a backup of the run from which to continue.
    """

    instance: str
    remaining_s: float
    organisation: str | None = None
    weights: int | None = None
    cache_namespace: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    priority: int | None = None
    last_event: str | None = None
    backup_to: str | None = None
    continue_at: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseInfo:
    """Information about the run from the head of a response.

    Attributes
    ----------
    not_run : bool
        Whether the upstream states that it did not run the request.
    signed : bool
        Whether the head carries the upstream's signature.
    weights : int or None
        Weights version on which the request ran.
    idle_s : float or None
        Idle timeout of the connection, if the upstream states one.
    other_instance : bool
        Whether an instance other than the intended one responded.
    identified : bool
        Whether the response names the request to which it belongs.
    retry_after_s : float or None
        Time for which a refusing upstream wants no requests from this VM.
    invalid_retry_after : str or None
        Beginning of the stated time, if it cannot be used.
    leaving : bool
        Whether the upstream states that it is about to stop.
    own : bool
        Whether the intended instance responded, as far as the response tells.
    limit_per_s : float or None
        Requests a second that the upstream takes from all VMs together.
    invalid_limit : str or None
        Beginning of the stated limit, if it is no number.
    """

    not_run: bool
    signed: bool
    weights: int | None
    idle_s: float | None
    other_instance: bool = False
    identified: bool = True
    retry_after_s: float | None = None
    invalid_retry_after: str | None = None
    leaving: bool = False
    own: bool = True
    limit_per_s: float | None = None
    invalid_limit: str | None = None


class WireFormat(Protocol):
    """Header names and formats between callers, router and upstreams."""

    def decode_request(
        self, *, method: str, target: str, headers: Headers, now: float
    ) -> InboundRequest:
        """Decode the head of a request; raise ``BadRequest`` if it is invalid."""

    def upstream_head(
        self, request: InboundRequest, options: SendOptions
    ) -> RequestHead:
        """Return the head to send to an upstream."""

    def matches_request(self, request: InboundRequest, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request."""

    def response_info(self, head: ResponseHead, *, instance: str) -> ResponseInfo:
        """Return the information about the run from the head of a response."""

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers to pass on to the caller."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a refusal that the router itself sends."""
