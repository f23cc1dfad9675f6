"""Selects an instance for a call from the loads, weights and caches of a service."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from endivelug import _rendezvous
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.copy_sources import CacheLocation, CopySource, CopySources
from endivelug.forwarding.engine_choice import (
    BASE_LATENCY_S,
    Choice,
    EngineState,
    PrefillRate,
    Prompt,
    choose_engine,
)
from endivelug.forwarding.instance_load import InstanceLoad
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.routes import EngineLimits, Service
from endivelug.forwarding.run_backup import BackupEngine, choose_backup, should_back_up
from endivelug.forwarding.upstream_choice import UpstreamState, choose_upstream

# No request is sent to an engine with outdated weights within this time before the
# limit after which no request may start on them.
OLD_WEIGHTS_MARGIN_S = 2.0
# Fraction of an upstream's connection limit that all VMs use together.
CONNECTION_SHARE = 0.9
# Prompts of at least this size are fetched from the cache store even if it is not known
# to cache them: a miss costs a millisecond.
SPECULATIVE_FETCH_MIN_TOKENS = 1000
# Shared segments with fewer tokens in total are prefilled faster than copied, so they
# are not saved to the cache store.
MIN_SAVE_TOKENS = 1000
# Only segments of at least this size get a preferred engine, and only these keep a call
# waiting while another engine prefills them.
LONG_SEGMENT_TOKENS = 1000


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


@dataclass(slots=True, kw_only=True, frozen=True)
class _Candidate:
    """An engine that may serve a call.

    ``reusable_tokens`` are the leading tokens that it caches, prefills or can copy.
    """

    instance: Instance
    version: int
    namespace: str
    source: CopySource
    reusable_tokens: int


class Placer:
    """Chooses instances for calls.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    weights_limit_s : float
        Time after which no request may start on weights that were replaced.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        data_centre: str,
        weights_limit_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.weights_limit_s = weights_limit_s
        self.clock = clock
        self.vms = 1
        self.rates: dict[str, PrefillRate] = {}

    def prefill_rate(self, service: str) -> PrefillRate:
        """Return the measured prefill rate of a service's engines."""
        return self.rates.setdefault(service, PrefillRate())

    def has_instances(self, call: Call) -> bool:
        """Return whether any instance of the service is registered."""
        return bool(self.view.registry.of_service(call.service))

    def place(self, call: Call) -> Placement | None:
        """Return the placement of a call, or None if it has to wait."""
        configuration = self.view.configuration
        service = configuration.services.get(call.service) if configuration else None
        if service is None:
            return None
        candidates = self._available_instances(call, service)
        if service.engine is not None and call.request.model is not None:
            return self._place_generation(call, service.engine, candidates)
        return self._place_plain(candidates)

    def _available_instances(
        self, call: Call, service: Service
    ) -> list[tuple[Instance, InstanceLoad]]:
        now = self.clock()
        connections = max(1, int(CONNECTION_SHARE * service.max_connections / self.vms))
        available = []
        for instance in self.view.registry.of_service(service.name):
            load = self.view.loads.of(instance.name)
            if not load.accepts_requests(now=now):
                continue
            if (
                len(load.work) >= connections
                or instance.name in call.excluded_instances
            ):
                continue
            available.append((instance, load))
        return available

    def _place_plain(
        self, candidates: list[tuple[Instance, InstanceLoad]]
    ) -> Placement | None:
        now = self.clock()
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
        name = choose_upstream(states)
        instance = self.view.registry.get(name) if name is not None else None
        return Placement(instance=instance) if instance is not None else None

    def _place_generation(
        self,
        call: Call,
        limits: EngineLimits,
        candidates: list[tuple[Instance, InstanceLoad]],
    ) -> Placement | None:
        now = self.clock()
        request = call.request
        assert request.model is not None
        desired = self.view.desired_weights.get(request.model)
        preferred = self._preferred_engine(call, candidates)
        states: list[EngineState] = []
        by_name: dict[str, _Candidate] = {}
        sources: dict[str, CopySources] = {}
        for instance, load in candidates:
            version = self.view.weights_of(instance, request.model)
            if version is None:
                continue
            current = desired is None or version >= desired.version
            outdated_at = desired.outdated_at(version) if desired else None
            usable_s = self.weights_limit_s - OLD_WEIGHTS_MARGIN_S
            if outdated_at is not None and now >= outdated_at + usable_s:
                continue
            namespace = self._namespace(call, version)
            if namespace not in sources:
                sources[namespace] = self._sources(call, namespace, limits)
            source = sources[namespace].best_for(
                address=instance.address,
                data_centre=instance.data_centre,
                cached_tokens=self.view.caches.cached_tokens(
                    instance.name, namespace=namespace, segments=request.prompt
                ),
            )
            total = self.view.loads.total(instance.name)
            cached = self._leading_tokens(instance.name, namespace, request.prompt)
            reusable_tokens = max(cached, source.tokens)
            by_name[instance.name] = _Candidate(
                instance=instance,
                version=version,
                namespace=namespace,
                source=source,
                reusable_tokens=reusable_tokens,
            )
            states.append(
                EngineState(
                    name=instance.name,
                    local=instance.data_centre == self.data_centre,
                    current=current,
                    requests=total.requests,
                    backlog_tokens=total.uncached_tokens,
                    memory_tokens=total.memory_tokens,
                    slots=limits.slots,
                    cache_tokens=limits.cache_tokens,
                    cached_tokens=cached,
                    fetch_tokens=source.tokens,
                    fetch_s=source.seconds,
                    slowdown=load.current_slowdown(now=now),
                    preferred=instance.name == preferred,
                    prefilling_elsewhere=self._is_prefilling_elsewhere(
                        instance.name, namespace, request.prompt, reusable_tokens
                    ),
                )
            )
        prompt = Prompt(
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            target_s=call.route.target_s,
        )
        choice = choose_engine(states, prompt, rate=self.prefill_rate(call.service))
        if choice is None:
            return None
        candidate = by_name[choice.engine]
        placement = self._placement(call, choice, candidate)
        if not should_back_up(call):
            return placement
        backups = [
            BackupEngine(
                name=state.name,
                same_data_centre=by_name[state.name].instance.data_centre
                == candidate.instance.data_centre,
                free_tokens=state.cache_tokens - state.memory_tokens,
            )
            for state in states
            if state.name != choice.engine
            and by_name[state.name].version == candidate.version
        ]
        name = choose_backup(backups)
        if name is None:
            return placement
        return replace(placement, backup=by_name[name].instance)

    def _placement(
        self, call: Call, choice: Choice, candidate: _Candidate
    ) -> Placement:
        request = call.request
        return Placement(
            instance=candidate.instance,
            uncached_segments=tuple(
                _uncached_shared(request.prompt, candidate.reusable_tokens)
            ),
            expected_s=choice.expected_s,
            uncached_tokens=choice.uncached_tokens,
            memory_tokens=request.prompt_tokens + request.output_tokens,
            weights=candidate.version,
            namespace=candidate.namespace,
            fetch_from=candidate.source.address,
            save_to=self._save_address(call, candidate.namespace),
        )

    def _namespace(self, call: Call, version: int) -> str:
        # An isolated organisation has its own cache namespace; all others share one.
        organisation = call.organisation
        owner = ""
        if organisation is not None and organisation.isolated:
            owner = organisation.name
        return f"{call.request.model}/{version}/{owner}"

    def _save_address(self, call: Call, namespace: str) -> str | None:
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

    def _leading_tokens(
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

    def _is_prefilling_elsewhere(
        self, engine: str, namespace: str, segments: list[PromptSegment], reusable: int
    ) -> bool:
        """Return whether another engine prefills a long shared segment missing here."""
        now = self.clock()
        for segment in _uncached_shared(segments, reusable):
            if segment.tokens < LONG_SEGMENT_TOKENS:
                continue
            prefilling = self.view.caches.prefilling_engine(
                namespace=namespace, segment_id=segment.segment_id, now=now
            )
            if prefilling is not None and prefilling != engine:
                return True
        return False

    def _preferred_engine(
        self, call: Call, candidates: list[tuple[Instance, InstanceLoad]]
    ) -> str | None:
        """Return the engine that all routers prefer for a long first segment."""
        segments = call.request.prompt
        if not segments or segments[0].tokens < LONG_SEGMENT_TOKENS or not candidates:
            return None
        names = [instance.name for instance, _ in candidates]
        return _rendezvous.owner(f"prompt:{segments[0].segment_id}", names)

    def idle_first_byte_s(self, call: Call) -> float:
        """Return the expected time to the first byte on an idle instance."""
        if not call.route.generates:
            return 0.0
        tokens = call.request.prompt[-1].tokens if call.request.prompt else 0
        return BASE_LATENCY_S + tokens / self.prefill_rate(call.service).tokens_per_s

    def _sources(self, call: Call, namespace: str, limits: EngineLimits) -> CopySources:
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
        for other in self.view.registry.of_service(call.service):
            load = self.view.loads.of(other.name)
            if load.silent or now < load.avoid_until:
                continue
            sources.add(
                CacheLocation(
                    address=other.address,
                    data_centre=other.data_centre,
                    mbps=limits.link_mbps,
                    tokens=cached(other.name, namespace=namespace, segments=segments),
                )
            )
        return sources


def _uncached_shared(
    segments: list[PromptSegment], reusable: int
) -> list[PromptSegment]:
    """Return the shared segments that extend beyond the reusable leading tokens."""
    uncached, tokens = [], 0
    for segment in segments[:-1]:
        tokens += segment.tokens
        if tokens > reusable:
            uncached.append(segment)
    return uncached
