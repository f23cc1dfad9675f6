import pytest

from endivelug.forwarding.instance_load import (
    REPORT_LIFETIME_S,
    InstanceLoads,
    LoadReport,
    Work,
)


def report(requests=2, missing=100, memory=500):
    return LoadReport(
        instance="e1",
        requests=requests,
        uncached_tokens=missing,
        memory_tokens=memory,
    )


# Guards against all routers choosing the same engine because each sees only its own.
def test_the_load_includes_what_peers_announce():
    loads = InstanceLoads()
    loads.begin("e1", Work(request="q", sent_at=0.0, uncached_tokens=10))
    loads.apply_reports("vm2", [report()], now=0.0)
    total = loads.of("e1").total("e1", now=0.1)
    assert (total.requests, total.uncached_tokens) == (3, 110)


# Guards against work of a router that died and blocks an engine for ever.
def test_announced_work_expires():
    loads = InstanceLoads()
    loads.apply_reports("vm2", [report()], now=0.0)
    total = loads.of("e1").total("e1", now=REPORT_LIFETIME_S + 0.1)
    assert total.requests == 0


# Guards against work that a peer finished and no longer reports.
def test_a_report_replaces_the_one_before():
    loads = InstanceLoads()
    loads.apply_reports("vm2", [report()], now=0.0)
    loads.apply_reports("vm2", [], now=0.1)
    assert loads.of("e1").total("e1", now=0.1).requests == 0


# Guards against a backlog that still counts prompts whose first event came.
def test_a_prompt_is_no_backlog_once_its_first_event_came():
    loads = InstanceLoads()
    loads.begin("e1", Work(request="q", sent_at=0.0, uncached_tokens=10))
    loads.record_first_byte("e1", "q", now=0.2)
    assert loads.of("e1").own_report("e1").uncached_tokens == 0
    loads.end("e1", "q")
    assert loads.reports(now=0.2) == []


# Guards against an engine that is avoided for ever because it was slow once.
def test_slowdown_is_measured_and_fades():
    loads = InstanceLoads()
    for number in range(20):
        work = Work(request=str(number), sent_at=0.0, expected_s=0.1)
        loads.begin("e1", work)
        loads.record_first_byte("e1", str(number), now=0.5)
    load = loads.of("e1")
    assert load.current_slowdown(now=0.5) > 3.0
    assert load.current_slowdown(now=100.0) == pytest.approx(1.0)


# Guards against orders of a VM that are over but still keep requests away.
def test_an_instance_takes_no_work_while_any_vm_has_an_order_there():
    load = InstanceLoads().of("e1")
    load.orders["vm1"] = 5.0
    assert not load.accepts_requests(now=4.0)
    assert load.accepts_requests(now=5.5)
