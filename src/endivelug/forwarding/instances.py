"""Registry entries of upstream instances, and which instances accept new requests.

The entries come from the feed of the registry. While the registry is unreachable, the
leases of live instances may lapse. These instances register again soon after the
registry is back, so removals that are received until then are provisional.

An instance is draining if its entry says so, or if it stated in a response that it is
leaving. The statement belongs to one incarnation; an entry that still says otherwise
does not revoke it.
"""

from dataclasses import dataclass, field, replace

from endivelug.forwarding.row_store import StoreVersion

# Live instances whose entry lapsed during an outage of the registry register again
# within two seconds of its end; one heartbeat is added as a margin.
REREGISTRATION_S = 2.5
# Incarnations that stated that they are leaving; the oldest statements are dropped
# beyond this, by when their instances are long gone.
MAX_LEAVING = 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class Instance:
    """One incarnation of an upstream.

    Attributes
    ----------
    name : str
        Identity; an upstream that restarts in place keeps it.
    started_ms : int
        Start time in Unix milliseconds; with ``name`` it identifies the incarnation.
    draining : bool
        Whether the instance announced that it will stop, in the registry or in a
        response.
    model_versions : tuple of (str, int)
        Weights version of each model.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    model_versions: tuple[tuple[str, int], ...] = ()

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time."""
        return (self.name, self.started_ms)

    def version_of(self, model: str) -> int | None:
        """Return the weights version of a model, or None if it isn't served."""
        for name, version in self.model_versions:
            if name == model:
                return version
        return None


