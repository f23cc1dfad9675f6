"""A short soak with a fixed seed, and tests of the checks that the soak makes."""

import asyncio
import logging

import pytest

from soak.__main__ import soak
from soak.callers import Outcome
from soak.promises import Disturbances, GuaranteeChecker, KeyPeriod, RequestQuota
from soak.proxy import Cut
from soak.retry_rule import RetryRule
from soak.runs import Run, UpstreamRecord
from soak.scenarios import SCENARIOS

# Add each seed that violated a guarantee, with a comment on the cause. Seed 1: an
# upstream's own failure is passed on with a status that promises "not run".
SEEDS = (1,)
SECONDS = 8.0


def make_outcome(**changes):
    values = {
        "request": "q1",
        "kind": "order",
        "key": "k1",
        "router": "vm0",
        "sent_at": 50.0,
        "ended_at": 50.2,
        "status": 200,
        "complete": True,
        "body": b"q1",
    }
    return Outcome(**{**values, **changes})


def make_run(**changes):
    values = {
        "request": "q1",
        "instance": "i1",
        "at": 50.1,
        "organisation": "org1",
        "namespace": None,
        "weights": None,
        "resumed": False,
    }
    return Run(**{**values, **changes})


def check(*outcomes, runs=(), **changes):
    record = changes.pop("record", None) or UpstreamRecord()
    for run in runs:
        record.runs.setdefault(run.request, []).append(run)
    values = {
        "outcomes": list(outcomes),
        "record": record,
        "disturbances": Disturbances(),
        "key_periods": [],
        "organisations": {"k1": "org1", "k2": "org2", "k3": "org3"},
        "isolated": {"org1"},
        "routers": ["vm0"],
        "retry_rule": RetryRule(ratio=0.2, slack=52, window_s=10.0),
    }
    return GuaranteeChecker(**{**values, **changes}).violations()


# Guards against routers that violate a guarantee under faults, with real processes and
# connections.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated_under_faults(seed, tmp_path):
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    result = asyncio.run(soak(seed=seed, seconds=SECONDS, routers=3, folder=tmp_path))
    assert result.requests > 100
    assert result.violations == []
    assert result.unexpected_exits == []


STREAM = "".join(f"id: {n}\ndata: q1-{n}\n\n" for n in range(1, 13)).encode()


# Guards against a soak that passes although a guarantee was violated.
@pytest.mark.parametrize(
    ("outcome", "runs", "expected"),
    [
        ({}, [{}, {}], "ran twice"),
        ({"status": 503}, [{}], "refused as not run, but ran"),
        ({"status": 503, "body": b"failed"}, [{}], "promise of an upstream, but ran"),
        ({"body": b"q2"}, [{}], "mixed"),
        ({}, [{"organisation": "org2"}], "wrong organisation"),
        ({}, [{}, {"request": "q9"}], "unasked"),
        (
            {"kind": "review", "body": STREAM[:-30]},
            [{}],
            "incomplete stream looks complete",
        ),
        ({"kind": "review", "body": STREAM[20:]}, [{}], "order of events"),
        (
            {"status": 0, "complete": False, "stopping": True},
            [{}],
            "cut by a planned stop",
        ),
    ],
)
def test_a_violated_guarantee_is_reported(outcome, runs, expected):
    assert check(make_outcome()) == []
    upstream_runs = [make_run(**run) for run in runs]
    violations = check(make_outcome(**outcome), runs=upstream_runs)
    assert any(line.startswith(expected) for line in violations), violations


# Guards against not reporting a quota that is exceeded, a refusal after a run, or one
# of an organisation without a quota.
def test_an_exceeded_quota_is_reported():
    quota = RequestQuota(rate=1, burst=1, window_s=8, over=0, slack=1)
    refused = make_outcome(status=429, kind="look", body=b"")
    runs = [make_run(request=f"q{number}", at=50 + number / 2) for number in range(11)]
    outcomes = [
        make_outcome(request=run.request, body=run.request.encode()) for run in runs
    ]
    limited = {"quotas": {"org1": quota}}
    assert check(*outcomes[:10], runs=runs[:10], **limited) == []
    (line,) = check(*outcomes, runs=runs, **limited)
    assert line.startswith("quota: org1 ran 11")
    assert check(refused, **limited) == []
    (line,) = check(refused, runs=[make_run()], **limited)
    assert line.startswith("refused over its quota, but ran")
    (line,) = check(refused)
    assert line.startswith("refused without a quota")


