"""Inputs and results of engine selection."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from endivelug.outstanding_work import OutstandingWork


@dataclass(slots=True, kw_only=True)
class Candidate:
    """One engine of the model, as known to the router.

    Attributes
    ----------
    incarnation : int
        Newest incarnation that the router has seen or received.
    weights_version : str
        Version of the model that the engine serves.
    serving : bool
        False if the engine is leaving, dead or ejected.
    owner : str
        Agent that keeps the engine's cache index.
    prefill_tokens_s : float
        Prefill speed of an idle engine, in tokens/s.
    own_work : OutstandingWork
        This router's own unfinished work on the engine.
    import_tokens_s : float
        Speed of importing stored KV cache, in tokens/s; 0 without a store.
    """

    name: str
    incarnation: int
    weights_version: str
    serving: bool = True
    owner: str = ""
    prefill_tokens_s: float = 8000.0
    own_work: OutstandingWork = field(default_factory=OutstandingWork)
    import_tokens_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that decide its placement.

    Attributes
    ----------
    keys, tokens : sequence of int
        Keys and token estimates of the prompt's segments, root first.
    work_class : str
        ``interactive`` or ``batch``.
    weights_version : str
        Version in the namespace of the keys; only engines that serve it are eligible.
    unversioned_keys : sequence of int
        Keys that select the preferred engines, `Prompt.unversioned_keys`. They do not
        depend on the weights version, so that a new version moves no prefix to another
        engine. If empty, ``keys`` are used.
    """

    keys: Sequence[int]
    tokens: Sequence[int]
    work_class: str
    weights_version: str
    unversioned_keys: Sequence[int] = ()


@dataclass(slots=True, kw_only=True)
class Decision:
    """Selected engine, with its expected cache content and work.

    Attributes
    ----------
    incarnation : int
        Incarnation of the engine at the time of the decision.
    depth : int
        Number of leading segments expected in the engine's cache.
    import_keys : list of int
        Keys that the engine should import from the KV cache store.
    compute_tokens : int
        Prefill tokens that the engine has to compute, for ``Announce.tokens``.
    announce_keys : list of int
        Keys that the engine caches afterwards, for ``Announce.keys``.
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
    """Weights of the cost that a request adds to other requests.

    Attributes
    ----------
    compute_weight : float
        Delay of other requests per second of prefill, in seconds.
    distance_cost_s : float
        Cost, in seconds, of a new copy of a prefix one step away from its preferred
        engines: the copy evicts other prefixes.
    batch_wait_weight : float
        Cost of one second of waiting for batch work, in seconds. With a larger value
        the backlog of a hot engine spills over and evicts the prefixes of other
        engines.
    """

    compute_weight: float
    distance_cost_s: float
    batch_wait_weight: float = 0.005


OBJECTIVES: dict[str, Objective] = {
    "latency": Objective(compute_weight=3.0, distance_cost_s=3.0),
    "reuse": Objective(compute_weight=1.0, distance_cost_s=5.0),
}
