"""Model of the order lease and of weights orders to one engine.

Time passes in ticks. A lease write, answered or not, may land at any later time and
any number of times while its condition holds. If the engine checks fencing numbers,
an order may arrive at any time after its sender checked the lease; this covers pauses
of any length between check and sending. If it does not, an order arrives within a
pause of ``PAUSE`` ticks plus its timeout. With a hand-over gap, the orders of two
agents that were sent without a pause must arrive at least that many ticks apart.
"""

from typing import NamedTuple

from minicheck import Protocol

LEASE = 2
TIMEOUT = 1
# A lease counts as expired one tick late, because clocks may differ by one tick.
EXPIRED = LEASE + 1
# Longest pause between the check and the sending of an order. The check is at lease
# age 0 at the latest, and the next holder plans at age EXPIRED + TIMEOUT or later.
PAUSE = EXPIRED - 1


class Write(NamedTuple):
    agent: int  # -1 for a resignation
    fencing: int
    base: int  # number of the write that this one replaces
    age: int  # ticks since the write was started, up to LEASE
    ready: int  # ticks until orders may be sent


class Agent(NamedTuple):
    seen: int = 0  # number of the write that was read last
    seen_age: int = 0  # ticks since that write was first read, up to EXPIRED
    held: int = 0  # number of the write that gives this agent the lease, or 0
    waiting: int = 0  # number of the own write without a response, or 0
    confirmed: int = 0  # fencing number that the engine has confirmed
    plan: int = 0  # fencing number under which a plan was made
    resigned: int = 0  # own writes up to this number no longer give the lease


class State(NamedTuple):
    row: int  # number of the write that is stored in the table
    writes: tuple
    agents: tuple
    order: tuple  # (sender, fencing of plan, fencing sent, age), or nothing
    engine: int  # highest fencing number that the engine has received
    planned: int  # highest fencing number of a plan
    stale: bool  # an order of an earlier plan ran after a later plan
    last: tuple  # (sender, ticks since arrival up to the gap) of the last order
    overlap: bool  # orders of two agents arrived within the gap


