"""What this VM reports about its use of one organisation's quota.

Load pattern: a report entry costs processor time on every VM, and few organisations
are near their limit. A rate is reported only if it matters for the limit and has
changed. Units that the reported rate does not cover yet stay in a backlog, which is
reported with the next rate, so the others subtract what was admitted, no more and no
less.
"""

from dataclasses import dataclass

# Interval over which rates are taken.
BLOCK_S = 0.5
# A steep rise is reported before the end of a block, at most this often.
EARLY_REPORT_S = 0.1
# The others drop the rates of a VM that is silent for longer, for example frozen.
RATE_KEPT_S = 2.0
# Larger numbers could overflow in sums over all VMs.
MAX_RATE = 2.0**53
# Changes below this part of the last reported rate are not reported.
NOTICEABLE_SHARE = 0.125
# Weight of the last block in the smoothed rate.
SMOOTHING = 0.25
# While less than this part of the limit is known to be asked for, VMs report from this
# part of an equal share. What they leave out cannot reach the limit then.
FAR_BELOW_SHARE = 0.4


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportBounds:
    """Rates from which this VM reports its use, in units per second.

    Attributes
    ----------
    equal_share : float
        The limit divided by the number of VMs.
    least : float
        Rates below this are not reported; those of all VMs together are tolerated.
    far_below : float
        All VMs together may be offered this much without any need for reports.
    """

    equal_share: float
    least: float
    far_below: float

    @classmethod
    def of(cls, *, rate: float, vms: int, over: float) -> "ReportBounds":
        """Return the bounds of a limit that all VMs share.

        Examples
        --------
        >>> ReportBounds.of(rate=100.0, vms=5, over=0.1).least
        1.0
        """
        equal_share = rate / vms
        return cls(
            equal_share=equal_share,
            least=over / 2 * equal_share,
            far_below=FAR_BELOW_SHARE * rate,
        )


@dataclass(slots=True, kw_only=True)
class OwnUse:
    """Use of one organisation's quota at this VM.

    Attributes
    ----------
    backlog : float
        Units admitted that the reported rate has not covered; below 0 after refunds.
    offered_units, offered_before : float
        Units that were asked for in the current block and in the one before.
    offered_per_s, smoothed_per_s : float
        Units per second that were asked for in the last two blocks, and over a longer
        time. Single large requests would make the rate of one block jump.
    reported : tuple of int
        Units admitted and offered per second, as last reported.
    reported_at : float
        Time up to which the reported rate is subtracted from the backlog.
    """

    backlog: float = 0.0
    offered_units: float = 0.0
    offered_before: float = 0.0
    offered_per_s: float = 0.0
    smoothed_per_s: float = 0.0
    reported: tuple[int, int] = (0, 0)
    reported_at: float = 0.0

    @property
    def current_offered_per_s(self) -> float:
        """Units per second of the last blocks, or of the current one if it has more."""
        return max(self.offered_per_s, self.offered_units / BLOCK_S)

    def early_report(self, bounds: ReportBounds, *, now: float) -> bool:
        """Set the rates to report if they rise steeply; return whether they changed."""
        if now < self.reported_at + EARLY_REPORT_S:
            return False
        wanted = 2 * self.reported[0] + bounds.equal_share
        if self.backlog < wanted * BLOCK_S:
            return False
        self._advance(now)
        if self.backlog < wanted * BLOCK_S:
            return False
        return self._set(self.current_offered_per_s)

    def end_block_alone(self) -> None:
        """End a block of the only VM, which reports to nobody."""
        self._end_offered()
        self.backlog = 0.0

    def end_block(
        self, bounds: ReportBounds, *, others_offered: float, now: float
    ) -> bool:
        """Set the rates to report after a block; return whether they changed."""
        self._advance(now)
        offered = self._end_offered()
        if not any(self.reported):
            if not self._matters(bounds, others_offered):
                # Not reported at all, also not later.
                self.backlog = min(self.backlog, 0.0)
                return False
            return self._set(offered)
        if not self._is_noticeable(bounds):
            return False
        if max(offered, self.backlog / BLOCK_S) < bounds.least:
            before, self.reported = self.reported, (0, 0)
            return before != self.reported
        return self._set(offered)

    def _end_offered(self) -> float:
        """Return the units per second of the last two blocks, and begin a block."""
        offered = (self.offered_units + self.offered_before) / (2 * BLOCK_S)
        self.offered_per_s = offered
        self.offered_before, self.offered_units = self.offered_units, 0.0
        self.smoothed_per_s += SMOOTHING * (offered - self.smoothed_per_s)
        return offered

    def _advance(self, now: float) -> None:
        counted_s = min(now - self.reported_at, RATE_KEPT_S)
        self.backlog -= self.reported[0] * counted_s
        self.reported_at = now

    def _matters(self, bounds: ReportBounds, others_offered: float) -> bool:
        if max(self.offered_per_s, self.backlog / BLOCK_S) < bounds.least:
            return False
        if others_offered + self.offered_per_s >= bounds.far_below:
            return True
        return self.smoothed_per_s >= FAR_BELOW_SHARE * bounds.equal_share

    def _is_noticeable(self, bounds: ReportBounds) -> bool:
        admitted, offered = self.reported
        change = abs(self.backlog / BLOCK_S - admitted)
        if change >= max(bounds.least, NOTICEABLE_SHARE * admitted):
            return True
        change = abs(self.offered_per_s - offered)
        return change >= max(bounds.least, NOTICEABLE_SHARE * offered)

    def _set(self, offered_per_s: float) -> bool:
        before = self.reported
        admitted_per_s = max(0.0, self.backlog / BLOCK_S)
        self.reported = (
            round(min(MAX_RATE, admitted_per_s)),
            round(min(MAX_RATE, offered_per_s)),
        )
        return self.reported != before
