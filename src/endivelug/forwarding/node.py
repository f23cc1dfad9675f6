"""The router process of one VM: composition, readiness and the planned stop."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from endivelug.busiest import BusiestOrganisations
from endivelug.forwarding.adapter import Platform
from endivelug.forwarding.attempt import AttemptRunner
from endivelug.forwarding.cache_notes import CacheNotes
from endivelug.forwarding.cache_store_watch import CacheStoreWatch
from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.decision_log import DecisionLog
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.forwarder import Forwarder
from endivelug.forwarding.front_server import FrontServer, Writer
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.forwarding.order_giver import OrderGiver
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.placement import OLD_WEIGHTS_MARGIN_S, Placement, Placer
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.silence_watch import SilenceWatch
from endivelug.forwarding.state_sync import StateSync
from endivelug.forwarding.stream_recovery import StreamRecovery
from endivelug.forwarding.upstream_connection import Headers
from endivelug.forwarding.vm_join import VmJoin
from endivelug.forwarding.vm_rows import VmRows
from endivelug.lease_keeper import LeaseKeeper, boot_clock
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
# The next candidate for the lease tries this much later.
CANDIDATE_STEP_S = 0.6
SWEEP_S = 1.0
# A background job that failed starts again after this time.
RESTART_S = 0.5
METRICS_PORT = 9464


Job = Callable[[], Coroutine[Any, Any, None]]


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
        self.view.assumed_weights_age_s = max(
            0.0, settings.weights_limit_s - OLD_WEIGHTS_MARGIN_S - START_S
        )
        self.view.on_instance_removed = self._instance_gone
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
        self.view.on_change = self.dispatcher.schedule_assignment
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
        self.orders = OrderGiver(
            view=self.view,
            control=self.platform.engines,
            lease=self.lease,
            holder=settings.vm,
            announce=lambda: self.peers.announce(),
            clock=self.clock,
            lease_clock=boot_clock,
            checks_fencing=settings.checks_fencing,
            turn_s=settings.lease_s + CLOCK_BOUND_S,
            rng=rng,
            log=log,
        )
        self.refused = RefusedCallers()
        self.peers = self._make_peers()
        self.join = VmJoin(
            peers=self.peers,
            rows=VmRows(
                store=self.platform.store,
                table=self.platform.own_table,
                rng=rng,
                log=log,
            ),
            host=settings.ip,
            port=settings.link_port,
            rng=rng,
            log=log,
        )
        self.orders.ordered_by_peer_at = self.peers.ordered_by_peer_at
        self.view.on_weights_observed = self.peers.saw_weights
        self.sync.needed = self.peers.follows_store
        self.keeper = LeaseKeeper(
            table=self.platform.lease_rows,
            lease=self.lease,
            renew_s=RENEW_S,
            is_candidate=self._is_candidate,
            rng=rng,
        )
        self.notes = CacheNotes(view=self.view, tell=self.peers.hold, clock=self.clock)
        self.silence = SilenceWatch(
            view=self.view,
            placer=self.placer,
            pool=self.pool,
            on_avoid=self._avoided,
            clock=self.clock,
            rng=rng,
            log=log,
        )
        self.cache_store_watch = CacheStoreWatch(
            view=self.view,
            pool=self.pool,
            is_needed=self.peers.follows_store,
            on_avoid=self._store_gone,
            clock=self.clock,
            rng=rng,
            log=log,
        )
        self.forwarder = self._make_forwarder()
        self.front = FrontServer(handler=self.forwarder.handle)
        self.ready = FrontServer(handler=self._answer_ready)
        self.admin = FrontServer(handler=self._answer_metrics)
        self.stopping = False
        self.lonely_since = self.clock()
        self._tasks: list[asyncio.Task[None]] = []

    def _make_peers(self) -> Peers:
        return Peers(
            identity=Identity(
                vm=self.settings.vm,
                data_centre=self.settings.data_centre,
                role="router",
                incarnation=time.time_ns() // 1000,
                # The secret of the links is read when the VM joins.
                secret=b"",
            ),
            view=self.view,
            budget=self.budget,
            refused=self.refused,
            lease_left_s=lambda: self.lease.remaining_s(boot_clock()),
            ordered=self.orders.ordered,
            store_connected=lambda: self.sync.connected,
            registry_connected=lambda: self.sync.registry_connected,
            clock=self.clock,
            rng=self.rng,
            log=self.log,
        )

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
            recovery=StreamRecovery(view=self.view, pool=self.pool, clock=self.clock),
            budget=self.budget,
            metrics=self.metrics,
            clock=self.clock,
            rng=self.rng,
            log=self.log,
            refused=self.refused,
            on_avoid=self._avoided,
            on_refused=self._refused,
            on_sending=self.notes.sending,
            on_ended=self.notes.ended,
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
            self.sync.run,
            self.join.run,
            self.join.refresh,
            self.dispatcher.run,
            self.orders.run,
            self.keeper.run,
            self._sweep,
            self.silence.run,
            self.cache_store_watch.run,
        ):
            self._spawn(job)
        await stop.wait()
        await self._stop()

    def _spawn(self, job: Job) -> None:
        self._tasks.append(asyncio.create_task(self._supervise(job)))

    async def _supervise(self, job: Job) -> None:
        """Run a job, and start it again where it fails."""
        while True:
            try:
                await job()
                return
            except Exception as error:
                # A fault in one job must not leave the VM with an old state for ever.
                self.log("job-failed", job=job.__qualname__, reason=repr(error))
                await asyncio.sleep(RESTART_S)

    def _listen(self) -> None:
        self.ready.listen(self.settings.ready)
        self.front.listen(self.settings.front)
        self.admin.listen(f"{self.settings.ip}:{METRICS_PORT}")

    def _reload(self) -> None:
        # Everything that may change at run time comes from the platform's tables.
        self.log("reloaded", changed=0)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.pool.close_expired()
            self.view.forget_idle_loads()
            self._share()

    def _share(self) -> None:
        """Divide what all VMs share by the number of those that live."""
        # VMs that are cut off still use their share of the budget.
        self.budget.vms = self.peers.most_vms
        self.placer.vms = self.peers.vms

    def _is_candidate(self) -> bool:
        """Return whether this VM should try to take the lease of orders.

        Only relays hear each other. The first one by name tries at once, the next ones
        later.
        """
        if self.stopping or not self.view.complete or not self.join.joined:
            return False
        now = self.clock()
        if not self.peers.overlay.is_relay or self.peers.lease_heard():
            self.lonely_since = now
            return False
        return now - self.lonely_since > CANDIDATE_STEP_S * self.peers.overlay.rank()

    def _avoided(self, instance: str, for_s: float) -> None:
        self.peers.mark(instance, NoticeKind.AVOID, for_s)

    def _refused(self, digest: str, for_s: float) -> None:
        self.peers.mark(digest, NoticeKind.REFUSED, for_s)

    def _store_gone(self, address: str, for_s: float) -> None:
        self.peers.mark(address, NoticeKind.STORE_GONE, for_s)

    def _started(self, call: Call, placement: Placement) -> None:
        """Note the first byte of an answer and the parts that are now cached."""
        now = self.clock()
        name, request = placement.instance.name, call.request
        load = self.view.loads.of(name)
        work = load.work.get(request.id)
        alone = len(load.work) == 1 and not load.peers
        if work is not None and alone and request.prompt_tokens:
            rate = self.placer.prefill_rate(call.service)
            rate.observe(tokens=work.uncached_tokens, seconds=now - work.sent_at)
        self.view.loads.record_first_byte(name, request.id, now=now)
        self.metrics.started(call, now=now)
        if placement.namespace is None:
            return
        self.notes.held(name, placement.namespace, call)
        self.dispatcher.schedule_assignment()

    def _instance_gone(self, instance: Instance) -> None:
        self.pool.close_idle(instance.address)
        if not self.view.loads.of(instance.name).work:
            self.view.loads.forget(instance.name)

    async def _answer_ready(
        self, method: str, target: str, headers: Headers, body: bytes, writer: Writer
    ) -> None:
        status = 200 if self.is_ready else 503
        await writer.start(status, "", [], b"")

    async def _answer_metrics(
        self, method: str, target: str, headers: Headers, body: bytes, writer: Writer
    ) -> None:
        configuration = self.view.configuration
        values = {
            "store_connected": float(self.sync.connected),
            "ready": float(self.is_ready),
            "peers": float(self.peers.vms - 1),
            "in_progress": float(len(self.front.tasks)),
            "waiting": float(len(self.dispatcher.waiters)),
            "configuration_version": float(configuration.version)
            if configuration
            else 0.0,
            "lease_held": float(self.lease.remaining_s(boot_clock()) > 0),
            "log_lines_dropped": float(self.log.dropped_total),
            "connections_opened": float(self.pool.opened_total),
        }
        page = self.metrics.page(values)
        await writer.start(200, "", [("Content-Type", "text/plain")], page)

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
        await self.peers.close()
        await self.orders.close()
        await self.front.close()
        await self.ready.close()
        await self.admin.close()
        self.pool.close()
        self.log.flush()
