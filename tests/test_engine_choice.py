from endivelug.forwarding.engine_choice import (
    LONG_PROMPT_MAX_BACKLOG_S,
    PrefillRate,
    choose_engine,
)
from endivelug.forwarding.wait_reasons import WaitReason
from forwarding_builders import make_engine_state, make_prompt

RATE = PrefillRate(tokens_per_s=36_700.0)


def choose(engines, **prompt):
    return choose_engine(engines, make_prompt(**prompt), rate=RATE)


# Guards against prefilling a shared prefix again although an engine that has it cached
# has a short backlog (load: long prompts that share a few prefixes).
def test_a_short_backlog_at_a_caching_engine_is_better_than_another_prefill():
    idle = make_engine_state("idle")
    caching = make_engine_state("caching", cached_tokens=13_300, requests=5)
    assert choose([caching, idle]).engine == "caching"
    caching = make_engine_state(
        "caching", cached_tokens=13_300, backlog_tokens=4_000, requests=5
    )
    assert choose([caching, idle]).reasons == {WaitReason.BACKLOG: 1}


# Guards against a prompt that waits forever for the engine that has its prefix cached,
# because requests of other VMs always get there first.
def test_a_prompt_that_has_waited_takes_another_engine():
    idle = make_engine_state("idle")
    for backlog, engine in ((4_000, "caching"), (16_000, "idle")):
        caching = make_engine_state(
            "caching", cached_tokens=13_300, backlog_tokens=backlog, requests=5
        )
        assert choose([caching, idle]).reasons == {WaitReason.BACKLOG: 1}
        assert choose([caching, idle], waited_s=1.0).engine == engine


# Guards against long prompts that starve where short ones never leave an engine without
# backlog, and against a second prefill of their prefix behind others.
def test_a_long_prompt_that_has_waited_accepts_backlog_where_it_is_cached():
    caching = make_engine_state(
        "caching", cached_tokens=13_300, backlog_tokens=8_000, requests=9
    )
    other = make_engine_state("other", backlog_tokens=8_000, requests=9)
    for waited_s in (0.0, 0.2):
        assert choose([caching], waited_s=waited_s).main_reason is WaitReason.BACKLOG
    assert choose([caching, other], waited_s=0.25).engine == "caching"
    assert choose([other], waited_s=5.0).main_reason is WaitReason.BACKLOG
    refused = choose([caching], waited_s=5.0, accepts_backlog=False)
    assert refused.main_reason is WaitReason.BACKLOG


# Guards against prefilling tokens that can be copied from another engine.
def test_an_idle_engine_copies_tokens_cached_by_another_one():
    busy = make_engine_state("busy", cached_tokens=13_300, backlog_tokens=7_000)
    idle = make_engine_state("idle", fetch_tokens=13_300, fetch_s=0.02)
    choice = choose([busy, idle])
    assert choice.engine == "idle"
    assert choice.uncached_tokens == 17_000 - 13_300


# Guards against two engines that prefill the same prefix at the same time, in the first
# seconds after new weights were loaded and no engine has any prefix cached.
def test_no_engine_prefills_a_prefix_that_another_one_is_prefilling():
    prefilling = make_engine_state(
        "prefilling", cached_tokens=13_300, backlog_tokens=17_000
    )
    other = make_engine_state("other", prefilling_elsewhere=True)
    assert choose([other, prefilling]).reasons == {
        WaitReason.PREFILLING: 1,
        WaitReason.BACKLOG: 1,
    }
    prefilling = make_engine_state(
        "prefilling", cached_tokens=13_300, backlog_tokens=500
    )
    assert choose([other, prefilling]).engine == "prefilling"


# Guards against short prompts that wait behind several long ones inside the engines, as
# happened after the loss of an engine during a rollout.
def test_a_backlog_holds_back_long_prompts_but_not_short_ones():
    backlog = int(2 * LONG_PROMPT_MAX_BACKLOG_S * RATE.tokens_per_s)
    engines = [make_engine_state(name, backlog_tokens=backlog) for name in "ab"]
    assert choose(engines).main_reason is WaitReason.BACKLOG
    short = choose(engines, prompt_tokens=383, output_tokens=11, target_s=1.5)
    assert short.engine in "ab"


# Guards against preemption in an engine, which happens if the requests reserve more
# tokens than its memory can hold.
def test_an_engine_without_free_memory_or_slots_is_not_chosen():
    full = make_engine_state("full", requests=8, memory_tokens=130_000)
    assert choose([full]).main_reason is WaitReason.NO_MEMORY
    crowded = make_engine_state("crowded", requests=64)
    assert choose([crowded]).main_reason is WaitReason.NO_SLOT


# Guards against a prompt that is never sent to any engine because it is large.
def test_an_idle_engine_accepts_a_prompt_of_any_size():
    idle = make_engine_state("idle")
    assert choose([idle], prompt_tokens=140_000).engine == "idle"


# Guards against using old weights while an engine with the new ones has capacity.
def test_new_weights_are_preferred():
    old = make_engine_state("old", current=False)
    new = make_engine_state("new", requests=3, backlog_tokens=5_000)
    assert choose([old, new], prompt_tokens=383).engine == "new"


# Guards against sending as many requests to a slow engine as to the others.
def test_a_slow_engine_gets_fewer_requests():
    slow = make_engine_state("slow", slowdown=5.0)
    busy = make_engine_state("busy", backlog_tokens=6_000)
    assert choose([slow, busy], prompt_tokens=1_000).engine == "busy"


# Guards against routers that send the same uncached prefix to different engines.
def test_all_routers_choose_the_preferred_engine_for_an_uncached_prefix():
    engines = [make_engine_state(name, preferred=name == "b") for name in "abc"]
    assert choose(engines).engine == "b"


# Guards against one outlier that distorts the estimated prefill rate.
def test_the_prefill_rate_follows_samples_slowly():
    rate = PrefillRate(tokens_per_s=40_000.0)
    rate.observe(tokens=17_000, seconds=100.0)
    assert rate.tokens_per_s > 30_000
    for _ in range(100):
        rate.observe(tokens=17_000, seconds=0.04 + 17_000 / 110_000)
    assert 90_000 < rate.tokens_per_s < 120_000


# Guards against several engines that prefill the same prefix in the first seconds after
# new weights were loaded: the VMs learn of each other's prefills only later.
def test_a_shared_prefix_that_is_cached_nowhere_waits_for_its_preferred_engine():
    backlog = int(0.2 * RATE.tokens_per_s)
    preferred = make_engine_state("b", preferred=True, backlog_tokens=backlog)
    engines = [make_engine_state("a"), preferred]
    assert choose(engines).engine == "a"
    assert choose(engines, shared_tokens=13_300).reasons == {WaitReason.BACKLOG: 1}
    busy = make_engine_state("b", preferred=True, backlog_tokens=4 * backlog)
    assert choose([engines[0], busy], shared_tokens=13_300).engine == "a"
