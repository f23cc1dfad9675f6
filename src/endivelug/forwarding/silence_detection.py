"""Detects instances that have requests in progress but send nothing.

Load pattern: an engine hangs without closing its connections. Each request sent to it
is lost if it may run only once, so all routers have to stop sending to the instance
within a second. A silent instance gets requests again once a new connection to it
succeeds. One that is quiet for a shorter time is only suspected: a connection attempt
shows whether it can be reached.
"""

from endivelug.forwarding.instance_load import InstanceLoad
from endivelug.forwarding.neighbour_sums import Load

# Longest silence of a busy engine: it prefills one chunk of a prompt in a tenth of a
# second.
ENGINE_SILENCE_S = 0.6
# Silence of a busy engine after which a connection attempt checks it.
ENGINE_SUSPECT_S = 0.35
# Longest silence of a plain service, whose calls take tens of milliseconds.
SERVICE_SILENCE_S = 0.5
# Factor on the expected prefill time: an engine that prefills a single long prompt
# sends nothing until the prefill is done.
PREFILL_TIME_FACTOR = 2.0


def is_silent(
    load: InstanceLoad,
    *,
    total: Load,
    now: float,
    engine: bool,
    tokens_per_s: float,
    silence_s: float = ENGINE_SILENCE_S,
    running_since: float = float("-inf"),
) -> bool:
    """Return whether a busy instance has sent nothing to any VM for too long.

    Parameters
    ----------
    total : Load
        Requests of all VMs at the instance. A VM of a large deployment has few of its
        own, which wait for those of the others.
    engine : bool
        Whether the instance is an engine; plain services respond sooner.
    tokens_per_s : float
        Prefill rate of the engines.
    silence_s : float
        Longest silence of an engine that prefills nothing.
    running_since : float
        End of the last pause of this process, during which it read nothing.
    """
    if not load.work:
        return False
    oldest = min(work.sent_at for work in load.work.values())
    silent_s = now - max(oldest, load.last_heard_at, running_since)
    if not engine:
        return silent_s > SERVICE_SILENCE_S * load.current_slowdown(now=now)
    slowdown = max(1.0, load.current_slowdown(now=now))
    prefill_s = PREFILL_TIME_FACTOR * slowdown * total.uncached_tokens / tokens_per_s
    return silent_s > silence_s + prefill_s
