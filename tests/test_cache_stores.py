"""KV cache stores: which one is chosen for a prompt, and what happens if it fails."""

import asyncio
import random

from endivelug.exceptions import UpstreamNotAnswering
from endivelug.forwarding.cache_store_watch import CacheStoreWatch
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.copy_sources import CacheLocation, CopySources
from endivelug.forwarding.process_pauses import PAUSE_S, ProcessPauses
from endivelug.forwarding.prompt_cache import PromptSegment
from forwarding_builders import (
    LogRecorder,
    ManualClock,
    configuration_document,
    make_view,
    stored_row,
)
from platform_standins import running_upstream

SEGMENT_IDS = [f"g{number}" for number in range(300)]


def view_with_stores(*addresses, clock=None):
    view = make_view(clock or ManualClock())
    document = configuration_document(version=8)
    document["services"] += [
        {"name": f"store{number}", "kvStoreAddr": address, "zone": "dc1"}
        for number, address in enumerate(addresses)
    ]
    view.apply([stored_row("op", "config", document, 9)], source="store")
    return view


# Guards against prefilling shared prefixes again because the link of one store is
# saturated while other stores are idle (load: 28 long prompts per second, 55 Gbit/s
# from one store).
def test_prompts_spread_over_all_stores():
    view = view_with_stores("a:1", "b:1", "c:1")
    chosen = [view.cache_store_for(segment_id).address for segment_id in SEGMENT_IDS]
    assert chosen == [
        view.cache_store_for(segment_id).address for segment_id in SEGMENT_IDS
    ]
    for address in ("a:1", "b:1", "c:1"):
        assert chosen.count(address) > len(SEGMENT_IDS) / 3 * 0.7


# Guards against copying from an unreachable store, and against expecting segments in a
# store that came back empty.
def test_an_unreachable_store_is_avoided_and_comes_back_empty():
    clock = ManualClock()
    view = view_with_stores("a:1", "b:1", clock=clock)
    segment = PromptSegment(segment_id="g", tokens=900)
    address = view.cache_store_for("g").address
    view.caches.record_use(address, namespace="m/1/", segments=[segment])
    view.avoid_cache_store(address, clock.now + 1.5)
    assert view.cache_store_for("g").address != address
    clock.now += 2.0
    assert view.cache_store_for("g").address == address
    cached = view.caches.cached_tokens(address, namespace="m/1/", segments=[segment])
    assert cached == 0


def test_without_a_store_nothing_is_chosen():
    assert view_with_stores().cache_store_for("g") is None


# Guards against trying an unreachable store again with every prompt.
def test_the_watch_reports_a_store_that_refuses_connections():
    async def run():
        avoided, log = [], LogRecorder()
        async with running_upstream() as store:
            view = view_with_stores(store.address)
            clock = view.clock
            watch = CacheStoreWatch(
                view=view,
                pool=ConnectionPool(clock=clock),
                pauses=ProcessPauses(clock=clock),
                is_needed=lambda: True,
                on_avoid=lambda address, for_s: avoided.append(address),
                clock=clock,
                rng=random.Random(1),
                log=log,
            )
            await watch.check(store.address)
            assert avoided == []
            watch.pool.close()
            store.crash()
            await watch.check(store.address)
            await watch.check(store.address)
            assert avoided == [store.address] * 2
            assert view.cache_store_for("g") is None
            assert log.events().count("cache-store-gone") == 1

    asyncio.run(run())


# Guards against a store that no router uses because one router was paused while it
# connected.
def test_the_watch_reports_no_store_because_of_a_pause(monkeypatch):
    avoided, clock = [], ManualClock()
    view = view_with_stores("a:1", clock=clock)
    pauses = ProcessPauses(clock=clock)
    watch = CacheStoreWatch(
        view=view,
        pool=ConnectionPool(clock=clock),
        pauses=pauses,
        is_needed=lambda: True,
        on_avoid=lambda address, for_s: avoided.append(address),
        clock=clock,
        rng=random.Random(1),
        log=LogRecorder(),
    )

    async def fail_after_pause(pool, address, **options):
        clock.now += 2 * PAUSE_S
        raise UpstreamNotAnswering("no answer in time")

    monkeypatch.setattr(ConnectionPool, "acquire", fail_after_pause)
    pauses.tick()
    asyncio.run(watch.check("a:1"))
    assert avoided == []


# Guards against prefilling shared prefixes again because the engine to copy from has
# evicted them, although a store still has them (load: 79 routers, each of which sees
# few of an engine's requests).
def test_a_store_is_preferred_to_engines_that_may_have_evicted_a_segment():
    sources = CopySources(token_bytes=18432.0, fallback=None)
    store = CacheLocation(
        address="s", data_centre="dc2", mbps=1.0, tokens=900, store=True
    )
    for location in (
        CacheLocation(address="e1", data_centre="dc1", mbps=1000.0, tokens=900),
        store,
        CacheLocation(address="e2", data_centre="dc1", mbps=1000.0, tokens=900),
    ):
        sources.add(location)
    assert (
        sources.best_for(address="x", data_centre="dc1", cached_tokens=0).address == "s"
    )
    sources.add(CacheLocation(address="e3", data_centre="dc1", mbps=10.0, tokens=1000))
    assert (
        sources.best_for(address="x", data_centre="dc1", cached_tokens=0).address
        == "e3"
    )
