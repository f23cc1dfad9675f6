"""Whether a VM gets the platform's rows from its relay or follows the store itself."""

from collections.abc import Callable, Mapping

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.overlay import Overlay

# A relay that is silent for longer may be frozen; its members follow the store again.
RELAY_SILENT_S = 0.8
# A relay's rows that were not known to be current for longer may be stale.
ROWS_AGE_MAX_S = 1.5
# After its start, a VM that has read the tables waits this long for its links before it
# follows the store.
START_GRACE_S = 0.8


class RowsSource:
    """Decides where the rows come from, and how old they may be.

    Parameters
    ----------
    neighbours : mapping of str to Neighbour
        Linked VMs by name.
    store_connected : callable
        Whether all of this VM's store feeds answer.
    """

    def __init__(
        self,
        *,
        view: ClusterView,
        overlay: Overlay,
        neighbours: Mapping[str, Neighbour],
        store_connected: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.overlay = overlay
        self.neighbours = neighbours
        self.store_connected = store_connected
        self.clock = clock
        self.started_at = clock()

    def follows_store(self) -> bool:
        """Return whether this VM has to follow the store itself.

        The members of a relay get their rows from the relay, and the relays of a data
        centre from the first of them, so that the number of calls to the store does not
        grow with the number of VMs. A VM that has just started waits for its links.
        """
        now = self.clock()
        source = self._source()
        if source is None:
            has_joined = bool(self.overlay.registered)
            is_first_relay = has_joined and self.overlay.is_relay
            return is_first_relay or now >= self.started_at + START_GRACE_S
        return (
            now - source.last_received_at > RELAY_SILENT_S
            or now - source.rows_current_at > ROWS_AGE_MAX_S
        )

    def rows_age_s(self) -> float:
        """Return the time since the rows were last known to be current."""
        now = self.clock()
        if self.follows_store() and self.store_connected():
            return 0.0
        current_at = [item.rows_current_at for item in self.neighbours.values()]
        return min(3600.0, now - max(current_at, default=now - 3600.0))

    def apply_registry_state(self, vm: str, neighbour: Neighbour) -> None:
        """Adopt from the relay whether the registry is lost."""
        if self._source() is not neighbour or self.follows_store():
            if (
                vm == self.overlay.relay
                and neighbour.reported
                and not neighbour.is_relay
            ):
                # The VM is not a relay, so another one has to be chosen.
                self.overlay.record_unreachable(vm, now=self.clock())
            return
        if neighbour.registry_lost:
            self.view.registry.record_registry_lost()
        else:
            self.view.registry.record_registry_regained(now=self.clock())

    def _source(self) -> Neighbour | None:
        """Return the VM whose rows this one uses, or None if there is none."""
        if self.overlay.is_relay:
            return self._first_relay()
        neighbour = self.neighbours.get(self.overlay.relay or "")
        if neighbour is None or not neighbour.is_relay:
            return None
        return neighbour if self._has_credible_tables(neighbour) else None

    def _has_credible_tables(self, neighbour: Neighbour) -> bool:
        """Return whether rows from a neighbour would be applied."""
        eras = self.view.eras
        return all(
            eras.is_credible(version.era) for version in neighbour.tables.values()
        )

    def _first_relay(self) -> Neighbour | None:
        """Return the first relay of the data centre, unless it is this VM.

        It must follow the store itself: two relays that rely on each other would both
        have outdated rows.
        """
        for name in self.overlay.preceding_relays(now=self.clock()):
            neighbour = self.neighbours.get(name)
            if neighbour is None or not neighbour.follows_store:
                continue
            if self._has_credible_tables(neighbour):
                return neighbour
        return None
