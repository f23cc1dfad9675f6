"""The callers' server of a VM within the limits of its settings."""

from endivelug.forwarding.buffers.acceptor import max_connections
from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.forwarder import Forwarder
from endivelug.forwarding.front_server import IDLE_TIMEOUT_S, FrontServer
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings


def make_front_server(
    forwarder: Forwarder, *, settings: NodeSettings, metrics: NodeMetrics
) -> FrontServer:
    """Return the server for callers; its guard accounts for the whole process."""
    view = forwarder.view
    guard = ClientGuard(
        memory_mb=settings.memory_mb,
        clock=forwarder.clock,
        log=view.log,
        gauges=metrics.gauges,
    )

    def header_timeout_s() -> float:
        configuration = view.configuration
        if configuration is None:
            return IDLE_TIMEOUT_S
        return configuration.limits.header_timeout_s

    server = FrontServer(
        handler=forwarder.handle,
        check_head=forwarder.admission.check_head,
        guard=guard,
        max_connections=max_connections(settings.max_fds),
        header_timeout_s=header_timeout_s,
        log=view.log,
    )
    metrics.gauges["connections"] = lambda: server.connections
    metrics.gauges["accept_pauses"] = lambda: server.acceptor.pauses
    return server
