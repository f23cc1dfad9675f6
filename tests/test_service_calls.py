import asyncio
import contextlib
import random
import time

import pytest

from builders import serving, serving_platform
from endivelug.claim_writer import ClaimWriter
from endivelug.object_store import ObjectStore
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Ran, problem_document
from endivelug.service_calls import ServiceCalls
from endivelug.service_client import ServiceClient, ServiceRequest
from endivelug.standin_service import ServiceState, make_service


class World:
    """A platform, a service and routers on loopback."""

    def __init__(self, platform_state, platform_url, table, service, url):
        self.platform, self.service, self.url = platform_state, service, url
        self.platform_url, self.table = platform_url, table
        self.routers = [self.make_router(name) for name in ("vm1", "vm2")]

    def make_router(self, name):
        return ServiceCalls(
            vm=name,
            writer=ClaimWriter(table=self.table, rng=random.Random(name)),
            client=ServiceClient(),
            objects=ObjectStore(url=self.platform_url),
        )

    async def call(self, key="k", *, router=0, body=None, **changes):
        options = {
            "organisation": "org",
            "idempotency_key": key,
            "urls": [self.url],
            "deadline": time.monotonic() + 1.0,
        }
        method = changes.pop("method", "POST")
        target = "/reserve" if method == "POST" else "/count"
        request = ServiceRequest(
            service="stock",
            method=method,
            target=target,
            body=body or b'{"key": "%s"}' % str(key).encode(),
        )
        return await self.routers[router].call(request, **(options | changes))


def in_world(body):
    async def run():
        service = ServiceState()
        async with (
            serving_platform(timeout_s=0.5) as (state, url, table),
            serving(make_service(service)) as service_url,
        ):
            world = World(state, url, table, service, service_url)
            await body(world)
            for router in world.routers:
                router.writer.close()
                router.client.close()

    asyncio.run(run())


# Guards I6: duplicates at two routers, repeats, and another body under the same key.
def test_duplicates_and_repeats_run_once():
    async def body(world):
        world.service.faults.delay_s = 0.1
        first, second = await asyncio.gather(world.call(), world.call(router=1))
        assert {type(first), type(second)} == {Ran, InProgress}
        repeat = await world.call(router=1)
        assert isinstance(repeat, Ran) and b'"run": 1' in repeat.body
        other = await world.call(router=1, body=b'{"key": "k", "n": 2}')
        assert isinstance(other, NotRun) and other.status == 422
        assert isinstance(await world.call(None), NotRun)
        assert world.service.runs["k"] == 1

    in_world(body)


# Guards I5 at each place where the service or the connection to it can fail.
@pytest.mark.parametrize(
    ("fault", "runs", "outcome"),
    [("drop_answers", 1, MayHaveRun), ("refuse", 0, MayHaveRun)],
)
def test_broken_call_stays_unresolved(fault, runs, outcome):
    async def body(world):
        setattr(world.service.faults, fault, 1)
        for router in (0, 1):
            assert isinstance(await world.call(router=router), outcome)
        assert world.service.runs["k"] == runs

    in_world(body)


# Guards against a key that is still claimed when the caller repeats at once.
def test_unreachable_service_is_not_run_and_can_be_repeated():
    async def body(world):
        dead = "http://127.0.0.1:1"
        assert isinstance(await world.call(urls=[dead]), NotRun)
        assert isinstance(await world.call(urls=[]), NotRun)
        assert isinstance(await world.call(router=1, urls=[dead, world.url]), Ran)
        assert world.service.runs["k"] == 1
        # What ran is not reported as not run because the service has gone since.
        assert isinstance(await world.call(router=0, urls=[]), Ran)

    in_world(body)


# Guards F5: an outage before the claim, and one between dispatch and record.
def test_table_outage_before_and_after_the_dispatch():
    async def body(world):
        world.platform.faults.outage_until = time.monotonic() + 60
        refused = await world.call(deadline=time.monotonic() + 0.3)
        assert isinstance(refused, NotRun) and refused.earlier_unknown
        assert problem_document(refused)[1]["earlier_run"] == "unknown"
        world.platform.faults.outage_until = 0.0
        world.service.faults.delay_s = 0.2
        running = asyncio.create_task(world.call("k2"))
        await asyncio.sleep(0.1)
        world.platform.faults.outage_until = time.monotonic() + 0.6
        assert isinstance(await running, Ran)
        assert isinstance(await world.call("k2"), Ran)  # from memory, in the outage
        assert await world.routers[0].drain(deadline=time.monotonic() + 5) == 0
        assert isinstance(await world.call("k2", router=1), Ran)
        assert world.service.runs == {"k2": 1}

    in_world(body)


# Guards F6: a claim whose write lands after it was released must not block the key.
def test_late_claim_after_its_release_does_not_block_the_key():
    async def body(world):
        documents = []
        original = world.platform.table.txn
        world.platform.faults.delay_s = 0.3

        def record(document):
            documents.append(document)
            return original({"compare": [], "success": []})

        world.platform.table.txn = record
        refused = await world.call(deadline=time.monotonic() + 0.2)
        assert isinstance(refused, NotRun)
        await asyncio.sleep(0.4)
        world.platform.table.txn = original
        world.platform.faults.delay_s = 0.0
        assert await world.routers[0].drain(deadline=time.monotonic() + 5) == 0
        original(documents[0])
        assert isinstance(await world.call(router=1), Ran)

    in_world(body)


# Guards against a large answer in the table, and a repeat that invents a body.
def test_large_answer_goes_to_the_object_store():
    async def body(world):
        world.service.answer_bytes = 100_000
        first = await world.call()
        repeat = await world.call(router=1)
        assert repeat.body == first.body and len(first.body) == 100_000
        assert repeat.replayed and not first.replayed
        assert max(len(v.value) for v in world.platform.table.values.values()) < 1000
        world.platform.objects.clear()
        repeat = await world.call(router=1)
        assert isinstance(repeat, Ran) and repeat.body is None

    in_world(body)


# Guards against a caller that disconnects and leaves a dispatched call unrecorded.
def test_cancelled_caller_does_not_stop_the_record():
    async def body(world):
        world.service.faults.delay_s = 0.2
        caller = asyncio.create_task(world.call())
        await asyncio.sleep(0.1)
        caller.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await caller
        await world.routers[0].drain(deadline=time.monotonic() + 5)
        assert isinstance(await world.call(router=1), Ran)

    in_world(body)


def test_safe_methods_go_without_a_claim_and_are_repeated():
    async def body(world):
        urls = ["http://127.0.0.1:1", world.url]
        assert isinstance(await world.call(None, method="GET", urls=urls), Ran)
        assert world.platform.writes == 0

    in_world(body)
