import pytest

from endivelug.preferred_engines import (
    SHRINK_EVERY_S,
    Demand,
    RankCache,
    preference_distances,
    rank_engines,
)

ENGINES = [f"e{number}" for number in range(8)]


def offered(demand, *, rate, start, seconds, key=1):
    for step in range(int(rate * seconds)):
        demand.record([key], now=start + step / rate)
    return start + seconds


# Guards against a hot prefix that stays on one engine (F4).
@pytest.mark.parametrize(("rate", "homes"), [(0.5, 1), (12.0, 2), (30.0, 5)])
def test_homes_follow_demand(rate, homes):
    demand = Demand()
    end = offered(demand, rate=rate, start=0.0, seconds=90)
    assert abs(demand.preferred_count(1, now=end) - homes) <= 1
    assert demand.preferred_count(2, now=end) == 1


# Guards against recomputing a prefix after a pause of a few seconds in its demand.
def test_homes_shrink_slowly():
    demand = Demand()
    end = offered(demand, rate=24.0, start=0.0, seconds=90)
    widest = demand.preferred_count(1, now=end)
    assert demand.preferred_count(1, now=end + 0.9 * SHRINK_EVERY_S) == widest
    assert demand.preferred_count(1, now=end + 2.1 * SHRINK_EVERY_S) == widest - 2
    assert demand.preferred_count(1, now=end + 20 * SHRINK_EVERY_S) == 1


def test_a_sample_of_the_traffic_gives_the_demand_of_all():
    sampled = Demand(scale=6.0)
    end = offered(sampled, rate=1.0, start=0.0, seconds=90)
    assert sampled.rate(1, now=end) == pytest.approx(6.0, rel=0.2)


def test_the_number_of_prefixes_is_bounded():
    demand = Demand(limit=100)
    for key in range(1000):
        demand.record([0, key + 1], now=key * 0.01)
    assert len(demand.rates) <= 100
    assert 0 in demand.rates


# Guards against a cold start: homes must not depend on what a router has learned.
def test_homes_are_the_same_in_a_router_that_has_just_started():
    keys = [11, 22, 33]
    homes = preference_distances(keys, [4, 2, 1], ENGINES)
    assert homes == preference_distances(keys, [4, 2, 1], list(reversed(ENGINES)))
    assert sorted(homes.values()) == list(range(8))
    warm = RankCache()
    for _ in range(2):
        assert preference_distances(keys, [4, 2, 1], ENGINES, ranks=warm) == homes
    # Another case of the same guide is diverted to the same engines in the end.
    other = preference_distances([11, 22, 44], [4, 2, 1], ENGINES)
    assert list(other)[2:] == list(homes)[2:]
    # Losing an engine moves no other home.
    left = [name for name in ENGINES if name != list(homes)[-1]]
    assert list(preference_distances(keys, [4, 2, 1], left)) == list(homes)[:-1]


def test_the_cache_of_rankings_is_bounded_and_follows_the_engines():
    cache = RankCache(limit=10)
    for key in range(30):
        cache.rank(key, ENGINES)
    assert len(cache.ranks) == 10
    assert cache.rank(29, ENGINES[:3]) == rank_engines(29, ENGINES[:3])
