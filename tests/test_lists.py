import pytest

from builders import ORGANISATIONS, PLANS, make_lists
from endivelug.exceptions import ListError
from endivelug.lists import (
    OrganisationRemoved,
    OrganisationSet,
    PlanRemoved,
    PlanSet,
    describe_change,
    diff_lists,
    key_digest,
    load_lists,
    parse_lists,
)


def test_valid_lists():
    lists = parse_lists(PLANS, ORGANISATIONS)
    plan = lists.plans["counter"]
    assert plan.versions == {"base": "v1"}
    assert plan.work_class == {"chat": "interactive", "stock": "batch"}
    assert lists.organisations["clinic"].keys == (key_digest("clinic key"),)
    assert plan.allows(route="chat", model="base", adapter="kampo")
    assert not plan.allows(route="chat", model="other")
    assert not plan.allows(route="publish")


@pytest.mark.parametrize("deployment", ["furano", "coop"])
def test_examples_are_valid(deployment):
    folder = f"examples/{deployment}"
    lists = load_lists(f"{folder}/plans.ini", f"{folder}/organisations.ini")
    assert len(lists.organisations) == 8


# Guards against an invalid edit that is applied in part, and against reporting only the
# first of several errors.
def test_every_problem_is_reported_with_place_and_remedy():
    plans = PLANS.replace("requests_s = 10", "requests_s = nan\nspeed = 1")
    plans = plans.replace("weight = 1", "weight = -1").replace("chat=inter", "chat=x")
    plans += "[big]\nroutes = chat\nmodels = base\nversions = base=v2\n"
    organisations = ORGANISATIONS.replace("plan = counter", "plan = cuonter")
    organisations += "[clinic]\nplan = counter\nkeys = secret-key\n[x y]\nbroken\n"
    with pytest.raises(ListError) as caught:
        parse_lists(plans, organisations)
    problems = caught.value.problems
    for location, excerpt in [
        ("plans.ini:6", "'nan'"),
        ("plans.ini:7", "'1'; remove it; known keys are models"),
        ("plans.ini:10", "'chat=xactive'; write 'interactive' or 'batch'"),
        ("plans.ini:11", "'-1'; write a number above 0"),
        ("plans.ini", "base='v2'; write the same version in every plan"),
        ("plans.ini:12", "[big] streams: missing"),
        ("organisations.ini:2", "'cuonter'; write a plan of the plans list: "),
        ("organisations.ini:4", "[clinic]; write it once (it is also at line 1)"),
        ("organisations.ini:6", "value 1 of 10 characters; write SHA-256 digests"),
        ("organisations.ini:7", "'x y'; use 1 to 63 of"),
        ("organisations.ini:8", "malformed line"),
    ]:
        assert any(location in line and excerpt in line for line in problems), (
            location,
            excerpt,
        )
    # Guards against printing a caller's key in a terminal or a log.
    assert "secret-key" not in str(caught.value)


# Guards against a truncated file that removes every plan.
@pytest.mark.parametrize("texts", [("", ""), (PLANS, ""), (PLANS, "# only this\n")])
def test_empty_file_is_rejected(texts):
    with pytest.raises(ListError, match="write at least one"):
        parse_lists(*texts)


# Guards against one caller key that authenticates as two organisations.
def test_shared_key_is_rejected():
    duplicate = ORGANISATIONS.replace("[clinic]", "[twin]")
    with pytest.raises(ListError, match="a key of \\[clinic\\]"):
        parse_lists(PLANS, ORGANISATIONS + duplicate)


def test_diff_contains_every_change():
    old, new = make_lists(organisations=3), make_lists(organisations=4)
    new.organisations.pop("org-0")
    new.plans["spare"] = new.plans["counter"]
    old.plans["removed"] = old.plans["counter"]
    changes = diff_lists(old, new)
    assert [type(change) for change in changes] == [
        PlanSet,
        OrganisationSet,
        OrganisationRemoved,
        PlanRemoved,
    ]
    assert describe_change(changes[2]) == "organisation org-0: removed"
    assert diff_lists(new, new) == []
