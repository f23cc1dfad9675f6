"""How long to send nothing to an upstream that stated when to try again."""

from dataclasses import dataclass

from endivelug.forwarding.requests import ResponseInfo

# A longer time is more likely a fault of the upstream than its wish: one that stops for
# longer states that in the registry.
MAX_PAUSE_S = 300.0


@dataclass(slots=True, kw_only=True, frozen=True)
class StatedPause:
    """A pause that an upstream asked for.

    Attributes
    ----------
    seconds : float
        Length of the pause; 0 if the stated time cannot be used, and the usual rules
        for a refusal apply.
    fault : str or None
        What is wrong with the stated time.
    """

    seconds: float
    fault: str | None = None


def stated_pause(info: ResponseInfo) -> StatedPause | None:
    """Return the pause that the head of a response asks for, or None.

    Examples
    --------
    >>> def pause(**stated):
    ...     info = ResponseInfo(not_run=True, signed=False, weights=None, idle_s=None,
    ...                         **stated)
    ...     return stated_pause(info)
    >>> pause()
    >>> pause(retry_after_s=1.5).seconds
    1.5
    >>> pause(retry_after_s=1e6)
    StatedPause(seconds=300.0, fault='1000000.0 is too long')
    >>> pause(invalid_retry_after="-3")
    StatedPause(seconds=0.0, fault="'-3' is no number of seconds")
    """
    if info.invalid_retry_after is not None:
        fault = f"{info.invalid_retry_after!r} is no number of seconds"
        return StatedPause(seconds=0.0, fault=fault)
    if info.retry_after_s is None:
        return None
    if info.retry_after_s > MAX_PAUSE_S:
        fault = f"{info.retry_after_s} is too long"
        return StatedPause(seconds=MAX_PAUSE_S, fault=fault)
    return StatedPause(seconds=info.retry_after_s)
