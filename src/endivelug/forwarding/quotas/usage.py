"""What this VM reports about its use of one organisation's quota.

Load pattern: a report entry costs processor time on every VM, and few organisations
are near their limit. A rate is reported only if it matters for the limit and has
changed. Units that the reported rate does not cover yet stay in a backlog, which is
reported with the next rate, so the others subtract what was admitted, no more and no
less.
"""

from dataclasses import dataclass

from endivelug.forwarding.quotas.quota import Quota, Tolerance

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
# While less than this part of the limit is known to be asked for, each VM reports in
# chunks.
FAR_BELOW_SHARE = 0.5
# A chunk is this part of the allowance, between two parts of the limit of a window.
# Larger ones make the level of the others jump by more than is tolerated.
CHUNK_SHARE_OF_ALLOWANCE = 0.02
MIN_CHUNK_SHARE = 0.005
MAX_CHUNK_SHARE = 0.05
# Chunks within a block from which a VM takes its own demand for a rise.
RISE_CHUNKS = 4


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
        Below this demand at all VMs together, rates are reported in chunks.
    chunk : float
        Units of a chunk.
    """

    equal_share: float
    least: float
    far_below: float
    chunk: float

    @classmethod
    def of(cls, *, quota: Quota, tolerance: Tolerance, vms: int) -> "ReportBounds":
        """Return the bounds of a limit that all VMs share.

        Examples
        --------
        >>> from endivelug.forwarding.quotas.quota import QuotaUnit
        >>> quota = Quota(rate=100.0, burst=0.0, unit=QuotaUnit.REQUESTS)
        >>> ReportBounds.of(quota=quota, tolerance=Tolerance(over=0.1), vms=5).least
        1.0
        """
        equal_share = quota.rate / vms
        limit = tolerance.limit(quota)
        chunk = CHUNK_SHARE_OF_ALLOWANCE * tolerance.allowance(quota)
        return cls(
            equal_share=equal_share,
            least=tolerance.over / 2 * equal_share,
            far_below=FAR_BELOW_SHARE * quota.rate,
            chunk=min(MAX_CHUNK_SHARE * limit, max(MIN_CHUNK_SHARE * limit, chunk)),
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
    offered_per_s : float
        Units per second that were asked for in the last two blocks. Single large
        requests would make the rate of one block jump.
    unchunked : float
        Units admitted far below the limit that do not fill a chunk yet. It begins at a
        random part of a chunk, so that the chunks of all VMs together are as many as
        their units need.
    far_below : bool
        Whether the demand at all VMs was far below the limit after the last block.
    reported : tuple of int
        Units admitted and offered per second, as last reported.
    reported_at : float
        Time up to which the reported rate is subtracted from the backlog.
    """

    backlog: float = 0.0
    offered_units: float = 0.0
    offered_before: float = 0.0
    offered_per_s: float = 0.0
    unchunked: float = 0.0
    far_below: bool = True
    reported: tuple[int, int] = (0, 0)
    reported_at: float = 0.0

    @property
    def current_offered_per_s(self) -> float:
        """Units per second of the last blocks, or of the current one if it has more."""
        return max(self.offered_per_s, self.offered_units / BLOCK_S)

    def check_rise(self, bounds: ReportBounds, *, others_offered: float) -> None:
        """Report all use from now on if the demand is no longer far below the limit."""
        if not self.far_below:
            return
        offered = others_offered
        if self.offered_units >= RISE_CHUNKS * bounds.chunk:
            offered += self.offered_units / BLOCK_S
        if offered >= bounds.far_below:
            self.far_below = False

    def record_admitted(self, units: float, bounds: ReportBounds) -> None:
        """Record units that were admitted, or given back if they are below 0."""
        if not self.far_below:
            self.backlog += units
            return
        self.unchunked += units
        if self.unchunked >= bounds.chunk:
            chunks = self.unchunked // bounds.chunk * bounds.chunk
            self.unchunked -= chunks
            self.backlog += chunks

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
        return self._set(self._offered_to_report(self.current_offered_per_s))

    def end_block_alone(self) -> None:
        """End a block of the only VM, which reports to nobody."""
        self._end_offered()
        self.backlog = 0.0

    def end_block(
        self, bounds: ReportBounds, *, others_offered: float, now: float
    ) -> bool:
        """Set the rates to report after a block; return whether they changed."""
        self._advance(now)
        offered = self._offered_to_report(self._end_offered())
        self.far_below = others_offered + self.offered_per_s < bounds.far_below
        if not any(self.reported):
            if max(offered, self.backlog / BLOCK_S) < bounds.least:
                # Not reported at all, also not later.
                self.backlog = min(self.backlog, 0.0)
                return False
            return self._set(offered)
        if not self._is_noticeable(bounds, offered):
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
        return offered

    def _advance(self, now: float) -> None:
        counted_s = min(now - self.reported_at, RATE_KEPT_S)
        self.backlog -= self.reported[0] * counted_s
        self.reported_at = now

    def _offered_to_report(self, offered_per_s: float) -> float:
        """Return the offered rate; far below the limit it is that of the chunks."""
        if self.far_below:
            return max(0.0, self.backlog / BLOCK_S)
        return offered_per_s

    def _is_noticeable(self, bounds: ReportBounds, offered_now: float) -> bool:
        admitted, offered = self.reported
        change = abs(self.backlog / BLOCK_S - admitted)
        if change >= max(bounds.least, NOTICEABLE_SHARE * admitted):
            return True
        change = abs(offered_now - offered)
        return change >= max(bounds.least, NOTICEABLE_SHARE * offered)

    def _set(self, offered_per_s: float) -> bool:
        before = self.reported
        admitted_per_s = max(0.0, self.backlog / BLOCK_S)
        self.reported = (
            round(min(MAX_RATE, admitted_per_s)),
            round(min(MAX_RATE, offered_per_s)),
        )
        return self.reported != before