def make_protocol(*, checks, writes, defect="", gap=0):
    """Return the protocol of two agents with up to ``writes`` lease writes.

    ``checks`` tells whether the engine checks fencing numbers, ``gap`` is the least
    number of ticks between orders of two agents, and ``defect`` names a defect to add
    to the protocol, which is correct without one.
    """
    kept_gap = 0 if defect == "no gap" else gap

    no_write = Write(-1, 0, -1, LEASE, 0)

    def lease_remaining(state, agent):
        return LEASE - state.writes[agent.held].age if agent.held else 0

    def may_order(state, agent):
        ready = defect == "no wait" or state.writes[agent.held].ready == 0
        return lease_remaining(state, agent) > 0 and ready

    def may_send(state, agent):
        needed = 0 if checks or defect == "no margin" else TIMEOUT
        return may_order(state, agent) and lease_remaining(state, agent) > needed

    def read_row(state, index, agent):
        written = state.writes[state.row]
        own = written.agent == index and state.row > agent.resigned
        held = state.row if own else 0
        agent = agent._replace(held=held, waiting=0)
        if state.row != agent.seen:
            agent = agent._replace(seen=state.row, seen_age=0)
        return agent

    def next_lease_write(state, index, agent):
        """Return the lease write that the agent may start, or None."""
        seen = state.writes[agent.seen]
        if lease_remaining(state, agent) > 0:
            held = state.writes[agent.held]
            return Write(index, held.fencing, agent.seen, 0, held.ready)
        if agent.seen == 0 or seen.agent == -1:
            resigned = agent.seen and defect != "no gap after resignation"
            wait = kept_gap if resigned else 0
            return Write(index, seen.fencing + 1, agent.seen, 0, wait)
        if agent.seen_age >= EXPIRED or defect == "no expiry":
            wait = max(TIMEOUT, kept_gap)
            return Write(index, seen.fencing + 1, agent.seen, 0, wait)
        return None

    def steps_of(state, index):
        agent = state.agents[index]

        def with_agent(state=state, agent=agent, **changes):
            agents = list(state.agents)
            agents[index] = agent._replace(**changes)
            return state._replace(agents=tuple(agents))

        def start_write(write, **changes):
            after = state._replace(writes=(*state.writes, write))
            return with_agent(after, waiting=len(state.writes), **changes)

        fencing = state.writes[agent.held].fencing
        may_write = len(state.writes) <= writes
        # A read is also possible after a refused or an unanswered write.
        yield "read", with_agent(agent=read_row(state, index, agent))
        if agent.waiting:
            write = state.writes[agent.waiting]
            if defect == "unknown is held":
                yield "taken as held", with_agent(waiting=0, held=agent.waiting)
            if state.row in (write.base, agent.waiting):
                after, held = state._replace(row=agent.waiting), agent.waiting
                if defect == "counted from answer":
                    changed = list(state.writes)
                    changed[held] = write._replace(age=0)
                    after = after._replace(writes=tuple(changed))
                changes = {"seen": held, "seen_age": 0, "waiting": 0}
                held = held if write.agent == index else 0
                yield "answered", with_agent(after, held=held, **changes)
        else:
            write = next_lease_write(state, index, agent)
            if write and may_write:
                yield "write", start_write(write)
            busy = state.order and state.order[0] == index
            idle = not busy or defect == "resign with orders"
            if agent.held and idle and may_write:
                resignation = Write(-1, fencing, agent.seen, LEASE, 0)
                number = len(state.writes)
                yield (
                    "resign",
                    start_write(resignation, held=0, plan=0, resigned=number),
                )
        holds = lease_remaining(state, agent) > 0 and fencing >= state.engine
        if checks and holds and agent.confirmed != fencing:
            yield (
                "confirm",
                with_agent(state._replace(engine=fencing), confirmed=fencing),
            )
        may_plan = (
            not checks or agent.confirmed == fencing or defect == "no confirmation"
        )
        if may_order(state, agent) and agent.plan != fencing and may_plan:
            planned = max(state.planned, fencing)
            yield "plan", with_agent(state._replace(planned=planned), plan=fencing)
        plan_valid = agent.plan == fencing or defect == "plan not bound"
        if agent.plan and plan_valid and may_send(state, agent) and not state.order:
            order = (index, agent.plan, fencing, 0)
            yield "check and send", with_agent(state._replace(order=order), plan=0)

    def deliver_order(state):
        sender, plan, sent, age = state.order
        state = state._replace(order=())
        # Orders that were sent after a pause are not counted.
        if gap and age <= TIMEOUT:
            other = state.last and state.last[0] != sender
            overlap = state.overlap or bool(other and state.last[1] < gap)
            state = state._replace(last=(sender, 0), overlap=overlap)
        ignored = defect in ("engine does not check", "number kept")
        if checks and sent < state.engine and not ignored:
            return state
        stale = state.stale or plan < state.planned
        return state._replace(engine=max(state.engine, sent), stale=stale)

    def advance_tick(state):
        """Return the state one tick later, or None if an order must arrive first."""
        if state.order and state.order[3] >= PAUSE + TIMEOUT and not checks:
            return None
        aged = tuple(
            write._replace(age=min(write.age + 1, LEASE), ready=max(write.ready - 1, 0))
            for write in state.writes
        )
        agents = tuple(
            agent._replace(seen_age=min(agent.seen_age + 1, EXPIRED))
            for agent in state.agents
        )
        order = state.order
        if order and not checks:
            order = (*order[:3], order[3] + 1)
        last = state.last
        if last:
            last = (last[0], min(last[1] + 1, gap))
        return state._replace(writes=aged, agents=agents, order=order, last=last)

    def normalise(state):
        """Reset fields without effect on later steps, to merge equivalent states."""
        agents = []
        used = {state.row}
        for agent in state.agents:
            if lease_remaining(state, agent) == 0:
                plan = agent.plan if defect == "plan not bound" else 0
                agent = agent._replace(held=0, confirmed=0, plan=plan)
            if state.writes[agent.seen].agent == -1:
                agent = agent._replace(seen_age=0)
            if state.row >= agent.resigned:
                agent = agent._replace(resigned=0)
            agents.append(agent)
            used |= {agent.seen, agent.held, agent.waiting}
        relevant = [
            write if number in used or write.base == state.row else no_write
            for number, write in enumerate(state.writes)
        ]
        return state._replace(writes=tuple(relevant), agents=tuple(agents))

    def transitions(state):
        successors = []
        later = advance_tick(state)
        if later is not None:
            successors.append(("tick", later))
        for number, write in enumerate(state.writes):
            if number and (write.base == state.row or defect == "unconditional write"):
                successors.append(("write lands", state._replace(row=number)))
        if state.order:
            successors.append(("order arrives", deliver_order(state)))
            successors.append(("order lost", state._replace(order=())))
        for index in range(len(state.agents)):
            for label, after in steps_of(state, index):
                successors.append((f"{index}: {label}", after))
        return [(label, normalise(after)) for label, after in successors]

    def at_most_one_sender(fields):
        state = State(**fields)
        return sum(may_order(state, agent) for agent in state.agents) < 2

    return Protocol(
        name=f"orders checks={checks} {defect}",
        candidate=False,
        fields=State._fields,
        initial=State(0, (no_write,), (Agent(), Agent()), (), 0, 0, False, (), False),
        transitions=transitions,
        invariants={
            "no stale order runs": lambda state: not state["stale"],
            "at most one order giver": at_most_one_sender,
            "no overlap": lambda state: not state["overlap"],
        },
    )
