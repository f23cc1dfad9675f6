"""Limits how many requests all VMs have at an upstream that starts or recovers.

Load pattern: an upstream that has just started or come back is idle, so every VM
prefers it at the same moment, while its caches are cold and it may still be faulty. Its
limit starts low, grows with each good response (doubling in a round trip, as the slow
start of TCP does), grows slowly while responses are late, and is halved at once on
failures. Beyond its slots it is warm and has no limit any more. Sources: Jacobson,
"Congestion avoidance and control", SIGCOMM 1988; Chiu and Jain, "Analysis of the
increase and decrease algorithms for congestion avoidance", Computer Networks, 1989.
"""

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from endivelug.forwarding.candidate_sampling import REPORT_AGE_S

# First limit of an upstream that states itself that it is ready, as a share of its
# slots.
START_SHARE = 0.25
# The same for one that has run before, with new weights or after a cancelled drain: its
# process is warm, only its cache may be empty.
RESUMED_SHARE = 0.5
# First limit of one that failed: one request shows whether it answers.
PROBE_LIMIT = 1.0
# What a late response adds to the limit; a good one adds 1. Late responses must lead
# out of the slow start too, or an upstream that is slow for good would stay limited.
LATE_GROWTH = 0.25
FAILURE_FACTOR = 0.5
# Failures of requests that were in progress at the same time count once.
REDUCE_INTERVAL_S = 0.25
# A request is sent after this time also beyond the limit: requests that hang, or that
# were sent before the upstream failed, must not keep it from being tried.
TRIAL_INTERVAL_S = 0.5
# VMs that limit an upstream exceed the limit together by less than this, because each
# knows the requests of the others with some delay.
FREE_USE_FACTOR = 1.5
FREE_USE_REQUESTS = 2
# Bound on how often the part that a VM may use of an idle upstream doubles.
MAX_DOUBLINGS = 2.0
# Time without failures before an upstream counts as warm.
CLEAN_S = 1.0
# After this time an upstream that answers is warm, however few requests it got.
MAX_SLOW_START_S = 20.0
# Share of its slots that an upstream with failures may have if its service has no warm
# one at all.
LAST_RESORT_SHARE = 0.5
# A first response within this multiple of its predicted time, or within this share of
# the route's target, is good.
GOOD_RATIO = 2.0
GOOD_TARGET_SHARE = 0.25
# For plain services no time is predicted.
GOOD_PLAIN_TARGET_SHARE = 0.5
# Long prompts wait until half of the slots are in use, but no longer than this: a
# service may have no short ones.
LONG_PROMPT_SHARE = 0.5
LONG_PROMPT_WAIT_S = 2.0


class Cause(Enum):
    """Why an upstream is in slow start; the values are written to the log."""

    STARTED = "started"
    DRAIN_CANCELLED = "drain cancelled"
    NEW_WEIGHTS = "new weights"
    AVOIDED = "was avoided"


class WorkSize(Enum):
    """Size of a request for an upstream; smaller ones are sent first."""

    SHORT = 0
    CACHED = 1
    LONG = 2


def window_share(*, share: float, requests_per_s: float) -> float:
    """Return the part of the room that a VM may use in one window.

    A VM opens a window when it has a request. One with few requests opens few windows,
    and may use more in each than its share of the requests.

    Parameters
    ----------
    share : float
        This VM's share of the requests of all VMs.

    Examples
    --------
    >>> round(window_share(share=1 / 7, requests_per_s=4000.0), 3)
    0.143
    >>> round(window_share(share=1 / 195, requests_per_s=40.0), 2)
    0.1
    >>> window_share(share=1 / 195, requests_per_s=1.0)
    1.0
    """
    expected = share * requests_per_s * REPORT_AGE_S
    if expected <= 0:
        return 1.0
    return min(1.0, share / -math.expm1(-expected))


def is_good(*, seconds: float, expected_s: float, target_s: float) -> bool:
    """Return whether a first response came in the time that the load predicts.

    Parameters
    ----------
    expected_s : float
        Predicted time, without the measured slowdown of the upstream; 0 if unknown.

    Examples
    --------
    >>> is_good(seconds=0.3, expected_s=0.2, target_s=1.0)
    True
    >>> is_good(seconds=2.0, expected_s=0.2, target_s=1.0)
    False
    """
    if expected_s <= 0:
        return seconds <= GOOD_PLAIN_TARGET_SHARE * target_s
    return seconds <= max(GOOD_RATIO * expected_s, GOOD_TARGET_SHARE * target_s)


