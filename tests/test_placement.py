import random
from collections import Counter

import pytest

from builders import make_candidates, make_view
from endivelug.outstanding_work import OutstandingWork
from endivelug.placement import (
    MAX_LOOKUP_ENGINES,
    MAX_LOOKUP_OWNERS,
    OBJECTIVES,
    Placement,
    PlacementRequest,
)
from endivelug.preferred_engines import Demand

KEYS = [11, 22, 33, 44]
HOME_KEYS = [1, 2, 3, 4]


def request(
    *, keys=KEYS, version="1", work_class="interactive", unversioned_keys=HOME_KEYS
):
    return PlacementRequest(
        keys=keys,
        tokens=[2000] * len(keys),
        work_class=work_class,
        weights_version=version,
        unversioned_keys=unversioned_keys,
    )


# Guards against reliance on a dead engine's cache or older weights (I1).
@pytest.mark.parametrize(
    ("view", "candidate", "relied"),
    [
        ({"depth": 3}, {}, True),
        ({"depth": 3, "known": False}, {}, False),
        ({"depth": 3, "incarnation": 1}, {"incarnation": 2}, False),
        ({"depth": 3, "incarnation": 2}, {"incarnation": 1}, False),
        ({"depth": 3}, {"serving": False}, False),
        ({"depth": 3}, {"weights_version": "0"}, False),
    ],
)
def test_only_current_evidence_attracts_a_request(view, candidate, relied):
    for objective in OBJECTIVES.values():
        placement = Placement(objective=objective)
        engines = make_candidates(5)
        home = placement.choose(request(), engines, now=0.0).engine
        held = next(item for item in engines if item.name != home)
        for name, value in candidate.items():
            setattr(held, name, value)
        fresh = Placement(objective=objective)
        views = [make_view(held.name, **view)]
        decision = fresh.choose(request(), engines, views=views, now=0.0)
        assert (decision.engine == held.name) is relied
        assert decision.depth == (3 if relied else 0)


# Guards against memory that outlives the engine process or the evictions.
@pytest.mark.parametrize(
    ("change", "later_s", "depth"),
    [({}, 1.0, 4), ({}, 7.0, 0), ({"incarnation": 2}, 1.0, 0)],
)
def test_memory_of_own_placements(change, later_s, depth):
    placement = Placement()
    engines = make_candidates(5)
    first = placement.choose(request(), engines, now=0.0)
    assert (first.depth, first.compute_tokens) == (0, 8000)
    for item in engines:
        for name, value in change.items():
            setattr(item, name, value)
    again = placement.choose(request(), engines, now=later_s)
    assert (again.engine, again.depth) == (first.engine, depth)
    placement.forget(first.engine)
    assert placement.choose(request(), engines, now=later_s).depth == 0


def test_no_engine_of_the_version_gives_no_decision():
    placement = Placement()
    assert placement.choose(request(version="2"), make_candidates(2), now=0.0) is None
    assert (
        placement.plan_lookups(request(version="2"), make_candidates(2), now=0.0) == {}
    )


# Guards against a cold start after a restart or a new weights version (I3).
def test_every_router_and_version_has_the_same_home():
    homes = set()
    for number in range(5):
        placement = Placement(started_at=100.0 * number)
        engines = make_candidates(8, version=str(number))
        wanted = request(keys=[key + 100 * number for key in KEYS], version=str(number))
        asked = placement.plan_lookups(wanted, engines, now=1000.0)
        homes.add(next(iter(asked.values()))[0])
        homes.add(placement.choose(wanted, engines, now=1000.0).engine)
    assert len(homes) == 1


def test_a_plan_asks_few_owners_and_more_after_a_start():
    engines = make_candidates(53)
    for now, limit in [(1.0, 4), (11.0, MAX_LOOKUP_OWNERS)]:
        asked = Placement().plan_lookups(request(), engines, now=now)
        assert len(asked) == limit
        assert sum(map(len, asked.values())) <= MAX_LOOKUP_ENGINES


# Guards against computing a prefix twice because its first request is not done.
def test_concurrent_misses_follow_the_first():
    engines = make_candidates(5)
    away = Placement().choose(request(), engines, now=0.0).engine
    first = next(item.name for item in engines if item.name != away)
    views = [
        make_view(first, depth=4, interactive_tokens=8000),
        make_view(away, depth=0),
    ]
    for router in range(6):
        placement = Placement(started_at=float(router))
        decision = placement.choose(request(), engines, views=views, now=20.0)
        assert decision.engine == first
        assert decision.announce_keys == []


# Guards against all routers sending their work to the engine that a lagging view
# shows idle.
def test_routers_do_not_herd_on_a_lagging_view():
    rng = random.Random(1)
    routers = [Placement(routers=6, demand=Demand(scale=6.0)) for _ in range(6)]
    candidates = [make_candidates(5) for _ in routers]
    views = [
        make_view(f"e{number}", interactive_tokens=0 if number == 0 else 6000)
        for number in range(5)
    ]
    chosen = Counter()
    for placement, engines in zip(routers, candidates, strict=True):
        # No keys: nothing but load decides.
        placement.choose(
            request(keys=[1], unversioned_keys=[]), engines, views=views, now=0.0
        )
    for number in range(60):
        router = rng.randrange(6)
        key = 1000 + number
        decision = routers[router].choose(
            request(keys=[key], unversioned_keys=[]), candidates[router], now=0.01
        )
        chosen[decision.engine] += 1
    assert max(chosen.values()) <= 24


def test_own_work_counts_without_any_view():
    engines = make_candidates(2)
    placement = Placement(routers=6)
    wanted = request(keys=[1], unversioned_keys=[])
    first = placement.choose(wanted, engines, now=0.0).engine
    busy = next(item for item in engines if item.name == first)
    busy.own_work = OutstandingWork()
    busy.own_work.add(
        request=b"1",
        work_class="interactive",
        tokens=9000,
        keys=[],
        ttl_s=10,
        now=0.0,
    )
    other = request(keys=[2], unversioned_keys=[])
    assert placement.choose(other, engines, now=0.0).engine != first


def test_kept_cache_is_imported_where_that_is_faster():
    engines = make_candidates(2)
    views = [make_view("e0", depth=3, interactive_tokens=90_000), make_view("e1")]
    slow = Placement().choose(request(), engines, views=views, now=0.0)
    for item in engines:
        item.import_tokens_s = 80_000.0
    fast = Placement().choose(request(), engines, views=views, now=0.0)
    assert (slow.engine, slow.import_keys, slow.compute_tokens) == ("e1", [], 8000)
    assert (fast.engine, fast.import_keys) == ("e1", KEYS[:-1])
    assert fast.compute_tokens == 2000
    assert fast.expected_ttft_s < slow.expected_ttft_s
