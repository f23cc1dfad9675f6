"""Program ``endivelug-router``, which routes the callers' traffic of one VM."""

import asyncio
import random
import signal
import sys
import time
from typing import Any

import defopt
import uvloop
from tornado.httpserver import HTTPServer

import endivelug
from endivelug import metrics as metrics_module
from endivelug._response_memory import ResponseMemory
from endivelug._tls import client_context, link_contexts, server_context
from endivelug.admin_http import make_admin_application
from endivelug.admission import Admission
from endivelug.admission_gate import AdmissionGate
from endivelug.busiest import BusiestOrganisations
from endivelug.caller_handler import HandlerContext, watch_callers
from endivelug.chat_routing import ChatRouting, engine_group
from endivelug.claim_writer import ClaimWriter
from endivelug.drain import Drain, run_drain
from endivelug.ejection import Ejector
from endivelug.engine_client import EngineClient
from endivelug.exceptions import SettingsError
from endivelug.limits import RouterLimiter
from endivelug.links import Identity
from endivelug.logs import log_change, start_logging
from endivelug.object_store import ObjectStore
from endivelug.placement import OBJECTIVES
from endivelug.plan_limits import limits_lookup
from endivelug.retries import RetryPolicy
from endivelug.router_engines import RouterEngines
from endivelug.router_http import make_router_application
from endivelug.router_links import RouterLinks
from endivelug.router_state import RouterState
from endivelug.service_calls import ServiceCalls
from endivelug.service_client import MAX_HELD_BYTES, ServiceClient
from endivelug.settings import Settings, load_settings
from endivelug.shares import ShareClient
from endivelug.stream_ids import StreamIdSigner
from endivelug.table import Table

EXIT_FAILED = 1
EXIT_SETTINGS = 2
LABEL_ROTATION_INTERVAL_S = 600.0
IDLE_CONNECTION_TIMEOUT_S = 120.0


