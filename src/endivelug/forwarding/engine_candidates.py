"""The engines that may serve a generation, and what is known of each."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from endivelug import _rendezvous
from endivelug.forwarding.cache_lookup import LONG_SEGMENT_TOKENS, CacheLookup
from endivelug.forwarding.calls import Call
from endivelug.forwarding.candidate_sampling import (
    draw_samples,
    sample_size,
    unseen_requests,
)
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.copy_sources import CopySource, CopySources
from endivelug.forwarding.engine_choice import EngineState, lacking_capacity
from endivelug.forwarding.instance_load import InstanceLoad
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.routes import EngineLimits
from endivelug.forwarding.wait_reasons import WaitReason

# Samples of engines that are weighed for one request before it waits.
MAX_SAMPLES = 3


# Not frozen, nor is ``UsableEngine``: they are built for each engine and placement, and
# building a frozen data class takes twice as long.
@dataclass(slots=True, kw_only=True)
class Candidate:
    """An engine that may serve a call.

    Attributes
    ----------
    cached_tokens, reusable_tokens : int
        Leading tokens that it caches or prefills, and those that it can copy as well.
    """

    instance: Instance
    version: int
    namespace: str
    source: CopySource
    cached_tokens: int
    reusable_tokens: int


@dataclass(slots=True, kw_only=True)
class UsableEngine:
    """An engine that accepts requests, and whether its weights are the desired ones."""

    instance: Instance
    load: InstanceLoad
    version: int
    current: bool


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Size and traffic of all VMs together.

    Attributes
    ----------
    vms : int
        Number of live VMs.
    requests_per_s : callable
        Returns the rate of the requests of all VMs to a service.
    """

    vms: int = 1
    requests_per_s: Callable[[str], float] = lambda service: 0.0


