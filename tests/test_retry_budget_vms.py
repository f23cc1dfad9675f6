"""Many VMs with late reports that share a retry budget, and restarts of VMs."""

import pytest

from retry_vms import RATIO, SLACK, WINDOW_S, SimulatedVms

SEEDS = range(4)
# Until then the VMs send no retries after their start.
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


# Guards against a budget that is spent again by each VM that starts anew, and by its
# peers, which no longer get reports of what it had spent.
@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_do_not_renew_the_budget(seed):
    vms = started_vms(seed)
    retry_everywhere(vms, 1.0)
    for vm in vms.vms:
        vms.kill(vm)
        retry_everywhere(vms, 1.2)
    retry_everywhere(vms, WINDOW_S)
    assert vms.excess() <= 0


# Guards against a budget that is safe because little of it can be used: seven tenths of
# the limit are usable while all VMs are linked.
def test_most_of_the_budget_can_be_used_while_nothing_fails():
    vms = started_vms(1)
    retry_everywhere(vms, WINDOW_S)
    limit = RATIO * 6 * PER_S * WINDOW_S + SLACK
    assert len(vms.retries) >= 0.7 * limit


# Guards against restarts that leave a VM without retries for longer than the window.
def test_a_restarted_vm_retries_again_after_the_window():
    vms = started_vms(1)
    vms.kill(vms.vms[0])
    vms.settle(START_S, per_s=PER_S)
    retry_everywhere(vms, 1.0)
    assert vms.retries_by_vm["vm0"] >= 0.5 * SLACK / 6
