import pytest
from minicheck import check_safety

from order_spec import make_protocol


# Guards against an order of an earlier lease holder that an engine runs after the next
# holder has made its plan.
@pytest.mark.parametrize("checks", [True, False])
def test_no_stale_order_with_three_lease_writes(checks):
    report = check_safety(make_protocol(checks=checks, writes=3), max_states=200_000)
    assert report["exhaustive"], report["incomplete_reason"]
    assert all(result["holds"] for result in report["properties"].values())


# Guards against orders of two holders within the gap that the platform requires between
# them, where engines do not check fencing numbers.
def test_orders_of_two_holders_are_a_gap_apart():
    protocol = make_protocol(checks=False, writes=3, gap=2)
    report = check_safety(protocol, max_states=600_000)
    assert report["exhaustive"], report["incomplete_reason"]
    assert all(result["holds"] for result in report["properties"].values())


@pytest.mark.parametrize("rule", ["no gap", "no gap after resignation"])
def test_without_the_gap_there_is_a_counterexample(rule):
    protocol = make_protocol(checks=False, writes=3, gap=2, defect=rule)
    report = check_safety(protocol, max_states=600_000)
    assert report["properties"]["no overlap"]["holds"] is False


# Checks that each rule of the specification is needed: without it, the search has to
# find a counterexample.
@pytest.mark.parametrize(
    ("rule", "checks", "writes", "failure"),
    [
        ("no confirmation", True, 2, "no stale order runs"),
        ("engine does not check", True, 2, "no stale order runs"),
        ("number kept", True, 2, "no stale order runs"),
        ("plan not bound", True, 2, "no stale order runs"),
        ("no wait", False, 2, "no stale order runs"),
        ("no margin", False, 2, "no stale order runs"),
        ("no expiry", False, 2, "no stale order runs"),
        ("counted from answer", False, 2, "no stale order runs"),
        ("resign with orders", False, 3, "no stale order runs"),
        ("unknown is held", False, 2, "at most one order giver"),
        ("unconditional write", False, 2, "at most one order giver"),
    ],
)
def test_without_the_rule_there_is_a_counterexample(rule, checks, writes, failure):
    protocol = make_protocol(checks=checks, writes=writes, defect=rule)
    report = check_safety(protocol, max_states=60_000)
    assert report["properties"][failure]["holds"] is False
    assert report["properties"][failure]["counterexample"]
