import pytest
from minicheck import check_safety

from claim_spec import make_protocol


# Checks I5 and I6 for one key: duplicates at three routers whose clocks may be on
# different days, with lost and late writes, and crashes and pauses at every step.
@pytest.mark.parametrize("days", [(0, 0, 0), (0, 0, 1)])
def test_all_invariants_hold_for_three_attempts(days):
    verdict = check_safety(make_protocol(days), max_states=100_000)
    assert verdict["exhaustive"], verdict["incomplete_reason"]
    assert all(result["holds"] for result in verdict["properties"].values())


# Each rule is necessary: without it the search finds a counterexample.
@pytest.mark.parametrize(
    ("rule", "days", "failure"),
    [
        ("own day only", (0, 1), "runs at most once"),
        ("unconditional claim", (0, 0), "runs at most once"),
        ("take over", (0, 0), "runs at most once"),
        ("dispatch when unknown", (0, 0), "runs at most once"),
        ("dispatch again", (0, 0), "runs at most once"),
        ("release after dispatch", (0, 0), "runs at most once"),
        ("broken is not run", (0, 0), "not run is true"),
        ("delete on release", (0, 0), "release is final"),
        ("release over nothing", (0, 0), "release is final"),
        ("own claim ignored", (0, 0), "own claim is recognised"),
    ],
)
def test_without_the_rule_there_is_a_counterexample(rule, days, failure):
    verdict = check_safety(make_protocol(days, defect=rule), max_states=100_000)
    assert verdict["properties"][failure]["holds"] is False
    assert verdict["properties"][failure]["counterexample"]
