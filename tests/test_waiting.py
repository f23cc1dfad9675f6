from hypothesis import given, settings
from hypothesis import strategies as st

from endivelug.forwarding.request_queue import QueuedRequest, RequestQueue


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
