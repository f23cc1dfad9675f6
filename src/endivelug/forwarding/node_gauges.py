"""Current values of a router process for its metrics."""

from functools import partial
from typing import TYPE_CHECKING

from endivelug.lease_keeper import boot_clock

if TYPE_CHECKING:
    from endivelug.forwarding.node import Node


def register_gauges(node: "Node") -> None:
    """Register the current values of a process for its metrics."""
    gauges = node.metrics.gauges
    gauges["store_connected"] = lambda: node.sync.connected
    gauges["ready"] = lambda: node.is_ready
    gauges["peers"] = lambda: node.peers.vms - 1
    gauges["in_progress"] = lambda: len(node.front_server.tasks)
    gauges["waiting"] = lambda: len(node.dispatcher.waiters)
    gauges["configuration_version"] = lambda: (
        node.view.configuration.version if node.view.configuration else 0
    )
    gauges["store_era"] = lambda: node.view.eras.newest or 0
    gauges["rows_kept"] = node.view.rows.kept_rows
    gauges["lease_held"] = lambda: node.lease.remaining_s(boot_clock()) > 0
    gauges["log_lines_dropped"] = lambda: node.log.dropped_total
    for kind, is_request in (("prompts", False), ("requests", True)):
        gauges[f"{kind}_blocked"] = partial(_count_blocked, node, is_request)
    gauges["connections_opened"] = lambda: node.pool.opened_total
    gauges["loop_late_seconds_max"] = lambda: node.loop_watch.longest_s
    gauges.update(node.placer.pace.gauges())
    gauges["callers_left_unserved"] = lambda: node.front_server.left_total


def _count_blocked(node: "Node", is_request: bool) -> int:
    blocks = node.suspects.blocked(now=node.clock())
    return sum(block.is_request is is_request for block in blocks)
