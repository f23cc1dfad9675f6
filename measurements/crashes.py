"""Engines crashed by prompts with one segment in common, by what the routers know.

In simulated time, requests come at random routers. One segment crashes each engine that
begins to answer it. Baselines are routers that block nothing, and routers that judge by
the crashes of their own requests alone. Engines also crash for other reasons while they
run sound requests. The last part times the decision with a full table of suspects, and
measures the size of the table and of the messages.
"""

import random
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any

from endivelug import codec
from endivelug.forwarding.crashes.evidence import CrashedRun
from endivelug.forwarding.crashes.exchange import CrashExchange
from endivelug.forwarding.crashes.suspects import (
    MAX_SUSPECTS,
    CrashSuspects,
)

ROUTERS = 85
DURATION_S = 60.0
SOUND_PER_S = 70.0
BAD_PER_S = 3.7
GUIDES = 200
# Time from the sending of a request to the beginning of its answer.
PREFILL_S = 0.4
# Time in which the news of a crash reaches the other routers.
NEWS_S = 0.02
# Crashes with another cause, and the sound requests that each engine had begun.
OTHER_CRASHES_PER_S = 0.5
BEGUN_BESIDE = 2
ATTEMPTS = 2
POLICIES = ("none", "alone", "shared")
BAD_SEGMENT = "bad"
DECISIONS = 20_000


class _Fleet:
    """Routers under one policy, and the engines that requests crash."""

    def __init__(self, policy: str, *, seed: int) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.routers = [CrashSuspects(vm=f"vm{number}") for number in range(ROUTERS)]
        self.crashes = 0
        self.crash_at: list[float] = []
        self.sound = self.sound_refused = 0
        # Time, order, and what happens then.
        self.events: list[tuple[float, int, str, Any]] = []
        self.added = 0

    def add(self, at: float, kind: str, detail: Any) -> None:
        self.added += 1
        self.events.append((at, self.added, kind, detail))

    def run(self) -> None:
        """Play all arrivals and what follows from them, in the order of time."""
        for kind, rate in (
            ("sound", SOUND_PER_S),
            ("bad", BAD_PER_S),
            ("other", OTHER_CRASHES_PER_S),
        ):
            at = self.rng.expovariate(rate)
            while at < DURATION_S:
                self.add(at, kind, None)
                at += self.rng.expovariate(rate)
        while self.events:
            self.events.sort()
            batch, self.events = self.events, []
            for number, (at, _, kind, detail) in enumerate(batch):
                self._play(at, kind, detail)
                if self.events:
                    # New events may belong before the rest.
                    self.events += batch[number + 1 :]
                    break

    def _play(self, at: float, kind: str, detail: Any) -> None:
        match kind:
            case "sound" | "bad":
                self._arrive(at, bad=kind == "bad")
            case "other":
                self._crash(at, [self._request(bad=False) for _ in range(BEGUN_BESIDE)])
            case "begin":
                self._begin(at, *detail)
            case "news":
                router, run = detail
                self.routers[router].record_crash(run, now=at)
            case "clear":
                router, name, answered_at = detail
                self.routers[router].clear(name, at=answered_at)

    def _request(self, *, bad: bool) -> tuple[int, str, list[str]]:
        segments = [f"guide{self.rng.randrange(GUIDES)}"]
        if bad:
            segments.append(BAD_SEGMENT)
        name = f"q{self.rng.getrandbits(48):x}"
        return self.rng.randrange(ROUTERS), name, segments

    def _arrive(self, at: float, *, bad: bool) -> None:
        router, request, segments = self._request(bad=bad)
        refused = self._is_blocked(router, request, segments, at)
        if not bad:
            self.sound += 1
            self.sound_refused += refused
        if not refused:
            detail = (router, request, segments, ATTEMPTS)
            self.add(at + PREFILL_S, "begin", detail)

    def _is_blocked(
        self, router: int, request: str, segments: list[str], at: float
    ) -> bool:
        if self.policy == "none":
            return False
        suspects = self.routers[router]
        block = suspects.block_of(request, segments, now=at)
        return block is not None and not suspects.may_test(request, segments, now=at)

    def _begin(
        self, at: float, router: int, request: str, segments: list[str], attempts: int
    ) -> None:
        if BAD_SEGMENT not in segments:
            for name in self.routers[router].record_answer(request, segments):
                self._tell(router, "clear", at, name, at)
            return
        self._crash(at, [(router, request, segments)])
        blocked = self._is_blocked(router, request, segments, at)
        if attempts > 1 and not blocked:
            detail = (router, request, segments, attempts - 1)
            self.add(at + PREFILL_S, "begin", detail)

    def _crash(self, at: float, begun: list[tuple[int, str, list[str]]]) -> None:
        self.crashes += 1
        if BAD_SEGMENT in begun[0][2]:
            self.crash_at.append(at)
        for router, request, segments in begun:
            run = CrashedRun(
                instance=f"e{self.crashes}",
                started_ms=1,
                vm=f"vm{router}",
                request=request,
                segments=tuple(segments),
                begun=True,
                sent_at=at - PREFILL_S,
                at=at,
            )
            self.routers[router].record_crash(run, now=at)
            self._tell(router, "news", at, run)

    def _tell(self, router: int, kind: str, at: float, *detail: Any) -> None:
        """Tell one router at once, and under the shared policy the others soon."""
        if kind == "clear":
            self.routers[router].clear(detail[0], at=at)
        if self.policy == "shared":
            for other in range(ROUTERS):
                if other != router:
                    self.add(at + NEWS_S, kind, (other, *detail))


