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
UNVERSIONED_KEYS = [1, 2, 3, 4]


def request(
    *,
    keys=KEYS,
    version="1",
    work_class="interactive",
    unversioned_keys=UNVERSIONED_KEYS,
):
    return PlacementRequest(
        keys=keys,
        tokens=[2000] * len(keys),
        work_class=work_class,
        weights_version=version,
        unversioned_keys=unversioned_keys,
    )


# Guards against relying on cached keys of an engine that is dead, has restarted or has
# other weights (I1).
@pytest.mark.parametrize(
    ("view", "candidate", "is_chosen"),
    [
        ({"depth": 3}, {}, True),
        ({"depth": 3, "known": False}, {}, False),
        ({"depth": 3, "incarnation": 1}, {"incarnation": 2}, False),
        ({"depth": 3, "incarnation": 2}, {"incarnation": 1}, False),
        ({"depth": 3}, {"serving": False}, False),
        ({"depth": 3}, {"weights_version": "0"}, False),
    ],
)
def test_only_current_cached_keys_attract_a_request(view, candidate, is_chosen):
    for objective in OBJECTIVES.values():
        placement = Placement(objective=objective)
        engines = make_candidates(5)
        preferred = placement.choose(request(), engines, now=0.0).engine
        caching = next(item for item in engines if item.name != preferred)
        for name, value in candidate.items():
            setattr(caching, name, value)
        fresh = Placement(objective=objective)
        views = [make_view(caching.name, **view)]
        decision = fresh.choose(request(), engines, views=views, now=0.0)
        assert (decision.engine == caching.name) is is_chosen
        assert decision.depth == (3 if is_chosen else 0)


# Guards against estimates of cached keys that are kept after the engine has restarted
# or may have evicted the keys.
@pytest.mark.parametrize(
    ("change", "later_s", "depth"),
    [({}, 1.0, 4), ({}, 7.0, 0), ({"incarnation": 2}, 1.0, 0)],
)
def test_estimates_from_own_placements(change, later_s, depth):
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


# Guards against preferred engines that change with a restart or a new weights version,
# so that all prefixes are uncached (I3).
def test_every_router_and_version_has_the_same_preferred_engine():
    preferred = set()
    for number in range(5):
        placement = Placement(started_at=100.0 * number)
        engines = make_candidates(8, version=str(number))
        versioned = request(
            keys=[key + 100 * number for key in KEYS], version=str(number)
        )
        lookups = placement.plan_lookups(versioned, engines, now=1000.0)
        preferred.add(next(iter(lookups.values()))[0])
        preferred.add(placement.choose(versioned, engines, now=1000.0).engine)
    assert len(preferred) == 1


def test_lookups_go_to_few_owners_and_to_more_after_a_start():
    engines = make_candidates(53)
    for now, limit in [(1.0, 4), (11.0, MAX_LOOKUP_OWNERS)]:
        lookups = Placement().plan_lookups(request(), engines, now=now)
        assert len(lookups) == limit
        assert sum(map(len, lookups.values())) <= MAX_LOOKUP_ENGINES


# Guards against computing a prefix twice because the first request for it is still in
# progress.
def test_concurrent_misses_go_to_the_engine_that_computes_the_prefix():
    engines = make_candidates(5)
    preferred = Placement().choose(request(), engines, now=0.0).engine
    computing = next(item.name for item in engines if item.name != preferred)
    views = [
        make_view(computing, depth=4, interactive_tokens=8000),
        make_view(preferred, depth=0),
    ]
    for router in range(6):
        placement = Placement(started_at=float(router))
        decision = placement.choose(request(), engines, views=views, now=20.0)
        assert decision.engine == computing
        assert decision.announce_keys == []


# Guards against all routers sending their requests to the engine that an outdated view
# shows as idle.
def test_routers_spread_requests_despite_an_outdated_view():
    rng = random.Random(1)
    routers = [Placement(routers=6, demand=Demand(scale=6.0)) for _ in range(6)]
    candidates = [make_candidates(5) for _ in routers]
    views = [
        make_view(f"e{number}", interactive_tokens=0 if number == 0 else 6000)
        for number in range(5)
    ]
    chosen = Counter()
    for placement, engines in zip(routers, candidates, strict=True):
        # Without unversioned keys no engine is preferred, so only the load decides.
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


def test_own_work_counts_as_load_without_any_view():
    engines = make_candidates(2)
    placement = Placement(routers=6)
    one = request(keys=[1], unversioned_keys=[])
    first = placement.choose(one, engines, now=0.0).engine
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


def test_cache_of_a_busy_engine_is_imported_if_that_is_faster():
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
