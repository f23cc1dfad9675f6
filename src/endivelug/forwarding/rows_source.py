"""Whether a VM gets the platform's rows from its relay or follows the store itself."""

from collections.abc import Callable, Mapping

from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.neighbour import Neighbour
from endivelug.forwarding.overlay import Overlay

# A relay that is silent for longer may be frozen; its members follow the store again.
RELAY_SILENT_S = 0.8
# A relay's rows that were not known to be current for longer may be stale.
ROWS_AGE_MAX_S = 1.5


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

    def follows_store(self) -> bool:
        """Return whether this VM has to follow the store itself.

        The members of a relay get their rows from the relay, so that the number of
        calls to the store does not grow with the number of VMs.
        """
        relay = self._relay_neighbour()
        if relay is None:
            return True
        now = self.clock()
        return (
            now - relay.last_received_at > RELAY_SILENT_S
            or now - relay.rows_current_at > ROWS_AGE_MAX_S
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
        if self._relay_neighbour() is not neighbour or self.follows_store():
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

    def _relay_neighbour(self) -> Neighbour | None:
        """Return the relay of this VM, or None if it has none or is a relay itself."""
        if self.overlay.is_relay or self.overlay.relay is None:
            return None
        neighbour = self.neighbours.get(self.overlay.relay)
        return neighbour if neighbour is not None and neighbour.is_relay else None