class _Link:
    """Link to a new neighbour that keeps the size of the last message."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    def send(self, message: Any) -> None:
        self.sent_bytes = len(codec.encode(message))


def _greeting_bytes(suspects: CrashSuspects) -> int:
    """Return the size of the message with all evidence."""
    exchange = CrashExchange(
        suspects=suspects,
        links={},
        on_crash=lambda name, started_ms: None,
        clock=lambda: 5.0,
        log=lambda event, **fields: None,
    )
    link: Any = _Link()
    exchange.greet(link)
    return link.sent_bytes


def _make_table(rng: random.Random, *, size: int) -> CrashSuspects:
    suspects = CrashSuspects(vm="vm1")
    number = 0
    while len(suspects.suspects) < size:
        number += 1
        segments = tuple(f"s{rng.getrandbits(40):x}" for _ in range(16))
        run = CrashedRun(
            instance=f"e{number}",
            started_ms=1,
            vm="vm1",
            request=f"q{number}",
            segments=segments,
            begun=True,
            sent_at=0.01 * number,
            at=0.01 * number,
        )
        suspects.record_crash(run, now=run.at)
    return suspects


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each policy, the cost of a decision, and the summary."""
    fleets = {policy: _Fleet(policy, seed=seed) for policy in POLICIES}
    for policy, fleet in fleets.items():
        fleet.run()
        yield {
            "policy": policy,
            "engines_crashed": len(fleet.crash_at),
            "last_crash_s": round(max(fleet.crash_at), 1),
            "sound_refused_rate": round(fleet.sound_refused / fleet.sound, 5),
        }
    rng = random.Random(seed)
    tracemalloc.start()
    suspects = _make_table(rng, size=MAX_SUSPECTS)
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    names = [f"s{rng.getrandbits(40):x}" for _ in range(DECISIONS)]
    started = time.perf_counter()
    for name in names:
        suspects.block_of(name, [name, "guide"], now=5.0)
    decision_us = 1e6 * (time.perf_counter() - started) / DECISIONS
    yield {
        "suspects": len(suspects.suspects),
        "decision_us": round(decision_us, 2),
        "state_bytes": state_bytes,
        "news_bytes": _greeting_bytes(_make_table(rng, size=1)),
        "greeting_bytes": _greeting_bytes(suspects),
    }
    shared = fleets["shared"]
    yield {
        "summary": True,
        "engines_crashed": len(shared.crash_at),
        "engines_crashed_alone": len(fleets["alone"].crash_at),
        "engines_crashed_none": len(fleets["none"].crash_at),
        "sound_refused_rate": round(shared.sound_refused / shared.sound, 5),
    }
