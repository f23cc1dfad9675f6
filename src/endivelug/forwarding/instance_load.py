"""Load of each upstream instance, from this VM's requests and its neighbours' reports.

Load pattern: several VMs send to the same few engines, and stale loads make all of them
choose the same one. The load from this VM is exact. The load from other VMs comes from
the neighbours' reports.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug.forwarding.neighbour_sums import Load, NeighbourSums
from endivelug.forwarding.wait_reasons import WaitReason

# Bounds of one sample of the slowdown factor, so that a single outlier has little
# effect, and the weight of a sample in the moving average.
SLOWDOWN_SAMPLE_MIN = 0.6
SLOWDOWN_SAMPLE_MAX = 8.0
SLOWDOWN_SAMPLE_WEIGHT = 0.25
# Time over which the slowdown factor returns to 1 without new samples; an idle engine
# gives none.
SLOWDOWN_DECAY_S = 4.0

NO_LOAD = Load()
# Received bytes are counted for the other VMs at this interval.
COUNT_INTERVAL_S = 0.25
# Usual age of a received byte when the other VMs learn of it.
REPORT_DELAY_S = 0.3


@dataclass(slots=True, kw_only=True)
class Work:
    """One request that was sent to an instance.

    Attributes
    ----------
    request : str
        Key of its call.
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


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Requests of one or several VMs at one instance."""

    instance: str
    requests: int
    uncached_tokens: int
    memory_tokens: int
    heard: int


@dataclass(slots=True, kw_only=True)
class InstanceLoad:
    """Load and health of one instance.

    Attributes
    ----------
    work : dict of str to Work
        Requests of this VM by id; changed only through ``InstanceLoads``.
    own : Load
        Sum of these requests.
    avoid_until : float
        Time until which the instance gets no requests, because it refused or failed.
    paused_until : float
        Time until which the instance wants no requests from this VM.
    orders : dict of str to float
        Expiry times of the orders in progress, by the VM that told of the order.
    silent : bool
        Whether the instance has requests but sends nothing. It gets no new requests
        until a connection to it succeeds.
    unreachable : bool
        Whether the instance is silent and the last connection attempt failed.
    cut_off : bool
        Whether several connection attempts got no answer, so that this VM does not
        reach the instance.
    last_byte_at : float
        Time at which the last byte was received from the instance.
    reached_at : float
        Time at which the instance last accepted a connection although it was quiet.
    heard_by_others_at : float
        Estimated time at which another VM last received a byte from it.
    counted_at : float
        Time of the last received byte that was counted for the other VMs.
    slowdown : float
        Moving average of the observed over the predicted time to the first byte.
    slowdown_at : float
        Time of the last sample.
    """

    work: dict[str, Work] = field(default_factory=dict)
    own: Load = NO_LOAD
    avoid_until: float = 0.0
    paused_until: float = 0.0
    orders: dict[str, float] = field(default_factory=dict)
    silent: bool = False
    unreachable: bool = False
    cut_off: bool = False
    last_byte_at: float = 0.0
    reached_at: float = 0.0
    heard_by_others_at: float = 0.0
    counted_at: float = float("-inf")
    failures: int = 0
    slowdown: float = 1.0
    slowdown_at: float = 0.0

    @property
    def last_heard_at(self) -> float:
        """Time at which any VM last received a byte from the instance."""
        return max(self.last_byte_at, self.heard_by_others_at)

    def is_ordered(self, *, now: float) -> bool:
        """Return whether the instance carries out an order."""
        return bool(self.orders) and max(self.orders.values()) > now

    def wait_reason(self, *, now: float) -> WaitReason | None:
        """Return why the instance gets no new requests, or None if it does."""
        if self.silent:
            return WaitReason.SILENT
        if self.is_ordered(now=now):
            return WaitReason.ORDERED
        if now < self.paused_until:
            return WaitReason.RETRY_LATER
        if now < self.avoid_until:
            return WaitReason.AVOIDED
        return None

    def accepts_requests(self, *, now: float) -> bool:
        """Return whether the instance accepts new requests."""
        return self.wait_reason(now=now) is None

    def current_slowdown(self, *, now: float) -> float:
        """Return the slowdown factor, which decays to 1 without new samples."""
        age = max(0.0, now - self.slowdown_at)
        remaining = max(0.0, 1.0 - age / SLOWDOWN_DECAY_S)
        return 1.0 + (self.slowdown - 1.0) * remaining


@dataclass(slots=True, kw_only=True)
class InstanceLoads:
    """Loads by instance name.

    Attributes
    ----------
    neighbours : NeighbourSums of Load
        What the neighbours report, by instance.
    on_change : callable
        Called after each change of this VM's own load.
    """

    loads: dict[str, InstanceLoad] = field(default_factory=dict)
    neighbours: NeighbourSums[Load] = field(
        default_factory=lambda: NeighbourSums(zero=NO_LOAD)
    )
    on_change: Callable[[], None] = lambda: None

    def of(self, instance: str) -> InstanceLoad:
        """Return the load of an instance; create it if it is new."""
        load = self.loads.get(instance)
        if load is None:
            load = self.loads[instance] = InstanceLoad()
        return load

    def own(self, instance: str) -> Load:
        """Return the requests of this VM at an instance."""
        load = self.loads.get(instance)
        return load.own if load is not None else NO_LOAD

    def total(self, instance: str) -> Load:
        """Return the requests of all VMs at an instance."""
        return self.own(instance).plus(self.neighbours.total(instance))

    def add_work(self, instance: str, work: Work) -> None:
        """Count a request that is about to be sent."""
        self.remove_work(instance, work.request)
        load = self.of(instance)
        load.work[work.request] = work
        self._change_own(instance, load, _load_of(work))

    def record_first_byte(self, instance: str, request: str, *, now: float) -> None:
        """Record the first byte of a response and update the slowdown factor."""
        load = self.of(instance)
        self.record_byte(instance, now=now)
        load.failures = 0
        work = load.work.get(request)
        if work is None or work.started:
            return
        work.started = True
        self._change_own(instance, load, Load(uncached_tokens=-work.uncached_tokens))
        if work.expected_s > 0:
            sample = (now - work.sent_at) / work.expected_s
            sample = min(SLOWDOWN_SAMPLE_MAX, max(SLOWDOWN_SAMPLE_MIN, sample))
            base = load.current_slowdown(now=now)
            load.slowdown = base + SLOWDOWN_SAMPLE_WEIGHT * (sample - base)
            load.slowdown_at = now

    def record_byte(self, instance: str, *, now: float) -> None:
        """Record a byte received from an instance, also for the other VMs."""
        load = self.of(instance)
        load.last_byte_at = now
        load.cut_off = False
        if now >= load.counted_at + COUNT_INTERVAL_S:
            load.counted_at = now
            self._change_own(instance, load, Load(heard=1))

    def apply_changes(self, vm: str, changes: dict[str, Load], *, now: float) -> None:
        """Apply the changed amounts of a neighbour."""
        for instance, amount in changes.items():
            before = self.neighbours.set(vm, instance, amount)
            if amount.heard > before.heard:
                self.of(instance).heard_by_others_at = now - REPORT_DELAY_S

    def remove_work(self, instance: str, request: str) -> None:
        """Remove a request that ended."""
        load = self.of(instance)
        work = load.work.pop(request, None)
        if work is not None:
            self._change_own(instance, load, NO_LOAD.minus(_load_of(work)))

    def has_work(self) -> bool:
        """Return whether this VM has a request at any instance."""
        return any(load.work for load in self.loads.values())

    def record_replaced(self, instance: str) -> None:
        """Drop what an incarnation that has been replaced asked for."""
        load = self.loads.get(instance)
        if load is not None:
            load.paused_until = 0.0

    def forget(self, instance: str) -> None:
        """Remove the load of an instance that no longer exists."""
        if self.loads.pop(instance, None) is not None:
            self.neighbours.changed.add(instance)

    def _change_own(self, instance: str, load: InstanceLoad, change: Load) -> None:
        load.own = load.own.plus(change)
        self.neighbours.changed.add(instance)
        self.on_change()


def _load_of(work: Work) -> Load:
    return Load(
        requests=1,
        uncached_tokens=0 if work.started else work.uncached_tokens,
        memory_tokens=work.memory_tokens,
    )


def load_of_report(report: LoadReport) -> Load:
    """Return the amounts of a report."""
    return Load(
        report.requests, report.uncached_tokens, report.memory_tokens, report.heard
    )
