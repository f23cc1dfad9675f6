"""One chat completion from admission to its last event."""

from collections.abc import AsyncGenerator
from typing import Any

from endivelug.admission import Work
from endivelug.authentication import Caller, authorise
from endivelug.busiest import OTHER
from endivelug.chat_placement import ChatPlacer
from endivelug.chat_request import ChatRequest
from endivelug.chat_routing import (
    ChatRouting,
    engine_group,
    prompt_messages,
    prompt_root,
)
from endivelug.lists import CHAT_ROUTE, WorkClass
from endivelug.metrics import Labels
from endivelug.plan_limits import plan_limits
from endivelug.refusals import MayHaveRun, NotRun
from endivelug.stream_events import (
    RelayEvent,
    StreamEvent,
    StreamFailed,
)
from endivelug.stream_relay import StreamRelay

# Charged on admission and replaced by the actual number of tokens at the end.
EXPECTED_OUTPUT_TOKENS = 200
# Time limit for generation after the deadline of the first token.
GENERATION_S_PER_TOKEN = 0.1
GENERATION_MIN_S = 30.0
# Weight of one request in the moving average of the computed share of prompt tokens.
COMPUTED_FRACTION_GAIN = 0.05


class ChatCall:
    """One chat completion; created by ``make_chat_call``.

    Parameters
    ----------
    routing : ChatRouting
        State and services shared by all calls.
    request : ChatRequest
        The validated request.
    caller : Caller
        The caller that sent the request.
    work_class : str
        ``interactive`` or ``batch``.
    version : str
        Weights version of the first attempt.
    first_token_deadline : float
        Monotonic time by which the first token is due.
    """

    def __init__(
        self,
        *,
        routing: ChatRouting,
        request: ChatRequest,
        caller: Caller,
        work_class: WorkClass,
        version: str,
        first_token_deadline: float,
    ) -> None:
        self.routing = routing
        self.request = request
        self.caller = caller
        self.started_at = routing.clock()
        generation_s = max(
            GENERATION_MIN_S, request.max_tokens * GENERATION_S_PER_TOKEN
        )
        self.placer = ChatPlacer(
            routing=routing,
            request=request,
            caller=caller,
            version=version,
            deadline=first_token_deadline + generation_s,
        )
        self.prompt_tokens = sum(self.placer.prompt.tokens)
        fraction = routing.computed_fraction.get(work_class, 1.0)
        self.work = Work(
            organisation=caller.organisation,
            engine_group=engine_group(request.model, version),
            work_class=work_class,
            tokens=max(1, int(self.prompt_tokens * fraction)),
            deadline=first_token_deadline,
            weight=caller.plan.weight,
        )
        self.placer.work = self.work
        self.relay = StreamRelay(
            client=routing.client,
            stream_id_signer=routing.stream_id_signer,
            organisation=caller.organisation,
            choose=self.placer.choose,
            deadline=self.placer.deadline,
            body=self._body(),
            rng=routing.rng,
        )
        self.labels: Labels = {"work_class": work_class, "plan": caller.plan.name}
        self.organisation_label = OTHER
        self.charged_tokens = 0

    async def admit(self) -> NotRun | None:
        """Charge the organisation's limits and wait for admission."""
        # The label is assigned here and not on construction, so that an explanation
        # does not count as a request.
        self.organisation_label = self.routing.metrics.busiest.record_request(
            self.caller.organisation
        )
        charged = self.prompt_tokens + min(
            EXPECTED_OUTPUT_TOKENS, self.request.max_tokens
        )
        refusal = await self.routing.shares.acquire(
            self.caller.organisation,
            limits=plan_limits(self.caller.plan),
            tokens=charged,
        )
        if refusal is not None:
            return refusal
        self.charged_tokens = charged
        try:
            released = await self.routing.gate.admit(self.work)
        except BaseException:
            self._release_limits()
            raise
        self.routing.metrics.queue_s.observe(
            self.labels, self.routing.clock() - self.started_at
        )
        if isinstance(released, NotRun):
            self._release_limits()
            return released
        self.routing.retry.record_first_attempt()
        return None

    async def events(self) -> AsyncGenerator[RelayEvent, None]:
        """Yield the events of the stream; closing the iterator ends the call."""
        last_at = 0.0
        outcome = "abandoned"
        events = self.relay.events()
        try:
            async for event in events:
                match event:
                    case StreamFailed():
                        outcome = "failed"
                    case StreamEvent():
                        last_at = self._observe(last_at)
                        if self.relay.state.done:
                            outcome = "complete"
                yield event
        finally:
            await events.aclose()
            self._end(outcome)

    async def collect(self) -> dict[str, Any] | NotRun | MayHaveRun:
        """Return the complete response as one document, or the refusal."""
        outcome = "abandoned"
        try:
            response = await self.relay.collect()
            outcome = "failed" if isinstance(response, StreamFailed) else "complete"
        finally:
            self.relay.close()
            if self.relay.first_token_at is not None:
                self._observe(0.0)
            self._end(outcome)
        return response.refusal if isinstance(response, StreamFailed) else response

    def _observe(self, last_at: float) -> float:
        """Record the latency of an event; the first token ends the prefill."""
        now = self.routing.clock()
        if self.relay.first_token_at is None:
            return last_at
        self.placer.record_first_token()
        if not last_at:
            self.routing.metrics.observe_first_token(
                labels=self.labels,
                organisation=self.organisation_label,
                seconds=self.relay.first_token_at - self.started_at,
            )
        else:
            self.routing.metrics.token_gap_s.observe(self.labels, now - last_at)
        return now

    def _end(self, outcome: str) -> None:
        routing = self.routing
        engine = self.placer.engine
        if outcome == "failed" and engine and self.relay.dispatched:
            routing.ejector.record_failure(engine, now=routing.clock())
        self.placer.finish_attempt()
        routing.gate.record_end(self.work)
        self._settle_tokens()
        self._release_limits()
        metrics = routing.metrics
        metrics.streams.inc({**self.labels, "ended": outcome})
        if self.relay.resumes:
            metrics.stream_recoveries.add({"how": "resumed"}, self.relay.resumes)
        if self.relay.continuations:
            metrics.stream_recoveries.add(
                {"how": "continued"}, self.relay.continuations
            )

    def _settle_tokens(self) -> None:
        """Replace the charge of expected tokens by the tokens used."""
        usage = self.relay.usage or {}
        prompt = int(usage.get("prompt_tokens", self.prompt_tokens))
        details = usage.get("prompt_tokens_details") or {}
        cached = min(prompt, int(details.get("cached_tokens", 0)))
        used = prompt + self.relay.generated_tokens
        self.routing.shares.limiter.settle(
            self.caller.organisation, extra_tokens=used - self.charged_tokens
        )
        if usage:
            self.routing.metrics.observe_prompt_tokens(
                labels=self.labels,
                organisation=self.organisation_label,
                hit=cached,
                computed=prompt - cached,
            )
            fractions = self.routing.computed_fraction
            average = fractions.get(self.work.work_class, 1.0)
            latest = (prompt - cached) / max(1, prompt)
            fractions[self.work.work_class] = average + COMPUTED_FRACTION_GAIN * (
                latest - average
            )

    def _release_limits(self) -> None:
        if self.charged_tokens:
            self.charged_tokens = 0
            self.routing.shares.limiter.release(self.caller.organisation)

    def _body(self) -> dict[str, Any]:
        request = self.request
        name = f"{request.model}:{request.adapter}" if request.adapter else None
        return {
            **request.extra,
            "model": name or request.model,
            "messages": request.messages,
            "max_tokens": request.max_tokens,
            "stream_options": {"include_usage": request.include_usage},
        }