@dataclass(slots=True, kw_only=True)
class _Entry:
    instance: Instance
    row_version: StoreVersion
    drain_listed: bool
    registered: bool = True
    removed_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class InstanceRegistry:
    """Upstream instances that this VM knows.

    Attributes
    ----------
    entries : dict of str to _Entry
        Entries by instance name.
    leaving : dict of (str, int) to float
        Incarnations that stated that they are leaving, and when a peer last told so.
    removed : dict of str to StoreVersion
        Row version of the removal, by name of a removed instance.
    provisional_until : float
        Time until which a removal is provisional, because the instance may be alive;
        infinite while the registry is unreachable.
    """

    entries: dict[str, _Entry] = field(default_factory=dict)
    leaving: dict[tuple[str, int], float] = field(default_factory=dict)
    removed: dict[str, StoreVersion] = field(default_factory=dict)
    provisional_until: float = 0.0
    _newest: dict[str, Instance] | None = None
    _serving: dict[str, list[Instance]] = field(default_factory=dict)
    _cache_holders: dict[str, list[Instance]] = field(default_factory=dict)

    def record_registry_lost(self) -> None:
        """Record that the registry is unreachable."""
        self.provisional_until = float("inf")

    def record_registry_regained(self, *, now: float) -> None:
        """Record that the registry is reachable again."""
        if self.provisional_until == float("inf"):
            self.provisional_until = now + REREGISTRATION_S

    def record_restored(self, *, now: float) -> None:
        """Record that the registry came back from an older copy.

        An upstream that registered since the copy is not in it.
        """
        self.provisional_until = max(self.provisional_until, now + REREGISTRATION_S)

    def apply_entry(
        self, instance: Instance, *, row_version: int, era: int = 0
    ) -> Instance | None:
        """Apply an entry; return the previous incarnation if it was replaced.

        An entry with the version of the known one replaces it: it may be newer by the
        count of the upstream.
        """
        version = StoreVersion(era=era, number=row_version)
        known = self.entries.get(instance.name)
        if known is not None and known.row_version > version:
            return None
        removed_at = self.removed.get(instance.name)
        if removed_at is not None and removed_at >= version:
            return None
        drain_listed = instance.draining
        if instance.incarnation in self.leaving:
            instance = replace(instance, draining=True)
        self.entries[instance.name] = _Entry(
            instance=instance, row_version=version, drain_listed=drain_listed
        )
        if known is None or known.instance != instance:
            self._invalidate_caches()
        if known is not None and known.instance.incarnation != instance.incarnation:
            return known.instance
        return None

    def record_leaving(
        self, name: str, started_ms: int, *, told_at: float = float("-inf")
    ) -> bool:
        """Record that an incarnation is leaving; return whether that is news.

        Parameters
        ----------
        told_at : float
            When a peer told so, if it was one.
        """
        incarnation = (name, started_ms)
        known = self.leaving.get(incarnation)
        self.leaving[incarnation] = told_at if known is None else max(known, told_at)
        if known is not None:
            return False
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        entry = self.entries.get(name)
        if entry is not None and entry.instance.incarnation == incarnation:
            entry.instance = replace(entry.instance, draining=True)
            self._invalidate_caches()
        return True

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether an instance stated itself that it is leaving."""
        return instance.incarnation in self.leaving

    def is_stopping(self, instance: Instance) -> bool:
        """Return whether an instance may refuse connections and still finish its work.

        The entry of one that stops says so or is removed, be it provisionally; that of
        one that has crashed stays for some heartbeats.
        """
        entry = self.entries.get(instance.name)
        if entry is None:
            return True
        if entry.instance.incarnation != instance.incarnation:
            return False
        return entry.instance.draining or not entry.registered

    def leaves_unlisted(self, incarnation: tuple[str, int]) -> bool:
        """Return whether an incarnation is leaving while its entry says otherwise."""
        entry = self.entries.get(incarnation[0])
        return (
            entry is not None
            and incarnation in self.leaving
            and entry.instance.incarnation == incarnation
            and not entry.drain_listed
        )

    def remove(
        self, name: str, *, row_version: int, era: int = 0, now: float
    ) -> Instance | None:
        """Apply a removal; return the instance unless the removal is provisional."""
        version = StoreVersion(era=era, number=row_version)
        known = self.entries.get(name)
        if known is None or known.row_version >= version:
            return None
        known.row_version = version
        if now < self.provisional_until and not known.instance.draining:
            known.registered = False
            known.removed_until = min(self.provisional_until, now + 60.0)
            return None
        self._delete(known)
        return known.instance

    def withdraw_eras(self, era: int) -> None:
        """Let the entries of an era replace those of later eras."""
        start = StoreVersion(era=era)
        for entry in self.entries.values():
            entry.row_version = min(entry.row_version, start)
        for name, version in self.removed.items():
            self.removed[name] = min(version, start)

    def has_unregistered(self) -> bool:
        """Return whether any instance is removed provisionally."""
        return not all(entry.registered for entry in self.entries.values())

    def expire(self, *, now: float) -> list[Instance]:
        """Remove and return the instances that did not register again in time."""
        removed_instances: list[Instance] = []
        if now < self.provisional_until:
            return removed_instances
        for entry in list(self.entries.values()):
            if not entry.registered:
                self._delete(entry)
                removed_instances.append(entry.instance)
        return removed_instances

    def _delete(self, entry: _Entry) -> None:
        instance = entry.instance
        del self.entries[instance.name]
        self.removed[instance.name] = entry.row_version
        if not instance.started_ms:
            # Without a start time, the next incarnation cannot be told from this one.
            self.leaving.pop(instance.incarnation, None)
        self._invalidate_caches()

    def get(self, name: str) -> Instance | None:
        """Return an instance by name, or None."""
        entry = self.entries.get(name)
        return entry.instance if entry else None

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that accept new requests."""
        serving = self._serving.get(service)
        if serving is None:
            serving = self._serving[service] = [
                instance
                for instance in self._newest_by_address().values()
                if instance.service == service and not instance.draining
            ]
        return serving

    def cache_holders(self, service: str) -> list[Instance]:
        """Return the instances of a service from which cached prompts may be copied.

        They include those that stated that they are leaving: such an instance runs
        until its last request has ended, while its entry lasts.
        """
        holders = self._cache_holders.get(service)
        if holders is None:
            holders = self._cache_holders[service] = [
                instance
                for instance in self._newest_by_address().values()
                if instance.service == service
                and (not instance.draining or self.is_leaving(instance))
            ]
        return holders

    def _newest_by_address(self) -> dict[str, Instance]:
        """Return the instance that started last at each address.

        The entry of a crashed instance lapses only after some missed heartbeats. An
        instance that started later at the same address proves that it has stopped.
        """
        if self._newest is not None:
            return self._newest
        newest = self._newest = {}
        for entry in self.entries.values():
            instance = entry.instance
            known = newest.get(instance.address)
            if known is None or known.started_ms < instance.started_ms:
                newest[instance.address] = instance
        return newest

    def _invalidate_caches(self) -> None:
        # The results are cached, because each request reads them and they rarely
        # change.
        self._newest = None
        self._serving.clear()
        self._cache_holders.clear()

    def all(self) -> list[Instance]:
        """Return the newest instance at each address, including draining ones."""
        return list(self._newest_by_address().values())
