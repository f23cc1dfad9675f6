"""Router process of one VM: wiring of its parts, readiness and graceful shutdown."""

import asyncio
import random
import signal
import time
from collections.abc import Callable

from endivelug.busiest import BusiestOrganisations
from endivelug.forwarding.adapter import Platform
from endivelug.forwarding.attempt import AttemptRunner
from endivelug.forwarding.background_jobs import BackgroundJobs
from endivelug.forwarding.buffers.front import make_front_server
from endivelug.forwarding.cache_store_watch import CacheStoreWatch
from endivelug.forwarding.cache_tracker import CacheTracker
from endivelug.forwarding.call_recorder import CallRecorder
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.crashes.stored_suspects import StoredSuspects
from endivelug.forwarding.crashes.suspect_pages import SuspectPages
from endivelug.forwarding.crashes.suspects import CrashSuspects
from endivelug.forwarding.crashes.watch import CrashWatch
from endivelug.forwarding.decision_log import DecisionLog
from endivelug.forwarding.dispatcher import Dispatcher
from endivelug.forwarding.engine_reach import EngineReach
from endivelug.forwarding.error_responses import ErrorResponses
from endivelug.forwarding.first_bytes import FirstByteRecorder
from endivelug.forwarding.forwarder import UNREACHABLE_AVOID_S, Forwarder
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.loop_watch import LoopWatch
from endivelug.forwarding.node_gauges import register_gauges
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.forwarding.node_shutdown import shut_down
from endivelug.forwarding.order_lease import (
    CLOCK_BOUND_S,
    LEASE_RENEW_S,
    make_order_lease,
)
from endivelug.forwarding.peer_messages import NoticeKind
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.placement import OLD_WEIGHTS_MARGIN_S, Placer
from endivelug.forwarding.planned_stop import PlannedStop
from endivelug.forwarding.process_pauses import ProcessPauses
from endivelug.forwarding.quotas.quota_gate import make_quota_gate
from endivelug.forwarding.refused_callers import RefusedCallers
from endivelug.forwarding.retry_budget import SharedRetryBudget
from endivelug.forwarding.retry_budget_watch import make_retry_budget_watch
from endivelug.forwarding.silence_watch import SilenceWatch
from endivelug.forwarding.state_sync import StateSync
from endivelug.forwarding.status_pages import StatusPages
from endivelug.forwarding.stop_signal import StopSignal
from endivelug.forwarding.stream_recovery import StreamRecovery
from endivelug.forwarding.vm_join import VmJoin
from endivelug.forwarding.vm_rows import VmRows
from endivelug.forwarding.weights_order_sender import OrderGiver
from endivelug.lease_keeper import LeaseKeeper, boot_clock
from endivelug.links import Identity

# Links to the peers are up and weights orders are sent within this time after a start.
STARTUP_S = 3.0
# Additional delay of each further candidate before it tries to acquire the lease.
CANDIDATE_DELAY_S = 0.6
SWEEP_S = 1.0
METRICS_PORT = 9464


