"""Ejection of failing upstreams, probes, and gradual readmission."""

import random
from dataclasses import dataclass

# Consecutive failures after which an upstream is ejected. One failure is enough while
# the upstream is readmitted after a probe.
FAILURES_TO_EJECT = 3
# The delay before a probe starts at this value and doubles with each ejection.
PROBE_DELAY_BASE_S = 0.25
# Upper bound of the delay in a data centre with up to 20 routers.
PROBE_DELAY_MAX_S = 1.0
# With more routers the bound grows by this much per router, which keeps the probes of
# all routers at one upstream to about 20 per second.
PROBE_DELAY_PER_ROUTER_S = 0.05
# Upper bound of the delay for any number of routers.
PROBE_DELAY_LIMIT_S = 3.0
# A probe without an outcome (its task in the router was cancelled) counts as failed
# after this time.
PROBE_TIMEOUT_S = 10.0
# Duration of the ramp after a successful probe, and the fraction of the requests that
# is admitted at its start.
RAMP_S = 2.0
RAMP_START = 0.1


@dataclass(slots=True, kw_only=True)
class _UpstreamState:
    """State of one upstream that failed recently.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last completed ramp.
    probe_at : float or None
        Time from which a probe may be sent; None if the upstream is not ejected.
    probe_deadline : float or None
        Time at which the probe in flight counts as failed; None if there is no probe.
    ramp_started_at : float or None
        Start of the ramp; None if the upstream is not on a ramp.
    """

    failures: int = 0
    ejections: int = 0
    probe_at: float | None = None
    probe_deadline: float | None = None
    ramp_started_at: float | None = None


class Ejector:
    """Decides which upstreams one router may use.

    Healthy upstreams have no state. An upstream that fails repeatedly is ejected.
    After a jittered delay, one request at a time is admitted as a probe. After a
    successful probe, a growing fraction of the requests is admitted (the ramp).

    Parameters
    ----------
    rng : random.Random
        Source of the jitter and of the random admission during a ramp.
    routers : int
        Number of live routers of the data centre, which probe independently.
    """

    def __init__(self, *, rng: random.Random, routers: int = 1) -> None:
        self.rng = rng
        self.routers = routers
        self._upstreams: dict[str, _UpstreamState] = {}

    def is_usable(self, upstream: str, *, now: float) -> bool:
        """Return whether a request may be sent to the upstream.

        During a ramp, each call is admitted or rejected at random. The caller has to
        call ``record_dispatch`` for the one upstream that it chooses.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return True
        if state.probe_at is not None:
            if state.probe_deadline is not None:
                if now < state.probe_deadline:
                    return False
                self._eject(state, now=now)
            return now >= state.probe_at
        if state.ramp_started_at is not None:
            return self.rng.random() < self._admitted_fraction(state, now=now)
        return True

    def record_dispatch(self, upstream: str, *, now: float) -> None:
        """Record that a request is sent; for an ejected upstream it is a probe."""
        state = self._upstreams.get(upstream)
        if state is not None and state.probe_at is not None:
            state.probe_deadline = now + PROBE_TIMEOUT_S

    def record_success(self, upstream: str, *, now: float) -> None:
        """Record a successful response from the upstream."""
        state = self._upstreams.get(upstream)
        if state is None:
            return
        state.failures = 0
        if state.probe_at is not None:
            if state.probe_deadline is None:
                # A response to a request sent before the ejection says nothing about
                # the present state of the upstream.
                return
            state.probe_at = state.probe_deadline = None
            state.ramp_started_at = now
        elif state.ramp_started_at is not None:
            if self._admitted_fraction(state, now=now) >= 1.0:
                del self._upstreams[upstream]
        else:
            del self._upstreams[upstream]

    def record_failure(self, upstream: str, *, now: float) -> None:
        """Record a failed request: no connection, a 5xx response or a timeout."""
        state = self._upstreams.setdefault(upstream, _UpstreamState())
        state.failures += 1
        if state.probe_at is not None:
            if state.probe_deadline is not None:
                self._eject(state, now=now)
        elif state.ramp_started_at is not None or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now=now)

    def retry_after_s(self, upstreams: list[str], *, now: float) -> float:
        """Return the seconds until one of the upstreams may become usable."""
        waits = [self._max_probe_delay_s()]
        for upstream in upstreams:
            state = self._upstreams.get(upstream)
            if state is None or state.probe_at is None:
                return 0.1
            waits.append(max(0.1, state.probe_at - now))
        return min(waits)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether the upstream is ejected and admits only probes."""
        state = self._upstreams.get(upstream)
        return state is not None and state.probe_at is not None

    def remove(self, upstream: str) -> None:
        """Remove the state of an upstream that was removed or has restarted."""
        self._upstreams.pop(upstream, None)

    def _admitted_fraction(self, state: _UpstreamState, *, now: float) -> float:
        """Return the fraction of requests admitted at this point of the ramp."""
        assert state.ramp_started_at is not None
        elapsed = max(0.0, now - state.ramp_started_at) / RAMP_S
        return min(1.0, RAMP_START + (1.0 - RAMP_START) * elapsed)

    def _max_probe_delay_s(self) -> float:
        shared_s = self.routers * PROBE_DELAY_PER_ROUTER_S
        return min(PROBE_DELAY_LIMIT_S, max(PROBE_DELAY_MAX_S, shared_s))

    def _eject(self, state: _UpstreamState, *, now: float) -> None:
        """Eject the upstream, or keep it ejected, and schedule its next probe."""
        state.ejections += 1
        ceiling_s = min(
            self._max_probe_delay_s(),
            PROBE_DELAY_BASE_S * 2.0 ** min(state.ejections - 1, 32),
        )
        # Half of the delay is fixed so that a dead upstream is not probed immediately.
        state.probe_at = now + ceiling_s * self.rng.uniform(0.5, 1.0)
        state.probe_deadline = None
        state.ramp_started_at = None
