"""A restored store at whole routers that are linked to each other."""

import asyncio

from forwarding_builders import configuration_document, registration_document
from linked_nodes import running_nodes
from router_process import wait_until


# Guards against linked routers that go back to the copy, miss a configuration that was
# confirmed after it, or send requests to an upstream that began to drain after it.
def test_linked_routers_get_over_two_restorations():
    async def run():
        async with asyncio.timeout(60), running_nodes(nodes=4) as linked:
            store, views = linked.store, [node.view for node in linked.nodes]

            def in_force(number):
                return all(view.configuration.version == number for view in views)

            async def confirm(number):
                store.put("op", "config", configuration_document(version=number))
                await wait_until(lambda: in_force(number), 2.0)

            copy = store.take_copy()
            await confirm(9)
            await confirm(11)
            document = registration_document(
                address=linked.desks[1].address,
                service="desk",
                models=[],
                state="draining",
                seq=5,
            )
            store.put("servers", "i1", document)
            await wait_until(
                lambda: all(view.registry.get("i1").draining for view in views)
            )
            store.restore(copy)
            await asyncio.sleep(0.4)
            assert in_force(11)
            await confirm(12)
            store.restore(copy)
            await confirm(14)
            for view in views:
                assert [item.name for item in view.registry.of_service("desk")] == [
                    "i0"
                ]
            answers = await linked.offer(per_node_per_s=5, seconds=1)
            assert {answer.status for answer in answers} == {200}
            assert all(exchange.id == "" for exchange in linked.desks[1].exchanges)

    asyncio.run(run())
