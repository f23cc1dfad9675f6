import asyncio
import random

import pytest

from endivelug._fair_queue import FairQueue
from endivelug.admission import Admission, EngineBounds, LateWork, Work
from endivelug.admission_gate import AdmissionGate
from endivelug.refusals import NotRun

BOUNDS = EngineBounds(prefill_tokens_s=1000.0, batch_prefill_tokens=4000, max_streams=8)


def make_admission(engines=("e1",), bounds=BOUNDS, routers=1):
    admission = Admission(routers=routers)
    admission.set_engines("chat", dict.fromkeys(engines, bounds))
    return admission


def make_work(
    work_class="batch", *, organisation="a", tokens=1000, deadline=1e3, weight=1.0
):
    return Work(
        organisation=organisation,
        engine_group="chat",
        work_class=work_class,
        tokens=tokens,
        deadline=deadline,
        weight=weight,
    )


def submit(admission, *works, now=0.0):
    for work in works:
        assert admission.submit(work, now=now) is None


def released(admission, *, now=0.0):
    return [result.work for result in admission.release(now=now)]


# Guards against head-of-line blocking: batch work that delays interactive work.
def test_interactive_work_never_waits_behind_batch_work():
    admission = make_admission()
    batch = [make_work() for _ in range(20)]
    submit(admission, *batch)
    assert len(released(admission)) == 4
    urgent = [make_work("interactive") for _ in range(4)]
    submit(admission, *urgent, now=0.1)
    assert released(admission, now=0.1) == urgent
    assert released(admission, now=0.2) == []
    for work in batch[:4]:
        admission.record_dispatch(work, engine="e1", tokens=1000)
        admission.record_first_token(work)
    # Prefill has capacity, but batch work gets a stream only below 6 of 8 streams.
    assert released(admission, now=5.0) == []


def test_batch_prefill_of_all_routers_stays_below_the_bound():
    admission = make_admission(routers=2)
    admission.observe("e1", interactive_tokens=0, batch_tokens=3500, streams=3, now=0)
    work = make_work()
    submit(admission, work)
    assert released(admission) == []
    # Between observations, the work of other routers is assumed to drain at the
    # engine's prefill rate.
    assert released(admission, now=1.0) == [work]
    # The next observation shows that it has not drained, so the work is requeued at
    # the head of the queue.
    admission.observe("e1", interactive_tokens=0, batch_tokens=3500, streams=3, now=1)
    assert admission.engines_with_room(work, now=1.0) == []
    admission.requeue(work, now=1.0)
    assert released(admission, now=1.0) == []
    admission.observe("e1", interactive_tokens=0, batch_tokens=0, streams=0, now=1)
    assert released(admission, now=1.0) == [work]


def test_a_prompt_above_the_bound_is_served():
    admission = make_admission()
    work = make_work(tokens=50_000)
    submit(admission, work)
    assert released(admission) == [work]


def test_unreachable_deadline_is_refused_with_retry_after():
    admission = make_admission()
    refusal = admission.submit(make_work(deadline=2.0), now=0.0)
    assert isinstance(refusal, NotRun) and refusal.kind == "deadline-unreachable"
    assert refusal.retry_after_s > 0.0
    assert admission.submit(make_work(deadline=60.0), now=0.0) is None
    assert make_admission(engines=()).submit(make_work(), now=0.0).kind == "no-engine"


# Guards against new work with an earlier deadline that delays queued work past its own.
def test_work_that_would_make_queued_work_late_is_refused():
    admission = make_admission()
    submit(admission, make_work(tokens=4000))
    released(admission)
    # Work of 4000 tokens takes 10 s, so with its deadline at 13 s it must start within
    # 3 s; 4000 tokens before it would take 4 s.
    submit(admission, make_work(tokens=4000, deadline=13.0))
    refusal = admission.submit(make_work(tokens=4000, deadline=12.0), now=0.0)
    assert refusal.kind == "deadline-unreachable" and refusal.retry_after_s > 0.0
    submit(admission, make_work(tokens=4000, deadline=14.5))
    other = make_work(tokens=4000, deadline=12.0, organisation="b")
    submit(admission, other)


# Guards against dispatching work whose deadline passed in a jump of the clock.
def test_clock_jump_refuses_late_work_and_keeps_the_rest():
    admission = make_admission()
    blocker = make_work(tokens=4000)
    submit(admission, blocker)
    assert released(admission) == [blocker]
    soon, later = make_work(deadline=100.0), make_work(deadline=1e4)
    submit(admission, soon, later)
    admission.record_end(blocker, now=1000.0)
    results = admission.release(now=1000.0)
    assert [type(result) is LateWork for result in results] == [True, False]
    assert admission.release(now=0.0) == []


