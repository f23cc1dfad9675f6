"""Selects the upstream for a call to a service without engines.

Load pattern: short calls to a few upstreams with few slots each; an upstream that hangs
or fails keeps its slots busy. The upstream with the lowest load per slot is chosen; the
caller of this module leaves out upstreams that failed recently.
"""

from collections import Counter
from dataclasses import dataclass

from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# Load per slot that is added for an upstream in another data centre.
REMOTE_LOAD_PENALTY = 0.25
# Requests per slot, running and queued, that an upstream may have; further requests
# wait at the router.
MAX_REQUESTS_PER_SLOT = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamState:
    """State of one upstream at the time of the choice."""

    name: str
    local: bool
    requests: int
    slots: int
    slowdown: float


def choose_upstream(upstreams: list[UpstreamState]) -> str | NoPlacement:
    """Return the upstream with the lowest cost, or why the call has to wait.

    Examples
    --------
    >>> idle = UpstreamState(name="a", local=False, requests=0, slots=6, slowdown=1.0)
    >>> busy = UpstreamState(name="b", local=True, requests=6, slots=6, slowdown=1.0)
    >>> choose_upstream([idle, busy])
    'a'
    """
    best: tuple[float, str] | None = None
    for upstream in upstreams:
        load = upstream.requests / max(1, upstream.slots)
        if load >= MAX_REQUESTS_PER_SLOT:
            continue
        cost = (load + 1.0 / max(1, upstream.slots)) * upstream.slowdown
        cost += 0.0 if upstream.local else REMOTE_LOAD_PENALTY
        if best is None or cost < best[0]:
            best = (cost, upstream.name)
    if best is None:
        return NoPlacement(reasons=Counter({WaitReason.NO_SLOT: len(upstreams)}))
    return best[1]
