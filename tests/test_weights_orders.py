import asyncio
import itertools
import random

import pytest
from measurements._virtual_loop import VirtualLoop

from endivelug.exceptions import UpstreamUnreachable
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.weights_rollout import WeightsOrder
from endivelug.platform.engine_calls import EngineCalls
from forwarding_builders import make_instance
from order_simulation import TURN_GAP_S, SimulatedEngine, make_vms
from platform_standins import running_upstream


def run_simulation(scenario):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario())


def make_engines(count):
    return {f"e{number}": SimulatedEngine() for number in range(1, count + 1)}


async def stop_all(vms):
    for vm in vms:
        vm.running.set()
        await vm.kill()


def assert_one_sender_at_a_time(engine, *, gap_s):
    """Check what an engine that does not check fencing numbers must see."""
    for earlier, later in itertools.pairwise(engine.arrivals):
        assert later.fencing >= earlier.fencing
        if later.vm != earlier.vm:
            assert later.fencing > earlier.fencing
            assert later.at - earlier.at >= gap_s


# Guards against a deployment whose engines never get an order: where they do not check
# fencing numbers, the time limit of an order was longer than the lease could last.
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_engines_get_new_weights_with_and_without_fencing(checks_fencing):
    async def scenario():
        engines = make_engines(6)
        vms, _ = make_vms(
            count=2, engines=engines, checks_fencing=checks_fencing, seed=1
        )
        for vm in vms:
            vm.start()
            vm.announce_version(2, 100)
        await asyncio.sleep(8.0)
        assert {engine.version for engine in engines.values()} == {2}
        await stop_all(vms)

    run_simulation(scenario)


# Guards against orders of two holders within the gap, which an engine that does not
# check fencing numbers carries out both.
@pytest.mark.parametrize("planned", [True, False])
def test_the_next_holder_waits_for_the_gap_after_the_orders_of_the_last(planned):
    async def scenario():
        engines = make_engines(1)
        vms, _ = make_vms(count=2, engines=engines, checks_fencing=False, seed=2)
        first, second = vms
        first.start()
        first.announce_version(2, 100)
        await asyncio.sleep(5.0)
        second.start()
        second.announce_version(3, 101)
        first.announce_version(3, 101)
        await asyncio.sleep(1.0)
        await (first.stop() if planned else first.kill())
        second.announce_version(4, 102)
        await asyncio.sleep(10.0)
        (engine,) = engines.values()
        assert engine.version == 4
        assert {arrival.vm for arrival in engine.arrivals} == {"vm0", "vm1"}
        assert_one_sender_at_a_time(engine, gap_s=TURN_GAP_S)
        await stop_all(vms)

    run_simulation(scenario)


async def play_random_faults(*, seed, checks_fencing, duration_s, restored_share=0.0):
    """Play kills, freezes, cuts, lost answers and late orders; return the engines.

    In ``restored_share`` of the steps the store comes back from an older copy.
    """
    rng = random.Random(seed)
    restorations = random.Random(f"restored {seed}")
    engines = make_engines(4)
    vms, row = make_vms(
        count=3, engines=engines, checks_fencing=checks_fencing, seed=seed
    )
    for vm in vms:
        vm.start()
    version = 1
    for _ in range(int(duration_s)):
        await asyncio.sleep(rng.uniform(0.3, 1.7))
        if restorations.random() < restored_share:
            row.restore(restorations)
        vm = rng.choice(vms)
        match rng.randrange(7):
            case 0:
                version += 1
                for item in vms:
                    item.announce_version(version, 100 + version)
            case 1:
                vm.running.clear()
            case 2:
                vm.running.set()
            case 3:
                vm.reaches_store = not vm.reaches_store
            case 4:
                row.lose_share = rng.choice((0.0, 0.4))
            case 5:
                vm.control.late_share = rng.choice((0.0, 0.5))
            case 6:
                vm.unreachable_engines ^= {rng.choice(sorted(engines))}
    row.lose_share = 0.0
    for vm in vms:
        vm.running.set()
        vm.reaches_store = True
        vm.control.late_share = 0.0
        vm.unreachable_engines = set()
        vm.announce_version(version, 100 + version)
    await asyncio.sleep(30.0)
    assert {engine.version for engine in engines.values()} == {version}
    await stop_all(vms)
    return engines


# Guards against two holders whose orders overlap, in any series of faults.
@pytest.mark.parametrize("seed", range(30))
def test_orders_never_overlap_without_fencing(seed):
    async def scenario():
        engines = await play_random_faults(
            seed=seed, checks_fencing=False, duration_s=60
        )
        for engine in engines.values():
            assert engine.arrivals
            assert_one_sender_at_a_time(engine, gap_s=TURN_GAP_S)

    run_simulation(scenario)


# Guards against a fencing number that two VMs use, and against engines that stay on old
# weights after the faults.
@pytest.mark.parametrize("seed", range(10))
def test_a_fencing_number_belongs_to_one_holder(seed):
    async def scenario():
        engines = await play_random_faults(
            seed=seed, checks_fencing=True, duration_s=60
        )
        for engine in engines.values():
            holders = {}
            for arrival in engine.arrivals:
                assert holders.setdefault(arrival.fencing, arrival.vm) == arrival.vm

    run_simulation(scenario)


# Guards against two holders whose orders overlap, and numbers that go back, after the
# store came back from an older copy in any series of faults.
@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("seed", range(15))
def test_orders_never_overlap_on_a_restored_store(seed, checks_fencing):
    async def scenario():
        engines = await play_random_faults(
            seed=seed,
            checks_fencing=checks_fencing,
            duration_s=60,
            restored_share=0.2,
        )
        for engine in engines.values():
            assert engine.arrivals
            assert_one_sender_at_a_time(
                engine, gap_s=0.0 if checks_fencing else TURN_GAP_S
            )

    run_simulation(scenario)


# Guards against an order that is sent after the lease has ended, because connecting to
# the engine took long.
def test_no_order_is_sent_if_the_lease_ended_while_connecting():
    async def run():
        async with running_upstream() as upstream:
            calls = EngineCalls(pool=ConnectionPool(clock=lambda: 0.0))
            order = WeightsOrder(
                model="m", version=2, holder="vm1", fencing=1, expected_orders=0
            )
            instance = make_instance(address=upstream.address)
            with pytest.raises(UpstreamUnreachable, match="nothing was sent"):
                await calls.order_weights(instance, order, may_send=lambda: False)
            assert upstream.connections == 1 and upstream.exchanges == []

    asyncio.run(run())
