"""Checked settings of one router process."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """Settings of one process; durations in seconds, addresses as IP:PORT.

    Attributes
    ----------
    front, ready : str
        Where callers and the platform's readiness checks connect.
    link_port : int
        Port for links between routers.
    store : str
        Address of the platform's store.
    drain_s : float
        Time in which an upstream that leaves gets no new request any more.
    grace_s : float
        Time between the order to stop and the end by force.
    lease_s : float
        No two VMs may give orders within this time.
    weights_limit_s : float
        Time after which no request may begin on replaced weights.
    checks_fencing : bool
        Whether engines refuse an old fencing number.
    retry_ratio, retry_slack, retry_window_s : float
        The retry budget of all VMs together.
    """

    vm: str
    data_centre: str
    ip: str
    front: str
    ready: str
    link_port: int
    store: str
    drain_s: float
    grace_s: float
    lease_s: float
    weights_limit_s: float
    checks_fencing: bool
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
