"""Choice of the upstream of a plain service.

Load pattern: short calls over few upstreams with few slots; an upstream that hangs or
fails keeps its slots busy. The upstream with the least work per slot is chosen, and one
that fails is left for a while.
"""

from dataclasses import dataclass

# Work of another data centre counts this much of a slot more.
REMOTE_LOAD = 0.25
# Requests per slot that may wait inside an upstream; the rest waits at the router.
MAX_LOAD = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamState:
    """What the choice knows of one upstream."""

    name: str
    local: bool
    requests: int
    slots: int
    slowness: float


def choose_upstream(upstreams: list[UpstreamState]) -> str | None:
    """Return the upstream for a call, or None where it has to wait.

    Examples
    --------
    >>> idle = UpstreamState(name="a", local=False, requests=0, slots=6, slowness=1.0)
    >>> busy = UpstreamState(name="b", local=True, requests=6, slots=6, slowness=1.0)
    >>> choose_upstream([idle, busy])
    'a'
    """
    best: tuple[float, str] | None = None
    for upstream in upstreams:
        load = upstream.requests / max(1, upstream.slots)
        if load >= MAX_LOAD:
            continue
        cost = (load + 1.0 / max(1, upstream.slots)) * upstream.slowness
        cost += 0.0 if upstream.local else REMOTE_LOAD
        if best is None or cost < best[0]:
            best = (cost, upstream.name)
    return best[1] if best else None
