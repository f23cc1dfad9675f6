"""Lost runs of upstreams that may have crashed, until that is known."""

from dataclasses import dataclass, field

from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.instances import Instance

# The connections of an upstream that has crashed close within this time.
CLOSED_TOGETHER_S = 1.0
# An upstream that has crashed is back within this time; one that comes later may have
# ended for a reason that has nothing to do with the run.
KEPT_S = 10.0
MAX_UPSTREAMS = 256
MAX_RUNS = 64


@dataclass(slots=True, kw_only=True, frozen=True)
class _LostRun:
    """A run, and whether the upstream closed its connection."""

    run: CrashedRun
    closed: bool


@dataclass(slots=True, kw_only=True)
class _LostAt:
    """An upstream, and the runs that were lost there."""

    instance: Instance
    runs: list[_LostRun] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class LostRuns:
    """Lost runs of the last seconds by the incarnation of their upstream."""

    by_incarnation: dict[tuple[str, int], _LostAt] = field(default_factory=dict)

    def add(self, instance: Instance, run: CrashedRun, *, closed: bool) -> None:
        """Keep a run.

        Parameters
        ----------
        closed : bool
            Whether the upstream closed the connection; otherwise the router left it.
        """
        self._expire(run.at)
        key = instance.incarnation
        lost = self.by_incarnation.setdefault(key, _LostAt(instance=instance))
        lost.runs.append(_LostRun(run=run, closed=closed))
        del lost.runs[:-MAX_RUNS]
        if len(self.by_incarnation) > MAX_UPSTREAMS:
            del self.by_incarnation[next(iter(self.by_incarnation))]

    def take_closed(self, instance: Instance, *, now: float) -> list[CrashedRun]:
        """Return the runs that were in progress when an upstream has just crashed.

        The others of its incarnation are dropped: the router had left them before.
        """
        lost = self.by_incarnation.pop(instance.incarnation, None)
        if lost is None:
            return []
        since = now - CLOSED_TOGETHER_S
        return [item.run for item in lost.runs if item.closed and item.run.at >= since]

    def take_replaced(self, started: Instance, *, now: float) -> list[CrashedRun]:
        """Return the runs of the incarnation at whose address another has started."""
        self._expire(now)
        for key, lost in self.by_incarnation.items():
            known = lost.instance
            same_place = (known.address, known.service) == (
                started.address,
                started.service,
            )
            if same_place and key != started.incarnation:
                del self.by_incarnation[key]
                return [item.run for item in lost.runs]
        return []

    def discard(self, instance: Instance) -> None:
        """Drop the runs of an upstream that stops as announced."""
        self.by_incarnation.pop(instance.incarnation, None)

    def _expire(self, now: float) -> None:
        for key, lost in list(self.by_incarnation.items()):
            lost.runs = [item for item in lost.runs if item.run.at > now - KEPT_S]
            if not lost.runs:
                del self.by_incarnation[key]
