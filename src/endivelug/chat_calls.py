"""One chat completion from admission to its last event."""

from collections.abc import AsyncGenerator
from typing import Any

from endivelug.admission import Work
from endivelug.busiest import OTHER
from endivelug.callers import Caller, authorise
from endivelug.chat_placing import ChatPlacer
from endivelug.chat_request import ChatRequest
from endivelug.chat_routing import ChatRouting, engine_group, hashed_messages, root_of
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

# Expected generation until the actual number of tokens is known; corrected after.
EXPECTED_OUTPUT_TOKENS = 200
# Time for generation after the deadline of the first token.
GENERATION_S_PER_TOKEN = 0.1
GENERATION_MIN_S = 30.0
# Weight of one request in the running fraction of prompt tokens to compute.
COMPUTED_GAIN = 0.05


class ChatCall:
    """One request; made by ``admit_chat``.

    Parameters
    ----------
    routing : ChatRouting
        What the calls share.
    request : ChatRequest
        The checked request.
    caller : Caller
        Who sent it.
    work_class : str
        ``interactive`` or ``batch``.
    version : str
        Weights version of the first attempt.
    first_token_deadline : float
        Monotonic time by which the first token is wanted.
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
            tokens=routing.tokens,
            organisation=caller.organisation,
            choose=self.placer.choose,
            deadline=self.placer.deadline,
            body=self._body(),
            random_source=routing.rng,
        )
        self.labels: Labels = {"work_class": work_class, "plan": caller.plan.name}
        self.organisation_label = OTHER
        self.charged_tokens = 0

    async def admit(self) -> NotRun | None:
        """Charge the organisation's limits and wait for admission."""
        # Here, so that an explanation does not count as a request.
        self.organisation_label = self.routing.metrics.busiest.label(
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
            self._give_back()
            raise
        self.routing.metrics.queue_s.observe(
            self.labels, self.routing.clock() - self.started_at
        )
        if isinstance(released, NotRun):
            self._give_back()
            return released
        self.routing.retry.record_first_attempt()
        return None

    async def events(self) -> AsyncGenerator[RelayEvent, None]:
        """Yield the events of the stream; closing the iterator ends the call."""
        last_at = 0.0
        ended = "abandoned"
        events = self.relay.events()
        try:
            async for event in events:
                match event:
                    case StreamFailed():
                        ended = "failed"
                    case StreamEvent():
                        last_at = self._observe(last_at)
                        if self.relay.state.done:
                            ended = "complete"
                yield event
        finally:
            await events.aclose()
            self._end(ended)

    async def collect(self) -> dict[str, Any] | NotRun | MayHaveRun:
        """Return the whole answer as one document, or the refusal."""
        ended = "abandoned"
        try:
            answer = await self.relay.collect()
            ended = "failed" if isinstance(answer, StreamFailed) else "complete"
        finally:
            self.relay.close()
            if self.relay.first_token_at is not None:
                self._observe(0.0)
            self._end(ended)
        return answer.refusal if isinstance(answer, StreamFailed) else answer

    def _observe(self, last_at: float) -> float:
        """Record the time of an event; the first token ends the prefill."""
        now = self.routing.clock()
        if self.relay.first_token_at is None:
            return last_at
        self.placer.prefill_done()
        if not last_at:
            self.routing.metrics.observe_first_token(
                labels=self.labels,
                organisation=self.organisation_label,
                seconds=self.relay.first_token_at - self.started_at,
            )
        else:
            self.routing.metrics.token_gap_s.observe(self.labels, now - last_at)
        return now

    def _end(self, ended: str) -> None:
        routing = self.routing
        engine = self.placer.engine
        if ended == "failed" and engine and self.relay.dispatched:
            routing.ejector.record_failure(engine, now=routing.clock())
        self.placer.finish_attempt()
        routing.gate.record_end(self.work)
        self._settle()
        self._give_back()
        metrics = routing.metrics
        metrics.streams.inc({**self.labels, "ended": ended})
        if self.relay.resumes:
            metrics.resumes.add({"how": "resumed"}, self.relay.resumes)
        if self.relay.continuations:
            metrics.resumes.add({"how": "continued"}, self.relay.continuations)

    def _settle(self) -> None:
        """Charge the tokens that were used instead of the expected ones."""
        usage = self.relay.usage or {}
        prompt = int(usage.get("prompt_tokens", self.prompt_tokens))
        details = usage.get("prompt_tokens_details") or {}
        cached = min(prompt, int(details.get("cached_tokens", 0)))
        used = prompt + self.relay.generated_tokens
        self.routing.shares.limiter.settle(
            self.caller.organisation, extra_tokens=used - self.charged_tokens
        )
        if usage:
            self.routing.metrics.observe_prompt(
                labels=self.labels,
                organisation=self.organisation_label,
                hit=cached,
                computed=prompt - cached,
            )
            fractions = self.routing.computed_fraction
            before = fractions.get(self.work.work_class, 1.0)
            now = (prompt - cached) / max(1, prompt)
            fractions[self.work.work_class] = before + COMPUTED_GAIN * (now - before)

    def _give_back(self) -> None:
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
    wanted_s: float | None,
    wanted_class: str = "",
) -> ChatCall | NotRun:
    """Return a call that may be admitted, or why the plan or state forbids it.

    Parameters
    ----------
    deadlines_s : dict of str to float
        Default seconds to the first token, by work class.
    wanted_s : float or None
        Seconds to the first token that the caller asks for.
    wanted_class : str
        ``batch`` where the caller gives up the interactive class of its plan.
    """
    refusal = authorise(
        caller.plan, route=CHAT_ROUTE, model=request.model, adapter=request.adapter
    )
    if refusal is not None:
        return refusal
    version = routing.engines.version_for(
        model=request.model, root=root_of(hashed_messages(request))
    )
    if version is None:
        return NotRun(
            kind="no-engine",
            status=503,
            remedy="no engine serves this model now; retry later",
            retry_after_s=1.0,
        )
    work_class = caller.plan.work_class.get(CHAT_ROUTE, "batch")
    if wanted_class == "batch":
        work_class = "batch"
    seconds = deadlines_s[work_class]
    if wanted_s is not None:
        seconds = min(seconds, wanted_s)
    return ChatCall(
        routing=routing,
        request=request,
        caller=caller,
        work_class=work_class,
        version=version,
        first_token_deadline=routing.clock() + seconds,
    )
