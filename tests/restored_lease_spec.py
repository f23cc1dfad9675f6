"""Model of the order lease on a store that comes back from an older copy.

Extends ``order_spec`` by versions that are given out again and by VMs that restart;
plans and pauses between the check and the sending of an order are checked there. A
restoration returns the row and the version to those of any earlier moment and raises
the era. A write may be done at any later time and in any later era if the row then has
the version of its condition; its answer may arrive at any time after that.
"""

from typing import NamedTuple

from minicheck import Protocol

# The fencing number has the era in front of this many versions.
VERSIONS = 100
UNKNOWN_ERA = -1


class Write(NamedTuple):
    vm: int  # -1 for a resignation
    fencing: int
    base: int  # version that the row must have, 0 if it must not exist
    era: int  # era of that version
    acquires: bool = False
    age: int = 0  # ticks since the write was started, up to lease
    ready: int = 0  # ticks until orders may be sent
    done_in: int = UNKNOWN_ERA  # era in which it was done first


class Vm(NamedTuple):
    era: int = UNKNOWN_ERA
    era_age: int = 0  # ticks since the VM met the era
    seen: int = -1  # number of the write that was read last, -1 before the first read
    seen_version: int = 0
    seen_age: int = 0  # ticks since the row was first read at this version
    held: int = 0  # number of the write that gives the lease, or 0
    waiting: int = 0  # number of the own write without an answer, or 0
    own_from: int = 1  # own writes from this number on give the lease if read back


class State(NamedTuple):
    era: int
    row: int  # number of the write that the row holds, 0 if it does not exist
    version: int
    history: tuple  # earlier (row, version)
    writes: tuple
    vms: tuple
    order: tuple  # (vm, age) of the order on its way, or nothing
    last: tuple  # (vm, ticks since arrival up to the gap) of the last order
    acquired: int  # highest fencing number that the store gave in its own era
    sent: int  # highest fencing number of an order
    reused: bool  # an acquisition or an order had a lower or used fencing number
    overlap: bool  # orders of two VMs arrived within the gap


