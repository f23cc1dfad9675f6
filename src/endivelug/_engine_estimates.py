"""Estimated cache content and load of engines between look-ups, in one router."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from endivelug.messages import EngineView
from endivelug.outstanding_work import (
    BATCH,
    INTERACTIVE,
    RECENT_TOKENS_TAU_S,
    OutstandingWork,
)

# Engines evict within seconds, so older records say little about their caches.
MAX_AGE_S = 6.0
MAX_KEYS = 8192


@dataclass(slots=True, kw_only=True)
class ExpectedLoad:
    """Expected prefill tokens per class and streams of an engine."""

    interactive: float
    batch: float
    streams: int


@dataclass(slots=True, kw_only=True)
class _LastView:
    """Load of an engine in its last view, and the work this router placed since."""

    incarnation: int
    tokens: dict[str, int]
    streams: int
    at: float
    placed_since: dict[str, int]


@dataclass(slots=True, kw_only=True)
class EngineEstimates:
    """Estimates of cache content and load, from views and own placements.

    Attributes
    ----------
    views : dict of str to _LastView
        Last view of each engine, by name.
    cache_locations : dict of int to dict
        For each key the engines that probably cache it, with incarnation and time.
    preferred_counts : dict of int to tuple
        Number of preferred engines that an owner reported for a key, and the time.
    recent_tokens : dict of str to tuple
        Decaying sum of the prefill tokens placed on each engine, and the time: the sum
        last reported by its owner, plus this router's placements since then.
    """

    views: dict[str, _LastView] = field(default_factory=dict)
    cache_locations: dict[int, dict[str, tuple[int, float]]] = field(
        default_factory=dict
    )
    preferred_counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    recent_tokens: dict[str, tuple[float, float]] = field(default_factory=dict)

    def apply_view(self, keys: Sequence[int], view: EngineView, *, now: float) -> None:
        """Apply a view of the engine's current incarnation."""
        self.views[view.engine] = _LastView(
            incarnation=view.incarnation,
            tokens={INTERACTIVE: view.interactive_tokens, BATCH: view.batch_tokens},
            streams=view.streams,
            at=now,
            placed_since={INTERACTIVE: 0, BATCH: 0},
        )
        self.recent_tokens[view.engine] = (float(view.recent_tokens), now)
        if not view.known:
            return
        for depth, key in enumerate(keys):
            if depth < view.depth:
                self.record_cached(key, view.engine, view.incarnation, now=now)
            else:
                self.cache_locations.get(key, {}).pop(view.engine, None)

    def record_preferred_count(self, key: int, count: int, *, now: float) -> None:
        """Record the number of preferred engines that an owner reported for a key."""
        self.preferred_counts[key] = (count, now)
        if len(self.preferred_counts) > MAX_KEYS:
            del self.preferred_counts[next(iter(self.preferred_counts))]

    def preferred_count(self, key: int, *, now: float) -> int:
        """Return the number of preferred engines last reported for a key, or 1."""
        count, at = self.preferred_counts.get(key, (1, now))
        return count if now - at <= MAX_AGE_S else 1

    def record_cached(
        self, key: int, engine: str, incarnation: int, *, now: float
    ) -> None:
        """Record that an engine caches a key or is about to."""
        locations = self.cache_locations.get(key)
        if locations is None:
            if len(self.cache_locations) >= MAX_KEYS:
                del self.cache_locations[next(iter(self.cache_locations))]
            locations = self.cache_locations[key] = {}
        locations[engine] = (incarnation, now)

    def record_placement(
        self, engine: str, work_class: str, tokens: int, *, now: float
    ) -> None:
        """Count work that this router has just placed on an engine."""
        self.recent_tokens[engine] = (self._recent_tokens(engine, now) + tokens, now)
        last = self.views.get(engine)
        if last is not None:
            last.placed_since[work_class] += tokens
            last.streams += 1

    def cached_depths(
        self, keys: Sequence[int], incarnations: Mapping[str, int], *, now: float
    ) -> dict[str, int]:
        """Return the number of leading keys that each engine probably caches.

        Engines that cache none are absent. Records of other incarnations are ignored.
        """
        cached_depths: dict[str, int] = {}
        for depth, key in enumerate(keys):
            any_cached = False
            for name, (incarnation, at) in self.cache_locations.get(key, {}).items():
                if (
                    incarnations.get(name) == incarnation
                    and now - at <= MAX_AGE_S
                    and cached_depths.get(name, 0) == depth
                ):
                    cached_depths[name] = depth + 1
                    any_cached = True
            if not any_cached:
                break
        return cached_depths

    def load(
        self,
        engine: str,
        incarnation: int,
        own_work: OutstandingWork,
        *,
        prefill_tokens_s: float,
        routers: int,
        now: float,
    ) -> ExpectedLoad:
        """Return the load expected on an engine now."""
        own = own_work.tokens
        last = self.views.get(engine)
        if last is None or last.incarnation != incarnation:
            # Without a view, assume that every router placed as much as this one.
            return ExpectedLoad(
                interactive=own[INTERACTIVE] * routers,
                batch=own[BATCH] * routers,
                streams=own_work.request_count * routers,
            )
        # Other routers see the same load and place as much on the engine.
        since = last.placed_since
        interactive = last.tokens[INTERACTIVE] + since[INTERACTIVE] * routers
        batch = last.tokens[BATCH] + since[BATCH] * routers
        drained = (now - last.at) * prefill_tokens_s
        return ExpectedLoad(
            interactive=max(own[INTERACTIVE], interactive - drained),
            batch=max(own[BATCH], batch - max(0.0, drained - interactive)),
            streams=max(own_work.request_count, last.streams),
        )

    def prefill_excess(
        self, engines: Sequence[str], *, tokens_s: float, now: float
    ) -> dict[str, float]:
        """Return how far the recent tokens of each engine are above the mean.

        Parameters
        ----------
        engines : sequence of str
            Engines to compare.
        tokens_s : float
            Least mean rate by which the differences are scaled, in tokens/s, so that
            the few placements in an idle data centre make no difference.
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to float
            Relative to the mean: 0 on average, -1 for no tokens, 1 for twice the mean.
        """
        recent = {name: self._recent_tokens(name, now) for name in engines}
        mean = sum(recent.values()) / max(len(recent), 1)
        scale = max(mean, tokens_s * RECENT_TOKENS_TAU_S)
        return {name: (tokens - mean) / scale for name, tokens in recent.items()}

    def forget(self, engine: str) -> None:
        """Remove views and cached keys of an engine that crashed or was removed."""
        self.views.pop(engine, None)
        for locations in self.cache_locations.values():
            locations.pop(engine, None)

    def _recent_tokens(self, engine: str, now: float) -> float:
        tokens, at = self.recent_tokens.get(engine, (0.0, now))
        return tokens * math.exp((at - now) / RECENT_TOKENS_TAU_S)
