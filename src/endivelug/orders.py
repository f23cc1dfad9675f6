"""Plans the orders that bring the engines from the observed to the desired models."""

from collections import Counter
from dataclasses import dataclass, field

from endivelug.load_slots import Slot
from endivelug.messages import UpstreamEntry


@dataclass(slots=True, kw_only=True, frozen=True)
class DesiredModel:
    """Model that the configuration requires in the data centre.

    Attributes
    ----------
    version : str
        Desired version of the weights.
    adapters : tuple of str
        Adapters that every engine of the model should load.
    engines : int
        Number of engines in the data centre; 0 for an equal share of the engines that
        are left.
    """

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    engines: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadWeights:
    """Order to load a version of a model in place of any other version of it."""

    engine: str
    model: str
    version: str


@dataclass(slots=True, kw_only=True, frozen=True)
class UnloadWeights:
    """Order to stop serving a model."""

    engine: str
    model: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadAdapter:
    """Order to load an adapter of a model that the engine serves."""

    engine: str
    model: str
    version: str
    adapter: str


Order = LoadWeights | UnloadWeights | LoadAdapter


def order_kind(order: Order) -> str:
    """Return the ``kind`` of an order, as sent to the engine and stored in the slot."""
    match order:
        case LoadWeights():
            return "load"
        case UnloadWeights():
            return "unload"
        case LoadAdapter():
            return "adapter"


@dataclass(slots=True, kw_only=True)
class Plan:
    """Next orders for the engines of one data centre.

    Attributes
    ----------
    orders : list of Order
        Most urgent order first.
    blocked : list of str
        Messages that say which changes cannot be ordered, and the remedy.
    """

    orders: list[Order] = field(default_factory=list)
    blocked: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, eq=False)
class _Engine:
    entry: UpstreamEntry
    models: dict[str, str]


def target_counts(desired: list[DesiredModel], engines: int) -> dict[str, int]:
    """Return the number of engines for each model.

    Each model gets one engine before any model gets a second one; with fewer engines
    than models, the last models get none.

    Examples
    --------
    >>> models = [DesiredModel(model=name, version="1") for name in "ab"]
    >>> target_counts(models, 5)
    {'a': 3, 'b': 2}
    """
    targets: dict[str, int] = {}
    remaining = engines
    for item in desired:
        targets[item.model] = min(1, remaining)
        remaining -= targets[item.model]
    for item in desired:
        if item.engines:
            more = max(0, min(item.engines - targets[item.model], remaining))
            targets[item.model] += more
            remaining -= more
    without_count = [item.model for item in desired if not item.engines]
    while remaining and without_count:
        fewest = min(without_count, key=lambda model: targets[model])
        targets[fewest] += 1
        remaining -= 1
    return targets


