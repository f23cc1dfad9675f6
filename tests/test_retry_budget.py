from endivelug.forwarding.retry_budget import RetryReport, SharedRetryBudget

WINDOW_S = 10.0


def make_budgets(count, *, slack=52.0):
    return [
        SharedRetryBudget(ratio=0.2, slack=slack, window_s=WINDOW_S, vms=count)
        for _ in range(count)
    ]


def exchange(budgets, now):
    for place, budget in enumerate(budgets):
        for other, peer in enumerate(budgets):
            if other != place:
                budget.apply_reports(f"vm{other}", peer.report(now=now))


def storm(budgets, *, linked):
    """Let every VM retry as often as it may for ten seconds; return the retries."""
    retries = requests = 0
    for step in range(100):
        now = step / 10
        if linked:
            exchange(budgets, now)
        for budget in budgets:
            budget.record_request("s", now=now)
            requests += 1
            for _ in range(5):
                retries += budget.try_acquire("s", now=now)
    return retries, requests


# Guards against the sum of all VMs beyond the budget while an upstream refuses, the
# load of the days with engines under orders.
def test_linked_vms_stay_within_the_budget_together():
    retries, requests = storm(make_budgets(6), linked=True)
    assert retries <= 0.2 * requests + 52


# Guards against VMs that use the whole budget each while they cannot talk.
def test_vms_without_links_stay_within_the_budget_together():
    retries, requests = storm(make_budgets(6), linked=False)
    assert retries <= 0.2 * requests + 52


# Guards against a budget of which a single busy VM can use only its own share.
def test_the_unused_part_of_peers_may_be_used():
    budgets = make_budgets(6)
    for now in (0.0, 0.1):
        exchange(budgets, now)
        for budget in budgets:
            budget.record_request("s", now=now)
    alone = 0
    while budgets[0].try_acquire("s", now=0.2):
        alone += 1
    assert alone > 52 / 6


# Guards against retries counted for ever.
def test_retries_leave_the_window():
    (budget,) = make_budgets(1, slack=10.0)
    while budget.try_acquire("s", now=0.0):
        pass
    assert not budget.try_acquire("s", now=WINDOW_S - 0.1)
    assert budget.try_acquire("s", now=WINDOW_S + 0.1)


# Guards against a peer that left and still holds part of the budget.
def test_a_peer_that_is_gone_is_forgotten():
    budget = SharedRetryBudget(ratio=0.0, slack=10.0, window_s=WINDOW_S, vms=1)
    budget.apply_reports("vm1", [RetryReport(service="s", requests=0, retries=10)])
    assert not budget.try_acquire("s", now=0.0)
    budget.forget("vm1")
    assert budget.try_acquire("s", now=0.0)
