import pytest

from endivelug.forwarding.instance_load import InstanceLoads, Work
from endivelug.forwarding.silence_detection import ENGINE_SILENCE_S, is_silent

RATE = 36_700.0


def make_load(*, sent_at, uncached=0, answered_at=0.0):
    loads = InstanceLoads()
    loads.add_work("e1", Work(request="q", sent_at=sent_at, uncached_tokens=uncached))
    load = loads.of("e1")
    load.last_byte_at = answered_at
    return load


def check_silent(load, now, engine=True):
    return is_silent(load, now=now, engine=engine, tokens_per_s=RATE)


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
    assert not check_silent(InstanceLoads().of("e1"), 1000.0, engine)


# Guards against avoiding an engine that still answers other requests.
def test_a_recent_answer_means_not_silent():
    assert not check_silent(make_load(sent_at=10.0, answered_at=12.0), 12.3)
