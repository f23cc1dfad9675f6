"""Several whole routers in one process, linked to each other, with one store."""

import asyncio
import contextlib
import random

from endivelug.forwarding.node import Node
from endivelug.platform.program import make_platform
from forwarding_builders import (
    LogRecorder,
    configuration_document,
    registration_document,
)
from platform_standins import request, running_upstream
from router_process import KEY, make_settings, wait_until
from store_standin import running_store


class LinkedNodes:
    """Linked nodes, their store, and upstreams of the service ``desk``."""

    def __init__(self, nodes, store, desks, logs):
        self.nodes = nodes
        self.store = store
        self.desks = desks
        self.logs = logs

    async def request(self, number, request_id, **headers):
        """Send a request to a node."""
        return await request(
            self.nodes[number].settings.front,
            target="/look/it",
            headers={
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2000",
                **KEY,
                **headers,
            },
        )

    async def offer(self, *, per_node_per_s, seconds):
        """Send requests to all nodes at a constant rate; return the responses."""
        tasks = []
        for round_number in range(int(per_node_per_s * seconds)):
            tasks += [
                asyncio.create_task(self.request(number, f"{round_number}-{number}"))
                for number in range(len(self.nodes))
            ]
            await asyncio.sleep(1.0 / per_node_per_s)
        return await asyncio.gather(*tasks)


async def stop(node):
    """Close what a node has opened."""
    await node.peers.close()
    await node.front_server.close()
    node.pool.close()


@contextlib.asynccontextmanager
async def running_nodes(nodes=4, desks=2):
    """Run nodes that are linked to each other."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.put("op", "config", configuration_document())
        upstreams = []
        for number in range(desks):
            upstream = await stack.enter_async_context(running_upstream())
            document = registration_document(
                address=upstream.address, service="desk", models=[]
            )
            store.put("servers", f"i{number}", document)
            upstreams.append(upstream)
        logs = [LogRecorder() for _ in range(nodes)]
        running = [
            Node(
                settings=make_settings(store.address, vm=f"vm{number}"),
                make_platform=lambda pool: make_platform(store.address, pool),
                log=log,
                rng=random.Random(number),
            )
            for number, log in enumerate(logs)
        ]
        tasks = []
        for node in running:
            node.front_server.listen(node.settings.front)
            for job in (
                node.sync.run,
                node.join.run,
                node.dispatcher.run,
                node.quotas.run,
                node.placer.pace.run,
                node._sweep,
            ):
                tasks.append(asyncio.create_task(job()))
        try:
            await wait_until(lambda: all(node.is_ready for node in running), 8)
            await wait_until(
                lambda: all(node.peers.vms == nodes for node in running), 8
            )
            yield LinkedNodes(running, store, upstreams, logs)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.gather(*(stop(node) for node in running))
