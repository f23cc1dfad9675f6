"""Checks of what callers and upstreams saw against the promises of the product."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .callers import Outcome
from .upstreams import EVENTS, Record, Run

NOT_RUN = (408, 421, 429, 503)
RETRY_RATIO = 0.2
RETRY_SLACK = 52
WINDOW_S = 10.0
# Time for a configuration to be in force, and slack of this machine.
APPLY_S = 2.0
MACHINE_SLACK_S = 0.5
CALM_SERVED_SHARE = 0.9
# Fewer requests than this say nothing about a share.
CALM_MIN_REQUESTS = 30


@dataclass(slots=True, kw_only=True)
class Grant:
    """A time in which a key was allowed, or not, and both VM and store were calm."""

    key: str
    allowed: bool
    begins_at: float
    ends_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class Calm:
    """When each part was last disturbed.

    Attributes
    ----------
    spans : list of (str, float, float)
        Part, begin and end of each disturbance; ``store`` and names of routers.
    """

    margin_s: float = 3.0
    spans: list[tuple[str, float, float]] = field(default_factory=list)

    def add(self, part: str, begin: float, end: float) -> None:
        """Note a disturbance."""
        self.spans.append((part, begin, end))

    def holds(self, parts: Iterable[str], begin: float, end: float) -> bool:
        """Return whether the parts were calm from before ``begin`` until ``end``."""
        names = set(parts)
        return not any(
            part in names and first <= end and begin - self.margin_s <= last
            for part, first, last in self.spans
        )


@dataclass(slots=True, kw_only=True)
class Promises:
    """Everything that was seen, and the violations in it."""

    outcomes: list[Outcome]
    record: Record
    calm: Calm
    grants: list[Grant]
    organisations: dict[str, str]
    isolated: set[str]

    def violations(self) -> list[str]:
        """Return a line for each promise that was broken."""
        found: list[str] = []
        for outcome in self.outcomes:
            found += self._answer(outcome)
            found += self._runs(outcome, self.record.runs.get(outcome.request, []))
            found += self._key(outcome)
            found += self._planned_stop(outcome)
        asked = {outcome.request for outcome in self.outcomes}
        found += [f"unasked: {name}" for name in self.record.runs if name not in asked]
        found += [f"key passed on: {name}" for name in self.record.keys_passed]
        found += [f"sent to a leaving upstream: {name}" for name in self.record.late]
        return found + self._namespaces() + self._budget() + self._availability()

    def _answer(self, outcome: Outcome) -> list[str]:
        if outcome.status != 200:
            return []
        if outcome.kind != "review":
            whole = outcome.body == outcome.request.encode()
            return [] if whole or not outcome.complete else [f"mixed: {outcome}"]
        events = outcome.body.decode().split("\n\n")[:-1]
        expected = [
            f"id: {number}\ndata: {outcome.request}-{number}"
            for number in range(1, EVENTS + 1)
        ]
        if events != expected[: len(events)]:
            return [f"order of events: {outcome.request} {events}"]
        if outcome.complete and len(events) < EVENTS:
            return [f"incomplete stream looks complete: {outcome.request}"]
        return []

    def _runs(self, outcome: Outcome, runs: list[Run]) -> list[str]:
        found = []
        if outcome.kind == "order" and len(runs) > 1:
            found.append(f"ran twice: {outcome.request} {runs}")
        if outcome.kind == "look" and len(runs) > 2:
            found.append(f"more attempts than allowed: {outcome.request}")
        if outcome.status in NOT_RUN and outcome.kind == "order" and runs:
            found.append(f"refused as not run, but ran: {outcome}")
        wanted = self.organisations.get(outcome.key)
        found += [
            f"wrong organisation: {outcome.request} {run.organisation}"
            for run in runs
            if run.organisation != wanted
        ]
        return found

    def _key(self, outcome: Outcome) -> list[str]:
        for grant in self.grants:
            begin = grant.begins_at + APPLY_S + MACHINE_SLACK_S
            if grant.key != outcome.key or not begin <= outcome.sent_at < grant.ends_at:
                continue
            parts = ("store", outcome.router)
            if not self.calm.holds(parts, grant.begins_at, outcome.ended_at):
                continue
            denied = outcome.status in (401, 403, 404)
            if grant.allowed and denied and outcome.ended_at < grant.ends_at:
                return [f"denied although allowed: {outcome}"]
            if not grant.allowed and outcome.status and not denied:
                return [f"allowed although revoked: {outcome}"]
        return []

    def _planned_stop(self, outcome: Outcome) -> list[str]:
        if not outcome.stopping or outcome.status or not outcome.connected:
            return []
        runs = self.record.runs.get(outcome.request)
        calm = self.calm.holds(
            ("store", outcome.router, "upstreams"), outcome.sent_at, outcome.ended_at
        )
        return [f"cut by a planned stop: {outcome}"] if runs and calm else []

    def _namespaces(self) -> list[str]:
        versions: dict[str, set[int | None]] = defaultdict(set)
        owners: dict[str, set[str | None]] = defaultdict(set)
        for runs in self.record.runs.values():
            for run in runs:
                if run.namespace is not None:
                    versions[run.namespace].add(run.weights)
                    owners[run.namespace].add(run.organisation)
        found = [
            f"one namespace for {v}: {name}"
            for name, v in versions.items()
            if len(v) > 1
        ]
        found += [
            f"isolated organisation shares a namespace: {names}"
            for names in owners.values()
            if len(names) > 1 and names & self.isolated
        ]
        return found

    def _budget(self) -> list[str]:
        found = []
        asked = sorted((item.sent_at, item.kind) for item in self.outcomes)
        for service, kinds in (("engines", {"review"}), ("desk", {"order", "look"})):
            arrivals = [item for item in self.record.arrivals if item[1] == service]
            seen: set[str] = set()
            repeats = []
            for at, _, request in arrivals:
                if request in seen:
                    repeats.append(at)
                seen.add(request)
            for begin in repeats:
                end = begin + WINDOW_S
                extra = sum(1 for at in repeats if begin <= at < end)
                requests = sum(
                    1 for at, kind in asked if begin <= at < end and kind in kinds
                )
                if extra > RETRY_RATIO * requests + RETRY_SLACK:
                    found.append(f"retry budget: {service} {extra} of {requests}")
                    break
        return found

    def _availability(self) -> list[str]:
        everything = {part for part, _, _ in self.calm.spans}
        calm = [
            item
            for item in self.outcomes
            if item.key != "unknown"
            and item.status != 401
            and self.calm.holds(everything, item.sent_at, item.ended_at)
        ]
        served = sum(1 for item in calm if item.served)
        if len(calm) >= CALM_MIN_REQUESTS and served < CALM_SERVED_SHARE * len(calm):
            return [f"served {served} of {len(calm)} requests of calm times"]
        return []
