"""What is cached of a prompt, where it can be copied from, and where it is saved."""

import random
from collections.abc import Callable

from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.copy_sources import CacheLocation, CopySources
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.routes import EngineLimits

# Prompts of at least this size are fetched from the cache store even if it is not known
# to cache them: a miss costs a millisecond.
SPECULATIVE_FETCH_MIN_TOKENS = 1000
# Shared segments with fewer tokens in total are prefilled faster than copied, so they
# are not saved to the cache store.
MIN_SAVE_TOKENS = 1000
# Only segments of at least this size get a preferred engine, and only these keep a call
# waiting while another engine prefills them.
LONG_SEGMENT_TOKENS = 1000


class CacheLookup:
    """Looks a prompt up in the estimates of what is cached."""

    def __init__(self, *, view: ClusterView, clock: Callable[[], float]) -> None:
        self.view = view
        self.clock = clock

    def sources(self, call: Call, namespace: str, limits: EngineLimits) -> CopySources:
        """Return the cache locations of the leading segments of a prompt."""
        segments, now = call.request.prompt, self.clock()
        sources = CopySources(token_bytes=limits.token_bytes, fallback=None)
        if not segments or limits.token_bytes <= 0:
            return sources
        cached = self.view.caches.cached_tokens
        store = self.view.cache_store_for(segments[0].segment_id)
        if store is not None:
            if call.request.prompt_tokens >= SPECULATIVE_FETCH_MIN_TOKENS:
                # A router that has just started does not know what the store caches.
                sources.fallback = store.address
            sources.add(
                CacheLocation(
                    address=store.address,
                    data_centre=store.data_centre,
                    mbps=min(store.link_mbps, limits.link_mbps),
                    tokens=cached(
                        store.address, namespace=namespace, segments=segments
                    ),
                    store=True,
                )
            )
        for other in self.view.registry.cache_holders(call.service):
            tokens = cached(other.name, namespace=namespace, segments=segments)
            # Most engines have nothing of a prompt.
            if not tokens:
                continue
            load = self.view.loads.of(other.name)
            if load.silent or now < load.avoid_until:
                continue
            sources.add(
                CacheLocation(
                    address=other.address,
                    data_centre=other.data_centre,
                    mbps=limits.link_mbps,
                    tokens=tokens,
                )
            )
        return sources

    def save_address(self, call: Call, namespace: str) -> str | None:
        """Return the store to which a prompt's shared segments are saved, or None."""
        # The last segment belongs to a single request or session; saving it would take
        # space from shared segments.
        shared = call.request.prompt[:-1]
        if sum(segment.tokens for segment in shared) < MIN_SAVE_TOKENS:
            return None
        store = self.view.cache_store_for(shared[0].segment_id)
        if store is None:
            return None
        cached_tokens = self.view.caches.cached_tokens(
            store.address, namespace=namespace, segments=shared
        )
        total = sum(segment.tokens for segment in shared)
        return None if cached_tokens >= total else store.address

    def leading_tokens(
        self, engine: str, namespace: str, segments: list[PromptSegment]
    ) -> int:
        """Return how many leading tokens an engine has cached or is prefilling."""
        caches, now, tokens = self.view.caches, self.clock(), 0
        for segment in segments:
            cached = caches.cached_tokens(
                engine, namespace=namespace, segments=[segment]
            )
            prefilling = caches.prefilling_engine(
                namespace=namespace, segment_id=segment.segment_id, now=now
            )
            if not cached and prefilling != engine:
                break
            tokens += segment.tokens
        return tokens

    def engine_for_prefix(
        self, call: Call, namespace: str, engines: list[str], *, rng: random.Random
    ) -> str | None:
        """Return an engine that prefills the first segment of a prompt, or has it."""
        first, now = call.request.prompt[0], self.clock()
        prefilling = self.view.caches.prefilling_engine(
            namespace=namespace, segment_id=first.segment_id, now=now
        )
        if prefilling in engines:
            return prefilling
        cached = self.view.caches.cached_tokens
        holders = [
            name
            for name in engines
            if cached(name, namespace=namespace, segments=[first])
        ]
        return rng.choice(holders) if holders else None

    def is_prefilling_elsewhere(
        self, engine: str, namespace: str, segments: list[PromptSegment], reusable: int
    ) -> bool:
        """Return whether another engine prefills a long shared segment missing here."""
        now = self.clock()
        for segment in uncached_shared(segments, reusable):
            if segment.tokens < LONG_SEGMENT_TOKENS:
                continue
            prefilling = self.view.caches.prefilling_engine(
                namespace=namespace, segment_id=segment.segment_id, now=now
            )
            if prefilling is not None and prefilling != engine:
                return True
        return False


def uncached_shared(
    segments: list[PromptSegment], reusable: int
) -> list[PromptSegment]:
    """Return the shared segments that extend beyond the reusable leading tokens."""
    uncached, tokens = [], 0
    for segment in segments[:-1]:
        tokens += segment.tokens
        if tokens > reusable:
            uncached.append(segment)
    return uncached
