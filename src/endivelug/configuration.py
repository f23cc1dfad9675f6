"""The configuration in force: the content of both lists at one revision.

The revision never decreases. A configuration is updated by deltas or replaced by a
snapshot.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from endivelug._config_records import (
    DIGEST_MODULUS,
    Delta,
    MalformedRecord,
    organisation_hash,
    pack_snapshot,
    plan_hash,
    unpack_delta,
    unpack_snapshot,
)
from endivelug._organisation_table import (
    OrganisationTable,
    pack_organisation,
    unpack_organisation,
)
from endivelug.lists import (
    Change,
    Lists,
    Organisation,
    OrganisationRemoved,
    OrganisationSet,
    Plan,
    PlanRemoved,
    PlanSet,
    key_digest,
)

# Two snapshot intervals, so that a peer that was disconnected for a while can still be
# updated by deltas.
MAX_CACHED_DELTAS = 128
MAX_CACHED_DELTA_BYTES = 256 * 1024


@dataclass(slots=True, kw_only=True)
class Applied:
    """The received revision is now in force."""

    revision: int


@dataclass(slots=True, kw_only=True)
class Ignored:
    """The received revision is not newer than the one in force."""


@dataclass(slots=True, kw_only=True)
class Gap:
    """Changes between the revision in force and the received ones are missing.

    Attributes
    ----------
    held : int
        Revision in force.
    """

    held: int


@dataclass(slots=True, kw_only=True)
class Rejected:
    """The deltas or snapshot are malformed or do not match their digest.

    Attributes
    ----------
    reason : str
        Description of the error.
    """

    reason: str


UpdateResult = Applied | Ignored | Gap | Rejected


class Configuration:
    """Plans and organisations at one revision.

    Attributes
    ----------
    revision : int
        Revision in force; 0 before the first one.
    digest : int
        Order-independent digest of the content.
    plans : dict of str to Plan
        Plans by name.
    ignored, rejected : int
        Number of received deltas and snapshots that were not applied, by result.

    Examples
    --------
    >>> configuration = Configuration()
    >>> configuration.organisation_by_key("a caller key") is None
    True
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.plans: dict[str, Plan] = {}
        self.ignored = 0
        self.rejected = 0
        self._organisations = OrganisationTable()
        self._deltas: OrderedDict[int, bytes] = OrderedDict()
        self._delta_bytes = 0

    def organisation_by_key(self, caller_key: str) -> Organisation | None:
        """Return the organisation that a caller key belongs to, or None."""
        return self.organisation_by_key_digest(key_digest(caller_key))

    def organisation_by_key_digest(self, digest: bytes) -> Organisation | None:
        """Return the organisation that a SHA-256 key digest belongs to, or None."""
        record = self._organisations.record_of_key(digest)
        return None if record is None else unpack_organisation(record)

    def organisation(self, name: str) -> Organisation | None:
        """Return an organisation by name, or None."""
        record = self._organisations.record(name)
        return None if record is None else unpack_organisation(record)

    def plan_of(self, organisation: str) -> Plan | None:
        """Return the plan that an organisation holds, or None."""
        found = self.organisation(organisation)
        return None if found is None else self.plans.get(found.plan)

    def organisation_count(self) -> int:
        """Return the number of organisations."""
        return len(self._organisations)

    def organisations(self) -> Iterator[Organisation]:
        """Yield every organisation."""
        for record in self._organisations.records():
            yield unpack_organisation(record)

    def desired_versions(self) -> dict[str, str]:
        """Return the desired weights version of each model that a plan names."""
        return {
            model: version
            for plan in self.plans.values()
            for model, version in plan.versions.items()
        }

    def lists(self) -> Lists:
        """Return a copy as lists, which use about 400 bytes for each organisation."""
        return Lists(
            plans=dict(self.plans),
            organisations={found.name: found for found in self.organisations()},
        )

    def digest_after(self, changes: Iterable[Change]) -> int:
        """Return the digest that the content would have after the changes."""
        digest = self.digest
        for key, new_hash in self._changed_hashes(changes).items():
            digest += new_hash - self._current_hash(*key)
        return digest % DIGEST_MODULUS

    def apply_deltas(self, first: int, bodies: list[bytes]) -> UpdateResult:
        """Apply consecutive deltas, either all of them or none.

        Parameters
        ----------
        first : int
            Revision of the first delta.
        bodies : list of bytes
            Encoded deltas, one for each revision from ``first`` on.
        """
        last = first + len(bodies) - 1
        if last <= self.revision:
            self.ignored += 1
            return Ignored()
        if first > self.revision + 1:
            return Gap(held=self.revision)
        new = bodies[self.revision + 1 - first :]
        try:
            deltas = [unpack_delta(body) for body in new]
        except MalformedRecord as error:
            return self._reject(str(error))
        changes: list[Change] = []
        for delta in deltas:
            if delta.changes is None:
                return Gap(held=self.revision)
            changes.extend(delta.changes)
        if self.digest_after(changes) != deltas[-1].digest:
            return self._reject(f"the deltas up to {last} do not match their digest")
        for change in changes:
            self._apply_change(change)
        self.digest = deltas[-1].digest
        for body in new:
            self.revision += 1
            self._cache_delta(self.revision, body)
        return Applied(revision=self.revision)

    def apply_snapshot(
        self, revision: int, digest: int, body: bytes, *, from_table: bool = False
    ) -> UpdateResult:
        """Replace the content by a snapshot.

        Parameters
        ----------
        revision, digest : int
            Revision and digest that the snapshot claims to have.
        body : bytes
            Encoded snapshot, as returned by ``snapshot``.
        from_table : bool
            Whether revision and digest were read from the table. Only then may
            the snapshot replace different content at the same revision, which is
            a damaged copy.
        """
        repair = from_table and revision == self.revision and digest != self.digest
        if revision <= self.revision and not repair:
            self.ignored += 1
            return Ignored()
        try:
            plans, organisations, actual = unpack_snapshot(body)
        except MalformedRecord as error:
            return self._reject(str(error))
        if actual != digest:
            return self._reject(f"the snapshot {revision} does not match its digest")
        self.plans = plans
        self._organisations = organisations
        self.revision = revision
        self.digest = digest
        self._deltas.clear()
        self._delta_bytes = 0
        return Applied(revision=revision)

    def snapshot(self) -> bytes:
        """Encode the full configuration, in about 55 bytes for each organisation."""
        return pack_snapshot(self.plans, self._organisations)

    def deltas_after(self, held: int) -> list[bytes] | None:
        """Return the deltas after a revision, or None if they are not cached."""
        if held >= self.revision:
            return []
        if held + 1 not in self._deltas:
            return None
        return [self._deltas[number] for number in range(held + 1, self.revision + 1)]

    def _reject(self, reason: str) -> Rejected:
        self.rejected += 1
        return Rejected(reason=reason)

    def _changed_hashes(self, changes: Iterable[Change]) -> dict[tuple[str, str], int]:
        """Return the new hash of each record that changes; 0 for a removed one."""
        new_hashes: dict[tuple[str, str], int] = {}
        for change in changes:
            match change:
                case PlanSet(plan=plan):
                    new_hashes["plan", plan.name] = plan_hash(plan)
                case PlanRemoved(name=name):
                    new_hashes["plan", name] = 0
                case OrganisationSet(organisation=found):
                    record = pack_organisation(found)
                    new_hashes["organisation", found.name] = organisation_hash(record)
                case OrganisationRemoved(name=name):
                    new_hashes["organisation", name] = 0
        return new_hashes

    def _current_hash(self, kind: str, name: str) -> int:
        if kind == "plan":
            plan = self.plans.get(name)
            return 0 if plan is None else plan_hash(plan)
        record = self._organisations.record(name)
        return 0 if record is None else organisation_hash(record)

    def _apply_change(self, change: Change) -> None:
        match change:
            case PlanSet(plan=plan):
                self.plans[plan.name] = plan
            case PlanRemoved(name=name):
                self.plans.pop(name, None)
            case OrganisationSet(organisation=found):
                self._organisations.put(pack_organisation(found))
            case OrganisationRemoved(name=name):
                self._organisations.remove(name)

    def _cache_delta(self, revision: int, body: bytes) -> None:
        self._deltas[revision] = body
        self._delta_bytes += len(body)
        while self._deltas and (
            len(self._deltas) > MAX_CACHED_DELTAS
            or self._delta_bytes > MAX_CACHED_DELTA_BYTES
        ):
            _, dropped = self._deltas.popitem(last=False)
            self._delta_bytes -= len(dropped)


def build_configuration(lists: Lists) -> Configuration:
    """Build a configuration from the content of lists, at revision 0."""
    configuration = Configuration()
    for plan in lists.plans.values():
        configuration._apply_change(PlanSet(plan=plan))
    changes = [
        OrganisationSet(organisation=found) for found in lists.organisations.values()
    ]
    packed = (pack_organisation(change.organisation) for change in changes)
    configuration._organisations = OrganisationTable(b"".join(packed))
    digest = sum(plan_hash(plan) for plan in configuration.plans.values())
    digest += sum(
        organisation_hash(record) for record in configuration._organisations.records()
    )
    configuration.digest = digest % DIGEST_MODULUS
    return configuration


__all__ = [
    "Applied",
    "Configuration",
    "Delta",
    "Gap",
    "Ignored",
    "Rejected",
    "UpdateResult",
    "build_configuration",
]
