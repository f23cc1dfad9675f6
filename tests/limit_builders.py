"""Builder of simulated VMs that share the limit of one upstream, on a virtual clock."""

import random
from collections import deque
from collections.abc import Callable

from endivelug.forwarding.retry_budget import WindowCount
from endivelug.forwarding.stated_limits.limit_share import LimitShare, OthersUse

# Interval at which waiting calls are tried again and reports are taken.
STEP_S = 0.05
# Age of the reports that a VM has when it decides.
REPORT_AGES_S = (0.1, 0.5)
DEMAND_WINDOW_S = 10.0


class SimulatedVms:
    """VMs with calls for one upstream, which hear of each other by late reports.

    Attributes
    ----------
    arrivals : list of float
        Times at which the upstream got requests.
    group_of : callable
        Returns the group of a VM at a time; only VMs of one group hear of each other.
    """

    def __init__(self, *, vms: int, limit: float, seed: int = 1) -> None:
        self.vms = vms
        self.limit = limit
        self.rng = random.Random(seed)
        self.shares = [self.make_share() for _ in range(vms)]
        self.calls = [WindowCount(window_s=DEMAND_WINDOW_S) for _ in range(vms)]
        self.waiting: list[deque[float]] = [deque() for _ in range(vms)]
        self.reports: deque[list[tuple[int, int]]] = deque(maxlen=20)
        self.sums: deque[dict[int, tuple[int, int, int]]] = deque(maxlen=20)
        self.arrivals: list[float] = []
        self.group_of: Callable[[int, float], int] = lambda vm, now: 0

    def make_share(self) -> LimitShare:
        return LimitShare(limit=self.limit, credit=self.rng.random())

    def play(
        self,
        demand: Callable[[float], float],
        *,
        seconds: float,
        wait_s: float = 0.0,
        weights: list[float] | None = None,
        restart_s: float = float("inf"),
    ) -> None:
        """Play calls that wait for a time, and then go elsewhere.

        Parameters
        ----------
        demand : callable
            Returns the calls per second of all VMs at a time.
        weights : list of float or None
            Parts of the calls that come to each VM; None for equal ones.
        restart_s : float
            Interval at which one VM starts anew and has forgotten its requests.
        """
        now, restart_at, restarted = 0.0, restart_s, 0
        while now < seconds:
            expected = demand(now) * STEP_S
            count = int(expected) + (self.rng.random() < expected % 1.0)
            for vm in self.rng.choices(range(self.vms), weights, k=count):
                self.calls[vm].add(now=now)
                self.waiting[vm].append(now + wait_s)
            for vm, queue in enumerate(self.waiting):
                while queue and self.try_send(vm, now):
                    queue.popleft()
                while queue and queue[0] <= now:
                    queue.popleft()
            if now >= restart_at:
                self.shares[restarted % self.vms] = self.make_share()
                restarted += 1
                restart_at += restart_s
            now += STEP_S
            self.report(now)

    def try_send(self, vm: int, now: float) -> bool:
        share = self.shares[vm]
        if not share.has_window(now=now):
            weight = max(1, self.calls[vm].total(now=now))
            share.open_window(self.others(vm, now), weight=weight, now=now)
        if share.allotment <= 0:
            return False
        share.record_sent(now=now)
        self.arrivals.append(now)
        return True

    def report(self, now: float) -> None:
        reports = [
            (share.sent.total(now=now), share.opened.total(now=now))
            for share in self.shares
        ]
        sums: dict[int, tuple[int, int, int]] = {}
        for vm, (sent, opened) in enumerate(reports):
            group = self.group_of(vm, now)
            before = sums.get(group, (0, 0, 0))
            sums[group] = (before[0] + sent, before[1] + opened, before[2] + 1)
        self.reports.append(reports)
        self.sums.append(sums)

    def others(self, vm: int, now: float) -> OthersUse:
        age = int(self.rng.uniform(*REPORT_AGES_S) / STEP_S)
        if len(self.reports) <= age:
            return OthersUse(vms=self.vms)
        own_sent, own_opened = self.reports[-1 - age][vm]
        group = self.group_of(vm, now)
        sent, opened, vms = self.sums[-1 - age].get(group, (own_sent, own_opened, 1))
        return OthersUse(
            sent=max(0, sent - own_sent),
            opened=max(0, opened - own_opened),
            vms=vms,
            share=vms / self.vms,
        )
