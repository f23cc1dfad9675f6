"""Two faults at once, and one of them twice, against the real programs."""

import json

import pytest
from measurements._cluster import fetch, running, stop_process, wait_until
from measurements._lists import PLANS

from endivelug.cached_keys import CacheBatch, CachedKeys, pack_keys
from programs import KEYS, authorization, chat_body


@pytest.fixture
def cluster():
    pools = {"chat": {"kind": "engine"}, "orders": {"kind": "service"}}
    with running(pool_settings=pools) as found:
        found.start_platform()
        found.start_engine("e1", "--model", "chat=1")
        found.start_engine("e2", "--model", "chat=1")
        found.start_service("orders1", pool="orders")
        vm = found.add_vm("vm1")
        found.publish_vms()
        found.start_agent(vm)
        found.start_router(vm)
        found.apply_lists(PLANS, {"org-a": KEYS["org-a"]})
        found.wait_ready(vm)
        yield found


def complete(vm, *, deadline_s=8):
    return fetch(
        f"{vm.router_url}/v1/chat/completions",
        body=chat_body(),
        headers={**authorization("org-a"), "X-Deadline-Seconds": str(deadline_s)},
        timeout_s=30.0,
    )


def reserve(vm, key):
    headers = {**authorization("org-a"), "Idempotency-Key": key}
    url = f"{vm.router_url}/services/orders/reserve"
    return fetch(url, body={"key": key}, headers=headers)


# Guards against inference that depends on the agent or the platform, and against a
# claim that is taken for granted while the table is down.
def test_agent_dies_twice_in_a_platform_outage(cluster):
    vm = cluster.vms["vm1"]
    assert reserve(vm, "before")[0] == 200
    cluster.platform_faults(outage_s=60)
    for _ in range(2):
        stop_process(vm.agent, kill=True)
        assert complete(vm)[0] == 200
        status, _, body = reserve(vm, "during")
        assert (status, json.loads(body)["run"]) == (503, "not-run")
        cluster.start_agent(vm)
    cluster.platform_faults(outage_s=0)
    wait_until(lambda: reserve(vm, "after")[0] == 200, what="a claim after the outage")
    assert reserve(vm, "before")[0] == 200
    url = cluster.listed["orders1"]["targets"][0]
    counts = [
        json.loads(fetch(f"http://{url}/count?key={key}")[2])["runs"]
        for key in ("before", "during", "after")
    ]
    assert counts == [1, 0, 1]


# Guards against a completion that is lost when an engine dies while the agent, which
# would tell the router, is dead as well.
def test_engine_and_agent_die_together(cluster):
    vm = cluster.vms["vm1"]
    stop_process(vm.agent, kill=True)
    stop_process(cluster.upstreams["e1"], kill=True)
    for _ in range(6):
        status, _, body = complete(vm)
        assert status == 200, body
    stop_process(cluster.upstreams["e2"], kill=True)
    status, _, body = complete(vm, deadline_s=2)
    assert status in (503, 504)
    assert json.loads(body)["run"] == "not-run"


# Guards against evidence that survives a restart which hides in a gap of the events.
def test_restart_within_a_gap_voids_all_evidence():
    evidence = CachedKeys()
    first = CacheBatch(incarnation=1, first=0, added=pack_keys([1, 2]), removed=b"")
    evidence.apply(first, now=1.0)
    assert evidence.depth([1, 2], now=1.0) == 2
    late = CacheBatch(incarnation=2, first=7, added=pack_keys([3]), removed=b"")
    for _ in range(2):
        evidence.apply(late, now=2.0)
        assert evidence.depth([1, 2], now=2.0) == 0
        assert evidence.depth([3], now=2.0) == 0
    evidence.apply(first, now=2.5)
    assert evidence.depth([1, 2], now=2.5) == 0
