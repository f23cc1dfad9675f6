"""Stores of kept KV cache: which one keeps a prompt, and the loss of one."""

import asyncio
import random

from endivelug.forwarding.cache_store_watch import CacheStoreWatch
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.copy_sources import CacheLocation, CopySources
from endivelug.forwarding.prompt_cache import PromptSegment
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    configuration_document,
    make_view,
    stored_row,
)
from platform_standins import running_upstream

GUIDES = [f"g{number}" for number in range(300)]


def view_with_stores(*addresses, clock=None):
    view = make_view(clock or ManualClock())
    document = configuration_document(version=8)
    document["services"] += [
        {"name": f"store{number}", "kvStoreAddr": address, "zone": "dc1"}
        for number, address in enumerate(addresses)
    ]
    view.apply([stored_row("op", "config", document, 9)], source="store")
    return view


# Guards against guides that are read again because the link of one store is full, while
# others are idle (load: 28 long prompts a second, 55 Gbit/s from one store).
def test_prompts_spread_over_all_stores():
    view = view_with_stores("a:1", "b:1", "c:1")
    chosen = [view.cache_store_for(guide).address for guide in GUIDES]
    assert chosen == [view.cache_store_for(guide).address for guide in GUIDES]
    for address in ("a:1", "b:1", "c:1"):
        assert chosen.count(address) > len(GUIDES) / 3 * 0.7


# Guards against copies from a store that is gone, and against parts that are believed
# to be kept there when it is back empty.
def test_a_store_that_is_gone_is_left_and_comes_back_empty():
    clock = ManualClock()
    view = view_with_stores("a:1", "b:1", clock=clock)
    part = PromptSegment(segment_id="g", tokens=900)
    address = view.cache_store_for("g").address
    view.caches.record_use(address, namespace="m/1/", segments=[part])
    view.avoid_cache_store(address, clock.now + 1.5)
    assert view.cache_store_for("g").address != address
    clock.now += 2.0
    assert view.cache_store_for("g").address == address
    held = view.caches.cached_tokens(address, namespace="m/1/", segments=[part])
    assert held == 0


def test_without_a_store_nothing_is_chosen():
    assert view_with_stores().cache_store_for("g") is None


# Guards against a dead store that is asked with every prompt.
def test_the_watch_tells_of_a_store_that_refuses_connections():
    async def run():
        told, log = [], LogRecorder()
        async with running_upstream() as store:
            view = view_with_stores(store.address)
            clock = view.clock
            watch = CacheStoreWatch(
                view=view,
                pool=ConnectionPool(clock=clock),
                is_needed=lambda: True,
                on_avoid=lambda address, for_s: told.append(address),
                clock=clock,
                rng=random.Random(1),
                log=log,
            )
            await watch.check(store.address)
            assert told == []
            watch.pool.close()
            store.crash()
            await watch.check(store.address)
            await watch.check(store.address)
            assert told == [store.address] * 2
            assert view.cache_store_for("g") is None
            assert log.events().count("cache-store-gone") == 1

    asyncio.run(run())


# Guards against guides that are read again because an engine has dropped them, although
# a store keeps them (load: 79 routers, each of which sees few of an engine's requests).
def test_a_store_goes_before_engines_that_may_have_dropped_a_part():
    sources = CopySources(token_bytes=18432.0, fallback=None)
    store = CacheLocation(
        address="s", data_centre="dc2", mbps=1.0, tokens=900, store=True
    )
    for holder in (
        CacheLocation(address="e1", data_centre="dc1", mbps=1000.0, tokens=900),
        store,
        CacheLocation(address="e2", data_centre="dc1", mbps=1000.0, tokens=900),
    ):
        sources.add(holder)
    assert (
        sources.best_for(address="x", data_centre="dc1", cached_tokens=0).address == "s"
    )
    sources.add(CacheLocation(address="e3", data_centre="dc1", mbps=10.0, tokens=1000))
    assert (
        sources.best_for(address="x", data_centre="dc1", cached_tokens=0).address
        == "e3"
    )
