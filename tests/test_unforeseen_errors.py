"""Faults of the program while it serves a request: the caller gets an answer."""

import asyncio
import time

import pytest

from forwarding_builders import configuration_document, registration_document
from platform_standins import Exchange, request
from router_process import (
    PROMPT,
    metrics_port,
    run_scenario,
    stream_three_events,
    wait_until,
)

__all__ = ["metrics_port"]


class UnforeseenError(Exception):
    """An exception that no handler expects."""


def raise_unforeseen(*values, **options):
    raise UnforeseenError("a fault of the program")


async def raise_unforeseen_later(*values, **options):
    raise_unforeseen()


def ended(system):
    return [fields for event, fields in system.log.lines if event == "ended"]


# Guards against callers that wait for an answer in vain after a fault of the program.
@pytest.mark.parametrize(
    "part", ["runner.run", "dispatcher.place", "recovery.find_continuation", "_admit"]
)
def test_a_call_that_meets_an_unforeseen_error_is_answered(part, monkeypatch):
    async def scenario(system):
        owner, name = system.node.forwarder, part
        if "." in part:
            attribute, name = part.split(".")
            owner = getattr(owner, attribute)
        for desk in system.desks:
            desk.script = Exchange.reset_after_request
        monkeypatch.setattr(owner, name, raise_unforeseen_later)
        started = time.monotonic()
        response = await system.request("/a/orders/1" if "re" in part else "/look/it")
        assert response.status == 502
        assert time.monotonic() - started < 1.0
        assert not system.node.front_server.tasks
        if part != "_admit":
            (line,) = ended(system)
            assert line["outcome"] == "error"
            assert "UnforeseenError" in line["reason"]
        assert "caller-left" not in system.log.events()

    run_scenario(scenario)


# Guards against a stream that looks complete, or stays open, after a fault of the
# program.
def test_a_stream_that_meets_an_unforeseen_error_is_cut_off(monkeypatch):
    async def scenario(system):
        async def stream(exchange):
            await exchange.start_stream()
            await exchange.send_event(1)
            await asyncio.sleep(0.1)
            monkeypatch.setattr(
                system.node.forwarder.runner, "on_events", raise_unforeseen
            )
            await exchange.send_event(2)
            await asyncio.sleep(5)

        system.engines[0].script = stream
        started = time.monotonic()
        response = await system.request(headers=PROMPT)
        assert response.status == 200
        assert not response.complete
        assert time.monotonic() - started < 1.0

    run_scenario(scenario)


# Guards against a readiness check that hangs after a fault of the program.
def test_a_readiness_check_that_meets_an_unforeseen_error_is_answered(monkeypatch):
    async def scenario(system):
        monkeypatch.setattr(type(system.node), "is_ready", property(raise_unforeseen))
        response = await request(system.node.settings.ready, target="/readyz")
        assert response.status == 502
        assert "handler-failed" in system.log.events()

    run_scenario(scenario)


# Guards against a waiting call that cannot be placed and keeps those behind it waiting.
def test_a_waiting_call_that_cannot_be_placed_keeps_no_other_waiting(monkeypatch):
    async def scenario(system):
        dispatcher = system.node.dispatcher
        place = dispatcher.placer.place
        monkeypatch.setattr(dispatcher, "_must_queue", lambda call: True)

        def fail_for_one(call):
            return raise_unforeseen() if call.request.id == "odd" else place(call)

        monkeypatch.setattr(dispatcher.placer, "place", fail_for_one)
        ids = ["odd", "q2", "q3"]
        found = await asyncio.gather(
            *(system.request("/look/it", headers={"X-Request-Id": id}) for id in ids)
        )
        assert [response.status for response in found] == [502, 200, 200]
        assert not dispatcher.waiters

    run_scenario(scenario)


# Guards against an upstream that spoils a header of its answer to an order: the order
# has run, and its caller got nothing at all.
@pytest.mark.parametrize("target", ["/a/orders/1", "/look/it", "/a/x"])
@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("line", [b"X-A: \x01", b"X-A: a\x7fb"])
def test_an_answer_with_a_spoilt_header_is_not_passed_on(target, status, line):
    async def spoil(exchange):
        head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {exchange.id}\r\n"
        rest = b"\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        await exchange.send(head.encode() + line + rest)

    async def scenario(system):
        for upstream in (*system.engines, *system.desks):
            upstream.script = spoil
        started = time.monotonic()
        headers = PROMPT if target == "/a/x" else {}
        response = await system.request(target, headers=headers)
        assert response.status == 502
        # A stream waits for another engine until its deadline, 2 s.
        assert time.monotonic() - started < 2.5
        if target == "/a/orders/1":
            assert len(system.attempts()) == 1

    run_scenario(scenario)


