from endivelug.forwarding.cache_tracker import CacheTracker
from endivelug.forwarding.calls import Delivered
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.prompt_cache import PromptSegment
from forwarding_builders import (
    ManualClock,
    configuration_document,
    make_call,
    make_instance,
    make_request,
    make_view,
    stored_row,
)

STORE = "a:1"
NAMESPACE = "m/1/"


def make_tracker(*, store_tokens):
    view = make_view(ManualClock())
    document = configuration_document(version=8)
    document["services"].append(
        {
            "name": "store",
            "kvStoreAddr": STORE,
            "zone": "dc1",
            "kvCapacityTokens": store_tokens,
        }
    )
    view.apply([stored_row("op", "config", document, 9)], source="store")
    announced = []
    tracker = CacheTracker(
        view=view, announce=lambda *args: announced.append(args), clock=view.clock
    )
    return tracker, announced


def deliver(tracker, guide, **changes):
    prompt = [
        PromptSegment(segment_id=guide, tokens=13_000),
        PromptSegment(segment_id=f"{guide}-own", tokens=4_000),
    ]
    call = make_call(request=make_request(prompt=prompt))
    placement = Placement(instance=make_instance(), namespace=NAMESPACE, **changes)
    tracker.attempt_ended(call, placement, Delivered())


def cached(tracker, guide):
    segments = [PromptSegment(segment_id=guide, tokens=13_000)]
    return tracker.view.caches.cached_tokens(
        STORE, namespace=NAMESPACE, segments=segments
    )


# Guards against a prefix that is prefilled again on each request: the store has evicted
# it, but as it was believed to be there it was never saved again (load: more prefixes
# than the store has room for).
def test_a_full_store_is_expected_to_evict_the_least_recently_used_prefix():
    tracker, _ = make_tracker(store_tokens=60_000)
    for guide in ("g1", "g2", "g3"):
        deliver(tracker, guide, save_to=STORE)
    assert cached(tracker, "g1") == 13_000
    deliver(tracker, "g1", fetch_from=STORE)
    deliver(tracker, "g4", save_to=STORE)
    assert cached(tracker, "g1") == 13_000
    assert cached(tracker, "g2") == 0


# Guards against peers that expect a prefix in an engine or store whose space was taken
# by the long last segments of single requests.
def test_long_last_segments_are_announced():
    tracker, announced = make_tracker(store_tokens=60_000)
    deliver(tracker, "g1", save_to=STORE)
    (cache, _, segments, _) = announced[0]
    assert cache == STORE
    assert [segment.segment_id for segment in segments] == ["g1", "g1-own"]
