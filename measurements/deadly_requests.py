"""One request that ends each upstream which runs it, by what VMs know and their number.

In simulated time the request comes again at random VMs, among sound ones of which some
are in progress at each crash, one of them popular. Upstreams also end for another
reason. One VM starts again, and later all of them. Baselines are VMs that block
nothing, and VMs that judge by the crashes of their own requests alone.
"""

import heapq
import random
from collections.abc import Iterator
from typing import Any

from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.crashes.suspects import CrashSuspects

SIZES = (7, 60, 490)
POLICIES = ("none", "alone", "shared")
DURATION_S = 60.0
DEADLY_PER_S = 2.0
POPULAR_PER_S = 5.0
OTHER_ENDS_PER_S = 0.2
ATTEMPTS = 2
# Time from the sending of the request to the crash, and to that of the second attempt.
CRASH_S = 0.08
# Time in which the news of a crash reaches all VMs.
NEWS_S = 0.04
BESIDE = 5
ONE_RESTARTS_AT_S = 20.0
ALL_RESTART_AT_S = 40.0
# Sends count as late from this long after the third crash.
CRASHES_TO_STOP = 3
SETTLED_S = 3.0
DEADLY, POPULAR = "deadly", "popular"


class _Fleet:
    """VMs under one policy.

    Attributes
    ----------
    events : list of (float, int, str, Any)
        Time, order, kind and detail of what happens next, as a heap.
    """

    def __init__(self, policy: str, *, vms: int, seed: int) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.vms = [CrashSuspects(vm=f"vm{number}") for number in range(vms)]
        self.events: list[tuple[float, int, str, Any]] = []
        self.added = 0
        self.ends = 0
        self.crashed_at: list[float] = []
        self.late = 0
        self.popular = self.popular_refused = 0

    def run(self) -> None:
        """Play all arrivals and what follows from them."""
        for kind, rate in (
            ("deadly", DEADLY_PER_S),
            ("popular", POPULAR_PER_S),
            ("other", OTHER_ENDS_PER_S),
        ):
            at = self.rng.expovariate(rate)
            while at < DURATION_S:
                self._add(at, kind, ATTEMPTS)
                at += self.rng.expovariate(rate)
        self._add(ONE_RESTARTS_AT_S, "restart", range(1))
        self._add(ALL_RESTART_AT_S, "restart", range(len(self.vms)))
        while self.events:
            at, _, kind, detail = heapq.heappop(self.events)
            self._play(at, kind, detail)

    def _add(self, at: float, kind: str, detail: Any) -> None:
        self.added += 1
        heapq.heappush(self.events, (at, self.added, kind, detail))

    def _play(self, at: float, kind: str, detail: Any) -> None:
        match kind:
            case "deadly":
                self._send(at, self.rng.randrange(len(self.vms)), detail)
            case "crash":
                vm, attempts = detail
                self.crashed_at.append(at)
                self._end(at, vm, [DEADLY])
                if attempts > 1:
                    self._send(at, vm, attempts - 1)
            case "other":
                self._end(at, self.rng.randrange(len(self.vms)), [])
            case "popular":
                self._answer(at, self.rng.randrange(len(self.vms)))
            case "news":
                for suspects in self.vms:
                    for run in detail:
                        suspects.record_crash(run, now=at)
            case "cleared":
                for suspects in self.vms:
                    suspects.clear(POPULAR, at=detail)
            case "restart":
                self._restart(at, detail)

    def _refuses(self, vm: int, request: str, at: float) -> bool:
        if self.policy == "none":
            return False
        suspects = self.vms[vm]
        block = suspects.block_of(request, [], now=at)
        return block is not None and not suspects.may_test(request, [], now=at)

    def _send(self, at: float, vm: int, attempts: int) -> None:
        if self._refuses(vm, DEADLY, at):
            return
        crashes = self.crashed_at
        if len(crashes) >= CRASHES_TO_STOP:
            self.late += at > crashes[CRASHES_TO_STOP - 1] + SETTLED_S
        self._add(at + CRASH_S, "crash", (vm, attempts))

    def _end(self, at: float, vm: int, requests: list[str]) -> None:
        """Let an upstream end, with what runs beside the request that ends it."""
        self.ends += 1
        others = [f"q{self.rng.getrandbits(48):x}" for _ in range(BESIDE)]
        runs = [
            CrashedRun(
                instance=f"e{self.ends}",
                started_ms=1,
                vm=f"vm{vm}",
                request=request,
                segments=(),
                begun=False,
                sent_at=at - CRASH_S,
                at=at,
            )
            for request in (*requests, POPULAR, *others)
        ]
        for run in runs:
            self.vms[vm].record_crash(run, now=at)
        if self.policy == "shared":
            self._add(at + NEWS_S, "news", runs)

    def _answer(self, at: float, vm: int) -> None:
        self.popular += 1
        if self._refuses(vm, POPULAR, at):
            self.popular_refused += 1
        elif self.vms[vm].record_answer(POPULAR, []):
            self.vms[vm].clear(POPULAR, at=at)
            if self.policy == "shared":
                self._add(at + NEWS_S, "cleared", at)

    def _restart(self, at: float, numbers: range) -> None:
        """Start VMs again with what the others know, or else with what is stored."""
        source = self.vms[-1]
        blocked = {block.suspect for block in source.blocked(now=at)}
        known = source.runs(now=at)
        if len(numbers) == len(self.vms):
            known = [run for run in known if run.request in blocked]
        for number in numbers:
            self.vms[number] = CrashSuspects(vm=f"vm{number}")
            for run in known if self.policy == "shared" else []:
                self.vms[number].record_crash(run, now=at)


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each size and policy, and the summary."""
    summary: dict[str, Any] = {"summary": True}
    for vms in SIZES:
        for policy in POLICIES:
            fleet = _Fleet(policy, vms=vms, seed=seed)
            fleet.run()
            yield {
                "vms": vms,
                "policy": policy,
                "engines_crashed": len(fleet.crashed_at),
                "late_sends": fleet.late,
                "last_crash_s": round(max(fleet.crashed_at), 1),
                "popular_refused_rate": round(fleet.popular_refused / fleet.popular, 4),
            }
            if policy == "shared":
                summary[f"late_sends_{vms}"] = fleet.late
                summary[f"engines_crashed_{vms}"] = len(fleet.crashed_at)
    yield summary
