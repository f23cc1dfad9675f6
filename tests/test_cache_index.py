from endivelug.cache_index import MAX_OUTSTANDING, CacheIndex
from endivelug.cached_keys import BatchOutcome, CacheBatch, pack_keys
from endivelug.messages import Announce, Finish, Lookup


def lookup(index, *engines, keys=(1, 2, 3), now=1.0):
    message = Lookup(
        request=b"lookup..",
        engines=list(engines),
        keys=list(keys),
        work_class="interactive",
    )
    return index.lookup(message, now=now).views


def announce(index, engine="e1", *, request=b"r1", tokens=10, now=1.0):
    message = Announce(
        request=request,
        engine=engine,
        work_class="batch",
        tokens=tokens,
        keys=[3],
        ttl_s=30.0,
    )
    index.announce(message, now=now)


def snapshot(*keys, incarnation=1, first=0):
    return CacheBatch(
        incarnation=incarnation, first=first, added=pack_keys(keys), snapshot=True
    )


def make_index(*keys):
    index = CacheIndex()
    index.set_owned(["e1"])
    index.apply("e1", snapshot(*keys), now=1.0)
    return index


def test_depth_counts_cached_and_announced_keys():
    index = make_index(1, 2)
    assert lookup(index, "e1")[0].depth == 2
    announce(index)
    view = lookup(index, "e1")[0]
    assert (view.depth, view.batch_tokens, view.streams) == (3, 10, 1)
    index.finish(Finish(request=b"r1", engine="e1", over=True), now=1.0)
    assert lookup(index, "e1")[0].depth == 2


# Guards against a former owner that answers look-ups from outdated keys after ownership
# of the engine has moved.
def test_an_engine_is_unknown_after_a_move_and_empty_when_it_returns():
    index = make_index(1, 2)
    announce(index)
    assert index.set_owned([]) == (set(), {"e1"})
    assert lookup(index, "e1")[0].known is False
    assert index.apply("e1", snapshot(1), now=1.0) is None
    assert index.resume_point("e1") is None
    index.set_owned(["e1"])
    assert index.resume_point("e1") == (0, -1)
    view = lookup(index, "e1")[0]
    assert (view.known, view.depth, view.streams) == (False, 0, 0)


# Guards against a gap in the events while ownership moves: events that precede the
# snapshot of the new owner must not make its keys count as known.
def test_a_gap_during_a_move_is_not_relied_on():
    index = make_index()
    index.set_owned(["e2"])
    batch = CacheBatch(incarnation=1, first=7, added=pack_keys([1]))
    assert index.apply("e2", batch, now=1.0) is BatchOutcome.GAP
    assert lookup(index, "e2")[0].known is False
    index.apply("e2", snapshot(1, first=8), now=1.0)
    assert lookup(index, "e2")[0].depth == 1


# Guards against an engine that restarts while its ownership moves, and a late batch of
# the previous incarnation that reaches the new owner.
def test_a_restart_between_two_owners():
    index = make_index()
    index.set_owned([])
    index.set_owned(["e1"])
    index.apply("e1", snapshot(1, 2, incarnation=2), now=1.0)
    late = CacheBatch(incarnation=1, first=1, added=pack_keys([3]))
    assert index.apply("e1", late, now=1.0) is BatchOutcome.OLD_INCARNATION
    view = lookup(index, "e1")[0]
    assert (view.incarnation, view.depth) == (2, 2)


# Guards against placement by the cache and load that an engine had before its restart.
def test_a_restart_discards_keys_and_work():
    index = make_index(1, 2)
    announce(index)
    index.observe_incarnation("e1", 2)
    view = lookup(index, "e1")[0]
    assert (view.known, view.depth, view.batch_tokens) == (False, 0, 0)


# Guards against look-ups that rely on a dead engine, also with a gap in its events.
def test_a_dead_engine_is_unknown():
    index = make_index(1)
    index.unreachable = {"e1"}
    assert lookup(index, "e1")[0].known is False
    index.apply("e1", CacheBatch(incarnation=1, first=5), now=1.0)
    index.unreachable = set()
    assert lookup(index, "e1")[0].known is False


# Guards against losing work that routers announce to the new owner before it has
# applied the change of ownership, and against memory use without a bound.
def test_work_announced_before_the_move_counts_and_is_bounded():
    index = CacheIndex()
    announce(index, "e9")
    index.set_owned(["e9"])
    index.apply("e9", snapshot(), now=1.0)
    assert lookup(index, "e9")[0].batch_tokens == 10
    for number in range(MAX_OUTSTANDING + 10):
        announce(index, f"x{number}")
    assert len(index.outstanding) == MAX_OUTSTANDING
    assert index.announcements_dropped == 11
    index.expire(now=100.0)
    assert index.outstanding == {}
