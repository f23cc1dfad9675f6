"""State (live, leaving or dead) of the upstreams of a data centre.

The state is merged from the VM list and from the reports of the agents that probe
upstreams, including this agent. The last report of each agent is stored. The report
of the agent that rendezvous hashing ranks highest among the live ones takes effect, so
a late report of an earlier prober never overrides that of the current one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from endivelug import _rendezvous
from endivelug.messages import UpstreamEntry
from endivelug.vm_list import ListedVm

LIVE, LEAVING, DEAD = "live", "leaving", "dead"


@dataclass(slots=True, kw_only=True)
class Upstream:
    """One upstream with its reports and merged state.

    Attributes
    ----------
    in_vm_list : bool
        Whether the last VM list contains the upstream.
    leaving_incarnation : int or None
        Incarnation that leaves according to the VM list; None if the list does not
        announce that the upstream leaves, 0 if its incarnation was unknown then.
    reports : dict of str to UpstreamEntry
        Last report of each agent, by VM.
    entry : UpstreamEntry
        Merged state.
    """

    name: str
    address: str
    kind: str
    pool: str
    in_vm_list: bool = True
    leaving_incarnation: int | None = None
    reports: dict[str, UpstreamEntry] = field(default_factory=dict)
    entry: UpstreamEntry


def _initial_entry(listed: ListedVm) -> UpstreamEntry:
    # Dead until the first report, because work is only sent to an upstream that has
    # responded to a probe.
    return UpstreamEntry(
        name=listed.vm,
        address=listed.address,
        kind=listed.kind,
        pool=listed.pool,
        models=[],
        adapters=[],
        incarnation=0,
        state=DEAD,
    )


class Upstreams:
    """Upstreams of one data centre as known to one agent.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        Upstreams by name.
    version : int
        Number of changes of the merged state so far.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.version = 0

    def apply_vm_list(self, listed: Iterable[ListedVm], *, live: Iterable[str]) -> bool:
        """Apply the upstreams of a VM list; return whether anything changed.

        An upstream that is missing from the list counts as leaving and is removed once
        it is dead.
        """
        before = self.version
        agents = tuple(live)
        listed_by_name = {item.vm: item for item in listed}
        for item in listed_by_name.values():
            upstream = self.upstreams.get(item.vm)
            if upstream is None or upstream.address != item.address:
                upstream = Upstream(
                    name=item.vm,
                    address=item.address,
                    kind=item.kind,
                    pool=item.pool,
                    entry=_initial_entry(item),
                )
                self.upstreams[item.vm] = upstream
                self.version += 1
            upstream.in_vm_list = True
            if not item.leaving:
                upstream.leaving_incarnation = None
            elif upstream.leaving_incarnation is None:
                upstream.leaving_incarnation = upstream.entry.incarnation
            self._merge(upstream, agents)
        for upstream in list(self.upstreams.values()):
            if upstream.name in listed_by_name:
                continue
            upstream.in_vm_list = False
            self._merge(upstream, agents)
            if upstream.entry.state == DEAD:
                del self.upstreams[upstream.name]
                self.version += 1
        return self.version != before

    def apply_report(
        self, entry: UpstreamEntry, *, reporter: str, live: Iterable[str]
    ) -> bool:
        """Apply one report; return whether the merged state changed.

        A report on another address or an older incarnation than the last one from the
        same reporter is ignored.
        """
        upstream = self.upstreams.get(entry.name)
        if upstream is None or upstream.address != entry.address:
            return False
        before = self.version
        last = upstream.reports.get(reporter)
        if last is not None and entry.incarnation < last.incarnation:
            return False
        upstream.reports[reporter] = entry
        self._merge(upstream, tuple(live))
        return self.version != before

    def merge_all(self, *, live: Iterable[str]) -> bool:
        """Merge the reports for new live agents; return whether any state changed."""
        before = self.version
        agents = tuple(live)
        for upstream in list(self.upstreams.values()):
            self._merge(upstream, agents)
        return self.version != before

    def entries(self) -> list[UpstreamEntry]:
        """Return the merged state of every upstream."""
        return [upstream.entry for upstream in self.upstreams.values()]

    def _merge(self, upstream: Upstream, live: tuple[str, ...]) -> None:
        report = self._effective_report(upstream, live)
        if report is None:
            return
        state = report.state
        if state == LIVE:
            leaving = upstream.leaving_incarnation
            # A higher incarnation than the announced one means that the upstream has
            # restarted and is no longer leaving.
            if not upstream.in_vm_list or (
                leaving is not None and leaving in (0, report.incarnation)
            ):
                state = LEAVING
        merged = UpstreamEntry(
            name=upstream.name,
            address=upstream.address,
            kind=upstream.kind,
            pool=upstream.pool,
            models=report.models,
            adapters=report.adapters,
            incarnation=report.incarnation,
            state=state,
        )
        if merged != upstream.entry:
            upstream.entry = merged
            self.version += 1

    @staticmethod
    def _effective_report(
        upstream: Upstream, live: tuple[str, ...]
    ) -> UpstreamEntry | None:
        reports = upstream.reports
        if len(reports) > 1:
            live_reporters = [vm for vm in reports if vm in live]
            prober = _rendezvous.owner(f"engine:{upstream.name}", live_reporters)
            if prober is not None:
                for vm in [vm for vm in reports if vm not in live_reporters]:
                    del reports[vm]
                return reports[prober]
        return next(iter(reports.values()), None)
