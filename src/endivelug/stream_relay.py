"""Relay of one completion stream, with resumption and continuation after failures."""

import asyncio
import contextlib
import json
import random
import secrets
import time
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

from endivelug.engine_client import DONE, EngineClient, EngineStream
from endivelug.exceptions import (
    EndivelugError,
    UpstreamBroken,
    UpstreamRejected,
    UpstreamUnreachable,
)
from endivelug.refusals import MayHaveRun, NotRun
from endivelug.stream_events import (
    FINAL_REJECTIONS,
    REPEAT_REMEDY,
    AttemptContext,
    ChooseTarget,
    RelayEvent,
    StreamEvent,
    StreamFailed,
    StreamOpened,
    Target,
    encode_sse,
    stream_refusal,
)
from endivelug.stream_ids import StreamAddress, StreamIdSigner
from endivelug.stream_state import Deliver, Gap, StreamState

__all__ = [
    "AttemptContext",
    "ChooseTarget",
    "RelayEvent",
    "StreamEvent",
    "StreamFailed",
    "StreamOpened",
    "StreamRelay",
    "Target",
    "encode_sse",
]

MAX_RESUME_ATTEMPTS = 3
RESUME_BACKOFF_S = 0.05  # Upper bound of a random delay; doubles with each resume.
# Limits the attempts of a stream even if ``choose`` always finds another engine.
MAX_ATTEMPTS = 8


def _timed_out(error: EndivelugError | None) -> bool:
    return error is not None and isinstance(error.__cause__, TimeoutError)


