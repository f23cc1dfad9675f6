"""Slow start of upstreams that start or recover."""

import asyncio
import random

import pytest
from measurements._pace_model import PaceModel
from measurements._pace_vms import Upstream

from endivelug.forwarding.calls import Failed, NotRun
from endivelug.forwarding.engine_candidates import Fleet
from endivelug.forwarding.pace.controller import (
    MAX_SLOW_START_S,
    Cause,
    PaceController,
    WorkSize,
    window_share,
)
from endivelug.forwarding.pace.slow_starts import SlowStarts
from endivelug.forwarding.shared_amounts import SharedAmounts, SharedAmountTable
from endivelug.forwarding.upstream_connection import ResponseHead
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    make_view,
    registration_document,
    stored_row,
)
from router_process import metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]

SHORT = WorkSize.SHORT


def begin(cause=Cause.STARTED, *, slots=64, used=0):
    controller = PaceController()
    start = controller.begin("e1", cause, slots=slots, used=used, now=0.0)
    return controller, start


def held(controller, names=("e1", "warm"), *, now=0.0, size=SHORT, **changes):
    values = {"used": {"e1": 0}, "share": 1.0, "rng": random.Random(1), **changes}
    sizes = dict.fromkeys(names, size)
    return controller.held_back(list(names), sizes=sizes, now=now, **values)


# Guards against a flood at a start, and against a limit that stays when all goes well.
def test_the_limit_starts_low_and_ends_after_good_responses():
    controller, start = begin()
    assert held(controller, used={"e1": 1}) == set()
    assert held(controller, used={"e1": 32}) == {"e1"}
    rounds = 0
    while not start.is_warm(now=1.0):
        start.record_answers(good=int(start.limit), late=0, now=1.0)
        rounds += 1
    assert rounds <= 3


# Guards against growth while an upstream is slow, and against an upstream that is slow
# for good and stays limited for ever.
def test_late_responses_raise_the_limit_slowly():
    _, slow = begin()
    _, quick = begin()
    before = slow.limit
    slow.record_answers(good=0, late=4, now=1.0)
    quick.record_answers(good=4, late=0, now=1.0)
    assert before < slow.limit < quick.limit
    assert slow.is_warm(now=MAX_SLOW_START_S + 2.0)


# Guards against a limit that stays high after failures, or falls to nothing by those of
# requests that were in progress together.
def test_failures_halve_the_limit_at_once():
    _, start = begin()
    before = start.limit
    for _ in range(20):
        start.record_failure(now=1.0)
    assert start.limit == before / 2
    for second in range(2, 20):
        start.record_failure(now=float(second))
    assert start.limit == 1.0


# Guards against a false health check that ends the slow start.
def test_failures_keep_an_upstream_in_slow_start():
    _, start = begin()
    start.record_answers(good=500, late=0, now=1.0)
    start.record_failure(now=1.5)
    start.record_answers(good=500, late=0, now=1.6)
    assert not start.is_warm(now=1.7)
    assert not start.is_warm(now=1.5)


# Guards against a first probe from each VM at the same moment, and against none.
@pytest.mark.parametrize("requests_per_s", [50.0, 500.0, 5000.0])
def test_all_vms_together_send_about_one_probe(requests_per_s):
    vms, windows = 195, 200
    share = window_share(share=1 / vms, requests_per_s=requests_per_s)
    rng = random.Random(1)
    active = vms * min(1.0, share and 1 / (vms * share))
    probes = 0
    for _ in range(windows):
        for _ in range(round(active)):
            controller, start = begin(Cause.AVOIDED)
            start.record_avoided(until=9.0, now=0.0)
            probes += not held(controller, share=share, now=9.0, rng=rng)
    assert 0.5 < probes / windows < 2.0


# Guards against an upstream that is never tried again because old requests hang there.
def test_hanging_requests_do_not_keep_an_upstream_from_being_tried():
    controller, start = begin(Cause.AVOIDED)
    assert held(controller, used={"e1": 40}, now=9.0) == set()
    start.record_sent(now=9.0)
    assert held(controller, used={"e1": 40}, now=9.1) == {"e1"}
    assert held(controller, used={"e1": 40}, now=10.0) == set()


# Guards against a VM whose own path to an upstream failed and that gets no room beside
# the others, and against limits that rise by the delay of the reports alone.
def test_a_vm_follows_the_others_that_use_an_upstream_freely():
    _, start = begin(Cause.AVOIDED)
    start.record_running(50, now=0.5)
    assert start.limit == 1
    start.record_running(50, now=2.0)
    assert start.limit > 50
    _, start = begin()
    before = start.limit
    start.record_running(round(1.3 * before), now=2.0)
    assert start.limit == before


