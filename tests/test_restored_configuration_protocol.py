import pytest
from minicheck import check_safety

from restored_configuration_spec import make_protocol

NO_WAY_BACK = "what is in force never goes back"
NEWEST = "all get the newest"


# Guards against a configuration that goes back in a running process, and against VMs
# that stay on an older one, after the store came back from a copy.
@pytest.mark.parametrize(
    "bounds",
    [
        {"configurations": 2, "versions": 3, "restorations": 2},
        {"configurations": 3, "versions": 4, "restorations": 1},
    ],
)
def test_all_vms_get_the_newest_configuration_and_none_goes_back(bounds):
    report = check_safety(make_protocol(**bounds), max_states=1_000_000)
    assert report["exhaustive"], report["incomplete_reason"]
    assert all(result["holds"] for result in report["properties"].values())


# Checks that each rule of the specification is needed: without it, the search has to
# find a counterexample.
@pytest.mark.parametrize(
    ("rule", "failure"),
    [
        ("versions without eras", NEWEST),
        ("feed across eras", NEWEST),
        ("copy across eras", NEWEST),
        ("rows of an older era applied", NO_WAY_BACK),
        ("older numbers applied", NO_WAY_BACK),
    ],
)
def test_without_the_rule_there_is_a_counterexample(rule, failure):
    protocol = make_protocol(configurations=2, versions=3, restorations=1, defect=rule)
    report = check_safety(protocol, max_states=200_000)
    assert report["properties"][failure]["holds"] is False
    assert report["properties"][failure]["counterexample"]
