"""Refusals of calls that would be sent too late: the decision, and replayed loads."""

import asyncio
import dataclasses
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from measurements._service_model import ServiceModel
from measurements._service_parts import (
    Kind,
    share_refused_late,
    share_served,
    without_admission,
)

from endivelug.forwarding.overload.admission import WaitingCall, late_estimate
from endivelug.forwarding.overload.flow import Flow, FlowMeter
from endivelug.forwarding.request_queue import QueueAhead
from router_process import metrics_port, run_scenario

__all__ = ["metrics_port"]


def make_flow(**changes):
    return Flow(**{"period_s": 4.0, "waiting_s": 10.0, "sent": 40, **changes})


def make_waiting(ahead=0, **changes):
    queue = QueueAhead(requests=ahead, tokens=0)
    values = {
        "ahead": queue,
        "ahead_when_late": queue,
        "tokens": 0,
        "until_late_s": 0.5,
        "remaining_s": 1.0,
    }
    return WaitingCall(**{**values, **changes})


# Guards against calls that wait until their deadline behind a queue that is too long.
def test_a_call_behind_a_long_queue_is_refused():
    assert late_estimate(make_waiting(ahead=60), flow=make_flow()) is not None
    assert late_estimate(make_waiting(ahead=3), flow=make_flow()) is None


# Guards against refusals by chance: a queue that has just formed, few samples, and a
# peak that may end.
@pytest.mark.parametrize(
    "flow",
    [
        make_flow(period_s=0.0, waiting_s=0.05, sent=0),
        make_flow(period_s=0.2, waiting_s=0.2, sent=0),
        make_flow(period_s=0.2, waiting_s=0.2, sent=2, overtaking_late=2),
    ],
)
def test_a_call_waits_while_the_estimate_is_uncertain(flow):
    assert late_estimate(make_waiting(ahead=8), flow=flow) is None


# Guards against an urgent call that is refused while less urgent ones are sent.
def test_no_call_is_refused_for_room_that_a_less_urgent_one_got():
    call = make_waiting(ahead=500)
    assert late_estimate(call, flow=make_flow()) is not None
    assert late_estimate(call, flow=make_flow(less_urgent_sent=1)) is None


# Guards against an estimate by number alone where long prompts are ahead.
def test_long_prompts_ahead_take_the_room_of_many_short_ones():
    flow = make_flow(sent=400, sent_tokens=400 * 500)
    long = QueueAhead(requests=16, tokens=16 * 17_000)
    call = make_waiting(ahead=16, tokens=17_000, until_late_s=0.0)
    assert late_estimate(call, flow=flow) is None
    call = dataclasses.replace(call, ahead=long, ahead_when_late=long)
    assert late_estimate(call, flow=flow) is not None


# Guards against a short prompt that is refused for long ones that it would pass.
def test_long_prompts_ahead_of_a_short_one_count_no_more_than_itself():
    flow = make_flow(period_s=0.4, waiting_s=0.4, sent=2, sent_tokens=1080)
    long = QueueAhead(requests=6, tokens=6 * 17_000)
    call = make_waiting(tokens=540, ahead=6)
    call = dataclasses.replace(call, ahead=long, ahead_when_late=long)
    assert late_estimate(call, flow=flow) is None


# Guards against a refusal of one call while another with less time or more ahead waits.
@given(
    st.integers(0, 300),
    st.integers(0, 50),
    st.floats(0.0, 5.0),
    st.floats(0.0, 5.0),
    st.integers(0, 200),
)
@settings(derandomize=True)
def test_more_time_and_fewer_ahead_never_lead_to_a_refusal(
    ahead, fewer, remaining_s, more_s, sent
):
    flow = make_flow(sent=sent)
    call = make_waiting(ahead=ahead, remaining_s=remaining_s)
    if late_estimate(call, flow=flow) is None:
        for better in (
            make_waiting(ahead=max(0, ahead - fewer), remaining_s=remaining_s),
            make_waiting(ahead=ahead, remaining_s=remaining_s + more_s),
        ):
            assert late_estimate(better, flow=flow) is None