class Router:
    """Router of one VM, composed of its components.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    rng : random.Random
        Source of all jitter and random choices.
    """

    def __init__(self, *, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.drain_state = Drain(
            notice_s=settings.router.drain_notice_s,
            limit_s=settings.router.drain_limit_s,
        )
        secret = settings.links.secret.encode()
        incarnation = time.time_ns() // 1000
        _, link_tls = link_contexts(settings.links)
        self.state = RouterState(
            settings=settings,
            clock=self.clock,
            rng=rng,
            on_change=self._upstreams_changed,
            on_revision=self._revision_changed,
        )
        self.links = RouterLinks(
            identity=Identity(
                vm=settings.vm.name,
                data_centre=settings.vm.data_centre,
                role="router",
                incarnation=incarnation,
                secret=secret,
            ),
            agent_address=settings.agent.listen,
            handler=self.state.handle,
            rng=rng,
            tls=link_tls,
        )
        data_centres = settings.vm.all_data_centres()
        self.limiter = RouterLimiter(
            data_centre=(
                data_centres.index(settings.vm.data_centre),
                len(data_centres),
            ),
            incarnation=incarnation,
        )
        self.shares = ShareClient(
            limiter=self.limiter,
            link_to_owner=self.links.link_to_organisation_owner,
            limits_of=limits_lookup(self.state.configuration),
            clock=self.clock,
        )
        self.ejector = ejector = Ejector(rng=rng)
        self.engines = RouterEngines(pools=settings.pools, ejector=ejector)
        self.admission = Admission()
        self.gate = AdmissionGate(admission=self.admission, clock=self.clock)
        self.metrics = metrics_module.RouterMetrics(busiest=BusiestOrganisations())
        self.client = self._make_engine_client()
        self.routing = ChatRouting(
            engines=self.engines,
            ejector=ejector,
            gate=self.gate,
            shares=self.shares,
            links=self.links,
            client=self.client,
            stream_id_signer=StreamIdSigner(secret=secret),
            retry=RetryPolicy(rng=rng),
            metrics=self.metrics,
            objective=OBJECTIVES[settings.router.objective],
            secret=secret,
            lookup_timeout_s=settings.router.lookup_timeout_s,
            rng=rng,
            clock=self.clock,
        )
        self.claim_writer = self._make_claim_writer(rng)
        self.context = HandlerContext(
            settings=settings,
            state=self.state,
            routing=self.routing,
            service_calls=self._make_service_calls(),
            drain_state=self.drain_state,
            in_flight=set(),
        )
        self.server = HTTPServer(
            make_router_application(self.context, ready=self.is_ready),
            ssl_options=server_context(
                settings.router.tls_certificate, settings.router.tls_key
            ),
            max_header_size=int(settings.router.header_bytes),
            max_body_size=int(settings.router.request_body_bytes),
            max_buffer_size=int(settings.router.request_body_bytes) + 65536,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        self.admin_server = HTTPServer(
            make_admin_application(self.context, ready=self.is_ready),
            max_header_size=int(settings.router.header_bytes),
            max_body_size=int(settings.router.request_body_bytes),
            max_buffer_size=int(settings.router.request_body_bytes) + 65536,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._engine_groups: set[str] = set()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new requests."""
        return self.drain_state.ready and self.state.refusal() is None

    def start(self) -> None:
        """Start to listen, connect to the agents and start the background tasks."""
        for server, listen in (
            (self.server, self.settings.router.listen),
            (self.admin_server, self.settings.router.admin_listen),
        ):
            host, _, port = listen.rpartition(":")
            server.listen(int(port), address=host.strip("[]"))
        self.links.start()
        self._tasks = [
            asyncio.create_task(self.shares.run()),
            asyncio.create_task(self._rotate_labels()),
            asyncio.create_task(self._log_readiness()),
            asyncio.create_task(watch_callers(self.context.in_flight)),
        ]

    async def drain(self) -> bool:
        """Stop accepting requests and wait for those in flight.

        Returns
        -------
        finished : bool
            Whether all requests finished and their outcomes were recorded in time.
        """
        log_change("router-draining", in_flight=self._in_flight())
        finished = await run_drain(
            self.drain_state,
            clock=self.clock,
            in_flight=self._in_flight,
            stop_accepting=self.server.stop,
        )
        for handler in list(self.context.in_flight):
            handler.end_unfinished()
        unfinished = self.drain_state.aborted
        # Wait for outcomes that are still being recorded after the response was sent.
        for calls in self.context.service_calls.values():
            unfinished += await calls.drain(deadline=self.drain_state.finish_until)
        log_change("router-stopped", left=unfinished)
        return finished and unfinished == 0

    async def close(self) -> None:
        """Stop the background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.links.stop()
        await self.client.close()
        self.admin_server.stop()
        await self.server.close_all_connections()
        await self.admin_server.close_all_connections()

    def _in_flight(self) -> int:
        return len(self.context.in_flight)

    def _make_engine_client(self) -> EngineClient:
        pools = [pool for pool in self.settings.pools.values() if pool.kind == "engine"]
        first = pools[0] if pools else None
        return EngineClient(
            tls=client_context(first.tls_ca) if first else None,
            credential=first.credential if first else "",
        )

    def _make_claim_writer(self, rng: random.Random) -> ClaimWriter:
        table = Table.open(self.settings.platform)
        return ClaimWriter(table=table, rng=rng, clock=self.clock)

    def _make_service_calls(self) -> dict[str, ServiceCalls]:
        platform = self.settings.platform
        objects = ObjectStore(
            url=platform.object_store,
            credential=platform.credential,
            tls=client_context(platform.tls_ca),
        )
        memory = ResponseMemory(limit_bytes=MAX_HELD_BYTES)
        return {
            name: ServiceCalls(
                vm=self.settings.vm.name,
                writer=self.claim_writer,
                client=ServiceClient(
                    credential=pool.credential,
                    tls=client_context(pool.tls_ca),
                    clock=self.clock,
                    memory=memory,
                ),
                objects=objects,
                may_retry=self.routing.retry.budget.try_acquire,
                clock=self.clock,
            )
            for name, pool in self.settings.pools.items()
            if pool.kind == "service"
        }

    def _upstreams_changed(self) -> None:
        agents = self.state.agents
        self.links.set_agents(agents)
        live = sorted(agent.vm for agent in agents if not agent.leaving)
        own = self.settings.vm.name
        if own in live:
            self.limiter.router = (live.index(own), len(live))
        self.admission.routers = self.ejector.routers = max(1, len(live))
        removed = self.engines.update(list(self.state.upstreams.values()))
        for placement in self.routing.placements.values():
            for engine in removed:
                placement.forget(engine)
        self._update_engine_groups()
        self.gate.wake()

    def _update_engine_groups(self) -> None:
        bounds_by_group = {
            engine_group(model, version): self.engines.bounds(
                model=model, version=version
            )
            for state in self.engines.engines.values()
            for model, version in state.versions.items()
        }
        for name in self._engine_groups - bounds_by_group.keys():
            self.admission.set_engines(name, {})
        for name, bounds in bounds_by_group.items():
            self.admission.set_engines(name, bounds)
        self._engine_groups = set(bounds_by_group)

    def _revision_changed(self) -> None:
        revision = self.state.configuration.revision
        self.links.revision = revision
        log_change("revision-in-force", revision=revision)

    async def _rotate_labels(self) -> None:
        while True:
            await asyncio.sleep(LABEL_ROTATION_INTERVAL_S)
            self.metrics.rotate_labels()

    async def _log_readiness(self) -> None:
        previous: str | None = None
        while True:
            refusal = self.state.refusal()
            now = "ready" if refusal is None else refusal.kind
            if now != previous:
                log_change("router-readiness", state=now)
                previous = now
            await asyncio.sleep(1.0)


async def serve(settings: Settings) -> int:
    """Run a router until SIGTERM or SIGINT and return the exit code."""
    start_logging(program="endivelug-router", vm=settings.vm.name)
    router = Router(settings=settings, rng=random.Random())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        router.start()
    except OSError as error:
        print(
            f"cannot listen ({error}); free the addresses of [router] or change them",
            file=sys.stderr,
        )
        return EXIT_FAILED
    await stop.wait()
    finished = await router.drain()
    await router.close()
    return 0 if finished else EXIT_FAILED


def run(settings: str) -> None:
    """Run the router of one VM.

    Exit codes: 0 after a planned stop, 1 if it failed or requests were aborted, 2 if
    the settings are invalid.

    Parameters
    ----------
    settings : str
        Path of the settings file (INI).
    """
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(uvloop.run(serve(checked)))


def main(argv: list[str] | None = None) -> Any:
    """Run the command line."""
    return defopt.run(run, argv=argv, version=endivelug.__version__)


if __name__ == "__main__":
    main()
