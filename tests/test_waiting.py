import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.neighbour_sums import Load
from endivelug.forwarding.placement import Placement, Placer
from endivelug.forwarding.request_queue import QueuedRequest, RequestQueue
from forwarding_builders import (
    ManualClock,
    make_call,
    make_request,
    make_view,
    registration_document,
    stored_row,
)


def make_queue(*items):
    queue = RequestQueue()
    for request, priority, target_at, extra in items:
        queue.add(
            QueuedRequest(
                request=request,
                service=extra.get("service", "s"),
                priority=priority,
                returning=extra.get("returning", False),
                target_at=target_at,
                expires_at=100.0,
                expected_s=extra.get("expected_s", 0.0),
            )
        )
    return queue


def send_order(queue, now=10.0):
    return [item.request for item in queue.in_send_order("s", now=now)]


# Guards against urgent requests that wait behind less urgent ones at peak load.
def test_requests_are_sent_by_priority_then_by_target():
    queue = make_queue(("a", 1, 11.0, {}), ("b", 0, 14.0, {}), ("c", 1, 10.5, {}))
    assert send_order(queue) == ["b", "c", "a"]


# Guards against serving requests that are late anyway while others become late, as in
# the backlog of a rollout.
def test_requests_that_can_still_be_on_time_are_sent_before_late_ones():
    queue = make_queue(
        ("late", 1, 9.0, {}),
        ("hopeless", 1, 10.2, {"expected_s": 0.5}),
        ("on time", 1, 12.0, {}),
    )
    assert send_order(queue) == ["on time", "late", "hopeless"]


# Guards against a request that waits twice, because it was refused meanwhile: what is
# left of its first time in the queue must not move or remove another request.
def test_a_request_that_waits_again_leaves_the_others_in_the_queue():
    queue = make_queue(("a", 1, 11.5, {}), ("twice", 1, 11.0, {"expected_s": 0.5}))
    queue.remove("twice")
    for request, target_at in (("twice", 12.0), ("b", 12.5)):
        queue.add(
            QueuedRequest(
                request=request,
                service="s",
                priority=1,
                returning=False,
                target_at=target_at,
                expires_at=100.0,
            )
        )
    assert send_order(queue, now=10.8) == ["a", "twice", "b"]
    for request in ("twice", "a", "b"):
        queue.remove(request)
    assert send_order(queue, now=10.8) == []


# Guards against queueing callers last again that came back after the Retry-After time.
def test_returning_callers_are_sent_before_new_ones():
    queue = make_queue(("new", 1, 11.0, {}), ("back", 1, 12.0, {"returning": True}))
    assert send_order(queue) == ["back", "new"]


# Guards against requests of one service that delay those of another.
def test_each_service_has_its_own_queue():
    queue = make_queue(("a", 0, 11.0, {"service": "other"}), ("b", 1, 11.0, {}))
    assert send_order(queue) == ["b"]
    queue.remove("b")
    assert send_order(queue) == []


# Guards against an order, a position or a count that differ from those of a queue that
# is sorted anew each time.
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.booleans(),
            st.integers(0, 20),
            st.integers(0, 5),
            st.booleans(),
        ),
        max_size=30,
    ),
    st.lists(st.integers(0, 25), min_size=1, max_size=4),
)
@settings(derandomize=True)
def test_the_order_is_that_of_a_sorted_list(items, times):
    queue, known = RequestQueue(), {}
    for number, (priority, returning, target, expected, removed) in enumerate(items):
        item = QueuedRequest(
            request=str(number),
            service="s",
            priority=priority,
            returning=returning,
            target_at=float(target),
            expires_at=100.0,
            expected_s=float(expected),
            tokens=1,
        )
        queue.add(item)
        if removed:
            queue.remove(item.request)
        else:
            known[item.request] = item
    for now in sorted(times):
        order = sorted(
            known.values(),
            key=lambda item: (
                item.priority,
                item.late_at <= now,
                not item.returning,
                item.target_at,
                item.number,
            ),
        )
        assert list(queue.in_send_order("s", now=now)) == order
        assert queue.count("s") == len(order)
        for position, item in enumerate(order):
            ahead = queue.ahead_of(item.request, now=now)
            assert ahead.requests == position
            assert ahead.tokens in (position, position - 1)


def make_placer(requests):
    """Return a placer whose engines have so many requests of other VMs each."""
    clock = ManualClock()
    view = make_view(clock)
    rows = [
        stored_row(
            "servers",
            f"e{number}",
            registration_document(address=f"127.0.0.1:{number}"),
            3,
        )
        for number in range(1, len(requests) + 1)
    ]
    view.apply(rows, source="store")
    placer = Placer(
        view=view,
        data_centre="dc1",
        weights_limit_s=10.0,
        clock=clock,
        rng=random.Random(1),
    )
    for number, count in enumerate(requests, start=1):
        view.loads.neighbours.set("vm2", f"e{number}", Load(requests=count))
    return placer


