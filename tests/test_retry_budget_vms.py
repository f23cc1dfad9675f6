"""Many VMs with late reports that share a retry budget."""

import pytest

from retry_vms import RATIO, SLACK, WINDOW_S, SimulatedVms

# Until then every VM has heard of all others, and has had requests for a window.
START_S = WINDOW_S + 1.5
PER_S = 5.0


def started_vms(seed, **options):
    vms = SimulatedVms(seed=seed, **options)
    vms.settle(START_S, per_s=PER_S)
    return vms


def retry_everywhere(vms, seconds):
    vms.run(seconds, per_s=PER_S, demand=lambda vm: 5)


# Guards against VMs that all use the same unused budget before their reports cross.
@pytest.mark.parametrize("report_age_s", [0.15, 0.4])
@pytest.mark.parametrize("count", [1, 2, 6, 20])
def test_late_reports_do_not_multiply_the_budget(count, report_age_s):
    vms = started_vms(1, count=count, report_age_s=report_age_s)
    retry_everywhere(vms, 2 * WINDOW_S)
    assert vms.excess() <= 0


# Guards against a budget that is safe because little of it can be used: seven tenths of
# the limit are usable while all VMs are linked.
def test_most_of_the_budget_can_be_used_while_nothing_fails():
    vms = started_vms(1)
    retry_everywhere(vms, WINDOW_S)
    limit = RATIO * 6 * PER_S * WINDOW_S + SLACK
    assert len(vms.retries) >= 0.7 * limit
