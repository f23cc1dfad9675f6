"""Reports between routers over simulated links that are cut, and lose messages."""

import random

import pytest
from measurements._report_network import SimulatedNetwork

from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.peer_messages import NoticeKind
from forwarding_builders import LogRecorder, ManualClock, load_tables

INSTANCES = ("e1", "e2", "e3")


class Exchange:
    """Two data centres with two relays each, and members of each relay."""

    def __init__(self, *, members=8):
        self.clock = ManualClock()
        self.network = SimulatedNetwork(
            relays=4, members=members, clock=self.clock, log=LogRecorder()
        )
        self.routers = self.network.routers
        for router in self.routers.values():
            load_tables(router.view, 7)

    def deliver(self, *, share=1.0, rng=None):
        for name, link in self.network.waiting_messages():
            while link.messages:
                if rng is not None and rng.random() > share:
                    break
                self.routers[link.target].receive(name, link.messages.popleft())

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
        vms = {
            1 + sum(router.budget.represented_vms.values())
            for router in self.routers.values()
        }
        assert vms == {len(self.routers)}


def change_load(router, rng, running):
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
    exchange = Exchange()
    running = {name: [] for name in exchange.routers}
    names = list(exchange.routers)
    for _ in range(600):
        name = rng.choice(names)
        router = exchange.routers[name]
        match rng.randrange(12):
            case 0 | 1 | 2 | 3:
                change_load(router, rng, running[name])
            case 4 | 5 | 6:
                exchange.clock.now += 0.1
                router.send_reports()
            case 7 | 8 | 9:
                exchange.deliver(share=0.8, rng=rng)
            case 10:
                pair = rng.choice(exchange.network.pairs)
                exchange.network.cut(*pair)
                exchange.network.link(*pair)
            case 11:
                for link in router.links.values():
                    link.busy = rng.random() < 0.3
    for router in exchange.routers.values():
        for link in router.links.values():
            link.busy = False
    exchange.settle()
    exchange.assert_all_agree()


# Guards against a member whose own notices and segments come back to it through its
# relay, later than what it has learned meanwhile.
def test_a_member_does_not_get_its_own_notices_back():
    exchange = Exchange()
    exchange.settle()
    member, other = exchange.routers["member0"], exchange.routers["member4"]
    now = exchange.clock.now
    member.builder.add_notice("e1", NoticeKind.AVOID, until=now + 5.0)
    exchange.settle()
    assert other.view.loads.of("e1").avoid_until > now
    assert member.view.loads.of("e1").avoid_until == 0.0


# Guards against reports whose size grows with what has not changed.
def test_a_report_without_changes_is_small():
    exchange = Exchange()
    rng = random.Random(1)
    for router in exchange.routers.values():
        for _ in range(20):
            change_load(router, rng, [])
    exchange.settle()
    links = [
        link for router in exchange.routers.values() for link in router.links.values()
    ]
    before = sum(link.sent_bytes for link in links)
    exchange.settle()
    sent = sum(link.sent_bytes for link in links) - before
    assert sent / (12 * len(links)) < 60
