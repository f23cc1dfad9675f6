"""Simulated VMs that admit one organisation's requests and report to each other late.

Reports take 0.1 to 0.5 s and can be lost; the full report that repairs a loss comes up
to a second later. All VMs of a group see the same sums, as members of relays do.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from endivelug.forwarding.quotas.quota import Quota, Tolerance
from endivelug.forwarding.quotas.quota_limiter import KIND, QuotaLimiter
from endivelug.forwarding.quotas.usage import BLOCK_S
from endivelug.forwarding.shared_amounts import (
    Amounts,
    SharedAmounts,
    SharedAmountTable,
)

ORGANISATION = "org"
REPORT_DELAY_S = (0.1, 0.5)
REPAIR_DELAY_S = (0.2, 0.6)


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One request: its time, VM and units."""

    at: float
    vm: int
    units: int


@dataclass(slots=True, kw_only=True)
class Course:
    """What happened to the requests.

    Attributes
    ----------
    admitted : list of (float, int)
        Times and units of the admitted requests.
    refused : list of Arrival
        Refused requests.
    entries : int
        Entries that VMs reported.
    """

    admitted: list[tuple[float, int]] = field(default_factory=list)
    refused: list[Arrival] = field(default_factory=list)
    offered_units: int = 0
    entries: int = 0

    def excess(self, quota: Quota, window_s: float) -> float:
        """Return the most units admitted in any window beyond the quota's own limit."""
        recent: deque[tuple[float, int]] = deque()
        total, most = 0, 0
        for at, units in self.admitted:
            recent.append((at, units))
            total += units
            while recent[0][0] <= at - window_s:
                total -= recent.popleft()[1]
            most = max(most, total)
        return most - quota.rate * window_s - quota.burst


class SimulatedVms:
    """VMs with a limiter each, in groups between which no reports pass.

    Parameters
    ----------
    groups : callable
        Returns the group of a VM at a time.
    loss : float
        Share of the reports that are lost.
    """

    def __init__(
        self,
        *,
        vms: int,
        quota: Quota,
        tolerance: Tolerance,
        rng: random.Random,
        loss: float = 0.0,
        groups: Callable[[int, float], int] = lambda vm, at: 0,
    ) -> None:
        self.rng = rng
        self.quota = quota
        self.loss = loss
        self.groups = groups
        self.course = Course()
        self.limiters: list[QuotaLimiter] = []
        self.tables: list[SharedAmountTable] = []
        # Values of each VM as the others see them, and their sums by group.
        self.seen = [Amounts()] * vms
        self.group_of = [groups(vm, 0.0) for vm in range(vms)]
        self.totals: dict[int, Amounts] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        for vm in range(vms):
            table = SharedAmountTable()
            table.on_change = lambda vm=vm: self._report(vm)  # type: ignore[misc]
            table.neighbours.total = (  # type: ignore[method-assign]
                lambda key, vm=vm: self._others(vm)
            )
            limiter = QuotaLimiter(
                shared=SharedAmounts(kind=KIND, table=table),
                tolerance=tolerance,
                rng=random.Random(rng.random()),
            )
            limiter.vms = vms
            self.tables.append(table)
            self.limiters.append(limiter)
        self.now = 0.0
        self._update_groups(0.0)

    def run(self, arrivals: Iterable[Arrival], *, until: float) -> Course:
        """Play requests in the order of their times."""
        for vm in range(len(self.limiters)):
            self._tick_later(vm, self.rng.random() * BLOCK_S)
        for arrival in arrivals:
            if arrival.at >= until:
                break
            self._play_until(arrival.at)
            self.offer(arrival)
        self._play_until(until)
        return self.course

    def offer(self, arrival: Arrival) -> None:
        """Let a VM decide on a request."""
        self.now = arrival.at
        self.course.offered_units += arrival.units
        refusal = self.limiters[arrival.vm].admit(
            ORGANISATION, self.quota, arrival.units, now=arrival.at
        )
        if refusal is None:
            self.course.admitted.append((arrival.at, arrival.units))
        else:
            self.course.refused.append(arrival)

    def _others(self, vm: int) -> Amounts:
        total = self.totals.get(self.group_of[vm], Amounts())
        return total.minus(self.seen[vm])

    def _report(self, vm: int) -> None:
        self.course.entries += 1
        delay_s = self.rng.uniform(*REPORT_DELAY_S)
        if self.rng.random() < self.loss:
            delay_s += self.rng.uniform(*REPAIR_DELAY_S)
        values = self.tables[vm].own_of(f"{KIND}:{ORGANISATION}")
        sent_at = self.now
        self._at(sent_at + delay_s, lambda at: self._arrive(vm, values, sent_at))

    def _arrive(self, vm: int, values: Amounts, sent_at: float) -> None:
        if sent_at < self._last_sent.get(vm, -1.0):
            return
        self._last_sent[vm] = sent_at
        self._set_seen(vm, values)

    def _set_seen(self, vm: int, values: Amounts) -> None:
        group = self.group_of[vm]
        for other, limiter in enumerate(self.limiters):
            if other != vm and self.group_of[other] == group:
                limiter.advance(ORGANISATION, now=self.now)
        total = self.totals.get(group, Amounts())
        self.totals[group] = total.plus(values).minus(self.seen[vm])
        self.seen[vm] = values

    def _update_groups(self, now: float) -> None:
        self._last_sent: dict[int, float] = getattr(self, "_last_sent", {})
        self.group_of = [self.groups(vm, now) for vm in range(len(self.limiters))]
        self.totals = {}
        for vm, group in enumerate(self.group_of):
            total = self.totals.get(group, Amounts())
            self.totals[group] = total.plus(self.seen[vm])
        for vm, limiter in enumerate(self.limiters):
            limiter.represented_vms = self.group_of.count(self.group_of[vm])

    def settle(self) -> None:
        """Let all VMs know how many others report to them."""
        for limiter in self.limiters:
            limiter.end_block({}, now=-10.0)
            limiter.end_block({}, now=0.0)

    def cut_at(self, at: float) -> None:
        """Apply the groups of a later time."""
        self._at(at, self._update_groups)

    def _tick_later(self, vm: int, at: float) -> None:
        self._at(at, lambda now: self._tick(vm, now))

    def _tick(self, vm: int, now: float) -> None:
        self.limiters[vm].end_block({ORGANISATION: self.quota}, now=now)
        self._tick_later(vm, now + BLOCK_S)

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action))

    def _play_until(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action(at)


def poisson(
    *,
    per_s: Callable[[float], float],
    peak_per_s: float,
    until: float,
    vm: Callable[[], int],
    units: Callable[[], int],
    rng: random.Random,
) -> Iterable[Arrival]:
    """Yield requests of a Poisson process whose rate changes with the time."""
    at = 0.0
    while True:
        at += rng.expovariate(peak_per_s)
        if at >= until:
            return
        if rng.random() * peak_per_s < per_s(at):
            yield Arrival(at=at, vm=vm(), units=units())


def conforming(
    arrivals: Iterable[Arrival], *, quota: Quota, share: float = 1.0
) -> Iterable[Arrival]:
    """Yield the requests that an exact token bucket would admit."""
    level, updated_at = quota.burst * share, 0.0
    for arrival in arrivals:
        refill = (arrival.at - updated_at) * quota.rate * share
        level = min(quota.burst * share, level + refill)
        updated_at = arrival.at
        if arrival.units <= level:
            level -= arrival.units
            yield arrival
