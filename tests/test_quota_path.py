"""Quotas in a whole router against stand-ins of store and upstreams."""

import asyncio

import pytest

from forwarding_builders import configuration_document
from platform_standins import response_bytes
from router_process import metrics_port, run_scenario

__all__ = ["metrics_port"]


def with_quota(**quota):
    """Return a configuration in which the organisation of key k1 has a quota."""
    organisation = {"name": "org1", "apiKeys": ["k1"], **quota}
    other = {"name": "org2", "apiKeys": ["k2"]}
    return configuration_document(tenants=[organisation, other])


# No tolerance beyond the burst: the admissions are those of an exact bucket.
STRICT = {"quota_slack": 0.0, "quota_over": 0.0}


async def statuses(system, count, target="/look/it", **headers):
    return [
        (await system.request(target, headers=headers)).status for _ in range(count)
    ]


def level_of(system):
    limiter = system.node.quotas.limiter
    return limiter.level_of("org1")


# Guards against requests over the limit that reach an upstream, against a refusal that
# does not say "not run" or when to retry, and against a limit for other organisations.
def test_requests_over_the_quota_are_refused_before_they_are_sent():
    async def scenario(system):
        assert await statuses(system, 5) == [200] * 5
        response = await system.request("/look/it")
        assert response.status == 429
        assert b'"run": "not-run"' in response.body
        # Callers wait for at most a third of the time that they have left.
        assert 0 < float(response.headers["retry-after"]) <= 1 / 3
        assert len(system.attempts()) == 5
        assert await statuses(system, 7, **{"X-Credential": "k2"}) == [200] * 7
        await statuses(system, 20)
        lines = [line for event, line in system.log.lines if event == "quota-refused"]
        assert len(lines) == 1
        assert (lines[0]["organisation"], lines[0]["unit"]) == ("org1", "requests")

    run_scenario(scenario, configuration=with_quota(ratePerS=0.001, burst=5), **STRICT)


# Guards against a count other than prompt and maximum output, or than that of requests
# that do not state them.
def test_tokens_are_those_stated_or_else_those_of_the_entry():
    async def scenario(system):
        await statuses(system, 1, **{"X-Token-Usage": "60,5"})
        assert level_of(system) == pytest.approx(935, abs=1)
        await statuses(system, 1)
        assert level_of(system) == pytest.approx(895, abs=1)

    configuration = with_quota(
        ratePerS=0.001, burst=1000, unit="token_stream", plainTokens=40
    )
    run_scenario(scenario, configuration=configuration, **STRICT)


# Guards against a charge for requests that did not run: refused by the upstream, not
# sent, or refused by this router because nothing takes them.
@pytest.mark.parametrize("fault", ["refused", "not sent"])
def test_what_did_not_run_is_given_back(fault):
    async def refuse(exchange):
        await exchange.send(response_bytes(exchange.id, status=503, X_Not_Executed="1"))

    async def scenario(system):
        for desk in system.desks:
            desk.script = refuse
            if fault == "not sent":
                desk.crash()
        assert await statuses(system, 1) == [503]
        assert level_of(system) == pytest.approx(5, abs=0.1)

    run_scenario(scenario, configuration=with_quota(ratePerS=0.001, burst=5), **STRICT)


# Guards against further runs that are not charged, and against charging a further
# attempt after one that did not run.
@pytest.mark.parametrize(("first_ran", "charged"), [(True, 2), (False, 1)])
def test_each_run_is_charged_once(first_ran, charged):
    tried = []

    async def fail_first(exchange):
        tried.append(exchange)
        if len(tried) > 1:
            await exchange.respond()
        elif first_ran:
            await exchange.reset_after_request()
        else:
            await exchange.send(
                response_bytes(exchange.id, status=503, X_Not_Executed="1")
            )

    async def scenario(system):
        for desk in system.desks:
            desk.script = fail_first
        assert await statuses(system, 1) == [200]
        assert len(tried) == 2
        assert level_of(system) == pytest.approx(5 - charged, abs=0.1)

    run_scenario(scenario, configuration=with_quota(ratePerS=0.001, burst=5), **STRICT)


# Guards against a quota that a new configuration does not change or remove.
def test_a_new_configuration_changes_and_removes_quotas():
    async def scenario(system):
        assert await statuses(system, 3) == [200, 200, 429]
        for version, quota, wanted in (
            (8, {"ratePerS": 0.001, "burst": 3}, [429]),
            (9, {}, [200] * 5),
            (10, {"ratePerS": 0.001, "burst": 3}, [200, 200, 200, 429]),
        ):
            document = {**with_quota(**quota), "version": version}
            system.store.put("op", "config", document)
            while system.node.view.configuration.version != version:
                await asyncio.sleep(0.01)
            system.node.quotas.end_block()
            assert await statuses(system, len(wanted)) == wanted

    run_scenario(scenario, configuration=with_quota(ratePerS=0.001, burst=2), **STRICT)


# Guards against a configuration that is refused as a whole, or limits anybody, because
# of one quota that this version cannot apply; and against more than one line about it.
@pytest.mark.parametrize(
    "quota",
    [
        {"ratePerS": 1, "unit": "bytes"},
        {"ratePerS": 1, "unit": ["requests"]},
        {"ratePerS": -1},
        {"ratePerS": "1"},
        {"ratePerS": float("nan")},
        {"ratePerS": True},
        {"ratePerS": 1, "burst": 1e300},
        {"ratePerS": 1, "unit": "token_stream", "plainTokens": 1.5},
    ],
)
def test_a_quota_that_cannot_be_used_limits_nothing_and_is_logged_once(quota):
    async def scenario(system):
        for _ in range(3):
            system.node.quotas.end_block()
        assert await statuses(system, 3) == [200] * 3
        assert system.log.events().count("quota-unusable") == 1

    run_scenario(scenario, configuration=with_quota(**quota), **STRICT)


# Guards against state of organisations without demand, of which there are many.
def test_state_without_demand_is_dropped():
    async def scenario(system):
        await statuses(system, 1)
        quotas = system.node.view.configuration.quotas
        limiter = system.node.quotas.limiter
        assert limiter.organisations() == 1
        limiter.end_block(quotas, now=system.node.clock() + 20.0)
        assert limiter.organisations() == 0

    run_scenario(scenario, configuration=with_quota(ratePerS=100, burst=5), **STRICT)


# Guards against a rate of 0 that refuses everything, and against a tolerance that is
# not read from the settings.
def test_a_rate_of_zero_is_no_limit():
    async def scenario(system):
        assert await statuses(system, 5) == [200] * 5

    run_scenario(scenario, configuration=with_quota(ratePerS=0, burst=0), **STRICT)


# Guards against organisations that never get a label of their own, and against series
# that stay after others have become busier.
def test_the_busiest_organisations_get_labels():
    async def scenario(system):
        clock, metrics = system.node.clock, system.node.metrics
        await statuses(system, 2)
        metrics.rotate_labels(clock() + 61.0)
        await statuses(system, 2)
        page = metrics.page().decode()
        assert 'quota_units_total{decision="admitted",organisation="org1"' in page
        metrics.busiest.max_labels = 0
        metrics.rotate_labels(clock() + 200.0)
        assert 'organisation="org1"' not in metrics.page().decode()

    run_scenario(scenario, configuration=with_quota(ratePerS=100, burst=5), **STRICT)
