import asyncio

from linked_nodes import running_nodes
from router_process import wait_until
from store_standin import StoreCopy

SECRET_ROW = ("endivelug", "link-secret")


def restore_without(system, *lost):
    """Restore the store from a copy without the rows whose keys begin with ``lost``."""
    store = system.store
    kept = {key: row for key, row in store.rows.items() if not key[1].startswith(lost)}
    store.restore(StoreCopy(rows=kept, version=store.version - len(store.rows)))
    for node in system.nodes:
        # From reports of the peers.
        node.view.eras.observe(store.era)


def listed_vms(store):
    return {key for table, key in store.rows if key.startswith("vm/")}


# Guards against a VM that nobody lists because its row was lost with the copy.
def test_all_vms_are_listed_again_after_a_restoration():
    async def run():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            restore_without(system, "vm/")
            await wait_until(lambda: len(listed_vms(system.store)) == 3, 5)

    asyncio.run(run())


# Guards against links to VMs that are dropped because a list of the new era lacks them.
def test_a_vm_that_a_list_lacks_is_kept(monkeypatch):
    monkeypatch.setattr("endivelug.forwarding.vm_join.REFRESH_S", 0.05)

    async def run():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            tasks = [asyncio.create_task(node.join.refresh()) for node in system.nodes]
            restore_without(system, "vm/")
            for _ in range(50):
                await asyncio.sleep(0.01)
                for node in system.nodes:
                    assert len(node.peers.overlay.registered) == 3
            for task in tasks:
                task.cancel()

    asyncio.run(run())


# Guards against a link secret that was lost with the copy: each VM that starts later
# creates one, and its links to the others fail.
def test_a_lost_link_secret_is_written_again():
    async def run():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            secret = system.nodes[0].peers.identity.secret
            restore_without(system, "link-secret")
            await wait_until(lambda: SECRET_ROW in system.store.rows, 5)
            assert system.store.rows[SECRET_ROW][0] == secret

    asyncio.run(run())


# Guards against a VM that started in the gap and created another secret: the others
# kept theirs, and links between them and that VM failed until the next restart.
def test_all_vms_use_the_secret_that_a_vm_created_in_the_gap():
    async def run():
        async with asyncio.timeout(60), running_nodes(nodes=3, desks=1) as system:
            restore_without(system, "link-secret")
            system.store.put("endivelug", "link-secret", b"other" * 6)
            await wait_until(
                lambda: (
                    {node.peers.identity.secret for node in system.nodes}
                    == {b"other" * 6}
                ),
                5,
            )

    asyncio.run(run())
