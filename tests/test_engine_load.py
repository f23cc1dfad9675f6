import pytest

from endivelug.forwarding.instance_load import InstanceLoads, Work
from endivelug.forwarding.neighbour_sums import Load


# Guards against all routers choosing the same engine because each counts only its own
# requests.
def test_the_load_includes_requests_reported_by_peers():
    loads = InstanceLoads()
    loads.add_work("e1", Work(request="q", sent_at=0.0, uncached_tokens=10))
    loads.neighbours.set("vm2", "e1", Load(requests=2, uncached_tokens=100))
    total = loads.total("e1")
    assert (total.requests, total.uncached_tokens) == (3, 110)


# Guards against requests of a removed router that count as load of an engine forever.
def test_the_load_of_a_dropped_neighbour_is_gone():
    loads = InstanceLoads()
    loads.neighbours.set("vm2", "e1", Load(requests=2))
    loads.neighbours.set("vm3", "e1", Load(requests=1))
    loads.neighbours.drop("vm2")
    assert loads.total("e1").requests == 1


# Guards against counting requests that a peer has finished and no longer reports.
def test_an_amount_replaces_the_previous_one():
    loads = InstanceLoads()
    loads.neighbours.set("vm2", "e1", Load(requests=2))
    loads.neighbours.set("vm2", "e1", Load())
    assert loads.total("e1").requests == 0
    assert loads.neighbours.keys() == set()


# Guards against amounts that are passed on to relays, or not passed on, after a
# neighbour has become a relay or a member.
def test_amounts_move_with_the_role_of_the_neighbour():
    loads = InstanceLoads()
    loads.neighbours.set("vm2", "e1", Load(requests=2))
    loads.neighbours.set_relay("vm2", True)
    assert loads.neighbours.from_members == {}
    assert loads.neighbours.from_relays == {"e1": Load(requests=2)}
    assert loads.total("e1").requests == 2


# Guards against counting a prompt as backlog after its first event, when its prefill is
# done.
def test_a_prompt_does_not_count_as_backlog_after_its_first_event():
    loads = InstanceLoads()
    loads.add_work("e1", Work(request="q", sent_at=0.0, uncached_tokens=10))
    loads.record_first_byte("e1", "q", now=0.2)
    assert loads.own("e1") == Load(requests=1, heard=1)
    loads.remove_work("e1", "q")
    assert loads.own("e1") == Load(heard=1)


# Guards against avoiding an engine forever because it was slow once.
def test_the_slowdown_is_measured_and_decays():
    loads = InstanceLoads()
    for number in range(20):
        work = Work(request=str(number), sent_at=0.0, expected_s=0.1)
        loads.add_work("e1", work)
        loads.record_first_byte("e1", str(number), now=0.5)
    load = loads.of("e1")
    assert load.current_slowdown(now=0.5) > 3.0
    assert load.current_slowdown(now=100.0) == pytest.approx(1.0)


# Guards against requests to an engine with a weights order in progress, and against an
# expired order that still keeps requests away.
def test_an_instance_with_an_order_in_progress_accepts_no_requests():
    load = InstanceLoads().of("e1")
    load.orders["vm1"] = 5.0
    assert not load.accepts_requests(now=4.0)
    assert load.accepts_requests(now=5.5)
