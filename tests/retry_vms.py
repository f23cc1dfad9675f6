"""Simulated VMs that share a retry budget, with late reports, restarts and cuts."""

import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import combinations

from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.peers import SILENT_S
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.retry_budget_watch import RetryBudgetWatch

SERVICE = "s"
RATIO = 0.2
SLACK = 52.0
WINDOW_S = 10.0
STEP_S = 0.05
REPORT_S = 0.1
# Time without a process when a VM is restarted.
START_S = 0.4
# Longest time from the decision to retry to the arrival: that of a connection attempt.
ARRIVAL_S = 0.35


def make_budget(**changes):
    values = {"ratio": RATIO, "slack": SLACK, "window_s": WINDOW_S}
    return SharedRetryBudget(**{**values, **changes})


@dataclass(slots=True, kw_only=True)
class SimulatedVm:
    """One VM: its process, what it hears, and when it runs."""

    name: str
    registered: int
    clock: "SimulatedVms"
    paused_until: float = 0.0
    up_at: float = 0.0
    neighbours: dict[str, Neighbour] = field(default_factory=dict)
    budget: SharedRetryBudget = field(init=False)
    watch: RetryBudgetWatch = field(init=False)

    def __post_init__(self):
        self.start()

    def start(self):
        now = self.clock.now
        self.neighbours = {}
        self.budget = make_budget()
        self.budget.assume_predecessor(now=now)
        self.watch = RetryBudgetWatch(
            budget=self.budget,
            neighbours=self.neighbours,
            count_vms=lambda: 1 + len(self.neighbours),
            count_registered=lambda: self.registered,
            clock=lambda: self.clock.now,
        )
        self.budget.reports_current = self.watch.is_current

    @property
    def runs(self):
        return self.up_at <= self.clock.now and self.paused_until <= self.clock.now

    def hear(self, name, count):
        neighbour = self.neighbours.setdefault(name, Neighbour(last_received_at=0.0))
        neighbour.last_received_at = self.clock.now
        neighbour.received_sequence += 1
        self.budget.represented_vms[name] = 1
        self.budget.neighbours.set(name, SERVICE, count)

    def unlink(self, name):
        if self.neighbours.pop(name, None) is not None:
            self.budget.forget(name, now=self.clock.now)


class SimulatedVms:
    """VMs with a link between each two of them; a clock of steps of ``STEP_S``.

    Attributes
    ----------
    cut : set of frozenset of str
        Pairs of VMs whose messages are lost.
    report_age_s : float
        Longest time from the sending of a report to its use.
    requests, retries : list of float
        Times at which requests came and retries arrived, at all VMs.
    """

    def __init__(self, *, seed, count=6, report_age_s=0.15):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.report_age_s = report_age_s
        self.cut = set()
        self.requests = []
        self.retries = []
        self.retries_by_vm = Counter()
        self.in_flight = []
        self.report_at = {}
        self.vms = [
            SimulatedVm(name=f"vm{number}", registered=count, clock=self)
            for number in range(count)
        ]

    def step(self):
        """Let reports arrive, links close, and VMs report."""
        self.now += STEP_S
        self._deliver()
        for vm in self.vms:
            if not vm.runs:
                continue
            for name, item in list(vm.neighbours.items()):
                if self.now - item.last_received_at > SILENT_S:
                    vm.unlink(name)
                    self._vm(name).unlink(vm.name)
            vm.watch.check(now=self.now)
            if self.report_at.get(vm.name, 0.0) <= self.now:
                self.report_at[vm.name] = self.now + REPORT_S
                self._report(vm)

    def settle(self, seconds, *, per_s=0.0):
        """Let time pass, with requests but no retries."""
        self.run(seconds, per_s=per_s, demand=lambda vm: 0)

    def run(self, seconds, *, per_s, demand):
        """Let VMs serve requests, and try to send retries.

        Parameters
        ----------
        per_s : float
            Requests per second at each VM.
        demand : callable
            Returns how many retries a VM tries to send in a step.
        """
        until = self.now + seconds
        while self.now < until:
            self.step()
            for vm in self.rng.sample(self.vms, len(self.vms)):
                if vm.runs:
                    self.serve(vm, per_s=per_s, demand=demand(vm))

    def kill(self, vm):
        """End a process; its links close at once, and it starts again."""
        for other in self.vms:
            other.unlink(vm.name)
        self.in_flight = [item for item in self.in_flight if vm.name not in item[1:3]]
        vm.up_at = self.now + START_S
        vm.start()

    def pause(self, vm, seconds):
        """Stop a process for a while, with what it knows."""
        vm.paused_until = self.now + seconds

    def cut_link(self, one, other):
        """Lose all messages between two VMs."""
        self.cut.add(frozenset((one.name, other.name)))

    def cut_where(self, is_cut):
        """Lose the messages between each two VMs whose numbers fulfil a condition."""
        for (one, vm), (other, peer) in combinations(enumerate(self.vms), 2):
            if is_cut(one, other):
                self.cut_link(vm, peer)

    def excess(self):
        """Return the greatest excess over the stated limit, in any window.

        Requests are counted in the window, the one before it or the one half a window
        before it, whichever has most.
        """
        # The greatest number in any window is in one that begins just before a retry.
        ends = [first + WINDOW_S - STEP_S / 2 for first in self.retries]
        return max((self._excess_at(end) for end in ends), default=-SLACK)

    def _excess_at(self, end):
        requests = max(
            _within(self.requests, end - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return _within(self.retries, end) - RATIO * requests - SLACK

    def serve(self, vm, *, per_s, demand):
        """Let a VM serve requests of one step, and try to send retries."""
        for _ in range(int(per_s * STEP_S + self.rng.random())):
            vm.budget.record_request(SERVICE, now=self.now)
            self.requests.append(self.now)
        for _ in range(demand):
            if vm.budget.try_acquire(SERVICE, now=self.now):
                self.retries.append(self.now + self.rng.uniform(0.0, ARRIVAL_S))
                self.retries_by_vm[vm.name] += 1

    def _report(self, vm):
        count = vm.budget.own(SERVICE, now=self.now)
        for other in self.vms:
            if other is not vm:
                at = self.now + self.rng.uniform(0.0, self.report_age_s)
                self.in_flight.append((at, vm.name, other.name, count))

    def _deliver(self):
        due = [item for item in self.in_flight if item[0] <= self.now]
        for item in due:
            _, source, name, count = item
            vm = self._vm(name)
            if frozenset((source, name)) in self.cut or vm.up_at > self.now:
                self.in_flight.remove(item)
            elif vm.runs:
                self.in_flight.remove(item)
                vm.hear(source, count)

    def _vm(self, name):
        return next(vm for vm in self.vms if vm.name == name)


def _within(times, end):
    return sum(1 for at in times if end - WINDOW_S < at <= end)


def report_counts(budget, vm, counts):
    """Let a neighbour that is one VM report."""
    budget.represented_vms[vm] = 1
    budget.neighbours.set(vm, SERVICE, counts)
