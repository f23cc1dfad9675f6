import pytest

from endivelug.preferred_engines import (
    SHRINK_EVERY_S,
    Demand,
    RankCache,
    preference_distances,
    rank_engines,
)

ENGINES = [f"e{number}" for number in range(8)]


def record_demand(demand, *, rate, start, seconds, key=1):
    for step in range(int(rate * seconds)):
        demand.record([key], now=start + step / rate)
    return start + seconds


# Guards against a prefix in high demand that stays on one engine (F4).
@pytest.mark.parametrize(("rate", "expected"), [(0.5, 1), (12.0, 2), (30.0, 5)])
def test_preferred_count_follows_demand(rate, expected):
    demand = Demand()
    end = record_demand(demand, rate=rate, start=0.0, seconds=90)
    assert abs(demand.preferred_count(1, now=end) - expected) <= 1
    assert demand.preferred_count(2, now=end) == 1


# Guards against recomputing a prefix after its demand has paused for a few seconds.
def test_preferred_count_shrinks_slowly():
    demand = Demand()
    end = record_demand(demand, rate=24.0, start=0.0, seconds=90)
    highest = demand.preferred_count(1, now=end)
    assert demand.preferred_count(1, now=end + 0.9 * SHRINK_EVERY_S) == highest
    assert demand.preferred_count(1, now=end + 2.1 * SHRINK_EVERY_S) == highest - 2
    assert demand.preferred_count(1, now=end + 20 * SHRINK_EVERY_S) == 1


def test_demand_is_scaled_up_from_a_sample_of_the_traffic():
    sampled = Demand(scale=6.0)
    end = record_demand(sampled, rate=1.0, start=0.0, seconds=90)
    assert sampled.rate(1, now=end) == pytest.approx(6.0, rel=0.2)


def test_the_number_of_prefixes_is_bounded():
    demand = Demand(limit=100)
    for key in range(1000):
        demand.record([0, key + 1], now=key * 0.01)
    assert len(demand.rates) <= 100
    assert 0 in demand.rates


# Guards against a router that prefers other engines after its start: preferred engines
# must not depend on what a router has learned.
def test_preferred_engines_are_the_same_in_a_restarted_router():
    keys = [11, 22, 33]
    distances = preference_distances(keys, [4, 2, 1], ENGINES)
    assert distances == preference_distances(keys, [4, 2, 1], list(reversed(ENGINES)))
    assert sorted(distances.values()) == list(range(8))
    rank_cache = RankCache()
    for _ in range(2):
        assert (
            preference_distances(keys, [4, 2, 1], ENGINES, ranks=rank_cache)
            == distances
        )
    # A prompt with the same first two keys has the same engines from the third on.
    other = preference_distances([11, 22, 44], [4, 2, 1], ENGINES)
    assert list(other)[2:] == list(distances)[2:]
    # Losing the last engine leaves the order of the others unchanged.
    remaining = [name for name in ENGINES if name != list(distances)[-1]]
    assert (
        list(preference_distances(keys, [4, 2, 1], remaining)) == list(distances)[:-1]
    )


def test_the_cache_of_rankings_is_bounded_and_follows_the_engines():
    cache = RankCache(limit=10)
    for key in range(30):
        cache.rank(key, ENGINES)
    assert len(cache.ranks) == 10
    assert cache.rank(29, ENGINES[:3]) == rank_engines(29, ENGINES[:3])
