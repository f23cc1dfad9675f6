"""The router process of one VM: composition, readiness and the planned stop."""

import asyncio
import random
import secrets
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import cbor2

from endivelug.busiest import BusiestOrganisations
from endivelug.exceptions import (
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamUnreachable,
)
from endivelug.forwarding.attempt import AttemptRunner
from endivelug.forwarding.calls import Call, Delivered, Ending
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.decision_log import DecisionLog
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.forwarder import Forwarder
from endivelug.forwarding.front_server import Caller, FrontServer
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.forwarding.order_giver import EngineControl, OrderGiver
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.placing import OLD_WEIGHTS_MARGIN_S, Placement, Placer
from endivelug.forwarding.records import RecordFormat
from endivelug.forwarding.requests import WireFormat
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.row_store import RowStore, RowWrite
from endivelug.forwarding.silence import is_silent
from endivelug.forwarding.state_sync import StateSync
from endivelug.forwarding.upstream_connection import Headers
from endivelug.lease_keeper import LeaseKeeper, LeaseRows, boot_clock
from endivelug.leases import Lease
from endivelug.links import Identity

# Lease of the order giver: renewed three times before it ends.
LEASE_S = 1.5
RENEW_S = 0.5
CLOCK_BOUND_S = 0.1
# After a stop is announced, the platform still sends new connections for this long: it
# asks once a second and believes the second answer.
NOTICE_S = 2.3
# Kept before the end by force, to close connections and exit.
EXIT_MARGIN_S = 0.6
# Links to the peers are up and orders are given within this time after a start.
START_S = 3.0
SWEEP_S = 1.0
# An engine that reads a shared part is waited for this long beyond the expected time.
READING_MIN_S = 0.5
SILENCE_CHECK_S = 0.1
# Peers leave a silent instance for this long at a time.
SILENT_MARK_S = 1.0
REACH_S = 0.4
REACH_TIMEOUT_S = 0.4
JOIN_RETRY_S = 0.5
SECRET_KEY = "link-secret"
VM_PREFIX = "vm/"
METRICS_PORT = 9464


class Platform(Protocol):
    """The adapter to the platform that a node runs on."""

    @property
    def wire(self) -> WireFormat:
        """Headers of callers and upstreams."""

    @property
    def records(self) -> RecordFormat:
        """Rows of the platform's tables."""

    @property
    def store(self) -> RowStore:
        """The platform's store."""

    @property
    def lease_rows(self) -> LeaseRows:
        """Rows of leases."""

    @property
    def engines(self) -> EngineControl:
        """Reports and orders of engines."""

    @property
    def own_table(self) -> str:
        """Table for the rows of the routers themselves."""


