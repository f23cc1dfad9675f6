"""What one VM knows of the deployment: configuration, upstreams, weights and loads.

Rows come from the platform's feed or, where that does not answer, from peers. A row is
applied only where its version is higher than the one held, so nothing goes back.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug import _rendezvous
from endivelug.forwarding.engine_load import InstanceLoads
from endivelug.forwarding.instances import Instance, InstanceRegistry
from endivelug.forwarding.prompt_cache import PromptCaches
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
from endivelug.forwarding.row_store import RowPage, StoredRow

LogLine = Callable[..., None]


# Versions of one model that are remembered; older ones are outdated for long.
MAX_NAMED = 16


@dataclass(slots=True, kw_only=True)
class NamedVersion:
    """One version that the operator named.

    Attributes
    ----------
    known_at : float
        When it was named, as far as known.
    live : bool
        Whether this VM or a peer saw the change itself; otherwise it may be older.
    """

    known_at: float
    live: bool


@dataclass(slots=True, kw_only=True)
class WantedWeights:
    """Weights that the operator wants for one model.

    Attributes
    ----------
    version : int
        The newest version.
    named : dict of int to NamedVersion
        The newest and former versions; each has a time limit of its own.
    """

    version: int
    named: dict[int, NamedVersion] = field(default_factory=dict)

    def outdated_at(self, version: int) -> float | None:
        """Return when the first newer version was named, or None."""
        newer = [item.known_at for name, item in self.named.items() if name > version]
        return min(newer, default=None)

    def add(self, version: int, named: NamedVersion) -> None:
        """Add a version, or correct what is known of it."""
        known = self.named.get(version)
        if known is None or (named.live and not known.live):
            self.named[version] = named
        elif named.live and named.known_at < known.known_at:
            known.known_at = named.known_at
        self.version = max(self.version, version)
        for old in sorted(self.named)[:-MAX_NAMED]:
            del self.named[old]


@dataclass(slots=True, kw_only=True)
class HeldRow:
    """A row as this VM holds it.

    Attributes
    ----------
    changed : int
        Version of its last change that was more than a heartbeat.
    """

    row: StoredRow
    record: Record
    changed: int


class ClusterView:
    """State that the decisions read.

    Parameters
    ----------
    records : RecordFormat
        Decoder of rows.
    clock : callable
        Seconds of a monotonic clock.
    log : callable
        Writes one line of a change of state.
    on_change : callable
        Called after a change that may let waiting requests go on.
    unknown_age_s : float
        Age that wanted weights are taken to have where nobody saw the change.
    """

    def __init__(
        self,
        *,
        records: RecordFormat,
        clock: Callable[[], float],
        log: LogLine,
        on_change: Callable[[], None] = lambda: None,
        unknown_age_s: float = 0.0,
    ) -> None:
        self.records = records
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.on_gone: Callable[[Instance], None] = lambda instance: None
        self.on_weights: Callable[[Instance, str, int], None] = lambda *seen: None
        self.configuration: RoutingConfiguration | None = None
        self.weights: dict[str, WantedWeights] = {}
        self.registry = InstanceRegistry()
        self.loads = InstanceLoads()
        self.caches = PromptCaches()
        self.observed: dict[tuple[tuple[str, int], str], int] = {}
        self.rows: dict[tuple[str, str], HeldRow] = {}
        self.highest: dict[str, int] = dict.fromkeys(records.tables, 0)
        self.read_tables: set[str] = set()
        self.unknown_age_s = unknown_age_s
        self.store_gone_until: dict[str, float] = {}

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve requests."""
        known = self.read_tables.issuperset(self.records.tables)
        return self.configuration is not None and known

    def replace_table(self, table: str, page: RowPage, *, source: str) -> None:
        """Apply a full read; rows that it lacks were removed."""
        present = {row.key for row in page.rows}
        missing = [
            StoredRow(
                table=table, key=key, value=b"", version=page.version, removed=True
            )
            for (name, key), held in self.rows.items()
            if name == table
            and key not in present
            and not held.row.removed
            and held.row.version < page.version
        ]
        self.apply([*page.rows, *missing], source=source)
        self.read_tables.add(table)

    def apply(self, rows: list[StoredRow], *, source: str) -> bool:
        """Apply changed rows; return whether any was more than a heartbeat."""
        changed = False
        for row in sorted(rows, key=lambda item: item.version):
            held = self.rows.get((row.table, row.key))
            if held is not None and held.row.version >= row.version:
                continue
            changed = self._put(row, held, source) or changed
        if changed:
            self.on_change()
        return changed

    def rows_after(self, table: str, version: int) -> list[HeldRow]:
        """Return the rows of a table that changed after a version."""
        return [
            held
            for held in self.rows.values()
            if held.row.table == table and held.changed > version
        ]

    def caught_up(self, table: str, version: int) -> None:
        """Note that a peer sent all changes of a table up to a version."""
        self.highest[table] = max(self.highest.get(table, 0), version)

    def _put(self, row: StoredRow, held: HeldRow | None, source: str) -> bool:
        """Hold a newer row; return whether it is more than a heartbeat."""
        record = self.records.decode(row)
        changed = row.changed or row.version
        if held is not None and held.record == record:
            changed = held.changed
        self.rows[row.table, row.key] = HeldRow(row=row, record=record, changed=changed)
        self._apply(record, row, source)
        if held is not None and held.changed == changed:
            return False
        self.caught_up(row.table, changed)
        return True

    def expire(self) -> None:
        """Drop the instances that did not register again after an outage."""
        for instance in self.registry.expire(now=self.clock()):
            self._gone(instance, "lease lapsed")

    def forget_idle_loads(self) -> None:
        """Drop the loads of instances that are gone and have no work left."""
        for name, load in list(self.loads.loads.items()):
            if not load.work and self.registry.get(name) is None:
                self.loads.forget(name)

    def weights_of(self, instance: Instance, model: str) -> int | None:
        """Return the version of an engine's weights, as last seen or reported."""
        listed = instance.version_of(model)
        seen = self.observed.get((instance.incarnation, model))
        if listed is None or seen is None:
            return listed if seen is None else seen
        return max(listed, seen)

    def observe_weights(
        self, instance: Instance, model: str, version: int, *, told: bool = False
    ) -> None:
        """Note the weights that an engine was seen to have.

        Parameters
        ----------
        told : bool
            Whether a peer saw it; then it is not told to others again.
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
        if not told:
            self.on_weights(instance, model, version)
        self.on_change()

    def heard_weights(self, model: str, version: int, *, age_s: float) -> None:
        """Take in from a peer that saw the change how old wanted weights are."""
        wanted = self.weights.get(model)
        if wanted is not None and version <= wanted.version:
            known_at = self.clock() - age_s
            wanted.add(version, NamedVersion(known_at=known_at, live=True))

    def cache_stores(self) -> list[CacheStore]:
        """Return the stores of kept KV cache."""
        return self.configuration.cache_stores if self.configuration else []

    def cache_store_of(self, part: str) -> CacheStore | None:
        """Return the store that keeps a shared part and what follows it, or None.

        All routers choose the same one, and the parts spread over the links of all
        stores; those of a store that is gone go to the others.
        """
        now = self.clock()
        usable = {
            store.address: store
            for store in self.cache_stores()
            if now >= self.store_gone_until.get(store.address, 0.0)
        }
        if len(usable) == 1:
            return next(iter(usable.values()))
        address = _rendezvous.owner(f"store:{part}", usable)
        return usable[address] if address is not None else None

    def avoid_cache_store(self, address: str, until: float) -> None:
        """Note that a store of kept KV cache is gone; it comes back empty."""
        gone_until = self.store_gone_until.get(address, 0.0)
        if self.clock() >= gone_until:
            self.caches.clear(address)
        self.store_gone_until[address] = max(gone_until, until)

    def _apply(self, record: Record, row: StoredRow, source: str) -> None:
        match record:
            case ConfigurationRecord(configuration=configuration):
                self._configure(configuration, row, source)
            case WeightsRecord(model=model, version=version):
                self._want(model, version, row, source)
            case InstanceRecord(instance=instance):
                self._register(instance, row, source)
            case InstanceRemoved(name=name):
                gone = self.registry.remove(
                    name, row_version=row.version, now=self.clock()
                )
                if gone is not None:
                    self._gone(gone, "removed from the registry")
            case UnreadableRecord(reason=reason):
                self.log(
                    "row-unreadable",
                    table=row.table,
                    key=row.key,
                    row_version=row.version,
                    reason=reason,
                )
            case OtherRecord():
                pass

    def _configure(
        self, configuration: RoutingConfiguration, row: StoredRow, source: str
    ) -> None:
        before = self.configuration.version if self.configuration else None
        self.configuration = configuration
        for store in configuration.cache_stores:
            # The store's own capacity is not needed: it drops by itself, and a part
            # that it dropped costs a failed look-up of a millisecond.
            self.caches.add_holder(store.address, capacity_tokens=10_000_000)
        for instance in self.registry.all():
            # The registry may have been read before the configuration.
            self._add_holder(instance)
        self.log(
            "configuration-in-force",
            version=configuration.version,
            before=before,
            row_version=row.version,
            source=source,
        )

    def _want(self, model: str, version: int, row: StoredRow, source: str) -> None:
        known = self.weights.get(model)
        if known is not None and known.version >= version:
            return
        live = row.table in self.read_tables
        age_s = 0.0 if live else self.unknown_age_s
        wanted = self.weights.setdefault(model, WantedWeights(version=version))
        wanted.add(version, NamedVersion(known_at=self.clock() - age_s, live=live))
        self.log(
            "weights-wanted",
            model=model,
            version=version,
            row_version=row.version,
            source=source,
        )

    def _register(self, instance: Instance, row: StoredRow, source: str) -> None:
        known = self.registry.get(instance.name)
        replaced = self.registry.put(instance, row_version=row.version)
        if replaced is not None:
            self._forget(replaced)
        if known is None or replaced is not None or known.draining != instance.draining:
            self.log(
                "instance-registered",
                instance=instance.name,
                service=instance.service,
                address=instance.address,
                draining=instance.draining,
                started_ms=instance.started_ms,
                row_version=row.version,
                source=source,
            )
        self._add_holder(instance)

    def _add_holder(self, instance: Instance) -> None:
        if self.configuration is None:
            return
        service = self.configuration.services.get(instance.service)
        if service is not None and service.engine is not None:
            self.caches.add_holder(
                instance.name, capacity_tokens=service.engine.cache_tokens
            )

    def _gone(self, instance: Instance, reason: str) -> None:
        self._forget(instance)
        self.log("instance-gone", instance=instance.name, reason=reason)

    def _forget(self, instance: Instance) -> None:
        self.caches.remove_holder(instance.name)
        for key in [key for key in self.observed if key[0] == instance.incarnation]:
            del self.observed[key]
        self.on_gone(instance)