@dataclass(slots=True, kw_only=True)
class SlowStart:
    """Limit of one upstream in slow start.

    Attributes
    ----------
    limit : float
        Requests that all VMs together may have there.
    answers : int
        Responses since the beginning.
    failed_at, evidence_at : float
        Times of the last failure and of the last evidence of any kind.
    idle_since : float
        Time since which no VM is known to have a request there, or since which the
        upstream may be used.
    sent_at : float
        Time of the last request of this VM, or of the beginning.
    window_ends, allotment : float, int
        End of the current window, and the requests that this VM may still send in it.
    """

    cause: Cause
    slots: int
    limit: float
    began_at: float
    answers: int = 0
    failed_at: float = float("-inf")
    reduced_at: float = float("-inf")
    evidence_at: float = float("-inf")
    idle_since: float = float("-inf")
    sent_at: float = float("-inf")
    window_ends: float = float("-inf")
    allotment: int = 0

    @property
    def first_limit(self) -> float:
        """Limit after the first good response."""
        return max(PROBE_LIMIT, START_SHARE * self.slots)

    def record_sent(self, *, now: float) -> None:
        """Count a request of this VM."""
        self.sent_at = now
        self.allotment -= 1

    def record_ended(self) -> None:
        """Return the place of a request of this VM, which the others see only later."""
        self.allotment += 1

    def record_answers(self, *, good: int, late: int, now: float) -> None:
        """Raise the limit after responses at any VM."""
        if not good and not late:
            return
        self.answers += good + late
        self.evidence_at = now
        if good:
            self.limit = max(self.limit, self.first_limit)
        self.limit += good + LATE_GROWTH * late

    def record_failure(self, *, now: float) -> bool:
        """Halve the limit after failures; return whether it was changed."""
        self.failed_at = self.evidence_at = now
        if now < self.reduced_at + REDUCE_INTERVAL_S:
            return False
        self.reduced_at = now
        before = self.limit
        # The limit may be far above what was in use when the upstream failed.
        capped = min(self.limit, float(self.slots))
        self.limit = max(PROBE_LIMIT, FAILURE_FACTOR * capped)
        return self.limit != before

    def record_avoided(self, *, until: float, now: float) -> None:
        """Begin again with one request, because the upstream is avoided."""
        self.failed_at = self.evidence_at = self.reduced_at = now
        self.idle_since = max(self.idle_since, until)
        self.limit = PROBE_LIMIT

    def record_running(self, requests: int, *, now: float) -> None:
        """Raise the limit if far more requests run there without failures.

        Other VMs then treat the upstream as warm, because only this VM's path to it had
        failed, or the requests had survived the failure.
        """
        used_freely = requests > FREE_USE_FACTOR * self.limit + FREE_USE_REQUESTS
        if used_freely and now >= self.failed_at + CLEAN_S:
            self.limit = requests + self.first_limit

    def is_warm(self, *, now: float) -> bool:
        """Return whether the upstream needs no limit any more."""
        if not self.answers or now < self.failed_at + CLEAN_S:
            return False
        return self.limit >= self.slots or now >= self.began_at + MAX_SLOW_START_S

    def accepts(self, size: WorkSize, *, now: float) -> bool:
        """Return whether it is the turn of requests of a size."""
        if size is WorkSize.SHORT or now >= self.began_at + LONG_PROMPT_WAIT_S:
            return True
        if size is WorkSize.CACHED:
            return self.answers > 0
        return self.limit >= LONG_PROMPT_SHARE * self.slots

    def may_send(
        self, *, used: int, limit: float, share: float, now: float, rng: random.Random
    ) -> bool:
        """Return whether this VM may send one more request.

        The other VMs see the same room until the next reports. Each therefore takes its
        share of it for the age of a report, a fraction by chance, so that all together
        send as many as there is room for on average. The first probe is thus one
        request and not one from each VM. If chance has chosen nobody, the part that
        each takes doubles in each further window.

        Parameters
        ----------
        used : int
            Requests of all VMs there.
        share : float
            Part of the room that this VM may use; see ``window_share``.
        """
        if used:
            self.idle_since = now
        room = limit - used
        if room < 1.0 and now >= self.sent_at + TRIAL_INTERVAL_S:
            room = 1.0
        if room < 1.0:
            return False
        if share >= 1.0:
            return True
        if now >= self.window_ends:
            self.window_ends = now + REPORT_AGE_S
            idle = (now - max(self.idle_since, self.evidence_at)) / REPORT_AGE_S
            doublings = min(max(idle - 1.0, 0.0), MAX_DOUBLINGS)
            part = min(1.0, share * 2.0**doublings)
            fraction, whole = math.modf(room * part)
            self.allotment = int(whole) + (rng.random() < fraction)
        return self.allotment > 0


@dataclass(slots=True, kw_only=True)
class PaceController:
    """The upstreams in slow start, by name; a warm one has no state.

    Attributes
    ----------
    starts : dict of str to SlowStart
        Upstreams in slow start.
    """

    starts: dict[str, SlowStart] = field(default_factory=dict)

    def begin(
        self, name: str, cause: Cause, *, slots: int, used: int, now: float
    ) -> SlowStart:
        """Limit an upstream that starts or recovers."""
        start = SlowStart(
            cause=cause,
            slots=slots,
            limit=PROBE_LIMIT,
            began_at=now,
            idle_since=now,
            sent_at=now,
        )
        match cause:
            case Cause.AVOIDED:
                start.record_avoided(until=now, now=now)
            # What it runs already is no reason to give it nothing more.
            case Cause.STARTED:
                start.limit = used + start.first_limit
            case Cause.DRAIN_CANCELLED | Cause.NEW_WEIGHTS:
                start.limit = used + max(PROBE_LIMIT, RESUMED_SHARE * slots)
        self.starts[name] = start
        return start

    def held_back(
        self,
        names: list[str],
        *,
        sizes: dict[str, WorkSize],
        used: dict[str, int],
        share: float,
        now: float,
        rng: random.Random,
    ) -> set[str]:
        """Return which of the usable upstreams of a service a request is not sent to.

        If none of them is warm, those without failures are not limited, so that a
        service that starts as a whole serves at once what it would have served.

        Parameters
        ----------
        sizes, used : dict
            Size of the request at each usable upstream, and the requests of all VMs at
            those in slow start.
        """
        cold = [name for name in names if name in self.starts]
        only_cold = len(cold) == len(names)
        held = set()
        for name in cold:
            start = self.starts[name]
            limit = start.limit
            if only_cold and start.failed_at == float("-inf"):
                start.limit = max(limit, used[name] + 1.0)
                continue
            if only_cold:
                limit = max(limit, LAST_RESORT_SHARE * start.slots)
            elif not start.accepts(sizes[name], now=now):
                held.add(name)
                continue
            if not start.may_send(
                used=used[name], limit=limit, share=share, now=now, rng=rng
            ):
                held.add(name)
        return held