class EngineCandidates:
    """Finds the engines for a call, and describes them for the choice.

    Parameters
    ----------
    weights_usable_s : float
        Time for which weights may be used after newer ones were announced.
    rng : random.Random
        Source of the samples of engines.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        lookup: CacheLookup,
        fleet: Fleet,
        data_centre: str,
        weights_usable_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.lookup = lookup
        self.fleet = fleet
        self.data_centre = data_centre
        self.weights_usable_s = weights_usable_s
        self.clock = clock
        self.rng = rng

    def usable_engines(
        self,
        call: Call,
        candidates: list[tuple[Instance, InstanceLoad]],
        blocked: Counter[WaitReason],
    ) -> list[UsableEngine]:
        """Return the engines whose weights can be used; count the others as blocked."""
        model, now = call.request.model or "", self.clock()
        desired = self.view.desired_weights.get(model)
        usable = []
        for instance, load in candidates:
            version = self.view.weights_of(instance, model)
            if version is None:
                blocked[WaitReason.NO_MODEL] += 1
            elif desired and now >= desired.expires_at(
                version, after_s=self.weights_usable_s
            ):
                blocked[WaitReason.OUTDATED] += 1
            else:
                usable.append(
                    UsableEngine(
                        instance=instance,
                        load=load,
                        version=version,
                        current=desired is None or version >= desired.version,
                    )
                )
        return usable

    def samples(
        self, call: Call, limits: EngineLimits, usable: list[UsableEngine]
    ) -> list[list[UsableEngine]]:
        """Return the engines to weigh, in samples of which the first that fits is used.

        Engines that a long prompt should go to belong to the first sample.
        """
        size = sample_size(
            engines=len(usable),
            slots=limits.slots,
            unseen=unseen_requests(
                requests_per_s=self.fleet.requests_per_s(call.service),
                vms=self.fleet.vms,
            ),
        )
        if size >= len(usable):
            return [usable]
        wanted = self._wanted_engines(call, usable)
        rest = [item for item in usable if item.instance.name not in wanted]
        samples = draw_samples(
            rest,
            size=size,
            is_local=lambda item: item.instance.data_centre == self.data_centre,
            rng=self.rng,
        )[:MAX_SAMPLES]
        first = [item for item in usable if item.instance.name in wanted]
        if not samples:
            return [first]
        return [[*first, *samples[0]], *samples[1:]]

    def _wanted_engines(self, call: Call, usable: list[UsableEngine]) -> set[str]:
        """Return the engines that have, prefill or should prefill a long prefix."""
        if not _has_long_prefix(call):
            return set()
        wanted = set()
        preferred = self.preferred_engine(call, [item.instance for item in usable])
        if preferred is not None:
            wanted.add(preferred)
        for version in {item.version for item in usable}:
            engine = self.lookup.engine_for_prefix(
                call,
                self.namespace(call, version),
                [item.instance.name for item in usable if item.version == version],
                rng=self.rng,
            )
            if engine is not None:
                wanted.add(engine)
        return wanted

    def any_accepts(self, call: Call, limits: EngineLimits) -> bool:
        """Return whether any engine accepts requests and has capacity for a call."""
        now = self.clock()
        return any(
            self._lacking(call, limits, instance) is None
            and self.view.loads.of(instance.name).accepts_requests(now=now)
            for instance in self.view.registry.of_service(call.service)
        )

    def lacking_everywhere(
        self, call: Call, limits: EngineLimits, engines: list[UsableEngine]
    ) -> Counter[WaitReason] | None:
        """Return what each engine lacks for a call, or None if any has capacity."""
        lacking: Counter[WaitReason] = Counter()
        for item in engines:
            reason = self._lacking(call, limits, item.instance)
            if reason is None:
                return None
            lacking[reason] += 1
        return lacking

    def _lacking(
        self, call: Call, limits: EngineLimits, instance: Instance
    ) -> WaitReason | None:
        total = self.view.loads.total(instance.name)
        return lacking_capacity(
            requests=total.requests,
            memory_tokens=total.memory_tokens,
            slots=limits.slots,
            cache_tokens=limits.cache_tokens,
            needed_tokens=call.request.total_tokens,
        )

    def candidate(
        self, call: Call, item: UsableEngine, namespace: str, sources: CopySources
    ) -> Candidate:
        """Return an engine with what it has and can copy of the prompt."""
        segments, name = call.request.prompt, item.instance.name
        source = sources.best_for(
            address=item.instance.address,
            data_centre=item.instance.data_centre,
            cached_tokens=self.view.caches.cached_tokens(
                name, namespace=namespace, segments=segments
            ),
        )
        cached = self.lookup.leading_tokens(name, namespace, segments)
        return Candidate(
            instance=item.instance,
            version=item.version,
            namespace=namespace,
            source=source,
            cached_tokens=cached,
            reusable_tokens=max(cached, source.tokens),
        )

    def engine_state(
        self,
        call: Call,
        limits: EngineLimits,
        item: UsableEngine,
        candidate: Candidate,
        *,
        preferred: str | None,
    ) -> EngineState:
        """Return the state of an engine for the choice."""
        name = item.instance.name
        total = self.view.loads.total(name)
        return EngineState(
            name=name,
            local=item.instance.data_centre == self.data_centre,
            current=item.current,
            requests=total.requests,
            backlog_tokens=total.uncached_tokens,
            memory_tokens=total.memory_tokens,
            slots=limits.slots,
            cache_tokens=limits.cache_tokens,
            cached_tokens=candidate.cached_tokens,
            fetch_tokens=candidate.source.tokens,
            fetch_s=candidate.source.seconds,
            slowdown=item.load.current_slowdown(now=self.clock()),
            preferred=name == preferred,
            prefilling_elsewhere=self.lookup.is_prefilling_elsewhere(
                name,
                candidate.namespace,
                call.request.prompt,
                candidate.reusable_tokens,
            ),
        )

    def namespace(self, call: Call, version: int) -> str:
        """Return the cache namespace of a call on weights of a version."""
        # An isolated organisation has one of its own; all others share one.
        organisation = call.organisation
        owner = ""
        if organisation is not None and organisation.isolated:
            owner = organisation.name
        return f"{call.request.model}/{version}/{owner}"

    def preferred_engine(self, call: Call, candidates: list[Instance]) -> str | None:
        """Return the engine that all routers prefer for a long first segment."""
        if not _has_long_prefix(call) or not candidates:
            return None
        segment_id = call.request.prompt[0].segment_id
        names = [instance.name for instance in candidates]
        return _rendezvous.owner(f"prompt:{segment_id}", names)


def _has_long_prefix(call: Call) -> bool:
    segments = call.request.prompt
    return bool(segments) and segments[0].tokens >= LONG_SEGMENT_TOKENS
