"""Work, messages and bytes of the reports between routers, by size of the deployment.

The decision code of relays and members runs with a generated load: requests begin and
end at each VM, and rounds of reports follow as in ``report_rounds``. The number of
engines grows with the VMs, as in a deployment that grows.
"""

import math
import random
import time
from collections.abc import Iterator
from typing import Any

from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.report_rounds import (
    REPORT_MIN_S,
    REPORTS_PER_S,
    URGENT_INTERVAL_S,
)
from measurements._report_network import SimulatedNetwork, SimulatedRouter

SIZES = (30, 100, 300, 1000)
VMS_PER_ENGINE = 5
REQUESTS_PER_S = 2.0
# One request of this many is announced at once, like a prefill or an instance to avoid.
REQUESTS_PER_NOTICE = 4
STEP_S = 0.05
WARM_UP_S = 2.0
WINDOW_S = 5.0


class _Load:
    """Requests that begin and end at one router."""

    def __init__(self, router: SimulatedRouter, engines: int, seed: str) -> None:
        self.router = router
        self.engines = engines
        self.rng = random.Random(seed)
        self.running: list[tuple[str, str]] = []
        self.requests = 0
        self.urgent = False

    def step(self) -> None:
        """Advance by one step."""
        loads = self.router.view.loads
        if self.rng.random() < REQUESTS_PER_S * STEP_S:
            self.requests += 1
            engine = f"e{self.rng.randrange(self.engines)}"
            request = f"q{self.requests}"
            loads.add_work(engine, Work(request=request, sent_at=0.0))
            self.running.append((engine, request))
            if self.requests % REQUESTS_PER_NOTICE == 0:
                until = self.router.clock() + 1.0
                self.router.builder.add_notice(engine, NoticeKind.AVOID, until=until)
                self.urgent = True
        if self.running and self.rng.random() < REQUESTS_PER_S * STEP_S:
            loads.remove_work(*self.running.pop(0))


class _Deployment:
    """Routers with their load, whose work is timed."""

    def __init__(self, *, vms: int, seed: int) -> None:
        self.now = 0.0
        relays = max(12, round(math.sqrt(vms)))
        self.network = SimulatedNetwork(
            relays=relays,
            members=vms - relays,
            clock=lambda: self.now,
            log=lambda *args, **fields: None,
        )
        engines = max(6, vms // VMS_PER_ENGINE)
        self.loads = {
            name: _Load(router, engines, f"{seed}-{name}")
            for name, router in self.network.routers.items()
        }
        self.next_round = dict.fromkeys(self.network.routers, 0.0)
        self.cpu_s = dict.fromkeys(self.network.routers, 0.0)

    def run(self, seconds: float) -> None:
        """Let the deployment run."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for load in self.loads.values():
                load.step()
            for name, router in self.network.routers.items():
                if self.now >= self.next_round[name]:
                    self._report(name, router)
            for name, link in self.network.waiting_messages():
                started = time.process_time()
                while link.messages:
                    target = self.network.routers[link.target]
                    target.receive(name, link.messages.popleft())
                self.cpu_s[link.target] += time.process_time() - started

    def _report(self, name: str, router: SimulatedRouter) -> None:
        started = time.process_time()
        router.send_reports()
        self.cpu_s[name] += time.process_time() - started
        links, load = len(router.links), self.loads[name]
        interval_s = max(REPORT_MIN_S, links / REPORTS_PER_S)
        if load.urgent or router.is_relay:
            interval_s = max(STEP_S, links * URGENT_INTERVAL_S)
        load.urgent = False
        self.next_round[name] = self.now + interval_s

    def sent(self, *, relays: bool) -> tuple[float, float]:
        """Return the messages and bytes that each relay, or each member, has sent."""
        routers = [
            router
            for router in self.network.routers.values()
            if router.is_relay == relays
        ]
        links = [link for router in routers for link in router.links.values()]
        messages = sum(link.sent for link in links)
        return messages / len(routers), sum(item.sent_bytes for item in links) / len(
            routers
        )

    def cpu(self, *, relays: bool) -> float:
        """Return the mean processor time of a relay, or of a member, in seconds."""
        times = [
            self.cpu_s[name]
            for name, router in self.network.routers.items()
            if router.is_relay == relays
        ]
        return sum(times) / len(times)


def _measure_size(vms: int, *, seed: int) -> dict[str, Any]:
    deployment = _Deployment(vms=vms, seed=seed)
    deployment.run(WARM_UP_S)
    before = {
        relays: (*deployment.sent(relays=relays), deployment.cpu(relays=relays))
        for relays in (False, True)
    }
    deployment.run(WINDOW_S)
    line: dict[str, Any] = {"vms": vms}
    for relays, role in ((False, "member"), (True, "relay")):
        messages, sent_bytes = deployment.sent(relays=relays)
        cpu = deployment.cpu(relays=relays)
        line[f"{role}_messages_s"] = round((messages - before[relays][0]) / WINDOW_S, 1)
        line[f"{role}_kb_s"] = round(
            (sent_bytes - before[relays][1]) / WINDOW_S / 1000, 2
        )
        line[f"{role}_us_s"] = round(1e6 * (cpu - before[relays][2]) / WINDOW_S)
    line["relay_over_member"] = round(
        line["relay_us_s"] / max(1, line["member_us_s"]), 2
    )
    return line


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield one line for each size, and the summary."""
    lines = [_measure_size(vms, seed=seed) for vms in SIZES]
    yield from lines
    first, last = lines[0], lines[-1]
    yield {
        "summary": True,
        "member_messages_ratio": round(
            last["member_messages_s"] / first["member_messages_s"], 2
        ),
        "member_kb_ratio": round(last["member_kb_s"] / first["member_kb_s"], 2),
        "relay_over_member_195": _measure_size(195, seed=seed)["relay_over_member"],
    }
