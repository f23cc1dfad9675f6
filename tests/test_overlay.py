"""Election of relays and choice of links by many VMs, simulated without real links."""

import pytest

from endivelug.forwarding.overlay import (
    DEMOTION_DELAY_S,
    REDIAL_DELAY_S,
    RELAYS_PER_DATA_CENTRE,
    Overlay,
    RegisteredVm,
)

STEP_S = 0.1


class Cluster:
    """VMs that learn of changed links at once, without messages.

    Attributes
    ----------
    unreachable : set of str
        VMs that are partitioned from all others.
    """

    def __init__(self, *, data_centres, vms):
        self.now = 0.0
        self.unreachable = set()
        self.overlays = {}
        registered = []
        for number in range(vms):
            data_centre = f"dc{number % data_centres}"
            name = f"vm{number:02}"
            registered.append(
                RegisteredVm(
                    name=name,
                    address=f"{name}:1",
                    data_centre=data_centre,
                    joined=number + 1,
                )
            )
            self.overlays[name] = Overlay(vm=name, data_centre=data_centre)
        for overlay in self.overlays.values():
            overlay.set_registered_vms(registered, now=0.0)

    def live(self):
        return [vm for vm in self.overlays if vm not in self.unreachable]

    def links(self):
        """Return the pairs of linked VMs, whichever side opened the link."""
        pairs = set()
        for vm in self.live():
            for target in self.overlays[vm].targets(now=self.now):
                if target.name in self.unreachable:
                    self.overlays[vm].record_unreachable(target.name, now=self.now)
                else:
                    pairs.add(frozenset((vm, target.name)))
        return pairs

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            pairs = self.links()
            relays = {vm for vm in self.live() if self.overlays[vm].is_relay}
            for vm in self.live():
                linked = {
                    other
                    for pair in pairs
                    if vm in pair
                    for other in pair
                    if other != vm and other in relays
                }
                linked_to_relays = {
                    other
                    for relay in linked
                    for pair in pairs
                    if relay in pair
                    for other in pair
                    if other in relays
                }
                self.overlays[vm].update_relays(linked | linked_to_relays, now=self.now)

    def relays(self):
        return sorted(vm for vm in self.live() if self.overlays[vm].is_relay)

    def reaches_all(self):
        """Return whether reports from every VM reach all others."""
        pairs, relays = self.links(), set(self.relays())
        for vm in self.live():
            reached = {vm}
            linked = {other for pair in pairs if vm in pair for other in pair}
            reached |= linked
            for relay in linked & relays - {vm}:
                reached |= {other for pair in pairs if relay in pair for other in pair}
            for relay in reached & relays:
                reached |= {
                    other
                    for pair in pairs
                    if relay in pair
                    for other in pair
                    if other not in relays
                }
            if reached != set(self.live()):
                return False
        return True


# Guards against a number of messages that grows with the square of the number of VMs.
@pytest.mark.parametrize("vms", [1, 2, 6, 28, 79])
def test_only_relays_have_many_links_and_every_vm_is_reached(vms):
    cluster = Cluster(data_centres=4, vms=vms)
    cluster.run(5)
    assert len(cluster.relays()) == min(vms, 4 * RELAYS_PER_DATA_CENTRE)
    assert cluster.reaches_all()
    assert len(cluster.links()) <= vms + (4 * RELAYS_PER_DATA_CENTRE) ** 2 / 2


# Guards against VMs that receive no reports any more after the first relays are lost.
@pytest.mark.parametrize("lost", [["vm00"], ["vm00", "vm04"], ["vm00", "vm01", "vm05"]])
def test_other_vms_replace_lost_relays(lost):
    cluster = Cluster(data_centres=4, vms=28)
    cluster.run(3)
    cluster.unreachable.update(lost)
    cluster.run(5)
    assert cluster.reaches_all()
    assert len(cluster.relays()) <= 4 * RELAYS_PER_DATA_CENTRE + 2


# Guards against surplus relays that remain forever after the original relays were lost
# for a short time.
def test_a_surplus_relay_becomes_a_member_again():
    cluster = Cluster(data_centres=1, vms=8)
    cluster.run(3)
    before = cluster.relays()
    cluster.unreachable.update(before)
    cluster.run(6)
    assert cluster.relays() and not set(before) & set(cluster.relays())
    cluster.unreachable.clear()
    cluster.run(REDIAL_DELAY_S + 3 * DEMOTION_DELAY_S)
    assert cluster.relays() == before
    assert cluster.reaches_all()


# Guards against a data centre that stays unlinked after a partition has healed.
def test_relays_of_a_partitioned_data_centre_are_linked_again():
    cluster = Cluster(data_centres=2, vms=12)
    cluster.run(3)
    other = {vm for vm in cluster.overlays if cluster.overlays[vm].data_centre == "dc1"}
    cluster.unreachable |= other
    cluster.run(10)
    cluster.unreachable.clear()
    cluster.run(4)
    assert cluster.reaches_all()


# Guards against relays on the smallest VMs of a data centre, which have the least
# capacity to pass reports on.
def test_the_largest_vms_are_the_relays():
    sizes = [0.5, 0.5, 2.0, 0.5, 2.0, 2.0]
    registered = [
        RegisteredVm(
            name=f"vm{number}",
            address=f"vm{number}:1",
            data_centre="dc1",
            joined=number,
            cores=cores,
        )
        for number, cores in enumerate(sizes)
    ]
    relays = []
    for item in registered:
        overlay = Overlay(vm=item.name, data_centre="dc1")
        overlay.set_registered_vms(registered, now=0.0)
        if overlay.is_relay:
            relays.append(item.name)
    assert relays == ["vm2", "vm4"]


# Guards against relays whose members grow with the size of the deployment.
@pytest.mark.parametrize(("vms", "relays"), [(24, 2), (195, 2), (1000, 5)])
def test_large_deployments_have_more_relays(vms, relays):
    cluster = Cluster(data_centres=6, vms=vms)
    for overlay in cluster.overlays.values():
        assert overlay.is_relay == (int(overlay.vm[2:]) < 6 * relays)


# Guards against members that all choose the same relay.
def test_members_are_spread_over_the_relays():
    cluster = Cluster(data_centres=1, vms=42)
    cluster.run(3)
    chosen = [overlay.relay for overlay in cluster.overlays.values()]
    members = {name: chosen.count(name) for name in cluster.relays()}
    assert min(members.values()) >= sum(members.values()) / len(members) * 0.9
