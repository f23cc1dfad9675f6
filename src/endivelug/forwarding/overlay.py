"""Overlay network of the VMs: their links and the election of relays.

Load pattern: every VM reports its load several times a second. In a full mesh the
number of messages grows with the square of the number of VMs. Therefore a few VMs of
each data centre are relays: relays are linked to each other, and every other VM to one
relay of its data centre. The largest VMs are the relays, and among equal ones those
that joined first, so the choice needs no agreement protocol. If all VMs are relays, the
overlay is a full mesh.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

# Least number of relays in each data centre. There are more in a large deployment, so
# that a relay has about as many members as links to other relays.
RELAYS_PER_DATA_CENTRE = 2
# Pause before dialling a VM again that was unreachable or not a relay.
REDIAL_DELAY_S = 5.0
# A VM becomes a relay after too few earlier VMs were available as relays for this long.
PROMOTION_DELAY_S = 0.3
# Lost relays are dialled for this long after they were last known to be alive.
LOST_RELAY_DIAL_S = 120.0
# A relay that is no longer needed stays one for this long.
DEMOTION_DELAY_S = 3.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RegisteredVm:
    """One registered VM.

    Attributes
    ----------
    joined : int
        Row version of its registration; VMs that joined later have higher versions.
    joined_era : int
        Era of the store that gave out that version.
    cores : float
        Processor capacity in cores; 0 if unknown.
    """

    name: str
    address: str
    data_centre: str
    joined: int
    cores: float = 0.0
    joined_era: int = 0

    @property
    def joined_order(self) -> tuple[int, int, str]:
        """Key by which VMs are sorted in the order in which they registered.

        The number comes before the era: a row that a restoration has kept is read in
        the new era, with the number that it had.
        """
        return (self.joined, self.joined_era, self.name)

    @property
    def precedence(self) -> tuple[float, tuple[int, int, str]]:
        """Key by which the VMs of a data centre become relays, the smallest first."""
        return (-round(self.cores, 1), self.joined_order)

    def states_same(self, other: "RegisteredVm") -> bool:
        """Return whether another registration of the VM says the same of it."""
        return (self.address, self.data_centre, self.cores) == (
            other.address,
            other.data_centre,
            other.cores,
        )


@dataclass(slots=True, kw_only=True)
class Overlay:
    """Role and links of one VM in the overlay.

    Attributes
    ----------
    registered : dict of str to RegisteredVm
        All registered VMs by name, including this one.
    relays : set of str
        Relays that are assumed alive: those linked to this VM, and those linked to
        them.
    is_relay : bool
        Whether this VM passes on the reports of others.
    unreachable : dict of str to float
        Time until which each VM that failed is not dialled.
    relay : str or None
        The relay that this VM links to; None if this VM is a relay itself.
    last_seen_at : dict of str to float
        Time at which each relay was last known to be alive.
    """

    vm: str
    data_centre: str
    registered: dict[str, RegisteredVm] = field(default_factory=dict)
    relays: set[str] = field(default_factory=set)
    is_relay: bool = True
    relay: str | None = None
    unreachable: dict[str, float] = field(default_factory=dict)
    last_seen_at: dict[str, float] = field(default_factory=dict)
    _role_change_at: float | None = None
    _by_data_centre: dict[str, list[RegisteredVm]] = field(default_factory=dict)
    _preceding: list[RegisteredVm] = field(default_factory=list)

    def set_registered_vms(
        self, listed: Collection[RegisteredVm], *, now: float
    ) -> None:
        """Replace the registered VMs and update the role without delay."""
        self.registered = {item.name: item for item in listed}
        self._by_data_centre = {}
        for item in sorted(self.registered.values(), key=lambda vm: vm.precedence):
            self._by_data_centre.setdefault(item.data_centre, []).append(item)
        own = self.registered.get(self.vm)
        # A relay asks for the VMs before it with each report that it receives.
        self._preceding = [
            item
            for item in self._by_data_centre.get(self.data_centre, [])
            if own is not None and item.precedence < own.precedence
        ]
        self.is_relay = self._should_be_relay(now)
        self._role_change_at = None

    def record_unreachable(self, vm: str, *, now: float) -> None:
        """Record that a VM is unreachable or not a relay."""
        self.unreachable[vm] = now + REDIAL_DELAY_S

    def record_reachable(self, vm: str) -> None:
        """Record that a VM answered as a relay."""
        self.unreachable.pop(vm, None)

    def update_relays(self, relays: set[str], *, now: float) -> None:
        """Replace the live relays and change the role once its delay has passed."""
        self.relays = relays - {self.vm}
        self.last_seen_at.update(dict.fromkeys(self.relays, now))
        should_be_relay = self._should_be_relay(now)
        if should_be_relay == self.is_relay:
            self._role_change_at = None
            return
        if self._role_change_at is None:
            self._role_change_at = now + (
                PROMOTION_DELAY_S if should_be_relay else DEMOTION_DELAY_S
            )
        if now >= self._role_change_at:
            self.is_relay = should_be_relay
            self._role_change_at = None

    def targets(self, *, now: float) -> list[RegisteredVm]:
        """Return the VMs that this VM should be linked to."""
        own = [
            item
            for item in self._preceding_relays(now)[: self._relay_count()]
            if item.name != self.vm
        ]
        if not self.is_relay:
            self.relay = self._choose_relay([item.name for item in own])
            return [item for item in own if item.name == self.relay]
        self.relay = None
        names = {item.name for item in own}
        for data_centre in sorted(self._by_data_centre):
            names.update(self._relays_of(data_centre, now))
        return [self.registered[name] for name in sorted(names - {self.vm})]

    def preceding_relays(self, *, now: float) -> list[str]:
        """Return the live relays of the data centre before this VM, in order."""
        return [
            item.name
            for item in self._preceding_relays(now)
            if item.name in self.relays
        ]

    def rank(self) -> int:
        """Return the position of this VM among the live relays, sorted by name."""
        return sum(1 for name in self.relays if name < self.vm)

    def _relay_count(self) -> int:
        """Return the number of relays in each data centre."""
        data_centres = max(1, len(self._by_data_centre))
        wanted = round(math.sqrt(len(self.registered)) / data_centres)
        return max(RELAYS_PER_DATA_CENTRE, wanted)

    def _preceding_relays(self, now: float) -> list[RegisteredVm]:
        """Return the VMs that precede this one as relays of its data centre."""
        vms = self._by_data_centre.get(self.data_centre, [])
        live = [number for number, item in enumerate(vms) if item.name in self.relays]
        last_live = max(live, default=-1)
        return [
            item
            for number, item in enumerate(self._preceding)
            if item.name in self.relays
            # VMs before a live relay that aren't relays themselves have failed.
            or (number > last_live and self._is_reachable(item.name, now))
        ]

    def _should_be_relay(self, now: float) -> bool:
        return len(self._preceding_relays(now)) < self._relay_count()

    def _is_reachable(self, vm: str, now: float) -> bool:
        return self.unreachable.get(vm, 0.0) <= now

    def _choose_relay(self, names: list[str]) -> str | None:
        if self.relay in names:
            return self.relay
        candidates = [name for name in names if name in self.relays] or names
        if not candidates:
            return None
        # By position, so that each relay gets as many members as the others.
        vms = [item.name for item in self._by_data_centre[self.data_centre]]
        return candidates[vms.index(self.vm) % len(candidates)]

    def _relays_of(self, data_centre: str, now: float) -> list[str]:
        """Return the known and the possible relays of a data centre."""
        vms = self._by_data_centre[data_centre]
        names = [
            item.name
            for item in vms
            # Relays that were cut off a while ago resume their role when they return.
            if now - self.last_seen_at.get(item.name, float("-inf")) < LOST_RELAY_DIAL_S
        ]
        if data_centre != self.data_centre and not self.relays.intersection(names):
            reachable = [
                item.name for item in vms if self._is_reachable(item.name, now)
            ]
            names += reachable[: self._relay_count()]
        return names
