"""Applies the quotas to calls: charges, refusals, log lines and metrics."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from endivelug.forwarding.calls import Call
from endivelug.forwarding.cluster_view import LogLine
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.forwarding.peers import Peers
from endivelug.forwarding.quotas.charges import QuotaCharge
from endivelug.forwarding.quotas.known_vms import (
    FORGET_AFTER_S,
    LINKING_S,
    KnownVms,
)
from endivelug.forwarding.quotas.quota import Tolerance
from endivelug.forwarding.quotas.quota_limiter import (
    KIND,
    QuotaLimiter,
    QuotaRefusal,
)
from endivelug.forwarding.quotas.quota_metrics import QuotaMetrics
from endivelug.forwarding.quotas.usage import BLOCK_S
from endivelug.forwarding.refused_callers import RefusedCallers, request_digest
from endivelug.forwarding.routes import RoutingConfiguration
from endivelug.forwarding.shared_amounts import SharedAmounts

# A caller waits for a Retry-After time of at most this part of the time it has left.
RETRY_PART_OF_REMAINING = 1 / 3
LOG_INTERVAL_S = 1.0
# Interval in which a VM that has just started looks for the list of VMs.
COUNT_INTERVAL_S = 0.05
# Organisations whose log interval is remembered; beyond that it starts anew for all.
MAX_LOGGED_ORGANISATIONS = 1000
# Organisations without a usable quota that a log line names.
MAX_LISTED_ORGANISATIONS = 5


@dataclass(slots=True)
class _Logged:
    at: float
    refused: int = 0


class QuotaGate:
    """Admits the calls of organisations with a quota.

    Parameters
    ----------
    limiter : QuotaLimiter
        Holds the state of the quotas.
    count_vms : callable
        Returns the number of VMs that share the quotas, and of those that report; None
        if no VM is known yet.
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        *,
        limiter: QuotaLimiter,
        metrics: QuotaMetrics,
        count_vms: Callable[[], tuple[int, int] | None],
        configuration: Callable[[], RoutingConfiguration | None],
        clock: Callable[[], float],
        log: LogLine,
    ) -> None:
        self.limiter = limiter
        self.metrics = metrics
        self.count_vms = count_vms
        self.configuration = configuration
        self.clock = clock
        self.log = log
        self.refused = RefusedCallers()
        self._logged: dict[str, _Logged] = {}
        self._checked_version: int | None = None

    def admit(self, call: Call) -> QuotaRefusal | None:
        """Charge a call to its organisation, or return why it is over the quota."""
        organisation = call.organisation
        if organisation is None or organisation.quota is None:
            return None
        request, quota = call.request, organisation.quota
        tokens = request.prompt_tokens + request.output_tokens
        units = quota.units_of(tokens=tokens if request.states_tokens else None)
        now = self.clock()
        refusal = self.limiter.admit(
            organisation.name,
            quota,
            units,
            now=now,
            is_returning=lambda: self._is_returning(call, now),
        )
        if refusal is None:
            call.quota_charge = QuotaCharge(organisation=organisation.name, units=units)
            self.metrics.record(organisation.name, quota.unit, "admitted", units)
            return None
        remaining_s = max(0.0, call.deadline - now)
        refusal.retry_after_s = min(
            refusal.retry_after_s, remaining_s * RETRY_PART_OF_REMAINING
        )
        self._record_refusal(call, refusal, units, now)
        return refusal

    def before_send(self, call: Call) -> None:
        """Charge an attempt beyond those that are charged, if earlier ones ran."""
        charge = call.quota_charge
        if charge is not None and charge.runs <= call.runs:
            charge.runs += 1
            self.limiter.charge(charge.organisation, charge.units, now=self.clock())

    def end(self, call: Call) -> None:
        """Give back the attempts that did not run and will not."""
        charge = call.quota_charge
        if charge is not None and charge.runs > call.runs:
            runs, charge.runs = charge.runs - call.runs, call.runs
            self.limiter.refund(charge.organisation, runs * charge.units)

    async def run(self) -> None:
        """Exchange what is used of the quotas, until cancelled."""
        self.limiter.assume_predecessor(now=self.clock())
        while self.count_vms() is None:
            await asyncio.sleep(COUNT_INTERVAL_S)
        while True:
            self.end_block()
            await asyncio.sleep(BLOCK_S)

    def end_block(self) -> None:
        """Update the state of all quotas after a block."""
        configuration = self.configuration()
        if configuration is None:
            return
        counted = self.count_vms()
        if counted is not None:
            self.limiter.vms, self.limiter.represented_vms = counted
            self.limiter.counted = True
        self.limiter.end_block(configuration.quotas, now=self.clock())
        if configuration.version != self._checked_version:
            self._checked_version = configuration.version
            self._log_unusable(configuration)

    def _is_returning(self, call: Call, now: float) -> bool:
        digest = request_digest(call)
        return digest is not None and self.refused.is_returning(digest, now=now)

    def _record_refusal(
        self, call: Call, refusal: QuotaRefusal, units: int, now: float
    ) -> None:
        assert call.organisation is not None
        name = call.organisation.name
        digest = request_digest(call)
        if digest is not None:
            retry_at = now + refusal.retry_after_s
            self.refused.record_refusal(digest, retry_at=retry_at, now=now)
        self.metrics.record(name, refusal.quota.unit, "refused", units)
        logged = self._logged.get(name)
        if logged is not None and now < logged.at + LOG_INTERVAL_S:
            logged.refused += 1
            return
        if logged is None and len(self._logged) >= MAX_LOGGED_ORGANISATIONS:
            self._logged.clear()
        self._logged[name] = _Logged(at=now)
        self.log(
            "quota-refused",
            request=call.request.id,
            organisation=name,
            unit=refusal.quota.unit.value,
            units=units,
            rate=refusal.quota.rate,
            burst=refusal.quota.burst,
            level=round(refusal.level),
            offered=round(refusal.offered, 1),
            share=round(refusal.share, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
            refused_before=logged.refused if logged is not None else 0,
            configuration=call.configuration_version,
        )

    def _log_unusable(self, configuration: RoutingConfiguration) -> None:
        unusable = configuration.unusable_quotas
        if unusable:
            self.log(
                "quota-unusable",
                organisations=sorted(unusable)[:MAX_LISTED_ORGANISATIONS],
                count=len(unusable),
                reason=unusable[min(unusable)],
                configuration=configuration.version,
            )


def make_quota_gate(
    settings: NodeSettings,
    peers: Peers,
    metrics: NodeMetrics,
    rng: random.Random,
) -> QuotaGate:
    """Return the gate of one VM, connected to the reports of the others."""
    now = peers.clock()
    limiter = QuotaLimiter(
        shared=SharedAmounts(kind=KIND, table=peers.shared),
        tolerance=Tolerance(
            window_s=settings.quota_window_s,
            over=settings.quota_over,
            slack=settings.quota_slack,
        ),
        rng=rng,
    )
    peers.shared.on_sum_change[KIND] = lambda key: limiter.advance(
        key, now=peers.clock()
    )
    metrics.gauges["quota_organisations"] = limiter.organisations
    metrics.gauges["quota_share"] = lambda: limiter.share
    known = KnownVms(linked_at=now + LINKING_S, period_until=now + FORGET_AFTER_S)
    units = QuotaMetrics(registry=metrics.registry, busiest=metrics.busiest)
    metrics.by_organisation.append(units.units)
    return QuotaGate(
        limiter=limiter,
        metrics=units,
        count_vms=lambda: _count_vms(peers, known),
        configuration=lambda: peers.view.configuration,
        clock=peers.clock,
        log=peers.log,
    )


def _count_vms(peers: Peers, known: KnownVms) -> tuple[int, int] | None:
    """Return the VMs that share the quotas and those that report, if known."""
    now, registered = peers.clock(), len(peers.overlay.registered)
    if not registered and now < known.linked_at:
        return None
    return known.record(peers.vms, registered=registered, now=now), peers.vms
