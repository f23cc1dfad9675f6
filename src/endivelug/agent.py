"""The program ``endivelug-agent``, which runs the control plane of one VM."""

import argparse
import asyncio
import contextlib
import gc
import math
import random
import signal
import sys
import time
from collections.abc import Sequence

import uvloop

import endivelug
from endivelug._tls import link_contexts
from endivelug.agent_logs import AgentLogs
from endivelug.agent_metrics import AgentMetrics
from endivelug.agent_orders import make_order_sender
from endivelug.agent_status import AgentStatus
from endivelug.cache_index_component import CacheIndexComponent
from endivelug.components import AgentContext, Component
from endivelug.config_sync import make_config_sync
from endivelug.exceptions import EndivelugError, SettingsError
from endivelug.links import Identity, Link, LinkServer
from endivelug.local_state import LocalStatePublisher
from endivelug.logs import start_logging
from endivelug.membership import Membership
from endivelug.mesh import Mesh
from endivelug.messages import Heartbeat, Message
from endivelug.settings import Settings, load_settings, split_list
from endivelug.share_network import make_share_component
from endivelug.upstream_probes import UpstreamProbes
from endivelug.upstreams import Upstreams
from endivelug.vm_list_sync import VmListSync

EXIT_FAILED = 1
EXIT_SETTINGS = 2
# Peers need one heartbeat to take over; the remaining time allows for a busy link.
LEAVE_NOTICE_S = 0.5


