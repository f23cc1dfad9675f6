"""What one router remembers of engines between look-ups."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from endivelug.messages import EngineView
from endivelug.outstanding_work import (
    BATCH,
    INTERACTIVE,
    PRESSURE_WINDOW_S,
    OutstandingWork,
)

# Engines evict within seconds; older memory says little about what they hold.
MEMORY_S = 6.0
MEMORY_KEYS = 8192


@dataclass(slots=True, kw_only=True)
class Load:
    """Prefill tokens per class and streams expected on an engine."""

    interactive: float
    batch: float
    streams: int


@dataclass(slots=True, kw_only=True)
class _LastView:
    """Load of an engine when it was last seen, and own work placed since."""

    incarnation: int
    tokens: dict[str, int]
    streams: int
    at: float
    own_since: dict[str, int]


@dataclass(slots=True, kw_only=True)
class EngineMemory:
    """Last views, placements and computed tokens of engines, by name.

    Attributes
    ----------
    views : dict of str to _LastView
        Last view of each engine.
    held : dict of int to dict
        For each key the engines seen to hold it, with incarnation and time.
    homes : dict of int to tuple
        Number of homes that an owner reported for a key, and the time.
    computed : dict of str to tuple
        Decaying sum of the tokens that all routers placed on each engine, as its
        owner last said, with this router's own since then, and the time.
    """

    views: dict[str, _LastView] = field(default_factory=dict)
    held: dict[int, dict[str, tuple[int, float]]] = field(default_factory=dict)
    homes: dict[int, tuple[int, float]] = field(default_factory=dict)
    computed: dict[str, tuple[float, float]] = field(default_factory=dict)

    def learn(self, keys: Sequence[int], view: EngineView, *, now: float) -> None:
        """Remember a view of the engine's current incarnation."""
        self.views[view.engine] = _LastView(
            incarnation=view.incarnation,
            tokens={INTERACTIVE: view.interactive_tokens, BATCH: view.batch_tokens},
            streams=view.streams,
            at=now,
            own_since={INTERACTIVE: 0, BATCH: 0},
        )
        self.computed[view.engine] = (float(view.recent_tokens), now)
        if not view.known:
            return
        for depth, key in enumerate(keys):
            if depth < view.depth:
                self.remember(key, view.engine, view.incarnation, now=now)
            else:
                self.held.get(key, {}).pop(view.engine, None)

    def learn_homes(self, key: int, count: int, *, now: float) -> None:
        """Remember the number of homes that an owner reported for a key."""
        self.homes[key] = (count, now)
        if len(self.homes) > MEMORY_KEYS:
            del self.homes[next(iter(self.homes))]

    def homes_of(self, key: int, *, now: float) -> int:
        """Return the number of homes last reported for a key, at least 1."""
        count, at = self.homes.get(key, (1, now))
        return count if now - at <= MEMORY_S else 1

    def remember(self, key: int, engine: str, incarnation: int, *, now: float) -> None:
        """Remember that an engine holds a key or is about to."""
        held = self.held.get(key)
        if held is None:
            if len(self.held) >= MEMORY_KEYS:
                del self.held[next(iter(self.held))]
            held = self.held[key] = {}
        held[engine] = (incarnation, now)

    def placed(self, engine: str, work_class: str, tokens: int, *, now: float) -> None:
        """Count work that this router has just placed on an engine."""
        self.computed[engine] = (self._recent(engine, now) + tokens, now)
        last = self.views.get(engine)
        if last is not None:
            last.own_since[work_class] += tokens
            last.streams += 1

    def depths(
        self, keys: Sequence[int], incarnations: Mapping[str, int], *, now: float
    ) -> dict[str, int]:
        """Return the number of leading keys that each engine probably holds.

        Engines that hold none are absent; so is memory of another incarnation.
        """
        depths: dict[str, int] = {}
        for depth, key in enumerate(keys):
            found = False
            for name, (incarnation, at) in self.held.get(key, {}).items():
                if (
                    incarnations.get(name) == incarnation
                    and now - at <= MEMORY_S
                    and depths.get(name, 0) == depth
                ):
                    depths[name] = depth + 1
                    found = True
            if not found:
                break
        return depths

    def load(
        self,
        engine: str,
        incarnation: int,
        private: OutstandingWork,
        *,
        prefill_tokens_s: float,
        routers: int,
        now: float,
    ) -> Load:
        """Return the load expected on an engine now."""
        own = private.tokens
        last = self.views.get(engine)
        if last is None or last.incarnation != incarnation:
            # Every router holds about as much as this one.
            return Load(
                interactive=own[INTERACTIVE] * routers,
                batch=own[BATCH] * routers,
                streams=private.request_count * routers,
            )
        # The other routers see the same idle engine and place there as well.
        since = last.own_since
        interactive = last.tokens[INTERACTIVE] + since[INTERACTIVE] * routers
        batch = last.tokens[BATCH] + since[BATCH] * routers
        drained = (now - last.at) * prefill_tokens_s
        return Load(
            interactive=max(own[INTERACTIVE], interactive - drained),
            batch=max(own[BATCH], batch - max(0.0, drained - interactive)),
            streams=max(private.request_count, last.streams),
        )

    def pressure(
        self, engines: Sequence[str], *, tokens_s: float, now: float
    ) -> dict[str, float]:
        """Return how much more is placed on each engine than on average.

        Parameters
        ----------
        engines : sequence of str
            Engines to compare.
        tokens_s : float
            Least mean rate to compare with, so that the few placements in an
            idle data centre make no difference.
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to float
            Relative to the mean: 0 on average, -1 for no tokens, 1 for twice the mean.
        """
        recent = {name: self._recent(name, now) for name in engines}
        mean = sum(recent.values()) / max(len(recent), 1)
        scale = max(mean, tokens_s * PRESSURE_WINDOW_S)
        return {name: (tokens - mean) / scale for name, tokens in recent.items()}

    def forget(self, engine: str) -> None:
        """Drop what is remembered of an engine that crashed or was removed."""
        self.views.pop(engine, None)
        for held in self.held.values():
            held.pop(engine, None)

    def _recent(self, engine: str, now: float) -> float:
        tokens, at = self.computed.get(engine, (0.0, now))
        return tokens * math.exp((at - now) / PRESSURE_WINDOW_S)
