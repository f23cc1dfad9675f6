"""Which VMs link to each other, and which of them relay the reports of others.

Load pattern: every VM reports its load several times a second. With links between all
of them the messages grow with the square of their number. A few VMs of each data
centre are relays: relays are linked to each other, and every other VM to one relay of
its data centre. The VMs that joined first are the relays, so the choice needs no
agreement; where all VMs are relays, every VM is linked to every other one.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from endivelug import _rendezvous

RELAYS = 2
# A VM that could not be reached, or is no relay, is not dialled again for this long.
UNREACHABLE_S = 5.0
# A VM becomes a relay when too few earlier ones have been reachable for this long.
PROMOTE_S = 0.3
# Relays that were lost are dialled for this long.
REMEMBER_S = 120.0
# A relay that is not needed any more stays one for this long.
DEMOTE_S = 3.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedVm:
    """One VM as it registered.

    Attributes
    ----------
    joined : int
        Row version of its registration; a higher one is later.
    """

    name: str
    address: str
    data_centre: str
    joined: int


@dataclass(slots=True, kw_only=True)
class Overlay:
    """Role and links of one VM.

    Attributes
    ----------
    listed : dict of str to ListedVm
        Every registered VM by name, this one included.
    relays : set of str
        Relays that live as far as known: linked ones, and those linked to them.
    is_relay : bool
        Whether this VM passes reports on.
    unreachable : dict of str to float
        Until when each VM that failed is not dialled.
    uplink : str or None
        The relay of this VM; None where it is a relay itself.
    seen_at : dict of str to float
        When each relay was last known to live.
    """

    vm: str
    data_centre: str
    listed: dict[str, ListedVm] = field(default_factory=dict)
    relays: set[str] = field(default_factory=set)
    is_relay: bool = True
    uplink: str | None = None
    unreachable: dict[str, float] = field(default_factory=dict)
    seen_at: dict[str, float] = field(default_factory=dict)
    _change_at: float | None = None

    def list_vms(self, listed: Collection[ListedVm], *, now: float) -> None:
        """Take in the registered VMs, and decide the role at once."""
        self.listed = {item.name: item for item in listed}
        self.is_relay = self._wants_relay(now)
        self._change_at = None

    def failed(self, vm: str, *, now: float) -> None:
        """Note that a VM cannot be reached or is no relay."""
        self.unreachable[vm] = now + UNREACHABLE_S

    def reached(self, vm: str) -> None:
        """Note that a VM answered as a relay."""
        self.unreachable.pop(vm, None)

    def update(self, relays: set[str], *, now: float) -> None:
        """Take in the live relays, and change the role where that is due."""
        self.relays = relays - {self.vm}
        self.seen_at.update(dict.fromkeys(self.relays, now))
        wanted = self._wants_relay(now)
        if wanted == self.is_relay:
            self._change_at = None
            return
        if self._change_at is None:
            self._change_at = now + (PROMOTE_S if wanted else DEMOTE_S)
        if now >= self._change_at:
            self.is_relay = wanted
            self._change_at = None

    def targets(self, *, now: float) -> list[ListedVm]:
        """Return the VMs to keep a link to."""
        own = [item for item in self._earlier(now)[:RELAYS] if item.name != self.vm]
        if not self.is_relay:
            self.uplink = self._choose_uplink([item.name for item in own])
            return [item for item in own if item.name == self.uplink]
        self.uplink = None
        names = {item.name for item in own}
        for data_centre in sorted(self._data_centres()):
            names.update(self._relays_of(data_centre, now))
        return [self.listed[name] for name in sorted(names - {self.vm})]

    def rank(self) -> int:
        """Return the place of this VM among the live relays, by name."""
        return sum(1 for name in self.relays if name < self.vm)

    def _data_centres(self) -> set[str]:
        return {item.data_centre for item in self.listed.values()}

    def _members_of(self, data_centre: str) -> list[ListedVm]:
        found = [
            item for item in self.listed.values() if item.data_centre == data_centre
        ]
        return sorted(found, key=lambda item: (item.joined, item.name))

    def _earlier(self, now: float) -> list[ListedVm]:
        """Return the VMs that go before this one as relays of its data centre."""
        own = self.listed.get(self.vm)
        if own is None:
            return []
        vms = self._members_of(self.data_centre)
        live = [item.joined for item in vms if item.name in self.relays]
        last_live = max(live, default=-1)
        return [
            item
            for item in vms
            if item.joined < own.joined
            and (
                item.name in self.relays
                # A relay that joined later shows that an earlier VM is gone.
                or (item.joined > last_live and self._reachable(item.name, now))
            )
        ]

    def _wants_relay(self, now: float) -> bool:
        return len(self._earlier(now)) < RELAYS

    def _reachable(self, vm: str, now: float) -> bool:
        return self.unreachable.get(vm, 0.0) <= now

    def _choose_uplink(self, names: list[str]) -> str | None:
        if self.uplink in names:
            return self.uplink
        live = [name for name in names if name in self.relays]
        return _rendezvous.owner(f"relay:{self.vm}", live or names)

    def _relays_of(self, data_centre: str, now: float) -> list[str]:
        """Return the relays that a data centre has or may have."""
        vms = self._members_of(data_centre)
        found = [
            item.name
            for item in vms
            # Relays that were cut off a while ago are relays again when they return.
            if now - self.seen_at.get(item.name, float("-inf")) < REMEMBER_S
        ]
        if data_centre != self.data_centre and not self.relays.intersection(found):
            reachable = [item.name for item in vms if self._reachable(item.name, now)]
            found += reachable[:RELAYS]
        return found
