"""Statuses that promise callers that their request did not run and never will."""

import pytest

from endivelug.forwarding.not_run_statuses import PROMISED_NOT_RUN
from router_process import PROMPT, metrics_port, run_scenario
from test_stream_recovery import unrepeatable_streams

__all__ = ["metrics_port"]


# What an upstream answers after it has run the request; 421 always states that it
# has not.
async def run_and_answer(exchange, status):
    await exchange.respond(
        b"from the upstream", status=status, X_Response_Seal="seal", Retry_After="0.1"
    )


def answer_with(status):
    return lambda exchange: run_and_answer(exchange, status)


# Guards against promising "not run" with the status of an upstream that ran the request
# and did not state otherwise.
@pytest.mark.parametrize("status", sorted(PROMISED_NOT_RUN - {421}))
@pytest.mark.parametrize(
    ("target", "headers"), [("/a/orders/1", {}), ("/a/x", PROMPT)], ids=["call", "run"]
)
def test_a_run_that_ends_in_a_refusal_status_is_not_reported_as_not_run(
    status, target, headers
):
    async def scenario(system):
        for upstream in (*system.engines, *system.desks):
            upstream.script = answer_with(status)
        response = await system.request(target, headers=headers)
        assert response.status == 502
        assert "x-response-seal" not in response.headers
        assert "retry-after" not in response.headers
        assert b"from the upstream" not in response.body
        assert len(system.attempts()) == 1

    run_scenario(scenario, configuration=unrepeatable_streams())


# Guards against hiding the status of an upstream where the request may run again.
def test_a_refusal_status_is_passed_on_where_the_request_may_run_again():
    async def scenario(system):
        for desk in system.desks:
            desk.script = answer_with(503)
        response = await system.request("/look/it")
        assert (response.status, response.body) == (503, b"from the upstream")
        assert response.headers["x-response-seal"] == "seal"
        assert len(system.attempts()) == 2

    run_scenario(scenario)