# Guards against rounds that pass over a waiting call although an engine has room.
@settings(derandomize=True)
@given(
    requests=st.lists(st.sampled_from([0, 1, 63, 64, 70]), min_size=1, max_size=4),
    prompt_tokens=st.sampled_from([100, 17_000, 200_000]),
    excluded=st.sets(st.sampled_from(["e1", "e2"])),
    silent=st.sets(st.sampled_from(["e1", "e2"])),
    model=st.sampled_from(["m", None]),
)
def test_a_call_that_can_be_placed_may_fit(
    requests, prompt_tokens, excluded, silent, model
):
    placer = make_placer(requests)
    for name in silent:
        placer.view.loads.of(name).silent = True
    request = make_request(prompt_tokens=prompt_tokens, model=model)
    call = make_call(request=request, excluded_instances=excluded)
    if isinstance(placer.place(call), Placement):
        assert placer.may_fit(call)


# Guards against weighing full engines for each waiting call after each report, which
# took most of the processor at peak load, and against calls that wait on once one has
# room.
def test_waiting_calls_are_weighed_only_while_an_engine_has_room(monkeypatch):
    placer = make_placer([64, 64])
    loads = placer.view.loads
    placed = []

    async def scenario():
        dispatcher = Dispatcher(placer=placer, clock=placer.clock)
        waiting = asyncio.create_task(
            dispatcher.place(make_call(), expires_at=110.0, returning=False)
        )
        while not dispatcher.waiters:
            await asyncio.sleep(0)
        place = placer.place
        monkeypatch.setattr(
            placer, "place", lambda call: placed.append(call) or place(call)
        )
        dispatcher._assign()
        assert not placed
        loads.neighbours.set("vm2", "e2", Load(requests=63))
        dispatcher._assign()
        placement = await waiting
        assert (len(placed), placement.instance.name) == (1, "e2")

    asyncio.run(scenario())


# Guards against a large call that fits nowhere and keeps a small one behind it waiting.
def test_a_small_call_is_placed_behind_a_large_one_that_fits_nowhere():
    placer = make_placer([1])
    load = Load(requests=1, memory_tokens=120_000)
    placer.view.loads.neighbours.set("vm2", "e1", load)

    async def scenario():
        dispatcher = Dispatcher(placer=placer, clock=placer.clock)
        large = make_call(request=make_request(prompt_tokens=20_000))
        small = make_call(request=make_request(prompt_tokens=400), target_at=102.0)
        tasks = [
            asyncio.create_task(
                dispatcher.place(call, expires_at=110.0, returning=False)
            )
            for call in (large, small)
        ]
        placement = await tasks[1]
        assert placement.instance.name == "e1"
        assert list(dispatcher.waiters) == [large.key]
        tasks[0].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())


# Guards against a review that passes over calls, or refuses one twice, because calls
# become late while it goes through the queue.
def test_a_review_uses_one_time_for_all_calls():
    placer = make_placer([64])
    clock = placer.clock
    dispatcher = Dispatcher(placer=placer, clock=clock)
    items = [
        QueuedRequest(
            request=str(number),
            service="engines",
            priority=0,
            returning=False,
            target_at=clock() + 0.01 * (number + 1),
            expires_at=clock() + 5.0,
        )
        for number in range(40)
    ]
    for item in items:
        dispatcher.queue.add(item)
    seen = []

    def call_of(request):
        seen.append(request)
        clock.now += 0.005
        return make_call(request=make_request())

    dispatcher.admission.review("engines", call_of)
    assert seen == [item.request for item in items]


# Guards against a call that fails when it begins to wait, stays in the queue, and so
# keeps all calls of the VM waiting for ever.
def test_a_call_that_fails_to_wait_leaves_the_queue(monkeypatch):
    placer = make_placer([64])
    dispatcher = Dispatcher(placer=placer, clock=placer.clock)
    begin_waiting = dispatcher.admission.begin_waiting

    def fail(call, item):
        begin_waiting(call, item)
        raise ValueError

    async def scenario():
        monkeypatch.setattr(dispatcher.admission, "begin_waiting", fail)
        with pytest.raises(ValueError):
            await dispatcher.place(make_call(), expires_at=110.0, returning=False)
        assert not dispatcher.queue.requests
        assert not dispatcher.waiters
        placer.view.loads.neighbours.set("vm2", "e1", Load(requests=1))
        placement = await dispatcher.place(
            make_call(), expires_at=110.0, returning=False
        )
        assert placement.instance.name == "e1"

    asyncio.run(scenario())
