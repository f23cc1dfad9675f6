"""The rule that a planned stop of a router cuts off no request, and its excuses."""

from dataclasses import dataclass
from enum import Enum

from .disturbances import Disturbances, path_to
from .outcomes import Outcome
from .runs import Passage, Run

GRACE_S = 8.0
# A stop counts for this long after its grace period.
AFTER_GRACE_S = 1.0
# A request that the router has not passed on counts from this long after its last byte.
READ_S = 0.2
# An engine that still works in the last sixth of the grace period excuses requests that
# were sent within EARLY_S of the signal.
LAST_PART_S = GRACE_S * 5 / 6
EARLY_S = 3.0


@dataclass(slots=True, kw_only=True)
class PlannedStop:
    """One planned stop of a router.

    Attributes
    ----------
    signalled_at, ended_at : float
        When SIGTERM was sent and when the process had ended.
    killed : bool
        Whether the process was still running at the end of the grace period.
    """

    router: str
    signalled_at: float
    ended_at: float = float("inf")
    killed: bool = False

    def covers(self, at: float) -> bool:
        """Return whether the stop counts at a time."""
        return self.signalled_at <= at <= self.signalled_at + GRACE_S + AFTER_GRACE_S


class Excuse(Enum):
    """Why a request without a complete answer is not counted."""

    NOT_READ = "not read"
    HALF_CLOSED = "the caller shut down its sending side"
    DISTURBED = "disturbed"
    BROKEN_OFF = "the engine broke off"
    TIMED_OUT = "deadline or timeout reached"
    LATE_WORK = "the engine worked in the last sixth of the grace period"


@dataclass(slots=True, kw_only=True)
class StoppedRequest:
    """A request without a complete answer that ended during a planned stop."""

    outcome: Outcome
    stop: PlannedStop
    passages: list[Passage]
    runs: list[Run]

    def excuse(self, disturbances: Disturbances) -> Excuse | None:
        """Return why the request is not counted; None if it was cut off."""
        outcome = self.outcome
        read_for = outcome.ended_at - outcome.readable_at
        if not self.passages and read_for <= READ_S:
            return Excuse.NOT_READ
        if outcome.half_closed:
            return Excuse.HALF_CLOSED
        components = (
            outcome.router,
            *(path_to(item.address) for item in self.passages),
        )
        if not disturbances.none_during(components, outcome.sent_at, outcome.ended_at):
            return Excuse.DISTURBED
        if any(run.broke_off for run in self.runs):
            return Excuse.BROKEN_OFF
        if outcome.ended_at >= outcome.times_out_at:
            return Excuse.TIMED_OUT
        return Excuse.LATE_WORK if self._worked_late() else None

    def _worked_late(self) -> bool:
        """Return whether the end of the grace period came before that of the run.

        The connection must have ended in the last sixth as well, since an engine that
        does not notice a cut works on.
        """
        signalled_at = self.stop.signalled_at
        last_part_at = signalled_at + LAST_PART_S
        return (
            self.outcome.last_byte_at <= signalled_at + EARLY_S
            and self.outcome.ended_at >= last_part_at
            and any(
                run.at <= signalled_at + GRACE_S and run.ended_at >= last_part_at
                for run in self.runs
            )
        )

    def __str__(self) -> str:
        """Return the times of both sides in seconds after the signal."""
        zero, outcome = self.stop.signalled_at, self.outcome
        last_byte_at = outcome.last_byte_at - zero
        killed = " by SIGKILL" if self.stop.killed else ""
        passed = ", ".join(f"{item.at - zero:.3f}" for item in self.passages) or "never"
        runs = ", ".join(
            f"{run.at - zero:.3f} to {run.ended_at - zero:.3f}" for run in self.runs
        )
        return (
            f"{outcome.request} {outcome.kind} at {outcome.router}, sent "
            f"{outcome.sent_at - zero:.3f}, last byte {last_byte_at:.3f}, "
            f"passed on {passed}, ran {runs or 'never'}, ended "
            f"{outcome.ended_at - zero:.3f} s after the signal; status "
            f"{outcome.status}, {len(outcome.body)} bytes, {outcome.style}; "
            f"the process ended {self.stop.ended_at - zero:.3f}{killed}"
        )


def stopped_requests(
    outcomes: list[Outcome],
    stops: list[PlannedStop],
    passages: dict[str, list[Passage]],
    runs: dict[str, list[Run]],
) -> list[StoppedRequest]:
    """Return the requests without a complete answer that ended in a planned stop."""
    found = []
    for outcome in outcomes:
        stop = _stop_of(outcome, stops)
        if outcome.connected and not outcome.complete and stop is not None:
            found.append(
                StoppedRequest(
                    outcome=outcome,
                    stop=stop,
                    passages=passages.get(outcome.request, []),
                    runs=runs.get(outcome.request, []),
                )
            )
    return found


def _stop_of(outcome: Outcome, stops: list[PlannedStop]) -> PlannedStop | None:
    """Return the newest stop of its router during which a request ended."""
    covering = [
        stop
        for stop in stops
        if stop.router == outcome.router and stop.covers(outcome.ended_at)
    ]
    return max(covering, key=lambda stop: stop.signalled_at, default=None)
