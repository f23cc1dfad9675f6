"""Validated settings of one router process."""

from dataclasses import dataclass

# What a deployment tolerates beyond quotas if its settings do not state it. The slack
# is in units of the quota, requests or tokens; small quotas of requests have no effect
# beside it.
DEFAULT_QUOTA_WINDOW_S = 8.0
DEFAULT_QUOTA_OVER = 0.1
DEFAULT_QUOTA_SLACK = 190_000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """Settings of one process; durations in seconds, addresses as IP:PORT.

    Attributes
    ----------
    front, ready : str
        Addresses to which callers and the platform's readiness checks connect.
    link_port : int
        Port for links between routers.
    cores : float
        Processor capacity of the VM in cores.
    store : str
        Address of the platform's store.
    drain_s : float
        Time for which a draining upstream gets no new requests.
    grace_s : float
        Time between the request to stop and the forced end of the process.
    lease_s : float
        Time within which no two VMs may order the same engine.
    weights_limit_s : float
        Time after their replacement after which no request may begin on old weights.
    checks_fencing : bool
        Whether engines refuse orders with an outdated fencing number.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of all VMs together: retries per request, retries beyond that, and
        the length of the sliding window.
    quota_window_s, quota_over, quota_slack : float
        Length of the windows in which quotas hold, and what may run beyond a quota in
        each: a part of it, and a number of its units.
    protects_upstreams : bool
        Whether waiting requests that clearly come too late are refused early, long
        prompts that have waited accept backlog, and upstreams that start or recover get
        few requests at first.
    memory_mb : float
        Memory of the VM in MiB; 0 if it is not stated.
    max_fds : int
        Descriptors that the process may open; 0 if it is not stated.
    """

    vm: str
    data_centre: str
    ip: str
    front: str
    ready: str
    link_port: int
    cores: float
    store: str
    drain_s: float
    grace_s: float
    lease_s: float
    weights_limit_s: float
    checks_fencing: bool
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float = DEFAULT_QUOTA_WINDOW_S
    quota_over: float = DEFAULT_QUOTA_OVER
    quota_slack: float = DEFAULT_QUOTA_SLACK
    protects_upstreams: bool = False
    memory_mb: float = 0.0
    max_fds: int = 0
