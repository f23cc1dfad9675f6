"""The callers' server of a VM within the limits of its settings."""

from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.buffers.descriptors import DescriptorBounds
from endivelug.forwarding.buffers.kept_answers import kept_answer_bytes
from endivelug.forwarding.forwarder import Forwarder
from endivelug.forwarding.front_server import (
    IDLE_TIMEOUT_S,
    MAX_HEADER_BYTES,
    FrontServer,
)
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.node_settings import NodeSettings

# Heads may be longer than the limit by this factor: whether the request line and the
# separators count is not stated.
HEAD_MARGIN = 1.25
MIN_HEAD_BYTES = 8 * 1024


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

    def max_head_bytes() -> int:
        configuration = view.configuration
        if configuration is None:
            return MAX_HEADER_BYTES
        granted = int(configuration.limits.header_bytes * HEAD_MARGIN)
        return max(MIN_HEAD_BYTES, min(granted, MAX_HEADER_BYTES))

    pool = forwarder.runner.pool
    bounds = DescriptorBounds(max_fds=settings.max_fds)
    server = FrontServer(
        handler=forwarder.handle,
        check_head=forwarder.admission.check_head,
        guard=guard,
        max_connections=lambda: bounds.max_callers(upstreams=pool.descriptors),
        header_timeout_s=header_timeout_s,
        max_head_bytes=max_head_bytes,
        log=view.log,
    )

    def may_open() -> bool:
        upstreams = pool.descriptors
        # Counting the connections looks at each of them.
        return (
            bounds.upstream_fits(callers=server.max_open, upstreams=upstreams)
            or bounds.upstream_fits(callers=server.connections, upstreams=upstreams)
            or server.idle.close_oldest()
        )

    pool.account = guard.account
    pool.kept_answers.limit_bytes = kept_answer_bytes(settings.memory_mb)
    pool.may_open = may_open
    metrics.gauges["answers_ended"] = lambda: pool.kept_answers.ended_total
    metrics.gauges["connections"] = lambda: server.connections
    metrics.gauges["accept_pauses"] = lambda: server.acceptor.pauses
    return server
