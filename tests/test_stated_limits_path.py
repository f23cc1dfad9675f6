"""Upstreams that state a limit, and several linked routers that send to them."""

import asyncio
import time

from linked_nodes import running_nodes

# The rule: from 3 s after an upstream first stated its limit, it gets in 4 s at most
# one and a half times what the limit allows, and 5 requests.
SETTLED_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
MARGIN = 5
LIMIT = 1.4


def limited(arrivals):
    """Return a script that states the limit, and records when requests arrive."""

    async def respond(exchange):
        arrivals.append(time.monotonic())
        await exchange.respond(Server_Limit=str(LIMIT))

    return respond


def most_in_a_window(arrivals):
    """Return the largest number of arrivals in a window that the rule counts."""
    counted = [at for at in arrivals if at >= arrivals[0] + SETTLED_S]
    return max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )


# Guards against an upstream that states a limit and gets what it got without: no VM
# reads the statement, or each applies the whole limit by itself.
def test_all_routers_together_keep_the_limit_that_an_upstream_states():
    async def scenario():
        async with asyncio.timeout(60), running_nodes(nodes=4, desks=2) as system:
            arrivals = []
            system.desks[0].script = limited(arrivals)
            responses = await system.offer(
                per_node_per_s=10, seconds=SETTLED_S + WINDOW_S + 1.0
            )
            assert {response.status for response in responses} == {200}
            assert most_in_a_window(arrivals) > 0
            assert most_in_a_window(arrivals) <= FACTOR * LIMIT * WINDOW_S + MARGIN

    asyncio.run(scenario())
