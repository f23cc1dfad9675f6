"""Selects an instance for a call from the loads, weights and caches of a service."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from endivelug.forwarding.cache_lookup import (
    CacheLookup,
    uncached_shared,
)
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.copy_sources import CopySources
from endivelug.forwarding.engine_candidates import (
    Candidate,
    EngineCandidates,
    Fleet,
    UsableEngine,
)
from endivelug.forwarding.engine_choice import (
    BASE_LATENCY_S,
    LONG_PROMPT_TOKENS,
    Choice,
    EngineState,
    PrefillRate,
    Prompt,
    choose_engine,
)
from endivelug.forwarding.instance_load import InstanceLoad
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.pace.controller import WorkSize
from endivelug.forwarding.pace.upstream_pace import UpstreamPace
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.routes import EngineLimits, Service
from endivelug.forwarding.run_backup import BackupEngine, choose_backup, should_back_up
from endivelug.forwarding.upstream_choice import UpstreamState, choose_upstream
from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# No request is sent to an engine with outdated weights within this time before the
# limit after which no request may start on them.
OLD_WEIGHTS_MARGIN_S = 2.0
# Instances that are blocked for these reasons never take the same call later.
LASTING_REASONS = frozenset({WaitReason.EXCLUDED, WaitReason.NO_MODEL})
# Fraction of an upstream's connection limit that all VMs use together.
CONNECTION_SHARE = 0.9


@dataclass(slots=True, kw_only=True, frozen=True)
class Placement:
    """The instance chosen for one attempt, and the options of that attempt.

    Attributes
    ----------
    uncached_tokens, memory_tokens : int
        Prompt tokens that the engine has to prefill, and tokens of KV cache for the
        prompt and the output.
    weights : int or None
        Version of the instance's weights; None for a plain service.
    uncached_segments : tuple of PromptSegment
        Shared segments that the engine has to prefill.
    fetch_from : str or None
        Address of the cache from which further leading segments are copied.
    save_to : str or None
        Address of the cache store to which the shared segments are copied.
    backup : Instance or None
        Engine that receives a backup of the run while it proceeds.
    continue_at : str or None
        Address of the engine whose backup of the run is continued.
    """

    instance: Instance
    expected_s: float = 0.0
    uncached_tokens: int = 0
    memory_tokens: int = 0
    uncached_segments: tuple[PromptSegment, ...] = ()
    weights: int | None = None
    namespace: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    backup: Instance | None = None
    continue_at: str | None = None


class Placer:
    """Chooses instances for calls.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    weights_limit_s : float
        Time after which no request may start on weights that were replaced.
    rng : random.Random
        Source of the samples of engines.

    Attributes
    ----------
    fleet : Fleet
        Size and traffic of all VMs; the owner keeps it up to date.
    long_prompts_accept_backlog : bool
        Whether long prompts that have waited accept backlog where they are cached.
    pace : UpstreamPace
        What the upstreams stated, and how they respond.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        data_centre: str,
        weights_limit_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.clock = clock
        self.rates: dict[str, PrefillRate] = {}
        self.fleet = Fleet()
        self.long_prompts_accept_backlog = True
        self.pace = UpstreamPace(view=view, fleet=self.fleet, clock=clock, rng=rng)
        self.lookup = CacheLookup(view=view, clock=clock)
        self.engines = EngineCandidates(
            view=view,
            lookup=self.lookup,
            fleet=self.fleet,
            data_centre=data_centre,
            weights_usable_s=weights_limit_s - OLD_WEIGHTS_MARGIN_S,
            clock=clock,
            rng=rng,
        )

    def prefill_rate(self, service: str) -> PrefillRate:
        """Return the measured prefill rate of a service's engines."""
        return self.rates.setdefault(service, PrefillRate())

    def has_instances(self, call: Call) -> bool:
        """Return whether any instance of the service is registered."""
        return bool(self.view.registry.of_service(call.service))

    def may_fit(self, call: Call) -> bool:
        """Return whether any instance may take a call; False if all engines are full.

        Costs a fraction of a placement that fails.
        """
        configuration = self.view.configuration
        service = configuration.services.get(call.service) if configuration else None
        if service is None or service.engine is None or call.request.model is None:
            return True
        return self.engines.any_accepts(call, service.engine)

    def place(self, call: Call) -> Placement | NoPlacement:
        """Return the placement of a call, or why it has to wait."""
        configuration = self.view.configuration
        service = configuration.services.get(call.service) if configuration else None
        if service is None:
            return NoPlacement()
        blocked: Counter[WaitReason] = Counter()
        candidates = self._available_instances(call, service, blocked)
        if service.engine is not None and call.request.model is not None:
            result = self._place_generation(call, service.engine, candidates, blocked)
        else:
            result = self._place_plain(call, candidates, blocked)
        if isinstance(result, NoPlacement):
            result.reasons.update(blocked)
            result.retry_at = self._retry_at(call, result)
        return result

    def _retry_at(self, call: Call, result: NoPlacement) -> float | None:
        """Return when the first instance may take a call, if all stated a time."""
        blocking = {reason for reason, count in result.reasons.items() if count}
        if blocking - LASTING_REASONS != {WaitReason.RETRY_LATER}:
            return None
        loads, now = self.view.loads, self.clock()
        pauses = (
            loads.of(instance.name).paused_until
            for instance in self.view.registry.of_service(call.service)
            if instance.name not in call.excluded_instances
            and loads.of(instance.name).paused_until > now
        )
        # The last pause may have ended since the reasons were found.
        return min(pauses, default=None)

    def _available_instances(
        self, call: Call, service: Service, blocked: Counter[WaitReason]
    ) -> list[tuple[Instance, InstanceLoad]]:
        """Return the instances that take requests; count the others as blocked."""
        now = self.clock()
        connections = max(
            1, int(CONNECTION_SHARE * service.max_connections / self.fleet.vms)
        )
        limits = self.pace.limits
        available = []
        for instance in self.view.registry.of_service(service.name):
            load = self.view.loads.of(instance.name)
            reason = load.wait_reason(now=now)
            if instance.name in call.excluded_instances:
                reason = WaitReason.EXCLUDED
            elif reason is None and len(load.work) >= connections:
                reason = WaitReason.NO_CONNECTION
            elif reason is None and limits.shares and not limits.may_send(instance):
                reason = WaitReason.AT_LIMIT
            if reason is None:
                available.append((instance, load))
            else:
                blocked[reason] += 1
        return available

    def _place_plain(
        self,
        call: Call,
        candidates: list[tuple[Instance, InstanceLoad]],
        blocked: Counter[WaitReason],
    ) -> Placement | NoPlacement:
        now = self.clock()
        if self.pace.slow_starts.is_active():
            sizes = {instance.name: WorkSize.SHORT for instance, _ in candidates}
            held = self.pace.slow_starts.held_back(call.service, sizes)
            candidates = [item for item in candidates if item[0].name not in held]
            if held:
                blocked[WaitReason.WARMING] += len(held)
        states = [
            UpstreamState(
                name=instance.name,
                local=instance.data_centre == self.data_centre,
                requests=self.view.loads.total(instance.name).requests,
                slots=instance.slots,
                slowdown=load.current_slowdown(now=now),
            )
            for instance, load in candidates
        ]
        choice = choose_upstream(states)
        if isinstance(choice, NoPlacement):
            return choice
        instance = self.view.registry.get(choice)
        return Placement(instance=instance) if instance is not None else NoPlacement()

    def _place_generation(
        self,
        call: Call,
        limits: EngineLimits,
        candidates: list[tuple[Instance, InstanceLoad]],
        blocked: Counter[WaitReason],
    ) -> Placement | NoPlacement:
        usable = self.engines.usable_engines(call, candidates, blocked)
        sources: dict[str, CopySources] = {}
        if self.pace.slow_starts.is_active():
            sizes = {item.instance.name: self._work_size(call, item) for item in usable}
            held = self.pace.slow_starts.held_back(call.service, sizes)
            usable = [item for item in usable if item.instance.name not in held]
            if held:
                blocked[WaitReason.WARMING] += len(held)
        for sample in self.engines.samples(call, limits, usable):
            # At peak load most engines are full, and waiting calls are tried again many
            # times a second: their prompt is looked up only where there is room.
            lacking = self.engines.lacking_everywhere(call, limits, sample)
            if lacking is not None:
                blocked.update(lacking)
                continue
            result = self._place_on(call, limits, sample, sources)
            if isinstance(result, Placement):
                return result
            blocked.update(result.reasons)
        # The caller adds what blocks the instances.
        return NoPlacement()

    def _work_size(self, call: Call, item: UsableEngine) -> WorkSize:
        """Return the size of a prompt for an engine in slow start."""
        request = call.request
        if request.prompt_tokens < LONG_PROMPT_TOKENS:
            return WorkSize.SHORT
        cached = self.lookup.leading_tokens(
            item.instance.name,
            self.engines.namespace(call, item.version),
            request.prompt,
        )
        uncached = request.prompt_tokens - cached
        return WorkSize.CACHED if uncached < LONG_PROMPT_TOKENS else WorkSize.LONG

    def _place_on(
        self,
        call: Call,
        limits: EngineLimits,
        engines: list[UsableEngine],
        sources: dict[str, CopySources],
    ) -> Placement | NoPlacement:
        """Return the placement on the best of some engines.

        Parameters
        ----------
        sources : dict of str to CopySources
            Where the prompt is cached, by namespace; missing ones are added.
        """
        request = call.request
        preferred = self.engines.preferred_engine(
            call, [item.instance for item in engines]
        )
        states: list[EngineState] = []
        by_name: dict[str, Candidate] = {}
        for item in engines:
            namespace = self.engines.namespace(call, item.version)
            if namespace not in sources:
                sources[namespace] = self.lookup.sources(call, namespace, limits)
            candidate = self.engines.candidate(
                call, item, namespace, sources[namespace]
            )
            by_name[item.instance.name] = candidate
            states.append(
                self.engines.engine_state(
                    call, limits, item, candidate, preferred=preferred
                )
            )
        prompt = Prompt(
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            target_s=call.route.target_s,
            shared_tokens=_uncached_everywhere(request.prompt, states),
            waited_s=max(0.0, self.clock() - request.received_at),
            accepts_backlog=self.long_prompts_accept_backlog,
        )
        choice = choose_engine(states, prompt, rate=self.prefill_rate(call.service))
        if isinstance(choice, NoPlacement):
            return choice
        candidate = by_name[choice.engine]
        placement = self._placement(call, choice, candidate)
        if not should_back_up(call):
            return placement
        backup = self._choose_backup(choice, states, by_name)
        return replace(placement, backup=backup)

    def _choose_backup(
        self, choice: Choice, states: list[EngineState], by_name: dict[str, Candidate]
    ) -> Instance | None:
        chosen = by_name[choice.engine]
        engines = [
            BackupEngine(
                name=state.name,
                same_data_centre=by_name[state.name].instance.data_centre
                == chosen.instance.data_centre,
                free_tokens=state.cache_tokens - state.memory_tokens,
            )
            for state in states
            if state.name != choice.engine
            and by_name[state.name].version == chosen.version
        ]
        name = choose_backup(engines)
        return by_name[name].instance if name is not None else None

    def _placement(self, call: Call, choice: Choice, candidate: Candidate) -> Placement:
        request = call.request
        return Placement(
            instance=candidate.instance,
            uncached_segments=tuple(
                uncached_shared(request.prompt, candidate.reusable_tokens)
            ),
            expected_s=choice.expected_s,
            uncached_tokens=choice.uncached_tokens,
            memory_tokens=request.total_tokens,
            weights=candidate.version,
            namespace=candidate.namespace,
            fetch_from=candidate.source.address,
            save_to=self.lookup.save_address(call, candidate.namespace),
        )

    def idle_first_byte_s(self, call: Call) -> float:
        """Return the expected time to the first byte on an idle instance."""
        if not call.route.generates:
            return 0.0
        tokens = call.request.prompt[-1].tokens if call.request.prompt else 0
        return BASE_LATENCY_S + tokens / self.prefill_rate(call.service).tokens_per_s


def _uncached_everywhere(
    segments: list[PromptSegment], engines: list[EngineState]
) -> int:
    """Return the shared tokens of a prompt that no engine has or can copy."""
    shared = sum(segment.tokens for segment in segments[:-1])
    known = max(
        (max(engine.cached_tokens, engine.fetch_tokens) for engine in engines),
        default=0,
    )
    return max(0, shared - known)
