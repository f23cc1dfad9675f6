from endivelug.forwarding.engine_choice import (
    LONG_PROMPT_MAX_BACKLOG_S,
    PrefillRate,
    choose_engine,
)
from forwarding_builders import make_engine_state, make_prompt

RATE = PrefillRate(tokens_per_s=36_700.0)


def choose(engines, **prompt):
    return choose_engine(engines, make_prompt(**prompt), rate=RATE)


# Guards against reading a guide again although an engine that holds it has a short
# queue: the load of reviews that share few guides.
def test_a_short_queue_at_the_holder_is_better_than_reading_again():
    holder = make_engine_state(
        "holder", cached_tokens=13_300, backlog_tokens=4_000, requests=5
    )
    idle = make_engine_state("idle")
    assert choose([holder, idle]).engine == "holder"


# Guards against reading again what can be copied.
def test_an_idle_engine_copies_what_another_one_holds():
    busy = make_engine_state("busy", cached_tokens=13_300, backlog_tokens=7_000)
    idle = make_engine_state("idle", fetch_tokens=13_300, fetch_s=0.02)
    choice = choose([busy, idle])
    assert choice.engine == "idle"
    assert choice.uncached_tokens == 17_000 - 13_300


# Guards against two engines that read the same guide at the same time: the first
# seconds after new weights, when no engine holds any guide.
def test_nobody_reads_what_another_engine_is_reading():
    reader = make_engine_state("reader", cached_tokens=13_300, backlog_tokens=17_000)
    other = make_engine_state("other", prefilling_elsewhere=True)
    assert choose([other, reader]) is None
    reader = make_engine_state("reader", cached_tokens=13_300, backlog_tokens=3_000)
    assert choose([other, reader]).engine == "reader"


# Guards against short prompts behind several long ones inside the engines, the load
# that followed the loss of an engine during a rollout.
def test_a_long_prompt_waits_behind_a_backlog_that_a_short_one_joins():
    backlog = int(2 * LONG_PROMPT_MAX_BACKLOG_S * RATE.tokens_per_s)
    engines = [make_engine_state(name, backlog_tokens=backlog) for name in "ab"]
    assert choose(engines) is None
    short = choose(engines, prompt_tokens=383, output_tokens=11, target_s=1.5)
    assert short is not None


# Guards against preemption: more tokens promised than an engine can hold.
def test_an_engine_without_memory_or_slots_is_not_offered_more():
    full = make_engine_state("full", requests=8, memory_tokens=130_000)
    assert choose([full]) is None
    crowded = make_engine_state("crowded", requests=64)
    assert choose([crowded]) is None


# Guards against a prompt that no engine ever gets because it is large.
def test_an_idle_engine_takes_a_prompt_of_any_size():
    idle = make_engine_state("idle")
    assert choose([idle], prompt_tokens=140_000).engine == "idle"


# Guards against requests on old weights while an engine with new ones has room.
def test_new_weights_are_preferred():
    old = make_engine_state("old", current=False)
    new = make_engine_state("new", requests=3, backlog_tokens=5_000)
    assert choose([old, new], prompt_tokens=383).engine == "new"


# Guards against slow engines that get as much as the others.
def test_a_slow_engine_gets_less():
    slow = make_engine_state("slow", slowdown=5.0)
    busy = make_engine_state("busy", backlog_tokens=6_000)
    assert choose([slow, busy], prompt_tokens=1_000).engine == "busy"


# Guards against routers that send the same unknown guide to different engines.
def test_routers_without_knowledge_agree_on_the_home_engine():
    engines = [make_engine_state(name, preferred=name == "b") for name in "abc"]
    assert choose(engines).engine == "b"


# Guards against a reading rate that one sample turns upside down.
def test_the_reading_rate_follows_samples_slowly():
    rate = PrefillRate(tokens_per_s=40_000.0)
    rate.observe(tokens=17_000, seconds=100.0)
    assert rate.tokens_per_s > 30_000
    for _ in range(100):
        rate.observe(tokens=17_000, seconds=0.04 + 17_000 / 110_000)
    assert 90_000 < rate.tokens_per_s < 120_000
