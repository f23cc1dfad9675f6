"""Tells the other routers of crashes and of suspects that were cleared.

News go over every link at once, and each VM passes on what it did not know, so they
reach all VMs within some milliseconds, whichever links are up. A new neighbour gets
everything that still counts.
"""

from collections.abc import Callable
from math import isfinite

from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.crashes.suspects import Block, CrashSuspects
from endivelug.forwarding.peer_messages import (
    ClearedSuspect,
    CrashedRunReport,
    CrashNews,
)
from endivelug.links import Link

# Items in one message; the newest are sent.
MAX_ITEMS = 500


class CrashExchange:
    """Exchanges the evidence of crashes with the neighbours.

    Parameters
    ----------
    links : dict of str to Link
        Links by the name of the neighbour; the owner changes it.
    on_crash : callable
        Called with the name and the start of an engine, once for each crash.

    Attributes
    ----------
    on_blocks_changed : callable
        Called when what is blocked has changed and this VM has to store it.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        links: dict[str, Link],
        on_crash: Callable[[str, int], None],
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.suspects = suspects
        self.links = links
        self.on_crash = on_crash
        self.clock = clock
        self.log = log
        self.on_blocks_changed: Callable[[], None] = _ignore

    def record_crash(self, runs: list[CrashedRun]) -> None:
        """Record the runs that ended in a crash, and tell the neighbours."""
        self._apply(runs, [], source=None)

    def restore(self, runs: list[CrashedRun]) -> None:
        """Apply evidence that this VM has read from the store."""
        self._apply(runs, [], source=None, own=False)

    def clear(self, suspects: list[str]) -> None:
        """Clear suspects that were answered, and tell the neighbours."""
        now = self.clock()
        self._apply([], [(suspect, now) for suspect in suspects], source=None)

    def greet(self, link: Link) -> None:
        """Tell a new neighbour everything that counts."""
        now = self.clock()
        runs = self.suspects.runs(now=now)
        cleared = list(self.suspects.cleared.items())
        if runs or cleared:
            self._send(link, _news(runs, cleared, now))

    def receive(self, link: Link, news: CrashNews) -> None:
        """Apply the news of a neighbour, and pass on what is new."""
        now = self.clock()
        self._apply(
            [_run_of(report, now) for report in news.runs],
            [(item.suspect, now - max(0.0, item.age_s)) for item in news.cleared],
            source=link,
        )

    def _apply(
        self,
        runs: list[CrashedRun],
        cleared: list[tuple[str, float]],
        *,
        source: Link | None,
        own: bool = True,
    ) -> None:
        now = self.clock()
        before = self.suspects.blocked(now=now)
        known = set(self.suspects.crashes)
        new_runs = [run for run in runs if self.suspects.record_crash(run, now=now)]
        for instance, started_ms in {run.crash for run in new_runs} - known:
            self.on_crash(instance, started_ms)
        new_cleared = [
            (suspect, at) for suspect, at in cleared if self._clear(suspect, at, source)
        ]
        self._log_changes({block.suspect for block in before}, now)
        if own and self._must_store(before, now, told=source is not None):
            self.on_blocks_changed()
        if not new_runs and not new_cleared:
            return
        news = _news(new_runs, new_cleared, now)
        for link in list(self.links.values()):
            if link is not source:
                self._send(link, news)

    def _clear(self, suspect: str, at: float, source: Link | None) -> bool:
        """Clear a suspect; return whether the neighbours have to be told."""
        had_evidence = self.suspects.clear(suspect, at=at)
        return had_evidence or source is None

    def _must_store(self, before: list[Block], now: float, *, told: bool) -> bool:
        """Return whether what is blocked has changed, and by this VM's evidence.

        A neighbour's news may complete it, so that no VM alone has the block at first.
        """
        changed = [
            item for item in self.suspects.blocked(now=now) if item not in before
        ]
        if told:
            return any(self.suspects.has_seen(block.suspect) for block in changed)
        return bool(changed) or len(before) != len(self.suspects.blocked(now=now))

    def _log_changes(self, before: set[str], now: float) -> None:
        blocked = {block.suspect: block for block in self.suspects.blocked(now=now)}
        for name, block in blocked.items():
            if name not in before:
                self.log(
                    "suspect-blocked",
                    suspect=name,
                    kind="request" if block.is_request else "segment",
                    moments=block.moments,
                    requests=block.requests,
                    last_s=round(now - block.last_at, 3),
                    test_in_s=round(block.test_at - now, 1)
                    if isfinite(block.test_at)
                    else None,
                )
        for name in before.difference(blocked):
            self.log("suspect-unblocked", suspect=name)

    def _send(self, link: Link, news: CrashNews) -> None:
        try:
            link.send(news)
        except (LinkBusy, LinkClosed) as error:
            # Other links and the next greeting repeat the news.
            self.log("peer-slow", peer=link.peer.vm, reason=str(error))


def _news(
    runs: list[CrashedRun], cleared: list[tuple[str, float]], now: float
) -> CrashNews:
    return CrashNews(
        runs=[
            CrashedRunReport(
                instance=run.instance,
                started_ms=run.started_ms,
                vm=run.vm,
                request=run.request,
                segments=list(run.segments),
                begun=run.begun,
                sent_age_s=round(now - run.sent_at, 3),
                age_s=round(now - run.at, 3),
            )
            for run in runs[-MAX_ITEMS:]
        ],
        cleared=[
            ClearedSuspect(suspect=suspect, age_s=round(now - at, 3))
            for suspect, at in cleared[-MAX_ITEMS:]
        ],
    )


def _run_of(report: CrashedRunReport, now: float) -> CrashedRun:
    return CrashedRun(
        instance=report.instance,
        started_ms=report.started_ms,
        vm=report.vm,
        request=report.request,
        segments=tuple(report.segments),
        begun=report.begun,
        sent_at=now - max(0.0, report.sent_age_s),
        at=now - max(0.0, report.age_s),
    )


def _ignore() -> None:
    """Do nothing."""
