"""Many VMs with late reports that share a retry budget, and faults of VMs and links."""

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


def is_in_other_half(one, other):
    return (one < 3) != (other < 3)


def is_not_the_hub(one, other):
    return 0 not in (one, other)


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


# Guards against a VM that spends after a pause what was unused before it.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_paused_vm_does_not_spend_what_its_peers_have_spent_since(seed):
    vms = started_vms(seed)
    for vm in vms.vms:
        vms.pause(vm, vms.rng.uniform(0.3, 4.0))
        retry_everywhere(vms, 1.5)
    retry_everywhere(vms, WINDOW_S)
    assert vms.excess() <= 0


# Guards against VMs that take from the pool what was unused before they were paused,
# before they have read what their peers took since.
@pytest.mark.parametrize("seed", SEEDS)
def test_vms_take_nothing_from_the_pool_when_they_wake_up(seed):
    vms = started_vms(seed)
    for vm in vms.vms[:3]:
        vms.pause(vm, 1.9)
    retry_everywhere(vms, 1.8)
    for vm in vms.vms[:3]:
        vms.serve(vm, per_s=0.0, demand=100)
    retry_everywhere(vms, WINDOW_S)
    assert vms.excess() <= 0


# Guards against the parts of a partition that each use the whole budget, and against
# VMs that do not know of each other, though one VM is linked to all.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("is_cut", [is_in_other_half, is_not_the_hub])
def test_vms_without_links_to_each_other_share_the_budget(seed, is_cut):
    vms = started_vms(seed)
    for _ in range(2):
        vms.cut_where(is_cut)
        retry_everywhere(vms, 1.5 * WINDOW_S)
        vms.cut.clear()
        retry_everywhere(vms, 0.5 * WINDOW_S)
    assert vms.excess() <= 0


# Guards against any series of restarts, pauses and cuts that renews the budget.
@pytest.mark.parametrize("seed", range(8))
def test_no_series_of_faults_multiplies_the_budget(seed):
    vms = started_vms(seed, report_age_s=0.3)
    rng = vms.rng
    for _ in range(20):
        vm, other = rng.sample(vms.vms, 2)
        match rng.randrange(4):
            case 0:
                vms.kill(vm)
            case 1:
                vms.pause(vm, rng.uniform(0.1, 5.0))
            case 2:
                vms.cut_link(vm, other)
            case 3:
                vms.cut.clear()
        retry_everywhere(vms, rng.uniform(0.1, 3.0))
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
