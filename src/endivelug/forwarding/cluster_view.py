"""State of the deployment on one VM: configuration, upstreams, weights and loads.

Rows come from the platform's feed or, if the feed is unavailable, from peers. Only the
newest row of a key is applied (``row_cache``), so state never goes backwards.
"""

from collections.abc import Callable

from endivelug import _rendezvous
from endivelug.forwarding.desired_weights import AnnouncedVersion, DesiredWeights
from endivelug.forwarding.instance_load import InstanceLoads
from endivelug.forwarding.instances import Instance, InstanceRegistry
from endivelug.forwarding.prompt_cache import (
    ENGINE_CACHE_SHARE,
    STORE_CACHE_SHARE,
    PromptCaches,
)
from endivelug.forwarding.records import (
    ConfigurationRecord,
    InstanceRecord,
    InstanceRemoved,
    OtherRecord,
    Record,
    RecordFormat,
    UnreadableRecord,
    WeightsRecord,
)
from endivelug.forwarding.routes import CacheStore, RoutingConfiguration
from endivelug.forwarding.row_cache import LogLine, RowCache
from endivelug.forwarding.row_store import (
    STORE_SOURCE,
    RowPage,
    StoredRow,
    StoreVersion,
)
from endivelug.forwarding.store_eras import StoreEras

__all__ = ["ClusterView", "LogLine"]


def _ignore(*changed: object) -> None:
    """Stand for a callback that nobody has set."""


