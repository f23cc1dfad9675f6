"""The upstream instances of each service and which of them may get new requests.

Rows come from the registry by way of the feed. While the registry cannot be reached,
the leases of live instances may lapse; such instances register again soon after the
registry is back, so a removal seen then is provisional for a short time.
"""

from dataclasses import dataclass, field

# Live instances whose entry lapsed in an outage of the registry are listed again within
# two seconds of its return; one more heartbeat of margin is added.
RELIST_S = 2.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Instance:
    """One start of one upstream.

    Attributes
    ----------
    name : str
        Identity; kept by an upstream that restarts in place.
    started_ms : int
        Unix milliseconds of the start; with ``name`` it identifies the incarnation.
    draining : bool
        Whether it announced its stop.
    model_versions : dict of str to int
        Version of the weights of each model.
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
        """Name and start."""
        return (self.name, self.started_ms)

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights, or None."""
        for name, version in self.model_versions:
            if name == model:
                return version
        return None


@dataclass(slots=True, kw_only=True)
class _Entry:
    instance: Instance
    row_version: int
    listed: bool = True
    removed_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class InstanceRegistry:
    """What one VM knows of the instances.

    Attributes
    ----------
    entries : dict of str to _Entry
        By name.
    relisting_until : float
        Until then a removal may be the lapse of a live instance.
    """

    entries: dict[str, _Entry] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    relisting_until: float = 0.0
    _newest: dict[str, Instance] | None = None
    _serving: dict[str, list[Instance]] = field(default_factory=dict)

    def registry_lost(self) -> None:
        """Note that the registry cannot be reached."""
        self.relisting_until = float("inf")

    def registry_regained(self, *, now: float) -> None:
        """Note that the registry answers again."""
        if self.relisting_until == float("inf"):
            self.relisting_until = now + RELIST_S

    def put(self, instance: Instance, *, row_version: int) -> Instance | None:
        """Apply an entry; return the previous instance where it was another one."""
        known = self.entries.get(instance.name)
        if known is not None and known.row_version >= row_version:
            return None
        if self.removed.get(instance.name, 0) >= row_version:
            return None
        self.entries[instance.name] = _Entry(instance=instance, row_version=row_version)
        if known is None or known.instance != instance:
            self._changed()
        if known is not None and known.instance.incarnation != instance.incarnation:
            return known.instance
        return None

    def remove(self, name: str, *, row_version: int, now: float) -> Instance | None:
        """Apply a removal; return the instance where it took effect at once."""
        known = self.entries.get(name)
        if known is None or known.row_version >= row_version:
            return None
        known.row_version = row_version
        if now < self.relisting_until and not known.instance.draining:
            known.listed = False
            known.removed_until = min(self.relisting_until, now + 60.0)
            return None
        del self.entries[name]
        self.removed[name] = row_version
        self._changed()
        return known.instance

    def expire(self, *, now: float) -> list[Instance]:
        """Drop the instances whose entry did not come back; return them."""
        gone: list[Instance] = []
        if now < self.relisting_until:
            return gone
        for name, entry in list(self.entries.items()):
            if not entry.listed:
                del self.entries[name]
                self.removed[name] = entry.row_version
                gone.append(entry.instance)
                self._changed()
        return gone

    def get(self, name: str) -> Instance | None:
        """Return an instance by name, or None."""
        entry = self.entries.get(name)
        return entry.instance if entry else None

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that may get new requests."""
        serving = self._serving.get(service)
        if serving is None:
            serving = self._serving[service] = [
                instance
                for instance in self._newest_by_address().values()
                if instance.service == service and not instance.draining
            ]
        return serving

    def _newest_by_address(self) -> dict[str, Instance]:
        """Return the instance that started last at each address.

        The entry of an instance that crashed lapses only after some heartbeats; what
        started at its address meanwhile shows that it is gone.
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

    def _changed(self) -> None:
        # Both lists are read for every request, and change rarely.
        self._newest = None
        self._serving.clear()

    def all(self) -> list[Instance]:
        """Return every known instance, draining ones included."""
        return list(self._newest_by_address().values())
