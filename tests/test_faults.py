"""Combine two faults, one of them repeated, against the real programs."""

import json

import pytest
from measurements._cluster import fetch, running_cluster, stop_process, wait_until
from measurements._lists import PLANS

from endivelug.cached_keys import CacheBatch, CachedKeys, pack_keys
from programs import KEYS, authorization, chat_body


@pytest.fixture
def cluster():
    pools = {"chat": {"kind": "engine"}, "orders": {"kind": "service"}}
    with running_cluster(pool_settings=pools) as started:
        started.start_platform()
        started.start_engine("e1", "--model", "chat=1")
        started.start_engine("e2", "--model", "chat=1")
        started.start_service("orders1", pool="orders")
        vm = started.add_vm("vm1")
        started.publish_vm_list()
        started.start_agent(vm)
        started.start_router(vm)
        started.apply_lists(PLANS, {"org-a": KEYS["org-a"]})
        started.wait_ready(vm)
        yield started


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


# Guards against inference that depends on the agent or the platform, and against
# running a call without a claim while the table is down.
def test_agent_dies_twice_in_a_platform_outage(cluster):
    vm = cluster.vms["vm1"]
    assert reserve(vm, "before")[0] == 200
    cluster.set_platform_faults(outage_s=60)
    for _ in range(2):
        stop_process(vm.agent, kill=True)
        assert complete(vm)[0] == 200
        status, _, body = reserve(vm, "during")
        assert (status, json.loads(body)["run"]) == (503, "not-run")
        cluster.start_agent(vm)
    cluster.set_platform_faults(outage_s=0)
    wait_until(lambda: reserve(vm, "after")[0] == 200, what="a claim after the outage")
    assert reserve(vm, "before")[0] == 200
    url = cluster.vm_list["orders1"]["targets"][0]
    counts = [
        json.loads(fetch(f"http://{url}/count?key={key}")[2])["runs"]
        for key in ("before", "during", "after")
    ]
    assert counts == [1, 0, 1]


# Guards against losing a completion when an engine dies and the agent that would inform
# the router is dead as well.
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


# Guards against keys that stay valid after an engine restart that falls into a gap of
# the cache events.
def test_restart_within_a_gap_discards_all_keys():
    cached_keys = CachedKeys()
    first = CacheBatch(incarnation=1, first=0, added=pack_keys([1, 2]), removed=b"")
    cached_keys.apply(first, now=1.0)
    assert cached_keys.depth([1, 2], now=1.0) == 2
    late = CacheBatch(incarnation=2, first=7, added=pack_keys([3]), removed=b"")
    for _ in range(2):
        cached_keys.apply(late, now=2.0)
        assert cached_keys.depth([1, 2], now=2.0) == 0
        assert cached_keys.depth([3], now=2.0) == 0
    cached_keys.apply(first, now=2.5)
    assert cached_keys.depth([1, 2], now=2.5) == 0
