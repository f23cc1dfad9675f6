import pytest

from endivelug.forwarding.instance_load import (
    COUNT_INTERVAL_S,
    InstanceLoads,
    Work,
)
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.silence_detection import ENGINE_SILENCE_S, is_silent

RATE = 36_700.0


def make_load(*, sent_at, uncached=0, answered_at=0.0):
    loads = InstanceLoads()
    loads.add_work("e1", Work(request="q", sent_at=sent_at, uncached_tokens=uncached))
    loads.of("e1").last_byte_at = answered_at
    return loads


def check_silent(loads, now, engine=True):
    return is_silent(
        loads.of("e1"),
        total=loads.total("e1"),
        now=now,
        engine=engine,
        tokens_per_s=RATE,
    )


# Guards against sending short streams to a silent engine, where they wait until their
# deadline: 180 were lost in a day on which one of five engines was silent.
def test_an_engine_that_sends_nothing_for_its_requests_is_silent_within_a_second():
    load = make_load(sent_at=10.0)
    assert not check_silent(load, 10.5)
    assert check_silent(load, 10.0 + ENGINE_SILENCE_S + 0.01)
    assert check_silent(load, 11.0)


# Guards against avoiding an engine because it prefills one long prompt.
def test_an_engine_may_send_nothing_during_a_long_prefill():
    load = make_load(sent_at=10.0, uncached=53_000)
    assert not check_silent(load, 10.0 + 53_000 / RATE)


# Guards against treating an idle instance as silent.
@pytest.mark.parametrize("engine", [True, False])
def test_an_instance_without_requests_is_not_silent(engine):
    assert not check_silent(InstanceLoads(), 1000.0, engine)


# Guards against avoiding an engine that still answers other requests.
def test_a_recent_answer_means_not_silent():
    assert not check_silent(make_load(sent_at=10.0, answered_at=12.0), 12.3)


# Guards against avoiding busy engines in a large deployment: a VM with a single request
# in an engine's queue receives nothing while the engine serves the requests of others,
# and each false notice kept all VMs away from the engine for a second.
def test_bytes_that_other_vms_receive_mean_not_silent():
    loads = make_load(sent_at=10.0)
    for step in range(20):
        loads.apply_changes("vm2", {"e1": Load(heard=step)}, now=10.0 + step / 5)
    assert not check_silent(loads, 14.0)
    assert check_silent(loads, 14.0 + ENGINE_SILENCE_S)


# Guards against avoiding an engine that prefills the long prompts of other VMs.
def test_the_prefills_of_other_vms_count():
    loads = make_load(sent_at=10.0)
    others = Load(requests=3, uncached_tokens=53_000)
    loads.apply_changes("vm2", {"e1": others}, now=10.0)
    assert not check_silent(loads, 10.0 + 53_000 / RATE)


# Guards against a report for each byte of a stream.
def test_received_bytes_are_counted_at_intervals():
    loads = InstanceLoads()
    for step in range(100):
        loads.record_byte("e1", now=step / 100)
    assert loads.own("e1").heard <= 1 / COUNT_INTERVAL_S