class _Planner:
    """Plans the orders of one pass over the engines.

    Each order changes the state that the next ones are planned from.

    Attributes
    ----------
    free_slots : int
        Orders that may still be added.
    excluded_engines : set of str
        Engines that get no order, or no further one, in this pass.
    pending : Counter of str
        Number of engines per model that are expected to serve it but do not serve it
        yet, or not certainly.
    engines : list of _Engine
        Engines whose models count as served.
    targets : dict of str to int
        Desired number of engines per model.
    """

    def __init__(
        self,
        *,
        desired: list[DesiredModel],
        engines: list[UpstreamEntry],
        in_progress: dict[str, Slot],
        excluded_engines: set[str],
        uncertain_engines: set[str],
        free_slots: int,
    ) -> None:
        self.desired = {item.model: item for item in desired}
        self.free_slots = free_slots
        self.excluded_engines = excluded_engines | in_progress.keys()
        self.plan = Plan()
        self.pending: Counter[str] = Counter()
        self.engines: list[_Engine] = []
        for entry in sorted(engines, key=lambda entry: entry.name):
            pairs = [report.partition("=") for report in entry.models]
            models = {model: version for model, _, version in pairs}
            slot = in_progress.get(entry.name)
            if slot is not None and slot.kind == "load":
                self.pending[slot.model] += 1
            elif entry.name in uncertain_engines:
                self.pending.update(models.keys())
            else:
                if slot is not None and slot.kind == "unload":
                    models.pop(slot.model, None)
                self.engines.append(_Engine(entry=entry, models=models))
        self.targets = target_counts(desired, len(engines))

    def serving_count(self, model: str) -> int:
        """Return the number of engines that serve a model in any version."""
        return sum(model in engine.models for engine in self.engines)

    def deficit(self, model: str) -> int:
        """Return how many engines a model lacks; negative for a surplus."""
        planned = self.serving_count(model) + self.pending[model]
        return self.targets.get(model, 0) - planned

    def is_outdated(self, engine: _Engine, model: str) -> bool:
        """Return whether an engine serves a model in a version that is not desired."""
        item = self.desired.get(model)
        return item is None or item.version != engine.models[model]

    def may_load(self, engine: _Engine) -> bool:
        """Return whether an engine may load other weights.

        The last engine that serves a desired model may not.
        """
        if engine.entry.name in self.excluded_engines:
            return False
        return all(
            self.serving_count(model) > 1
            for model in engine.models
            if model in self.desired
        )

    def add_load(self, engine: _Engine, item: DesiredModel) -> None:
        """Add an order to load weights.

        The engine counts as serving no model until the load has finished.
        """
        self.plan.orders.append(
            LoadWeights(
                engine=engine.entry.name, model=item.model, version=item.version
            )
        )
        self.engines.remove(engine)
        self.pending[item.model] += 1
        self.free_slots -= 1

    def choose_engine(self, model: str, *, surplus_only: bool) -> _Engine | None:
        """Return the engine that should load a model, or None.

        Engines that serve no desired model come first, then those of the model with
        the largest surplus; of these, engines with outdated weights come first.

        Parameters
        ----------
        surplus_only : bool
            Whether to leave out engines of models that have no surplus.
        """

        def cost(engine: _Engine) -> tuple[int, int, bool]:
            used = [name for name in engine.models if name in self.desired]
            max_deficit = max((self.deficit(name) for name in used), default=0)
            is_current = any(not self.is_outdated(engine, name) for name in used)
            return len(used), max_deficit, is_current

        def has_surplus(engine: _Engine) -> bool:
            used = [name for name in engine.models if name in self.desired]
            return all(self.deficit(name) < 0 for name in used)

        candidates = [
            engine
            for engine in self.engines
            if model not in engine.models
            and self.may_load(engine)
            and (not surplus_only or has_surplus(engine))
        ]
        return min(candidates, key=cost, default=None)

    def load_unserved_models(self) -> None:
        """Load each desired model that no engine serves or is about to serve."""
        for model, item in self.desired.items():
            if self.free_slots <= 0 or self.serving_count(model) or self.pending[model]:
                continue
            engine = self.choose_engine(model, surplus_only=False)
            if engine is not None:
                self.add_load(engine, item)
            else:
                self.plan.blocked.append(
                    f"{model} has no engine and no other engine is free to load it; "
                    "add an engine"
                )

    def fill_deficits(self) -> None:
        """Load models with too few engines on engines of models with too many."""
        for model in sorted(self.desired, key=self.deficit, reverse=True):
            while self.free_slots > 0 and self.deficit(model) > 0:
                engine = self.choose_engine(model, surplus_only=True)
                if engine is None:
                    break
                self.add_load(engine, self.desired[model])

    def unload_surplus(self) -> None:
        """Unload surplus models from engines that serve several models."""
        for engine in self.engines:
            for model in list(engine.models):
                if self.free_slots <= 0 or len(engine.models) < 2:
                    break
                if engine.entry.name in self.excluded_engines:
                    break
                needed = self.deficit(model) >= 0 or self.serving_count(model) < 2
                if model in self.desired and needed:
                    continue
                self.plan.orders.append(
                    UnloadWeights(engine=engine.entry.name, model=model)
                )
                self.free_slots -= 1
                self.excluded_engines.add(engine.entry.name)
                del engine.models[model]

    def update_versions(self) -> None:
        """Load the desired version on engines that serve another one."""
        for model, item in self.desired.items():
            serving = [engine for engine in self.engines if model in engine.models]
            outdated = [engine for engine in serving if self.is_outdated(engine, model)]
            for engine in outdated:
                if self.free_slots > 0 and self.may_load(engine):
                    self.add_load(engine, item)
            if len(serving) == 1 and outdated and not self.pending[model]:
                self.replace_last_engine(serving[0], item)

    def replace_last_engine(self, last: _Engine, item: DesiredModel) -> None:
        """Load the desired version on another engine than the last outdated one."""
        engine = self.choose_engine(item.model, surplus_only=False)
        if engine is None:
            self.plan.blocked.append(
                f"{item.model} has one engine, which keeps version "
                f"{last.models[item.model]} so that it stays served; add an engine "
                f"to load {item.version}"
            )
        elif self.free_slots > 0:
            self.add_load(engine, item)

    def load_adapters(self) -> None:
        """Load one missing adapter on each engine that serves the desired version."""
        for engine in self.engines:
            for model in engine.models:
                item = self.desired.get(model)
                if item is None or self.is_outdated(engine, model):
                    continue
                missing = [
                    adapter
                    for adapter in item.adapters
                    if adapter not in engine.entry.adapters
                ]
                may_order = engine.entry.name not in self.excluded_engines
                if self.free_slots > 0 and missing and may_order:
                    self.free_slots -= 1
                    self.excluded_engines.add(engine.entry.name)
                    self.plan.orders.append(
                        LoadAdapter(
                            engine=engine.entry.name,
                            model=item.model,
                            version=item.version,
                            adapter=missing[0],
                        )
                    )


def next_orders(
    *,
    desired: list[DesiredModel],
    observed: list[UpstreamEntry],
    data_centre: str,
    slots: list[Slot | None],
    excluded_engines: set[str],
    uncertain_engines: set[str],
    now: float,
    clock_bound_s: float,
) -> Plan:
    """Return the next orders for the engines of one data centre.

    Parameters
    ----------
    desired : list of DesiredModel
        Models that the configuration requires.
    observed : list of UpstreamEntry
        Upstreams of the data centre, observed after the last order was sent.
    slots : list of Slot or None
        The two slots for orders as read from the table; None for a slot that was
        never used.
    excluded_engines : set of str
        Engines that get no orders now, for example after a failed load.
    uncertain_engines : set of str
        Engines that an order of an earlier lease holder may still change; they get no
        orders and do not count as serving.
    now : float
        Unix time in seconds.
    clock_bound_s : float
        Upper bound of the difference between the clocks of two VMs.

    Returns
    -------
    Plan
        At most one order per free slot.
    """
    busy = [
        slot
        for slot in slots
        if slot is not None and not slot.is_free(now, clock_bound_s=clock_bound_s)
    ]
    own = [slot for slot in busy if slot.data_centre == data_centre]
    planner = _Planner(
        desired=desired,
        engines=[
            entry
            for entry in observed
            if entry.kind == "engine" and entry.state == "live"
        ],
        in_progress={slot.engine: slot for slot in own},
        excluded_engines=excluded_engines,
        uncertain_engines=uncertain_engines,
        free_slots=len(slots) - len(busy),
    )
    planner.load_unserved_models()
    planner.fill_deficits()
    planner.update_versions()
    planner.unload_surplus()
    planner.load_adapters()
    return planner.plan
