"""Survey of the data centres that have a configuration revision in force."""

import asyncio
import contextlib
import random
import ssl
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field

from endivelug.config_store import Committed
from endivelug.exceptions import EndivelugError
from endivelug.links import Identity, Link, open_link
from endivelug.messages import ConfigDelta, Message, Status, StatusRequest, VmStatus

# Number of agents queried in each data centre; any of them knows all the others.
MAX_AGENTS_PER_DATA_CENTRE = 2
REQUEST_TIMEOUT_S = 5.0
# Upper bound of the age of a message on arrival, because a link without traffic is
# closed after 40 s.
CONTACT_MARGIN_S = 60.0


@dataclass(slots=True, kw_only=True)
class DataCentreReport:
    """Revisions that the agents of one data centre hold.

    Attributes
    ----------
    reached : bool
        Whether any agent that replied reports a live agent in this data centre.
    lowest_revision : int
        Lowest revision of its live agents; 0 if it was not reached.
    agents, agents_behind : int
        Number of live agents, and of those below the requested revision.
    silent_agents : list of str
        Agents that are dead in the view of their peers. Such an agent may still run
        and use an older revision.
    """

    data_centre: str
    reached: bool = False
    lowest_revision: int = 0
    agents: int = 0
    agents_behind: int = 0
    silent_agents: list[str] = field(default_factory=list)

    def in_force(self) -> bool:
        """Return whether every live agent has the requested revision."""
        return self.reached and self.agents > 0 and self.agents_behind == 0


@dataclass(slots=True, kw_only=True)
class SurveyResult:
    """Combined status of all data centres and VMs.

    Attributes
    ----------
    data_centres : list of DataCentreReport
        Every data centre in the VM list or in the status of an agent.
    vms : list of VmStatus
        Every VM in the status of an agent.
    """

    data_centres: list[DataCentreReport] = field(default_factory=list)
    vms: list[VmStatus] = field(default_factory=list)

    def not_in_force(self) -> list[DataCentreReport]:
        """Return the data centres that do not have the revision in force."""
        return [report for report in self.data_centres if not report.in_force()]


async def _ignore(link: Link, message: Message) -> Message | None:
    return None


@contextlib.asynccontextmanager
async def _connect(
    address: str, identity: Identity, tls: ssl.SSLContext | None
) -> AsyncIterator[Link]:
    link = await open_link(address=address, identity=identity, handler=_ignore, tls=tls)
    task = asyncio.create_task(link.run())
    try:
        yield link
    finally:
        await link.close()
        await task


class AgentSurvey:
    """Queries agents of every data centre for the revisions of their VMs.

    Parameters
    ----------
    agents : dict of str to list of str
        Addresses of agents by data centre.
    identity : Identity
        Identity with the role ``operator``.
    rng : random.Random
        Source of randomness for the choice of agents.
    tls : ssl.SSLContext or None
        Client context of the links, or None for plain TCP.
    """

    def __init__(
        self,
        *,
        agents: dict[str, list[str]],
        identity: Identity,
        rng: random.Random,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.agents = agents
        self.identity = identity
        self.rng = rng
        self.tls = tls

    async def query(
        self, revision: int, delta: ConfigDelta | None = None
    ) -> SurveyResult:
        """Return the state of every data centre relative to a revision.

        Parameters
        ----------
        revision : int
            Revision that should be in force.
        delta : ConfigDelta or None
            Change to send to the queried agents, so that a data centre that cannot
            reach the table also receives it.
        """
        chosen = [
            address
            for addresses in self.agents.values()
            for address in self.rng.sample(
                addresses, min(MAX_AGENTS_PER_DATA_CENTRE, len(addresses))
            )
        ]
        statuses = await asyncio.gather(
            *(self._query_agent(item, delta) for item in chosen)
        )
        return merge_statuses(statuses, names=self.agents, revision=revision)

    async def _query_agent(
        self, address: str, delta: ConfigDelta | None
    ) -> Status | None:
        try:
            async with (
                asyncio.timeout(REQUEST_TIMEOUT_S),
                _connect(address, self.identity, self.tls) as link,
            ):
                if delta is not None:
                    link.send(delta)
                reply = await link.request(StatusRequest(), timeout_s=REQUEST_TIMEOUT_S)
                return reply if isinstance(reply, Status) else None
        except (EndivelugError, TimeoutError):
            return None


def make_delta(committed: Committed) -> ConfigDelta | None:
    """Return a committed edit as a message, or None if it changed nothing."""
    if not committed.body:
        return None
    return ConfigDelta(
        first=committed.revision,
        last=committed.revision,
        digest=committed.digest,
        bodies=[committed.body],
    )


def merge_statuses(
    statuses: Iterable[Status | None], *, names: Iterable[str], revision: int
) -> SurveyResult:
    """Combine the statuses of several agents.

    For a VM, the highest reported revision counts, because revisions never decrease;
    its state is the one most recently seen by any agent.

    Examples
    --------
    >>> merge_statuses([None], names=["a"], revision=1).not_in_force()[0].reached
    False
    """
    vms: dict[str, VmStatus] = {}
    for status in statuses:
        for vm in status.vms if status is not None else []:
            known = vms.get(vm.vm)
            if known is None:
                vms[vm.vm] = vm
                continue
            known.revision = max(known.revision, vm.revision)
            if vm.age_s < known.age_s:
                known.state, known.age_s = vm.state, vm.age_s
    reports = {name: DataCentreReport(data_centre=name) for name in names}
    for vm in vms.values():
        report = reports.setdefault(
            vm.data_centre, DataCentreReport(data_centre=vm.data_centre)
        )
        if vm.state == "dead":
            report.silent_agents.append(vm.vm)
            continue
        report.lowest_revision = (
            min(report.lowest_revision, vm.revision) if report.agents else (vm.revision)
        )
        report.reached = True
        report.agents += 1
        report.agents_behind += vm.revision < revision
    return SurveyResult(
        data_centres=[reports[name] for name in sorted(reports)],
        vms=[vms[name] for name in sorted(vms)],
    )