class Agent:
    """Creates the components of one agent and passes messages to them.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    rng : random.Random
        Random source for jitter and tokens.
    incarnation : int or None
        Start time in microseconds since the Unix epoch; None for the current time.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        rng: random.Random,
        incarnation: int | None = None,
    ) -> None:
        if incarnation is None:
            incarnation = time.time_ns() // 1000
        self.settings = settings
        self.server_tls, self.client_tls = link_contexts(settings.links)
        identity = Identity(
            vm=settings.vm.name,
            data_centre=settings.vm.data_centre,
            role="agent",
            incarnation=incarnation,
            secret=settings.links.secret.encode(),
        )
        membership = Membership(
            vm=identity.vm,
            data_centre=identity.data_centre,
            address=settings.agent.listen,
            incarnation=incarnation,
            dead_after_s=settings.agent.dead_after_s,
        )
        self.mesh = Mesh(seeds=split_list(settings.agent.peers), tls=self.client_tls)
        self.context = AgentContext(
            settings=settings,
            identity=identity,
            membership=membership,
            upstreams=Upstreams(),
            rng=rng,
            peers=self.mesh,
            dispatch=self.dispatch,
        )
        self.context.sync_handlers = {
            Heartbeat: self._handle_heartbeat,
        }
        self.mesh.set_context(self.context)
        self.local_state = LocalStatePublisher(context=self.context)
        self.vm_list = VmListSync(context=self.context)
        self.probes = UpstreamProbes(context=self.context)
        self.index = CacheIndexComponent(context=self.context)
        self.context.sync_handlers.update(self.index.sync_handlers())
        self.server = LinkServer(
            identity=identity,
            handler=self.dispatch,
            sync_handlers=self.context.sync_handlers,
            tls=self.server_tls,
            on_open=self._handle_accepted_link,
            on_close=self.mesh.remove_link,
        )
        self.config = make_config_sync(self.context)
        self.context.contact_age_s = self._contact_age_s
        self.context.platform_age_s = self.config.platform_age_s
        configuration = self.config.configuration
        self.orders = make_order_sender(self.context, configuration)
        self.components: list[Component] = [
            self.mesh,
            self.vm_list,
            self.probes,
            self.index,
            self.local_state,
            self.config,
            self.orders,
            make_share_component(self.context, configuration),
            AgentStatus(context=self.context),
            AgentLogs(
                context=self.context,
                configuration=configuration,
                orders=self.orders,
            ),
        ]
        self._handlers: dict[type, list[Component]] = {}
        for component in self.components:
            for message_type in component.message_types:
                self._handlers.setdefault(message_type, []).append(component)
        self._configuration_checks: set[asyncio.Task[None]] = set()
        self.metrics = AgentMetrics(agent=self)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> int:
        """Listen for links and start every component; return the bound port."""
        host, _, port = self.settings.agent.listen.rpartition(":")
        bound = await self.server.start(host=host.strip("[]"), port=int(port))
        if int(port) == 0:
            self.context.membership.own_record.address = f"{host}:{bound}"
        self.metrics.start(self.settings.agent.metrics_listen)
        self._tasks = [
            asyncio.create_task(component.run()) for component in self.components
        ]
        return bound

    async def stop(self) -> None:
        """Announce that the agent leaves, let its peers take over, then stop it."""
        self.context.membership.leave()
        self.mesh.send_heartbeats()
        self.context.notify_change()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await self.abort()

    async def abort(self) -> None:
        """Stop every component and server without announcing it to the peers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.stop()
        await self.metrics.stop()

    async def dispatch(self, link: Link, message: Message) -> Message | None:
        """Pass a message to each component that handles it; return the first reply."""
        reply: Message | None = None
        for component in self._handlers.get(type(message), ()):
            component_reply = await component.handle(link=link, message=message)
            if reply is None:
                reply = component_reply
        return reply

    def link_bytes(self) -> tuple[int, int]:
        """Return the payload bytes sent and received on all links, without framing."""
        sent, received = self.mesh.closed_link_bytes
        for link in {*self.server.links, *self.mesh.links.values()}:
            sent += link.sent_bytes
            received += link.received_bytes
        return sent, received

    def messages_received(self) -> int:
        """Return the number of messages received on all links."""
        links = {*self.server.links, *self.mesh.links.values()}
        return self.mesh.closed_link_received + sum(link.received for link in links)

    def messages_sent(self) -> int:
        """Return the number of messages sent on all links."""
        links = {*self.server.links, *self.mesh.links.values()}
        return self.mesh.closed_link_sent + sum(link.sent for link in links)

    def component_error(self) -> BaseException | None:
        """Return the exception of a component that failed, or None."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                return task.exception()
        return None

    def _contact_age_s(self) -> float:
        contacts = self.config.staleness.contacts(now=self.context.clock())
        return min((contact.age_s for contact in contacts), default=math.inf)

    def _handle_heartbeat(self, link: Link, message: Message) -> None:
        """Record a heartbeat and compare its configuration with this agent's.

        A heartbeat from this data centre with the same revision and digest is not
        compared, because it has no new information.
        """
        assert isinstance(message, Heartbeat)
        self.mesh.apply_heartbeat(link, message)
        peer_version = (message.revision, message.digest)
        is_local = link.peer.data_centre == self.context.membership.data_centre
        if peer_version != self.context.revision_and_digest() or not is_local:
            task = asyncio.create_task(self._compare_configuration(link, message))
            self._configuration_checks.add(task)
            task.add_done_callback(self._configuration_checks.discard)

    async def _compare_configuration(self, link: Link, message: Message) -> None:
        with contextlib.suppress(EndivelugError):
            await self.config.handle(link=link, message=message)

    def _handle_accepted_link(self, link: Link) -> None:
        self.mesh.add_link(link)
        for notify in self.context.on_link:
            notify(link)


async def serve(settings: Settings) -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    start_logging(program="endivelug-agent", vm=settings.vm.name)
    agent = Agent(settings=settings, rng=random.Random())
    try:
        port = await agent.start()
    except OSError as error:
        print(
            f"cannot listen on {settings.agent.listen} ({error.strerror}); "
            "free the address or change [agent] listen",
            file=sys.stderr,
        )
        return EXIT_FAILED
    print(f"listening on port {port}", flush=True)
    # The objects created at start live as long as the process, so later garbage
    # collections can skip them.
    gc.collect()
    gc.freeze()
    while not stop.is_set():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await stop.wait()
        failure = agent.component_error()
        if failure is not None:
            print(f"a component failed: {failure!r}; restart", file=sys.stderr)
            await agent.abort()
            return EXIT_FAILED
    await agent.stop()
    return 0


def main(argv: Sequence[str] | None = None) -> None:
    """Run the agent of one VM."""
    parser = argparse.ArgumentParser(
        prog="endivelug-agent",
        description="Run the control plane of one VM.",
        epilog="exit codes: 0 stopped on request, 1 failed, 2 invalid settings",
    )
    parser.add_argument("--version", action="version", version=endivelug.__version__)
    parser.add_argument("settings", help="path of the settings file (INI)")
    arguments = parser.parse_args(argv)
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        sys.exit(uvloop.run(serve(settings)))
    except EndivelugError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