# Guards against a service that starts as a whole and refuses what it could serve.
def test_cold_upstreams_are_not_limited_while_there_is_no_warm_one():
    controller, start = begin()
    assert held(controller, ("e1",), used={"e1": 300}) == set()
    # What was in use is not taken back when the first one is warm.
    assert held(controller, used={"e1": 300}) == set()
    assert start.limit > 300


# Guards against long prompts that occupy an upstream before it is known to be sound,
# and against a service of long prompts only that never uses it.
def test_short_work_is_sent_first():
    controller, start = begin()
    for size, expected in ((WorkSize.CACHED, {"e1"}), (WorkSize.LONG, {"e1"})):
        assert held(controller, size=size) == expected
    start.record_answers(good=1, late=0, now=0.1)
    assert held(controller, size=WorkSize.CACHED, now=0.2) == set()
    assert held(controller, size=WorkSize.LONG, now=0.2) == {"e1"}
    assert held(controller, size=WorkSize.LONG, now=5.0) == set()


def make_slow_starts(requests_per_s=10.0):
    clock, log = ManualClock(), LogRecorder()
    view = make_view(clock, log)
    fleet = Fleet(requests_per_s=lambda service: requests_per_s)
    starts = SlowStarts(view=view, traffic=fleet, clock=clock, rng=random.Random(1))
    clock.now += 60.0
    return starts, view, clock, log


def register(view, version, **changes):
    document = registration_document(**changes)
    view.apply([stored_row("servers", "e1", document, version)], source="store")


def causes(log):
    return [fields["why"] for event, fields in log.lines if event == "pace-changed"]


# Guards against a cause of a slow start that is overlooked, and against a slow start
# without one.
def test_what_begins_a_slow_start():
    starts, view, _, log = make_slow_starts()
    register(view, 3, seq=9)
    assert causes(log) == []
    register(view, 4, born=2000)
    assert causes(log) == ["started"]
    register(view, 5, born=2000, state="draining")
    assert not starts.is_active()
    register(view, 6, born=2000)
    assert causes(log)[1:] == ["drain cancelled"]
    register(view, 7, born=2000, state="draining")
    register(view, 8, born=3000, state="draining")
    assert not starts.is_active()
    register(view, 9, born=4000)
    starts._drop("e1")
    view.observe_weights(view.registry.get("e1"), "m", 2)
    assert causes(log)[-1] == "new weights"
    starts._drop("e1")
    view.on_avoided("e1", 0.3)
    assert not starts.is_active()
    view.on_avoided("e1", 0.8)
    assert causes(log)[-1] == "was avoided"


# Guards against limits at the start of the whole fleet, and at a VM that starts in a
# fleet which has used the upstream for long.
def test_what_begins_no_slow_start():
    starts, view, _, _ = make_slow_starts(requests_per_s=0.0)
    register(view, 3, born=2000)
    assert not starts.is_active()
    starts, view, clock, _ = make_slow_starts()
    starts.created_at = clock.now
    load = view.loads.own("e1")._replace(requests=3)
    view.loads.apply_changes("vm2", {"e1": load}, now=clock.now)
    register(view, 3, born=2000)
    assert not starts.is_active()


# Guards against evidence that the other VMs do not get, that stays after the slow
# start, and that is sent for warm upstreams.
def test_evidence_is_shared_while_an_upstream_is_in_slow_start():
    starts, view, clock, _ = make_slow_starts()
    table = SharedAmountTable()
    starts.evidence = SharedAmounts(kind="pace", table=table)
    failed = Failed(head=ResponseHead(status=500, reason="", headers=[]), body=b"")
    starts.record_failure("e1", failed)
    assert table.own == {}
    register(view, 3, born=2000)
    starts.record_failure("e1", NotRun(status=503, reason=""))
    assert table.own == {"pace:2000/e1": (0, 0, 1)}
    denied = Failed(head=ResponseHead(status=404, reason="", headers=[]), body=b"")
    starts.record_failure("e1", denied)
    assert table.own == {"pace:2000/e1": (0, 0, 1)}
    clock.now += 2.0
    starts.exchange()
    starts.exchange()
    assert table.own == {}
    table.neighbours.set("vm2", "pace:2000/e1", table.neighbours.zero.of((90, 0, 0)))
    starts.exchange()
    assert not starts.is_active()
    assert table.own == {}


