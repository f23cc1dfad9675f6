import pytest

from endivelug.forwarding.instance_load import InstanceLoads, Work
from endivelug.forwarding.silence_detection import ENGINE_SILENCE_S, is_silent

RATE = 36_700.0


def load_with(*, sent_at, missing=0, answered_at=0.0):
    loads = InstanceLoads()
    loads.begin("e1", Work(request="q", sent_at=sent_at, uncached_tokens=missing))
    load = loads.of("e1")
    load.last_answer_at = answered_at
    return load


def silent(load, now, engine=True):
    return is_silent(load, now=now, engine=engine, tokens_per_s=RATE)


# Guards against short streams that are sent to a silent engine until their deadline:
# 180 of them were lost on a day with one silent engine of five.
def test_an_engine_with_work_and_no_sign_is_silent_within_a_second():
    load = load_with(sent_at=10.0)
    assert not silent(load, 10.5)
    assert silent(load, 10.0 + ENGINE_SILENCE_S + 0.01)
    assert silent(load, 11.0)


# Guards against an engine left because it reads one long prompt.
def test_an_engine_may_be_quiet_while_it_reads():
    load = load_with(sent_at=10.0, missing=53_000)
    assert not silent(load, 10.0 + 53_000 / RATE)


# Guards against an idle engine that counts as silent.
@pytest.mark.parametrize("engine", [True, False])
def test_an_instance_without_work_is_not_silent(engine):
    assert not silent(InstanceLoads().of("e1"), 1000.0, engine)


# Guards against engines left although they answer other requests.
def test_any_answer_is_a_sign():
    assert not silent(load_with(sent_at=10.0, answered_at=12.0), 12.3)
