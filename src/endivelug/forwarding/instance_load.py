"""Load of each upstream instance, from this VM's requests and its peers' reports.

Load pattern: several VMs send to the same few engines, and stale loads make all of them
choose the same one. The load from this VM is exact. The load from peers comes from
their reports and expires, so that the requests of a crashed VM don't count for long.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

# Lifetime of a peer's report. Reports arrive every few hundred milliseconds; most of
# the requests of a peer that is silent for longer have finished.
REPORT_LIFETIME_S = 1.5
# Bounds of one sample of the slowdown factor, so that a single outlier has little
# effect, and the weight of a sample in the moving average.
SLOWDOWN_SAMPLE_MIN = 0.6
SLOWDOWN_SAMPLE_MAX = 8.0
SLOWDOWN_SAMPLE_WEIGHT = 0.25
# Time over which the slowdown factor returns to 1 without new samples; an idle engine
# gives none.
SLOWDOWN_DECAY_S = 4.0


@dataclass(slots=True, kw_only=True)
class Work:
    """One request that was sent to an instance.

    Attributes
    ----------
    uncached_tokens : int
        Prompt tokens that the engine probably has to prefill.
    memory_tokens : int
        Tokens that the request occupies in the engine's memory.
    expected_s : float
        Predicted time to the first byte.
    started : bool
        Whether the first byte has arrived, so that the prefill is done.
    """

    request: str
    sent_at: float
    uncached_tokens: int = 0
    memory_tokens: int = 0
    expected_s: float = 0.0
    started: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """Requests of one or several VMs at one instance."""

    instance: str
    requests: int
    uncached_tokens: int
    memory_tokens: int


@dataclass(slots=True, kw_only=True)
class InstanceLoad:
    """Load and health of one instance.

    Attributes
    ----------
    work : dict of str to Work
        Requests of this VM by id.
    peers : dict of str to (float, LoadReport)
        Last report of each neighbour, with its expiry time.
    avoid_until : float
        Time until which the instance gets no requests, because it refused or failed.
    orders : dict of str to float
        Expiry times of the orders in progress, by the VM that gave the order.
    silent : bool
        Whether the instance has requests but sends nothing. It gets no new requests
        until a connection to it succeeds.
    last_byte_at : float
        Time at which the last byte was received from the instance.
    slowdown : float
        Moving average of the observed over the predicted time to the first byte.
    slowdown_at : float
        Time of the last sample.
    """

    work: dict[str, Work] = field(default_factory=dict)
    peers: dict[str, tuple[float, LoadReport]] = field(default_factory=dict)
    avoid_until: float = 0.0
    orders: dict[str, float] = field(default_factory=dict)
    silent: bool = False
    last_byte_at: float = 0.0
    failures: int = 0
    slowdown: float = 1.0
    slowdown_at: float = 0.0

    def is_ordered(self, *, now: float) -> bool:
        """Return whether the instance carries out an order."""
        return any(until > now for until in self.orders.values())

    def accepts_requests(self, *, now: float) -> bool:
        """Return whether the instance accepts new requests."""
        return not (self.silent or now < self.avoid_until or self.is_ordered(now=now))

    def own_report(self, instance: str) -> LoadReport:
        """Return the requests of this VM at the instance."""
        return LoadReport(
            instance=instance,
            requests=len(self.work),
            uncached_tokens=sum(
                item.uncached_tokens for item in self.work.values() if not item.started
            ),
            memory_tokens=sum(item.memory_tokens for item in self.work.values()),
        )

    def total(self, instance: str, *, now: float) -> LoadReport:
        """Return the requests of all VMs at the instance."""
        return self.sum_of(instance, include=self.peers.keys(), now=now)

    def sum_of(
        self, instance: str, *, include: Collection[str], now: float
    ) -> LoadReport:
        """Return the requests of this VM and of the included neighbours."""
        own = self.own_report(instance)
        requests, uncached = own.requests, own.uncached_tokens
        memory = own.memory_tokens
        for vm, (until, report) in list(self.peers.items()):
            if until < now:
                del self.peers[vm]
                continue
            if vm not in include:
                continue
            requests += report.requests
            uncached += report.uncached_tokens
            memory += report.memory_tokens
        return LoadReport(
            instance=instance,
            requests=requests,
            uncached_tokens=uncached,
            memory_tokens=memory,
        )

    def current_slowdown(self, *, now: float) -> float:
        """Return the slowdown factor, which decays to 1 without new samples."""
        age = max(0.0, now - self.slowdown_at)
        remaining = max(0.0, 1.0 - age / SLOWDOWN_DECAY_S)
        return 1.0 + (self.slowdown - 1.0) * remaining


@dataclass(slots=True, kw_only=True)
class InstanceLoads:
    """Loads by instance name."""

    loads: dict[str, InstanceLoad] = field(default_factory=dict)

    def of(self, instance: str) -> InstanceLoad:
        """Return the load of an instance; create it if it is new."""
        load = self.loads.get(instance)
        if load is None:
            load = self.loads[instance] = InstanceLoad()
        return load

    def add_work(self, instance: str, work: Work) -> None:
        """Count a request that is about to be sent."""
        self.of(instance).work[work.request] = work

    def record_first_byte(self, instance: str, request: str, *, now: float) -> None:
        """Record the first byte of a response and update the slowdown factor."""
        load = self.of(instance)
        load.last_byte_at = now
        load.failures = 0
        work = load.work.get(request)
        if work is None or work.started:
            return
        work.started = True
        if work.expected_s > 0:
            sample = (now - work.sent_at) / work.expected_s
            sample = min(SLOWDOWN_SAMPLE_MAX, max(SLOWDOWN_SAMPLE_MIN, sample))
            base = load.current_slowdown(now=now)
            load.slowdown = base + SLOWDOWN_SAMPLE_WEIGHT * (sample - base)
            load.slowdown_at = now

    def remove_work(self, instance: str, request: str) -> None:
        """Remove a request that ended."""
        self.of(instance).work.pop(request, None)

    def apply_reports(self, vm: str, reports: list[LoadReport], *, now: float) -> None:
        """Replace all loads that a peer reported."""
        until = now + REPORT_LIFETIME_S
        reported = {report.instance for report in reports}
        for name, load in self.loads.items():
            if name not in reported:
                load.peers.pop(vm, None)
        for report in reports:
            self.of(report.instance).peers[vm] = (until, report)

    def forget(self, instance: str) -> None:
        """Remove the load of an instance that no longer exists."""
        self.loads.pop(instance, None)

    def reports(self, *, include: Collection[str] = (), now: float) -> list[LoadReport]:
        """Return the summed loads of this VM and of the included neighbours."""
        return [
            load.sum_of(name, include=include, now=now)
            for name, load in self.loads.items()
            if load.work or any(vm in include for vm in load.peers)
        ]
