"""Builders of quotas and of requests to simulated VMs."""

import random
from typing import Any

from measurements._quota_model import SimulatedVms, poisson

from endivelug.forwarding.quotas.bucket import Bucket
from endivelug.forwarding.quotas.quota import Quota, QuotaUnit, Tolerance


def make_quota(**changes: Any) -> Quota:
    values: dict[str, Any] = {
        "rate": 100.0,
        "burst": 50.0,
        "unit": QuotaUnit.REQUESTS,
    }
    return Quota(**{**values, **changes})


def make_bucket(*, slack: float = 0.0, share: float = 1.0, **changes: Any) -> Bucket:
    tolerance = Tolerance(slack=slack)
    return Bucket.full(make_quota(**changes), tolerance, now=0.0, share=share)


def make_vms(seed: int, *, vms: int, quota: Quota, **changes: Any) -> SimulatedVms:
    values: dict[str, Any] = {"tolerance": Tolerance(slack=0.0), "loss": 0.05}
    rng = random.Random(seed)
    return SimulatedVms(vms=vms, quota=quota, rng=rng, **{**values, **changes})


def make_arrivals(
    seed: int, *, vms: int, per_s: float, until: float, units: int, uneven: bool
) -> Any:
    """Return requests at a constant rate; uneven demand is mostly that of one VM."""
    rng = random.Random(seed)
    weights = [5.0 * vms if uneven and vm == 0 else 1.0 for vm in range(vms)]
    return poisson(
        per_s=lambda at: per_s,
        peak_per_s=per_s,
        until=until,
        vm=lambda: rng.choices(range(vms), weights)[0],
        units=lambda: units,
        rng=rng,
    )