def make_protocol(
    *,
    checks,
    writes,
    restorations,
    restarts=0,
    vms=2,
    gap=0,
    resignations=True,
    start="",
    defect="",
):
    """Return the protocol of VMs with up to ``writes`` lease writes.

    ``checks`` tells whether engines check fencing numbers, ``gap`` is the least number
    of ticks between orders of two VMs, and ``defect`` names a defect to add to the
    protocol, which is correct without one. ``start`` names a later state to begin with:
    "held", in which the first VM holds the lease, or "late", in which the row was lost
    by a restoration and a renewal and a resignation of a former process of the first VM
    may still be done. The writes before it are not counted.
    """
    # An order that is checked by its number may arrive at any time.
    timeout = 0 if checks else 1
    lease = 1 + timeout
    # A lease counts as expired one tick late, because clocks may differ by one tick.
    expired = lease + 1
    handover = max(timeout, gap)
    era_wait = expired + handover
    nothing = Write(-1, 0, -1, UNKNOWN_ERA, age=lease)

    def era_of(fencing):
        return fencing // VERSIONS

    def remaining(state, vm):
        return lease - state.writes[vm.held].age if vm.held else 0

    def may_order(state, vm):
        return remaining(state, vm) > 0 and state.writes[vm.held].ready == 0

    def may_send(state, vm):
        return may_order(state, vm) and remaining(state, vm) > timeout

    def meet_era(state, vm, era):
        """Return the VM after an answer of an era."""
        if era <= vm.era:
            return vm
        vm = vm._replace(era=era, era_age=0)
        vm = vm._replace(held=0)
        if defect != "row not read again":
            vm = vm._replace(seen=-1, seen_version=0, seen_age=0)
        if defect != "pending writes kept":
            vm = vm._replace(own_from=len(state.writes))
        return vm

    def read_row(state, index, vm):
        vm = meet_era(state, vm, state.era)._replace(waiting=0)
        written = state.writes[state.row]
        own = written.vm == index and state.row >= vm.own_from
        vm = vm._replace(held=state.row if own else 0)
        # A write is done at one version only in an era, so it is seen once.
        if vm.seen != state.row:
            vm = vm._replace(seen_age=0)
        return vm._replace(seen=state.row, seen_version=state.version)

    def next_fencing(vm, record):
        if defect == "number without era":
            return record.fencing + 1
        if defect == "number without version":
            return vm.era * VERSIONS + record.fencing % VERSIONS + 1
        return vm.era * VERSIONS + vm.seen_version + 1

    def next_write(state, index, vm):
        """Return the lease write that a VM may start, or None."""
        if vm.seen < 0:
            return None
        record = state.writes[vm.seen]
        base = (vm.seen_version, vm.era)
        if remaining(state, vm) > 0:
            held = state.writes[vm.held]
            return Write(index, held.fencing, *base, ready=held.ready)
        # A store in its first era was never restored.
        wait = max(0, era_wait - vm.era_age) if vm.era else 0
        if defect == "no wait in a new era":
            wait = 0
        if defect == "wait without the hand-over":
            wait = max(0, expired - vm.era_age) if vm.era else 0
        resigned = vm.seen and record.vm == -1
        current = era_of(record.fencing) == vm.era
        if defect == "resignation of any era":
            current = True
        if resigned and current:
            wait = gap if defect == "no wait after a resignation" else max(gap, wait)
        elif vm.seen:
            if vm.seen_age < expired:
                return None
            wait = max(handover, wait)
        fencing = next_fencing(vm, record)
        return Write(index, fencing, *base, acquires=True, ready=wait)

    def accept_answer(state, index, vm):
        """Return the VM after the answer to its write."""
        number = vm.waiting
        write = state.writes[number]
        outdated = write.done_in < vm.era
        vm = meet_era(state, vm, write.done_in)._replace(waiting=0)
        if outdated:
            return vm
        if write.done_in != write.era and defect != "condition of another era":
            # The write may have replaced any row; only a read tells.
            return vm
        held = number if write.vm == index else 0
        # Its version is read with the next read; the age only counts for others' rows.
        return vm._replace(held=held, seen=number, seen_version=write.base + 1)

    def steps_of(state, index):
        vm = state.vms[index]

        def with_vm(vm, state=state):
            changed = list(state.vms)
            changed[index] = vm
            return state._replace(vms=tuple(changed))

        def start_write(write, vm):
            after = state._replace(writes=(*state.writes, write))
            return with_vm(vm._replace(waiting=len(state.writes)), after)

        # A read is also possible after a refused or an unanswered write.
        yield "read", with_vm(read_row(state, index, vm))
        if vm.era < state.era and vm.era != UNKNOWN_ERA:
            # From a report or another table.
            yield "meets era", with_vm(meet_era(state, vm, state.era))
        may_write = len(state.writes) <= writes
        if vm.waiting:
            if state.writes[vm.waiting].done_in != UNKNOWN_ERA:
                yield "answered", with_vm(accept_answer(state, index, vm))
        elif may_write:
            write = next_write(state, index, vm)
            # The row has to be read in the era of the write's condition.
            if write and vm.seen >= 0:
                yield "write", start_write(write, vm)
            busy = state.order and state.order[0] == index
            if resignations and vm.held and not busy:
                held = state.writes[vm.held]
                resigned = vm._replace(held=0, own_from=len(state.writes) + 1)
                write = Write(-1, held.fencing, vm.seen_version, vm.era, age=lease)
                yield "resign", start_write(write, resigned)
        fencing = state.writes[vm.held].fencing
        if may_send(state, vm) and not state.order:
            after = state._replace(
                order=() if checks else (index, 0),
                sent=max(state.sent, fencing),
                reused=state.reused or fencing < state.sent,
            )
            yield "send", after

    def land(state, number):
        """Return the state after a write was done."""
        write = state.writes[number]
        changed = list(state.writes)
        if write.done_in == UNKNOWN_ERA:
            changed[number] = write._replace(done_in=state.era)
        if write.acquires and write.era == state.era:
            reused = state.reused or write.fencing <= state.acquired
            acquired = max(state.acquired, write.fencing)
            state = state._replace(acquired=acquired, reused=reused)
        return state._replace(
            row=number,
            version=state.version + 1,
            history=(*state.history, (state.row, state.version)),
            writes=tuple(changed),
        )

    def deliver_order(state):
        sender, _ = state.order
        state = state._replace(order=())
        if gap:
            other = state.last and state.last[0] != sender
            overlap = state.overlap or bool(other and state.last[1] < gap)
            state = state._replace(last=(sender, 0), overlap=overlap)
        return state

    def advance_tick(state):
        """Return the state one tick later, or None if an order must arrive first."""
        if state.order and state.order[1] >= timeout:
            return None
        writes_later = tuple(
            write._replace(age=min(write.age + 1, lease), ready=max(write.ready - 1, 0))
            for write in state.writes
        )
        vms_later = tuple(
            vm._replace(
                seen_age=min(vm.seen_age + 1, expired),
                era_age=min(vm.era_age + 1, era_wait),
            )
            for vm in state.vms
        )
        order = state.order and (state.order[0], state.order[1] + 1)
        last = state.last and (state.last[0], min(state.last[1] + 1, gap))
        return state._replace(
            writes=writes_later, vms=vms_later, order=order, last=last
        )

    def normalise(state):
        """Reset fields without effect on later steps, to merge equivalent states."""
        if state.era == restorations:
            state = state._replace(history=())
        changed = []
        may_give_lease = set()
        used = {state.row, *(row for row, _ in state.history)}
        for index, vm in enumerate(state.vms):
            if remaining(state, vm) == 0:
                vm = vm._replace(held=0)
            if vm.era == 0 or vm.era == UNKNOWN_ERA:
                vm = vm._replace(era_age=0)
            own = (
                number
                for number in range(vm.own_from, len(state.writes))
                if state.writes[number].vm == index and state.writes[number].age < lease
            )
            vm = vm._replace(own_from=min(own, default=len(state.writes)))
            changed.append(vm)
            used |= {vm.seen, vm.held, vm.waiting}
            may_give_lease |= {vm.held, vm.waiting}
            may_give_lease.update(
                number
                for number in range(vm.own_from, len(state.writes))
                if state.writes[number].vm == index
            )
        waiting = {vm.waiting for vm in changed}
        versions = {state.version, *(version for _, version in state.history)}
        relevant = []
        for number, write in enumerate(state.writes):
            may_land = any(write.base >= version for version in versions) and (
                state.era < restorations or write.base >= state.version
            )
            if number not in used and not may_land:
                relevant.append(nothing)
                continue
            if number not in may_give_lease:
                write = write._replace(age=lease)
            if write.age == lease:
                write = write._replace(ready=0)
            if number not in waiting:
                write = write._replace(done_in=UNKNOWN_ERA)
            relevant.append(write)
        return state._replace(writes=tuple(relevant), vms=tuple(changed))

    def transitions(state):
        successors = []
        later = advance_tick(state)
        if later is not None:
            successors.append(("tick", later))
        for number, write in enumerate(state.writes):
            if number and write.base == state.version:
                successors.append((f"write {number} is done", land(state, number)))
        if state.era < restorations:
            for number, (row, version) in enumerate(state.history):
                after = state._replace(
                    era=state.era + 1,
                    row=row,
                    version=version,
                    history=state.history[:number],
                )
                successors.append((f"restored to version {version}", after))
        if state.order:
            successors.append(("order arrives", deliver_order(state)))
        for index in range(len(state.vms)):
            for label, after in steps_of(state, index):
                successors.append((f"{index}: {label}", after))
            # The number of restarts is bounded by the writes that are forgotten.
            busy = state.order and state.order[0] == index
            vm = state.vms[index]
            if restarts and vm.era != UNKNOWN_ERA and not busy:
                forgotten = list(state.vms)
                forgotten[index] = Vm(own_from=len(state.writes))
                after = state._replace(vms=tuple(forgotten))
                successors.append((f"{index}: restarts", after))
        return [(label, normalise(after)) for label, after in successors]

    def at_most_one_holder(fields):
        state = State(**fields)
        return sum(may_order(state, vm) for vm in state.vms) < 2

    initial = State(0, 0, 0, (), (nothing,), (Vm(),) * vms, (), (), 0, 0, False, False)
    match start:
        case "held":
            first = Vm(era=0, seen=1, seen_version=1, held=1)
            initial = initial._replace(
                row=1,
                version=1,
                history=((0, 0),),
                writes=(nothing, Write(0, 1, 0, 0)),
                vms=(first, *initial.vms[1:]),
                acquired=1,
            )
        case "late":
            late = [Write(vm, 1, base=2, era=0, age=lease) for vm in (0, -1)]
            initial = initial._replace(
                era=1,
                writes=(nothing, *late),
                vms=(Vm(own_from=3),) * vms,
                acquired=1,
                sent=1,
            )
    writes += len(initial.writes) - 1

    return Protocol(
        name=f"lease on a restored store checks={checks} {defect}",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "fencing numbers rise": lambda state: not state["reused"],
            "at most one holder": at_most_one_holder,
            "orders are a gap apart": lambda state: not state["overlap"],
        },
    )
