"""Collects what is known of a service's instances and chooses one for a call."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from endivelug import _rendezvous
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.copy_sources import CopySource, CopySources, Holder
from endivelug.forwarding.engine_choice import (
    BASE_S,
    Choice,
    EngineState,
    Prompt,
    ReadingRate,
    choose_engine,
)
from endivelug.forwarding.engine_load import InstanceLoad
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.prompt_cache import PromptPart
from endivelug.forwarding.routes import EngineLimits, Service
from endivelug.forwarding.run_backup import BackupEngine, choose_backup, wants_backup
from endivelug.forwarding.upstream_choice import UpstreamState, choose_upstream

# An engine with old weights gets no request from this long before the last moment at
# which one may still begin there.
OLD_WEIGHTS_MARGIN_S = 2.0
# Part of an upstream's connections that all VMs use together.
CONNECTION_SHARE = 0.9
# Prompts of this size are looked up in the store even where it is not known to hold
# them: a miss costs a millisecond.
ALWAYS_FETCH_TOKENS = 1000
# Shared parts below this size are read faster than they are copied.
SAVE_TOKENS = 1000
LONG_PART_TOKENS = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class Placement:
    """The instance chosen for one send.

    Attributes
    ----------
    weights : int or None
        Version of the weights that it has.
    reads : tuple of PromptPart
        Shared parts that the engine has to read.
    fetch_from : str or None
        Address of the holder of further leading parts of the prompt.
    backup : Instance or None
        Engine that gets a copy of the run as it grows.
    continue_at : str or None
        Address of the copy from which the run goes on.
    """

    instance: Instance
    expected_s: float = 0.0
    missing_tokens: int = 0
    memory_tokens: int = 0
    reads: tuple[PromptPart, ...] = ()
    weights: int | None = None
    namespace: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    backup: Instance | None = None
    continue_at: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class _Candidate:
    """An engine that may get a call, with what it holds or can copy of the prompt."""

    instance: Instance
    version: int
    namespace: str
    source: CopySource
    covered: int


class Placer:
    """Chooses instances for calls.

    Parameters
    ----------
    data_centre : str
        Where this VM is.
    weights_limit_s : float
        Time after which no request may begin on weights that were replaced.
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
        self.rates: dict[str, ReadingRate] = {}

    def rate_of(self, service: str) -> ReadingRate:
        """Return the measured reading rate of a service's engines."""
        return self.rates.setdefault(service, ReadingRate())

    def exists(self, call: Call) -> bool:
        """Return whether any instance of the service is registered."""
        return bool(self.view.registry.of_service(call.service))

    def place(self, call: Call) -> Placement | None:
        """Return where to send a call now, or None where it has to wait."""
        configuration = self.view.configuration
        service = configuration.services.get(call.service) if configuration else None
        if service is None:
            return None
        candidates = self._candidates(call, service)
        if service.engine is not None and call.request.model is not None:
            return self._place_generation(call, service.engine, candidates)
        return self._place_plain(candidates)

    def _candidates(
        self, call: Call, service: Service
    ) -> list[tuple[Instance, InstanceLoad]]:
        now = self.clock()
        connections = max(1, int(CONNECTION_SHARE * service.max_connections / self.vms))
        found = []
        for instance in self.view.registry.of_service(service.name):
            load = self.view.loads.of(instance.name)
            if not load.takes_work(now=now):
                continue
            if len(load.work) >= connections or instance.name in call.left_out:
                continue
            found.append((instance, load))
        return found

    def _place_plain(
        self, candidates: list[tuple[Instance, InstanceLoad]]
    ) -> Placement | None:
        now = self.clock()
        states = [
            UpstreamState(
                name=instance.name,
                local=instance.data_centre == self.data_centre,
                requests=load.total(instance.name, now=now).requests,
                slots=instance.slots,
                slowness=load.current_slowness(now=now),
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
        wanted = self.view.weights.get(request.model)
        home = self._home(call, candidates)
        states: list[EngineState] = []
        details: dict[str, _Candidate] = {}
        sources: dict[str, CopySources] = {}
        for instance, load in candidates:
            version = self.view.weights_of(instance, request.model)
            if version is None:
                continue
            current = wanted is None or version >= wanted.version
            outdated_at = wanted.outdated_at(version) if wanted else None
            last_s = self.weights_limit_s - OLD_WEIGHTS_MARGIN_S
            if outdated_at is not None and now >= outdated_at + last_s:
                continue
            namespace = self._namespace(call, version)
            if namespace not in sources:
                sources[namespace] = self._sources(call, namespace, limits)
            source = sources[namespace].best_for(
                address=instance.address,
                data_centre=instance.data_centre,
                held=self.view.caches.held_tokens(
                    instance.name, namespace=namespace, parts=request.prompt
                ),
            )
            total = load.total(instance.name, now=now)
            held = self._held(instance.name, namespace, request.prompt)
            covered = max(held, source.tokens)
            details[instance.name] = _Candidate(
                instance=instance,
                version=version,
                namespace=namespace,
                source=source,
                covered=covered,
            )
            states.append(
                EngineState(
                    name=instance.name,
                    local=instance.data_centre == self.data_centre,
                    current=current,
                    requests=total.requests,
                    backlog_tokens=total.missing_tokens,
                    memory_tokens=total.memory_tokens,
                    slots=limits.slots,
                    cache_tokens=limits.cache_tokens,
                    held_tokens=held,
                    fetch_tokens=source.tokens,
                    fetch_s=source.seconds,
                    slowness=load.current_slowness(now=now),
                    home=instance.name == home,
                    read_elsewhere=self._read_elsewhere(
                        instance.name, namespace, request.prompt, covered
                    ),
                )
            )
        prompt = Prompt(
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            target_s=call.route.target_s,
        )
        choice = choose_engine(states, prompt, rate=self.rate_of(call.service))
        if choice is None:
            return None
        candidate = details[choice.engine]
        placement = self._placement(call, choice, candidate)
        if not wants_backup(call):
            return placement
        others = [
            BackupEngine(
                name=state.name,
                near=details[state.name].instance.data_centre
                == candidate.instance.data_centre,
                free_tokens=state.cache_tokens - state.memory_tokens,
            )
            for state in states
            if state.name != choice.engine
            and details[state.name].version == candidate.version
        ]
        name = choose_backup(others)
        if name is None:
            return placement
        return replace(placement, backup=details[name].instance)

    def _placement(
        self, call: Call, choice: Choice, candidate: _Candidate
    ) -> Placement:
        request = call.request
        return Placement(
            instance=candidate.instance,
            reads=tuple(_missing_shared(request.prompt, candidate.covered)),
            expected_s=choice.expected_s,
            missing_tokens=choice.missing_tokens,
            memory_tokens=request.prompt_tokens + request.output_tokens,
            weights=candidate.version,
            namespace=candidate.namespace,
            fetch_from=candidate.source.address,
            save_to=self._save_to(call, candidate.namespace),
        )

    def _namespace(self, call: Call, version: int) -> str:
        # An isolated organisation shares no cached part; the others share theirs.
        organisation = call.organisation
        owner = ""
        if organisation is not None and organisation.isolated:
            owner = organisation.name
        return f"{call.request.model}/{version}/{owner}"

    def _save_to(self, call: Call, namespace: str) -> str | None:
        # The last part belongs to one request or session; keeping it is not worth the
        # room that shared parts need.
        shared = call.request.prompt[:-1]
        if sum(part.tokens for part in shared) < SAVE_TOKENS:
            return None
        store = self.view.cache_store_of(shared[0].part)
        if store is None:
            return None
        held = self.view.caches.held_tokens(
            store.address, namespace=namespace, parts=shared
        )
        total = sum(part.tokens for part in shared)
        return None if held >= total else store.address

    def _held(self, name: str, namespace: str, parts: list[PromptPart]) -> int:
        """Return the leading tokens that an engine holds or is reading."""
        caches, now, tokens = self.view.caches, self.clock(), 0
        for part in parts:
            held = caches.held_tokens(name, namespace=namespace, parts=[part])
            reader = caches.reader_of(namespace=namespace, part=part.part, now=now)
            if not held and reader != name:
                break
            tokens += part.tokens
        return tokens

    def _read_elsewhere(
        self, name: str, namespace: str, parts: list[PromptPart], covered: int
    ) -> bool:
        """Return whether another engine reads a shared part that this one lacks."""
        now = self.clock()
        for part in _missing_shared(parts, covered):
            if part.tokens < LONG_PART_TOKENS:
                continue
            reader = self.view.caches.reader_of(
                namespace=namespace, part=part.part, now=now
            )
            if reader is not None and reader != name:
                return True
        return False

    def _home(
        self, call: Call, candidates: list[tuple[Instance, InstanceLoad]]
    ) -> str | None:
        """Return the engine on which routers agree for a long shared prompt."""
        parts = call.request.prompt
        if not parts or parts[0].tokens < LONG_PART_TOKENS or not candidates:
            return None
        names = [instance.name for instance, _ in candidates]
        return _rendezvous.owner(f"prompt:{parts[0].part}", names)

    def need_s(self, call: Call) -> float:
        """Return the expected time to the first byte on an idle instance."""
        if not call.route.generates:
            return 0.0
        tokens = call.request.prompt[-1].tokens if call.request.prompt else 0
        return BASE_S + tokens / self.rate_of(call.service).tokens_per_s

    def _sources(self, call: Call, namespace: str, limits: EngineLimits) -> CopySources:
        """Return who holds leading parts of a prompt."""
        parts, now = call.request.prompt, self.clock()
        sources = CopySources(token_bytes=limits.token_bytes, fallback=None)
        if not parts or limits.token_bytes <= 0:
            return sources
        held_tokens = self.view.caches.held_tokens
        store = self.view.cache_store_of(parts[0].part)
        if store is not None:
            if call.request.prompt_tokens >= ALWAYS_FETCH_TOKENS:
                # A router that has just started does not know what the store holds.
                sources.fallback = store.address
            sources.add(
                Holder(
                    address=store.address,
                    data_centre=store.data_centre,
                    mbps=min(store.link_mbps, limits.link_mbps),
                    tokens=held_tokens(store.address, namespace=namespace, parts=parts),
                    store=True,
                )
            )
        for other in self.view.registry.of_service(call.service):
            load = self.view.loads.of(other.name)
            if load.silent or now < load.avoid_until:
                continue
            sources.add(
                Holder(
                    address=other.address,
                    data_centre=other.data_centre,
                    mbps=limits.link_mbps,
                    tokens=held_tokens(other.name, namespace=namespace, parts=parts),
                )
            )
        return sources


def _missing_shared(parts: list[PromptPart], covered: int) -> list[PromptPart]:
    """Return the shared parts beyond the leading tokens that are covered."""
    missing, tokens = [], 0
    for part in parts[:-1]:
        tokens += part.tokens
        if tokens > covered:
            missing.append(part)
    return missing
