import sys

import pytest

from endivelug.cached_keys import (
    MAX_AGE_S,
    BatchOutcome,
    CacheBatch,
    CachedKeys,
    pack_keys,
)


def batch(first, added=(), removed=(), *, incarnation=1, snapshot=False):
    return CacheBatch(
        incarnation=incarnation,
        first=first,
        added=pack_keys(added),
        removed=pack_keys(removed),
        snapshot=snapshot,
    )


START = [batch(0, [10, 20, 30]), batch(1, [40], [30])]


# Guards against relying on keys that are uncertain after a restart, a gap, a late batch
# or a long silence of the engine (I1, F1, F2).
@pytest.mark.parametrize(
    ("batches", "results", "depth", "at"),
    [
        ([], [], 2, 1.0),
        ([batch(1, [30])], [BatchOutcome.DUPLICATE], 2, 1.0),
        ([batch(3, [30])], [BatchOutcome.GAP], 0, 1.0),
        (
            [batch(3, [30]), batch(2, [30])],
            [BatchOutcome.GAP, BatchOutcome.APPLIED],
            4,
            1.0,
        ),
        (
            [batch(3), batch(5, [10], snapshot=True)],
            [BatchOutcome.GAP, BatchOutcome.APPLIED],
            1,
            1.0,
        ),
        ([batch(0, [30], snapshot=True)], [BatchOutcome.DUPLICATE], 2, 1.0),
        ([batch(0, [10], incarnation=2)], [BatchOutcome.APPLIED], 1, 1.0),
        ([batch(4, [10], incarnation=2)], [BatchOutcome.GAP], 0, 1.0),
        (
            [batch(0, incarnation=2), batch(2, [30])],
            [BatchOutcome.APPLIED, BatchOutcome.OLD_INCARNATION],
            0,
            1.0,
        ),
        ([batch(2)], [BatchOutcome.APPLIED], 2, MAX_AGE_S),
        ([], [], 0, MAX_AGE_S + 0.1),
    ],
)
def test_only_current_keys_count(batches, results, depth, at):
    cached_keys = CachedKeys()
    for item in START:
        assert cached_keys.apply(item, now=0.0) is BatchOutcome.APPLIED
    assert [cached_keys.apply(item, now=0.0) for item in batches] == results
    assert cached_keys.depth([10, 20, 30, 40], now=at) == depth


# Guards against ignoring a restart that a response header shows before any event
# arrives.
def test_a_restart_seen_elsewhere_discards_the_keys():
    cached_keys = CachedKeys()
    cached_keys.apply(START[0], now=0.0)
    assert cached_keys.observe_incarnation(2)
    assert not cached_keys.observe_incarnation(1)
    assert cached_keys.depth([10], now=0.0) == 0
    assert cached_keys.depth([10], now=0.0, announced_keys={10: 1}) == 1
    assert cached_keys.resume_after == -1


def test_malformed_keys_are_refused_before_anything_is_applied():
    cached_keys = CachedKeys()
    with pytest.raises(ValueError, match="8 bytes"):
        cached_keys.apply(CacheBatch(incarnation=1, first=0, added=b"abc"), now=0.0)
    assert cached_keys.incarnation == 0


# Guards against storage like a set of ints, which needs 76 bytes per key.
def test_memory_per_key():
    keys = [(i * 0x9E3779B97F4A7C15) % 2**64 for i in range(50_000)]
    cached_keys = CachedKeys()
    for start in range(0, len(keys), 200):
        cached_keys.apply(batch(start // 200, keys[start : start + 200]), now=0.0)
    used = sum(sys.getsizeof(part) for part in cached_keys._buckets)
    assert len(cached_keys) == 50_000
    assert used / len(keys) < 10
