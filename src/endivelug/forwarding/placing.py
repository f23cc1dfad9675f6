"""Collects what is known of a service's instances and chooses one for a call."""

from collections.abc import Callable
from dataclasses import dataclass

from endivelug import _rendezvous
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
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
# A transfer goes through two links; set-up takes about this long.
FETCH_SETUP_S = 0.01


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


@dataclass(slots=True, kw_only=True, frozen=True)
class _Source:
    address: str | None = None
    tokens: int = 0
    seconds: float = 0.0


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
        self.stores_avoided: dict[str, float] = {}

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
        details: dict[str, tuple[Instance, int, str, _Source]] = {}
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
            source = self._source(call, instance, namespace, limits)
            total = load.total(instance.name, now=now)
            details[instance.name] = (instance, version, namespace, source)
            held = self._held(instance.name, namespace, request.prompt)
            covered = max(held, source.tokens)
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
            target_left_s=call.target_at - now,
        )
        choice = choose_engine(states, prompt, rate=self.rate_of(call.service))
        if choice is None:
            return None
        return self._placement(call, choice, details[choice.engine])

    def _placement(
        self,
        call: Call,
        choice: Choice,
        details: tuple[Instance, int, str, _Source],
    ) -> Placement:
        instance, version, namespace, source = details
        request = call.request
        covered = max(
            self._held(instance.name, namespace, request.prompt), source.tokens
        )
        return Placement(
            instance=instance,
            reads=tuple(_missing_shared(request.prompt, covered)),
            expected_s=choice.expected_s,
            missing_tokens=choice.missing_tokens,
            memory_tokens=request.prompt_tokens + request.output_tokens,
            weights=version,
            namespace=namespace,
            fetch_from=source.address,
            save_to=self._save_to(call, namespace),
        )

    def _namespace(self, call: Call, version: int) -> str:
        # An isolated organisation shares no cached part; the others share theirs.
        organisation = call.organisation
        owner = ""
        if organisation is not None and organisation.isolated:
            owner = organisation.name
        return f"{call.request.model}/{version}/{owner}"

    def _save_to(self, call: Call, namespace: str) -> str | None:
        store = self.view.cache_store()
        if store is None or self.clock() < self.stores_avoided.get(store.address, 0.0):
            return None
        # The last part belongs to one request or session; keeping it is not worth the
        # room that shared parts need.
        shared = call.request.prompt[:-1]
        if sum(part.tokens for part in shared) < SAVE_TOKENS:
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

    def _source(
        self, call: Call, instance: Instance, namespace: str, limits: EngineLimits
    ) -> _Source:
        """Return the best holder to copy leading parts from."""
        parts = call.request.prompt
        best = _Source()
        if not parts or limits.token_bytes <= 0:
            return best
        own = self.view.caches.held_tokens(
            instance.name, namespace=namespace, parts=parts
        )
        store = self.view.cache_store()
        now = self.clock()
        if store is not None and now >= self.stores_avoided.get(store.address, 0.0):
            if call.request.prompt_tokens >= ALWAYS_FETCH_TOKENS:
                # A router that has just started does not know what the store holds.
                best = _Source(address=store.address)
            best = self._better(
                best,
                holder=store.address,
                address=store.address,
                mbps=min(store.link_mbps, limits.link_mbps),
                far=store.data_centre != instance.data_centre,
                own=own,
                namespace=namespace,
                call=call,
                limits=limits,
            )
        for other in self.view.registry.of_service(instance.service):
            if other.name == instance.name:
                continue
            load = self.view.loads.of(other.name)
            if load.silent or now < load.avoid_until:
                continue
            best = self._better(
                best,
                holder=other.name,
                address=other.address,
                mbps=limits.link_mbps,
                far=other.data_centre != instance.data_centre,
                own=own,
                namespace=namespace,
                call=call,
                limits=limits,
            )
        return best

    def _better(
        self,
        best: _Source,
        *,
        holder: str,
        address: str,
        mbps: float,
        far: bool,
        own: int,
        namespace: str,
        call: Call,
        limits: EngineLimits,
    ) -> _Source:
        tokens = self.view.caches.held_tokens(
            holder, namespace=namespace, parts=call.request.prompt
        )
        if tokens <= own:
            return best
        bits = (tokens - own) * limits.token_bytes * 8
        seconds = FETCH_SETUP_S + bits / (mbps * 1e6) * (2.0 if far else 1.0)
        source = _Source(address=address, tokens=tokens, seconds=seconds)
        if best.address is None or tokens > best.tokens:
            return source
        if tokens == best.tokens and seconds < best.seconds:
            return source
        return best


def _missing_shared(parts: list[PromptPart], covered: int) -> list[PromptPart]:
    """Return the shared parts beyond the leading tokens that are covered."""
    missing, tokens = [], 0
    for part in parts[:-1]:
        tokens += part.tokens
        if tokens > covered:
            missing.append(part)
    return missing
