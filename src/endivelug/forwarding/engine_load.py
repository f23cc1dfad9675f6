"""Load of each upstream instance as this VM sees it.

Load pattern: several VMs send to the same few engines, and a late view of the load
makes all of them choose the same one. Own work is exact; the work of peers comes with
their reports and expires with them, so that a VM that died blocks nothing.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

# Reports come every few hundred milliseconds; a peer that is silent for longer has
# most of its work finished.
REPORT_LIFETIME_S = 1.5
# Lower and upper bounds of the measured slowness, so that one sample decides nothing.
SLOWNESS_MIN = 0.6
SLOWNESS_MAX = 8.0
SLOWNESS_WEIGHT = 0.25
# An old slowness is forgotten, because an engine without work gives no samples.
SLOWNESS_LIFETIME_S = 4.0


@dataclass(slots=True, kw_only=True)
class Work:
    """One request that was sent to an instance.

    Attributes
    ----------
    missing_tokens : int
        Prompt tokens that the engine probably has to read; 0 once the first event came.
    memory_tokens : int
        Tokens that the request holds in the engine's memory.
    expected_s : float
        Predicted time to the first byte.
    """

    request: str
    sent_at: float
    missing_tokens: int = 0
    memory_tokens: int = 0
    expected_s: float = 0.0
    started: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """Work of one VM, or of several, at one instance."""

    instance: str
    requests: int
    missing_tokens: int
    memory_tokens: int


@dataclass(slots=True, kw_only=True)
class InstanceLoad:
    """Load and condition of one instance.

    Attributes
    ----------
    avoid_until : float
        Until then it gets no new work, because it refused or failed.
    orders : dict of str to float
        Until when each VM that gave an order has it in progress there.
    silent : bool
        Whether it has work and gives no sign; it gets none until it can be reached.
    last_answer_at : float
        Last time at which any byte came from it.
    slowness : float
        Observed time to the first byte over the predicted one.
    """

    work: dict[str, Work] = field(default_factory=dict)
    peers: dict[str, tuple[float, LoadReport]] = field(default_factory=dict)
    avoid_until: float = 0.0
    orders: dict[str, float] = field(default_factory=dict)
    silent: bool = False
    last_answer_at: float = 0.0
    failures: int = 0
    slowness: float = 1.0
    slowness_at: float = 0.0

    def is_ordered(self, *, now: float) -> bool:
        """Return whether an order is in progress."""
        return any(until > now for until in self.orders.values())

    def takes_work(self, *, now: float) -> bool:
        """Return whether new requests may be sent."""
        return not (self.silent or now < self.avoid_until or self.is_ordered(now=now))

    def own_report(self, instance: str) -> LoadReport:
        """Return this VM's work."""
        return LoadReport(
            instance=instance,
            requests=len(self.work),
            missing_tokens=sum(
                item.missing_tokens for item in self.work.values() if not item.started
            ),
            memory_tokens=sum(item.memory_tokens for item in self.work.values()),
        )

    def total(self, instance: str, *, now: float) -> LoadReport:
        """Return the work of all VMs."""
        return self.sum_of(instance, include=self.peers.keys(), now=now)

    def sum_of(
        self, instance: str, *, include: Collection[str], now: float
    ) -> LoadReport:
        """Return the work of this VM and of the neighbours that are included."""
        own = self.own_report(instance)
        requests, missing = own.requests, own.missing_tokens
        memory = own.memory_tokens
        for vm, (until, report) in list(self.peers.items()):
            if until < now:
                del self.peers[vm]
                continue
            if vm not in include:
                continue
            requests += report.requests
            missing += report.missing_tokens
            memory += report.memory_tokens
        return LoadReport(
            instance=instance,
            requests=requests,
            missing_tokens=missing,
            memory_tokens=memory,
        )

    def current_slowness(self, *, now: float) -> float:
        """Return the slowness, which fades to 1 without new samples."""
        age = max(0.0, now - self.slowness_at)
        fade = max(0.0, 1.0 - age / SLOWNESS_LIFETIME_S)
        return 1.0 + (self.slowness - 1.0) * fade


@dataclass(slots=True, kw_only=True)
class InstanceLoads:
    """Loads by instance name."""

    loads: dict[str, InstanceLoad] = field(default_factory=dict)

    def of(self, instance: str) -> InstanceLoad:
        """Return the load of an instance."""
        load = self.loads.get(instance)
        if load is None:
            load = self.loads[instance] = InstanceLoad()
        return load

    def begin(self, instance: str, work: Work) -> None:
        """Count a request that is being sent."""
        self.of(instance).work[work.request] = work

    def started(self, instance: str, request: str, *, now: float) -> None:
        """Note the first byte of an answer."""
        load = self.of(instance)
        load.last_answer_at = now
        load.failures = 0
        work = load.work.get(request)
        if work is None or work.started:
            return
        work.started = True
        if work.expected_s > 0:
            sample = (now - work.sent_at) / work.expected_s
            sample = min(SLOWNESS_MAX, max(SLOWNESS_MIN, sample))
            base = load.current_slowness(now=now)
            load.slowness = base + SLOWNESS_WEIGHT * (sample - base)
            load.slowness_at = now

    def end(self, instance: str, request: str) -> None:
        """Forget a request that ended."""
        self.of(instance).work.pop(request, None)

    def heard(self, vm: str, reports: list[LoadReport], *, now: float) -> None:
        """Take in all loads of a peer."""
        until = now + REPORT_LIFETIME_S
        named = {report.instance for report in reports}
        for name, load in self.loads.items():
            if name not in named:
                load.peers.pop(vm, None)
        for report in reports:
            self.of(report.instance).peers[vm] = (until, report)

    def forget(self, instance: str) -> None:
        """Drop an instance that is gone."""
        self.loads.pop(instance, None)

    def reports(self, *, include: Collection[str] = (), now: float) -> list[LoadReport]:
        """Return the work of this VM and of some neighbours, for another one."""
        return [
            load.sum_of(name, include=include, now=now)
            for name, load in self.loads.items()
            if load.work or any(vm in include for vm in load.peers)
        ]
