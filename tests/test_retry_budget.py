from endivelug.forwarding.neighbour_sums import RetryCount
from endivelug.forwarding.retry_budget import ARRIVAL_MARGIN_S, SharedRetryBudget

WINDOW_S = 10.0


def make_budgets(count, *, slack=52.0):
    return [
        SharedRetryBudget(ratio=0.2, slack=slack, window_s=WINDOW_S, vms=count)
        for _ in range(count)
    ]


def report_counts(budget, vm, counts):
    budget.represented_vms[vm] = 1
    budget.neighbours.set(vm, "s", counts)


def exchange(budgets, now):
    for number, budget in enumerate(budgets):
        for other, peer in enumerate(budgets):
            if other != number:
                report_counts(budget, f"vm{other}", peer.own("s", now=now))


def send_retries(budget, *, now):
    """Send all retries that are allowed; return their number."""
    retries = 0
    while budget.try_acquire("s", now=now):
        retries += 1
    return retries


def retry_at_limit(budgets, *, linked):
    """Make every VM retry at the limit for 10 s; return the retries and requests."""
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


# Guards against more retries of all VMs together than the budget while an upstream
# refuses requests, for example while engines carry out weights orders.
def test_linked_vms_stay_within_the_budget_together():
    retries, requests = retry_at_limit(make_budgets(6), linked=True)
    assert retries <= 0.2 * requests + 52


# Guards against VMs that each use the whole budget while they have no links.
def test_vms_without_links_stay_within_the_budget_together():
    retries, requests = retry_at_limit(make_budgets(6), linked=False)
    assert retries <= 0.2 * requests + 52


# Guards against limiting a single busy VM to its own share of the budget.
def test_the_unused_shares_of_peers_may_be_used():
    budgets = make_budgets(6)
    for now in (0.0, 0.1):
        exchange(budgets, now)
        for budget in budgets:
            budget.record_request("s", now=now)
    retries = 0
    for step in range(2, 100):
        exchange(budgets, step / 10)
        retries += send_retries(budgets[0], now=step / 10)
    assert retries > 2 * 52 / 6


# Guards against counting retries beyond the window.
def test_retries_expire_after_the_window():
    (budget,) = make_budgets(1, slack=10.0)
    while budget.try_acquire("s", now=0.0):
        pass
    assert not budget.try_acquire("s", now=WINDOW_S - 0.1)
    assert not budget.try_acquire("s", now=WINDOW_S + 0.4)
    assert budget.try_acquire("s", now=WINDOW_S + ARRIVAL_MARGIN_S + 0.1)


# Guards against spending the retries of a peer again when it has been removed, and
# against counting them beyond the window.
def test_the_retries_of_a_removed_peer_count_until_the_window_has_passed():
    budget = SharedRetryBudget(ratio=0.0, slack=20.0, window_s=WINDOW_S, vms=2)
    report_counts(budget, "vm1", RetryCount(retries=20))
    own_share = send_retries(budget, now=0.0)
    budget.forget("vm1", now=0.0)
    assert send_retries(budget, now=WINDOW_S) == 0
    report_counts(budget, "vm1", RetryCount())
    later = WINDOW_S + ARRIVAL_MARGIN_S + 0.1
    assert send_retries(budget, now=later) > own_share


# Guards against retries that wait for an upstream until those before them have left the
# window, and then arrive together.
def test_a_retry_counts_from_the_time_at_which_it_is_sent():
    (budget,) = make_budgets(1, slack=10.0)
    waiting = []
    while (reservation := budget.reserve("s", now=0.0)) is not None:
        waiting.append(reservation)
    sent_at = WINDOW_S + ARRIVAL_MARGIN_S + 1.0
    assert not budget.try_acquire("s", now=sent_at)
    for reservation in waiting:
        budget.record_sent(reservation, now=sent_at)
    assert not budget.try_acquire("s", now=sent_at + WINDOW_S)
    assert budget.try_acquire("s", now=sent_at + WINDOW_S + ARRIVAL_MARGIN_S + 0.1)


# Guards against a retry that counts from an attempt which has reached no upstream, and
# arrives when those of its time have left the window.
def test_a_retry_that_was_not_sent_counts_from_its_next_attempt():
    (budget,) = make_budgets(1, slack=10.0)
    waiting = []
    while (reservation := budget.reserve("s", now=0.0)) is not None:
        waiting.append(reservation)
    for at in (0.0, WINDOW_S):
        for reservation in waiting:
            budget.record_not_sent(reservation)
            budget.record_sent(reservation, now=at)
    assert not budget.try_acquire("s", now=2 * WINDOW_S)
    assert budget.try_acquire("s", now=2 * WINDOW_S + ARRIVAL_MARGIN_S + 0.1)


# Guards against retries that are never sent and use up the budget.
def test_a_retry_that_is_not_sent_goes_back():
    (budget,) = make_budgets(1, slack=10.0)
    waiting = []
    while (reservation := budget.reserve("s", now=0.0)) is not None:
        waiting.append(reservation)
    for reservation in waiting:
        budget.release(reservation)
    assert send_retries(budget, now=1.0) == len(waiting)
