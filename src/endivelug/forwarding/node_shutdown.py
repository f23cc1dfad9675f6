"""Steps of a planned stop of a router process."""

from typing import TYPE_CHECKING

from endivelug.forwarding.planned_stop import SHUTDOWN_MARGIN_S
from endivelug.forwarding.shutdown import MIN_CLOSE_S, Shutdown

if TYPE_CHECKING:
    from endivelug.forwarding.node import Node


async def shut_down(node: "Node", *, signalled_at: float) -> None:
    """Release the order lease, finish the requests in progress and close."""
    grace_end = signalled_at + node.settings.grace_s
    end_at = grace_end - SHUTDOWN_MARGIN_S
    shutdown = Shutdown(end_at=end_at, clock=node.clock, log=node.log)
    shutdown.set_alarm(grace_end=grace_end)
    node.log.begin_stop()
    node.stopping = node.orders.stopping = True
    # Cancelled with the other jobs if the store does not answer.
    node.jobs.start(node.lease_keeper.resign)
    await shutdown.run(
        until=end_at + MIN_CLOSE_S, planned_stop=node.stop.run(end_at=end_at)
    )
    await close_parts(node, shutdown)
    shutdown.finish()


async def close_parts(node: "Node", shutdown: Shutdown) -> None:
    """Close what a node has open."""
    # Callers first: nothing else may take the time that they need to read. There are
    # requests left only if the steps before have failed.
    await shutdown.close(requests=node.stop.end_requests())
    until = shutdown.end_at
    await shutdown.run(
        until=max(until, node.clock()) + MIN_CLOSE_S,
        front_server=node.front_server.close(until=until),
    )
    await shutdown.close(jobs=node.jobs.cancel())
    await shutdown.close(
        peers=node.peers.close(),
        orders=node.orders.close(),
        status_pages=node.status_pages.close(),
    )
    node.pool.close()
