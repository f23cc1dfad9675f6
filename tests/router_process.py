"""Runs a whole router against stand-ins of store and upstreams, in one process."""

import asyncio
import contextlib
import random
import time

import pytest
from measurements._ports import free_port

from endivelug.forwarding.node import Node
from endivelug.forwarding.node_settings import NodeSettings
from endivelug.platform.program import make_platform
from forwarding_builders import (
    LogRecorder,
    configuration_document,
    registration_document,
)
from platform_standins import request, running_upstream
from store_standin import running_store

KEY = {"X-Credential": "k1"}
PROMPT = {"X-Model": "m", "X-Token-Usage": "60,5", "X-Prompt-Prefix": "aa:40,bb:20"}


def make_settings(store_address, **changes):
    values = {
        "vm": "vm1",
        "data_centre": "dc1",
        "ip": "127.0.0.1",
        "front": f"127.0.0.1:{free_port()}",
        "ready": f"127.0.0.1:{free_port()}",
        "link_port": free_port(),
        "cores": 0.5,
        "store": store_address,
        "drain_s": 2.0,
        "grace_s": 8.0,
        "lease_s": 3.0,
        "weights_limit_s": 12.0,
        "checks_fencing": True,
        "retry_ratio": 0.2,
        "retry_slack": 50.0,
        "retry_window_s": 10.0,
        "protects_upstreams": True,
    }
    return NodeSettings(**{**values, **changes})


class System:
    """A node, its store, and upstreams of the services ``engines`` and ``desk``."""

    def __init__(self, node, store, engines, desks, log):
        self.node = node
        self.store = store
        self.engines = engines
        self.desks = desks
        self.log = log

    async def request(self, target="/a/x", **changes):
        headers = {
            "X-Request-Id": "q1",
            "X-Deadline-Ms": "2000",
            **KEY,
            **changes.pop("headers", {}),
        }
        return await request(
            self.node.settings.front, target=target, headers=headers, **changes
        )

    def attempts(self):
        return [
            exchange
            for upstream in (*self.engines, *self.desks)
            for exchange in upstream.exchanges
            if exchange.id
        ]


@contextlib.asynccontextmanager
async def running_system(engines=1, desks=2, configuration=None, **changes):
    log = LogRecorder()
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        upstreams = [
            await stack.enter_async_context(running_upstream())
            for _ in range(engines + desks)
        ]
        store.put("op", "config", configuration or configuration_document())
        for number, upstream in enumerate(upstreams):
            fields = {"service": "engines" if number < engines else "desk"}
            if number >= engines:
                fields["models"] = []
            document = registration_document(address=upstream.address, **fields)
            store.put("servers", f"i{number}", document)
        settings = make_settings(store.address, **changes)
        node = Node(
            settings=settings,
            make_platform=lambda pool: make_platform(store.address, pool),
            log=log,
            rng=random.Random(1),
        )
        log.dropped_total = 0
        log.flush = lambda: None
        node._listen()
        tasks = [
            asyncio.create_task(task)
            for task in (node.sync.run(), node.dispatcher.run(), node._sweep())
        ]
        try:
            await wait_until(lambda: node.is_ready)
            yield System(node, store, upstreams[:engines], upstreams[engines:], log)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for server in (
                node.front_server,
                node.status_pages.readiness_server,
                node.status_pages.metrics_server,
            ):
                await server.close()
            node.pool.close()


async def wait_until(condition, timeout_s=3.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def metrics_port(monkeypatch):
    monkeypatch.setattr("endivelug.forwarding.node.METRICS_PORT", free_port())


def run_scenario(scenario, *, new_loop=None, **options):
    async def run():
        async with asyncio.timeout(20), running_system(**options) as system:
            await scenario(system)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())


async def stream_three_events(exchange):
    await exchange.start_stream()
    for number in (1, 2, 3):
        await exchange.send_event(number)
    await exchange.end_stream()
