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


class Environment:
    """A platform, a service and two routers on loopback."""

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


def run_in_environment(scenario):
    async def run():
        service = ServiceState()
        async with (
            serving_platform(timeout_s=0.5) as (state, url, table),
            serving(make_service(service)) as service_url,
        ):
            env = Environment(state, url, table, service, service_url)
            await scenario(env)
            for router in env.routers:
                router.writer.close()
                router.client.close()

    asyncio.run(run())


# Guards I6 with concurrent duplicates at two routers, later duplicates, and another
# body under the same key.
def test_concurrent_and_later_duplicates_run_once():
    async def scenario(env):
        env.service.faults.delay_s = 0.1
        first, second = await asyncio.gather(env.call(), env.call(router=1))
        assert {type(first), type(second)} == {Ran, InProgress}
        duplicate = await env.call(router=1)
        assert isinstance(duplicate, Ran) and b'"run": 1' in duplicate.body
        other = await env.call(router=1, body=b'{"key": "k", "n": 2}')
        assert isinstance(other, NotRun) and other.status == 422
        assert isinstance(await env.call(None), NotRun)
        assert env.service.runs["k"] == 1

    run_in_environment(scenario)


# Guards I5 for failures of the service and of the connection to it.
@pytest.mark.parametrize(
    ("fault", "runs", "outcome"),
    [("drop_answers", 1, MayHaveRun), ("refuse", 0, MayHaveRun)],
)
def test_failed_call_remains_unresolved(fault, runs, outcome):
    async def scenario(env):
        setattr(env.service.faults, fault, 1)
        for router in (0, 1):
            assert isinstance(await env.call(router=router), outcome)
        assert env.service.runs["k"] == runs

    run_in_environment(scenario)


# Guards against a key that is still claimed when the caller retries at once.
def test_call_to_an_unreachable_service_is_not_run_and_can_be_retried():
    async def scenario(env):
        unreachable = "http://127.0.0.1:1"
        assert isinstance(await env.call(urls=[unreachable]), NotRun)
        assert isinstance(await env.call(urls=[]), NotRun)
        assert isinstance(await env.call(router=1, urls=[unreachable, env.url]), Ran)
        assert env.service.runs["k"] == 1
        # A call that has run is not reported as not run after its service is removed.
        assert isinstance(await env.call(router=0, urls=[]), Ran)

    run_in_environment(scenario)


# Guards F5 with an outage of the table before the claim, and one between the dispatch
# and the record of its outcome.
def test_table_outage_before_and_after_the_dispatch():
    async def scenario(env):
        env.platform.faults.outage_until = time.monotonic() + 60
        refused = await env.call(deadline=time.monotonic() + 0.3)
        assert isinstance(refused, NotRun) and refused.earlier_unknown
        assert problem_document(refused)[1]["earlier_run"] == "unknown"
        env.platform.faults.outage_until = 0.0
        env.service.faults.delay_s = 0.2
        running = asyncio.create_task(env.call("k2"))
        await asyncio.sleep(0.1)
        env.platform.faults.outage_until = time.monotonic() + 0.6
        assert isinstance(await running, Ran)
        assert isinstance(await env.call("k2"), Ran)  # from memory, during the outage
        assert await env.routers[0].drain(deadline=time.monotonic() + 5) == 0
        assert isinstance(await env.call("k2", router=1), Ran)
        assert env.service.runs == {"k2": 1}

    run_in_environment(scenario)


# Guards F6: a claim must not block its key if its write is applied only after the claim
# was released.
def test_late_claim_after_its_release_does_not_block_the_key():
    async def scenario(env):
        documents = []
        original = env.platform.table.txn
        env.platform.faults.delay_s = 0.3

        def record(document):
            documents.append(document)
            return original({"compare": [], "success": []})

        env.platform.table.txn = record
        refused = await env.call(deadline=time.monotonic() + 0.2)
        assert isinstance(refused, NotRun)
        await asyncio.sleep(0.4)
        env.platform.table.txn = original
        env.platform.faults.delay_s = 0.0
        assert await env.routers[0].drain(deadline=time.monotonic() + 5) == 0
        original(documents[0])
        assert isinstance(await env.call(router=1), Ran)

    run_in_environment(scenario)


# Guards against storing a large response in the table, and against a duplicate that
# gets an invented body when the stored one is lost.
def test_large_response_is_stored_in_the_object_store():
    async def scenario(env):
        env.service.answer_bytes = 100_000
        first = await env.call()
        duplicate = await env.call(router=1)
        assert duplicate.body == first.body and len(first.body) == 100_000
        assert duplicate.replayed and not first.replayed
        assert max(len(v.value) for v in env.platform.table.values.values()) < 1000
        env.platform.objects.clear()
        duplicate = await env.call(router=1)
        assert isinstance(duplicate, Ran) and duplicate.body is None

    run_in_environment(scenario)


# Guards against a dispatched call whose outcome is not recorded because its caller has
# disconnected.
def test_disconnected_caller_does_not_prevent_the_record():
    async def scenario(env):
        env.service.faults.delay_s = 0.2
        caller = asyncio.create_task(env.call())
        await asyncio.sleep(0.1)
        caller.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await caller
        await env.routers[0].drain(deadline=time.monotonic() + 5)
        assert isinstance(await env.call(router=1), Ran)

    run_in_environment(scenario)


def test_safe_methods_need_no_claim_and_are_retried():
    async def scenario(env):
        urls = ["http://127.0.0.1:1", env.url]
        assert isinstance(await env.call(None, method="GET", urls=urls), Ran)
        assert env.platform.writes == 0

    run_in_environment(scenario)
