"""Reports between routers over simulated links that are cut, and lose messages."""

import random
from collections import deque

import pytest

from endivelug import codec
from endivelug.exceptions import LinkBusy
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.peer_messages import FullReportRequest, NoticeKind
from endivelug.forwarding.peer_reports import PeerReportApplier
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.report_builder import ReportBuilder
from endivelug.forwarding.report_sender import ReportSender
from endivelug.forwarding.report_stream import Standing
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.shared_amounts import SharedAmounts, SharedAmountTable
from endivelug.platform.records import PlatformRecords
from forwarding_builders import LogRecorder, ManualClock, load_tables

INSTANCES = ("e1", "e2", "e3")


class SimulatedLink:
    """One direction of a link; messages wait until the test delivers them."""

    def __init__(self, target):
        self.target = target
        self.messages = deque()
        self.busy = False
        self.sent_bytes = 0

    def send(self, message, *, encoded=None):
        if self.busy:
            raise LinkBusy("full")
        data = encoded or codec.encode(message)
        self.sent_bytes += len(data)
        self.messages.append(data)


class SimulatedRouter:
    """A router with the exchange of reports, but without connections."""

    def __init__(self, name, *, is_relay, clock):
        self.name = name
        self.is_relay = is_relay
        self.clock = clock
        log = LogRecorder()
        self.view = ClusterView(records=PlatformRecords(), clock=clock, log=log)
        load_tables(self.view, 7)
        self.budget = SharedRetryBudget(ratio=0.2, slack=10.0, window_s=1e9)
        self.shared = SharedAmountTable()
        self.streams = SharedAmounts(kind="streams", table=self.shared)
        self.neighbours = {}
        self.links = {}
        self.builder = ReportBuilder(
            view=self.view,
            budget=self.budget,
            shared=self.shared,
            lease_remaining_s=lambda: 0.0,
            ordered_engines=lambda: [],
            clock=clock,
        )
        self.applier = PeerReportApplier(
            view=self.view,
            budget=self.budget,
            shared=self.shared,
            refused=RefusedCallers(),
            builder=self.builder,
            clock=clock,
        )
        self.sender = ReportSender(
            builder=self.builder,
            neighbours=self.neighbours,
            links=self.links,
            is_member=lambda item: self.is_relay and not item.is_relay,
            forwards=lambda: self.is_relay,
            on_closed=lambda vm, link: None,
            clock=clock,
            log=log,
        )

    def send_reports(self):
        relays = [vm for vm, item in self.neighbours.items() if item.is_relay]
        self.sender.send_reports(
            Standing(
                relay=self.is_relay,
                relays=tuple(sorted([self.name, *relays])) if self.is_relay else (),
                registry_lost=False,
                follows_store=True,
                rows_age_s=0,
            )
        )

    def receive(self, source, data):
        neighbour = self.neighbours.get(source)
        if neighbour is None:
            return
        _, message = codec.decode(data)
        if isinstance(message, FullReportRequest):
            neighbour.in_sync = False
            return
        was_relay = neighbour.is_relay
        self.applier.apply(source, neighbour, message, forwards=self.is_relay)
        if neighbour.is_relay != was_relay:
            neighbour.in_sync = False
        if neighbour.missed:
            self.links[source].send(FullReportRequest())