class Node:
    """One router process.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    make_platform : callable
        Creates the platform adapter; called with the connection pool.
    log : DecisionLog
        Writer of structured log lines.
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
        self.pauses = ProcessPauses(clock=self.clock)
        self.reach = EngineReach(pool=self.pool, pauses=self.pauses, clock=self.clock)
        self.platform = make_platform(self.pool)
        self.metrics = NodeMetrics(busiest=BusiestOrganisations())
        self.view = ClusterView(
            records=self.platform.records, clock=self.clock, log=log
        )
        # If a weights change's age is unknown, old weights are allowed for STARTUP_S.
        self.view.assumed_weights_age_s = max(
            0.0, settings.weights_limit_s - OLD_WEIGHTS_MARGIN_S - STARTUP_S
        )
        self.view.on_instance_removed = self._instance_removed
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
            rng=rng,
        )
        self.placer.fleet.requests_per_s = lambda service: self.budget.requests_per_s(
            service, now=self.clock()
        )
        self.dispatcher = Dispatcher(placer=self.placer, clock=self.clock)
        self.placer.long_prompts_accept_backlog = settings.protects_upstreams
        self.placer.pace.slow_starts.enabled = settings.protects_upstreams
        self.dispatcher.admission.enabled = settings.protects_upstreams
        self.view.on_change = self.dispatcher.schedule_assignment
        self.sync = StateSync(
            store=self.platform.store, view=self.view, rng=rng, log=log
        )
        self.lease = make_order_lease(
            vm=settings.vm,
            checks_fencing=settings.checks_fencing,
            lease_s=settings.lease_s,
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
            peer_order_gap_s=settings.lease_s + CLOCK_BOUND_S,
            weights_usable_s=settings.weights_limit_s - OLD_WEIGHTS_MARGIN_S,
            rng=rng,
            log=log,
        )
        self.refused = RefusedCallers()
        self.suspects = CrashSuspects(vm=settings.vm)
        self.peers = self._make_peers()
        self.quotas = make_quota_gate(settings, self.peers, self.metrics, rng)
        self.join = VmJoin(
            peers=self.peers,
            rows=VmRows(
                store=self.platform.store,
                table=self.platform.router_table,
                rng=rng,
                log=log,
            ),
            host=settings.ip,
            port=settings.link_port,
            cores=settings.cores,
            rng=rng,
            log=log,
        )
        self.stored_suspects = StoredSuspects(
            rows=self.join.rows,
            exchange=self.peers.crashes,
            clock=self.clock,
            wall_clock=time.time,
            log=log,
        )
        self.join.on_suspects = self.stored_suspects.restore
        self.placer.pace.connect(self.peers)
        self.placer.pace.limits.vms_share = lambda: self.quotas.limiter.share
        self.orders.last_peer_order_at = self.peers.last_peer_order_at
        self.view.on_weights_observed = self.peers.announce_weights
        self.sync.must_follow = self.peers.follows_store
        self.lease_keeper = LeaseKeeper(
            table=self.platform.lease_rows,
            lease=self.lease,
            renew_s=LEASE_RENEW_S,
            is_candidate=self._is_candidate,
            rng=rng,
        )
        self.cache_tracker = CacheTracker(
            view=self.view, announce=self.peers.announce_segments, clock=self.clock
        )
        self.silence_watch = SilenceWatch(
            view=self.view,
            placer=self.placer,
            reach=self.reach,
            on_avoid=self._announce_avoid,
            clock=self.clock,
            rng=rng,
            log=log,
        )
        self.cache_store_watch = CacheStoreWatch(
            view=self.view,
            pool=self.pool,
            pauses=self.pauses,
            is_needed=self.peers.follows_store,
            on_avoid=lambda address, for_s: self.peers.send_notice(
                address, NoticeKind.STORE_GONE, for_s
            ),
            clock=self.clock,
            rng=rng,
            log=log,
        )
        self.crash_watch = CrashWatch(
            vm=settings.vm,
            suspects=self.suspects,
            exchange=self.peers.crashes,
            reach=self.reach,
            registry=self.view.registry,
            on_crash=lambda name: self.forwarder.avoid(name, UNREACHABLE_AVOID_S),
            clock=self.clock,
            log=log,
        )
        self.view.on_registered.append(self.crash_watch.record_registered)
        self.first_bytes = FirstByteRecorder(
            view=self.view,
            placer=self.placer,
            metrics=self.metrics,
            cache_tracker=self.cache_tracker,
            on_cached=self.dispatcher.schedule_assignment,
            clock=self.clock,
        )
        self.loop_watch = LoopWatch(pauses=self.pauses, clock=self.clock, log=log)
        self.forwarder = self._make_forwarder()
        self.front_server = make_front_server(
            self.forwarder, settings=settings, metrics=self.metrics
        )
        self.stop = PlannedStop(
            front_server=self.front_server,
            forwarder=self.forwarder,
            clock=self.clock,
            log=log,
        )
        self.status_pages = StatusPages(
            metrics=self.metrics,
            suspects=SuspectPages(exchange=self.peers.crashes, clock=self.clock),
            is_ready=lambda: self.is_ready,
            guard=self.front_server.guard,
        )
        register_gauges(self)
        self.stopping = False
        self.vacant_since = self.clock()
        self.jobs = BackgroundJobs(log=log)

    def _make_peers(self) -> Peers:
        return Peers(
            identity=Identity(
                vm=self.settings.vm,
                data_centre=self.settings.data_centre,
                role="router",
                incarnation=time.time_ns() // 1000,
                # Read from the store when the VM joins.
                secret=b"",
            ),
            view=self.view,
            budget=self.budget,
            refused=self.refused,
            suspects=self.suspects,
            lease_remaining_s=lambda: self.lease.remaining_s(boot_clock()),
            ordered_engines=self.orders.ordered_engines,
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
            reach=self.reach,
            clock=self.clock,
            on_started=self.first_bytes.record,
            on_head=self.first_bytes.record_head,
            on_events=self.crash_watch.record_events,
            is_blocked=self.crash_watch.is_blocked,
            may_retry=lambda call: self.budget.allows(call.service, now=self.clock()),
        )
        recorder = CallRecorder(
            metrics=self.metrics,
            clock=self.clock,
            log=self.log,
            queue_length=self.dispatcher.queue_length,
        )
        errors = ErrorResponses(
            wire=self.platform.wire,
            recorder=recorder,
            refused=self.refused,
            on_refused=self._announce_refused,
            clock=self.clock,
            rng=self.rng,
        )
        return Forwarder(
            wire=self.platform.wire,
            view=self.view,
            dispatcher=self.dispatcher,
            runner=runner,
            recovery=StreamRecovery(view=self.view, reach=self.reach, clock=self.clock),
            budget=self.budget,
            quotas=self.quotas,
            recorder=recorder,
            errors=errors,
            clock=self.clock,
            rng=self.rng,
            refused=self.refused,
            crash_watch=self.crash_watch,
            on_avoid=self._announce_avoid,
            on_sending=self.cache_tracker.attempt_started,
            on_ended=self.cache_tracker.attempt_ended,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections to this VM."""
        return self.view.complete and not self.stopping

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        with StopSignal(
            clock=self.clock, notify=lambda: loop.call_soon_threadsafe(stop.set)
        ) as received:
            self._start()
            await stop.wait()
            await shut_down(self, signalled_at=received.at)

    def _start(self) -> None:
        self._listen()
        self.log("started", data_centre=self.settings.data_centre)
        self.budget.assume_predecessor(now=self.clock())
        for job in (
            self.sync.run,
            self.join.run,
            self.join.refresh,
            self.stored_suspects.run,
            self.dispatcher.run,
            self.quotas.run,
            make_retry_budget_watch(self.peers).run,
            self.orders.run,
            self.lease_keeper.run,
            self._sweep,
            self.silence_watch.run,
            self.cache_store_watch.run,
            self.loop_watch.run,
            self.placer.pace.run,
            self.front_server.watch_callers,
        ):
            self.jobs.start(job)

    def _listen(self) -> None:
        self.status_pages.listen(
            ready=self.settings.ready, metrics=f"{self.settings.ip}:{METRICS_PORT}"
        )
        self.front_server.listen(self.settings.front)

    def _reload(self) -> None:
        # All settings that can change at run time come from the platform's tables.
        self.log("reloaded", changed=0)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.pool.close_expired()
            self.view.forget_idle_loads()
            self.placer.fleet.vms = self.peers.vms

    def _is_candidate(self) -> bool:
        """Return whether this VM should try to acquire the order lease.

        Only relays receive each other's reports. The first relay by name tries at once,
        each further one later.
        """
        now = self.clock()
        if self.stopping or not self.view.complete or not self.join.joined:
            return False
        if not self.peers.overlay.is_relay or self.peers.peer_holds_lease():
            self.vacant_since = now
            return False
        return now - self.vacant_since > CANDIDATE_DELAY_S * self.peers.overlay.rank()

    def _announce_avoid(self, instance: str, for_s: float) -> None:
        self.peers.send_notice(instance, NoticeKind.AVOID, for_s)

    def _announce_refused(self, digest: str, for_s: float) -> None:
        self.peers.send_notice(digest, NoticeKind.REFUSED, for_s)

    def _instance_removed(self, instance: Instance) -> None:
        self.pool.close_idle(instance.address)
        if not self.view.loads.of(instance.name).work:
            self.view.loads.forget(instance.name)
