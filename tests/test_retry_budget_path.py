"""What the retries of a router count, against stand-ins of upstreams."""

import time

from platform_standins import Exchange
from router_process import metrics_port, run_scenario

__all__ = ["metrics_port"]

NOT_RUN = {"status": 503, "X_Not_Executed": "1"}


def counted(system):
    counts = system.node.budget.counts["desk"]
    return counts.used(now=time.monotonic()), counts.waiting


# Guards against retries that are allowed while upstreams refuse, wait until those
# before them have left the window, and are sent together; and against retries that are
# counted for ever because they were never sent.
def test_a_retry_counts_while_it_waits_and_until_it_has_arrived():
    async def scenario(system):
        (desk,) = system.desks
        waiting = []

        async def refuse(exchange):
            waiting.append(counted(system)[1])
            await exchange.respond(b"", **NOT_RUN)

        desk.script = refuse
        await system.request("/look/x", headers={"X-Deadline-Ms": "900"})
        sent = len(system.attempts())
        assert sent >= 2
        assert counted(system) == (sent - 1, 0)
        assert waiting == [0] * sent

    run_scenario(scenario, desks=1)


# Guards against counting a retry that has reached no upstream, and against counting one
# that goes to the next upstream as sent at the time of the first attempt.
def test_a_retry_that_reached_no_upstream_is_not_counted():
    async def scenario(system):
        async def lose(exchange):
            (other,) = [desk for desk in system.desks if desk.exchanges == []]
            other.crash()
            await exchange.reset_after_request()

        for desk in system.desks:
            desk.script = lose
        await system.request("/look/x", headers={"X-Deadline-Ms": "900"})
        assert len(system.attempts()) == 1
        assert counted(system) == (0, 0)

    run_scenario(scenario, desks=2)


# Guards against logs that do not tell a retry that the budget denied from one that no
# upstream could take.
def test_a_denied_retry_is_logged():
    async def scenario(system):
        for desk in system.desks:
            desk.script = Exchange.reset_after_request
        await system.request("/look/it")
        (denied,) = [f for event, f in system.log.lines if event == "retry-denied"]
        assert (denied["service"], denied["used"], denied["cautious"]) == (
            "desk",
            0,
            False,
        )

    run_scenario(scenario, retry_ratio=0.0, retry_slack=0.0)
