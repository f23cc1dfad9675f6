"""A caller's request as decoded, and what the router decides for each send of it."""

from dataclasses import dataclass, field
from typing import Protocol

from endivelug.forwarding.prompt_cache import PromptPart
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
        Path and query as sent.
    headers : list of (str, str)
        Headers to pass on; those of one connection and those that the router sets are
        left out.
    deadline : float
        Absolute time until which the caller waits; infinite where it names none.
    model : str or None
        Model of a generation.
    last_event : str or None
        Id after which the caller wants a stream to go on.
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
    prompt: list[PromptPart] = field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: str | None = None
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(slots=True, kw_only=True, frozen=True)
class SendOptions:
    """What the router sets on one send of a request.

    Attributes
    ----------
    instance : str
        Name of the only instance that may run it.
    left_s : float
        Time that the upstream has.
    weights : int or None
        Version of the weights that it has to run on.
    cache_namespace : str or None
        Cached prompts are shared only within it.
    fetch_from, save_to : str or None
        Addresses from which cached parts are copied, and where new ones are kept.
    backup_to : str or None
        Address of the engine that gets a copy of the run as it grows.
    continue_at : str or None
        Address of the engine that holds such a copy of this request's run.
    """

    instance: str
    left_s: float
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
class AnswerFacts:
    """What the head of an answer says about the run.

    Attributes
    ----------
    not_run : bool
        The upstream states that it did not run the request.
    sealed : bool
        Whether it bears the upstream's signature.
    weights : int or None
        Version of the weights of the run.
    idle_s : float or None
        Idle timeout of the connection as stated.
    moved : bool
        Whether another instance answered.
    """

    not_run: bool
    sealed: bool
    weights: int | None
    idle_s: float | None
    moved: bool = False


class WireFormat(Protocol):
    """Names and formats of callers and upstreams on the wire."""

    def decode_request(
        self, *, method: str, target: str, headers: Headers, now: float
    ) -> InboundRequest:
        """Decode the head of a request; raise ``BadRequest`` where it is invalid."""

    def upstream_head(
        self, request: InboundRequest, options: SendOptions
    ) -> RequestHead:
        """Return the head to send to an upstream."""

    def belongs(self, request: InboundRequest, head: ResponseHead) -> bool:
        """Return whether an answer is one to this request."""

    def facts(self, head: ResponseHead, *, instance: str) -> AnswerFacts:
        """Return what the head of an answer of an instance says about the run."""

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers to pass on to the caller."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the router's own."""
