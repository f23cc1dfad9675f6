from endivelug.forwarding.request_queue import QueuedRequest, RequestQueue


def queue_of(*items):
    waiting = RequestQueue()
    for request, priority, target_at, extra in items:
        waiting.add(
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
    return waiting


def order(waiting, now=10.0):
    return [item.request for item in waiting.in_send_order("s", now=now)]


# Guards against urgent requests behind less urgent ones at the worst load.
def test_urgent_requests_go_first_then_the_earliest_target():
    waiting = queue_of(("a", 1, 11.0, {}), ("b", 0, 14.0, {}), ("c", 1, 10.5, {}))
    assert order(waiting) == ["b", "c", "a"]


# Guards against work on requests that are late anyway while others become late: the
# backlog of a rollout.
def test_requests_that_can_still_be_on_time_go_before_late_ones():
    waiting = queue_of(
        ("late", 1, 9.0, {}),
        ("hopeless", 1, 10.2, {"expected_s": 0.5}),
        ("on time", 1, 12.0, {}),
    )
    assert order(waiting) == ["on time", "late", "hopeless"]


# Guards against callers that came back as asked and are put last again.
def test_returning_callers_go_before_new_ones():
    waiting = queue_of(("new", 1, 11.0, {}), ("back", 1, 12.0, {"returning": True}))
    assert order(waiting) == ["back", "new"]


# Guards against requests of one service that hold up another one.
def test_services_wait_apart():
    waiting = queue_of(("a", 0, 11.0, {"service": "other"}), ("b", 1, 11.0, {}))
    assert order(waiting) == ["b"]
    waiting.remove("b")
    assert order(waiting) == []
