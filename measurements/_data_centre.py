"""Simulated data centre: engines, their owners and delayed load reports."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug import _rendezvous
from endivelug.cached_keys import BatchOutcome, CacheBatch, CachedKeys
from endivelug.messages import EngineView
from endivelug.outstanding_work import BATCH, INTERACTIVE, OutstandingWork
from endivelug.preferred_engines import Demand, demand_key
from measurements._engine_model import Engine
from measurements._simulation import CacheStore, Clock

ENGINES = 5
AGENTS = 7
LINK_S = 0.0006
PUBLISH_INTERVAL_S = 0.05
EVENT_DELAY_S = (0.15, 0.45)
EVENT_LOSS = 0.01
RESYNC_DELAY_S = 0.1
REPORT_INTERVAL_S = 0.25
REPORT_DELAY_S = 0.3
CRASH_DETECTION_S = 0.05
PROBE_S = 1.0
OWNER_TAKEOVER_S = 5.0


@dataclass(slots=True, kw_only=True)
class OwnerState:
    """State that the owner of an engine keeps about that engine."""

    cached_keys: CachedKeys = field(default_factory=CachedKeys)
    outstanding: OutstandingWork = field(default_factory=OutstandingWork)


@dataclass(slots=True, kw_only=True)
class Report:
    """Load report of an engine, as delivered after a delay."""

    at: float
    tokens: dict[str, int]
    streams: int


class DataCentre:
    """Simulated engines and agents, which are the same for every routing policy."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        capacity: int,
        store_capacity: int,
        load_s: float,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.load_s = load_s
        self.store = CacheStore(capacity=store_capacity, tokens_s=60_000.0)
        shared_computed_keys: set[int] = set()
        self.engines = {
            name: Engine(
                name=name,
                clock=clock,
                capacity=capacity,
                store=self.store,
                version="1",
                computed_keys=shared_computed_keys,
            )
            for name in (f"e{number}" for number in range(ENGINES))
        }
        self.agents = [f"vm{number}" for number in range(AGENTS)]
        self.dead_agents: set[str] = set()
        self.owners = {name: self._choose_owner(name) for name in self.engines}
        self.owner_states = {name: OwnerState() for name in self.engines}
        self.demands = {agent: Demand() for agent in self.agents}
        self.reports = {
            name: Report(at=0.0, tokens={INTERACTIVE: 0, BATCH: 0}, streams=0)
            for name in self.engines
        }
        self.on_notice: Callable[[str], None] = lambda name: None
        self._last_arrival = dict.fromkeys(self.engines, 0.0)
        self._last_published = dict.fromkeys(self.engines, 0.0)
        for name in self.engines:
            clock.call_later(PUBLISH_INTERVAL_S, self._publish, name)
            clock.call_later(REPORT_INTERVAL_S, self._report, name)

    def _choose_owner(self, name: str) -> str:
        live = [agent for agent in self.agents if agent not in self.dead_agents]
        return _rendezvous.owner(f"engine:{name}", live) or ""

    # Events and reports of the engines.

    def _publish(self, name: str) -> None:
        engine = self.engines[name]
        self.clock.call_later(PUBLISH_INTERVAL_S, self._publish, name)
        now = self.clock.now
        is_idle = not engine.added_keys and not engine.removed_keys
        if not engine.alive or (is_idle and now - self._last_published[name] < 1.0):
            return
        self._last_published[name] = now
        batch = engine.next_batch()
        if self.rng.random() >= EVENT_LOSS:
            self._send(name, batch)

    def _send(self, name: str, batch: CacheBatch) -> None:
        arrives_at = self.clock.now + self.rng.uniform(*EVENT_DELAY_S)
        arrives_at = self._last_arrival[name] = max(
            arrives_at, self._last_arrival[name]
        )
        self.clock.call_later(arrives_at - self.clock.now, self._deliver, name, batch)

    def _deliver(self, name: str, batch: CacheBatch) -> None:
        state = self.owner_states[name]
        if batch.incarnation != self.engines[name].incarnation:
            return  # The connection ended when the engine crashed.
        was_synced = state.cached_keys.synced
        result = state.cached_keys.apply(batch, now=self.clock.now)
        if result is BatchOutcome.GAP and (
            was_synced or not state.cached_keys.next_sequence
        ):
            self.clock.call_later(RESYNC_DELAY_S, self._resync, name)

    def _resync(self, name: str) -> None:
        if self.engines[name].alive:
            self._send(name, self.engines[name].snapshot())

    def _report(self, name: str) -> None:
        engine = self.engines[name]
        self.clock.call_later(REPORT_INTERVAL_S, self._report, name)
        report = Report(
            at=self.clock.now,
            tokens=self.true_tokens(name),
            streams=engine.request_count(),
        )
        self.clock.call_later(REPORT_DELAY_S, self.reports.__setitem__, name, report)

    def true_tokens(self, name: str) -> dict[str, int]:
        """Return the actual queued tokens of an engine by work class."""
        engine = self.engines[name]
        return {
            INTERACTIVE: engine.queued_tokens(interactive=True),
            BATCH: engine.queued_tokens(interactive=False),
        }

    # Owners.

    def view(self, name: str, keys: list[int], *, count_demand: bool) -> EngineView:
        """Return the view that the owner of an engine sends in reply to a look-up."""
        now = self.clock.now
        state = self.owner_states[name]
        state.outstanding.expire(now)
        demand = self.demands[self.owners[name]]
        if count_demand:
            demand.record([demand_key(keys)], now=now)
        return EngineView(
            engine=name,
            incarnation=state.cached_keys.incarnation,
            depth=state.cached_keys.depth(
                keys, now=now, announced_keys=state.outstanding.announced_keys
            ),
            interactive_tokens=state.outstanding.tokens[INTERACTIVE],
            batch_tokens=state.outstanding.tokens[BATCH],
            streams=state.outstanding.request_count,
            preferred_count=demand.preferred_count(demand_key(keys), now=now),
            known=state.cached_keys.is_known(now),
            recent_tokens=state.outstanding.recent_tokens(now),
        )

    def true_view(self, name: str, keys: list[int]) -> EngineView:
        """Return a view with the actual state of an engine."""
        engine = self.engines[name]
        queued_keys = {
            segment.key
            for queue in engine.queues
            for job in queue
            for segment in job.segments[job.segment_index :]
        }
        depth = 0
        while depth < len(keys) and (
            keys[depth] in engine.cache or keys[depth] in queued_keys
        ):
            depth += 1
        tokens = self.true_tokens(name)
        return EngineView(
            engine=name,
            incarnation=engine.incarnation,
            depth=depth,
            interactive_tokens=tokens[INTERACTIVE],
            batch_tokens=tokens[BATCH],
            streams=engine.request_count(),
            preferred_count=1,
            known=True,
            recent_tokens=self.owner_states[name].outstanding.recent_tokens(
                self.clock.now
            ),
        )

    # Faults.

    def kill_owner(self, name: str) -> None:
        """Kill the agent that owns an engine; another one takes over after 5 s."""
        agent = self.owners[name]
        self.dead_agents.add(agent)
        self.clock.call_later(OWNER_TAKEOVER_S, self._take_over, agent)

    def _take_over(self, dead: str) -> None:
        for name, agent in self.owners.items():
            if agent == dead:
                self.owners[name] = self._choose_owner(name)
                self.owner_states[name] = OwnerState()
                self._resync(name)
                self.on_notice(name)

    def crash(self, name: str, *, down_s: float) -> None:
        """Crash an engine and restart it after ``down_s``."""
        self.engines[name].crash()
        self.clock.call_later(CRASH_DETECTION_S, self._record_crash, name)
        self.clock.call_later(down_s, self._restart, name)

    def _record_crash(self, name: str) -> None:
        self.owner_states[name].cached_keys.invalidate()
        self.owner_states[name].outstanding.clear()
        self.on_notice(name)

    def _restart(self, name: str) -> None:
        engine = self.engines[name]
        engine.restart()
        self.clock.call_later(
            self.rng.uniform(0.0, PROBE_S) + LINK_S, self._record_restart, name
        )

    def _record_restart(self, name: str) -> None:
        self.owner_states[name].cached_keys.observe_incarnation(
            self.engines[name].incarnation
        )
        self.on_notice(name)

    def change_weights(self, version: str, names: list[str]) -> None:
        """Load a version on the engines, one after another."""
        if not names:
            return
        engine = self.engines[names[0]]
        if not engine.alive:
            self.clock.call_later(PROBE_S, self.change_weights, version, names)
            return
        if engine.version == version:
            self.clock.call_later(PROBE_S, self.on_notice, names[0])
            self.change_weights(version, names[1:])
            return
        if not engine.loading:
            engine.load_weights(version, self.load_s)
            self.clock.call_later(0.2, self.on_notice, names[0])
        self.clock.call_later(0.25, self.change_weights, version, names)