@pytest.mark.parametrize("weights", [(1.0, 1.0, 1.0), (2.0, 1.0, 1.0)])
def test_service_follows_the_weights_whatever_the_load(weights):
    queue = FairQueue()
    rng = random.Random(1)
    served = dict.fromkeys("abc", 0)
    for number in range(3000):
        organisation = rng.choices("abc", (8, 3, 3))[0]
        weight = weights["abc".index(organisation)]
        queue.push(
            (organisation, number),
            organisation=organisation,
            weight=weight,
            cost=rng.randrange(500, 9000),
            deadline=float(number),
            latest_start=float(number),
            now=number * 0.1,
        )
    for number in range(600):
        organisation, _ = queue.pop(now=300.0 + number * 0.1)
        served[organisation] += 1
    for organisation, weight in zip("abc", weights, strict=True):
        assert served[organisation] / 600 == pytest.approx(
            weight / sum(weights), rel=0.1
        )


def test_earliest_deadline_first_within_an_organisation():
    admission = make_admission()
    works = [make_work(tokens=4000, deadline=1e3 - k) for k in range(4)]
    submit(admission, *works)
    order = []
    for k in range(4):
        (work,) = released(admission, now=k)
        order.append(work)
        admission.record_end(work, now=k)
    assert order == works[::-1]


# Guards against serving only a new organisation until its share has caught up with the
# others.
def test_credit_of_a_new_organisation_is_bounded():
    queue = FairQueue()

    def push(organisation, count):
        for number in range(count):
            queue.push(
                organisation,
                organisation=organisation,
                weight=1.0,
                cost=1000,
                deadline=float(number),
                latest_start=float(number),
                now=0.0,
            )

    push("old", 200)
    for _ in range(100):
        queue.pop(now=0.0)
    push("new", 100)
    first = [queue.pop(now=0.0) for _ in range(60)]
    assert first.count("old") >= 10


def test_finished_and_cancelled_work_leaves_no_load():
    admission = make_admission()
    works = [make_work() for _ in range(8)]
    submit(admission, *works)
    released(admission)
    for k, work in enumerate(works):
        if k % 2 and work.engine is not None:
            admission.record_dispatch(work, engine="e1", tokens=700)
            admission.record_first_token(work)
        admission.cancel(work, now=1.0)
    assert admission.queued("batch") == 0
    submit(admission, *(again := [make_work() for _ in range(4)]), now=9.0)
    assert released(admission, now=9.0) == again


# Guards against lost waiters, and load that remains after callers have disconnected.
def test_gate_releases_in_order_and_survives_cancelled_callers():
    async def run():
        clock = asyncio.get_running_loop().time
        gate = AdmissionGate(admission=make_admission(), clock=clock)

        def work():
            return make_work(tokens=4000, deadline=clock() + 500)

        first = work()
        assert (await gate.admit(first)).engines == ["e1"]
        cancelled = asyncio.create_task(gate.admit(work()))
        waiting = asyncio.create_task(gate.admit(work()))
        await asyncio.sleep(0.03)
        assert not waiting.done()
        cancelled.cancel()
        gate.record_end(first)
        assert (await asyncio.wait_for(waiting, 2.0)).engines == ["e1"]
        assert gate.admission.queued("batch") == 0
        assert isinstance(await gate.admit(make_work(deadline=clock())), NotRun)

    asyncio.run(run())


FAST = EngineBounds(prefill_tokens_s=8000.0, batch_prefill_tokens=16000, max_streams=64)


def make_prompt(*, tokens, deadline=10.0):
    return Work(
        organisation="org",
        engine_group="lane",
        work_class="interactive",
        tokens=tokens,
        deadline=deadline,
    )


# Guards against a router that refuses all later requests after long responses to short
# prompts, because their generation time counted as prefill time.
@pytest.mark.parametrize("tokens", [1, 2000])
def test_long_generation_does_not_count_as_prefill(tokens):
    admission = Admission()
    admission.set_engines("lane", {"e1": FAST})
    for start in range(0, 100, 20):
        work = make_prompt(tokens=tokens, deadline=start + 10.0)
        assert admission.submit(work, now=float(start)) is None
        assert len(admission.release(now=float(start))) == 1
        admission.record_dispatch(work, engine="e1", tokens=tokens)
        admission.record_first_token(work, now=start + 0.02 + tokens / 8000)
        admission.record_end(work, now=start + 15.0)
    late = make_prompt(tokens=16000, deadline=110.0)
    assert admission.submit(late, now=100.0) is None


# Guards against a prefill estimate that ignores slow engines.
def test_slow_first_tokens_raise_the_estimate():
    admission = Admission()
    admission.set_engines("lane", {"e1": FAST})
    for start in range(0, 400, 20):
        work = make_prompt(tokens=8000, deadline=start + 19.0)
        assert admission.submit(work, now=float(start)) is None
        admission.release(now=float(start))
        admission.record_dispatch(work, engine="e1", tokens=8000)
        admission.record_first_token(work, now=start + 6.0)
        admission.record_end(work, now=start + 7.0)
    refusal = admission.submit(make_prompt(tokens=16000, deadline=410.0), now=400.0)
    assert refusal is not None
    assert refusal.kind == "deadline-unreachable"
