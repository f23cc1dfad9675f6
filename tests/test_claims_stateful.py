"""Fuzz the claim code of two routers, as a state machine with a simple oracle."""

import asyncio
import random
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from measurements._virtual_loop import VirtualLoop

from endivelug import table as table_module
from endivelug.claim_writer import ClaimWriter
from endivelug.exceptions import (
    ObjectStoreUnavailable,
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Ran
from endivelug.service_calls import ServiceCalls
from endivelug.service_client import ServiceRequest, ServiceResponse
from endivelug.standin_platform import MemoryTable

DAY_S = 86400.0
FAULTS = ["ok", "outage", "lost answer", "late", "slow"]


class FaultyTable:
    """The stand-in table, with faults that the test queues for the next writes."""

    def __init__(self, memory, faults, late):
        self.memory, self.faults, self.late = memory, faults, late

    async def run(self, transaction):
        document = table_module._encode_transaction(transaction)
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "outage":
            raise TableUnavailable("outage")
        if fault == "late":
            self.late.append(document)
            await asyncio.sleep(2.0)
            raise TableOutcomeUnknown("late")
        response = self.memory.txn(document)
        await asyncio.sleep(1.5 if fault == "slow" else 0.001)
        if fault == "lost answer":
            raise TableOutcomeUnknown("lost")
        return table_module._decode_result(response)


class FakeClient:
    """A service client that counts the runs per target."""

    def __init__(self, machine):
        self.machine = machine

    async def send(self, request, *, url, deadline):
        machine, attempt = self.machine, request.headers["attempt"]
        behaviour = machine.services.pop(0) if machine.services else "answer"
        if behaviour == "unreachable":
            raise UpstreamUnreachable("refused")
        machine.dispatched.add(attempt)
        if behaviour == "broken before":
            raise UpstreamBroken("nothing ran")
        await asyncio.sleep(3.0 if behaviour == "slow" else 0.01)
        machine.runs[request.target] += 1
        if behaviour == "broken after":
            raise UpstreamBroken("answer lost")
        return ServiceResponse(status=200, content_type="text/plain", body=request.body)


class NoObjects:
    async def put(self, name, body):
        raise ObjectStoreUnavailable("down")


class Claims(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.memory, self.late = MemoryTable(), []
        self.faults, self.services = [], []
        self.runs, self.dispatched = Counter(), set()
        self.calls = {}
        self.table = FaultyTable(self.memory, self.faults, self.late)
        self.routers = [self.make_router(index) for index in range(2)]

    def make_router(self, index):
        # The second router's clock is 20 s ahead, so it may be past midnight while the
        # first one's is not.
        offset = DAY_S - 1_000_010.0 + index * 20.0
        writer = ClaimWriter(
            table=self.table, rng=random.Random(index), clock=self.loop.time
        )
        return ServiceCalls(
            vm=f"vm{index}",
            writer=writer,
            client=FakeClient(self),
            objects=NoObjects(),
            clock=self.loop.time,
            wall_clock=lambda: self.loop.time() + offset,
        )

    def start(self, router, key, body):
        attempt = len(self.calls)
        call = self.routers[router].call(
            ServiceRequest(
                service="stock",
                method="POST",
                target=f"/reserve/{key}",
                headers={"attempt": attempt},
                body=body,
            ),
            organisation="org",
            idempotency_key=f"key {key}",
            urls=["http://127.0.0.1:1"],
            deadline=self.loop.time() + 5.0,
        )
        self.calls[attempt] = (key, body, self.loop.create_task(call))
        return self.calls[attempt][2]

    @rule(
        router=st.integers(0, 1),
        key=st.integers(0, 1),
        body=st.sampled_from([b"a", b"a", b"a", b"b"]),
    )
    def request(self, router, key, body):
        self.start(router, key, body)

    @rule(seconds=st.sampled_from([0.0, 0.004, 0.02, 0.3, 2.5, 15.0]))
    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4))
    def break_table(self, faults):
        self.faults.extend(faults)

    @rule(
        behaviour=st.sampled_from(
            ["unreachable", "broken before", "broken after", "slow"]
        )
    )
    def break_service(self, behaviour):
        self.services.append(behaviour)

    @rule(position=st.integers(0, 5))
    def land_late_write(self, position):
        if self.late:
            # The write stays in the list, because it may land more than once.
            self.memory.txn(self.late[position % len(self.late)])

    @rule(router=st.integers(0, 1))
    def crash(self, router):
        calls = self.routers[router]
        for task in calls._running:
            task.cancel()
        calls.writer.close()
        self.routers[router] = self.make_router(router)

    @invariant()
    def outcomes_are_true(self):
        assert all(count <= 1 for count in self.runs.values())
        for attempt, (key, body, task) in self.calls.items():
            if not task.done() or task.cancelled():
                continue
            match task.result():
                case NotRun():
                    assert attempt not in self.dispatched
                case Ran(body=answer):
                    assert self.runs[f"/reserve/{key}"] == 1 and answer == body

    def teardown(self):
        self.faults.clear()
        self.services.clear()
        self.loop.run_until_complete(asyncio.sleep(60.0))
        for document in self.late:
            self.memory.txn(document)
        self.outcomes_are_true()
        for key in range(2):
            ran_before = self.runs[f"/reserve/{key}"]
            task = self.start(0, key, b"a")
            outcome = self.loop.run_until_complete(task)
            self.outcomes_are_true()
            # Without faults, no key stays in progress, and a request that ran is not
            # reported as not run, except for another body (status 422).
            assert not isinstance(outcome, InProgress)
            if ran_before and isinstance(outcome, NotRun):
                assert outcome.status == 422
            # A late claim must not block a key for which nothing ran.
            tried = [
                attempt in self.dispatched or call.cancelled()
                for attempt, (other, _, call) in self.calls.items()
                if other == key
            ]
            if not any(tried):
                assert not isinstance(outcome, MayHaveRun)
        for calls in self.routers:
            calls.writer.close()
        for _, _, task in self.calls.values():
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