def play(*, vms=7, requests_per_s=112.0, upstreams=3, **changes):
    model = PaceModel(vms=vms, requests_per_s=requests_per_s, **changes)
    for number in range(upstreams):
        model.add(Upstream(name=f"u{number}"))
    model.load_tables()
    model.run(1.0)
    return model


# Guards against a cold upstream, ten times slower at first, that is flooded by all VMs
# or not used, also if reports are lost or late.
@pytest.mark.parametrize(
    "faults",
    [{}, {"reports_lost": 0.3}, {"report_delay_s": 0.4}, {"vms": 1}, {"vms": 79}],
)
def test_a_cold_upstream_is_neither_flooded_nor_left_idle(faults):
    model = play(**faults)
    cold = model.add(Upstream(name="u3", started_at=model.now, warm_s=3.0))
    model.run(0.3)
    assert len(cold.running) <= cold.slots
    model.run(7.7)
    assert cold.ended
    assert model.full_use_s("u3", model.now - 8.0) is not None
    _, lost, _ = model.lost_and_late(101.0, model.now - model.timeout_s)
    assert lost == 0
    assert not any(vm.pace.is_active() for vm in model.vms)


# Guards against leaving slow start by health checks alone, and never leaving it after.
def test_an_upstream_that_fails_its_requests_stays_in_slow_start():
    model = play()
    until = model.now + 3.0
    sick = model.add(Upstream(name="u3", started_at=model.now, fails_until=until))
    model.run(3.0)
    assert all(vm.pace.is_active() for vm in model.vms)
    assert len(sick.ended) < 0.1 * model.calls
    model.run(8.0)
    assert not any(vm.pace.is_active() for vm in model.vms)


# Guards against a VM that keeps limits, or gives an upstream up, when it flaps.
def test_a_flapping_upstream_is_used_again():
    model = play(upstreams=4)
    for _ in range(4):
        model.crash("u0", until=model.now + 0.7)
        model.run(1.5)
    model.run(6.0)
    assert model.full_use_s("u0", model.now - 6.0) is not None
    assert not any(vm.pace.is_active() for vm in model.vms)


# Guards against requests lost while all upstreams of a service are replaced in turn.
def test_a_rolling_replacement_loses_nothing():
    model = play(upstreams=3, requests_per_s=70.0)
    for number in range(3):
        old = model.upstreams[f"u{number}"]
        model.add(Upstream(name=f"n{number}", started_at=model.now, warm_s=1.0))
        model.run(1.0)
        old.draining = True
        model.add(old)
        model.run(1.5)
        model.remove(old.name)
    model.run(3.0)
    calls, lost, _ = model.lost_and_late(100.0, model.now)
    assert calls > 500
    assert lost == 0


# Guards against limits at the start of the whole fleet, whose upstreams register one
# after the other before the first request.
def test_a_fleet_that_starts_refuses_nothing():
    model = PaceModel(vms=7, requests_per_s=0.0)
    model.load_tables()
    for number in range(4):
        model.add(Upstream(name=f"u{number}", started_at=model.now))
        model.run(0.3, traffic=False)
    model.requests_per_s = 140.0
    model.run(4.0)
    assert not any(vm.changes for vm in model.vms)
    _, lost, _ = model.lost_and_late(0.0, model.now - model.timeout_s)
    assert lost == 0


# Guards against a service that restarts as a whole in its traffic and refuses.
def test_a_service_whose_upstreams_all_restart_is_not_limited():
    model = play(upstreams=3, requests_per_s=80.0)
    for number in range(3):
        model.add(Upstream(name=f"u{number}", started_at=model.now))
    since = model.now
    model.run(4.0)
    _, lost, _ = model.lost_and_late(since, model.now - model.timeout_s)
    assert lost == 0
    assert not any(vm.pace.is_active() for vm in model.vms)


# Guards against a controller that the router does not use: a restart in its traffic
# begins a slow start, responses end it, and no request is refused.
def test_a_router_limits_an_upstream_that_restarts():
    async def scenario(system):
        restarted = system.desks[0]
        for _ in range(4):
            assert (await system.request("/look/it")).status == 200
        document = registration_document(
            address=restarted.address, service="desk", models=[], born=2000
        )
        system.store.put("servers", "i1", document)
        await wait_until(lambda: "started" in causes(system.log))
        pace = system.node.placer.pace.slow_starts
        assert pace.count() == 1
        async with asyncio.timeout(10):
            while pace.is_active():
                responses = await asyncio.gather(
                    *(system.request("/look/it") for _ in range(6))
                )
                assert {response.status for response in responses} == {200}
                await asyncio.sleep(0.05)
        assert causes(system.log) == ["started", "warm"]

    run_scenario(scenario)
