from pathlib import Path

import pytest

from endivelug.lists import CHAT_ROUTE, key_digest, load_lists
from endivelug.settings import load_settings

ROOT = Path(__file__).parent.parent / "examples"
# Traffic of the reference deployments, as in the trace of measure placement: shares of
# the eight organisations, requests/s, and mean tokens of prompt and response of a
# request. The rate of that trace alternates by 8%.
SHARES = (0.40, 0.20, 0.12, 0.08, 0.07, 0.05, 0.04, 0.04)
PEAK = 1.08
ROUTERS = 7
DEPLOYMENTS = {
    "furano": {
        "centres": [f"kamikawa-{number}" for number in range(1, 5)],
        "engine": "pattern-assistant",
        "service": "orders",
        "batch": {"order-desk"},
        "objective": "latency",
        "requests_s": 20.0,
        "tokens": 9800,
    },
    "coop": {
        "centres": [f"guj-west-{number}" for number in range(1, 4)],
        "engine": "layout-model",
        "service": "catalogue",
        "batch": {"editorial-office"},
        "objective": "reuse",
        "requests_s": 16.0,
        "tokens": 14300,
    },
}


@pytest.fixture(params=DEPLOYMENTS)
def deployment(request):
    folder = ROOT / request.param
    lists = load_lists(str(folder / "plans.ini"), str(folder / "organisations.ini"))
    return DEPLOYMENTS[request.param], load_settings(str(folder / "vm.ini")), lists


# Guards against sample files that contradict each other.
def test_plans_agree_with_the_settings(deployment):
    reference, settings, lists = deployment
    kinds = {name: pool.kind for name, pool in settings.pools.items()}
    assert kinds == {reference["engine"]: "engine", reference["service"]: "service"}
    assert settings.vm.all_data_centres() == reference["centres"]
    assert settings.router.objective == reference["objective"]
    for plan in lists.plans.values():
        assert plan.models == (reference["engine"],)
        assert plan.adapters == ()
        assert set(plan.routes) == {CHAT_ROUTE, reference["service"]}
    used_plans = {organisation.plan for organisation in lists.organisations.values()}
    assert used_plans == lists.plans.keys()
    assert len(lists.organisations) == 8


# Guards against short interactive questions that wait behind long batch reviews.
def test_long_work_is_batch_and_short_work_is_interactive(deployment):
    reference, _, lists = deployment
    for name, organisation in lists.organisations.items():
        classes = lists.plans[organisation.plan].work_class
        expected = "batch" if name in reference["batch"] else "interactive"
        assert classes[CHAT_ROUTE] == expected
        assert classes[reference["service"]] == "interactive"


# Guards against plans that refuse the traffic that the deployment is designed for.
def test_rate_limits_cover_the_traffic(deployment):
    reference, _, lists = deployment
    plans = [lists.plans[item.plan] for item in lists.organisations.values()]
    plans.sort(key=lambda plan: -plan.tokens_s)
    for plan, share in zip(plans, SHARES, strict=True):
        requests_s = reference["requests_s"] * PEAK * share
        assert plan.requests_s >= requests_s
        assert plan.tokens_s >= requests_s * reference["tokens"]
        # Without the owner of its limits, each router gets an equal share of them.
        assert plan.streams >= len(reference["centres"]) * ROUTERS


# Guards against sample keys that the sample deployment does not accept.
def test_sample_keys_match_the_comment(deployment):
    _, _, lists = deployment
    for name, organisation in lists.organisations.items():
        assert key_digest(f"sample-{name}-1") in organisation.keys
