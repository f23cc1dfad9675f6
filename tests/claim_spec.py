"""Model of claiming, dispatching, recording and duplicates of one idempotency key.

Once sent, a write may take effect at any later time and any number of times. This
covers lost responses, delays, duplicated writes and outages after sending. An attempt
may crash, or pause for any time, between any two steps.
"""

from typing import NamedTuple

from minicheck import Protocol

DAYS = 2


class Row(NamedTuple):
    owner: int
    state: str  # claimed, released, ran, unresolved


class Attempt(NamedTuple):
    """One request with the key; ``step`` is the progress of its router."""

    step: str = "start"
    claim_unanswered: bool = False  # a claim was sent and no response arrived
    replaceable: tuple = (None,) * DAYS  # rows that the claim may replace
    dispatches: int = 0
    runs: int = 0
    released: bool = False  # a release landed, whether or not its condition held
    result: str = ""


class State(NamedTuple):
    rows: tuple
    sent_writes: frozenset
    attempts: tuple


def make_protocol(days, *, defect=""):
    """Return the protocol with one attempt per entry of ``days``.

    An entry is the day by the clock of the attempt's router. ``defect`` names a
    defect to add to the protocol, which is correct without one.
    """

    def visible(rows, day):
        """Return the rows that a router reads on ``day``, None for the others."""
        read_days = range(DAYS) if defect != "own day only" else (day,)
        return [rows[other] if other in read_days else None for other in range(DAYS)]

    def apply(state, write):
        """Return the state after a write, and whether its condition held."""
        kind, owner, detail = write
        day = days[owner]
        rows = list(state.rows)
        match kind:
            case "claim":
                holds = visible(rows, day) == visible(detail, day)
                holds = holds or defect == "unconditional claim"
                new = Row(owner, "claimed")
            case "release":
                keeps_row = defect != "delete on release"
                rows_before = (
                    (None,) * DAYS if defect == "release over nothing" else detail
                )
                free = keeps_row and visible(rows, day) == visible(rows_before, day)
                holds = free or rows[day] == Row(owner, "claimed")
                new = Row(owner, "released") if keeps_row else None
                attempts = list(state.attempts)
                attempts[owner] = attempts[owner]._replace(released=True)
                state = state._replace(attempts=tuple(attempts))
            case "outcome":
                holds = rows[day] == Row(owner, "claimed")
                new = Row(owner, detail)
            case "take over":
                holds = rows[day] == Row(detail, "claimed")
                new = Row(owner, "claimed")
        if holds:
            rows[day] = new
        return state._replace(rows=tuple(rows)), holds

    def send(state, write):
        return state._replace(sent_writes=state.sent_writes | {write})

    def apply_claim_response(state, index, attempt, holds):
        """Return the attempt after the table has answered its claim."""
        day = days[index]
        existing = [row for row in visible(state.rows, day) if row is not None]
        own = Row(index, "claimed") in existing and defect != "own claim ignored"
        if holds or own:
            return attempt._replace(step="won")
        conflicting = [row for row in existing if row.state != "released"]
        if conflicting:
            results = {"claimed": "in progress", "unresolved": "may have run"}
            result = results.get(conflicting[0].state, "ran")
            result = "own claim" if conflicting[0].owner == index else result
            return attempt._replace(step="end", result=result)
        if attempt.replaceable == state.rows:
            return attempt._replace(step="end", result="not run")
        return attempt._replace(step="start", replaceable=state.rows)

    def steps_of(state, index):
        attempt = state.attempts[index]

        def with_attempt(state=state, **changes):
            attempts = list(state.attempts)
            attempts[index] = attempt._replace(**changes)
            return state._replace(attempts=tuple(attempts))

        def end_unserved(label):
            """End the attempt, with a release if its claim may exist."""
            after = state
            if attempt.claim_unanswered or attempt.step != "start":
                after = send(state, ("release", index, attempt.replaceable))
            result = "may have run" if attempt.dispatches else "not run"
            return label, with_attempt(after, step="end", result=result)

        if attempt.step not in ("end", "crashed"):
            yield "crash", with_attempt(step="crashed")
        match attempt.step:
            case "start":
                yield end_unserved("table unavailable")
                claim = ("claim", index, attempt.replaceable)
                yield "send claim", with_attempt(send(state, claim), step="claiming")
                holder = state.rows[days[index]]
                if defect == "take over" and holder and holder.state == "claimed":
                    after, _ = apply(state, ("take over", index, holder.owner))
                    yield "take over", with_attempt(after, step="won")
            case "claiming":
                after, holds = apply(state, ("claim", index, attempt.replaceable))
                answered = apply_claim_response(after, index, attempt, holds)
                yield "claim answered", with_attempt(after, **answered._asdict())
                yield (
                    "claim unanswered",
                    with_attempt(step="start", claim_unanswered=True),
                )
                if defect == "dispatch when unknown":
                    yield "dispatch", with_attempt(step="dispatched", dispatches=1)
            case "won":
                yield end_unserved("upstream unreachable")
                yield "dispatch", with_attempt(step="dispatched", dispatches=1)
            case "dispatched":
                if attempt.runs:
                    recorded = send(state, ("outcome", index, "ran"))
                    yield (
                        "service answered",
                        with_attempt(recorded, step="end", result="ran"),
                    )
                if defect == "dispatch again" and attempt.dispatches < 2:
                    yield "dispatch again", with_attempt(dispatches=2)
                if defect == "release after dispatch":
                    yield end_unserved("no answer")
                    return
                recorded = send(state, ("outcome", index, "unresolved"))
                result = "may have run"
                if defect == "broken is not run":
                    result = "not run"
                yield "no answer", with_attempt(recorded, step="end", result=result)

    def transitions(state):
        successors = []
        for write in sorted(state.sent_writes, key=repr):
            successors.append((f"{write[0]} lands", apply(state, write)[0]))
        for index, attempt in enumerate(state.attempts):
            for label, after in steps_of(state, index):
                successors.append((f"{index}: {label}", after))
            if attempt.runs < attempt.dispatches:
                attempts = list(state.attempts)
                attempts[index] = attempt._replace(runs=attempt.runs + 1)
                after = state._replace(attempts=tuple(attempts))
                successors.append((f"{index}: runs", after))
        return successors

    def rows_are_accurate(state):
        for row in state["rows"]:
            if row is None:
                continue
            owner = state["attempts"][row.owner]
            if row.state == "ran" and not owner.runs:
                return False
            if row.state == "released" and owner.dispatches:
                return False
        return True

    def release_is_final(state):
        return not any(
            attempt.released and Row(index, "claimed") in state["rows"]
            for index, attempt in enumerate(state["attempts"])
        )

    invariants = {
        "runs at most once": lambda state: (
            sum(attempt.runs for attempt in state["attempts"]) <= 1
        ),
        "not run is true": lambda state: (
            not any(
                attempt.result == "not run" and attempt.dispatches
                for attempt in state["attempts"]
            )
        ),
        "ran is true": lambda state: (
            not any(attempt.result == "ran" for attempt in state["attempts"])
            or any(attempt.runs for attempt in state["attempts"])
        ),
        "rows are true": rows_are_accurate,
        "release is final": release_is_final,
        "own claim is recognised": lambda state: (
            not any(attempt.result == "own claim" for attempt in state["attempts"])
        ),
    }
    initial = State((None,) * DAYS, frozenset(), (Attempt(),) * len(days))
    return Protocol(
        name=f"claims of one key {days} {defect}",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
    )
