"""What is known of the crashes of upstreams, and at how many moments they happened."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

# Crashes closer together than this may have one outside cause, such as a rack, unless a
# request was sent to the later upstream after it had been lost with the earlier one.
SAME_MOMENT_S = 0.5

CrashId = tuple[str, int]


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashedRun:
    """A request that an upstream had not got past the beginning of when it crashed.

    Attributes
    ----------
    instance, started_ms : str, int
        The incarnation of the upstream.
    vm : str
        VM that had sent the request.
    request : str
        Identity of the request.
    segments : tuple of str
        Shared segments of its prompt.
    begun : bool
        Whether the upstream had begun to answer.
    sent_at, at : float
        Time at which the request was sent, and time of the crash.
    """

    instance: str
    started_ms: int
    vm: str
    request: str
    segments: tuple[str, ...]
    begun: bool
    sent_at: float
    at: float

    @property
    def crash(self) -> CrashId:
        """Identity of the crash."""
        return (self.instance, self.started_ms)


@dataclass(slots=True, kw_only=True)
class Crash:
    """The time of a crash, and the requests that it cut off."""

    at: float
    requests: set[str] = field(default_factory=set)


def count_moments(runs: Iterable[CrashedRun]) -> int:
    """Return the number of separate moments at which upstreams crashed.

    Examples
    --------
    >>> def crash(engine, sent_at, at):
    ...     return CrashedRun(
    ...         instance=engine, started_ms=1, vm="vm1", request="q", segments=(),
    ...         begun=False, sent_at=sent_at, at=at,
    ...     )
    >>> together = [crash("e1", 0.9, 1.0), crash("e2", 0.9, 1.1)]
    >>> count_moments(together), count_moments([*together, crash("e3", 1.2, 1.3)])
    (1, 2)
    """
    crashes: dict[CrashId, list[CrashedRun]] = {}
    for run in runs:
        crashes.setdefault(run.crash, []).append(run)
    moments = 0
    began_at = -inf
    lost_at: dict[str, float] = {}
    for crash in sorted(crashes.values(), key=_time_of):
        resent = any(run.sent_at >= lost_at.get(run.request, inf) for run in crash)
        if resent or _time_of(crash) - began_at >= SAME_MOMENT_S:
            moments += 1
            began_at = _time_of(crash)
            lost_at = {}
        for run in crash:
            lost_at.setdefault(run.request, run.at)
    return moments


def _time_of(crash: list[CrashedRun]) -> float:
    return min(run.at for run in crash)
