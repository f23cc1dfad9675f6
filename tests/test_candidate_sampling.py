"""A herd of routers with old reports, replayed on the decisions alone."""

import itertools
import random
from collections import Counter, deque

import pytest

from endivelug.forwarding.candidate_sampling import (
    draw_samples,
    sample_size,
    unseen_requests,
)
from endivelug.forwarding.engine_choice import Choice, PrefillRate, choose_engine
from forwarding_builders import make_engine_state, make_prompt

RATE = PrefillRate(tokens_per_s=112_000.0)
SLOTS = 12
# Requests that an engine runs or queues; it rejects further ones.
ENGINE_LIMIT = 48
STEP_S = 0.01


class Herd:
    """Many routers that send short prompts and learn of each other's late.

    Every router knows its own requests at once and those of the others as of the last
    report. An engine runs up to ``SLOTS`` requests for ``RUN_S`` each.
    """

    RUN_S = 0.25

    def __init__(self, *, routers, engines, requests_per_s, sampled, seed=1):
        self.rng = random.Random(seed)
        self.routers = routers
        self.engines = [f"e{number}" for number in range(engines)]
        self.requests_per_s = requests_per_s
        self.sampled = sampled
        self.running = {name: deque() for name in self.engines}
        self.reported = Counter()
        self.own_since_report = [Counter() for _ in range(routers)]
        self.waiting = deque()
        self.most = 0
        self.rejected = 0
        self.sent = 0

    def run(self, seconds, *, report_s=0.25):
        now, due = 0.0, 0.0
        while now < seconds:
            now += STEP_S
            due += self.requests_per_s * STEP_S
            if int(now / report_s) != int((now - STEP_S) / report_s):
                self.report()
            for running in self.running.values():
                while running and running[0] <= now:
                    running.popleft()
            arrivals = int(due)
            due -= arrivals
            self.waiting.extend(
                self.rng.randrange(self.routers) for _ in range(arrivals)
            )
            for _ in range(len(self.waiting)):
                router = self.waiting.popleft()
                if not self.place(router, now):
                    self.waiting.append(router)

    def report(self):
        self.reported = Counter(
            {name: len(running) for name, running in self.running.items()}
        )
        for own in self.own_since_report:
            own.clear()

    def samples(self):
        if not self.sampled:
            return [self.engines]
        size = sample_size(
            engines=len(self.engines),
            slots=SLOTS,
            unseen=unseen_requests(
                requests_per_s=self.requests_per_s, vms=self.routers
            ),
        )
        return draw_samples(
            self.engines, size=size, is_local=lambda name: False, rng=self.rng
        )[:3]

    def place(self, router, now):
        own = self.own_since_report[router]
        for names in self.samples():
            states = [
                make_engine_state(
                    name, slots=SLOTS, requests=self.reported[name] + own[name]
                )
                for name in names
            ]
            prompt = make_prompt(prompt_tokens=400, output_tokens=9, target_s=0.8)
            choice = choose_engine(states, prompt, rate=RATE)
            if isinstance(choice, Choice):
                self.send(router, choice.engine, now)
                return True
        return False

    def send(self, router, name, now):
        self.sent += 1
        running = self.running[name]
        if len(running) >= ENGINE_LIMIT:
            self.rejected += 1
            return
        self.own_since_report[router][name] += 1
        waits = max(0, len(running) - SLOTS + 1)
        running.append(now + self.RUN_S * (1 + waits / SLOTS))
        self.most = max(self.most, len(running))


# Guards against routers that all send to the engine that looks free in old reports: it
# got up to 230 requests at a time for its 12 slots, and rejected one of six.
def test_routers_with_old_reports_do_not_overrun_one_engine():
    herd = Herd(routers=85, engines=29, requests_per_s=550.0, sampled=True)
    herd.run(5.0)
    assert herd.sent > 0.9 * 5.0 * 550.0
    assert herd.rejected == 0
    assert herd.most <= 3 * SLOTS


# Shows that the load above overruns engines where each router weighs all of them.
def test_weighing_all_engines_overruns_some():
    herd = Herd(routers=85, engines=29, requests_per_s=550.0, sampled=False)
    herd.run(5.0)
    assert herd.rejected > 0.05 * herd.sent


# Guards against a small deployment that leaves free engines aside.
@pytest.mark.parametrize(
    ("engines", "slots", "requests_per_s", "vms"),
    [(5, 64, 57.0, 6), (5, 128, 126.0, 7), (6, 64, 34.0, 7)],
)
def test_few_routers_weigh_all_engines(engines, slots, requests_per_s, vms):
    unseen = unseen_requests(requests_per_s=requests_per_s, vms=vms)
    assert sample_size(engines=engines, slots=slots, unseen=unseen) == engines


# Guards against requests that leave the data centre although its engines are free, and
# against an engine that is never drawn.
def test_samples_are_disjoint_and_half_local():
    engines = [f"l{number}" for number in range(6)]
    engines += [f"r{number}" for number in range(14)]
    rng = random.Random(3)
    for _ in range(20):
        samples = draw_samples(
            engines, size=4, is_local=lambda name: name[0] == "l", rng=rng
        )
        assert sorted(itertools.chain(*samples)) == sorted(engines)
        assert [name[0] for name in samples[0]] == ["l", "l", "r", "r"]
        assert all(len(sample) <= 4 for sample in samples)
