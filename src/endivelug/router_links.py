"""Links of a router to the agent of its VM and to all agents of its data centre."""

import asyncio
import random
import ssl

from endivelug import _rendezvous
from endivelug.exceptions import LinkBusy, LinkClosed
from endivelug.links import Handler, Identity, Link, LinkKeeper
from endivelug.messages import (
    AgentEntry,
    Announce,
    EngineView,
    Finish,
    Lookup,
    LookupReply,
    Subscribe,
)


class RouterLinks:
    """Finds the agent that owns a key by rendezvous hashing and sends messages to it.

    Parameters
    ----------
    identity : Identity
        Identity of this router.
    agent_address : str
        IP address and port of the agent of this VM.
    handler : callable
        Handler of messages from the agent of this VM.
    rng : random.Random
        Source of the reconnect jitter.
    tls : ssl.SSLContext or None
        Client context of the links.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        agent_address: str,
        handler: Handler,
        rng: random.Random,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.identity = identity
        self.rng = rng
        self.tls = tls
        self.revision = 0
        self.keepers: dict[str, LinkKeeper] = {}
        self.owners: list[str] = []
        self.addresses: dict[str, str] = {}
        self._owner_of_engine: dict[str, str | None] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.agent_link = LinkKeeper(
            address=agent_address,
            identity=identity,
            handler=handler,
            rng=rng,
            tls=tls,
            on_open=self._send_subscribe,
        )
        self._agent_link_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the link to the agent of this VM."""
        self._agent_link_task = asyncio.create_task(self.agent_link.run())

    async def stop(self) -> None:
        """Close every link."""
        tasks = list(self._tasks.values())
        if self._agent_link_task is not None:
            tasks.append(self._agent_link_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_agents(self, agents: list[AgentEntry]) -> None:
        """Set the agents of the data centre; leaving agents own no keys."""
        self.owners = [agent.vm for agent in agents if not agent.leaving]
        self._owner_of_engine.clear()
        addresses = {agent.vm: agent.address for agent in agents}
        for vm in list(self.keepers):
            if addresses.get(vm) != self.keepers[vm].address:
                self._tasks.pop(vm).cancel()
                del self.keepers[vm]
        for vm, address in addresses.items():
            if vm not in self.keepers:
                keeper = LinkKeeper(
                    address=address,
                    identity=self.identity,
                    handler=_ignore_message,
                    rng=self.rng,
                    tls=self.tls,
                )
                self.keepers[vm] = keeper
                self._tasks[vm] = asyncio.create_task(keeper.run())

    def owner_of_engine(self, engine: str) -> str | None:
        """Return the VM that owns an engine, or None if there are no agents."""
        # Cached: ranking 70 agents takes 30 us, too long to repeat for each of
        # 53 engines on every request.
        if engine not in self._owner_of_engine:
            owner = _rendezvous.owner(f"engine:{engine}", self.owners)
            self._owner_of_engine[engine] = owner
        return self._owner_of_engine[engine]

    async def lookup(
        self,
        *,
        request: bytes,
        engines: list[str],
        keys: list[int],
        work_class: str,
        timeout_s: float,
    ) -> dict[str, EngineView]:
        """Request the state of engines from their owners.

        Parameters
        ----------
        request : bytes
            Request id.
        keys : list of int
            Keys of the prompt's segments, root first.
        timeout_s : float
            Time limit of each owner's reply.

        Returns
        -------
        dict of str to EngineView
            State by engine. An engine is missing if its owner did not reply in time
            or has no state of it.
        """
        by_owner: dict[str, list[str]] = {}
        for engine in engines:
            owner = self.owner_of_engine(engine)
            if owner is not None:
                by_owner.setdefault(owner, []).append(engine)
        replies = await asyncio.gather(
            *(
                self._lookup_one(
                    owner,
                    Lookup(
                        request=request,
                        engines=names,
                        keys=keys,
                        work_class=work_class,
                    ),
                    timeout_s,
                )
                for owner, names in by_owner.items()
            )
        )
        return {view.engine: view for views in replies for view in views if view.known}

    def announce(self, message: Announce) -> None:
        """Announce dispatched work to the owner of its engine; loss is harmless."""
        self._send_to_owner(message.engine, message)

    def finish(self, message: Finish) -> None:
        """Report finished work to its engine's owner; if lost, the entry expires."""
        self._send_to_owner(message.engine, message)

    def link_to_organisation_owner(self, organisation: str) -> Link:
        """Return the link to the agent that owns an organisation's budget.

        Raises
        ------
        LinkClosed
            If no owner is known or the link to it is down.
        """
        return self._link(_rendezvous.owner(f"org:{organisation}", self.owners))

    def _send_subscribe(self, link: Link) -> None:
        link.send(Subscribe(held=self.revision))

    def _link(self, vm: str | None) -> Link:
        keeper = self.keepers.get(vm) if vm is not None else None
        if keeper is None:
            raise LinkClosed("no owner is known; use the fallback")
        return keeper.require_link()

    async def _lookup_one(
        self, owner: str, message: Lookup, timeout_s: float
    ) -> list[EngineView]:
        try:
            reply = await self._link(owner).request(message, timeout_s=timeout_s)
        except (LinkClosed, LinkBusy, TimeoutError):
            return []
        return reply.views if isinstance(reply, LookupReply) else []

    def _send_to_owner(self, engine: str, message: Announce | Finish) -> None:
        try:
            self._link(self.owner_of_engine(engine)).send(message)
        except (LinkClosed, LinkBusy):
            pass


async def _ignore_message(link: Link, message: object) -> None:
    return None