# Guards against not reporting a cache namespace that several weights versions, or an
# isolated and another organisation, share.
def test_shared_namespaces_are_reported():
    outcomes = [
        make_outcome(request=name, kind="review", body=b"", complete=False)
        for name in ("q1", "q2")
    ]
    one = make_run(namespace="n", weights=1)
    other = make_run(request="q2", namespace="n", weights=2)
    assert any(
        line.startswith("one namespace") for line in check(*outcomes, runs=[one, other])
    )
    outcomes[1].key = "k2"
    other = make_run(request="q2", namespace="n", weights=1, organisation="org2")
    violations = check(*outcomes, runs=[one, other])
    assert any(line.startswith("isolated") for line in violations)


# Guards against not reporting a revoked key that is accepted, and against reporting it
# for a VM that was disturbed and could not know the change.
def test_an_accepted_revoked_key_is_reported_if_the_vm_was_undisturbed():
    period = KeyPeriod(key="k3", allowed=False, begins_at=40.0)
    outcome = make_outcome(key="k3")
    run = make_run(organisation="org3")
    violations = check(outcome, runs=[run], key_periods=[period])
    assert any(line.startswith("allowed although revoked") for line in violations)
    disturbances = Disturbances()
    disturbances.add("vm0", 39.0, 49.0)
    assert (
        check(outcome, runs=[run], key_periods=[period], disturbances=disturbances)
        == []
    )


# Guards against not reporting a retry storm.
def test_an_exceeded_retry_budget_is_reported():
    record = UpstreamRecord()
    record.arrivals = [(50.0 + n / 100, "desk", "q1") for n in range(60)]
    violations = check(make_outcome(), runs=[make_run()], record=record)
    assert any(line.startswith("retry budget") for line in violations)


# Guards against counting the requests of one window only, or a slack for each router.
@pytest.mark.parametrize(("repeats", "exceeded"), [(62, False), (63, True)])
def test_the_retry_rule_takes_the_requests_of_the_best_window(repeats, exceeded):
    record = UpstreamRecord()
    record.arrivals = [(50.0 + n / 100, "desk", "q0") for n in range(repeats + 1)]
    outcomes = [
        make_outcome(request=f"q{n}", sent_at=41.0, body=f"q{n}".encode())
        for n in range(50)
    ]
    violations = check(*outcomes, record=record)
    assert any(line.startswith("retry budget") for line in violations) == exceeded


# Guards against not reporting a stream that goes on while its first engine still runs
# it, and against reporting it where that engine ended or could not be reached.
@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ({"ended_at": 51.5}, {"continued": True}, "went on"),
        ({"ended_at": 51.3}, {"continued": True}, None),
        ({"ended_at": 51.5, "cuts": [Cut(begin=50.9)]}, {"continued": True}, None),
        ({"ended_at": 51.5, "cuts": [Cut(begin=9, end=10)]}, {"continued": True}, "w"),
        ({"ended_at": 50.5}, {}, "ran twice"),
    ],
)
def test_a_stream_that_runs_at_two_engines_is_reported(first, second, expected):
    runs = [make_run(**first), make_run(at=51.0, ended_at=52.0, **second)]
    outcome = make_outcome(kind="short", status=0, complete=False, body=b"")
    violations = check(outcome, runs=runs)
    assert bool(violations) == bool(expected), violations
    assert all(line.startswith(expected) for line in violations)


# Guards against taking an upstream's own failure of a request that may run again for a
# refusal of the router.
def test_a_failure_that_is_passed_on_is_no_refusal():
    outcome = make_outcome(kind="look", status=429, body=b"failed")
    assert check(outcome, runs=[make_run()]) == []


# Guards against routers that go back to the copy of a restored store, or miss what it
# confirms afterwards, while requests go on.
def test_no_guarantee_is_violated_while_the_store_is_restored(tmp_path):
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    result = asyncio.run(
        soak(
            seed=1,
            seconds=SECONDS,
            routers=3,
            folder=tmp_path,
            scenario=SCENARIOS["restored-store"],
        )
    )
    assert any("restore store" in line for _, line in result.faults)
    assert result.violations == []
    assert result.unexpected_exits == []