class SimulatedNetwork:
    """Two data centres with two relays each, and members of each relay."""

    def __init__(self, *, members=8):
        self.clock = ManualClock()
        names = [f"relay{number}" for number in range(4)]
        self.routers = {
            name: SimulatedRouter(name, is_relay=True, clock=self.clock)
            for name in names
        }
        self.pairs = [(one, other) for one in names for other in names if one < other]
        for number in range(members):
            name = f"member{number}"
            self.routers[name] = SimulatedRouter(name, is_relay=False, clock=self.clock)
            self.pairs.append((name, names[number % len(names)]))
        for pair in self.pairs:
            self.link(*pair)

    def link(self, one, other):
        for source, target in ((one, other), (other, one)):
            router = self.routers[source]
            router.neighbours[target] = Neighbour(last_received_at=self.clock.now)
            router.links[target] = SimulatedLink(target)

    def cut(self, one, other):
        for source, target in ((one, other), (other, one)):
            router = self.routers[source]
            if router.neighbours.pop(target, None) is None:
                continue
            del router.links[target]
            router.budget.forget(target, now=self.clock.now)
            router.view.loads.neighbours.drop(target)
            router.shared.neighbours.drop(target)

    def deliver(self, *, share=1.0, rng=None):
        for name, router in self.routers.items():
            for target, link in list(router.links.items()):
                while link.messages:
                    if rng is not None and rng.random() > share:
                        break
                    self.routers[target].receive(name, link.messages.popleft())

    def settle(self):
        for _ in range(12):
            self.clock.now += 0.6
            for router in self.routers.values():
                router.send_reports()
            self.deliver()

    def expected(self, instance):
        return sum(
            router.view.loads.own(instance).requests for router in self.routers.values()
        )

    def assert_all_agree(self):
        for instance in INSTANCES:
            expected = self.expected(instance)
            totals = {
                name: router.view.loads.total(instance).requests
                for name, router in self.routers.items()
            }
            assert set(totals.values()) == {expected}, (instance, expected, totals)
            streams = {
                router.streams.own(instance).plus(router.streams.others(instance))
                for router in self.routers.values()
            }
            assert len(streams) == 1, (instance, streams)
        vms = {
            1 + sum(router.budget.represented_vms.values())
            for router in self.routers.values()
        }
        assert vms == {len(self.routers)}


def change_load(router, rng, running):
    router.streams.set_own(rng.choice(INSTANCES), [rng.randrange(3), rng.randrange(3)])
    if running and rng.random() < 0.5:
        instance, request = running.pop(rng.randrange(len(running)))
        router.view.loads.remove_work(instance, request)
        return
    instance, request = rng.choice(INSTANCES), f"q{rng.random()}"
    work = Work(request=request, sent_at=0.0, uncached_tokens=rng.randrange(500))
    router.view.loads.add_work(instance, work)
    running.append((instance, request))


# Guards against requests that are counted twice, forgotten, or kept forever, whatever
# the order of changes, reports, cut links, lost messages and new roles.
@pytest.mark.parametrize("seed", range(25))
def test_all_routers_know_all_requests_after_any_series_of_faults(seed):
    rng = random.Random(seed)
    network = SimulatedNetwork()
    running = {name: [] for name in network.routers}
    names = list(network.routers)
    for _ in range(600):
        name = rng.choice(names)
        router = network.routers[name]
        match rng.randrange(12):
            case 0 | 1 | 2 | 3:
                change_load(router, rng, running[name])
            case 4 | 5 | 6:
                network.clock.now += 0.1
                router.send_reports()
            case 7 | 8 | 9:
                network.deliver(share=0.8, rng=rng)
            case 10:
                pair = rng.choice(network.pairs)
                network.cut(*pair)
                network.link(*pair)
            case 11:
                for link in router.links.values():
                    link.busy = rng.random() < 0.3
    for router in network.routers.values():
        for link in router.links.values():
            link.busy = False
    network.settle()
    network.assert_all_agree()


# Guards against a member whose own notices and segments come back to it through its
# relay, later than what it has learned meanwhile.
def test_a_member_does_not_get_its_own_notices_back():
    network = SimulatedNetwork()
    network.settle()
    member, other = network.routers["member0"], network.routers["member4"]
    now = network.clock.now
    member.builder.add_notice("e1", NoticeKind.AVOID, until=now + 5.0)
    network.settle()
    assert other.view.loads.of("e1").avoid_until > now
    assert member.view.loads.of("e1").avoid_until == 0.0


# Guards against reports whose size grows with what has not changed.
def test_a_report_without_changes_is_small():
    network = SimulatedNetwork()
    rng = random.Random(1)
    for router in network.routers.values():
        for _ in range(20):
            change_load(router, rng, [])
    network.settle()
    links = [
        link for router in network.routers.values() for link in router.links.values()
    ]
    before = sum(link.sent_bytes for link in links)
    network.settle()
    sent = sum(link.sent_bytes for link in links) - before
    assert sent / (12 * len(links)) < 60