class ClusterView:
    """State from which the routing decisions are made.

    Parameters
    ----------
    records : RecordFormat
        Decoder of rows.
    clock : callable
        Returns the seconds of a monotonic clock.
    log : callable
        Logs one change of state.
    on_change : callable
        Called after a change that may allow waiting requests to be sent.
    assumed_weights_age_s : float
        Assumed age of desired weights if nobody observed the change.
    """

    def __init__(
        self,
        *,
        records: RecordFormat,
        clock: Callable[[], float],
        log: LogLine,
        on_change: Callable[[], None] = lambda: None,
        assumed_weights_age_s: float = 0.0,
    ) -> None:
        self.records = records
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.on_instance_removed: Callable[[Instance], None] = _ignore
        self.on_weights_observed: Callable[[Instance, str, int], None] = _ignore
        self.on_leaving: Callable[[str, int], None] = _ignore
        self.on_registered: list[Callable[[Instance | None, Instance], None]] = []
        self.on_avoided: Callable[[str, float], None] = _ignore
        self.on_new_weights: Callable[[Instance], None] = _ignore
        self.configuration: RoutingConfiguration | None = None
        self.desired_weights: dict[str, DesiredWeights] = {}
        self.registry = InstanceRegistry()
        self.eras = StoreEras(
            on_unusable=lambda peer, era: self.log("era-unusable", peer=peer, era=era),
        )
        self.loads = InstanceLoads()
        self.caches = PromptCaches()
        self.observed: dict[tuple[tuple[str, int], str], int] = {}
        self.rows = RowCache(
            records=records,
            log=lambda event, **fields: self.log(event, **fields),
            apply_record=self._apply,
            is_in_use=lambda name: self.registry.get(name) is not None,
            before_restored=self._before_restored,
        )
        self.assumed_weights_age_s = assumed_weights_age_s
        self.store_unreachable_until: dict[str, float] = {}

    @property
    def complete(self) -> bool:
        """Whether the configuration and all tables have been read."""
        all_read = self.loaded_tables.issuperset(self.records.tables)
        return self.configuration is not None and all_read

    @property
    def latest_versions(self) -> dict[str, StoreVersion]:
        """Version of the last change of each table other than a heartbeat."""
        return self.rows.latest_versions

    @property
    def loaded_tables(self) -> set[str]:
        """Tables that were read as a whole."""
        return self.rows.loaded_tables

    @property
    def configuration_number(self) -> int:
        """Number of the configuration in force; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def replace_table(self, table: str, page: RowPage, *, source: str) -> None:
        """Apply a full read of a table; remove rows that it does not contain."""
        if source == STORE_SOURCE:
            self.eras.observe(page.era)
        else:
            self.eras.hear(page.era, peer=source)
        if self.rows.replace_table(table, page, source=source):
            self.on_change()

    def apply(self, rows: list[StoredRow], *, source: str) -> bool:
        """Apply changed rows; return whether any change was more than a heartbeat."""
        changed = self.rows.apply(rows, source=source)
        if changed:
            self.on_change()
        return changed

    def withdraw_eras(self, table: str, era: int) -> None:
        """Let the store's rows of an era replace those of later eras.

        A peer named the later ones, and the store refuted them.
        """
        self.rows.withdraw_eras(table, era)
        if table == self.records.instance_table:
            self.registry.withdraw_eras(era)

    def expire(self) -> None:
        """Remove the instances that did not register again after an outage."""
        for instance in self.registry.expire(now=self.clock()):
            self._remove_instance(instance, "lease lapsed")

    def forget_idle_loads(self) -> None:
        """Remove the loads of removed instances that have no requests left."""
        for name, load in list(self.loads.loads.items()):
            if not load.work and self.registry.get(name) is None:
                self.loads.forget(name)

    def weights_of(self, instance: Instance, model: str) -> int | None:
        """Return the newest version that the engine registered or was observed with."""
        registered = instance.version_of(model)
        observed = self.observed.get((instance.incarnation, model))
        if registered is None or observed is None:
            return registered if observed is None else observed
        return max(registered, observed)

    def observe_weights(
        self, instance: Instance, model: str, version: int, *, from_peer: bool = False
    ) -> None:
        """Record the weights that an engine was observed to have.

        Parameters
        ----------
        from_peer : bool
            Whether a peer observed them; then they are not announced to others again.
        """
        known = self.weights_of(instance, model)
        if known is not None and version <= known:
            return
        self.observed[instance.incarnation, model] = version
        self.caches.clear(instance.name)
        self.log(
            "engine-weights",
            instance=instance.name,
            model=model,
            version=version,
            before=known,
        )
        if not from_peer:
            self.on_weights_observed(instance, model, version)
        self.on_new_weights(instance)
        self.on_change()

    def record_crash(self, name: str, started_ms: int) -> None:
        """Record that an incarnation of an engine crashed, and its cache with it."""
        instance = self.registry.get(name)
        if instance is not None and instance.started_ms == started_ms:
            self.caches.clear(name)

    def record_leaving(
        self, name: str, started_ms: int, *, from_peer: bool = False
    ) -> None:
        """Record that an incarnation stated, here or to a peer, that it is leaving."""
        told_at = self.clock() if from_peer else float("-inf")
        if not self.registry.record_leaving(name, started_ms, told_at=told_at):
            return
        self.log(
            "instance-leaving",
            instance=name,
            started_ms=started_ms,
            from_peer=from_peer,
        )
        if not from_peer:
            self.on_leaving(name, started_ms)

    def apply_weights_age(self, model: str, version: int, *, age_s: float) -> None:
        """Apply the age of desired weights from a peer that observed the change."""
        desired = self.desired_weights.get(model)
        if desired is not None and version <= desired.version:
            announced_at = self.clock() - age_s
            desired.add(
                version, AnnouncedVersion(announced_at=announced_at, observed=True)
            )

    def cache_stores(self) -> list[CacheStore]:
        """Return the configured KV cache stores."""
        return self.configuration.cache_stores if self.configuration else []

    def cache_store_for(self, segment_id: str) -> CacheStore | None:
        """Return the cache store for a shared segment and those after it, or None.

        All routers choose the same store by rendezvous hashing, which spreads the
        segments over the links of all stores. The segments of an unreachable store are
        assigned to the others.
        """
        now = self.clock()
        usable = {
            store.address: store
            for store in self.cache_stores()
            if now >= self.store_unreachable_until.get(store.address, 0.0)
        }
        if len(usable) == 1:
            return next(iter(usable.values()))
        address = _rendezvous.owner(f"store:{segment_id}", usable)
        return usable[address] if address is not None else None

    def avoid_cache_store(self, address: str, until: float) -> None:
        """Record that a cache store is unreachable; it is empty when it returns."""
        unreachable_until = self.store_unreachable_until.get(address, 0.0)
        if self.clock() >= unreachable_until:
            self.caches.clear(address)
        self.store_unreachable_until[address] = max(unreachable_until, until)

    def _apply(self, record: Record, row: StoredRow, source: str) -> None:
        match record:
            case ConfigurationRecord(configuration=configuration):
                self._configure(configuration, row, source)
            case WeightsRecord(model=model, version=version):
                self._set_desired_weights(model, version, row, source)
            case InstanceRecord(instance=instance):
                self._register_instance(instance, row, source)
            case InstanceRemoved(name=name):
                removed = self.registry.remove(
                    name, row_version=row.version, era=row.era, now=self.clock()
                )
                if removed is not None:
                    self._remove_instance(removed, "removed from the registry")
            case UnreadableRecord(reason=reason):
                self.rows.log_unreadable(row, reason)
            case OtherRecord():
                pass

    def _before_restored(self, table: str) -> None:
        """Give the upstreams that a copy does not hold the time to register again."""
        if table == self.records.instance_table:
            self.registry.record_restored(now=self.clock())

    def _configure(
        self, configuration: RoutingConfiguration, row: StoredRow, source: str
    ) -> None:
        if configuration == self.configuration:
            return
        before = self.configuration.version if self.configuration else None
        self.configuration = configuration
        for store in configuration.cache_stores:
            self.caches.add_cache(
                store.address, capacity_tokens=STORE_CACHE_SHARE * store.cache_tokens
            )
        for instance in self.registry.all():
            # The registry may have been read before the configuration.
            self._add_engine_cache(instance)
        self.log(
            "configuration-in-force",
            version=configuration.version,
            before=before,
            row_version=row.version,
            era=row.era,
            source=source,
        )

    def _set_desired_weights(
        self, model: str, version: int, row: StoredRow, source: str
    ) -> None:
        known = self.desired_weights.get(model)
        if known is not None and known.version >= version:
            return
        observed = row.table in self.loaded_tables
        age_s = 0.0 if observed else self.assumed_weights_age_s
        desired = self.desired_weights.setdefault(
            model, DesiredWeights(version=version)
        )
        desired.add(
            version,
            AnnouncedVersion(announced_at=self.clock() - age_s, observed=observed),
        )
        self.log(
            "weights-wanted",
            model=model,
            version=version,
            row_version=row.version,
            era=row.era,
            source=source,
        )

    def _register_instance(
        self, instance: Instance, row: StoredRow, source: str
    ) -> None:
        known = self.registry.get(instance.name)
        replaced = self.registry.apply_entry(
            instance, row_version=row.version, era=row.era
        )
        if replaced is not None:
            self._forget_instance(replaced)
        # It is draining also if it stated that, whatever its entry says.
        instance = self.registry.get(instance.name) or instance
        if known is None or replaced is not None or known.draining != instance.draining:
            self.log(
                "instance-registered",
                instance=instance.name,
                service=instance.service,
                address=instance.address,
                draining=instance.draining,
                started_ms=instance.started_ms,
                row_version=row.version,
                era=row.era,
                source=source,
            )
            for notify in self.on_registered:
                notify(known, instance)
        self._add_engine_cache(instance)

    def _add_engine_cache(self, instance: Instance) -> None:
        if self.configuration is None:
            return
        service = self.configuration.services.get(instance.service)
        if service is not None and service.engine is not None:
            self.caches.add_cache(
                instance.name,
                capacity_tokens=ENGINE_CACHE_SHARE * service.engine.cache_tokens,
            )

    def _remove_instance(self, instance: Instance, reason: str) -> None:
        self._forget_instance(instance)
        self.log("instance-gone", instance=instance.name, reason=reason)

    def _forget_instance(self, instance: Instance) -> None:
        self.caches.remove_cache(instance.name)
        self.loads.record_replaced(instance.name)
        for key in [key for key in self.observed if key[0] == instance.incarnation]:
            del self.observed[key]
        self.on_instance_removed(instance)
