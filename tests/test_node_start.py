"""What a whole node assumes when it starts."""

import asyncio
import random

from endivelug.forwarding.node import Node
from endivelug.forwarding.node_shutdown import close_parts
from endivelug.forwarding.shutdown import Shutdown
from endivelug.platform.program import make_platform
from forwarding_builders import LogRecorder, configuration_document
from router_process import make_settings, metrics_port, wait_until
from store_standin import running_store

__all__ = ["metrics_port"]


def make_node(store, number):
    settings = make_settings(
        store.address, vm=f"vm{number}", ip=f"127.0.0.{1 + number}"
    )
    log = LogRecorder()
    log.flush = lambda: None
    return Node(
        settings=settings,
        make_platform=lambda pool: make_platform(store.address, pool),
        log=log,
        rng=random.Random(number),
    )


# Guards against a process that starts and spends again what the one before it used, or
# takes itself for the only VM: the parts that prevent it have to be started.
def test_a_node_that_starts_assumes_a_predecessor_and_counts_the_vms():
    async def scenario():
        async with running_store() as store:
            store.put("op", "config", configuration_document())
            nodes = [make_node(store, number) for number in (1, 2)]
            started_at = nodes[0].clock()
            tasks = [asyncio.create_task(node.run()) for node in nodes]
            try:
                for node in nodes:
                    await wait_until(lambda node=node: node.is_ready, timeout_s=10)
                    await wait_until(lambda node=node: node.budget.vms == 2, 10)
                    limiter = node.quotas.limiter
                    await wait_until(lambda limiter=limiter: limiter.counted, 10)
                    now = node.clock()
                    window_s = node.settings.retry_window_s
                    assert node.budget.cautious_until >= started_at + window_s
                    assert limiter.vms == 2
                    assert limiter.full_from > now
            finally:
                for node in nodes:
                    shutdown = Shutdown(
                        end_at=node.clock(), clock=node.clock, log=node.log
                    )
                    await close_parts(node, shutdown)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())