class Node:
    """One router process.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    make_platform : callable
        Makes the adapter from the connection pool.
    log : DecisionLog
        Structured log lines.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        make_platform: Callable[[ConnectionPool], Platform],
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.log = log
        self.rng = rng
        self.clock = time.monotonic
        self.pool = ConnectionPool(clock=self.clock)
        self.platform = make_platform(self.pool)
        self.metrics = NodeMetrics(busiest=BusiestOrganisations())
        self.view = ClusterView(
            records=self.platform.records, clock=self.clock, log=log
        )
        # Old weights are still allowed within the time that a VM needs after its start.
        self.view.unknown_age_s = max(
            0.0, settings.weights_limit_s - OLD_WEIGHTS_MARGIN_S - START_S
        )
        self.view.on_gone = self._instance_gone
        self.budget = SharedRetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        )
        self.placer = Placer(
            view=self.view,
            data_centre=settings.data_centre,
            weights_limit_s=settings.weights_limit_s,
            clock=self.clock,
        )
        self.dispatcher = Dispatcher(placer=self.placer, clock=self.clock)
        self.view.on_change = self.dispatcher.wake
        self.sync = StateSync(
            store=self.platform.store, view=self.view, rng=rng, log=log
        )
        self.lease = Lease(
            data_centre="all",
            vm=settings.vm,
            lease_s=LEASE_S,
            clock_bound_s=CLOCK_BOUND_S,
            # Engines that check the fencing number refuse a late order by themselves.
            order_timeout_s=0.0 if settings.checks_fencing else settings.lease_s,
        )
        self.peers: Peers | None = None
        self.orders = OrderGiver(
            view=self.view,
            control=self.platform.engines,
            lease=self.lease,
            holder=settings.vm,
            announce=self._announce,
            clock=self.clock,
            lease_clock=boot_clock,
            checks_fencing=settings.checks_fencing,
            turn_s=settings.lease_s + CLOCK_BOUND_S,
            rng=rng,
            log=log,
        )
        self.keeper = LeaseKeeper(
            table=self.platform.lease_rows,
            lease=self.lease,
            renew_s=RENEW_S,
            is_candidate=self._is_candidate,
            rng=rng,
        )
        self.forwarder = self._make_forwarder()
        self.front = FrontServer(handler=self.forwarder.handle)
        self.ready = FrontServer(handler=self._answer_ready)
        self.admin = FrontServer(handler=self._answer_metrics)
        self.stopping = False
        self.lonely_since = self.clock()
        self._tasks: list[asyncio.Task[None]] = []

    def _make_forwarder(self) -> Forwarder:
        runner = AttemptRunner(
            wire=self.platform.wire,
            pool=self.pool,
            view=self.view,
            clock=self.clock,
            on_started=self._started,
        )
        return Forwarder(
            wire=self.platform.wire,
            view=self.view,
            dispatcher=self.dispatcher,
            runner=runner,
            budget=self.budget,
            metrics=self.metrics,
            clock=self.clock,
            rng=self.rng,
            log=self.log,
            on_avoid=self._avoided,
            on_sending=self._sending,
            on_ended=self._ended,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return self.view.complete and not self.stopping

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._listen()
        self.log("started", data_centre=self.settings.data_centre)
        for job in (
            self.sync.run(),
            self._join(),
            self.dispatcher.run(),
            self.orders.run(),
            self.keeper.run(),
            self._sweep(),
            self._watch_silence(),
        ):
            self._spawn(job)
        await stop.wait()
        await self._stop()

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(job)
        task.add_done_callback(self._job_ended)
        self._tasks.append(task)

    def _job_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.log("job-failed", reason=repr(task.exception()))

    def _listen(self) -> None:
        self.ready.listen(self.settings.ready)
        self.front.listen(self.settings.front)
        self.admin.listen(f"{self.settings.ip}:{METRICS_PORT}")

    def _reload(self) -> None:
        # Everything that may change at run time comes from the platform's tables.
        self.log("reloaded", changed=0)

    async def _join(self) -> None:
        """Make this VM known and link to the others."""
        while True:
            try:
                secret = await self._secret()
                break
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self.log("join-delayed", reason=str(error))
                await asyncio.sleep(JOIN_RETRY_S * self.rng.uniform(0.5, 1.0))
        peers = Peers(
            identity=Identity(
                vm=self.settings.vm,
                data_centre=self.settings.data_centre,
                role="router",
                incarnation=time.time_ns() // 1000,
                secret=secret,
            ),
            view=self.view,
            budget=self.budget,
            lease_left_s=lambda: self.lease.remaining_s(boot_clock()),
            ordered=self.orders.ordered,
            clock=self.clock,
            rng=self.rng,
            log=self.log,
        )
        await peers.listen(host=self.settings.ip, port=self.settings.link_port)
        self.peers = peers
        self.orders.ordered_by_peer_at = peers.ordered_by_peer_at
        self.view.on_weights = peers.saw_weights
        await self._dial_all(peers)
        await peers.run()

    async def _secret(self) -> bytes:
        """Return the secret of the links, made by the first VM."""
        store, table = self.platform.store, self.platform.own_table
        while True:
            page = await store.read(table, first=SECRET_KEY, last=SECRET_KEY + "!")
            for row in page.rows:
                return row.value
            write = RowWrite(
                table=table,
                key=SECRET_KEY,
                value=secrets.token_bytes(32),
                expected_version=0,
            )
            await store.write([write])

    async def _dial_all(self, peers: Peers) -> None:
        address = f"{self.settings.ip}:{self.settings.link_port}"
        own = RowWrite(
            table=self.platform.own_table,
            key=VM_PREFIX + self.settings.vm,
            value=cbor2.dumps(address),
        )
        while True:
            try:
                await self.platform.store.write([own])
                page = await self.platform.store.read(
                    self.platform.own_table, first=VM_PREFIX, last=VM_PREFIX + "\x7f"
                )
                break
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self.log("join-delayed", reason=str(error))
                await asyncio.sleep(JOIN_RETRY_S * self.rng.uniform(0.5, 1.0))
        for row in page.rows:
            peers.dial(row.key.removeprefix(VM_PREFIX), cbor2.loads(row.value))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.pool.sweep()
            self._share()

    async def _watch_silence(self) -> None:
        """Leave instances that give no sign, and return when they can be reached."""
        probes: dict[str, asyncio.Task[None]] = {}
        while True:
            await asyncio.sleep(SILENCE_CHECK_S)
            now = self.clock()
            for instance in self.view.registry.all():
                load = self.view.loads.of(instance.name)
                engine = bool(instance.model_versions)
                rate = self.placer.rate_of(instance.service).tokens_per_s
                if load.silent or not is_silent(
                    load, now=now, engine=engine, tokens_per_s=rate
                ):
                    continue
                load.silent = True
                self.pool.drop(instance.address)
                self.log(
                    "instance-silent",
                    instance=instance.name,
                    work=len(load.work),
                    quiet_s=round(now - load.last_answer_at, 2),
                )
                self._avoided(instance.name, SILENT_MARK_S)
                probes[instance.name] = asyncio.create_task(self._reach(instance))

    async def _reach(self, instance: Instance) -> None:
        """Wait until a new connection to a silent instance can be made."""
        load = self.view.loads.of(instance.name)
        while self.view.registry.get(instance.name) == instance:
            await asyncio.sleep(REACH_S * self.rng.uniform(0.7, 1.3))
            try:
                connection = await self.pool.acquire(
                    instance.address, timeout_s=REACH_TIMEOUT_S
                )
            except UpstreamUnreachable:
                self._avoided(instance.name, SILENT_MARK_S)
                continue
            self.pool.release(instance.address, connection, idle_s=None)
            break
        load.silent = False
        load.last_answer_at = self.clock()
        if self.view.registry.get(instance.name) == instance:
            self.log("instance-reached", instance=instance.name)
        self.dispatcher.wake()

    def _share(self) -> None:
        """Divide what all VMs share by the number of those that live."""
        if self.peers is not None:
            known = 1 + len(self.peers.known)
            self.budget.vms = max(self.peers.vms, known)
            self.placer.vms = self.peers.vms

    def _is_candidate(self) -> bool:
        """Return whether this VM should try to take the lease of orders.

        The first VM by name tries at once, the next ones later.
        """
        if self.stopping or not self.view.complete:
            return False
        now = self.clock()
        if self.peers is not None and self.peers.lease_heard():
            self.lonely_since = now
            return False
        rank = self.peers.rank() if self.peers is not None else 0
        return now - self.lonely_since > 0.6 * rank

    def _announce(self) -> None:
        if self.peers is not None:
            self.peers.announce()

    def _avoided(self, instance: str, for_s: float) -> None:
        if self.peers is not None:
            self.peers.mark(instance, "avoid", for_s)

    def _started(self, call: Call, placement: Placement) -> None:
        """Note the first byte of an answer and the parts that are now cached."""
        now = self.clock()
        name, request = placement.instance.name, call.request
        load = self.view.loads.of(name)
        work = load.work.get(request.id)
        alone = len(load.work) == 1 and not load.peers
        if work is not None and alone and request.prompt_tokens:
            rate = self.placer.rate_of(call.service)
            rate.observe(tokens=work.missing_tokens, seconds=now - work.sent_at)
        self.view.loads.started(name, request.id, now=now)
        self.metrics.started(call, now=now)
        if placement.namespace is None:
            return
        self._held(name, placement.namespace, call)
        self.dispatcher.wake()

    def _sending(self, placement: Placement) -> None:
        """Tell everyone which shared parts an engine begins to read."""
        if placement.namespace is None or not placement.reads:
            return
        name, parts = placement.instance.name, list(placement.reads)
        reading_s = READING_MIN_S + 2 * placement.expected_s
        self.view.caches.begin_reading(
            name,
            namespace=placement.namespace,
            parts=parts,
            until=self.clock() + reading_s,
        )
        if self.peers is not None:
            self.peers.hold(name, placement.namespace, parts, reading_s=reading_s)

    def _ended(self, call: Call, placement: Placement, ending: Ending | None) -> None:
        """Note what an attempt left in the caches."""
        if placement.namespace is None:
            return
        if isinstance(ending, Delivered) and placement.save_to is not None:
            # The engine sends the parts to the store once it has read them.
            self._held(placement.save_to, placement.namespace, call)
        if isinstance(ending, Delivered) or not placement.reads:
            return
        name, parts = placement.instance.name, list(placement.reads)
        self.view.caches.stop_reading(name, namespace=placement.namespace, parts=parts)
        if self.peers is not None:
            self.peers.hold(name, placement.namespace, parts, reading_s=-1.0)

    def _held(self, holder: str, namespace: str, call: Call) -> None:
        parts = call.request.prompt
        known = self.view.caches.held_tokens(holder, namespace=namespace, parts=parts)
        self.view.caches.note(holder, namespace=namespace, parts=parts)
        if self.peers is not None and known < sum(part.tokens for part in parts):
            self.peers.hold(holder, namespace, parts)

    def _instance_gone(self, instance: Instance) -> None:
        self.pool.drop(instance.address)
        if not self.view.loads.of(instance.name).work:
            self.view.loads.forget(instance.name)

    async def _answer_ready(
        self, method: str, target: str, headers: Headers, body: bytes, caller: Caller
    ) -> None:
        status = 200 if self.is_ready else 503
        await caller.start(status, "", [], b"")

    async def _answer_metrics(
        self, method: str, target: str, headers: Headers, body: bytes, caller: Caller
    ) -> None:
        configuration = self.view.configuration
        values = {
            "store_connected": float(self.sync.connected),
            "ready": float(self.is_ready),
            "peers": float(self.peers.vms - 1 if self.peers else 0),
            "in_progress": float(len(self.front.tasks)),
            "waiting": float(len(self.dispatcher.waiters)),
            "configuration_version": float(configuration.version)
            if configuration
            else 0.0,
            "lease_held": float(self.lease.remaining_s(boot_clock()) > 0),
            "log_lines_dropped": float(self.log.dropped_total),
            "connections_opened": float(self.pool.opened),
        }
        page = self.metrics.page(values)
        await caller.start(200, "", [("Content-Type", "text/plain")], page)

    async def _stop(self) -> None:
        """Finish what is in progress and hand the orders over."""
        now = self.clock()
        end_at = now + self.settings.grace_s - EXIT_MARGIN_S
        self.stopping = self.orders.stopping = self.front.closing = True
        self.log("stopping", in_progress=len(self.front.tasks))
        await self.keeper.resign()
        await asyncio.sleep(NOTICE_S)
        # The only VM of a data centre gets new connections until it refuses them.
        self.front.stop_accepting()
        self.forwarder.closed = True
        while self.clock() < end_at and self.front.tasks:
            self.front.close_idle()
            await asyncio.sleep(0.05)
        self.log("stopped", left=len(self.front.tasks))
        await self._close()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.peers is not None:
            await self.peers.close()
        await self.orders.close()
        await self.front.close()
        await self.ready.close()
        await self.admin.close()
        self.pool.close()
        self.log.flush()
