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
