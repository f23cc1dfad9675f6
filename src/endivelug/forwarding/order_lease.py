"""The lease under which one VM orders weights."""

from endivelug.forwarding.weights_rollout import ORDER_TIMEOUT_S
from endivelug.leases import Lease

# Duration of the order lease; it is renewed three times before it expires. The time
# left before a renewal exceeds the time limit of an order.
ORDER_LEASE_S = 1.5
LEASE_RENEW_S = 0.5
CLOCK_BOUND_S = 0.1


def make_order_lease(*, vm: str, checks_fencing: bool, lease_s: float) -> Lease:
    """Return the lease under which a VM orders weights.

    Parameters
    ----------
    checks_fencing : bool
        Whether engines reject orders with an old fencing number. If not, the time
        between two holders keeps their orders apart.
    lease_s : float
        Time within which no two VMs may order the same engine.
    """
    return Lease(
        data_centre="all",
        vm=vm,
        lease_s=ORDER_LEASE_S,
        clock_bound_s=CLOCK_BOUND_S,
        order_timeout_s=0.0 if checks_fencing else ORDER_TIMEOUT_S,
        handover_gap_s=0.0 if checks_fencing else lease_s + CLOCK_BOUND_S,
    )
