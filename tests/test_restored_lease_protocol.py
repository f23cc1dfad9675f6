import pytest
from minicheck import check_safety

from restored_lease_spec import make_protocol


# Guards against two VMs that order at one time, fencing numbers that go back or are
# used twice, and orders of two holders within the gap, after the store came back from a
# copy and gave out versions again.
@pytest.mark.parametrize(
    "bounds",
    [
        {"checks": True, "writes": 2, "restorations": 1, "restarts": 1},
        {"checks": True, "writes": 2, "restorations": 2, "resignations": False},
        {
            "checks": True,
            "writes": 3,
            "restorations": 1,
            "start": "late",
            "restarts": 1,
        },
        {"checks": False, "writes": 2, "restorations": 1, "start": "late", "gap": 2},
    ],
)
def test_one_holder_at_a_time_on_a_restored_store(bounds):
    report = check_safety(make_protocol(**bounds), max_states=450_000)
    assert report["exhaustive"], report["incomplete_reason"]
    assert all(result["holds"] for result in report["properties"].values())


NUMBERS = "fencing numbers rise"
HOLDERS = "at most one holder"
GAP = "orders are a gap apart"
# States within which the search finds a counterexample that is further away.
MAX_STATES = {
    "number without version": 200_000,
    "row not read again": 250_000,
    "no wait after a resignation": 400_000,
    "wait without the hand-over": 450_000,
}


# Checks that each rule of the specification is needed: without it, the search has to
# find a counterexample.
@pytest.mark.parametrize(
    ("rule", "failure", "bounds"),
    [
        ("number without era", NUMBERS, {"writes": 3}),
        (
            "number without version",
            NUMBERS,
            {"writes": 4, "start": "late", "resignations": False},
        ),
        ("no wait in a new era", HOLDERS, {"writes": 2, "start": "held"}),
        ("no wait after a resignation", HOLDERS, {"writes": 3, "start": "held"}),
        ("resignation of any era", HOLDERS, {"writes": 3, "start": "late"}),
        ("condition of another era", HOLDERS, {"writes": 3}),
        ("pending writes kept", HOLDERS, {"writes": 3}),
        (
            "row not read again",
            HOLDERS,
            {"writes": 2, "start": "held", "resignations": False},
        ),
        (
            "wait without the hand-over",
            GAP,
            {
                "writes": 2,
                "start": "held",
                "checks": False,
                "gap": 3,
                "resignations": False,
            },
        ),
    ],
)
def test_without_the_rule_there_is_a_counterexample(rule, failure, bounds):
    bounds = {"checks": True, "restorations": 1, **bounds}
    report = check_safety(
        make_protocol(defect=rule, **bounds), max_states=MAX_STATES.get(rule, 120_000)
    )
    assert report["properties"][failure]["holds"] is False
    assert report["properties"][failure]["counterexample"]