class StreamRelay:
    """Relays one completion to one caller.

    Parameters
    ----------
    client : EngineClient
        Client of the engines.
    stream_id_signer : StreamIdSigner
        Signer of the stream ids.
    organisation : str
        Organisation of the caller.
    choose : callable
        Returns the next attempt's engine; None if no engine or retry budget is left.
    deadline : float
        Monotonic time by which the whole stream must end.
    body : dict, optional
        Chat completion request. Without it, ``resume`` and ``after`` are required.
    resume : StreamAddress, optional
        Location of a stream that another router relayed before.
    after : int
        Number of the last event that the caller received.
    first_token_timeout_s, stall_timeout_s : float
        Longest wait for the first token of an attempt, and for the response headers
        or a later event. An engine that is silent for longer counts as failed.

    Attributes
    ----------
    first_token_at : float or None
        Monotonic time of the first token.
    resumes, continuations : int
        How often the stream was resumed in place and continued at another engine.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        stream_id_signer: StreamIdSigner,
        organisation: str,
        choose: ChooseTarget,
        deadline: float,
        body: dict[str, Any] | None = None,
        resume: StreamAddress | None = None,
        after: int = -1,
        first_token_timeout_s: float = 30.0,
        stall_timeout_s: float = 5.0,
        rng: random.Random | None = None,
    ) -> None:
        self.client = client
        self.stream_id_signer = stream_id_signer
        self.organisation = organisation
        self.choose = choose
        self.deadline = deadline
        self.first_token_timeout_s = first_token_timeout_s
        self.stall_timeout_s = stall_timeout_s
        self.rng = rng or random.Random()
        self.stream: EngineStream | None = None
        self.target: Target | None = None
        self.incarnation: int | None = None
        self.version: str | None = None
        self.failed_engines: list[str] = []
        self.abandoned: list[tuple[str, str]] = []
        self.error: EndivelugError | None = None
        self.may_have_run = False
        self.dispatched = False
        self.stream_id = ""
        self.first_token_at: float | None = None
        self.resumes = 0
        self.continuations = 0
        self.resume_attempts = 0
        if resume is not None:
            self.state = StreamState.from_address(stream=resume, after=after)
            self.target = Target(
                engine=resume.engine, address=resume.address, version=""
            )
            self.incarnation = resume.incarnation
            self.dispatched = self.may_have_run = True
        elif body is not None:
            options = body.get("stream_options") or {}
            self.state = StreamState(
                completion_id=f"chatcmpl-{secrets.token_hex(12)}",
                wants_usage=bool(options.get("include_usage")),
                body=body,
            )
        else:
            raise ValueError("either body or resume is required")

    @property
    def engine(self) -> str:
        """Engine of the current attempt; empty before the first one."""
        return self.target.engine if self.target else ""

    @property
    def usage(self) -> dict[str, Any] | None:
        """The ``usage`` member of the whole response; None while it is unknown."""
        return self.state.usage

    @property
    def generated_tokens(self) -> int:
        """Number of generated tokens delivered to the caller."""
        return self.state.delivered_tokens

    async def run(self, send: Callable[[RelayEvent], Awaitable[None]]) -> bool:
        """Pass every event to ``send``; return whether the stream was completed.

        Cancels the upstream request if ``send`` raises, is cancelled or is too late.
        """
        async with contextlib.aclosing(self.events()) as events:
            async for event in events:
                try:
                    async with asyncio.timeout(self._remaining_s()):
                        await send(event)
                except TimeoutError:
                    return False
        return self.state.done

    async def collect(self) -> dict[str, Any] | StreamFailed:
        """Return the whole response as one document."""
        text: list[str] = []
        async with contextlib.aclosing(self.events()) as events:
            async for event in events:
                if isinstance(event, StreamFailed):
                    return event
                if isinstance(event, StreamEvent) and event.data != DONE:
                    for choice in json.loads(event.data)["choices"]:
                        text.append(choice["delta"].get("content") or "")
        return self.state.response_document("".join(text))

    async def events(self) -> AsyncGenerator[RelayEvent, None]:
        """Yield the events of the stream; closing the iterator cancels it.

        The last event is ``[DONE]`` or a ``StreamFailed``, never both.
        """
        state = self.state
        try:
            while not state.done:
                if self.stream is None:
                    failure = await self._connect_stream()
                    if failure is not None:
                        rest = state.complete_locally()
                        for event in rest or []:
                            yield StreamEvent(number=event.number, data=event.data)
                        if rest is None:
                            yield StreamFailed(refusal=failure)
                        return
                    stream_id = self._sign_stream_id()
                    if stream_id != self.stream_id:
                        self.stream_id = stream_id
                        yield StreamOpened(stream_id=stream_id)
                delivery = await self._next_delivery()
                if delivery is not None:
                    yield StreamEvent(number=delivery.number, data=delivery.data)
        finally:
            self.close()

    def close(self) -> None:
        """End the relay and cancel the upstream request unless it is complete."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None
        if self.dispatched and not self.state.done:
            self._abandon_request()
        self._cancel_abandoned()

    def _remaining_s(self) -> float:
        return max(0.0, self.deadline - time.monotonic())

    def _abandon_request(self) -> None:
        assert self.target is not None
        self.dispatched = False
        self.abandoned.append((self.target.address, self.state.engine_stream_id))

    def _cancel_abandoned(self) -> None:
        for address, stream_id in self.abandoned:
            self.client.cancel(address=address, stream_id=stream_id)
        self.abandoned.clear()

    async def _next_delivery(self) -> Deliver | None:
        assert self.stream is not None
        state = self.state
        started = state.delivered_tokens > state.tokens_before_attempt
        wait_s = self.stall_timeout_s if started else self.first_token_timeout_s
        deadline = min(self.deadline, time.monotonic() + wait_s)
        try:
            event = await self.stream.next_event(deadline=deadline)
            result = state.accept(event)
        except UpstreamBroken as error:
            self._drop_stream(error)
            return None
        match result:
            case Deliver():
                self.resume_attempts = 0
                # Engines that failed before this event may have recovered.
                self.failed_engines.clear()
                # Until this event, another router could resume the earlier attempts.
                self._cancel_abandoned()
                if state.delivered_tokens and self.first_token_at is None:
                    self.first_token_at = time.monotonic()
                return result
            case Gap():
                self._drop_stream(UpstreamBroken("missing events; resume the stream"))
        return None

    def _drop_stream(self, error: EndivelugError) -> None:
        if self.stream is not None:
            self.stream.close()
        self.stream = None
        self.error = error
        if _timed_out(error):
            # A resume at a silent engine would wait for the whole timeout again.
            self.failed_engines.append(self.engine)

    async def _connect_stream(self) -> NotRun | MayHaveRun | None:
        """Resume or open an attempt elsewhere; return a refusal if both fail."""
        if self.dispatched and not _timed_out(self.error) and await self._resume():
            return None
        if self.state.can_complete_locally:
            return MayHaveRun(kind="stream-broken", remedy=REPEAT_REMEDY)
        while self._remaining_s() > 0 and self.state.attempts < MAX_ATTEMPTS:
            if isinstance(self.error, UpstreamRejected) and (
                self.error.status in FINAL_REJECTIONS
            ):
                break
            target = await self._choose()
            if target is None:
                if self.dispatched and await self._resume():
                    return None
                break
            if await self._open(target):
                return None
        return self._refusal()

    async def _choose(self) -> Target | None:
        if not self.state.can_continue:
            return None
        attempt = AttemptContext(
            number=self.state.attempts + 1,
            failed_engines=list(self.failed_engines),
            version=self.version if self.state.delivered_tokens else None,
            error=self.error,
        )
        try:
            async with asyncio.timeout(self._remaining_s()):
                return await self.choose(attempt)
        except TimeoutError:
            return None

    async def _open(self, target: Target) -> bool:
        if self.dispatched:
            self._abandon_request()
        state = self.state
        if state.body is not None:
            state.body = {**state.body, **target.request_members}
        body = state.begin_attempt()
        if body is None:
            return False
        self.target, self.incarnation, self.resume_attempts = target, None, 0
        continued = state.delivered_tokens > 0
        try:
            self.stream = await self.client.open(
                address=target.address,
                body=body,
                version=self.version if continued and self.version else target.version,
                # Engines send the response headers before the first token.
                deadline=min(self.deadline, time.monotonic() + self.stall_timeout_s),
            )
        except (UpstreamUnreachable, UpstreamRejected) as error:
            self.error = error
            self.failed_engines.append(target.engine)
            return False
        except UpstreamBroken as error:
            self.dispatched = self.may_have_run = True
            self.error = error
            self.failed_engines.append(target.engine)
            return not _timed_out(error) and await self._resume()
        except asyncio.CancelledError:
            self.dispatched = True
            raise
        self.dispatched = self.may_have_run = True
        self.incarnation = self.stream.incarnation
        self.version = self.stream.version
        self.continuations += continued
        return True

    async def _resume(self) -> bool:
        """Resume at the same engine incarnation; return whether that succeeded."""
        assert self.target is not None
        while self.resume_attempts < MAX_RESUME_ATTEMPTS and self._remaining_s() > 0:
            if self.resume_attempts:
                delay_s = RESUME_BACKOFF_S * 2**self.resume_attempts
                await asyncio.sleep(
                    min(self._remaining_s(), self.rng.uniform(0, delay_s))
                )
            self.resume_attempts += 1
            try:
                self.stream = await self.client.resume(
                    address=self.target.address,
                    stream_id=self.state.engine_stream_id,
                    incarnation=self.incarnation,
                    after=self.state.resume_after,
                    deadline=min(
                        self.deadline, time.monotonic() + self.stall_timeout_s
                    ),
                )
            except UpstreamRejected as error:
                self.error = error
                break
            except (UpstreamUnreachable, UpstreamBroken) as error:
                self.error = error
                if _timed_out(error):
                    break
                continue
            self.incarnation = self.stream.incarnation
            self.version = self.stream.version
            self.resumes += 1
            return True
        if self.engine not in self.failed_engines[-1:]:
            self.failed_engines.append(self.engine)
        return False

    def _sign_stream_id(self) -> str:
        assert self.target is not None and self.incarnation is not None
        state = self.state
        return self.stream_id_signer.sign(
            StreamAddress(
                organisation=self.organisation,
                engine=self.target.engine,
                address=self.target.address,
                incarnation=self.incarnation,
                engine_stream_id=state.engine_stream_id,
                completion_id=state.completion_id,
                offset=state.offset,
                wants_usage=state.wants_usage,
            )
        )

    def _refusal(self) -> NotRun | MayHaveRun:
        return stream_refusal(
            error=self.error,
            deadline_passed=self._remaining_s() <= 0,
            may_have_run=self.may_have_run,
            request_unknown=self.state.body is None,
        )
