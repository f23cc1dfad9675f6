"""Selection of an engine for each attempt of one chat call."""

import asyncio
import secrets

from endivelug.admission import Work
from endivelug.authentication import Caller
from endivelug.chat_request import ChatRequest
from endivelug.chat_routing import (
    ChatRouting,
    engine_group,
    prompt_messages,
    prompt_root,
)
from endivelug.exceptions import UpstreamRejected, UpstreamUnreachable
from endivelug.messages import Announce, EngineView, Finish
from endivelug.outstanding_work import INTERACTIVE
from endivelug.placement import Candidate, Decision, Placement, PlacementRequest
from endivelug.prefix import Namespace, Prompt, hash_prompt
from endivelug.refusals import NotRun
from endivelug.retries import backoff_s
from endivelug.stream_events import AttemptContext, Target

PRIORITIES: dict[str, int] = {"interactive": 0, "batch": 10}
ANNOUNCE_TTL_S = 30.0
REQUEST_ID_BYTES = 8
# Batch work that was queued again this many times is not placed.
MAX_REQUEUES = 50
BUDGET_POLL_S = 0.05
NO_ENGINE_POLL_S = 0.1


class ChatPlacer:
    """Selects the engines of one call and reports its progress to their owners.

    Parameters
    ----------
    routing : ChatRouting
        State and services shared by all calls.
    version : str
        Weights version of the first attempt.

    Attributes
    ----------
    work : Work
        The call as queued by admission; set by ``ChatCall``.
    engine : str
        Engine of the current attempt; empty between attempts.
    deadline : float
        Monotonic time by which the whole call must end.
    """

    work: Work

    def __init__(
        self,
        *,
        routing: ChatRouting,
        request: ChatRequest,
        caller: Caller,
        version: str,
        deadline: float,
    ) -> None:
        self.routing = routing
        self.request = request
        self.caller = caller
        self.version = version
        self.deadline = deadline
        self.messages = prompt_messages(request)
        self.prompt = self._hash_prompt(version)
        self.request_id = b""
        self.engine = ""
        self.prefilled = False

    async def choose(self, attempt: AttemptContext) -> Target | None:
        """Return the engine for an attempt; called by the relay."""
        routing = self.routing
        if attempt.number > 1 and not await self._wait_for_retry(attempt):
            return None
        version = attempt.version or self._current_version()
        if version is None:
            return None
        if version != self.version:
            self.version = version
            self.prompt = self._hash_prompt(version)
            self.work.engine_group = engine_group(self.request.model, version)
        decision = await self._select_engine(attempt)
        if decision is None:
            return None
        state = routing.engines.engines.get(decision.engine)
        if state is None:
            return None
        self._announce_attempt(decision)
        return Target(
            engine=decision.engine,
            address=state.entry.address,
            version=version,
            request_members={
                "priority": PRIORITIES[self.work.work_class],
                "cache_salt": self._namespace(version).digest(routing.secret).hex(),
                "prefix": [
                    [f"{key:016x}", tokens]
                    for key, tokens in zip(
                        self.prompt.keys, self.prompt.tokens, strict=True
                    )
                ],
                "import_keys": [f"{key:016x}" for key in decision.import_keys],
            },
        )

    async def _select_engine(self, attempt: AttemptContext) -> Decision | None:
        """Select an engine; a retry waits until an engine is available again."""
        decision = await self.place(excluded=set(attempt.failed_engines))
        deadline = self._retry_deadline(attempt)
        while decision is None and attempt.number > 1:
            all_candidates = self.candidates(set())
            await asyncio.sleep(NO_ENGINE_POLL_S)
            if not all_candidates or self.routing.clock() >= deadline:
                return None
            decision = await self.place(excluded=set())
        return decision

    def _retry_deadline(self, attempt: AttemptContext) -> float:
        # A call without any token yet ends at the first-token deadline of its class.
        return self.deadline if attempt.version else self.work.deadline

    async def place(self, *, excluded: set[str]) -> Decision | None:
        """Look up and select an engine; batch work waits for one with room."""
        routing = self.routing
        placement = routing.placement(self.request.model)
        placement_request = PlacementRequest(
            keys=self.prompt.keys,
            unversioned_keys=self.prompt.unversioned_keys,
            tokens=self.prompt.tokens,
            work_class=self.work.work_class,
            weights_version=self.version,
        )
        for _ in range(MAX_REQUEUES):
            candidates = self.candidates(excluded)
            views = await self.look_up(placement, placement_request, candidates)
            if self.work.work_class != INTERACTIVE:
                admission, now = routing.gate.admission, routing.clock()
                names_with_room = set(admission.engines_with_room(self.work, now=now))
                candidates_with_room = [
                    item for item in candidates if item.name in names_with_room
                ]
                if not candidates_with_room and candidates:
                    released = await routing.gate.requeue(self.work)
                    if isinstance(released, NotRun):
                        return None
                    continue
                candidates = candidates_with_room
            return placement.choose(
                placement_request, candidates, views=views, now=routing.clock()
            )
        return None

    def candidates(self, excluded: set[str]) -> list[Candidate]:
        """Return the candidate engines; the excluded ones are not serving."""
        routing = self.routing
        return routing.engines.candidates(
            model=self.request.model,
            version=self.version,
            adapter=self.request.adapter,
            owner_of=routing.links.owner_of_engine,
            excluded=excluded,
            now=routing.clock(),
        )

    async def look_up(
        self,
        placement: Placement,
        placement_request: PlacementRequest,
        candidates: list[Candidate],
    ) -> list[EngineView]:
        """Send the planned look-ups; admission records the loads in the replies."""
        routing = self.routing
        engines_by_owner = placement.plan_lookups(
            placement_request, candidates, now=routing.clock()
        )
        names = [name for engines in engines_by_owner.values() for name in engines]
        views = await routing.links.lookup(
            request=secrets.token_bytes(REQUEST_ID_BYTES),
            engines=names,
            keys=self.prompt.keys,
            work_class=self.work.work_class,
            timeout_s=routing.lookup_timeout_s,
        )
        missing = len(names) - len(views)
        if missing:
            routing.metrics.lookups.add({"result": "missing"}, missing)
        if views:
            routing.metrics.lookups.add({"result": "answered"}, len(views))
        now = routing.clock()
        for view in views.values():
            routing.gate.admission.observe(
                view.engine,
                interactive_tokens=view.interactive_tokens,
                batch_tokens=view.batch_tokens,
                streams=view.streams,
                now=now,
            )
        return list(views.values())

    async def _wait_for_retry(self, attempt: AttemptContext) -> bool:
        routing = self.routing
        now = routing.clock()
        if not isinstance(attempt.error, UpstreamRejected) and self.engine:
            routing.ejector.record_failure(self.engine, now=now)
        self.finish_attempt()
        if attempt.is_first_continuation:
            # The retry budget limits repeated work. A stream that has made progress
            # would waste its tokens if it ended here, so one continuation is free.
            return True
        if isinstance(attempt.error, UpstreamUnreachable):
            # Nothing reached the engine, so a retry adds no load, and the engine is
            # ejected after three failures. The retry is free, because the budget of an
            # idle router has no credit. Without the wait, the relay would use up its
            # attempts while an engine restarts.
            retry = max(1, len(attempt.failed_engines))
            wait_s = backoff_s(retry=retry, rng=routing.retry.rng)
            await asyncio.sleep(
                min(wait_s, max(0.0, self._retry_deadline(attempt) - now))
            )
            return True
        limit = self._retry_deadline(attempt)
        retry = max(1, len(attempt.failed_engines))
        if attempt.version is not None:
            # The maximum number of retries applies only to calls without any token.
            # Later retries are limited by the budget and the relay.
            retry = min(retry, routing.retry.max_retries)
        while True:
            at = routing.retry.next_attempt_at(
                retry=retry,
                dispatched=True,
                # A completion has no side effects, and the relay delivers each token
                # once.
                idempotent=True,
                deadline=self.deadline,
                now=now,
            )
            if at is not None:
                await asyncio.sleep(max(0.0, at - now))
                return True
            if retry > routing.retry.max_retries:
                return False
            # The budget is used up. Waiting for credit keeps to the budget, while an
            # error would make the caller repeat the request outside of it.
            await asyncio.sleep(BUDGET_POLL_S)
            now = routing.clock()
            if now >= limit:
                return False

    def _announce_attempt(self, decision: Decision) -> None:
        routing = self.routing
        now = routing.clock()
        # Each attempt has its own id, so that a late Finish cannot end the next one.
        self.request_id = secrets.token_bytes(REQUEST_ID_BYTES)
        self.engine = decision.engine
        self.prefilled = False
        routing.ejector.record_dispatch(decision.engine, now=now)
        routing.gate.admission.record_dispatch(
            self.work, engine=decision.engine, tokens=decision.compute_tokens
        )
        message = Announce(
            request=self.request_id,
            engine=decision.engine,
            work_class=self.work.work_class,
            tokens=decision.compute_tokens,
            keys=decision.announce_keys,
            ttl_s=ANNOUNCE_TTL_S,
        )
        routing.links.announce(message)
        routing.engines.engines[decision.engine].own_work.add(
            request=self.request_id,
            work_class=self.work.work_class,
            tokens=decision.compute_tokens,
            keys=decision.announce_keys,
            ttl_s=ANNOUNCE_TTL_S,
            now=now,
        )
        reason = "held" if decision.depth else "home"
        routing.metrics.placements.inc({"reason": reason})

    def record_first_token(self) -> None:
        """Record the first token of the current attempt, once."""
        if self.prefilled:
            return
        self.prefilled = True
        self._report_progress(over=False)
        self.routing.gate.record_first_token(self.work)
        self.routing.ejector.record_success(self.engine, now=self.routing.clock())

    def _report_progress(self, *, over: bool) -> None:
        if not self.engine:
            return
        self.routing.links.finish(
            Finish(request=self.request_id, engine=self.engine, over=over)
        )
        state = self.routing.engines.engines.get(self.engine)
        if state is not None:
            state.own_work.finish(
                request=self.request_id, over=over, now=self.routing.clock()
            )

    def finish_attempt(self) -> None:
        """Report the end of the current attempt to the owner."""
        self._report_progress(over=True)
        self.engine = ""

    def _current_version(self) -> str | None:
        return self.routing.engines.version_for(
            model=self.request.model, root=prompt_root(self.messages)
        )

    def _namespace(self, version: str) -> Namespace:
        return Namespace(
            organisation=self.caller.organisation,
            model=self.request.model,
            weights_version=version,
            adapter=self.request.adapter,
        )

    def _hash_prompt(self, version: str) -> Prompt:
        return hash_prompt(self.routing.secret, self._namespace(version), self.messages)
