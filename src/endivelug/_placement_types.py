"""Inputs and results of a placement."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from endivelug.outstanding_work import OutstandingWork


@dataclass(slots=True, kw_only=True)
class Candidate:
    """One engine of the model as the router knows it.

    Attributes
    ----------
    incarnation : int
        Newest incarnation that the router has seen or been told of.
    weights_version : str
        Version of the model that the engine serves.
    serving : bool
        False where the engine is leaving, dead or ejected.
    owner : str
        Agent that owns the engine's evidence.
    prefill_tokens_s : float
        Prefill speed of an idle engine.
    private : OutstandingWork
        This router's own unfinished work on the engine.
    import_tokens_s : float
        Speed of importing kept KV cache; 0 without a store.
    """

    name: str
    incarnation: int
    weights_version: str
    serving: bool = True
    owner: str = ""
    prefill_tokens_s: float = 8000.0
    private: OutstandingWork = field(default_factory=OutstandingWork)
    import_tokens_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """What a placement needs to know of one request.

    Attributes
    ----------
    keys, tokens : sequence of int
        Keys and token estimates of the prompt's pieces, root first.
    work_class : str
        ``interactive`` or ``batch``.
    weights_version : str
        Version in the namespace of the keys; other engines are not candidates.
    home_keys : sequence of int
        Keys that choose the homes, `Prompt.home_keys`: they do not depend on the
        weights version, so that a new version moves no prefix to another engine.
        ``keys`` are used where it is empty.
    """

    keys: Sequence[int]
    tokens: Sequence[int]
    work_class: str
    weights_version: str
    home_keys: Sequence[int] = ()


@dataclass(slots=True, kw_only=True)
class Decision:
    """Chosen engine and what is expected of it.

    Attributes
    ----------
    incarnation : int
        Incarnation that the decision relied on.
    depth : int
        Leading pieces expected in the engine's cache.
    import_keys : list of int
        Keys that the engine should import from the store of kept KV cache.
    compute_tokens : int
        Prefill tokens that the engine has to compute, for ``Announce.tokens``.
    announce_keys : list of int
        Keys that the engine will then hold, for ``Announce.keys``.
    expected_ttft_s : float
        Expected seconds to the first token.
    """

    engine: str
    incarnation: int
    depth: int
    import_keys: list[int]
    compute_tokens: int
    announce_keys: list[int]
    expected_ttft_s: float


@dataclass(slots=True, kw_only=True)
class Objective:
    """Weights of the cost that a request imposes on others.

    Attributes
    ----------
    compute_weight : float
        Cost to others of one second of computing, in seconds.
    away_s : float
        Cost of a new copy of a prefix one step away from its homes, in seconds: the
        copy evicts others.
    batch_wait_weight : float
        Value of a second of waiting of batch work; a larger one makes the backlog
        of a hot engine spill over and evict the prefixes of the others.
    """

    compute_weight: float
    away_s: float
    batch_wait_weight: float = 0.005


OBJECTIVES: dict[str, Objective] = {
    "latency": Objective(compute_weight=3.0, away_s=3.0),
    "reuse": Objective(compute_weight=1.0, away_s=5.0),
}
