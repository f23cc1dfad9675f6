from endivelug.outstanding_work import ANNOUNCED_AFTER_PREFILL_S, OutstandingWork


def make_work(*requests, ttl_s=5.0):
    work = OutstandingWork()
    for number, (work_class, tokens, keys) in enumerate(requests):
        work.add(
            request=bytes([number]),
            work_class=work_class,
            tokens=tokens,
            keys=keys,
            ttl_s=ttl_s,
            now=0.0,
        )
    return work


def test_work_is_counted_per_class_until_it_ends():
    work = make_work(("interactive", 100, [1, 2]), ("batch", 900, [2]))
    assert (work.tokens, work.request_count) == ({"interactive": 100, "batch": 900}, 2)
    work.finish(request=b"\0", over=False, now=1.0)
    assert (work.tokens["interactive"], work.request_count) == (0, 2)
    assert set(work.announced_keys) == {1, 2}
    work.finish(request=b"\0", over=True, now=1.5)
    assert (work.tokens["batch"], work.request_count) == (900, 1)
    assert set(work.announced_keys) == {1, 2}
    work.expire(1.0 + ANNOUNCED_AFTER_PREFILL_S)
    assert set(work.announced_keys) == {2}


# Guards against waiting for cache keys that a failed request never computes.
def test_a_failed_request_announces_no_keys():
    work = make_work(("batch", 900, [1, 2]))
    work.finish(request=b"\0", over=True, now=1.0)
    work.finish(request=b"\0", over=True, now=1.0)
    assert (work.tokens["batch"], work.request_count, work.announced_keys) == (0, 0, {})


# Guards against work of a dead router that is counted for an engine for ever.
def test_work_of_a_silent_router_expires():
    work = make_work(("interactive", 100, [1]))
    work.add(request=b"\0", work_class="batch", tokens=7, keys=[2], ttl_s=9, now=4.0)
    work.expire(5.0)
    assert (work.tokens, work.announced_keys) == (
        {"interactive": 0, "batch": 7},
        {2: 1},
    )
    work.expire(13.0)
    assert (work.tokens["batch"], work.request_count, work.announced_keys) == (0, 0, {})


def test_a_restart_of_the_engine_removes_all_work():
    work = make_work(("interactive", 100, [1]))
    work.finish(request=b"\0", over=False, now=1.0)
    work.clear()
    assert (work.tokens["interactive"], work.request_count, work.announced_keys) == (
        0,
        0,
        {},
    )
