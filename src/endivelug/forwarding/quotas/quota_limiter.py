"""State of the quotas by organisation, with what the VMs report to each other."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from endivelug.forwarding.quotas.bucket import NO_USE, Bucket, OthersUse
from endivelug.forwarding.quotas.quota import Quota, Tolerance
from endivelug.forwarding.quotas.usage import OwnUse, ReportBounds
from endivelug.forwarding.shared_amounts import SharedAmounts

KIND = "quota"
# Rates of a VM stay in the sums for about this long after its link has closed; the
# limit of the others is lowered after that, so that nothing is subtracted twice.
SHARE_DELAY_S = 1.5
# Blocks end every half second. After a longer time without an end this process was
# paused, and does not know what the other VMs have used.
PAUSE_S = 1.0
# State of an organisation without demand is kept beyond the window for this long.
IDLE_MARGIN_S = 2.0
# Range of the times after which refused callers return.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 30.0
# Least part of the time until there is room over which refused callers are spread.
RETRY_SPREAD_S = 0.5


@dataclass(slots=True, kw_only=True)
class QuotaRefusal:
    """Why a request is over the quota, and when there may be room for it.

    Attributes
    ----------
    level, offered : float
        Estimated level in units, and units per second that all VMs are offered.
    share : float
        Part of the limit that this VM and those that report to it may use.
    retry_after_s : float
        Time after which to retry.
    """

    quota: Quota
    level: float
    offered: float
    share: float
    retry_after_s: float


@dataclass(slots=True, kw_only=True)
class _State:
    bucket: Bucket
    use: OwnUse
    bounds: ReportBounds
    demand_at: float = 0.0


class QuotaLimiter:
    """Admits requests within the quotas of organisations.

    Parameters
    ----------
    shared : SharedAmounts
        Units admitted and offered per second by organisation, at all VMs.
    rng : random.Random
        Source of the admissions above the limit and of the retry times.

    Attributes
    ----------
    vms, represented_vms : int
        VMs that share the quotas, and those of them that report, this one included.
    counted : bool
        Whether ``vms`` is known; until then nothing is admitted.
    full_from : float
        Time from which a new bucket is full.
    ran_at : float
        Time of the end of the last block, or of the end of a pause that was noticed.
    """

    def __init__(
        self,
        *,
        shared: SharedAmounts,
        tolerance: Tolerance,
        rng: random.Random,
    ) -> None:
        self.shared = shared
        self.tolerance = tolerance
        self.rng = rng
        self.vms = 1
        self.represented_vms = 1
        self.counted = True
        self.full_from = float("-inf")
        self.ran_at = float("inf")
        self._share = 1.0
        self._counted_vms = 1
        self._bounds_vms = 1
        self._fewer_at: float | None = None
        self._states: dict[str, _State] = {}

    @property
    def share(self) -> float:
        """Part of each limit that this VM and those that report to it may use."""
        return self._share

    def assume_predecessor(self, *, now: float) -> None:
        """Assume that a former process of this VM has used the bursts.

        Nothing is admitted until the VMs are counted, and new buckets are empty until
        the window has passed.
        """
        self.full_from = now + self.tolerance.window_s
        self.counted = False
        self._share = 0.0

    def level_of(self, organisation: str) -> float | None:
        """Return the level of an organisation with state."""
        state = self._states.get(organisation)
        return None if state is None else state.bucket.level

    def organisations(self) -> int:
        """Return the number of organisations with state."""
        return len(self._states)

    def admit(
        self,
        organisation: str,
        quota: Quota,
        units: int,
        *,
        now: float,
        is_returning: Callable[[], bool] = lambda: False,
    ) -> QuotaRefusal | None:
        """Charge a request and return None, or return why it is over the quota.

        Parameters
        ----------
        is_returning : callable
            Whether the caller was refused before and waited; called only if needed.
        """
        self._notice_pause(now)
        state = self._states.get(organisation)
        if state is None:
            state = self._add(organisation, quota, now=now)
        bucket, use = state.bucket, state.use
        if bucket.quota is not quota:
            bucket.reconfigure(quota)
            state.bounds = self._bounds(quota)
        state.demand_at = now
        if units <= bucket.largest:
            # One that is never admitted must not take the place of others.
            use.offered_units += units
        others = self._others(organisation)
        bucket.advance(others, now=now)
        use.check_rise(state.bounds, others_offered=others.offered)
        if not bucket.covers(units, others):
            probability = bucket.admission_probability(
                units,
                others,
                own_offered=use.current_offered_per_s,
                returning=is_returning(),
            )
            if self.rng.random() >= probability:
                return self._refusal(state, units, others)
        bucket.charge(units)
        self._record(organisation, state, units, now=now)
        return None

    def charge(self, organisation: str, units: int, *, now: float) -> None:
        """Charge a further run of a request that was admitted."""
        state = self._states.get(organisation)
        if state is not None:
            state.bucket.charge(units)
            self._record(organisation, state, units, now=now)

    def refund(self, organisation: str, units: int) -> None:
        """Give back the units of a run that certainly did not happen."""
        state = self._states.get(organisation)
        if state is not None:
            state.bucket.refund(units)
            state.use.record_admitted(-units, state.bounds)

    def advance(self, organisation: str, *, now: float) -> None:
        """Update the level before the use that other VMs report changes."""
        self._notice_pause(now)
        state = self._states.get(organisation)
        if state is not None:
            state.bucket.advance(self._others(organisation), now=now)

    def end_block(self, quotas: Mapping[str, Quota], *, now: float) -> None:
        """Update every organisation with recent demand, and what is reported of it.

        Parameters
        ----------
        quotas : mapping of str to Quota
            Quotas in force by organisation.
        """
        self._notice_pause(now)
        self.ran_at = now
        self._update_share(now)
        vms_changed = self.vms != self._bounds_vms
        self._bounds_vms = self.vms
        for organisation in self.shared.keys() - self._states.keys():
            # Demand at other VMs lowers the level here, too.
            if organisation in quotas:
                self._add(organisation, quotas[organisation], now=now)
        for organisation, state in list(self._states.items()):
            quota = quotas.get(organisation)
            if quota is None:
                self._drop(organisation)
                continue
            if vms_changed or state.bucket.quota != quota:
                state.bucket.reconfigure(quota)
                state.bounds = self._bounds(quota)
            self._end_block_of(organisation, state, now=now)

    def _notice_pause(self, now: float) -> None:
        """Assume after a pause that the other VMs have used the bursts meanwhile.

        Their reports of that time are read at once and show only their last rates.
        """
        if now - self.ran_at <= PAUSE_S:
            return
        self.ran_at = now
        if self.vms <= 1:
            return
        self.full_from = max(self.full_from, now + self.tolerance.window_s)
        for organisation, state in self._states.items():
            state.bucket.advance(self._others(organisation), now=now)
            state.bucket.level = min(state.bucket.level, 0.0)

    def _end_block_of(self, organisation: str, state: _State, *, now: float) -> None:
        others, use = self._others(organisation), state.use
        state.bucket.set_share(self._share)
        state.bucket.advance(others, now=now)
        if self.vms <= 1 and not any(use.reported):
            use.end_block_alone()
        elif use.end_block(state.bounds, others_offered=others.offered, now=now):
            self.shared.set_own(organisation, use.reported)
        idle_s = now - state.demand_at
        if (
            idle_s > self.tolerance.window_s + IDLE_MARGIN_S
            and not any(use.reported)
            and others == NO_USE
        ):
            del self._states[organisation]

    def _add(self, organisation: str, quota: Quota, *, now: float) -> _State:
        bucket = Bucket.full(quota, self.tolerance, now=now, share=self._share)
        if now < self.full_from:
            bucket.level = 0.0
        bounds = self._bounds(quota)
        unchunked = self.rng.random() * bounds.chunk
        state = _State(
            bucket=bucket,
            use=OwnUse(reported_at=now, unchunked=unchunked),
            bounds=bounds,
            demand_at=now,
        )
        self._states[organisation] = state
        return state

    def _drop(self, organisation: str) -> None:
        del self._states[organisation]
        self.shared.set_own(organisation, ())

    def _record(
        self, organisation: str, state: _State, units: int, *, now: float
    ) -> None:
        state.use.record_admitted(units, state.bounds)
        if self.vms > 1 and state.use.early_report(state.bounds, now=now):
            self.shared.set_own(organisation, state.use.reported)

    def _bounds(self, quota: Quota) -> ReportBounds:
        return ReportBounds.of(quota=quota, tolerance=self.tolerance, vms=self.vms)

    def _others(self, organisation: str) -> OthersUse:
        values = self.shared.others(organisation)
        if not values:
            return NO_USE
        # A sum can be below 0 for a moment while reports arrive in parts.
        return OthersUse(
            admitted=max(0, values[0]),
            offered=max(0, values[1]) if len(values) > 1 else 0,
        )

    def _update_share(self, now: float) -> None:
        """Follow the VMs that report, with a delay when they become fewer."""
        if not self.counted:
            return
        if self.represented_vms >= self._counted_vms:
            self._counted_vms = self.represented_vms
            self._fewer_at = None
        elif self._fewer_at is None:
            self._fewer_at = now + SHARE_DELAY_S
        elif now >= self._fewer_at:
            self._counted_vms = self.represented_vms
            self._fewer_at = None
        self._share = min(1.0, self._counted_vms / max(1, self.vms))

    def _refusal(self, state: _State, units: int, others: OthersUse) -> QuotaRefusal:
        bucket = state.bucket
        offered = state.use.current_offered_per_s + others.offered
        room_in_s = bucket.room_in_s(units, others)
        # Of the callers that are refused now only a part finds room at once.
        spread_s = max(RETRY_SPREAD_S, room_in_s) * max(1.0, offered / bucket.rate)
        retry_after_s = RETRY_MIN_S + room_in_s + self.rng.random() * spread_s
        return QuotaRefusal(
            quota=bucket.quota,
            level=bucket.level,
            offered=offered,
            share=bucket.share,
            retry_after_s=min(RETRY_MAX_S, retry_after_s),
        )
