"""Model of configurations that VMs read from a store that comes back from a copy.

One row of the store holds the operator's numbered configuration; other rows use up
versions. A relay follows the store, and a member copies the relay's row, but may read
the store itself at any time. Answers may arrive at any later time, in any order, or be
lost. The VMs may restart. After a restoration the operator writes its newest
configuration again.
"""

from typing import NamedTuple

from minicheck import Protocol

RELAY, MEMBER = 0, 1


class Position(NamedTuple):
    """Version of the store in one of its eras; later ones are greater."""

    era: int = -1
    version: int = 0


class Row(NamedTuple):
    position: Position = Position()
    number: int = 0  # of the configuration; 0 if there is none


class Answer(NamedTuple):
    """Answer to a VM, of the store or of the relay, that is on its way."""

    vm: int
    row: Row  # without a number if it has not changed
    position: Position  # of the table that was read
    after: Position  # changes after it were read; of no era if the whole table was


class Vm(NamedTuple):
    row: Row = Row()  # the configuration in force, and under which position it is filed
    position: Position = Position()  # where the feed goes on
    highest: int = 0  # highest configuration that was in force in this process


class State(NamedTuple):
    position: Position  # of the store
    row: Row  # that the store holds
    history: tuple  # earlier (version, row)
    newest: int  # newest configuration of the operator
    vms: tuple
    answers: frozenset


def make_protocol(
    *, configurations, versions, restorations, restarts=True, answers=1, defect=""
):
    """Return the protocol with up to ``configurations`` of the operator.

    The store gives out up to ``versions`` versions in an era, and up to ``answers`` are
    on their way at one time. ``defect`` names a defect to add to the protocol, which is
    correct without one.
    """

    def is_newer(position, known):
        if defect == "versions without eras":
            return position.version > known.version
        return position > known

    def apply_row(vm, row):
        """Return the VM after it has got a row, from the store or the relay."""
        if not row.number:
            return vm
        if defect == "rows of an older era applied" and row != vm.row:
            pass
        elif not is_newer(row.position, vm.row.position):
            return vm
        elif defect != "older numbers applied":
            # What was in force is filed under the newer version.
            row = row._replace(number=max(row.number, vm.row.number))
        return vm._replace(row=row, highest=max(vm.highest, row.number))

    def read_after(position, row, after, index):
        """Return the answer with the changes of a table after a position."""
        if after.version > position.version and defect != "copy across eras":
            # The store does not have this version.
            after = Position()
        skipped = after.era >= 0 and row.position.version <= after.version
        return Answer(index, Row() if skipped else row, position, after)

    def read_store(state, index):
        after = state.vms[index].position
        return read_after(state.position, state.row, after, index)

    def read_relay(state):
        """Return the relay's answer to the member, or None if it has nothing newer."""
        relay, member = state.vms
        after = member.position
        if not is_newer(relay.position, after):
            return None
        if relay.position.era != after.era and defect != "copy across eras":
            after = Position()
        return read_after(relay.position, relay.row, after, MEMBER)

    def receive(vm, answer):
        """Return the VM after an answer."""
        position, after = answer.position, answer.after
        is_whole = after.era < 0
        across = not is_whole and after.era != position.era
        if across and defect not in ("feed across eras", "copy across eras"):
            # The next answer is the whole table.
            return vm._replace(position=Position())
        vm = apply_row(vm, answer.row)
        if is_newer(position, vm.position):
            vm = vm._replace(position=position)
        return vm

    def put(items, index, item):
        return (*items[:index], item, *items[index + 1 :])

    def write(state, number):
        """Return the state after a write of a configuration, or of another row."""
        position = state.position._replace(version=state.position.version + 1)
        row = Row(position, number) if number else state.row
        history = (*state.history, (state.position.version, state.row))
        newest = max(state.newest, number)
        return state._replace(
            position=position, row=row, history=history, newest=newest
        )

    def normalise(state):
        if state.position.era == restorations:
            state = state._replace(history=())
        return state

    def steps(state):
        if state.position.version < versions:
            yield "another row is written", write(state, 0)
            if state.row.number < state.newest:
                yield "operator writes again", write(state, state.newest)
            elif state.newest < configurations:
                yield "operator writes", write(state, state.newest + 1)
        if state.position.era < restorations:
            for number, (version, row) in enumerate(state.history):
                yield (
                    f"restored to version {version}",
                    state._replace(
                        position=Position(state.position.era + 1, version),
                        # The copy's rows are read in the new era.
                        row=row._replace(
                            position=row.position._replace(era=state.position.era + 1)
                        ),
                        history=state.history[:number],
                    ),
                )
        if len(state.answers) < answers:
            sent = [read_store(state, RELAY), read_store(state, MEMBER)]
            sent.append(read_relay(state))
            for answer in sent:
                if answer is not None:
                    after = state._replace(answers=state.answers | {answer})
                    yield f"{answer.vm}: is answered", after
        for answer in state.answers:
            rest = state._replace(answers=state.answers - {answer})
            yield "answer lost", rest
            vm = receive(state.vms[answer.vm], answer)
            yield (
                f"{answer.vm}: receives",
                rest._replace(vms=put(state.vms, answer.vm, vm)),
            )
        for index in range(len(state.vms)) if restarts else ():
            own = {item for item in state.answers if item.vm == index}
            yield (
                f"{index}: restarts",
                state._replace(
                    vms=put(state.vms, index, Vm()), answers=state.answers - own
                ),
            )

    def transitions(state):
        return [(label, normalise(after)) for label, after in steps(state)]

    def never_goes_back(fields):
        return all(vm.row.number == vm.highest for vm in fields["vms"])

    def is_settled(state):
        """Return whether nothing is on its way, and no answer would change a VM."""
        if state.answers or state.row.number < state.newest:
            return False
        relay, member = state.vms
        copied = read_relay(state)
        return receive(relay, read_store(state, RELAY)) == relay and (
            copied is None or receive(member, copied) == member
        )

    def settled_vms_have_the_newest(fields):
        state = State(**fields)
        if not is_settled(state):
            return True
        return all(vm.row.number == state.newest for vm in state.vms)

    initial = State(Position(0, 0), Row(), (), 0, (Vm(), Vm()), frozenset())
    return Protocol(
        name=f"configurations of a restored store {defect}",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "what is in force never goes back": never_goes_back,
            "all get the newest": settled_vms_have_the_newest,
        },
    )
