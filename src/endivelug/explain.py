"""Explains how a chat completion would be admitted, placed or refused."""

import copy
import hashlib
import hmac
from dataclasses import asdict, dataclass
from typing import Any

from endivelug.authentication import Caller
from endivelug.chat_calls import make_chat_call
from endivelug.chat_request import ChatRequest
from endivelug.chat_routing import ChatRouting
from endivelug.placement import PlacementRequest
from endivelug.refusals import NotRun, problem_document


@dataclass(slots=True, kw_only=True)
class EngineExplanation:
    """Estimate of placement for one engine.

    Attributes
    ----------
    depth : int
        Number of leading prompt segments that are expected in its cache.
    answered : bool
        Whether the agent that owns the engine answered the look-up.
    """

    engine: str
    owner: str
    answered: bool
    usable: bool
    has_room: bool
    depth: int
    compute_tokens: int
    expected_ttft_s: float


@dataclass(slots=True, kw_only=True)
class Explanation:
    """The decision on one chat completion.

    Attributes
    ----------
    refusal : dict or None
        Problem document if the request would be refused.
    share : list of float
        Requests/s, tokens/s and streams that this router may currently use.
    pieces : int
        Number of prompt segments.
    queued : int
        Requests of the work class that wait for admission.
    chosen : str or None
        Engine that would receive the request.
    """

    organisation: str
    plan: str
    refusal: dict[str, Any] | None
    work_class: str = ""
    weights_version: str = ""
    pieces: int = 0
    prompt_tokens: int = 0
    queued: int = 0
    share: list[float] | None = None
    chosen: str | None = None
    engines: list[EngineExplanation] | None = None

    def to_dict(self) -> dict[str, Any]:
        """Return the members of the JSON document."""
        return asdict(self)


def operator_token(secret: str) -> str:
    """Derive the bearer token for the admin address from the link secret."""
    key = secret.encode()[:64]
    return hashlib.blake2b(b"operator", key=key, digest_size=16).hexdigest()


def has_operator_token(authorization: str, secret: str) -> bool:
    """Return whether an ``Authorization`` header contains the operator token."""
    expected = f"Bearer {operator_token(secret)}"
    return hmac.compare_digest(authorization.encode(), expected.encode())


async def explain_chat(
    *,
    routing: ChatRouting,
    request: ChatRequest,
    caller: Caller,
    deadlines_s: dict[str, float],
    requested_class: str = "",
) -> Explanation:
    """Run the decision code of a chat completion without dispatching it.

    Parameters
    ----------
    routing : ChatRouting
        State of the running router, which is not modified.
    deadlines_s : dict of str to float
        Default deadline for the first token in seconds, by work class.
    """
    call = make_chat_call(
        routing=routing,
        request=request,
        caller=caller,
        deadlines_s=deadlines_s,
        requested_s=None,
        requested_class=requested_class,
    )
    explanation = Explanation(
        organisation=caller.organisation, plan=caller.plan.name, refusal=None
    )
    if isinstance(call, NotRun):
        explanation.refusal = problem_document(call)[1]
        return explanation
    placer, work = call.placer, call.work
    now = routing.clock()
    explanation.work_class = work.work_class
    explanation.weights_version = placer.version
    explanation.pieces = len(placer.prompt.keys)
    explanation.prompt_tokens = call.prompt_tokens
    explanation.queued = routing.gate.admission.queued(work.work_class)
    explanation.share = list(routing.shares.limiter.share(caller.organisation, now=now))
    # A copy, because a placement records the decisions that it makes.
    placement = copy.deepcopy(routing.placement(request.model))
    placement_request = PlacementRequest(
        keys=placer.prompt.keys,
        unversioned_keys=placer.prompt.unversioned_keys,
        tokens=placer.prompt.tokens,
        work_class=work.work_class,
        weights_version=placer.version,
    )
    candidates = placer.candidates(set())
    views = {
        view.engine: view
        for view in await placer.look_up(placement, placement_request, candidates)
    }
    explanation.engines = []
    available_engines = set(routing.gate.admission.engines_with_room(work, now=now))
    for candidate in candidates:
        estimate = copy.deepcopy(placement).choose(
            placement_request, [candidate], views=views.values(), now=now
        )
        explanation.engines.append(
            EngineExplanation(
                engine=candidate.name,
                owner=candidate.owner,
                answered=candidate.name in views,
                usable=candidate.serving,
                has_room=candidate.name in available_engines,
                depth=estimate.depth if estimate else 0,
                compute_tokens=estimate.compute_tokens if estimate else 0,
                expected_ttft_s=estimate.expected_ttft_s if estimate else 0.0,
            )
        )
    decision = placement.choose(
        placement_request, candidates, views=views.values(), now=now
    )
    explanation.chosen = decision.engine if decision else None
    return explanation
