"""Choice of the engine of each attempt of one chat call."""

import asyncio
import secrets

from endivelug.admission import Work
from endivelug.callers import Caller
from endivelug.chat_request import ChatRequest
from endivelug.chat_routing import ChatRouting, engine_group, hashed_messages, root_of
from endivelug.exceptions import UpstreamRejected, UpstreamUnreachable
from endivelug.messages import Announce, EngineView, Finish
from endivelug.outstanding_work import INTERACTIVE
from endivelug.placement import Candidate, Decision, Placement, PlacementRequest
from endivelug.prefix import Namespace, Prompt, hash_prompt
from endivelug.refusals import NotRun
from endivelug.retries import backoff_s
from endivelug.stream_events import Attempt, Target

PRIORITIES: dict[str, int] = {"interactive": 0, "batch": 10}
ANNOUNCE_TTL_S = 30.0
REQUEST_ID_BYTES = 8
MAX_READMISSIONS = 50
BUDGET_POLL_S = 0.05
NO_ENGINE_POLL_S = 0.1


class ChatPlacer:
    """Names the engines of one call and keeps their owners informed.

    Parameters
    ----------
    routing : ChatRouting
        What the calls share.
    version : str
        Weights version of the first attempt.

    Attributes
    ----------
    work : Work
        The call as admission counts it; set by ``ChatCall``.
    engine : str
        Engine of the present attempt; empty between attempts.
    deadline : float
        Monotonic time at which the whole call must be over.
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
        self.messages = hashed_messages(request)
        self.prompt = self._prompt(version)
        self.request_id = b""
        self.engine = ""
        self.prefilled = False

    async def choose(self, attempt: Attempt) -> Target | None:
        """Name the engine of an attempt; the relay calls it."""
        routing = self.routing
        if attempt.number > 1 and not await self._may_retry(attempt):
            return None
        version = attempt.version or self._current_version()
        if version is None:
            return None
        if version != self.version:
            self.version = version
            self.prompt = self._prompt(version)
            self.work.engine_group = engine_group(self.request.model, version)
        decision = await self._decide(attempt)
        if decision is None:
            return None
        state = routing.engines.engines.get(decision.engine)
        if state is None:
            return None
        self._announce(decision)
        return Target(
            engine=decision.engine,
            address=state.entry.address,
            version=version,
            members={
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

    async def _decide(self, attempt: Attempt) -> Decision | None:
        """Decide; a later attempt waits for an engine that comes back."""
        decision = await self.place(excluded=set(attempt.failed))
        limit = self._limit(attempt)
        while decision is None and attempt.number > 1:
            known = self.candidates(set())
            await asyncio.sleep(NO_ENGINE_POLL_S)
            if not known or self.routing.clock() >= limit:
                return None
            decision = await self.place(excluded=set())
        return decision

    def _limit(self, attempt: Attempt) -> float:
        # Without a token there is nothing to wait for after the class's deadline.
        return self.deadline if attempt.version else self.work.deadline

    async def place(self, *, excluded: set[str]) -> Decision | None:
        """Ask the owners and decide; batch work waits for an engine with room."""
        routing = self.routing
        placement = routing.placement(self.request.model)
        wanted = PlacementRequest(
            keys=self.prompt.keys,
            home_keys=self.prompt.home_keys,
            tokens=self.prompt.tokens,
            work_class=self.work.work_class,
            weights_version=self.version,
        )
        for _ in range(MAX_READMISSIONS):
            candidates = self.candidates(excluded)
            views = await self.look_up(placement, wanted, candidates)
            if self.work.work_class != INTERACTIVE:
                admission, now = routing.gate.admission, routing.clock()
                room = set(admission.engines_with_room(self.work, now=now))
                roomy = [item for item in candidates if item.name in room]
                if not roomy and candidates:
                    released = await routing.gate.requeue(self.work)
                    if isinstance(released, NotRun):
                        return None
                    continue
                candidates = roomy
            return placement.choose(
                wanted, candidates, views=views, now=routing.clock()
            )
        return None

    def candidates(self, excluded: set[str]) -> list[Candidate]:
        """Return the candidate engines."""
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
        wanted: PlacementRequest,
        candidates: list[Candidate],
    ) -> list[EngineView]:
        """Ask the owners that the placement names; admission learns the loads."""
        routing = self.routing
        asked = placement.plan(wanted, candidates, now=routing.clock())
        names = [name for engines in asked.values() for name in engines]
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

    async def _may_retry(self, attempt: Attempt) -> bool:
        routing = self.routing
        now = routing.clock()
        if not isinstance(attempt.error, UpstreamRejected) and self.engine:
            routing.ejector.record_failure(self.engine, now=now)
        self.finish_attempt()
        if attempt.continues:
            # The retry budget bounds repeated work. A stream that has made progress
            # would waste its tokens if it ended here, so one attempt is free.
            return True
        if isinstance(attempt.error, UpstreamUnreachable):
            # Nothing reached the engine, so this adds no load; after three failures
            # it is ejected. The budget of a quiet router has no credit for it. Without
            # the wait, the relay's attempts are used up while an engine restarts.
            retry = max(1, len(attempt.failed))
            wait_s = backoff_s(retry=retry, rng=routing.retry.rng)
            await asyncio.sleep(min(wait_s, max(0.0, self._limit(attempt) - now)))
            return True
        limit = self._limit(attempt)
        retry = max(1, len(attempt.failed))
        if attempt.version is not None:
            # The number of retries bounds only what has given the caller nothing yet;
            # beyond it the budget and the relay do.
            retry = min(retry, routing.retry.max_retries)
        while True:
            at = routing.retry.next_attempt_at(
                retry=retry,
                dispatched=True,
                # A completion has no effect but its answer, and the relay delivers
                # each token once.
                idempotent=True,
                deadline=self.deadline,
                now=now,
            )
            if at is not None:
                await asyncio.sleep(max(0.0, at - now))
                return True
            if retry > routing.retry.max_retries:
                return False
            # The budget is used up. Waiting for it keeps its bound, while an error
            # would make the caller repeat the request outside of the budget.
            await asyncio.sleep(BUDGET_POLL_S)
            now = routing.clock()
            if now >= limit:
                return False

    def _announce(self, decision: Decision) -> None:
        routing = self.routing
        now = routing.clock()
        # An id per attempt, so that a late Finish cannot end the next attempt.
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
        routing.engines.engines[decision.engine].private.add(
            request=self.request_id,
            work_class=self.work.work_class,
            tokens=decision.compute_tokens,
            keys=decision.announce_keys,
            ttl_s=ANNOUNCE_TTL_S,
            now=now,
        )
        reason = "held" if decision.depth else "home"
        routing.metrics.placements.inc({"reason": reason})

    def prefill_done(self) -> None:
        """Record the first token of the present attempt, once."""
        if self.prefilled:
            return
        self.prefilled = True
        self._tell_owner(over=False)
        self.routing.gate.record_first_token(self.work)
        self.routing.ejector.record_success(self.engine, now=self.routing.clock())

    def _tell_owner(self, *, over: bool) -> None:
        if not self.engine:
            return
        self.routing.links.finish(
            Finish(request=self.request_id, engine=self.engine, over=over)
        )
        state = self.routing.engines.engines.get(self.engine)
        if state is not None:
            state.private.finish(
                request=self.request_id, over=over, now=self.routing.clock()
            )

    def finish_attempt(self) -> None:
        """Tell the owner that the present attempt is over."""
        self._tell_owner(over=True)
        self.engine = ""

    def _current_version(self) -> str | None:
        return self.routing.engines.version_for(
            model=self.request.model, root=root_of(self.messages)
        )

    def _namespace(self, version: str) -> Namespace:
        return Namespace(
            organisation=self.caller.organisation,
            model=self.request.model,
            weights_version=version,
            adapter=self.request.adapter,
        )

    def _prompt(self, version: str) -> Prompt:
        return hash_prompt(self.routing.secret, self._namespace(version), self.messages)