def make_chat_call(
    *,
    routing: ChatRouting,
    request: ChatRequest,
    caller: Caller,
    deadlines_s: dict[str, float],
    requested_s: float | None,
    requested_class: str = "",
) -> ChatCall | NotRun:
    """Return a call ready for admission, or the refusal by plan or state.

    Parameters
    ----------
    deadlines_s : dict of str to float
        Default seconds to the first token, by work class.
    requested_s : float or None
        Seconds to the first token that the caller requests.
    requested_class : str
        ``batch`` if the caller requests batch although its plan is interactive.
    """
    refusal = authorise(
        caller.plan, route=CHAT_ROUTE, model=request.model, adapter=request.adapter
    )
    if refusal is not None:
        return refusal
    version = routing.engines.version_for(
        model=request.model, root=prompt_root(prompt_messages(request))
    )
    if version is None:
        return NotRun(
            kind="no-engine",
            status=503,
            remedy="no engine serves this model now; retry later",
            retry_after_s=1.0,
        )
    work_class = caller.plan.work_class.get(CHAT_ROUTE, "batch")
    if requested_class == "batch":
        work_class = "batch"
    seconds = deadlines_s[work_class]
    if requested_s is not None:
        seconds = min(seconds, requested_s)
    return ChatCall(
        routing=routing,
        request=request,
        caller=caller,
        work_class=work_class,
        version=version,
        first_token_deadline=routing.clock() + seconds,
    )