# Guards against rates of a time in which nothing waited or other upstreams served, and
# against a burst of urgent calls that counts as a lasting rate.
def test_only_what_was_sent_while_calls_waited_counts():
    meter = FlowMeter()
    for number in range(40):
        meter.record_sent(1, tokens=10, now=100.0 + number / 100)
    meter.begin_waiting(1, now=101.0)
    for _ in range(5):
        meter.record_arrival(0, now=101.2)
        meter.record_sent(1, tokens=10, now=101.55)
    flow = meter.flow(1, now=102.0)
    assert (flow.sent, flow.sent_tokens, flow.overtaking) == (5, 50, 0)
    assert flow.period_s == pytest.approx(1.0, abs=0.1)
    assert meter.flow(0, now=102.0).period_s == 0.0
    meter.restart(now=101.9)
    assert meter.flow(1, now=102.0).sent == 0


BURST = (3.0, 7.0)


def burst(usual, peak):
    return lambda t: peak if BURST[0] <= t < BURST[1] else usual


def desk(rate, **changes):
    values = {
        "name": "desk",
        "priority": 1,
        "target_s": 0.25,
        "timeout_s": 1.0,
        "generates": False,
        "rate": rate,
    }
    return Kind(**{**values, **changes})


def play(kinds, **changes):
    values = {"upstreams": 3, "slots": 4, "work_s": 0.1, "seed": 1, "seconds": 10.0}
    return ServiceModel(kinds=kinds, **{**values, **changes}).run()


# Guards against calls of a burst, and of a hot organisation that is half of the load,
# that are held for nearly all of their time and then refused, and against refusals of
# what could have been served.
@pytest.mark.parametrize("vms", [1, 4])
def test_a_burst_at_a_service_with_few_slots_is_refused_early(vms):
    kinds = [desk(burst(50, 250)), desk(burst(20, 100), name="hot")]
    before = play(kinds, vms=vms, prepare=without_admission)
    after = play(kinds, vms=vms)
    for kind in kinds:
        assert share_refused_late(before, kind) > 0.3
        assert share_refused_late(after, kind) < 0.02
        assert share_served(after, kind) > share_served(before, kind) - 0.05


# Guards against refusals while the upstreams keep up, with the usual chance of queues.
@pytest.mark.parametrize("vms", [1, 4])
def test_nothing_is_refused_while_the_upstreams_keep_up(vms):
    outcomes = play([desk(lambda t: 90.0)], vms=vms, seconds=20.0)
    assert not [item for item in outcomes if item.early]


# Guards against refusals for the rate of upstreams that are gone, and against calls
# that are held to their deadline afterwards.
def test_the_loss_of_half_of_the_upstreams_is_followed():
    kind = desk(lambda t: 90.0)
    gone = [(4.0, lambda model: [model.remove_upstream(f"u{n}") for n in (0, 1, 2)])]
    outcomes = play([kind], upstreams=6, slots=2, events=gone)
    early = [item for item in outcomes if item.early]
    start = min(item.arrived_at for item in outcomes)
    assert min(item.arrived_at for item in early) > start + 4.0
    assert share_refused_late(outcomes, kind) < 0.02


# Guards against an urgent route that is refused before a less urgent one.
def test_the_less_urgent_are_refused_first():
    urgent = desk(lambda t: 60.0, name="urgent", priority=0)
    kinds = [urgent, desk(burst(30, 200), name="other")]
    outcomes = play(kinds)
    assert share_served(outcomes, urgent) > 0.99
    assert {item.kind for item in outcomes if item.early} == {"other"}


# Guards against a refusal without the time of the return, without its log fields, or
# without the guarantee that the call did not run.
def test_an_early_refusal_names_its_estimate():
    async def scenario(system):
        async def slow(exchange):
            await asyncio.sleep(0.4)
            await exchange.respond()

        for upstream in system.desks:
            upstream.script = slow

        async def send(number):
            started = time.monotonic()
            headers = {"X-Request-Id": f"q{number}"}
            response = await system.request("/look/it", headers=headers)
            return response, time.monotonic() - started

        found = await asyncio.gather(*(send(number) for number in range(600)))
        refused = [response for response, _ in found if response.status == 503]
        lines = [
            fields
            for event, fields in system.log.lines
            if event == "refused" and fields.get("early")
        ]
        assert lines
        for line in lines:
            assert line["runs"] == 0
            # Both are rounded.
            assert line["shortest_wait_s"] >= line["remaining_s"]
            assert line["retry_after_s"] >= 0.25
        ids = {fields["request"] for fields in lines}
        ran = {exchange.id for exchange in system.attempts()}
        assert not ids & ran
        assert all("retry-after" in response.headers for response in refused)
        page = system.node.metrics.page().decode()
        assert "endivelug_forward_refused_early_total" in page

    run_scenario(scenario)