# Guards against giving up a request that may be repeated because one upstream spoils a
# header, in place of asking another one.
@pytest.mark.parametrize(
    "line", [b"X-A: \x01", b"X-A: a\x7fb", b"X-Weight-Versions: " + b"1" * 5000]
)
def test_a_request_is_repeated_after_an_answer_with_a_spoilt_header(line):
    async def spoil(exchange):
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {exchange.id}\r\n"
        rest = b"\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        await exchange.send(head.encode() + line + rest)

    async def scenario(system):
        system.desks[0].script = spoil
        for number in range(6):
            headers = {"X-Request-Id": f"q{number}"}
            assert (await system.request("/look/it", headers=headers)).status == 200
        assert len(system.attempts()) > 6 or b"Weight" in line

    run_scenario(scenario)


# Guards against an answer whose reason splits the head that the caller gets.
@pytest.mark.parametrize("reason", [b"a\x0bb", b"\x7f", b"\x01"])
def test_a_reason_with_control_characters_is_no_answer(reason):
    async def spoil(exchange):
        head = f"\r\nX-Request-Id: {exchange.id}\r\nX-Response-Seal: s\r\n"
        rest = b"Content-Length: 2\r\n\r\nok"
        await exchange.send(b"HTTP/1.1 200 " + reason + head.encode() + rest)

    async def scenario(system):
        for desk in system.desks:
            desk.script = spoil
        assert (await system.request("/a/orders/1")).status == 502

    run_scenario(scenario)


# Guards against callers whose headers are in UTF-8 and who got no answer at all.
@pytest.mark.parametrize("name", ["X-Shop", "X-Request-Id", "X-Model"])
def test_a_header_in_utf8_is_passed_on_unchanged(name):
    async def scenario(system):
        headers = {name: "\u30d5\u30e9\u30ce \u00e9"}
        assert (await system.request("/look/it", headers=headers)).status == 200
        (attempt,) = system.attempts()
        assert attempt.headers[name.lower()] == headers[name]

    run_scenario(scenario)


# Guards against refusing or failing the requests of an organisation whose name, key or
# model is not ASCII, and against passing its name on in another form.
@pytest.mark.parametrize("isolated", [False, True])
def test_an_organisation_with_a_name_in_utf8_is_served(isolated):
    name, key, model = "\u5e83\u5c3e", "cl\u00e9-\u30ad\u30fc", "m\u00f6del"
    organisation = {"name": name, "apiKeys": [key], "isolated": isolated}

    async def scenario(system):
        document = registration_document(
            address=system.engines[0].address, models=[{"name": model, "version": 1}]
        )
        system.store.put("servers", "i0", document)
        view = system.node.view
        await wait_until(lambda: view.registry.get("i0").version_of(model) == 1)
        system.engines[0].script = stream_three_events
        headers = {**PROMPT, "X-Credential": key, "X-Model": model}
        response = await system.request(headers=headers)
        assert response.status == 200
        assert response.complete
        (attempt,) = system.attempts()
        assert attempt.headers["x-tenant"] == name
        assert attempt.headers["x-model"] == model
        assert (name in attempt.headers["x-cache-salt"]) is isolated

    run_scenario(scenario, configuration=configuration_document(tenants=[organisation]))


# Guards against a request that cannot be sent on and would be tried until its deadline.
@pytest.mark.parametrize(
    "changes",
    [
        {"target": "/look/\u30d5"},
        {"headers": {"X-Token-Usage": "1" * 5000}},
        {"headers": {"X-Token-Usage": "-5,3"}},
        {"headers": {"X-Prompt-Prefix": "aa:1e3"}},
        {"headers": {"X-Prompt-Prefix": "aa:" + "9" * 400}},
    ],
)
def test_a_request_that_cannot_be_sent_on_is_answered_at_once(changes):
    async def scenario(system):
        started = time.monotonic()
        response = await system.request(**{"target": "/look/it", **changes})
        assert response.status == 400
        assert time.monotonic() - started < 1.0
        assert system.attempts() == []

    run_scenario(scenario)
