"""Upstreams that refuse requests and state when to try again."""

import asyncio
import time

import pytest

from endivelug.forwarding.pace.stated_pauses import MAX_PAUSE_S, stated_pause
from endivelug.forwarding.upstream_connection import ResponseHead
from endivelug.platform.header_format import HeaderFormat
from forwarding_builders import (
    ManualClock,
    make_view,
    registration_document,
    stored_row,
)
from router_process import metrics_port, run_scenario

__all__ = ["metrics_port"]

ALWAYS = 60


def decode(status=503, **headers):
    names = [(name.replace("_", "-").lower(), text) for name, text in headers.items()]
    head = ResponseHead(status=status, reason="", headers=names)
    return HeaderFormat().response_info(head, instance="e1")


def refuse(retry_after, **headers):
    async def script(exchange):
        await exchange.respond(
            b"", status=503, X_Not_Executed="1", Retry_After=retry_after, **headers
        )

    return script


# Guards against an exception, an endless pause or a wrong time from any header value.
@pytest.mark.parametrize(
    ("value", "seconds", "usable"),
    [
        ("2", 2.0, True),
        (" 0.25 ", 0.25, True),
        ("0", 0.0, True),
        ("-1", 0.0, False),
        ("nan", 0.0, False),
        ("inf", 0.0, False),
        ("1e3", 0.0, False),
        ("", 0.0, False),
        ("٣", 0.0, False),
        ("9" * 4000, 0.0, False),
        ("Wed, 21 Oct 2015 07:28:00 GMT", 0.0, False),
        ("86400", MAX_PAUSE_S, False),
    ],
)
def test_any_stated_time_gives_a_bounded_pause(value, seconds, usable):
    pause = stated_pause(decode(Retry_After=value))
    assert (pause.seconds, pause.fault is None) == (seconds, usable)
    assert len(pause.fault or "") < 100


# Guards against a pause for another instance at the address, or without a refusal.
@pytest.mark.parametrize(
    ("status", "headers"),
    [(200, {}), (429, {}), (421, {}), (503, {"X_Instance_Id": "other"})],
)
def test_only_a_503_of_the_instance_itself_pauses_it(status, headers):
    assert stated_pause(decode(status, Retry_After="3", **headers)) is None


# Guards against requests to a paused upstream, and against a pause that other VMs keep
# although the upstream asked only this one.
def test_a_paused_upstream_gets_nothing_until_its_deadline():
    async def scenario(system):
        notices = []
        system.node.forwarder.on_avoid = lambda name, for_s: notices.append(name)
        paused, other = system.desks
        paused.script = refuse("0.6")
        while not paused.exchanges:
            response = await system.request("/a/orders/1")
            assert response.status == 200
        refused_at = time.monotonic()
        served = len(other.exchanges)
        while time.monotonic() < refused_at + 0.5:
            response = await system.request("/a/orders/1")
            assert response.status == 200
        assert len(paused.exchanges) == 1
        assert len(other.exchanges) > served
        assert notices == []
        assert system.log.events().count("upstream-paused") == 1
        del other.exchanges[:]
        paused.script = lambda exchange: exchange.respond()
        await asyncio.sleep(0.15)
        while len(paused.exchanges) == 1 and len(other.exchanges) < ALWAYS:
            await system.request("/a/orders/1")
        assert len(paused.exchanges) > 1

    run_scenario(scenario)


# Guards against a request that waits for upstreams that all stated a later time, and
# against a refusal that hides that time from the caller.
def test_a_request_is_refused_at_once_if_every_upstream_stated_a_later_time():
    async def scenario(system):
        for desk in system.desks:
            desk.script = refuse("30")
        await system.request("/a/orders/1")
        started = time.monotonic()
        response = await system.request("/a/orders/1")
        assert response.status == 503
        assert 28 < float(response.headers["retry-after"]) < 31
        assert time.monotonic() - started < 0.5
        assert b"retried later" in response.body
        assert len(system.attempts()) == 2

    run_scenario(scenario)


# Guards against the refusal of a request that would be served within its target.
def test_a_request_waits_for_a_pause_that_ends_before_its_target():
    async def scenario(system):
        (engine,) = system.engines
        engine.script = refuse("0.3")
        headers = {"X-Model": "m", "X-Token-Usage": "60,5"}
        waiting = asyncio.create_task(system.request(headers=headers))
        await asyncio.sleep(0.15)
        engine.script = lambda exchange: exchange.respond()
        assert (await waiting).status == 200
        assert len(engine.exchanges) == 2

    run_scenario(scenario)


# Guards against a new start of an upstream that waits for a pause of the last one.
def test_a_new_start_is_not_paused():
    clock = ManualClock()
    view = make_view(clock)
    view.loads.of("e1").paused_until = clock.now + 100
    view.apply([stored_row("servers", "e1", registration_document(), 3)], source="s")
    assert view.loads.of("e1").paused_until > clock.now
    again = registration_document(born=2000)
    view.apply([stored_row("servers", "e1", again, 4)], source="s")
    assert view.loads.of("e1").paused_until == 0
