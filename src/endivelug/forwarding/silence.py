"""Finds instances that fell silent although they have work.

Load pattern: an engine stops without closing its connections. Each request sent to it
is lost if it may run only once, so the instance has to be left within a second, by all
routers. A silent instance gets requests again once a new connection to it is made.
"""

from endivelug.forwarding.engine_load import InstanceLoad

# Longest silence of an engine with work: a piece of a prompt takes a tenth of a second.
ENGINE_SILENCE_S = 0.6
# A service's calls take tens of milliseconds.
SERVICE_SILENCE_S = 0.5
# A long prompt that is read alone gives no sign until it has been read.
READING_FACTOR = 2.0


def is_silent(
    load: InstanceLoad, *, now: float, engine: bool, tokens_per_s: float
) -> bool:
    """Return whether an instance has given no sign for too long.

    Parameters
    ----------
    engine : bool
        Whether it is an engine; plain services answer sooner.
    tokens_per_s : float
        Reading rate of the engines.
    """
    if not load.work:
        return False
    oldest = min(work.sent_at for work in load.work.values())
    quiet_s = now - max(oldest, load.last_answer_at)
    if not engine:
        return quiet_s > SERVICE_SILENCE_S * load.current_slowness(now=now)
    missing = sum(
        work.missing_tokens for work in load.work.values() if not work.started
    )
    slowness = max(1.0, load.current_slowness(now=now))
    reading_s = READING_FACTOR * slowness * missing / tokens_per_s
    return quiet_s > ENGINE_SILENCE_S + reading_s
