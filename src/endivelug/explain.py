"""Why a request would be admitted, placed or refused as it is; changes nothing."""

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
    """What placement expects of one engine.

    Attributes
    ----------
    depth : int
        Leading pieces of the prompt expected in its cache.
    answered : bool
        Whether its owner answered the look-up.
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
        Problem document where the request would be refused.
    share : list of float
        Requests/s, tokens/s and streams that this router may use now.
    chosen : str or None
        Engine that would get the request.
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

    def document(self) -> dict[str, Any]:
        """Return the explanation as a JSON document."""
        return asdict(self)


def operator_token(secret: str) -> str:
    """Return the bearer token of the operators' address, from the link secret."""
    key = secret.encode()[:64]
    return hashlib.blake2b(b"operator", key=key, digest_size=16).hexdigest()


def is_operator(authorization: str, secret: str) -> bool:
    """Return whether an ``Authorization`` header carries the operators' token."""
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
        The running router's state; it is not changed.
    deadlines_s : dict of str to float
        Default seconds to the first token, by work class.
    """
    call = make_chat_call(
        routing=routing,
        request=request,
        caller=caller,
        deadlines_s=deadlines_s,
        requested_s=None,
        requested_class=requested_class,
    )
    found = Explanation(
        organisation=caller.organisation, plan=caller.plan.name, refusal=None
    )
    if isinstance(call, NotRun):
        found.refusal = problem_document(call)[1]
        return found
    placer, work = call.placer, call.work
    now = routing.clock()
    found.work_class = work.work_class
    found.weights_version = placer.version
    found.pieces = len(placer.prompt.keys)
    found.prompt_tokens = call.prompt_tokens
    found.queued = routing.gate.admission.queued(work.work_class)
    found.share = list(routing.shares.limiter.share(caller.organisation, now=now))
    # A copy, because a decision is remembered by the placement that made it.
    placement = copy.deepcopy(routing.placement(request.model))
    wanted = PlacementRequest(
        keys=placer.prompt.keys,
        unversioned_keys=placer.prompt.unversioned_keys,
        tokens=placer.prompt.tokens,
        work_class=work.work_class,
        weights_version=placer.version,
    )
    candidates = placer.candidates(set())
    views = {
        view.engine: view
        for view in await placer.look_up(placement, wanted, candidates)
    }
    found.engines = []
    room = set(routing.gate.admission.engines_with_room(work, now=now))
    for candidate in candidates:
        alone = copy.deepcopy(placement).choose(
            wanted, [candidate], views=views.values(), now=now
        )
        found.engines.append(
            EngineExplanation(
                engine=candidate.name,
                owner=candidate.owner,
                answered=candidate.name in views,
                usable=candidate.serving,
                has_room=candidate.name in room,
                depth=alone.depth if alone else 0,
                compute_tokens=alone.compute_tokens if alone else 0,
                expected_ttft_s=alone.expected_ttft_s if alone else 0.0,
            )
        )
    decision = placement.choose(wanted, candidates, views=views.values(), now=now)
    found.chosen = decision.engine if decision else None
    return found
